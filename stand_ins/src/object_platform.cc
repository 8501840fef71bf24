// Stand-in for the platform's object store.
#include "hawthornlane/stand_ins/object_platform.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <string_view>
#include <vector>

namespace hawthornlane::stand_ins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int unavailable = 503;
/// Delay in place of a response; longer than any caller waits.
constexpr auto long_delay = std::chrono::seconds(60);
constexpr auto poll_interval = std::chrono::milliseconds(5);

http::response plain(int status, std::string body = "{}") {
  http::response answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

std::uint64_t parse_number(const std::optional<std::string>& text) {
  std::uint64_t value = 0;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), value);
  }
  return value;
}

asio::awaitable<void> delay(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

struct object_platform::state {
  struct object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    json::value spec;
    json::value status;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    bool removed = false;
    json::object object;
  };

  std::map<std::pair<std::string, std::string>, object> objects;
  /// Additional items of listings, by kind; inserted unchanged.
  std::multimap<std::string, std::string> raw_items;
  std::vector<change> history;
  std::uint64_t revision = 1;
  /// Revision at which the history begins; watches from an earlier one get status 410.
  std::uint64_t history_start = 0;
  store_behavior behavior = store_behavior::serving;
  std::chrono::milliseconds response_delay{0};
  bool stalled = false;
  std::uint64_t calls = 0;

  static json::object as_json(const std::string& name, const object& item) {
    return {{"metadata", json::object{{"name", name},
                                      {"revision", item.revision},
                                      {"created-rev", item.created},
                                      {"finalizers", json::array{}},
                                      {"deleting", false}}},
            {"spec", item.spec},
            {"status", item.status}};
  }

  void record(const std::string& kind, const std::string& name, const object& item, bool removed) {
    this->history.push_back({this->revision, kind, removed, as_json(name, item)});
  }

  object& write(const std::string& kind, const std::string& name, json::value spec) {
    object& item = this->objects[{kind, name}];
    if (item.revision != 0 && item.spec == spec) {
      return item;
    }
    item.spec = std::move(spec);
    item.revision = ++this->revision;
    item.created = item.created == 0 ? item.revision : item.created;
    this->record(kind, name, item, false);
    return item;
  }

  bool remove(const std::string& kind, const std::string& name) {
    const auto found = this->objects.find({kind, name});
    if (found == this->objects.end()) {
      return false;
    }
    ++this->revision;
    this->record(kind, name, found->second, true);
    this->objects.erase(found);
    return true;
  }

  http::response list(const std::string& kind) const {
    json::array items;
    for (const auto& [key, item] : this->objects) {
      if (key.first == kind) {
        items.push_back(as_json(key.second, item));
      }
    }
    std::string body = json::serialize(
        json::object{{"items", std::move(items)}, {"has-more", false}, {"as-of", this->revision}});
    const auto raw = this->raw_items.equal_range(kind);
    for (auto item = raw.first; item != raw.second; ++item) {
      constexpr std::string_view list = "\"items\":[";
      const std::size_t begin = body.find(list) + list.size();
      body.insert(begin, item->second + (body[begin] == ']' ? "" : ","));
    }
    return plain(ok, std::move(body));
  }

  json::array events_after(const std::string& kind, std::uint64_t from) const {
    json::array events;
    for (const change& item : this->history) {
      if (item.kind == kind && item.revision > from) {
        events.push_back({{"deleted", item.removed}, {"object", item.object}});
      }
    }
    return events;
  }

  http::response replace(const std::string& kind, const std::string& name, const json::value& body,
                         bool status_only) {
    const auto found = this->objects.find({kind, name});
    if (found == this->objects.end()) {
      return plain(not_found);
    }
    const json::object& metadata = body.at("metadata").as_object();
    const json::value* expected = metadata.if_contains("revision");
    if (expected != nullptr && expected->to_number<std::uint64_t>() != found->second.revision) {
      return plain(conflict, json::serialize(as_json(name, found->second)));
    }
    if (status_only) {
      found->second.status = body.at("status");
      found->second.revision = ++this->revision;
      this->record(kind, name, found->second, false);
    } else {
      this->write(kind, name, body.at("spec"));
    }
    return plain(ok, json::serialize(as_json(name, found->second)));
  }
};

namespace {

using shared_state = std::shared_ptr<object_platform::state>;

/// The parts of "/objects/KIND[/NAME[/status]]".
struct object_path {
  std::string kind;
  std::string name;
  bool status = false;
};

object_path path_from(const std::string& path) {
  constexpr std::string_view root = "/objects/";
  object_path parts;
  const std::string rest = path.substr(std::min(root.size(), path.size()));
  const std::size_t slash = rest.find('/');
  parts.kind = rest.substr(0, slash);
  if (slash != std::string::npos) {
    parts.name = rest.substr(slash + 1);
  }
  constexpr std::string_view status_suffix = "/status";
  if (parts.name.ends_with(status_suffix)) {
    parts.status = true;
    parts.name.erase(parts.name.size() - status_suffix.size());
  }
  return parts;
}

asio::awaitable<http::response> watch(shared_state self, const std::string kind, std::uint64_t from,
                                      std::chrono::milliseconds wait) {
  const auto until = std::chrono::steady_clock::now() + wait;
  while (true) {
    if (from < self->history_start) {
      co_return plain(gone);
    }
    const json::array events = self->stalled ? json::array{} : self->events_after(kind, from);
    if (!events.empty() || std::chrono::steady_clock::now() >= until) {
      co_return plain(ok,
                      json::serialize(json::object{{"events", events}, {"as-of", self->revision}}));
    }
    co_await delay(poll_interval);
  }
}

asio::awaitable<http::response> answer(shared_state self, const http::request& ask) {
  const object_path path = path_from(ask.path);
  if (ask.method == "GET" && path.name.empty()) {
    if (const auto from = ask.find_query("watch")) {
      const std::chrono::milliseconds wait(parse_number(ask.find_query("wait-ms")));
      co_return co_await watch(self, path.kind, parse_number(from), wait);
    }
    co_return self->list(path.kind);
  }
  if (ask.method == "GET") {
    const auto found = self->objects.find({path.kind, path.name});
    co_return found == self->objects.end()
        ? plain(not_found)
        : plain(ok, json::serialize(object_platform::state::as_json(path.name, found->second)));
  }
  if (ask.method == "DELETE") {
    co_return plain(self->remove(path.kind, path.name) ? ok : not_found);
  }
  const json::value body = json::parse(ask.body);
  if (ask.method == "PUT") {
    co_return self->replace(path.kind, path.name, body, path.status);
  }
  const std::string name(body.at("metadata").at("name").as_string());
  if (self->objects.contains({path.kind, name})) {
    co_return plain(conflict);
  }
  self->write(path.kind, name, body.at("spec"));
  co_return plain(ok);
}

}  // namespace

object_platform::object_platform(asio::io_context& context, const http::endpoint& listen_at)
    : shared(std::make_shared<state>()) {
  const auto handle = [self = this->shared](const http::request& ask,
                                            http::exchange& reply) -> asio::awaitable<void> {
    ++self->calls;
    if (self->behavior == store_behavior::busy) {
      co_await reply.respond(plain(unavailable));
      co_return;
    }
    if (self->behavior == store_behavior::silent) {
      co_await delay(long_delay);
    }
    http::response made = co_await answer(self, ask);
    if (self->behavior == store_behavior::dropping_responses && ask.method != "GET") {
      co_await delay(long_delay);
    }
    if (self->response_delay.count() > 0) {
      co_await delay(self->response_delay);
    }
    co_await reply.respond(std::move(made));
  };
  const auto make_error_response = [](error_kind, std::string_view) { return plain(unavailable); };
  this->server = std::make_unique<http::server>(context, listen_at, http::server_limits{}, handle,
                                                make_error_response);
}

object_platform::~object_platform() = default;

http::endpoint object_platform::where() const { return this->server->where(); }

void object_platform::set_behavior(store_behavior behavior) { this->shared->behavior = behavior; }

void object_platform::set_response_delay(std::chrono::milliseconds delay) {
  this->shared->response_delay = delay;
}

void object_platform::set_stalled_watches(bool stalled) {
  this->shared->stalled = stalled;
  if (!stalled) {
    this->shared->history_start = this->shared->revision + 1;
  }
}

void object_platform::put(const std::string& kind, const std::string& name,
                          const std::string& spec) {
  this->shared->write(kind, name, json::parse(spec));
}

void object_platform::add_raw_listing_item(const std::string& kind, const std::string& item) {
  this->shared->raw_items.emplace(kind, item);
}

void object_platform::remove(const std::string& kind, const std::string& name) {
  this->shared->remove(kind, name);
}

std::string object_platform::spec_of(const std::string& kind, const std::string& name) const {
  const auto found = this->shared->objects.find({kind, name});
  return found == this->shared->objects.end() ? "" : json::serialize(found->second.spec);
}

std::string object_platform::status_of(const std::string& kind, const std::string& name) const {
  const auto found = this->shared->objects.find({kind, name});
  return found == this->shared->objects.end() ? "" : json::serialize(found->second.status);
}

std::uint64_t object_platform::calls() const { return this->shared->calls; }

}  // namespace hawthornlane::stand_ins
