// Metadata of a call, decoded once from the platform's headers, and the codec that
// reads and writes these headers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/fleet/configuration.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::relay {

/// One part of a prompt that several prompts may share.
struct prompt_part {
  std::string id;
  token_count tokens{0};
};

/// Metadata that a caller sent with a call, besides method, path and body.
struct call_terms {
  request_id id;
  /// From the Host header, without the port.
  std::string host_name;
  /// The secret that identifies the caller's account. Must not be logged or forwarded.
  std::optional<std::string> key;
  /// How long the caller waits, counted from the call's arrival at the host.
  std::optional<duration> deadline;
  /// Affinity key: calls with the same value concern the same object of the caller and should go
  /// to the same server.
  std::string affinity;
  std::string model;
  /// Number of tokens of the whole prompt.
  token_count prompt{0};
  /// Maximum number of tokens that the turn may generate.
  token_count max_output{0};
  std::vector<prompt_part> prefix;
  /// Last event that the caller received before its stream broke.
  std::optional<std::uint64_t> last_event;
  /// The attempt that brought the first event of the stream that this one takes up.
  std::optional<request_id> resumes;
  std::optional<program_id> program;
  session_id session;
  /// Time left until the program's deadline.
  std::optional<duration> program_time_left;
  /// Token budget: the maximum that all turns of the program together may generate.
  std::optional<token_count> budget;
  /// The turn that this one continues.
  std::optional<request_id> previous;
};

/// Metadata that hosts add to a call for one backend server.
struct dispatch_terms {
  /// The server that may run the call; any other refuses it.
  backend_server_id server;
  duration time_left{};
  std::optional<std::uint64_t> last_event;
  /// Set when there are client accounts: the caller's key is not forwarded.
  bool strips_key = false;
  /// The account on whose behalf the call runs.
  std::optional<client_account> account;
  /// How long the server keeps in its cache the tokens of the call's prompt and output.
  std::optional<duration> pin;
};

/// Metadata of a backend server's response.
struct response_terms {
  std::optional<request_id> id;
  /// The server states that it did not run the call.
  bool not_run = false;
  /// The response carries the server's signature.
  bool is_signed = false;
  /// The body is in a content coding, so it is not the one that the server signed.
  bool is_encoded = false;
};

/// Reads and writes the platform's headers; provided by the platform's adapter.
struct call_codec {
  std::function<std::optional<call_terms>(const http::request&, failure&)> decode_call;
  /// The headers to send to a server: the caller's, except hop-by-hop headers and those that
  /// only hosts may set, followed by the hosts' own.
  std::function<std::vector<http::header>(const http::request&, const dispatch_terms&)>
      dispatch_headers;
  std::function<response_terms(int status, const std::vector<http::header>&)> decode_response;
  /// A request that runs no call and that only this server's process answers; nothing if servers of
  /// the service have no such request.
  std::function<std::optional<http::request>(const service&, const backend_server_id&)>
      liveness_check;
};

}  // namespace hawthornlane::relay
