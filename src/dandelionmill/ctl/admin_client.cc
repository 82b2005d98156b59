#include "dandelionmill/ctl/admin_client.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace dandelionmill::ctl {
namespace {

httplib::Client MakeClient(const Environment& environment,
                           const net::Address& address) {
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(environment.timeout);
  client.set_read_timeout(environment.timeout);
  client.set_write_timeout(environment.timeout);
  client.set_bearer_token_auth(environment.admin_key);
  return client;
}

base::Error ToError(const net::Address& address,
                    const httplib::Result& result) {
  if (result && result->status == 401)
    return {base::Code::kUnauthorized,
            net::ToString(address) + " rejected the admin key"};
  return {base::Code::kNotFound,
          net::ToString(address) + ": " +
              (result ? "HTTP status " + std::to_string(result->status)
                      : httplib::to_string(result.error()))};
}

}  // namespace

base::Result<nlohmann::json> ReadDump(const Environment& environment,
                                      const net::Address& address) {
  const httplib::Result result = MakeClient(environment, address).Get("/dump");
  if (!result || result->status != 200)
    return ToError(address, result);
  nlohmann::json dump = nlohmann::json::parse(result->body, nullptr, false);
  if (!dump.is_object())
    return base::Error{
        base::Code::kMalformedMessage,
        net::ToString(address) + " did not return a JSON object"};
  return dump;
}

base::Status PostCommand(const Environment& environment,
                         const net::Address& address,
                         const std::string& path) {
  const httplib::Result result =
      MakeClient(environment, address)
          .Post(path.c_str(), "{}", "application/json");
  if (!result || result->status != 200)
    return ToError(address, result);
  return base::Unit{};
}

}  // namespace dandelionmill::ctl
