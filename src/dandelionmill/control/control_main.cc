#include <memory>

#include "dandelionmill/control/control.h"
#include "dandelionmill/control/control_settings.h"
#include "dandelionmill/daemon/daemon.h"

int main(int argc, char** argv) {
  using dandelionmill::control::Control;
  return dandelionmill::daemon::Main(
      argc, argv,
      {"dandelion-control",
       "manages configuration, membership, budget leases, claims and charges",
       dandelionmill::control::ControlSchema(),
       [](const dandelionmill::settings::Values& settings) {
         return std::make_unique<Control>(settings);
       }});
}
