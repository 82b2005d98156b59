#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "dandelionmill/control/config_module.h"
#include "dandelionmill/control/control_actor.h"
#include "dandelionmill/control/control_settings.h"
#include "dandelionmill/control/membership_module.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/inventory/head.h"
#include "dandelionmill/inventory/parse.h"
#include "dandelionmill/metrics/registry.h"
#include "dandelionmill/wire/envelope.pb.h"
#include "dandelionmill/wire/pending_calls.h"
#include "tests/property/mutator.h"
#include "tests/unit/inventory/example.h"

namespace base = dandelionmill::base;
namespace control = dandelionmill::control;
namespace inventory = dandelionmill::inventory;
namespace wire = dandelionmill::wire;

namespace {

constexpr int kInputsPerCase = 300;

const char kSettings[] = R"({
  "instance": "a1", "zone": "a", "region": "r",
  "bus_address": "127.0.0.1:29401", "admin_address": "127.0.0.1:29402",
  "admin_key": "admin-secret", "fleet_key": "fleet-secret",
  "platform_address": "127.0.0.1:29403", "platform_key": "platform-secret"})";

wire::Envelope ContentMessage(base::ConfigVersion version) {
  const auto document =
      inventory::ParseInventory(inventory::ExampleInventory().dump(), "{}");
  wire::Envelope message;
  wire::ConfigHead& head = *message.mutable_config_content()->mutable_head();
  head.set_version(version);
  const inventory::Parts parts = inventory::SplitParts(base::ValueOf(document));
  const auto digests = inventory::DigestsOf(parts);
  for (const auto& [name, text] : parts) {
    wire::ConfigPart& part = *head.add_parts();
    part.set_name(name);
    part.set_sha256(digests.at(name));
    part.set_content(text);
  }
  return message;
}

wire::Envelope HeartbeatMessage() {
  wire::Envelope message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  for (wire::ControlInfo* info :
       {heartbeat.mutable_self(), heartbeat.add_known()}) {
    info->set_holder("b1/x");
    info->set_instance("b1");
    info->set_zone("a");
    info->set_address("127.0.0.1:29404");
    info->set_config_version(3);
    info->set_sequence(9);
  }
  heartbeat.mutable_list()->set_age_ms(100);
  heartbeat.mutable_list()->add_leaving_backends("gw-a-1");
  return message;
}

wire::Envelope HelloMessage() {
  wire::Envelope message;
  wire::RouterHello& hello = *message.mutable_router_hello();
  hello.set_router("a1/r");
  hello.set_instance("a1");
  hello.set_zone("a");
  return message;
}

// The state of a control with its membership and configuration modules; its bus
// and platform are not started.
class Control {
 public:
  Control() {
    state.Add(std::make_unique<control::MembershipModule>(state.context()));
    state.Add(std::make_unique<control::ConfigModule>(state.context()));
  }

  void Feed(const std::string& bytes) {
    auto message = std::make_shared<wire::Envelope>();
    if (message->ParseFromString(bytes))
      state.OnMessage({wire::Route(), message});
  }

  dandelionmill::settings::Values values = base::ValueOf(
      dandelionmill::settings::Check(control::ControlSchema(), kSettings));
  dandelionmill::metrics::Registry metrics;
  wire::PendingCalls calls;
  wire::Bus bus{{{}, "a1/1", "fleet-secret", {}, {}},
                [](const wire::Route&, wire::Envelope) {}};
  control::PlatformIo platform{nullptr, nullptr, nullptr, 0,
                               [](const std::function<void()>&) {}};
  control::ControlState state{
      control::Context{values, base::HolderId("a1/1"), base::InstanceId("a1"),
                       base::ZoneId("a"), base::RegionId("r"), bus, calls,
                       platform, metrics, nullptr,
                       dandelionmill::membership::View{}, false},
      calls};
};

void FeedMessages(std::uint64_t seed) {
  tests::Mutator mutator(seed);
  Control control;
  const std::vector<std::string> good = {ContentMessage(3).SerializeAsString(),
                                         HeartbeatMessage().SerializeAsString(),
                                         HelloMessage().SerializeAsString()};
  base::ConfigVersion version = 0;
  for (int i = 0; i < kInputsPerCase; ++i) {
    control.Feed(mutator.Mutate(good[mutator.RandomBelow(good.size())]));
    const auto& config = control.state.context().config;
    RC_ASSERT((config ? config->version() : 0) >= version);
    version = config ? config->version() : 0;
    RC_ASSERT(control.state.context().members.members[0].instance.value() ==
              "a1");
  }
  const std::string dump = control.state.Dump();
  RC_ASSERT(nlohmann::json::accept(dump));
  for (const char* secret : {"admin-secret", "fleet-secret", "platform-secret"})
    RC_ASSERT(dump.find(secret) == std::string::npos);
}

}  // namespace

TEST_CASE(
    "No mutated message crashes a control, reverts its version or leaks a "
    "secret",
    "[property]") {
  CHECK(rc::check("mutated messages", FeedMessages));
}
