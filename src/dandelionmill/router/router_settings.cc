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
      {"listen_address", AddressKey{true}, "Where callers connect."},
      {"admin_address", AddressKey{true},
       "Where operators read health, metrics and state."},
      {"admin_key", TextKey{"", true, {}, true}, "Key of the admin port."},
      {"fleet_key", TextKey{"", true, {}, true},
       "Key shared by all processes of the fleet."},
      {"control_address", AddressKey{true},
       "The control process of this instance."},
      {"fallback_controls", AddressListKey{},
       "Further controls of the availability zone."},
      {"address_map", TextMapKey{},
       "Addresses under which peers are reached, by the address they are "
       "bound to."},
      {"max_connections", IntegerKey{1024, 1, 20000, ""},
       "Callers' connections served at once."},
      {"max_body_bytes", IntegerKey{4 << 20, 1024, 256 << 20, "bytes"},
       "A larger request body is refused."},
      {"caller_io_timeout_ms", IntegerKey{5000, 100, 600000, "ms"},
       "How long a caller may take to deliver a part of a request or to accept "
       "a part of an answer."},
      {"keep_alive_ms", IntegerKey{30000, 1000, 3600000, "ms"},
       "How long a caller's idle connection stays open."},
      {"reserve_timeout_ms", IntegerKey{1000, 50, 60000, "ms"},
       "Silence of a control after which a reservation is asked of the next."},
      {"silent_after_ms", IntegerKey{1000, 50, 60000, "ms"},
       "Silence of a stream after which its connection is checked."},
      {"load_poll_ms", IntegerKey{500, 50, 60000, "ms"},
       "How often a backend server is asked for its load."},
      {"load_poll_backends", IntegerKey{32, 1, 10000, ""},
       "Backend servers asked for their load at most, per service."},
      {"lame_duck_ms", IntegerKey{2000, 0, 600000, "ms"},
       "After a request to end: how long new requests are still served while "
       "the health check fails."},
      {"drain_timeout_ms", IntegerKey{120000, 0, 3600000, "ms"},
       "How long a shutdown waits for running requests and settlements."},
      {"tls_certificate_file", TextKey{"", false, {}, false},
       "PEM file; empty for plain HTTP."},
      {"tls_key_file", TextKey{"", false, {}, false},
       "PEM file of the certificate's key."},
  };
}

}  // namespace dandelionmill::router
