// The model engine stand-in.
#include "hawthornlane/stand_ins/engine.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <list>
#include <map>
#include <mutex>

namespace hawthornlane::stand_ins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::int64_t bytes_per_token = 4;
constexpr auto hang_duration = std::chrono::hours(1);

struct cached_prefix {
  std::string program;
  std::int64_t tokens = 0;
};

}  // namespace

struct engine::state {
  state(asio::io_context& io, engine_profile speeds) : context(io), profile(speeds) {}

  asio::io_context& context;
  engine_profile profile;
  std::mutex mutex;
  /// Least recently used first.
  std::list<cached_prefix> cache;
  std::int64_t cached = 0;
  int batch = 0;
  bool hang = false;
  std::map<std::string, int> arrivals;

  std::int64_t take_cached(const std::string& program) {
    for (auto at = this->cache.begin(); at != this->cache.end(); ++at) {
      if (at->program == program) {
        const std::int64_t tokens = at->tokens;
        this->cached -= tokens;
        this->cache.erase(at);
        return tokens;
      }
    }
    return 0;
  }

  void put_cached(const std::string& program, std::int64_t tokens) {
    this->take_cached(program);
    this->cache.push_back({program, tokens});
    this->cached += tokens;
    while (this->cached > this->profile.cache_tokens && this->cache.size() > 1) {
      this->cached -= this->cache.front().tokens;
      this->cache.pop_front();
    }
  }
};

namespace {

using shared_state = std::shared_ptr<engine::state>;

/// The fields of a chat-completions request that the stand-in uses.
struct completion_request {
  std::string request_id;
  std::string program;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 16;
};

std::optional<completion_request> read_completion(const http::request& ask) {
  boost::system::error_code error;
  const json::value body = json::parse(ask.body, error);
  const json::object* fields = error ? nullptr : body.if_object();
  if (fields == nullptr || !fields->contains("messages")) {
    return std::nullopt;
  }
  completion_request read;
  read.request_id = ask.find_header("x-request-id").value_or("");
  if (const json::value* user = fields->if_contains("user")) {
    read.program = std::string(user->as_string());
  }
  if (const json::value* most = fields->if_contains("max_tokens")) {
    read.max_tokens = most->to_number<std::int64_t>();
  }
  const auto prompt_bytes = json::serialize(fields->at("messages")).size();
  read.prompt_tokens = static_cast<std::int64_t>(prompt_bytes) / bytes_per_token + 1;
  return read;
}

asio::awaitable<void> wait_seconds(shared_state state, double seconds) {
  asio::steady_timer timer(state->context);
  timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(seconds)));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::string event_of(const json::object& data) { return "data: " + json::serialize(data) + "\n\n"; }

std::string token_event(std::int64_t number) {
  const std::string text = "word" + std::to_string(number) + " ";
  return event_of({{"choices", json::array{json::object{{"delta", {{"content", text}}}}}}});
}

std::string usage_event(const completion_request& call, std::int64_t cached) {
  return event_of({{"choices", json::array{json::object{{"finish_reason", "stop"}}}},
                   {"usage",
                    {{"prompt_tokens", call.prompt_tokens},
                     {"completion_tokens", call.max_tokens},
                     {"prompt_tokens_details", {{"cached_tokens", cached}}}}}});
}

asio::awaitable<void> complete(shared_state state, completion_request call, http::exchange& reply) {
  std::int64_t cached = 0;
  bool hang = false;
  {
    const std::lock_guard lock(state->mutex);
    ++state->arrivals[call.request_id];
    cached = std::min(state->take_cached(call.program), call.prompt_tokens);
    hang = state->hang;
    ++state->batch;
  }
  if (hang) {
    co_await wait_seconds(state, std::chrono::duration<double>(hang_duration).count());
  }
  const auto fresh = static_cast<double>(call.prompt_tokens - cached);
  co_await wait_seconds(state, fresh / state->profile.prefill_tokens_per_second);
  http::response head;
  head.content_type = "text/event-stream";
  bool connected = co_await reply.start_stream(std::move(head));
  for (std::int64_t number = 1; connected && number <= call.max_tokens; ++number) {
    double step = state->profile.decode_seconds;
    {
      const std::lock_guard lock(state->mutex);
      step += state->profile.decode_seconds_per_call * (state->batch - 1);
    }
    co_await wait_seconds(state, step);
    const std::string token = token_event(number);
    connected = co_await reply.write(token);
  }
  {
    const std::lock_guard lock(state->mutex);
    --state->batch;
    state->put_cached(call.program, call.prompt_tokens + call.max_tokens);
  }
  if (!connected) {
    co_return;
  }
  const std::string closing = usage_event(call, cached) + "data: [DONE]\n\n";
  co_await reply.write(closing);
  co_await reply.finish_stream();
}

http::response json_response(const json::value& body, int status = 200) {
  http::response answer;
  answer.status = status;
  answer.body = json::serialize(body);
  return answer;
}

http::response release(engine::state& state, const http::request& ask) {
  boost::system::error_code error;
  const json::value body = json::parse(ask.body, error);
  if (error || !body.is_object() || !body.as_object().contains("program")) {
    return json_response(json::object{}, 400);
  }
  const std::lock_guard lock(state.mutex);
  const std::int64_t tokens =
      state.take_cached(std::string(body.as_object().at("program").as_string()));
  return json_response(json::object{{"released_tokens", tokens}});
}

http::response cache_listing(engine::state& state) {
  const std::lock_guard lock(state.mutex);
  json::object programs;
  for (const cached_prefix& item : state.cache) {
    programs[item.program] = item.tokens;
  }
  return json_response(json::object{{"programs", programs}, {"tokens", state.cached}});
}

asio::awaitable<void> serve(shared_state state, const http::request& ask, http::exchange& reply) {
  if (ask.path == "/v1/chat/completions") {
    const std::optional<completion_request> call = read_completion(ask);
    if (!call) {
      http::response refusal = json_response(json::object(), 400);
      co_await reply.respond(std::move(refusal));
      co_return;
    }
    co_await complete(state, *call, reply);
    co_return;
  }
  http::response answer = json_response(json::object{}, 404);
  if (ask.path == "/cache/release") {
    answer = release(*state, ask);
  } else if (ask.path == "/cache") {
    answer = cache_listing(*state);
  } else if (ask.path == "/load") {
    const std::lock_guard lock(state->mutex);
    answer = json_response(json::object{{"running", state->batch}, {"cached", state->cached}});
  } else if (ask.path == "/arrivals") {
    const std::lock_guard lock(state->mutex);
    json::object counts;
    for (const auto& [id, count] : state->arrivals) {
      counts[id] = count;
    }
    answer = json_response(counts);
  }
  co_await reply.respond(std::move(answer));
}

}  // namespace

engine::engine(asio::io_context& context, const http::endpoint& listen_at, engine_profile profile)
    : shared(std::make_shared<state>(context, profile)) {
  const auto make_error_response = [](error_kind kind, std::string_view) {
    return json_response(json::object{}, answer_for(kind).http_status);
  };
  const auto handle = [state = this->shared](const http::request& ask, http::exchange& reply) {
    return serve(state, ask, reply);
  };
  this->server = std::make_unique<http::server>(context, listen_at, http::server_limits{}, handle,
                                                make_error_response);
}

engine::~engine() = default;

http::endpoint engine::where() const { return this->server->where(); }

int engine::arrivals(const std::string& request_id) const {
  const std::lock_guard lock(this->shared->mutex);
  const auto found = this->shared->arrivals.find(request_id);
  return found == this->shared->arrivals.end() ? 0 : found->second;
}

std::int64_t engine::cached_tokens(const std::string& program) const {
  const std::lock_guard lock(this->shared->mutex);
  for (const cached_prefix& item : this->shared->cache) {
    if (item.program == program) {
      return item.tokens;
    }
  }
  return 0;
}

void engine::set_hang(bool hang) {
  const std::lock_guard lock(this->shared->mutex);
  this->shared->hang = hang;
}

}  // namespace hawthornlane::stand_ins
