#include "dandelionmill/control/control_settings.h"

namespace dandelionmill::control {

settings::Schema ControlSchema() {
  using settings::AddressKey;
  using settings::AddressListKey;
  using settings::IntegerKey;
  using settings::TextKey;
  using settings::TextMapKey;
  return {
      {"instance", TextKey{"", true, {}, false}, "Name of this instance."},
      {"zone", TextKey{"", true, {}, false},
       "Availability zone of this instance."},
      {"region", TextKey{"", true, {}, false}, "Region of this instance."},
      {"bus_address", AddressKey{true},
       "Bus address that routers and other controls connect to."},
      {"admin_address", AddressKey{true},
       "Address of the admin port for health, metrics and state."},
      {"admin_key", TextKey{"", true, {}, true}, "Key of the admin port."},
      {"fleet_key", TextKey{"", true, {}, true},
       "Key shared by all processes of the fleet."},
      {"platform_address", AddressKey{true}, "Address of the platform."},
      {"platform_key", TextKey{"", true, {}, true}, "Key of the platform."},
      {"platform_timeout_ms", IntegerKey{2000, 100, 60000, "ms"},
       "Time limit of one call to the platform."},
      {"platform_threads", IntegerKey{4, 1, 64, ""},
       "Maximum number of concurrent calls to the platform."},
      {"address_map", TextMapKey{},
       "Addresses at which peers are reachable, by the address that they are "
       "bound to."},
      {"seed_peers", AddressListKey{},
       "Controls to fetch the configuration from while the platform is "
       "unavailable."},
      {"drain_timeout_ms", IntegerKey{120000, 0, 3600000, "ms"},
       "Maximum time that a shutdown waits for running requests and pending "
       "writes."},
  };
}

}  // namespace dandelionmill::control
