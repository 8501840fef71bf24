// The platform's object API over HTTP and JSON.
#include "hawthornlane/platform/object_store.h"

#include <boost/json.hpp>

namespace hawthornlane {
namespace json = boost::json;
namespace asio = boost::asio;

namespace {

constexpr duration call_timeout = std::chrono::seconds(2);
constexpr duration watch_timeout = std::chrono::seconds(30);
/// What is read is a JSON object, which has an end of its own; of writes only the status counts.
constexpr auto accepted_ends = http::accepted_end::connection;

std::optional<stored_object> object_from(const json::value& value) {
  const json::object* fields = value.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  const json::value* key = fields->if_contains("key");
  const json::value* version = fields->if_contains("version");
  const json::value* content = fields->if_contains("value");
  if (key == nullptr || version == nullptr || content == nullptr || !key->is_string() ||
      !content->is_string()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  stored_object object;
  object.key = std::string(key->as_string());
  object.version = version->to_number<std::uint64_t>(error);
  object.value = std::string(content->as_string());
  return error ? std::nullopt : std::optional(object);
}

std::optional<object_listing> listing_from(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* fields = error ? nullptr : value.if_object();
  if (fields == nullptr || !fields->contains("revision") || !fields->contains("objects")) {
    return std::nullopt;
  }
  object_listing listing;
  listing.revision = fields->at("revision").to_number<std::uint64_t>(error);
  const json::array* items = fields->at("objects").if_array();
  if (error || items == nullptr) {
    return std::nullopt;
  }
  for (const json::value& item : *items) {
    std::optional<stored_object> object = object_from(item);
    if (!object) {
      return std::nullopt;
    }
    listing.objects.push_back(std::move(*object));
  }
  return listing;
}

failure platform_failure(std::string detail) {
  return {error_kind::platform_unavailable, std::move(detail)};
}

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

}  // namespace

object_store::object_store(http::endpoint where) : platform(std::move(where)) {}

asio::awaitable<std::optional<stored_object>> object_store::get(std::string key, failure& reason) {
  http::request http_request;
  http_request.target = "/objects/" + http::url_encode(key);
  http::fetch_failure why;
  const auto answer =
      co_await this->client.fetch(this->platform, http_request, call_timeout, why, accepted_ends);
  this->got_response = answer.has_value();
  if (!answer) {
    reason = platform_failure(why.detail);
    co_return std::nullopt;
  }
  if (answer->status == status_not_found) {
    stored_object absent;
    absent.key = key;
    co_return absent;
  }
  boost::system::error_code error;
  const json::value body = json::parse(answer->body, error);
  std::optional<stored_object> object =
      error || answer->status != status_ok ? std::nullopt : object_from(body);
  if (!object) {
    reason = platform_failure("status " + std::to_string(answer->status));
  }
  co_return object;
}

asio::awaitable<std::optional<object_listing>> object_store::fetch_listing(std::string target,
                                                                           duration timeout,
                                                                           failure& reason) {
  http::request http_request;
  http_request.target = std::move(target);
  http::fetch_failure why;
  const auto answer =
      co_await this->client.fetch(this->platform, http_request, timeout, why, accepted_ends);
  this->got_response = answer.has_value();
  std::optional<object_listing> listing;
  if (answer && answer->status == status_ok) {
    listing = listing_from(answer->body);
  }
  if (!listing) {
    reason = platform_failure(answer ? "status " + std::to_string(answer->status) : why.detail);
  }
  co_return listing;
}

asio::awaitable<std::optional<object_listing>> object_store::list(std::string prefix,
                                                                  failure& reason) {
  const std::string target = "/objects?prefix=" + http::url_encode(prefix);
  co_return co_await this->fetch_listing(target, call_timeout, reason);
}

asio::awaitable<std::optional<object_listing>> object_store::watch(std::string prefix,
                                                                   std::uint64_t revision,
                                                                   failure& reason) {
  const std::string target =
      "/watch?prefix=" + http::url_encode(prefix) + "&after=" + std::to_string(revision);
  co_return co_await this->fetch_listing(target, watch_timeout, reason);
}

asio::awaitable<write_result> object_store::put(std::string key, std::uint64_t expected,
                                                std::string value) {
  http::request http_request;
  http_request.method = "PUT";
  http_request.target =
      "/objects/" + http::url_encode(key) + "?version=" + std::to_string(expected);
  http_request.body = std::move(value);
  http::fetch_failure why;
  const auto answer =
      co_await this->client.fetch(this->platform, http_request, call_timeout, why, accepted_ends);
  this->got_response = answer.has_value();
  write_result result;
  if (!answer) {
    const bool never_sent = why.reached == http::progress::not_connected;
    result.outcome = never_sent ? write_result::kind::refused : write_result::kind::unknown;
    result.detail = why.detail;
    co_return result;
  }
  if (answer->status == status_ok) {
    result.outcome = write_result::kind::applied;
    result.version = expected + 1;
  } else if (answer->status == status_conflict) {
    result.outcome = write_result::kind::conflict;
  } else {
    result.outcome = write_result::kind::refused;
    result.detail = "status " + std::to_string(answer->status);
  }
  co_return result;
}

}  // namespace hawthornlane
