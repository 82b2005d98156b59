#include "dandelionmill/gateway/service_versions.h"

#include <catch2/catch.hpp>

namespace base = dandelionmill::base;
using dandelionmill::gateway::ServiceVersion;
using dandelionmill::gateway::ServiceVersionRow;
using dandelionmill::gateway::ServiceVersions;
using std::chrono::seconds;

namespace {

const base::ServiceId kService("model");
constexpr std::uint64_t kEra = 3;

base::MonoTime At(int s) {
  return base::MonoTime(std::chrono::hours(1)) + seconds(s);
}

ServiceVersionRow Row(const std::string& version, std::uint64_t era = kEra) {
  return {{kService, version}, era};
}

// Returns the only version that the rows show, or what else they show.
std::string Judge(const ServiceVersions& versions,
                  const std::vector<ServiceVersionRow>& rows,
                  base::MonoTime now) {
  const auto judgement = versions.Judge(kService, rows, kEra, now);
  if (const auto* only = std::get_if<ServiceVersions::Only>(&judgement))
    return only->version;
  return std::holds_alternative<ServiceVersions::Several>(judgement)
             ? "several"
             : "incomplete";
}

std::vector<std::string> Names(const std::vector<ServiceVersion>& versions) {
  std::vector<std::string> names;
  for (const ServiceVersion& version : versions)
    names.push_back(version.version);
  return names;
}

// Returns the versions, with "?" after those whose row names no era.
std::vector<std::string> Names(const std::vector<ServiceVersionRow>& rows) {
  std::vector<std::string> names;
  for (const ServiceVersionRow& row : rows)
    names.push_back(row.name.version + (row.era ? "" : "?"));
  return names;
}

// Lists `versions` every five seconds.
void List(ServiceVersions& versions,
          const std::set<std::string>& listed,
          int from_s,
          int to_s) {
  for (int s = from_s; s <= to_s; s += 5)
    versions.OnListed(kService, listed, At(s));
}

using Strings = std::vector<std::string>;

}  // namespace

TEST_CASE("Streams have one version only if all records name it", "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({}, kEra, At(0));
  CHECK(Judge(versions, {}, At(0)) == "incomplete");
  CHECK(Judge(versions, {Row("v1")}, At(0)) == "v1");
  CHECK(Judge(versions, {Row("v1"), Row("v2")}, At(0)) == "several");
  CHECK(Judge(versions, {Row("v1", kEra - 1)}, At(0)) == "incomplete");
  CHECK(Judge(versions, {Row("v1"), Row("v2", kEra - 1)}, At(0)) ==
        "incomplete");
  SECTION("and the registry has listed no other one of late") {
    List(versions, {"v1", "v2"}, 5, 10);
    List(versions, {"v1"}, 15, 45);
    CHECK(Judge(versions, {Row("v1")}, At(40)) == "incomplete");
    CHECK(Judge(versions, {Row("v1"), Row("v2")}, At(40)) == "several");
    CHECK(Judge(versions, {Row("v1")}, At(41)) == "v1");
  }
  SECTION("not those of another service") {
    CHECK(Judge(versions, {Row("v1"), {{base::ServiceId("other"), "v2"}, kEra}},
                At(0)) == "v1");
  }
}

TEST_CASE("A listed version has to be recorded", "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({Row("v1")}, kEra, At(0));
  CHECK(versions.IsRecorded(kService, "v1"));
  CHECK(versions.Unrecorded(At(0)).empty());
  versions.OnListed(kService, {"v1", "v2"}, At(0));
  CHECK_FALSE(versions.IsRecorded(kService, "v2"));
  CHECK(Names(versions.Unrecorded(At(0))) == Strings{"v2"});
  CHECK(versions.IsMixed(kService));
  versions.OnRecorded({Row("v2")}, kEra, kEra, At(1));
  CHECK(versions.IsRecorded(kService, "v2"));
  CHECK(versions.Unrecorded(At(1)).empty());
  SECTION("again when the store was restored before the write took effect") {
    versions.OnListed(kService, {"v3"}, At(1));
    versions.OnRecorded({Row("v3")}, kEra, kEra + 1, At(1));
    CHECK_FALSE(versions.IsRecorded(kService, "v3"));
    CHECK(Names(versions.Unrecorded(At(1))) == Strings{"v1?", "v2?", "v3?"});
  }
}

// Guards against a late deletion of the row by an instance that did not list
// the version either.
TEST_CASE("A version that is listed again is written again", "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({Row("v1"), Row("v2")}, kEra, At(0));
  SECTION("after it was not listed for a while") {
    List(versions, {"v1", "v2"}, 0, 5);
    List(versions, {"v1"}, 10, 40);
    CHECK(versions.IsRecorded(kService, "v2"));
    versions.OnListed(kService, {"v1", "v2"}, At(41));
  }
  SECTION("although it was known from the store only") {
    List(versions, {"v1"}, 0, 40);
    versions.OnListed(kService, {"v1", "v2"}, At(41));
  }
  CHECK_FALSE(versions.IsRecorded(kService, "v2"));
  versions.OnRead({Row("v1"), Row("v2")}, kEra, At(41));
  CHECK_FALSE(versions.IsRecorded(kService, "v2"));
  CHECK(Names(versions.Unrecorded(At(41))) == Strings{"v2"});
  versions.OnRecorded({Row("v2")}, kEra, kEra, At(42));
  CHECK(versions.IsRecorded(kService, "v2"));
}

// Guards against statements about a time in which the process stood still or
// could not read the registry.
TEST_CASE("Versions are remembered over a time without the registry",
          "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({Row("v1")}, kEra, At(0));
  versions.OnListed(kService, {"v1"}, At(0));
  SECTION("so that streams begin at once when it is back") {
    versions.OnListed(kService, {"v1"}, At(61));
    CHECK(versions.IsRecorded(kService, "v1"));
  }
  SECTION("also if they are no longer listed then") {
    versions.OnListed(kService, {"v2"}, At(61));
    CHECK(versions.Expired(At(61)).empty());
    CHECK(Judge(versions, {Row("v2")}, At(61)) == "incomplete");
  }
}

TEST_CASE("A record is deleted when its version has not been listed for long",
          "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({Row("v1"), Row("v2")}, kEra, At(0));
  List(versions, {"v2"}, 0, 60);
  CHECK(versions.Expired(At(60)).empty());
  CHECK(Names(versions.Expired(At(61))) == Strings{"v1"});
  CHECK(versions.IsMixed(kService));
  versions.OnRead({Row("v2")}, kEra, At(62));
  CHECK_FALSE(versions.IsMixed(kService));
  SECTION("but not while no version of its service is listed") {
    CHECK(versions.Expired(At(200)).empty());
  }
}

TEST_CASE("Records name an era once no stream can be older than it",
          "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({Row("v1", kEra - 1)}, kEra, At(0));
  List(versions, {"v1"}, 0, 25);
  CHECK(versions.IsRecorded(kService, "v1"));
  CHECK(versions.NeedsStreamRows(kService));
  CHECK(versions.Unrecorded(At(29)).empty());
  CHECK(Names(versions.Unrecorded(At(30))) == Strings{"v1"});
  versions.OnRecorded({Row("v1")}, kEra, kEra, At(30));
  CHECK_FALSE(versions.NeedsStreamRows(kService));
  CHECK(versions.Unrecorded(At(30)).empty());
  SECTION("which starts anew with a restore") {
    List(versions, {"v1"}, 30, 40);
    versions.OnStoreRestored(kEra + 1, At(40));
    CHECK_FALSE(versions.IsRecorded(kService, "v1"));
    CHECK(Names(versions.Unrecorded(At(40))) == Strings{"v1?"});
    versions.OnRecorded({{{kService, "v1"}, std::nullopt}}, kEra + 1, kEra + 1,
                        At(41));
    CHECK(versions.IsRecorded(kService, "v1"));
    CHECK(versions.NeedsStreamRows(kService));
    CHECK(versions.Unrecorded(At(69)).empty());
    CHECK(Names(versions.Unrecorded(At(70))) == Strings{"v1"});
  }
  SECTION("and a version that was recorded long before stays usable") {
    List(versions, {"v1"}, 30, 95);
    versions.OnStoreRestored(kEra + 1, At(95));
    CHECK(versions.IsRecorded(kService, "v1"));
  }
  SECTION("as the row of a further version does at once") {
    versions.OnListed(kService, {"v1", "v2"}, At(31));
    CHECK(Names(versions.Unrecorded(At(31))) == Strings{"v2"});
  }
}
