// Connections to backend servers, and one call over one of them.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/net/timed_socket.h"
#include "hawthornlane/relay/call_terms.h"

namespace hawthornlane::relay {

/// How one try at one backend server ended.
enum class attempt_outcome : std::uint8_t {
  /// The whole answer was read or handed on.
  whole,
  /// Nothing was sent: the server has not seen the call.
  not_sent,
  /// The server states that it did not run the call.
  not_run,
  /// Sent, but no whole answer came, or a refusal that does not say whether it ran: it may
  /// have run.
  broken,
  /// The time was over before the answer was whole.
  timed_out,
  /// The caller left; the server's connection was closed.
  abandoned,
};

/// The answer of a try, or its head when the body went to the sink.
struct backend_response {
  int status = 0;
  std::vector<http::header> headers;
  std::string body;
  response_terms terms;
};

/// Receives a streamed answer; false ends the transfer.
struct stream_sink {
  std::function<boost::asio::awaitable<bool>(const backend_response& head)> on_head;
  std::function<boost::asio::awaitable<bool>(std::string_view bytes)> on_bytes;
};

/// One call as it is sent to one server.
struct backend_request {
  http::endpoint where;
  /// Of the server that is meant. A connection to its former incarnation leads nowhere.
  incarnation server_start;
  std::string method;
  std::string target;
  std::vector<http::header> headers;
  /// Owned by the caller of `run`, which outlives the try.
  std::string_view body;
  request_id id;
  net::steady_time until = net::never;
  /// A kept connection that the server has just closed would lose the call; one
  /// that may not be repeated takes only those used within the last moments.
  bool repeatable = false;
};

/// Lets somebody else end a try that is under way.
class attempt_handle {
public:
  /// Closes the server's connection; the try ends as abandoned.
  void abandon();

private:
  friend class backend_pool;
  net::timed_socket* socket = nullptr;
  bool abandoned = false;
};

/// Counts for metrics and for the decision log.
struct pool_counters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t mismatched_responses = 0;
  /// Refusals that could have been meant for an earlier call of their connection.
  std::uint64_t unidentified_refusals = 0;
};

/// Keeps idle connections of each server. For one thread.
class backend_pool {
public:
  backend_pool(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
               const call_codec& codec);
  backend_pool(const backend_pool&) = delete;
  backend_pool& operator=(const backend_pool&) = delete;
  ~backend_pool();

  /// Sends one call and reads its answer. An event stream goes to `sink`; any other
  /// answer is read whole into `answer`, so that a broken one can be told apart
  /// before the caller sees a byte. `detail` says why a try failed.
  boost::asio::awaitable<attempt_outcome> run(const backend_request& request,
                                              const stream_sink& sink, attempt_handle& handle,
                                              backend_response& answer, std::string& detail);
  /// Closes idle connections that are too old, and those of servers that are gone.
  void close_idle(const std::function<bool(const http::endpoint&)>& still_listed);

  [[nodiscard]] const pool_counters& counters() const { return this->counts; }

private:
  struct link;
  using link_ptr = std::unique_ptr<link>;

  link_ptr take_idle(const backend_request& request);
  boost::asio::awaitable<link_ptr> obtain(const backend_request& request, attempt_handle& handle,
                                          std::string& detail);
  void keep(const backend_request& request, link_ptr used);
  boost::asio::awaitable<attempt_outcome> exchange(link& used, const backend_request& request,
                                                   const stream_sink& sink,
                                                   backend_response& answer, std::string& detail);
  boost::asio::awaitable<attempt_outcome> read_body(link& used, const backend_request& request,
                                                    const stream_sink& sink,
                                                    struct answer_parser& from,
                                                    backend_response& answer, std::string& detail);
  /// What a whole answer says about the run.
  attempt_outcome outcome_of(const link& used, const backend_response& answer, std::string& detail);

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  const call_codec& codec;
  std::map<http::endpoint, std::vector<link_ptr>> idle;
  pool_counters counts;
};

}  // namespace hawthornlane::relay
