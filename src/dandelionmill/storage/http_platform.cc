#include "dandelionmill/storage/http_platform.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace dandelionmill::storage {
namespace {

using Json = nlohmann::json;

httplib::Client Connect(const PlatformAddress& platform) {
  httplib::Client client(platform.address.host, platform.address.port);
  client.set_connection_timeout(platform.timeout);
  client.set_read_timeout(platform.timeout);
  client.set_write_timeout(platform.timeout);
  client.set_tcp_nodelay(true);
  client.set_bearer_token_auth(platform.key);
  return client;
}

std::string Escape(const std::string& text) {
  static const char kDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kDigits[byte >> 4];
      escaped += kDigits[byte & 0xF];
    }
  }
  return escaped;
}

std::string PageQuery(const std::string& prefix,
                      const std::string& after,
                      int limit) {
  return "?prefix=" + Escape(prefix) + "&after=" + Escape(after) +
         "&limit=" + std::to_string(limit);
}

base::Error Unavailable(const std::string& what) {
  return {base::Code::kStoreUnavailable, what};
}

std::string Explain(const httplib::Result& result) {
  return result ? "HTTP status " + std::to_string(result->status)
                : httplib::to_string(result.error());
}

// The answer of a query, or nothing when it did not succeed.
std::optional<Json> ParseAnswer(const httplib::Result& result) {
  if (!result || result->status != 200)
    return std::nullopt;
  Json answer = Json::parse(result->body, nullptr, false);
  if (!answer.is_object())
    return std::nullopt;
  return answer;
}

// Whether a command that failed so cannot have taken effect.
bool SurelyNotRun(const httplib::Result& result) {
  if (result)
    return result->status == 429 || result->status == 503 ||
           result->status == 401 || result->status == 400;
  return result.error() == httplib::Error::Connection ||
         result.error() == httplib::Error::ConnectionTimeout;
}

base::Error CommandError(const httplib::Result& result) {
  if (result && result->status == 409)
    return {base::Code::kStoreConflict, result->body};
  if (SurelyNotRun(result))
    return Unavailable(Explain(result));
  return {base::Code::kStoreOutcomeUnknown, Explain(result)};
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
      Connect(platform_).Get("/table/rows/" + Escape(key));
  const std::optional<Json> answer = ParseAnswer(result);
  if (!answer)
    return Unavailable("reading row " + key + ": " + Explain(result));
  return ToRow(*answer);
}

base::Result<std::vector<Row>> HttpTableStore::Scan(const std::string& prefix,
                                                    const std::string& after,
                                                    int limit) {
  const httplib::Result result =
      Connect(platform_).Get("/table/scan" + PageQuery(prefix, after, limit));
  const std::optional<Json> answer = ParseAnswer(result);
  if (!answer)
    return Unavailable("scanning rows " + prefix + ": " + Explain(result));
  std::vector<Row> rows;
  for (const Json& row : answer->value("rows", Json::array()))
    rows.push_back(ToRow(row));
  return rows;
}

base::Status HttpTableStore::Commit(const Transaction& transaction) {
  Json body = {{"writes", Json::array()}};
  for (const RowWrite& write : transaction.writes)
    body["writes"].push_back(ToJson(write));
  const httplib::Result result = Connect(platform_).Post(
      "/table/transactions", body.dump(), "application/json");
  if (result && result->status == 200)
    return base::Unit{};
  return CommandError(result);
}

HttpObjectStore::HttpObjectStore(PlatformAddress platform)
    : platform_(std::move(platform)) {}

base::Result<std::string> HttpObjectStore::Get(const std::string& name) {
  const httplib::Result result =
      Connect(platform_).Get("/objects/" + Escape(name));
  if (result && result->status == 200)
    return result->body;
  if (result && result->status == 404)
    return base::Error{base::Code::kNotFound, "object " + name};
  return Unavailable("getting object " + name + ": " + Explain(result));
}

base::Result<std::vector<std::string>> HttpObjectStore::List(
    const std::string& prefix,
    const std::string& after,
    int limit) {
  const httplib::Result result =
      Connect(platform_).Get("/objects" + PageQuery(prefix, after, limit));
  const std::optional<Json> answer = ParseAnswer(result);
  if (!answer || !answer->contains("names"))
    return Unavailable("listing objects " + prefix + ": " + Explain(result));
  return answer->at("names").get<std::vector<std::string>>();
}

base::Status HttpObjectStore::Put(const std::string& name,
                                  const std::string& content) {
  const httplib::Result result = Connect(platform_).Put(
      "/objects/" + Escape(name), content, "application/octet-stream");
  if (result && result->status == 200)
    return base::Unit{};
  return CommandError(result);
}

HttpInstanceList::HttpInstanceList(PlatformAddress platform)
    : platform_(std::move(platform)) {}

base::Result<std::vector<ListedInstance>> HttpInstanceList::List() {
  const httplib::Result result = Connect(platform_).Get("/instances");
  const std::optional<Json> answer = ParseAnswer(result);
  if (!answer)
    return Unavailable("reading the instance list: " + Explain(result));
  std::vector<ListedInstance> instances;
  for (const Json& item : answer->value("instances", Json::array())) {
    instances.push_back({item.value("id", ""), item.value("role", ""),
                         item.value("zone", ""), item.value("region", ""),
                         item.value("address", ""),
                         item.value("state", "") == "leaving"});
  }
  return instances;
}

}  // namespace dandelionmill::storage
