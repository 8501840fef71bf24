// Stand-in for a backend server of the platform; a test scripts its behavior.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/stand_ins/early_response.h"
#include "hawthornlane/stand_ins/endless_response.h"
#include "hawthornlane/stand_ins/invalid_response.h"

namespace hawthornlane::stand_ins {

/// What the server does with one request.
enum class backend_behavior : std::uint8_t {
  /// Runs it and responds: with an event stream to a request for tokens, otherwise with a body.
  answer,
  /// Refuses it as overloaded with status 503 and states that it was not run.
  shed,
  /// Runs it; resets the connection before the response.
  drop_response,
  /// Runs it; the response ends in the middle.
  truncate,
  /// Runs it; the connection of a stream is closed in order before the last event, and the process
  /// goes on.
  close_early,
  /// Runs it; a second response, to another call, follows on the connection.
  respond_twice,
  /// Runs it; a response to another call precedes the response.
  respond_to_other_call_first,
  /// Runs it; the response has no length and ends when the connection closes.
  respond_without_length,
  /// Sends bytes that are not an HTTP response.
  send_garbage,
  /// Runs it and sends no response.
  hang,
  /// Runs it; a successful response without the server's signature.
  unsigned_response,
  /// Refuses it as overloaded with status 429 and states that it was not run.
  shed_as_too_many,
  /// Refuses it with status 421, as addressed to another server.
  misdirect,
  /// Runs it; a signed error response with that status, which does not state that it was not run.
  fail_408,
  fail_429,
  fail_500,
  fail_503,
  fail_504,
  /// Runs it, but first sends a refusal that states "not run" and carries no request id.
  refuse_then_respond,
  /// Runs it; after the first event that it sends of a stream, it sends that event again, the begin
  /// of an event of 300 KB, 1,100 events at once, or bytes that are no chunk.
  repeat_event,
  send_oversized_event,
  send_too_many_events,
  send_no_chunk,
  /// The same as `repeat_event`, with both events in one piece.
  send_event_twice,
  /// Runs it; a body that is no stream, also to a request for tokens.
  answer_without_stream,
};

/// The behaviors of a group of servers: one for each request, in the order in which requests reach
/// any of them.
class behavior_script {
public:
  /// The last one repeats for all further requests.
  void set(std::vector<backend_behavior> behaviors) {
    this->behaviors = std::move(behaviors);
    this->next = 0;
  }
  backend_behavior take() {
    const backend_behavior behavior =
        this->behaviors[std::min(this->next, this->behaviors.size() - 1)];
    ++this->next;
    return behavior;
  }

private:
  std::vector<backend_behavior> behaviors{backend_behavior::answer};
  std::size_t next = 0;
};

/// One request that reached the server.
struct backend_arrival {
  http::request request;
  /// The server executed it.
  bool ran = false;
  /// False if the server has responded without the body, which is then empty here.
  bool is_read = true;
};

/// How a request ends the process of its server.
struct fatal_effect {
  /// Time from the arrival of the request to the end of the process.
  std::chrono::milliseconds delay{0};
  /// If set, a stream's process ends after it has sent this many events, and not after `delay`; one
  /// that sends another response ends after half of its body.
  int after_events = 0;
  /// From the end of the process's connections to the end of its port. Connections that it accepts
  /// in between get no response and last until the port closes.
  std::chrono::milliseconds port_delay{0};
};

/// How the end of a response's body is marked.
enum class body_framing : std::uint8_t {
  /// By a length, or by the last chunk of a stream.
  delimited,
  /// By the end of the connection only.
  connection_end,
};

/// What becomes of a process's connections when it ends.
enum class connection_ending : std::uint8_t {
  reset,
  /// Closed in order, as a kernel does for a process that is killed.
  close,
};

/// Serves until destroyed or ended. To be used only on the thread that runs the io_context.
class scripted_backend {
public:
  scripted_backend(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
                   const http::endpoint& listen_at, std::string instance,
                   std::shared_ptr<behavior_script> script);
  ~scripted_backend();
  scripted_backend(const scripted_backend&) = delete;
  scripted_backend& operator=(const scripted_backend&) = delete;

  [[nodiscard]] http::endpoint where() const;
  /// The instance id under which the server is registered.
  [[nodiscard]] const std::string& instance() const;
  /// Sets the number of events of a streamed response and the time between two.
  void set_events(int events, std::chrono::milliseconds delay = {});
  /// Sets the version of the server's software, which each event of a stream contains; "v1" at
  /// first.
  void set_version(std::string version);
  [[nodiscard]] const std::string& version() const;
  /// Sets how many requests the server processes at once, in order of arrival, and how long it
  /// works on each. It stops at the request's `X-Deadline-Ms`, as a server of the platform does.
  /// Without a call of this, requests are answered at once.
  void set_work(int slots, std::function<std::chrono::milliseconds(const http::request&)> time_of);
  /// Sets how responses are framed; `delimited` at first.
  void set_framing(body_framing framing);
  /// Sets a pause in the middle of each event, and of each body that ends with its connection.
  void set_write_pause(std::chrono::milliseconds pause);
  /// Sets what becomes of the connections when the process ends; `reset` at first.
  void set_connection_ending(connection_ending ending);
  /// Sets after which time without a request a connection is closed.
  void set_idle_time(std::chrono::milliseconds time);
  /// Sets a delay before each request is read from a connection.
  void set_read_delay(std::chrono::milliseconds delay);
  [[nodiscard]] const std::vector<backend_arrival>& arrivals() const;
  /// Number of times that a request with that id was run.
  [[nodiscard]] int runs(const std::string& id) const;
  /// Number of streams whose connection the peer closed before the end.
  [[nodiscard]] int cancelled() const;
  /// Sets a hook that is called with every request that arrives.
  void on_arrival(std::function<void(const backend_arrival&)> hook);
  /// Sets which requests end the process, like a crash: it stops listening and resets all of its
  /// connections.
  void set_fatal_requests(std::function<std::optional<fatal_effect>(const http::request&)> choose);
  /// Sets which requests run and get a response without an end.
  void set_endless_responses(
      std::function<std::optional<endless_response>(const http::request&)> choose);
  /// Sets which requests run and get a response as it is given here.
  void set_raw_responses(std::function<std::optional<raw_response>(const http::request&)> choose);
  /// Sets which requests run and get a response before their body is read; `is_kept`: the
  /// connection has served another request. The request that is given has no body.
  void set_early_responses(
      std::function<std::optional<early_response>(const http::request&, bool is_kept)> choose);
  /// Sets which requests get the behavior `close_early` instead of `answer`.
  void set_early_ends(std::function<bool(const http::request&)> choose);
  /// Ends the process like a crash.
  void end();
  [[nodiscard]] bool ended() const;
  /// Sets a hook that is called when the process ends, before its connections are reset, with the
  /// request that has ended it, if one has.
  void on_end(std::function<void(const std::optional<http::request>& cause)> hook);
  /// The JSON object by which the server registers itself in the platform's store.
  [[nodiscard]] std::string entry(const std::string& service, const std::string& zone,
                                  bool draining = false) const;
  /// The same with another address.
  [[nodiscard]] std::string entry_at(const http::endpoint& where, const std::string& service,
                                     const std::string& zone, bool draining) const;

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::stand_ins
