#include "dandelionmill/router/router_state.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dandelionmill/inventory/parts.h"
#include "tests/unit/router/example_config.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::Code;
using dandelionmill::base::MonoTime;
using dandelionmill::net::Address;
using dandelionmill::router::AttemptEnded;
using dandelionmill::router::CancelDecision;
using dandelionmill::router::ExampleParts;
using dandelionmill::router::FailRequest;
using dandelionmill::router::Instruction;
using dandelionmill::router::Mailbox;
using dandelionmill::router::RequestInfo;
using dandelionmill::router::RouterMetrics;
using dandelionmill::router::RouterState;
using dandelionmill::router::RunAttempt;
using dandelionmill::router::StopFollowing;
using dandelionmill::routing::AttemptResult;
using dandelionmill::wire::Envelope;
using dandelionmill::wire::Route;
namespace wire = dandelionmill::wire;
using std::chrono::milliseconds;

namespace {

const char* const kHolder = "c1/life";
const char* const kOtherHolder = "c2/life";

// A router state with two controls of its zone, whose messages the test sends.
class StateHarness {
 public:
  StateHarness()
      : metrics_(registry_),
        state_(
            {{dandelionmill::base::RouterId("r1/life"),
              dandelionmill::base::InstanceId("r1"),
              dandelionmill::base::ZoneId("gwynedd-a")},
             {Address{"127.0.0.1", 1}},
             7},
            [this](const Route& to, Envelope message) {
              sent_.emplace_back(to, std::move(message));
              return ++last_id_;
            },
            [](const dandelionmill::inventory::SnapshotPtr&) {},
            metrics_) {
    SendZoneView(kHolder, 1);
    SendZoneView(kOtherHolder, 2);
    const auto dump = nlohmann::json::parse(state_.Dump(now_));
    REQUIRE(dump["config_problem"].get<std::string>().empty());
    REQUIRE(dump["config_version"] == 1);
  }

  RouterState& state() { return state_; }
  MonoTime now() const { return now_; }

  // Delivers a zone view of a control that may grant tokens.
  void SendZoneView(const std::string& holder, int port) {
    Envelope envelope;
    envelope.set_sender(holder);
    wire::ZoneView& view = *envelope.mutable_zone_view();
    view.set_may_grant(true);
    *view.mutable_config() = ExampleParts();
    Deliver(holder, port, std::move(envelope));
  }

  void Deliver(const std::string& holder, int port, Envelope envelope) {
    envelope.set_sender(holder);
    Route route;
    route.remote_address = {"127.0.0.1", port};
    state_.OnMessage(route, envelope, now_);
  }

  void Advance(milliseconds time) {
    now_ += time;
    state_.OnTick(now_);
  }

  std::shared_ptr<Mailbox> Begin(std::uint64_t number, bool idempotent = true) {
    auto info = std::make_shared<RequestInfo>();
    info->request.number = number;
    info->request.account = AccountId("pigments");
    info->request.service = dandelionmill::base::ServiceId("assay-llm");
    info->request.model = dandelionmill::base::ModelId("ochre-8b");
    info->request.body_sha256 = "body" + std::to_string(number);
    info->request.idempotent = idempotent;
    info->request.deadline = now_ + std::chrono::seconds(30);
    info->budget = "default";
    info->key = dandelionmill::base::RequestKey("k" + std::to_string(number));
    info->key_from_caller = true;
    info->prompt_bound = 20;
    info->output_cap = 80;
    auto mailbox = std::make_shared<Mailbox>();
    state_.OnBeginRequest({info, mailbox}, now_);
    return mailbox;
  }

  // Replies to the latest reservation request with a grant of `holder`.
  void Grant(const std::string& attempt, const std::string& holder = kHolder) {
    Envelope envelope;
    envelope.set_in_reply_to(LastIdOf(Envelope::kReserveRequest));
    wire::Grant& grant = *envelope.mutable_reserve_reply()->mutable_grant();
    grant.set_attempt(attempt);
    grant.set_holder(holder);
    grant.set_tokens(100);
    Deliver(holder, 1, std::move(envelope));
  }

  void Close(const std::string& holder) {
    Envelope envelope;
    envelope.mutable_close_holder()->set_holder(holder);
    Deliver(kOtherHolder, 2, std::move(envelope));
  }

  // Returns all messages of a kind that were sent so far.
  std::vector<Envelope> Sent(Envelope::BodyCase kind) const {
    std::vector<Envelope> found;
    for (const auto& [to, envelope] : sent_) {
      if (envelope.body_case() == kind)
        found.push_back(envelope);
    }
    return found;
  }

  std::uint64_t LastIdOf(Envelope::BodyCase kind) const {
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < sent_.size(); ++i) {
      if (sent_[i].second.body_case() == kind)
        id = i + 1;
    }
    return id;
  }

  int LastPortOf(Envelope::BodyCase kind) const {
    return sent_[LastIdOf(kind) - 1].first.remote_address.port;
  }

 private:
  dandelionmill::metrics::Registry registry_;
  RouterMetrics metrics_;
  std::vector<std::pair<Route, Envelope>> sent_;
  std::uint64_t last_id_ = 0;
  MonoTime now_ = std::chrono::steady_clock::now();
  RouterState state_;
};

template <class T>
std::optional<T> TakeAs(Mailbox& mailbox) {
  const auto instruction = mailbox.Take();
  if (!instruction || !std::holds_alternative<T>(*instruction))
    return std::nullopt;
  return std::get<T>(*instruction);
}

AttemptEnded Ended(std::uint64_t number,
                   AttemptResult ending,
                   wire::Outcome outcome) {
  return {number, ending, false, {5, 7}, outcome};
}

}  // namespace

TEST_CASE("A request with a grant runs and is settled once", "[router]") {
  StateHarness harness;
  const auto mailbox = harness.Begin(1);
  harness.Grant("a1");
  const auto run = TakeAs<RunAttempt>(*mailbox);
  REQUIRE(run);
  CHECK(run->attempt.value() == "a1");
  CHECK(run->backend.value() == "gw-a-1");
  CHECK(harness.Sent(Envelope::kDispatched).size() == 1);

  SECTION("the actual use is sent to the grant's holder until acknowledged") {
    harness.state().OnAttemptEnded(
        Ended(1, AttemptResult::kCompleted, wire::OUTCOME_COMPLETED),
        harness.now());
    const auto settles = harness.Sent(Envelope::kSettle);
    REQUIRE(settles.size() == 1);
    CHECK(settles[0].settle().prompt_tokens() == 5);
    CHECK(settles[0].settle().completion_tokens() == 7);
    CHECK(settles[0].settle().holder() == kHolder);
    CHECK(harness.LastPortOf(Envelope::kSettle) == 1);
    CHECK_FALSE(harness.state().IsDrained());
    harness.Advance(milliseconds(600));
    CHECK(harness.Sent(Envelope::kSettle).size() == 2);
    Envelope ack;
    ack.mutable_settle_ack()->add_attempts("a1");
    harness.Deliver(kHolder, 1, ack);
    CHECK(harness.state().IsDrained());
  }

  SECTION(
      "the settlement goes to another control if the holder is unreachable") {
    harness.Advance(milliseconds(5000));
    harness.SendZoneView(kOtherHolder, 2);
    harness.state().OnAttemptEnded(
        Ended(1, AttemptResult::kCompleted, wire::OUTCOME_COMPLETED),
        harness.now());
    CHECK(harness.LastPortOf(Envelope::kSettle) == 2);
  }

  SECTION("the reservation shrinks once the prompt tokens are counted") {
    harness.state().OnPromptCounted({1, 9}, harness.now());
    const auto shrinks = harness.Sent(Envelope::kShrink);
    REQUIRE(shrinks.size() == 1);
    CHECK(shrinks[0].shrink().tokens() == 89);
  }

  SECTION("a duplicate of the grant is not returned as unused") {
    harness.Grant("a1");
    CHECK(harness.Sent(Envelope::kSettle).empty());
  }

  SECTION("a crash is reported and the request is rerun, billed once") {
    harness.state().OnAttemptEnded(
        Ended(1, AttemptResult::kCrashed, wire::OUTCOME_UNKNOWN),
        harness.now());
    CHECK(harness.Sent(Envelope::kBackendCrash).size() == 2);
    const auto settles = harness.Sent(Envelope::kSettle);
    REQUIRE(settles.size() == 1);
    if (settles[0].settle().rerun_follows())
      CHECK(harness.Sent(Envelope::kReserveRequest).size() == 2);
    else
      CHECK(TakeAs<FailRequest>(*mailbox)->problem.ran !=
            dandelionmill::base::Ran::kNo);
  }

  SECTION("after the caller disconnects control decides whether to cancel") {
    harness.state().OnCallerDisconnected({1}, harness.now());
    REQUIRE(harness.Sent(Envelope::kCallerGone).size() == 1);
    Envelope reply;
    reply.set_in_reply_to(harness.LastIdOf(Envelope::kCallerGone));
    reply.mutable_caller_gone_reply()->set_attempt("a1");
    harness.Deliver(kHolder, 1, reply);
    CHECK_FALSE(TakeAs<CancelDecision>(*mailbox)->cancel);
    Envelope order;
    order.mutable_caller_gone_reply()->set_attempt("a1");
    order.mutable_caller_gone_reply()->set_cancel(true);
    harness.Deliver(kHolder, 1, order);
    CHECK(TakeAs<CancelDecision>(*mailbox)->cancel);
  }

  SECTION("a request taken over by another router is not settled here") {
    Envelope detach;
    detach.mutable_detach()->set_attempt("a1");
    harness.Deliver(kHolder, 1, detach);
    CHECK(TakeAs<StopFollowing>(*mailbox));
    CHECK(harness.state().IsDrained());
    CHECK(harness.Sent(Envelope::kSettle).empty());
  }
}

TEST_CASE("Grants of a closed holder are not used", "[router]") {
  StateHarness harness;
  const auto mailbox = harness.Begin(1);

  SECTION("a grant that arrives after closing is dropped and reserved again") {
    harness.Close(kHolder);
    harness.Grant("a1");
    CHECK_FALSE(TakeAs<RunAttempt>(*mailbox));
    CHECK(harness.Sent(Envelope::kDispatched).empty());
    harness.Advance(milliseconds(150));
    harness.SendZoneView(kOtherHolder, 2);
    harness.Grant("a2", "c1/life.1");
    CHECK(TakeAs<RunAttempt>(*mailbox)->attempt.value() == "a2");
  }

  SECTION("the close report contains running and settled attempts") {
    harness.Grant("a1");
    const auto second = harness.Begin(2);
    harness.Grant("a2");
    harness.state().OnAttemptEnded(
        Ended(2, AttemptResult::kCompleted, wire::OUTCOME_COMPLETED),
        harness.now());
    harness.Close(kHolder);
    const auto reports = harness.Sent(Envelope::kCloseReport);
    REQUIRE(reports.size() == 1);
    const wire::CloseReport& report = reports[0].close_report();
    REQUIRE(report.running_size() == 1);
    CHECK(report.running(0).attempt() == "a1");
    CHECK(report.running(0).tokens() == 100);
    REQUIRE(report.uses_size() == 1);
    CHECK(report.uses(0).account() == "pigments");
    CHECK(report.uses(0).budget() == "default");
    CHECK(report.uses(0).settled_tokens() == 12);
  }
}

TEST_CASE("A reservation is sent to a control that answers", "[router]") {
  StateHarness harness;
  const auto mailbox = harness.Begin(1);
  const int first = harness.LastPortOf(Envelope::kReserveRequest);
  const int other = 3 - first;

  SECTION("it is resent to a control that is alive but does not answer") {
    for (int i = 0; i < 3; ++i) {
      harness.Advance(milliseconds(500));
      harness.SendZoneView(kHolder, 1);
      harness.SendZoneView(kOtherHolder, 2);
    }
    CHECK(harness.LastPortOf(Envelope::kReserveRequest) == first);
    CHECK(harness.Sent(Envelope::kReserveRequest)
              .back()
              .reserve_request()
              .resent());
  }

  SECTION("it is sent to the next control when the first one is unreachable") {
    for (int i = 0; i < 4; ++i) {
      harness.Advance(milliseconds(500));
      harness.SendZoneView(other == 1 ? kHolder : kOtherHolder, other);
    }
    harness.Advance(milliseconds(10));
    CHECK(harness.LastPortOf(Envelope::kReserveRequest) == other);
  }

  SECTION("without any control it is refused with a retry delay") {
    std::optional<FailRequest> failure;
    for (int i = 0; i < 10 && !failure; ++i) {
      harness.Advance(milliseconds(500));
      failure = TakeAs<FailRequest>(*mailbox);
    }
    REQUIRE(failure);
    CHECK(failure->problem.error.code == Code::kControlUnavailable);
    CHECK(failure->problem.ran == dandelionmill::base::Ran::kNo);
    CHECK(failure->problem.retry_after > milliseconds(0));
  }

  SECTION("a grant that arrives too late is returned unused") {
    harness.state().OnCallerDisconnected({1}, harness.now());
    harness.Grant("a1");
    harness.Advance(milliseconds(20));
    const auto settles = harness.Sent(Envelope::kSettle);
    REQUIRE(settles.size() == 1);
    CHECK(settles[0].settle().outcome() == wire::OUTCOME_NOT_RUN);
  }
}
