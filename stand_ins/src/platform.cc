// The object API stand-in.
#include "hawthornlane/stand_ins/platform.h"

#include <atomic>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <mutex>
#include <set>

namespace hawthornlane::stand_ins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t max_value_bytes = 1'000'000;
constexpr auto watch_timeout = std::chrono::seconds(20);

struct object {
  std::uint64_t version = 0;
  /// Revision of the whole store at the last write.
  std::uint64_t revision = 0;
  std::string value;
};

}  // namespace

struct platform::state {
  explicit state(asio::io_context& io) : context(io) {}

  asio::io_context& context;
  mutable std::mutex mutex;
  std::map<std::string, object> objects;
  std::uint64_t revision = 0;
  bool down = false;
  int responses_to_drop = 0;
  std::atomic<std::uint64_t> served{0};
  std::set<std::shared_ptr<asio::steady_timer>> waiting;

  void write(const std::string& key, const std::string& value) {
    object& item = this->objects[key];
    ++item.version;
    item.revision = ++this->revision;
    item.value = value;
    for (const auto& timer : this->waiting) {
      asio::post(timer->get_executor(), [timer] { timer->cancel(); });
    }
    this->waiting.clear();
  }

  std::string listing(const std::string& prefix, std::uint64_t after, bool& any) const {
    json::array items;
    for (const auto& [key, item] : this->objects) {
      if (!key.starts_with(prefix) || item.revision <= after) {
        continue;
      }
      items.push_back({{"key", key}, {"version", item.version}, {"value", item.value}});
    }
    any = !items.empty();
    return json::serialize(json::object{{"revision", this->revision}, {"objects", items}});
  }
};

namespace {

using shared_state = std::shared_ptr<platform::state>;

std::uint64_t query_number(const http::request& ask, const std::string& name) {
  const std::string text = ask.find_query(name).value_or("0");
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

http::response plain(int status, std::string body) {
  http::response answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

/// Serves a request for one object. Sets `drop_response` when the response must not be sent.
http::response serve_object(platform::state& state, const http::request& ask,
                            const std::string& key, bool& drop_response) {
  const std::lock_guard lock(state.mutex);
  const auto found = state.objects.find(key);
  const std::uint64_t version = found == state.objects.end() ? 0 : found->second.version;
  if (ask.method == "GET") {
    if (version == 0) {
      return plain(404, "{}");
    }
    return plain(200, json::serialize(json::object{
                          {"key", key}, {"version", version}, {"value", found->second.value}}));
  }
  if (ask.method != "PUT") {
    return plain(405, "{}");
  }
  if (ask.body.size() > max_value_bytes) {
    return plain(413, "{}");
  }
  if (version != query_number(ask, "version")) {
    return plain(409, json::serialize(json::object{{"version", version}}));
  }
  state.write(key, ask.body);
  if (state.responses_to_drop > 0) {
    --state.responses_to_drop;
    drop_response = true;
  }
  return plain(200, json::serialize(json::object{{"version", version + 1}}));
}

asio::awaitable<std::string> wait_for_change(shared_state state, std::string prefix,
                                             std::uint64_t after) {
  const auto deadline = std::chrono::steady_clock::now() + watch_timeout;
  while (true) {
    auto timer = std::make_shared<asio::steady_timer>(state->context, deadline);
    {
      const std::lock_guard lock(state->mutex);
      bool any = false;
      std::string listing = state->listing(prefix, after, any);
      if (any || state->down || std::chrono::steady_clock::now() >= deadline) {
        co_return listing;
      }
      state->waiting.insert(timer);
    }
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::lock_guard lock(state->mutex);
    state->waiting.erase(timer);
  }
}

void set_faults(platform::state& state, const http::request& ask) {
  boost::system::error_code error;
  const json::value body = json::parse(ask.body, error);
  const std::lock_guard lock(state.mutex);
  if (error || !body.is_object()) {
    return;
  }
  if (const json::value* down = body.as_object().if_contains("down")) {
    state.down = down->as_bool();
  }
  if (const json::value* count = body.as_object().if_contains("lose_answers")) {
    state.responses_to_drop = static_cast<int>(count->to_number<std::int64_t>());
  }
}

/// Throws, which closes the connection without a response.
[[noreturn]] void close_connection() {
  throw std::runtime_error("injected fault: the connection is closed without a response");
}

asio::awaitable<void> serve(shared_state state, const http::request& ask, http::exchange& reply) {
  if (ask.path == "/faults") {
    set_faults(*state, ask);
    co_await reply.respond(plain(200, "{}"));
    co_return;
  }
  bool down = false;
  {
    const std::lock_guard lock(state->mutex);
    down = state->down;
  }
  if (down) {
    close_connection();
  }
  ++state->served;
  const std::string object_path = "/objects/";
  if (ask.path.starts_with(object_path)) {
    bool drop_response = false;
    http::response answer =
        serve_object(*state, ask, ask.path.substr(object_path.size()), drop_response);
    if (drop_response) {
      close_connection();
    }
    co_await reply.respond(std::move(answer));
    co_return;
  }
  const std::string prefix = ask.find_query("prefix").value_or("");
  if (ask.path == "/objects") {
    std::string listing;
    {
      const std::lock_guard lock(state->mutex);
      bool any = false;
      listing = state->listing(prefix, 0, any);
    }
    co_await reply.respond(plain(200, std::move(listing)));
    co_return;
  }
  if (ask.path == "/watch") {
    std::string listing = co_await wait_for_change(state, prefix, query_number(ask, "after"));
    {
      const std::lock_guard lock(state->mutex);
      down = state->down;
    }
    if (down) {
      close_connection();
    }
    co_await reply.respond(plain(200, std::move(listing)));
    co_return;
  }
  co_await reply.respond(plain(404, "{}"));
}

}  // namespace

platform::platform(asio::io_context& context, const http::endpoint& listen_at)
    : shared(std::make_shared<state>(context)) {
  const auto make_error_response = [](error_kind kind, std::string_view) {
    return plain(answer_for(kind).http_status, "{}");
  };
  const auto handle = [state = this->shared](const http::request& ask, http::exchange& reply) {
    return serve(state, ask, reply);
  };
  this->server = std::make_unique<http::server>(context, listen_at, http::server_limits{}, handle,
                                                make_error_response);
}

platform::~platform() = default;

http::endpoint platform::where() const { return this->server->where(); }

void platform::set_down(bool down) {
  const std::lock_guard lock(this->shared->mutex);
  this->shared->down = down;
  for (const auto& timer : this->shared->waiting) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

void platform::lose_answers(int count) {
  const std::lock_guard lock(this->shared->mutex);
  this->shared->responses_to_drop = count;
}

void platform::put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->shared->mutex);
  this->shared->write(key, value);
}

std::string platform::get(const std::string& key) const {
  const std::lock_guard lock(this->shared->mutex);
  const auto found = this->shared->objects.find(key);
  return found == this->shared->objects.end() ? std::string{} : found->second.value;
}

std::uint64_t platform::requests() const { return this->shared->served; }

}  // namespace hawthornlane::stand_ins
