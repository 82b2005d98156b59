#include "dandelionmill/control/internal/config_distributor.h"

#include <catch2/catch.hpp>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/inventory/head.h"

namespace base = dandelionmill::base;
namespace inventory = dandelionmill::inventory;
using namespace dandelionmill::control::internal;  // NOLINT
using std::chrono::milliseconds;

namespace {

const base::HolderId kPeer("peer/1");

// A configuration as held by a store or a peer.
struct Stored {
  explicit Stored(base::ConfigVersion version, int retry_percent = 10) {
    parts["core"] = R"({"regions":[{"id":"r","zones":["a"]}],"rules":{)"
                    R"("retry_budget_percent":)" +
                    std::to_string(retry_percent) + "}}";
    head.version = version;
    head.parts = inventory::DigestsOf(parts);
  }
  VersionDigests digests() const { return {head.version, head.parts}; }

  inventory::Parts parts;
  inventory::Head head;
};

template <class Action>
const Action* Find(const DistributorActions& actions) {
  for (const DistributorAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action))
      return found;
  }
  return nullptr;
}

// Runs a distributor with a simulated clock, table and object store.
class Harness {
 public:
  // Ticks every 50 ms for `duration`; both stores reply at once.
  void Run(milliseconds duration) {
    for (milliseconds past{0}; past < duration; past += milliseconds(50)) {
      now += milliseconds(50);
      Execute(distributor.OnTick(is_zone_poller, now));
    }
  }

  void Execute(const DistributorActions& actions) {
    for (const DistributorAction& action : actions)
      std::visit(base::Overloaded{[&](const ReadRow& read) {
                                    ++reads;
                                    Execute(distributor.OnRow(
                                        read.key, Row(read.key), now));
                                  },
                                  [&](const GetPart& get) {
                                    Execute(distributor.OnPart(
                                        get.sha256, Object(get.sha256), now));
                                  },
                                  [&](const FetchFromPeer&) { ++peer_fetches; },
                                  [&](const PutInForce& put) {
                                    versions.push_back(put.config->version());
                                  },
                                  [&](const RejectVersion&) { ++rejected; }},
                 action);
  }

  void Store(const Stored& stored) {
    table[inventory::kHeadKey] = inventory::ToJson(stored.head);
    table[inventory::HistoryKey(stored.head.version)] =
        table[inventory::kHeadKey];
    for (const auto& [name, text] : stored.parts)
      objects[stored.head.parts.at(name)] = text;
  }

  ConfigDistributor distributor;
  base::MonoTime now = base::MonoTime() + std::chrono::hours(1);
  bool is_zone_poller = true;
  bool table_is_up = true;
  bool objects_are_up = true;
  std::map<std::string, std::string> table;
  std::map<std::string, std::string> objects;
  std::vector<base::ConfigVersion> versions;
  int reads = 0;
  int peer_fetches = 0;
  int rejected = 0;

 private:
  base::Result<std::string> Row(const std::string& key) {
    if (!table_is_up)
      return base::Error{base::Code::kStoreUnavailable, key};
    return table[key];
  }
  base::Result<std::string> Object(const std::string& sha256) {
    if (!objects_are_up || objects.count(sha256) == 0)
      return base::Error{base::Code::kStoreUnavailable, sha256};
    return objects[sha256];
  }
};

using Versions = std::vector<base::ConfigVersion>;

}  // namespace

TEST_CASE("A zone poller has each version in force within 1 s", "[config]") {
  Harness harness;
  harness.Store(Stored(1));
  harness.Run(milliseconds(100));
  CHECK(harness.versions == Versions{1});
  harness.Store(Stored(2, 20));
  harness.Run(milliseconds(1000));
  CHECK(harness.versions == Versions{1, 2});
}

TEST_CASE("A control skips intermediate versions", "[config]") {
  Harness harness;
  harness.Store(Stored(1));
  harness.Run(milliseconds(100));
  for (base::ConfigVersion version = 2; version <= 9; ++version)
    harness.Store(Stored(version, static_cast<int>(version)));
  harness.Run(milliseconds(1000));
  CHECK(harness.versions == Versions{1, 9});
}

TEST_CASE("A control that is not a zone poller reads the table rarely",
          "[config]") {
  Harness harness;
  harness.Store(Stored(1));
  harness.is_zone_poller = false;
  harness.Run(milliseconds(60000));
  CHECK(harness.versions == Versions{1});
  CHECK(harness.reads <= 7);
}

TEST_CASE("A control without access to the platform gets versions from peers",
          "[config]") {
  Harness harness;
  harness.Store(Stored(1));
  harness.Run(milliseconds(100));
  harness.table_is_up = false;
  harness.objects_are_up = false;
  const Stored second(2, 20);
  harness.Execute(harness.distributor.OnAnnounced(kPeer, 2, harness.now));
  CHECK(harness.peer_fetches == 1);
  harness.Execute(harness.distributor.OnPeerContent(second.digests(),
                                                    second.parts, harness.now));
  CHECK(harness.versions == Versions{1, 2});
  SECTION("it catches up with the table after access is restored") {
    harness.table_is_up = true;
    harness.objects_are_up = true;
    harness.Store(second);
    harness.Store(Stored(3, 30));
    harness.Run(milliseconds(1000));
    CHECK(harness.versions == Versions{1, 2, 3});
  }
}

TEST_CASE("A control started during a platform outage fetches from peers",
          "[config]") {
  Harness harness;
  harness.table_is_up = false;
  harness.Run(milliseconds(5000));
  CHECK(harness.peer_fetches >= 4);
  CHECK(harness.peer_fetches <= 30);
  const Stored second(2);
  SECTION("a peer without a configuration is retried later") {
    const int before = harness.peer_fetches;
    harness.Execute(harness.distributor.OnPeerContent({}, {}, harness.now));
    CHECK(harness.peer_fetches == before);
    harness.Run(milliseconds(1000));
    CHECK(harness.peer_fetches > before);
  }
  harness.Execute(harness.distributor.OnPeerContent(second.digests(),
                                                    second.parts, harness.now));
  CHECK(harness.versions == Versions{2});
}

TEST_CASE("Parts are fetched from a peer while the object store is unavailable",
          "[config]") {
  Harness harness;
  harness.Store(Stored(1));
  harness.Run(milliseconds(100));
  harness.objects_are_up = false;
  const Stored second(2, 20);
  harness.Store(second);
  harness.Run(milliseconds(1500));
  CHECK(harness.versions == Versions{1});
  CHECK(harness.peer_fetches >= 1);
  SECTION("a peer sends the parts") {
    harness.Execute(harness.distributor.OnPeerContent(
        second.digests(), second.parts, harness.now));
  }
  SECTION("the object store recovers") {
    harness.objects_are_up = true;
    harness.Run(milliseconds(3000));
  }
  CHECK(harness.versions == Versions{1, 2});
}

TEST_CASE("An older version never replaces a newer one", "[config]") {
  Harness harness;
  const Stored first(1);
  const Stored third(3, 30);
  harness.Store(third);
  harness.Run(milliseconds(100));
  REQUIRE(harness.versions == Versions{3});
  SECTION("a peer sends an older version") {
    harness.Execute(harness.distributor.OnPeerContent(
        first.digests(), first.parts, harness.now));
  }
  SECTION("the table reverts to an older version") {
    harness.table[inventory::HistoryKey(4)] = inventory::ToJson(first.head);
    harness.Store(first);
  }
  SECTION("a peer sends other content with the same version") {
    const Stored other(3, 99);
    harness.Execute(harness.distributor.OnPeerContent(
        other.digests(), other.parts, harness.now));
  }
  harness.Run(milliseconds(5000));
  CHECK(harness.versions == Versions{3});
  CHECK(harness.distributor.in_force().parts == third.head.parts);
}

TEST_CASE("Content that does not match its digest is not used", "[config]") {
  Harness harness;
  const Stored first(1);
  harness.Store(first);
  harness.objects[first.head.parts.at("core")] = "{}";
  harness.Run(milliseconds(2000));
  CHECK(harness.versions.empty());
  harness.Store(first);
  harness.Run(milliseconds(3000));
  CHECK(harness.versions == Versions{1});
}

TEST_CASE("An invalid configuration does not replace the one in force",
          "[config]") {
  Harness harness;
  harness.Store(Stored(1));
  harness.Run(milliseconds(100));
  Stored faulty(2);
  faulty.parts["core"] = R"({"regions":7})";
  faulty.head.parts = inventory::DigestsOf(faulty.parts);
  harness.Store(faulty);
  harness.Run(milliseconds(10000));
  CHECK(harness.versions == Versions{1});
  CHECK(harness.rejected >= 1);
  harness.Store(Stored(3, 30));
  harness.Run(milliseconds(1000));
  CHECK(harness.versions == Versions{1, 3});
}
