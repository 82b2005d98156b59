#include "dandelionmill/router/router_settings.h"

namespace dandelionmill::router {

settings::Schema RouterSchema() {
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
      {"listen_address", AddressKey{true},
       "Address on which callers are served."},
      {"admin_address", AddressKey{true},
       "Address of the admin port, which serves health, metrics and state."},
      {"admin_key", TextKey{"", true, {}, true},
       "Key that the admin port requires."},
      {"fleet_key", TextKey{"", true, {}, true},
       "Key shared by all processes of the fleet."},
      {"control_address", AddressKey{true},
       "Address of the control process of this instance."},
      {"fallback_controls", AddressListKey{},
       "Addresses of further controls in the availability zone."},
      {"address_map", TextMapKey{},
       "Maps the address to which a peer is bound to the address at which it "
       "is reached."},
      {"max_connections", IntegerKey{1024, 1, 20000, ""},
       "Maximum number of concurrent caller connections."},
      {"max_body_bytes", IntegerKey{4 << 20, 1024, 256 << 20, "bytes"},
       "Maximum size of a request body; larger ones are refused."},
      {"caller_io_timeout_ms", IntegerKey{5000, 100, 600000, "ms"},
       "Timeout for receiving a part of a request from a caller, or for "
       "sending it a part of an answer."},
      {"keep_alive_ms", IntegerKey{30000, 1000, 3600000, "ms"},
       "How long an idle caller connection is kept open."},
      {"reserve_timeout_ms", IntegerKey{1000, 50, 60000, "ms"},
       "Time without a message from a control after which a reservation is "
       "sent to the next control."},
      {"silent_after_ms", IntegerKey{1000, 50, 60000, "ms"},
       "Time without data on a stream after which its connection is checked."},
      {"load_poll_ms", IntegerKey{500, 50, 60000, "ms"},
       "Interval between two load polls of a backend server."},
      {"load_poll_backends", IntegerKey{32, 1, 10000, ""},
       "Maximum number of backend servers per service whose load is polled."},
      {"lame_duck_ms", IntegerKey{2000, 0, 600000, "ms"},
       "How long new requests are still served after a shutdown request, "
       "while the health check fails."},
      {"drain_timeout_ms", IntegerKey{120000, 0, 3600000, "ms"},
       "How long a shutdown waits for running requests and settlements."},
      {"tls_certificate_file", TextKey{"", false, {}, false},
       "PEM file with the certificate; empty for plain HTTP."},
      {"tls_key_file", TextKey{"", false, {}, false},
       "PEM file with the private key of the certificate."},
  };
}

}  // namespace dandelionmill::router
