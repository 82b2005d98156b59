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
using dandelionmill::router::GiveUp;
using dandelionmill::router::Instruction;
using dandelionmill::router::Mailbox;
using dandelionmill::router::RequestInfo;
using dandelionmill::router::RouterMetrics;
using dandelionmill::router::RouterState;
using dandelionmill::router::RunOn;
using dandelionmill::router::TakenOver;
using dandelionmill::routing::Ending;
using dandelionmill::wire::Envelope;
using dandelionmill::wire::Route;
namespace wire = dandelionmill::wire;
using std::chrono::milliseconds;

namespace {

const char* const kHolder = "c1/life";
const char* const kOtherHolder = "c2/life";

// A router state with two controls of its zone, whose messages the test plays.
class Desk {
 public:
  Desk()
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
    Hear(kHolder, 1);
    Hear(kOtherHolder, 2);
    const auto dump = nlohmann::json::parse(state_.Dump(now_));
    REQUIRE(dump["config_problem"].get<std::string>().empty());
    REQUIRE(dump["config_version"] == 1);
  }

  RouterState& state() { return state_; }
  MonoTime now() const { return now_; }

  // A control says that it is there.
  void Hear(const std::string& holder, int port) {
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
    route.dialled = {"127.0.0.1", port};
    state_.OnMessage(route, envelope, now_);
  }

  void Pass(milliseconds time) {
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
    state_.OnBegin({info, mailbox}, now_);
    return mailbox;
  }

  // Answers the newest reservation with a grant of `holder`.
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

  // All messages of a kind that were sent so far.
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
    return sent_[LastIdOf(kind) - 1].first.dialled.port;
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
std::optional<T> Next(Mailbox& mailbox) {
  const auto instruction = mailbox.Take();
  if (!instruction || !std::holds_alternative<T>(*instruction))
    return std::nullopt;
  return std::get<T>(*instruction);
}

AttemptEnded Ended(std::uint64_t number, Ending ending, wire::Outcome outcome) {
  return {number, ending, false, {5, 7}, outcome};
}

}  // namespace

TEST_CASE("A request runs under a grant and is settled once", "[router]") {
  Desk desk;
  const auto mailbox = desk.Begin(1);
  desk.Grant("a1");
  const auto run = Next<RunOn>(*mailbox);
  REQUIRE(run);
  CHECK(run->attempt.value() == "a1");
  CHECK(run->backend.value() == "gw-a-1");
  CHECK(desk.Sent(Envelope::kDispatched).size() == 1);

  SECTION("with the true use, to the holder of the grant, until it answers") {
    desk.state().OnAttemptEnded(
        Ended(1, Ending::kCompleted, wire::OUTCOME_COMPLETED), desk.now());
    const auto settles = desk.Sent(Envelope::kSettle);
    REQUIRE(settles.size() == 1);
    CHECK(settles[0].settle().prompt_tokens() == 5);
    CHECK(settles[0].settle().completion_tokens() == 7);
    CHECK(settles[0].settle().holder() == kHolder);
    CHECK(desk.LastPortOf(Envelope::kSettle) == 1);
    CHECK_FALSE(desk.state().IsDrained());
    desk.Pass(milliseconds(600));
    CHECK(desk.Sent(Envelope::kSettle).size() == 2);
    Envelope ack;
    ack.mutable_settle_ack()->add_attempts("a1");
    desk.Deliver(kHolder, 1, ack);
    CHECK(desk.state().IsDrained());
  }

  SECTION("a holder that is gone leaves the settlement to another control") {
    desk.Pass(milliseconds(5000));
    desk.Hear(kOtherHolder, 2);
    desk.state().OnAttemptEnded(
        Ended(1, Ending::kCompleted, wire::OUTCOME_COMPLETED), desk.now());
    CHECK(desk.LastPortOf(Envelope::kSettle) == 2);
  }

  SECTION("the reservation shrinks when the prompt is counted") {
    desk.state().OnPromptCounted({1, 9}, desk.now());
    const auto shrinks = desk.Sent(Envelope::kShrink);
    REQUIRE(shrinks.size() == 1);
    CHECK(shrinks[0].shrink().tokens() == 89);
  }

  SECTION("a second copy of the grant is not taken for an unused one") {
    desk.Grant("a1");
    CHECK(desk.Sent(Envelope::kSettle).empty());
  }

  SECTION("a crash is reported and the request runs again, billed once") {
    desk.state().OnAttemptEnded(
        Ended(1, Ending::kCrashed, wire::OUTCOME_UNKNOWN), desk.now());
    CHECK(desk.Sent(Envelope::kBackendCrash).size() == 2);
    const auto settles = desk.Sent(Envelope::kSettle);
    REQUIRE(settles.size() == 1);
    if (settles[0].settle().rerun_follows())
      CHECK(desk.Sent(Envelope::kReserveRequest).size() == 2);
    else
      CHECK(Next<GiveUp>(*mailbox)->problem.ran !=
            dandelionmill::base::Ran::kNo);
  }

  SECTION("a caller that left is reported; control decides on cancelling") {
    desk.state().OnCallerLeft({1}, desk.now());
    REQUIRE(desk.Sent(Envelope::kCallerGone).size() == 1);
    Envelope reply;
    reply.set_in_reply_to(desk.LastIdOf(Envelope::kCallerGone));
    reply.mutable_caller_gone_reply()->set_attempt("a1");
    desk.Deliver(kHolder, 1, reply);
    CHECK_FALSE(Next<CancelDecision>(*mailbox)->cancel);
    Envelope order;
    order.mutable_caller_gone_reply()->set_attempt("a1");
    order.mutable_caller_gone_reply()->set_cancel(true);
    desk.Deliver(kHolder, 1, order);
    CHECK(Next<CancelDecision>(*mailbox)->cancel);
  }

  SECTION("a request that another router took over is not settled here") {
    Envelope detach;
    detach.mutable_detach()->set_attempt("a1");
    desk.Deliver(kHolder, 1, detach);
    CHECK(Next<TakenOver>(*mailbox));
    CHECK(desk.state().IsDrained());
    CHECK(desk.Sent(Envelope::kSettle).empty());
  }
}

TEST_CASE("A closed holder's grants are fenced off", "[router]") {
  Desk desk;
  const auto mailbox = desk.Begin(1);

  SECTION("a grant that was on its way is dropped and asked for anew") {
    desk.Close(kHolder);
    desk.Grant("a1");
    CHECK_FALSE(Next<RunOn>(*mailbox));
    CHECK(desk.Sent(Envelope::kDispatched).empty());
    desk.Pass(milliseconds(150));
    desk.Hear(kOtherHolder, 2);
    desk.Grant("a2", "c1/life.1");
    CHECK(Next<RunOn>(*mailbox)->attempt.value() == "a2");
  }

  SECTION("the report states what runs and what was settled") {
    desk.Grant("a1");
    const auto second = desk.Begin(2);
    desk.Grant("a2");
    desk.state().OnAttemptEnded(
        Ended(2, Ending::kCompleted, wire::OUTCOME_COMPLETED), desk.now());
    desk.Close(kHolder);
    const auto reports = desk.Sent(Envelope::kCloseReport);
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

TEST_CASE("A reservation finds a control that answers", "[router]") {
  Desk desk;
  const auto mailbox = desk.Begin(1);
  const int first = desk.LastPortOf(Envelope::kReserveRequest);
  const int other = 3 - first;

  SECTION("it is repeated to a control that is alive but does not answer") {
    for (int i = 0; i < 3; ++i) {
      desk.Pass(milliseconds(500));
      desk.Hear(kHolder, 1);
      desk.Hear(kOtherHolder, 2);
    }
    CHECK(desk.LastPortOf(Envelope::kReserveRequest) == first);
    CHECK(
        desk.Sent(Envelope::kReserveRequest).back().reserve_request().resent());
  }

  SECTION("it goes to the next when the first falls silent") {
    for (int i = 0; i < 4; ++i) {
      desk.Pass(milliseconds(500));
      desk.Hear(other == 1 ? kHolder : kOtherHolder, other);
    }
    desk.Pass(milliseconds(10));
    CHECK(desk.LastPortOf(Envelope::kReserveRequest) == other);
  }

  SECTION("without any control the caller is told so, with a time to retry") {
    std::optional<GiveUp> give_up;
    for (int i = 0; i < 10 && !give_up; ++i) {
      desk.Pass(milliseconds(500));
      give_up = Next<GiveUp>(*mailbox);
    }
    REQUIRE(give_up);
    CHECK(give_up->problem.error.code == Code::kControlUnavailable);
    CHECK(give_up->problem.ran == dandelionmill::base::Ran::kNo);
    CHECK(give_up->problem.retry_after > milliseconds(0));
  }

  SECTION("a grant that comes too late is returned unused") {
    desk.state().OnCallerLeft({1}, desk.now());
    desk.Grant("a1");
    desk.Pass(milliseconds(20));
    const auto settles = desk.Sent(Envelope::kSettle);
    REQUIRE(settles.size() == 1);
    CHECK(settles[0].settle().outcome() == wire::OUTCOME_NOT_RUN);
  }
}
