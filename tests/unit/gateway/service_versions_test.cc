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
    versions.OnListed(kService, {"v2"}, At(10));
    CHECK(Judge(versions, {Row("v1")}, At(40)) == "several");
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
  versions.OnRecorded({{kService, "v2"}}, kEra, kEra, At(1));
  CHECK(versions.IsRecorded(kService, "v2"));
  CHECK(versions.Unrecorded(At(1)).empty());
  SECTION("again when it is listed after it was not for a while") {
    versions.OnListed(kService, {"v1"}, At(40));
    CHECK(versions.IsRecorded(kService, "v2"));
    versions.OnListed(kService, {"v1", "v2"}, At(40));
    CHECK_FALSE(versions.IsRecorded(kService, "v2"));
  }
  SECTION("again when the store was restored before the write took effect") {
    versions.OnListed(kService, {"v3"}, At(1));
    versions.OnRecorded({{kService, "v3"}}, kEra, kEra + 1, At(1));
    CHECK_FALSE(versions.IsRecorded(kService, "v3"));
    CHECK(Names(versions.Unrecorded(At(1))) == Strings{"v1", "v2", "v3"});
  }
}

TEST_CASE("A record is deleted when its version has not been listed for long",
          "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({Row("v1"), Row("v2")}, kEra, At(0));
  for (int s = 0; s <= 60; s += 10)
    versions.OnListed(kService, {"v2"}, At(s));
  CHECK(versions.Expired(At(60)).empty());
  CHECK(Names(versions.Expired(At(61))) == Strings{"v1"});
  CHECK(versions.IsMixed(kService));
  versions.OnRead({Row("v2")}, kEra, At(62));
  CHECK_FALSE(versions.IsMixed(kService));
  SECTION("but not while no version of its service is listed") {
    CHECK(versions.Expired(At(200)).empty());
  }
}

TEST_CASE("Records of an earlier era are renewed by processes that know it",
          "[gateway]") {
  ServiceVersions versions(At(0));
  versions.OnRead({Row("v1", kEra - 1)}, kEra, At(0));
  versions.OnListed(kService, {"v1"}, At(0));
  SECTION("not by one that started later") {
    CHECK(versions.IsRecorded(kService, "v1"));
    CHECK(versions.Unrecorded(At(29)).empty());
    versions.OnListed(kService, {"v1"}, At(29));
    CHECK(Names(versions.Unrecorded(At(30))) == Strings{"v1"});
  }
  SECTION("at once by one that has seen the restore") {
    versions.OnStoreRestored(kEra + 1, At(1));
    CHECK(Names(versions.Unrecorded(At(1))) == Strings{"v1"});
    CHECK_FALSE(versions.IsRecorded(kService, "v1"));
    versions.OnRecorded({{kService, "v1"}}, kEra + 1, kEra + 1, At(1));
    CHECK(versions.IsRecorded(kService, "v1"));
    CHECK(versions.Unrecorded(At(1)).empty());
  }
  SECTION("streams may begin meanwhile at one that was recorded long before") {
    versions.OnStoreRestored(kEra + 1, At(61));
    CHECK(versions.IsRecorded(kService, "v1"));
  }
}
