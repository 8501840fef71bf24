// What a stand-in for a backend server of the platform holds, and how it serves.
#pragma once

#include <fmt/format.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornlane/net/timed_socket.h"
#include "hawthornlane/relay/caller_connection.h"
#include "hawthornlane/stand_ins/scripted_backend.h"

namespace hawthornlane::stand_ins {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

asio::awaitable<void> delay(std::chrono::milliseconds time);

inline caller_limits server_limits() {
  caller_limits limits;
  limits.body_bytes *= 4;
  return limits;
}

struct scripted_backend::state : std::enable_shared_from_this<scripted_backend::state> {
  state(asio::io_context& io, net::deadline_sweeper& sweep, std::string id,
        std::shared_ptr<behavior_script> behaviors)
      : context(io),
        sweeper(sweep),
        instance(std::move(id)),
        script(std::move(behaviors)),
        acceptor(io) {}

  asio::io_context& context;
  net::deadline_sweeper& sweeper;
  std::string instance;
  std::string version = "v1";
  std::shared_ptr<behavior_script> script;
  tcp::acceptor acceptor;
  int events = 3;
  std::chrono::milliseconds event_interval{0};
  std::chrono::milliseconds read_delay{0};
  /// Servers accept whole conversations, which are larger than what a caller sends.
  caller_limits limits = server_limits();
  std::chrono::milliseconds write_pause{0};
  body_framing framing = body_framing::delimited;
  connection_ending ending = connection_ending::reset;
  int slots = 0;
  int busy = 0;
  std::function<std::chrono::milliseconds(const http::request&)> work_time_of;
  /// Requests that wait for a slot, the oldest first.
  std::deque<asio::steady_timer*> queue;
  std::vector<backend_arrival> arrivals;
  int cancelled = 0;
  std::function<void(const backend_arrival&)> arrival_hook;
  std::function<std::optional<fatal_effect>(const http::request&)> fatal_effect_of;
  std::function<std::optional<endless_response>(const http::request&)> endless_response_to;
  std::function<std::optional<raw_response>(const http::request&)> raw_response_to;
  std::function<std::optional<early_response>(const http::request&, bool is_kept)>
      early_response_to;
  std::function<bool(const http::request&)> ends_early;
  std::function<void(const std::optional<http::request>& cause)> end_hook;
  std::set<net::timed_socket*> connections;
  http::endpoint address;
  bool ended = false;

  void close_port() {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
  }

  static asio::awaitable<void> close_port_after(std::shared_ptr<state> self,
                                                std::chrono::milliseconds time);
  /// Ends the process.
  void end(const std::optional<http::request>& cause = std::nullopt,
           std::chrono::milliseconds port_delay = {});

  [[nodiscard]] std::optional<fatal_effect> effect_of(const http::request& request) const {
    return this->fatal_effect_of ? this->fatal_effect_of(request) : std::nullopt;
  }

  void record(const http::request& request, bool ran, bool is_read = true) {
    this->arrivals.push_back({request, ran, is_read});
    if (this->arrival_hook) {
      this->arrival_hook(this->arrivals.back());
    }
  }

  [[nodiscard]] std::string event_bytes(int event) const {
    return fmt::format("id: {}\ndata: piece {} of {}\n\n", event, event, this->version);
  }

  /// The event after which the caller resumes the stream; 0 means from the start.
  static int last_event_of(const http::request& request) {
    return std::stoi(request.find_header("Last-Event-Id").value_or("0"));
  }

  std::string events_after(int last) const {
    std::string bytes;
    for (int event = last + 1; event <= this->events; ++event) {
      bytes += this->event_bytes(event);
    }
    return bytes;
  }

  std::vector<http::header> headers_for(const std::string& id, bool is_signed) const {
    std::vector<http::header> headers{{"X-Request-Id", id}, {"X-Instance-Id", this->instance}};
    if (is_signed) {
      headers.push_back({"X-Response-Seal", "seal-" + id});
    }
    return headers;
  }

  /// Time at which the server stops work on the request.
  static net::steady_time deadline_of(const http::request& request) {
    const auto limit = request.find_header("X-Deadline-Ms");
    return limit ? std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(*limit))
                 : net::never;
  }

  /// Waits for a free slot until `until`; returns false if there was none.
  asio::awaitable<bool> take_slot(net::steady_time until);
  /// Passes the slot to the oldest request that waits.
  void release_slot();
  /// Waits for a slot and works. Returns false if the deadline has passed and the request has been
  /// answered.
  static asio::awaitable<bool> work(std::shared_ptr<state> self, relay::caller_connection& caller,
                                    const http::request& request, const std::string& id);
  /// Serves a connection until it or the process ends.
  static asio::awaitable<void> serve(std::shared_ptr<state> self, tcp::socket accepted);
  /// What became of a request that may get a response before it is read.
  enum class early_outcome : std::uint8_t {
    /// It gets none, and has not been read.
    none,
    /// The connection may serve another request.
    kept,
    ended,
  };
  static asio::awaitable<early_outcome> serve_early(std::shared_ptr<state> self,
                                                    net::timed_socket& socket, int descriptor,
                                                    bool is_kept);
  static asio::awaitable<void> handle(std::shared_ptr<state> self, relay::caller_connection& caller,
                                      const http::request& request);
  /// Responds to `GET /report` and to a request for the server's health.
  static asio::awaitable<void> respond_to_check(std::shared_ptr<state> self,
                                                relay::caller_connection& caller,
                                                const http::request& request);
  /// Sends the response that the behavior stands for.
  static asio::awaitable<void> respond(std::shared_ptr<state> self,
                                       relay::caller_connection& caller,
                                       const http::request& request, const std::string id,
                                       backend_behavior behavior);
  static asio::awaitable<void> respond_endlessly(std::shared_ptr<state> self,
                                                 relay::caller_connection& caller,
                                                 const http::request& request, const std::string id,
                                                 endless_response what);
  static asio::awaitable<void> respond_raw(relay::caller_connection& caller, raw_response what);
  static asio::awaitable<void> answer(std::shared_ptr<state> self, relay::caller_connection& caller,
                                      const http::request& request, const std::string id,
                                      backend_behavior behavior);
  /// Writes bytes in two parts with the write pause between them; false if the peer is gone.
  static asio::awaitable<bool> write_paused(std::shared_ptr<state> self,
                                            relay::caller_connection& caller,
                                            const std::string bytes, body_framing framing);
  static asio::awaitable<void> stream(std::shared_ptr<state> self, relay::caller_connection& caller,
                                      const http::request& request,
                                      std::vector<http::header> headers, backend_behavior behavior);
};

}  // namespace hawthornlane::stand_ins
