#include <unistd.h>

#include <catch2/catch.hpp>

#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/storage/http_platform.h"
#include "standins/platform/platform_server.h"

using dandelionmill::base::Code;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::ValueOf;
using dandelionmill::storage::HttpObjectStore;
using dandelionmill::storage::HttpTableStore;
using dandelionmill::storage::PlatformAddress;
using standins::platform::PlatformServer;

namespace {

// Returns options with ports derived from the process id, to avoid collisions
// with other test processes.
PlatformServer::Options OptionsWithUniquePorts() {
  const int base = 21000 + static_cast<int>(getpid()) % 1000 * 2;
  PlatformServer::Options options;
  options.listen = {"127.0.0.1", base};
  options.admin = {"127.0.0.1", base + 1};
  options.key = "secret";
  return options;
}

}  // namespace

TEST_CASE("The HTTP storage adapters work with the stand-in platform") {
  const PlatformServer::Options options = OptionsWithUniquePorts();
  PlatformServer server(options);
  REQUIRE(IsOk(server.Start()));
  const PlatformAddress address{options.listen, "secret"};
  HttpTableStore table(address);
  HttpObjectStore objects(address);

  REQUIRE(IsOk(table.Commit({{{"budget/a b/default", 0, "x%y"}}})));
  const auto row = table.Read("budget/a b/default");
  REQUIRE(IsOk(row));
  CHECK(ValueOf(row).version == 1);
  CHECK(ValueOf(row).value == "x%y");
  CHECK(ErrorOf(table.Commit({{{"budget/a b/default", 0, "z"}}})).code ==
        Code::kStoreConflict);
  CHECK(ValueOf(table.Scan("budget/", "", 10)).size() == 1);

  REQUIRE(IsOk(objects.Put("charges/2026-12-04/e1-1.jsonl", "line\n")));
  CHECK(ValueOf(objects.Get("charges/2026-12-04/e1-1.jsonl")) == "line\n");
  CHECK(ValueOf(objects.List("charges/", "", 10)).size() == 1);
  CHECK(ErrorOf(objects.Get("absent")).code == Code::kNotFound);

  const PlatformAddress unauthorized{options.listen, "guess"};
  CHECK(ErrorOf(HttpTableStore(unauthorized).Read("a")).code ==
        Code::kStoreUnavailable);
}
