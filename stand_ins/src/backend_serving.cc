// How a stand-in for a backend server takes requests: connections, slots and its end.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "backend_state.h"
#include "backend_statuses.h"

namespace hawthornlane::stand_ins {
namespace {

/// Requests that a server answers beside its work, whatever its behavior.
bool is_check(const http::request& request) {
  return request.method == "GET" && (request.target == "/report" || request.target == "/healthz");
}

}  // namespace

asio::awaitable<void> delay(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> scripted_backend::state::close_port_after(std::shared_ptr<state> self,
                                                                std::chrono::milliseconds time) {
  co_await delay(time);
  self->close_port();
}

void scripted_backend::state::end(const std::optional<http::request>& cause,
                                  std::chrono::milliseconds port_delay) {
  if (this->ended) {
    return;
  }
  this->ended = true;
  if (port_delay.count() > 0) {
    asio::co_spawn(this->context, close_port_after(this->shared_from_this(), port_delay),
                   asio::detached);
  } else {
    this->close_port();
  }
  if (this->end_hook) {
    this->end_hook(cause);
  }
  for (net::timed_socket* connection : this->connections) {
    connection->close(this->ending == connection_ending::reset);
  }
}

asio::awaitable<bool> scripted_backend::state::take_slot(net::steady_time until) {
  if (this->busy < this->slots) {
    ++this->busy;
    co_return true;
  }
  asio::steady_timer turn(this->context, until);
  this->queue.push_back(&turn);
  boost::system::error_code ended;
  co_await turn.async_wait(asio::redirect_error(asio::use_awaitable, ended));
  const bool has_slot = ended.failed();
  if (!has_slot) {
    std::erase(this->queue, &turn);
  }
  co_return has_slot;
}

void scripted_backend::state::release_slot() {
  while (!this->queue.empty()) {
    asio::steady_timer* next = this->queue.front();
    this->queue.pop_front();
    if (next->cancel() > 0) {
      return;
    }
  }
  --this->busy;
}

asio::awaitable<bool> scripted_backend::state::work(std::shared_ptr<state> self,
                                                    relay::caller_connection& caller,
                                                    const http::request& request,
                                                    const std::string& id) {
  const net::steady_time until = deadline_of(request);
  const bool has_slot = co_await self->take_slot(until);
  self->record(request, has_slot);
  if (!has_slot) {
    auto headers = self->headers_for(id, false);
    headers.push_back({"X-Not-Executed", "1"});
    co_await caller.respond(overloaded, headers, "");
    co_return false;
  }
  const net::steady_time done = std::chrono::steady_clock::now() + self->work_time_of(request);
  asio::steady_timer timer(self->context, std::min(done, until));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  self->release_slot();
  if (done > until) {
    const auto headers = self->headers_for(id, true);
    co_await caller.respond(deadline_passed, headers, "failed");
  }
  co_return done <= until;
}

asio::awaitable<void> scripted_backend::state::serve(std::shared_ptr<state> self,
                                                     tcp::socket accepted) {
  const int descriptor = accepted.native_handle();
  net::timed_socket socket(std::move(accepted), self->sweeper);
  relay::caller_connection caller(socket);
  bool is_kept = false;
  constexpr auto ending_interval = std::chrono::milliseconds(2);
  while (self->ended && self->acceptor.is_open()) {
    co_await delay(ending_interval);
  }
  self->connections.insert(&socket);
  while (caller.usable() && !self->ended) {
    http::request request;
    failure reason;
    if (self->read_delay.count() > 0) {
      co_await delay(self->read_delay);
    }
    const auto early = co_await serve_early(self, socket, descriptor, is_kept);
    if (early == early_outcome::ended) {
      break;
    }
    is_kept = true;
    if (early == early_outcome::kept) {
      continue;
    }
    const auto limits = [&self] { return self->limits; };
    const auto outcome = co_await caller.read(limits, request, reason);
    if (outcome != relay::read_outcome::request || self->ended) {
      break;
    }
    co_await handle(self, caller, request);
  }
  self->connections.erase(&socket);
  socket.close();
}

asio::awaitable<scripted_backend::state::early_outcome> scripted_backend::state::serve_early(
    std::shared_ptr<state> self, net::timed_socket& socket, int descriptor, bool is_kept) {
  if (!self->early_response_to) {
    co_return early_outcome::none;
  }
  const net::steady_time until = std::chrono::steady_clock::now() + self->limits.idle_timeout;
  const auto head = co_await peek_head(socket, descriptor, until);
  if (!head || self->ended) {
    co_return early_outcome::ended;
  }
  const std::string expected =
      head->request.find_header("X-Expect-Instance").value_or(self->instance);
  if (is_check(head->request) || expected != self->instance) {
    co_return early_outcome::none;
  }
  // It may have been taken back meanwhile.
  auto response =
      self->early_response_to ? self->early_response_to(head->request, is_kept) : std::nullopt;
  if (!response) {
    co_return early_outcome::none;
  }
  self->record(head->request, true, false);
  const bool is_open = co_await send_early_response(socket, *head, std::move(*response), until);
  co_return is_open ? early_outcome::kept : early_outcome::ended;
}

asio::awaitable<void> scripted_backend::state::handle(std::shared_ptr<state> self,
                                                      relay::caller_connection& caller,
                                                      const http::request& request) {
  if (is_check(request)) {
    co_await respond_to_check(self, caller, request);
    co_return;
  }
  const std::string id = request.find_header("X-Request-Id").value_or("");
  const std::string expected = request.find_header("X-Expect-Instance").value_or(self->instance);
  if (expected != self->instance) {
    self->record(request, false);
    const auto headers = self->headers_for(id, false);
    co_await caller.respond(misdirected, headers, "");
    co_return;
  }
  const auto endless =
      self->endless_response_to ? self->endless_response_to(request) : std::nullopt;
  if (endless) {
    self->record(request, true);
    co_await respond_endlessly(self, caller, request, id, *endless);
    co_return;
  }
  const auto raw = self->raw_response_to ? self->raw_response_to(request) : std::nullopt;
  if (raw) {
    self->record(request, true);
    co_await respond_raw(caller, *raw);
    co_return;
  }
  backend_behavior behavior = self->script->take();
  if (behavior == backend_behavior::answer && self->ends_early && self->ends_early(request)) {
    behavior = backend_behavior::close_early;
  }
  const bool runs = refusal_status(behavior) == 0;
  if (runs && self->work_time_of) {
    const bool in_time = co_await work(self, caller, request, id);
    if (!in_time) {
      co_return;
    }
  } else {
    self->record(request, runs);
  }
  const auto effect = self->effect_of(request);
  if (effect && effect->after_events == 0) {
    co_await delay(effect->delay);
    self->end(request, effect->port_delay);
    co_return;
  }
  co_await respond(self, caller, request, id, behavior);
}

asio::awaitable<void> scripted_backend::state::respond_to_check(std::shared_ptr<state> self,
                                                                relay::caller_connection& caller,
                                                                const http::request& request) {
  const std::string expected = request.find_header("X-Expect-Instance").value_or(self->instance);
  const bool is_expected = expected == self->instance;
  std::vector<http::header> headers{{"X-Instance-Id", self->instance}};
  std::string body;
  if (is_expected && request.target == "/report") {
    headers.push_back({"Content-Type", "application/json"});
    body = R"({"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,)"
           R"("seq":1,"waiting":0,"active":0,"kv-used":0,"kv-total":100000,"handles":0})";
  }
  co_await caller.respond(is_expected ? 200 : misdirected, headers, body);
}

}  // namespace hawthornlane::stand_ins
