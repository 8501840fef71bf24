// A pool of connections to backend servers, and sending a call over one of them.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/http/response_reader.h"
#include "hawthornlane/net/timed_socket.h"
#include "hawthornlane/overload/byte_budget.h"
#include "hawthornlane/relay/call_terms.h"

namespace hawthornlane::relay {

/// How one attempt at one backend server ended.
enum class attempt_outcome : std::uint8_t {
  /// The whole response was read or forwarded.
  whole,
  /// Nothing was sent; the server has not received the call.
  not_sent,
  /// The server states that it did not run the call.
  not_run,
  /// Sent, and the call may have run: the response was incomplete, or it was a refusal that does
  /// not say whether the call ran.
  broken,
  /// The deadline passed before the response was complete.
  timed_out,
  /// The caller disconnected; the connection to the server was closed.
  abandoned,
};

/// The response of an attempt. The body is empty if it went to the sink.
struct backend_response {
  int status = 0;
  std::vector<http::header> headers;
  std::string body;
  response_terms terms;
  /// The connection ended before the response did.
  bool is_cut_off = false;
  /// Bytes came that are no part of an HTTP response, or exceed its limits.
  bool is_malformed = false;
  /// The response has neither a length nor chunks: only the end of its connection marks its end.
  bool ends_with_connection = false;
  /// The head of the response to this call has arrived.
  bool has_begun = false;
  /// What the body takes of the memory for responses.
  overload::byte_share memory;
};

/// Receives a streamed response. Returning false ends the transfer.
struct stream_sink {
  std::function<boost::asio::awaitable<bool>(const backend_response& head)> on_head;
  std::function<boost::asio::awaitable<bool>(std::string_view bytes)> on_bytes;
};

/// One call to one server.
struct backend_request {
  http::endpoint where;
  /// Start of the addressed server process. Connections to an earlier process are not used.
  incarnation server_start;
  std::string method;
  std::string target;
  std::vector<http::header> headers;
  /// The body, in two parts. They belong to `body_owner`, or else to the caller of `run`, where
  /// they must outlive the attempt.
  std::string_view body_begin;
  std::string_view body;
  /// Keeps the body until it is written, so that a large one is not copied.
  std::shared_ptr<const void> body_owner;
  request_id id;
  net::steady_time until = net::never;
  /// True if running the call twice does no harm. Otherwise only recently used pooled
  /// connections are taken, since a call on one that the server has just closed is lost.
  bool repeatable = false;
  /// Makes the request by which the server shows that its process goes on; nothing if there is
  /// none. It is sent after a response that ends with its connection, on another one.
  std::function<std::optional<http::request>()> liveness_check;
};

/// Cancels an attempt that is in progress.
class attempt_handle {
public:
  /// Closes the connection to the server; the attempt ends as `abandoned`.
  void abandon();

private:
  friend class backend_pool;
  net::timed_socket* socket = nullptr;
  bool abandoned = false;
};

/// Whether something listens at a server's address.
enum class listening_state : std::uint8_t {
  listening,
  /// Connections are refused: the process has ended.
  refused,
  /// No answer: the process has ended with its machine, or the server cannot be reached.
  silent,
};

/// Counters for metrics and for the decision log.
struct pool_counters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t mismatched_responses = 0;
  /// Responses that are not valid HTTP, or exceed its limits.
  std::uint64_t malformed_responses = 0;
  /// Refusals without a request id, possibly meant for an earlier call on the same connection.
  std::uint64_t unidentified_refusals = 0;
  /// Responses that ended with their connection, by whether that was found to be their end.
  std::uint64_t ends_confirmed = 0;
  std::uint64_t ends_unconfirmed = 0;
};

/// Keeps idle connections to each server. Not thread-safe.
class backend_pool {
public:
  backend_pool(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
               const call_codec& codec);
  backend_pool(const backend_pool&) = delete;
  backend_pool& operator=(const backend_pool&) = delete;
  ~backend_pool();

  /// Sends one call and reads its response. An event stream goes to `sink`. Any other
  /// response is read completely into `answer`, so that a broken one is detected
  /// before the caller receives a byte. If the attempt fails, `detail` says why.
  boost::asio::awaitable<attempt_outcome> run(const backend_request& request,
                                              const stream_sink& sink, attempt_handle& handle,
                                              backend_response& answer, std::string& detail);
  /// Opens a connection to a server, and again if the server closes it. A process that ends may
  /// close its port some time after its connections, so this takes `watch_time` if the server
  /// listens.
  boost::asio::awaitable<listening_state> check_listening(http::endpoint where,
                                                          duration watch_time);
  /// Closes idle connections that are too old, and those to servers that are no longer listed.
  void close_idle(const std::function<bool(const http::endpoint&)>& still_listed);

  /// Limits the responses that are in memory at once; an attempt whose response does not fit is
  /// broken.
  void limit_buffered_bytes(std::size_t max_bytes);

  [[nodiscard]] const pool_counters& counters() const { return this->counts; }

private:
  struct server_connection;
  struct end_witness;
  using connection_ptr = std::unique_ptr<server_connection>;

  connection_ptr take_idle(const backend_request& request);
  boost::asio::awaitable<connection_ptr> acquire(const backend_request& request,
                                                 attempt_handle& handle, std::string& detail);
  /// Sends the call over this connection.
  boost::asio::awaitable<attempt_outcome> run_on(connection_ptr connection,
                                                 const backend_request& request,
                                                 const stream_sink& sink, attempt_handle& handle,
                                                 backend_response& answer, std::string& detail);
  /// Takes or opens a second connection to the request's server.
  std::shared_ptr<end_witness> open_witness(const backend_request& request);
  /// Replaces a second connection that has ended while the response goes on: servers close idle
  /// connections.
  void renew_witness(std::shared_ptr<end_witness>& witness, const backend_request& request);
  static boost::asio::awaitable<void> connect_witness(std::shared_ptr<end_witness> witness);
  /// Whether the orderly end of its connection is the end of a response: `whole`, or else `broken`
  /// or `timed_out`, with the reason in `detail`. The server's process has to go on, and the server
  /// has to take the whole request without a reset.
  boost::asio::awaitable<attempt_outcome> confirm_end(server_connection& connection,
                                                      const backend_request& request,
                                                      std::shared_ptr<end_witness> witness,
                                                      attempt_handle& handle, std::string& detail);
  /// Whether the server's process goes on: it answers on a connection that was opened before, or
  /// this stays open.
  boost::asio::awaitable<bool> has_outlived_end(std::shared_ptr<end_witness> witness,
                                                attempt_handle& handle);
  /// Waits until the server's host has acknowledged the whole request.
  static boost::asio::awaitable<net::error_code> wait_until_taken(server_connection& connection,
                                                                  net::steady_time until);
  void put_idle(const backend_request& request, connection_ptr connection);
  boost::asio::awaitable<attempt_outcome> exchange(server_connection& connection,
                                                   const backend_request& request,
                                                   const stream_sink& sink, attempt_handle& handle,
                                                   backend_response& answer, std::string& detail);
  boost::asio::awaitable<attempt_outcome> read_body(server_connection& connection,
                                                    const backend_request& request,
                                                    const stream_sink& sink,
                                                    http::response_reader& from,
                                                    attempt_handle& handle,
                                                    backend_response& answer, std::string& detail);
  /// Derives from a complete response whether the call ran.
  attempt_outcome outcome_of(const server_connection& connection, const backend_response& answer,
                             std::string& detail);

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  const call_codec& codec;
  std::map<http::endpoint, std::vector<connection_ptr>> idle;
  std::shared_ptr<overload::byte_budget> buffered;
  pool_counters counts;
};

}  // namespace hawthornlane::relay
