#include "dandelionmill/gateway/config_confirmation.h"

#include <catch2/catch.hpp>

using dandelionmill::base::BootTime;
using dandelionmill::gateway::ConfigConfirmation;
using std::chrono::milliseconds;

namespace {

BootTime At(int ms) {
  return BootTime(std::chrono::hours(1)) + milliseconds(ms);
}

ConfigConfirmation Confirmed() {
  ConfigConfirmation confirmation;
  confirmation.OnStored(4);
  confirmation.OnInForce(4);
  confirmation.OnConfirmed(At(0));
  return confirmation;
}

}  // namespace

TEST_CASE("A configuration is current for a while after its confirmation",
          "[gateway]") {
  ConfigConfirmation confirmation;
  CHECK_FALSE(confirmation.IsCurrent(At(0)));
  confirmation = Confirmed();
  CHECK(confirmation.IsCurrent(At(1600)));
  CHECK_FALSE(confirmation.IsCurrent(At(1601)));
  SECTION("not if a newer one cannot be decoded") {
    confirmation.OnRejected();
    CHECK_FALSE(confirmation.IsCurrent(At(1)));
    confirmation.OnStored(6);
    confirmation.OnInForce(6);
    CHECK(confirmation.IsCurrent(At(1)));
  }
  SECTION("not if the changes cannot be followed") {
    confirmation.OnBehind();
    CHECK_FALSE(confirmation.IsCurrent(At(1)));
  }
  SECTION("not if another instance has a newer one") {
    confirmation.OnPeerVersion(5);
    CHECK_FALSE(confirmation.IsCurrent(At(1)));
  }
}

// Guards against final refusals by a configuration whose successor the restored
// store has lost.
TEST_CASE("After a restore a configuration is current once it is written again",
          "[gateway]") {
  ConfigConfirmation confirmation = Confirmed();
  confirmation.OnStoreRestored(At(1000));
  SECTION("while the operator may not have written again") {
    confirmation.OnStored(4);
    confirmation.OnConfirmed(At(1100));
    CHECK_FALSE(confirmation.IsCurrent(At(1100)));
    confirmation.OnConfirmed(At(3500));
    CHECK(confirmation.IsCurrent(At(3500)));
  }
  SECTION("while the store has an older one") {
    confirmation.OnStored(2);
    confirmation.OnConfirmed(At(9000));
    CHECK_FALSE(confirmation.IsCurrent(At(9000)));
    confirmation.OnStored(4);
    CHECK(confirmation.IsCurrent(At(9000)));
  }
}
