#include "dandelionmill/storage/http_platform.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace dandelionmill::storage {
namespace {

using Json = nlohmann::json;

httplib::Client MakeClient(const PlatformAddress& platform) {
  httplib::Client client(platform.address.host, platform.address.port);
  client.set_connection_timeout(platform.timeout);
  client.set_read_timeout(platform.timeout);
  client.set_write_timeout(platform.timeout);
  client.set_tcp_nodelay(true);
  client.set_bearer_token_auth(platform.key);
  return client;
}

std::string PercentEncode(const std::string& text) {
  static const char kHexDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kHexDigits[byte >> 4];
      escaped += kHexDigits[byte & 0xF];
    }
  }
  return escaped;
}

std::string PageQuery(const std::string& prefix,
                      const std::string& after,
                      int limit) {
  return "?prefix=" + PercentEncode(prefix) + "&after=" + PercentEncode(after) +
         "&limit=" + std::to_string(limit);
}

base::Error StoreUnavailable(const std::string& detail) {
  return {base::Code::kStoreUnavailable, detail};
}

std::string DescribeFailure(const httplib::Result& result) {
  return result ? "HTTP status " + std::to_string(result->status)
                : httplib::to_string(result.error());
}

// Returns the JSON object in the response to a query, or nullopt unless the
// status is 200 and the body is a JSON object.
std::optional<Json> ParseResponse(const httplib::Result& result) {
  if (!result || result->status != 200)
    return std::nullopt;
  Json response = Json::parse(result->body, nullptr, false);
  if (!response.is_object())
    return std::nullopt;
  return response;
}

// Returns whether a failed command definitely had no effect: the platform
// rejected it before running it, or no connection was established.
bool WasNotPerformed(const httplib::Result& result) {
  if (result)
    return result->status == 429 || result->status == 503 ||
           result->status == 401 || result->status == 400;
  return result.error() == httplib::Error::Connection ||
         result.error() == httplib::Error::ConnectionTimeout;
}

base::Error CommandError(const httplib::Result& result) {
  if (result && result->status == 409)
    return {base::Code::kStoreConflict, result->body};
  if (WasNotPerformed(result))
    return StoreUnavailable(DescribeFailure(result));
  return {base::Code::kStoreOutcomeUnknown, DescribeFailure(result)};
}

Row ToRow(const Json& json) {
  return {json.value("key", ""), json.value("version", std::uint64_t{0}),
          json.value("value", "")};
}

Json ToJson(const RowWrite& write) {
  Json json = {{"key", write.key},
               {"expected_version", write.expected_version}};
  if (write.erase)
    json["erase"] = true;
  else if (write.value.empty())
    json["check"] = true;
  else
    json["value"] = write.value;
  return json;
}

}  // namespace

HttpTableStore::HttpTableStore(PlatformAddress platform)
    : platform_(std::move(platform)) {}

base::Result<Row> HttpTableStore::Read(const std::string& key) {
  const httplib::Result result =
      MakeClient(platform_).Get("/table/rows/" + PercentEncode(key));
  const std::optional<Json> response = ParseResponse(result);
  if (!response)
    return StoreUnavailable("reading row " + key + ": " +
                            DescribeFailure(result));
  return ToRow(*response);
}

base::Result<std::vector<Row>> HttpTableStore::Scan(const std::string& prefix,
                                                    const std::string& after,
                                                    int limit) {
  const httplib::Result result = MakeClient(platform_).Get(
      "/table/scan" + PageQuery(prefix, after, limit));
  const std::optional<Json> response = ParseResponse(result);
  if (!response)
    return StoreUnavailable("scanning rows " + prefix + ": " +
                            DescribeFailure(result));
  std::vector<Row> rows;
  for (const Json& row : response->value("rows", Json::array()))
    rows.push_back(ToRow(row));
  return rows;
}

base::Status HttpTableStore::Commit(const Transaction& transaction) {
  Json body = {{"writes", Json::array()}};
  for (const RowWrite& write : transaction.writes)
    body["writes"].push_back(ToJson(write));
  const httplib::Result result = MakeClient(platform_).Post(
      "/table/transactions", body.dump(), "application/json");
  if (result && result->status == 200)
    return base::Unit{};
  return CommandError(result);
}

HttpObjectStore::HttpObjectStore(PlatformAddress platform)
    : platform_(std::move(platform)) {}

base::Result<std::string> HttpObjectStore::Get(const std::string& name) {
  const httplib::Result result =
      MakeClient(platform_).Get("/objects/" + PercentEncode(name));
  if (result && result->status == 200)
    return result->body;
  if (result && result->status == 404)
    return base::Error{base::Code::kNotFound, "object " + name};
  return StoreUnavailable("getting object " + name + ": " +
                          DescribeFailure(result));
}

base::Result<std::vector<std::string>> HttpObjectStore::List(
    const std::string& prefix,
    const std::string& after,
    int limit) {
  const httplib::Result result =
      MakeClient(platform_).Get("/objects" + PageQuery(prefix, after, limit));
  const std::optional<Json> response = ParseResponse(result);
  if (!response || !response->contains("names"))
    return StoreUnavailable("listing objects " + prefix + ": " +
                            DescribeFailure(result));
  return response->at("names").get<std::vector<std::string>>();
}

base::Status HttpObjectStore::Put(const std::string& name,
                                  const std::string& content) {
  const httplib::Result result = MakeClient(platform_).Put(
      "/objects/" + PercentEncode(name), content, "application/octet-stream");
  if (result && result->status == 200)
    return base::Unit{};
  return CommandError(result);
}

HttpInstanceList::HttpInstanceList(PlatformAddress platform)
    : platform_(std::move(platform)) {}

base::Result<std::vector<ListedInstance>> HttpInstanceList::List() {
  const httplib::Result result = MakeClient(platform_).Get("/instances");
  const std::optional<Json> response = ParseResponse(result);
  if (!response)
    return StoreUnavailable("reading the instance list: " +
                            DescribeFailure(result));
  std::vector<ListedInstance> instances;
  for (const Json& item : response->value("instances", Json::array())) {
    instances.push_back({item.value("id", ""), item.value("role", ""),
                         item.value("zone", ""), item.value("region", ""),
                         item.value("address", ""),
                         item.value("state", "") == "leaving"});
  }
  return instances;
}

}  // namespace dandelionmill::storage
