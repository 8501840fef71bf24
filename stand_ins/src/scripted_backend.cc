// Stand-in for a backend server of the platform; a test scripts its behavior.
#include "hawthornlane/stand_ins/scripted_backend.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "backend_state.h"
#include "hawthornlane/http/listening.h"

namespace hawthornlane::stand_ins {

scripted_backend::scripted_backend(asio::io_context& context, net::deadline_sweeper& sweeper,
                                   const http::endpoint& listen_at, std::string instance,
                                   std::shared_ptr<behavior_script> script)
    : shared(std::make_shared<state>(context, sweeper, std::move(instance), std::move(script))) {
  http::listen_on(this->shared->acceptor, listen_at);
  const auto at = this->shared->acceptor.local_endpoint();
  this->shared->address = {at.address().to_string(), at.port()};
  const auto take = [self = this->shared](tcp::socket socket) {
    asio::co_spawn(self->context, state::serve(self, std::move(socket)), asio::detached);
  };
  asio::co_spawn(context, http::accept_until_closed(this->shared->acceptor, take), asio::detached);
}

scripted_backend::~scripted_backend() {
  boost::system::error_code ignored;
  this->shared->acceptor.close(ignored);
}

http::endpoint scripted_backend::where() const { return this->shared->address; }

void scripted_backend::set_fatal_requests(
    std::function<std::optional<fatal_effect>(const http::request&)> choose) {
  this->shared->fatal_effect_of = std::move(choose);
}

void scripted_backend::set_endless_responses(
    std::function<std::optional<endless_response>(const http::request&)> choose) {
  this->shared->endless_response_to = std::move(choose);
}

void scripted_backend::set_raw_responses(
    std::function<std::optional<raw_response>(const http::request&)> choose) {
  this->shared->raw_response_to = std::move(choose);
}

void scripted_backend::set_early_responses(
    std::function<std::optional<early_response>(const http::request&, bool is_kept)> choose) {
  this->shared->early_response_to = std::move(choose);
}

void scripted_backend::set_early_ends(std::function<bool(const http::request&)> choose) {
  this->shared->ends_early = std::move(choose);
}

void scripted_backend::end() { this->shared->end(); }

bool scripted_backend::ended() const { return this->shared->ended; }

void scripted_backend::on_end(std::function<void(const std::optional<http::request>& cause)> hook) {
  this->shared->end_hook = std::move(hook);
}

void scripted_backend::set_events(int events, std::chrono::milliseconds delay) {
  this->shared->events = events;
  this->shared->event_interval = delay;
}

void scripted_backend::set_version(std::string version) {
  this->shared->version = std::move(version);
}

const std::string& scripted_backend::version() const { return this->shared->version; }

void scripted_backend::set_work(
    int slots, std::function<std::chrono::milliseconds(const http::request&)> time_of) {
  this->shared->slots = slots;
  this->shared->work_time_of = std::move(time_of);
}

void scripted_backend::set_framing(body_framing framing) { this->shared->framing = framing; }

void scripted_backend::set_write_pause(std::chrono::milliseconds pause) {
  this->shared->write_pause = pause;
}

void scripted_backend::set_connection_ending(connection_ending ending) {
  this->shared->ending = ending;
}

void scripted_backend::set_idle_time(std::chrono::milliseconds time) {
  this->shared->limits.idle_timeout = time;
}

void scripted_backend::set_read_delay(std::chrono::milliseconds delay) {
  this->shared->read_delay = delay;
}

const std::vector<backend_arrival>& scripted_backend::arrivals() const {
  return this->shared->arrivals;
}

int scripted_backend::runs(const std::string& id) const {
  return static_cast<int>(std::count_if(
      this->shared->arrivals.begin(), this->shared->arrivals.end(), [&id](const auto& item) {
        return item.ran && item.request.find_header("X-Request-Id") == id;
      }));
}

int scripted_backend::cancelled() const { return this->shared->cancelled; }

const std::string& scripted_backend::instance() const { return this->shared->instance; }

void scripted_backend::on_arrival(std::function<void(const backend_arrival&)> hook) {
  this->shared->arrival_hook = std::move(hook);
}

std::string scripted_backend::entry(const std::string& service, const std::string& zone,
                                    bool draining) const {
  return this->entry_at(this->where(), service, zone, draining);
}

std::string scripted_backend::entry_at(const http::endpoint& where, const std::string& service,
                                       const std::string& zone, bool draining) const {
  return fmt::format(
      R"({{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":4,"state":"{}",)"
      R"("cold-remaining-ms":0,"seq":1}})",
      service, http::to_string(where), zone, this->version(), draining ? "draining" : "ready");
}

}  // namespace hawthornlane::stand_ins
