#include "dandelionmill/scheduling/evacuations.h"

#include <catch2/catch.hpp>

namespace base = dandelionmill::base;
using dandelionmill::scheduling::EvacuationBegun;
using dandelionmill::scheduling::EvacuationChanges;
using dandelionmill::scheduling::EvacuationEnded;
using dandelionmill::scheduling::EvacuationIgnored;
using dandelionmill::scheduling::EvacuationRow;
using dandelionmill::scheduling::Evacuations;
using std::chrono::milliseconds;

namespace {

const base::ZoneId kZone("north");
constexpr base::BootTime kNow{std::chrono::hours(1)};

EvacuationRow Present(std::uint64_t version, const base::ZoneId& zone = kZone) {
  return {zone, version, EvacuationRow::Present{}};
}

EvacuationRow Removed(std::uint64_t version) {
  return {kZone, version, EvacuationRow::Removed{}};
}

EvacuationRow Malformed(std::uint64_t version) {
  return {kZone, version, EvacuationRow::Malformed{}};
}

// Returns an evacuation of kZone by a row of version 3.
Evacuations Evacuated() {
  Evacuations evacuations({kZone, base::ZoneId("south")});
  evacuations.OnRow(Present(3));
  return evacuations;
}

// Returns the version in the only change, which must be of type T.
template <class T>
std::uint64_t VersionIn(const EvacuationChanges& changes) {
  REQUIRE(changes.size() == 1);
  REQUIRE(std::holds_alternative<T>(changes[0]));
  return std::get<T>(changes[0]).row_version;
}

}  // namespace

// Guards against requests to an evacuated zone, and against an evacuation that
// goes on after it was cancelled.
TEST_CASE("A zone is evacuated from its row's first write to its removal",
          "[scheduling]") {
  Evacuations evacuations({kZone});
  CHECK(evacuations.empty());
  CHECK(VersionIn<EvacuationBegun>(evacuations.OnRow(Present(3))) == 3);
  CHECK(evacuations.Includes(kZone));
  CHECK_FALSE(evacuations.Includes(base::ZoneId("south")));
  CHECK(evacuations.OnRow(Present(4)).empty());
  CHECK(evacuations.OnRows({Present(4)}, kNow).empty());
  CHECK(VersionIn<EvacuationEnded>(evacuations.OnRow(Removed(5))) == 5);
  CHECK(evacuations.empty());
  CHECK(evacuations.OnRow(Removed(5)).empty());
}

// Guards against a cancellation that is missed since the removal was not in the
// changes that could be followed.
TEST_CASE("An evacuation ends if a read of all rows lacks its row",
          "[scheduling]") {
  Evacuations evacuations = Evacuated();
  CHECK(VersionIn<EvacuationEnded>(evacuations.OnRows({}, kNow)) == 3);
  CHECK(evacuations.empty());
}

// Guards against requests to an evacuated zone while the operator has not yet
// written again what a restored store has lost, and against an evacuation that
// never ends since nobody does.
TEST_CASE("A row that a restored store lacks counts as present for a time",
          "[scheduling]") {
  Evacuations evacuations = Evacuated();
  evacuations.OnStoreRestored();
  CHECK(evacuations.OnRows({}, kNow).empty());
  const auto end = kNow + Evacuations::kRewriteTime;
  CHECK(evacuations.OnCurrent(end - milliseconds(1)).empty());
  CHECK(evacuations.OnRows({}, kNow + milliseconds(1000)).empty());
  CHECK(evacuations.Includes(kZone));

  SECTION("it is written again") {
    CHECK(evacuations.OnRow(Present(2)).empty());
    CHECK(evacuations.OnCurrent(end + milliseconds(1000)).empty());
    CHECK(evacuations.Includes(kZone));
  }
  SECTION("it is removed") {
    evacuations.OnRow(Removed(2));
    CHECK(evacuations.empty());
  }
  SECTION("it stays missing") {
    CHECK(VersionIn<EvacuationEnded>(evacuations.OnCurrent(end)) == 3);
    CHECK(evacuations.empty());
  }
}

// Guards against rows with a misspelt zone or a wrong value that stop traffic,
// and against one that ends an evacuation unasked.
TEST_CASE("A row for an unknown zone or with a wrong value has no effect",
          "[scheduling]") {
  Evacuations unused({kZone});
  CHECK(VersionIn<EvacuationIgnored>(
            unused.OnRow(Present(3, base::ZoneId("nroth")))) == 3);
  CHECK(VersionIn<EvacuationIgnored>(unused.OnRow(Malformed(4))) == 4);
  CHECK(unused.empty());

  Evacuations evacuations = Evacuated();
  evacuations.OnRow(Malformed(4));
  CHECK(evacuations.Includes(kZone));
  VersionIn<EvacuationIgnored>(evacuations.OnRows({Malformed(4)}, kNow));
  CHECK(evacuations.Includes(kZone));
}
