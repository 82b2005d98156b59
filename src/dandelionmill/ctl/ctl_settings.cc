#include "dandelionmill/ctl/ctl_settings.h"

namespace dandelionmill::ctl {

settings::Schema CtlSchema() {
  using settings::AddressKey;
  using settings::AddressListKey;
  using settings::IntegerKey;
  using settings::TextKey;
  return {
      {"platform_address", AddressKey{true},
       "Address of the platform's service."},
      {"platform_key", TextKey{"", true, {}, true},
       "Key for the platform's service."},
      {"platform_timeout_ms", IntegerKey{5000, 100, 60000, "ms"},
       "Timeout of a call to the platform or to an admin port."},
      {"admin_addresses", AddressListKey{},
       "Admin ports of the controls and routers that status, members and dump "
       "ask."},
      {"admin_key", TextKey{"", false, {}, true}, "Key of the admin ports."},
      {"author", TextKey{"operator", false, {}, false},
       "Author recorded in the history for changes."},
  };
}

}  // namespace dandelionmill::ctl
