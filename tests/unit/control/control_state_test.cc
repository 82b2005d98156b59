#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dandelionmill/control/control_actor.h"
#include "dandelionmill/control/control_settings.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/metrics/registry.h"
#include "dandelionmill/wire/envelope.pb.h"
#include "dandelionmill/wire/pending_calls.h"

namespace dandelionmill::control {
namespace {

const char kSettings[] = R"({
  "instance": "a1", "zone": "a", "region": "r",
  "bus_address": "127.0.0.1:19731", "admin_address": "127.0.0.1:19732",
  "admin_key": "admin-secret", "fleet_key": "fleet-secret",
  "platform_address": "127.0.0.1:19733", "platform_key": "platform-secret"})";

// Counts the events that it receives.
class CountingModule : public Module {
 public:
  struct Counts {
    int messages = 0;
    int ticks = 0;
    int configs = 0;
    bool drained = false;
  };
  explicit CountingModule(Counts& counts) : counts_(counts) {}

  void OnMessage(const wire::Route&, const wire::Envelope&) override {
    ++counts_.messages;
  }
  void OnTick(base::MonoTime) override { ++counts_.ticks; }
  void OnConfig() override { ++counts_.configs; }
  void OnLeave() override { counts_.drained = true; }
  bool IsDrained() const override { return counts_.drained; }
  void Dump(nlohmann::json& dump) const override {
    dump["ticks"] = counts_.ticks;
  }

 private:
  Counts& counts_;
};

BusMessage MessageWith(std::uint64_t in_reply_to) {
  auto envelope = std::make_shared<wire::Envelope>();
  envelope->set_in_reply_to(in_reply_to);
  return {wire::Route{}, envelope};
}

}  // namespace

TEST_CASE("Control state passes events to its modules", "[control]") {
  const settings::Values values =
      base::ValueOf(settings::Check(ControlSchema(), kSettings));
  metrics::Registry metrics;
  wire::PendingCalls calls;
  wire::Bus bus({{}, "a1/1", "fleet-secret", {}},
                [](const wire::Route&, wire::Envelope) {});
  PlatformIo platform(nullptr, nullptr, nullptr, 1,
                      [](const std::function<void()>&) {});
  ControlState state(
      Context{values, base::HolderId("a1/1"), base::InstanceId("a1"),
              base::ZoneId("a"), base::RegionId("r"), bus, calls, platform,
              metrics, nullptr, membership::View{}, false},
      calls);
  CountingModule::Counts counts;
  state.Add(std::make_unique<CountingModule>(counts));

  SECTION("an expected reply goes to the pending call only") {
    const wire::Envelope* delivered = nullptr;
    calls.Expect(7, base::MonoTime::max(),
                 [&](const wire::Envelope* reply) { delivered = reply; });
    state.OnMessage(MessageWith(7));
    CHECK(delivered != nullptr);
    CHECK(counts.messages == 0);
  }
  SECTION("a reply that no call expects goes to the modules") {
    state.OnMessage(MessageWith(7));
    CHECK(counts.messages == 1);
  }
  SECTION("a call without a reply is completed at its deadline") {
    const base::MonoTime now = std::chrono::steady_clock::now();
    int ended_without_reply = 0;
    calls.Expect(7, now, [&](const wire::Envelope* reply) {
      ended_without_reply += reply == nullptr ? 1 : 0;
    });
    state.OnTick(now - std::chrono::milliseconds(1));
    CHECK(ended_without_reply == 0);
    state.OnTick(now);
    CHECK(ended_without_reply == 1);
    CHECK(calls.size() == 0);
  }
  SECTION("modules are notified once of a new configuration") {
    state.context().config = std::make_shared<inventory::Snapshot>(
        3, inventory::Core{}, std::vector<inventory::Account>{});
    state.OnTick(std::chrono::steady_clock::now());
    state.OnTick(std::chrono::steady_clock::now());
    CHECK(counts.configs == 1);
  }
  SECTION("the state is drained when every module is drained") {
    CHECK_FALSE(state.IsDrained());
    state.OnLeave();
    CHECK(state.IsDrained());
  }
  SECTION("the dump contains the holder id and no secret") {
    const std::string dump = state.Dump();
    CHECK(nlohmann::json::parse(dump)["holder"] == "a1/1");
    CHECK(dump.find("secret") == std::string::npos);
  }
}

}  // namespace dandelionmill::control
