// Stand-in for a backend server of the users' platform that behaves as a test says.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hawthornlane/http/message.h"
#include "hawthornlane/net/deadline_sweeper.h"

namespace hawthornlane::stand_ins {

/// What the server does with one request.
enum class backend_behavior : std::uint8_t {
  /// Runs it and answers: by events on a request for tokens, else by a body.
  answer,
  /// Refuses it as full, and says that it was not run.
  shed,
  /// Runs it; the connection is reset before the answer.
  drop_response,
  /// Runs it; the answer ends in the middle.
  truncate,
  /// Runs it; a second answer, to another call, follows on the connection.
  respond_twice,
  /// Runs it; an answer to another call comes first.
  respond_to_other_call_first,
  /// Runs it; the answer has no length and ends with the connection.
  respond_without_length,
  /// Answers bytes that are no answer.
  send_garbage,
  /// Runs it and says nothing.
  hang,
  /// Runs it; a success without the server's signature.
  unsigned_response,
  /// Refuses it as full with status 429, and says that it was not run.
  shed_as_too_many,
  /// Refuses it as meant for another server.
  misdirect,
  /// Runs it; a signed failure with that status, which does not say that it was not run.
  fail_408,
  fail_429,
  fail_500,
  fail_503,
  fail_504,
  /// Runs it; a refusal comes first that says "not run" and names no call.
  refuse_then_respond,
};

/// The acts of a group of servers, in the order in which requests reach any of them.
class behavior_script {
public:
  /// The last act goes on for ever.
  void set(std::vector<backend_behavior> acts) {
    this->acts = std::move(acts);
    this->next = 0;
  }
  backend_behavior take() {
    const backend_behavior act = this->acts[std::min(this->next, this->acts.size() - 1)];
    ++this->next;
    return act;
  }

private:
  std::vector<backend_behavior> acts{backend_behavior::answer};
  std::size_t next = 0;
};

/// One request that reached the server.
struct backend_arrival {
  http::request request;
  /// The server began to work on it.
  bool ran = false;
};

/// Serves until destroyed. For the thread that runs the io_context.
class scripted_backend {
public:
  scripted_backend(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
                   const http::endpoint& listen_at, std::string instance,
                   std::shared_ptr<behavior_script> script);
  ~scripted_backend();
  scripted_backend(const scripted_backend&) = delete;
  scripted_backend& operator=(const scripted_backend&) = delete;

  [[nodiscard]] http::endpoint where() const;
  /// The id under which the server is registered.
  [[nodiscard]] const std::string& instance() const;
  /// Events of a streamed answer, and the time between two.
  void set_events(int events, std::chrono::milliseconds pause = {});
  /// From now on a request is read so long after its connection is free for it.
  void set_read_delay(std::chrono::milliseconds pause);
  [[nodiscard]] const std::vector<backend_arrival>& arrivals() const;
  /// How often a request of that id was run.
  [[nodiscard]] int runs(const std::string& id) const;
  /// Streams whose connection the other side closed before their end.
  [[nodiscard]] int cancelled() const;
  /// Told of every request as it arrives.
  void on_arrival(std::function<void(const backend_arrival&)> hook);
  /// The object by which the server registers itself in the platform's store.
  [[nodiscard]] std::string entry(const std::string& service, const std::string& zone,
                                  bool draining = false) const;
  /// The same for a server that is reached at another address.
  [[nodiscard]] std::string entry_at(const http::endpoint& where, const std::string& service,
                                     const std::string& zone, bool draining) const;

  struct state;

private:
  std::shared_ptr<state> shared;
};

}  // namespace hawthornlane::stand_ins
