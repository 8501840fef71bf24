// What a call says of itself, decoded once from the platform's headers, and the
// hooks by which the relay reads and writes them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/errors/error_kind.h"
#include "hawthornlane/http/message.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::relay {

/// One shared piece of a prompt.
struct prompt_part {
  std::string id;
  token_count tokens{0};
};

/// What a caller sent with a call, besides method, path and body.
struct call_terms {
  request_id id;
  /// Without a port.
  std::string host_name;
  /// The secret that names the caller's account; never to be logged or passed on.
  std::optional<std::string> key;
  /// How long the caller will wait, from now.
  std::optional<duration> deadline;
  /// Calls about the same object carry the same value.
  std::string affinity;
  std::string model;
  /// Tokens of the whole prompt, and the most that the turn may generate.
  token_count prompt{0};
  token_count max_output{0};
  std::vector<prompt_part> prefix;
  /// The caller's stream broke after this event.
  std::optional<std::uint64_t> last_event;
  std::optional<program_id> program;
  session_id session;
  /// Time left until the program should be finished.
  std::optional<duration> program_time_left;
  /// Tokens that all turns of the program may generate.
  std::optional<token_count> budget;
  /// The turn that this one goes on from.
  std::optional<request_id> previous;
};

/// What the hosts add to a call for one backend server.
struct dispatch_terms {
  /// The server that may run it; any other refuses.
  backend_server_id server;
  duration time_left{};
  std::optional<std::uint64_t> last_event;
  /// There are client accounts: a caller's key goes no further than this host.
  bool strips_key = false;
  /// On whose behalf the call runs.
  std::optional<client_account> account;
  /// How long the server keeps what the call read and generated.
  std::optional<duration> pin;
};

/// What a backend server said with its answer.
struct response_terms {
  std::optional<request_id> id;
  /// The server states that it did not run the call.
  bool not_run = false;
  /// The answer bears the server's signature.
  bool is_signed = false;
};

/// Reads and writes the platform's header names; the adapter provides it.
struct call_codec {
  std::function<std::optional<call_terms>(const http::request&, failure&)> decode_call;
  /// The headers to send to a server: the caller's without those that concern only
  /// its connection or that only hosts may set, then the hosts' own.
  std::function<std::vector<http::header>(const http::request&, const dispatch_terms&)>
      dispatch_headers;
  std::function<response_terms(int status, const std::vector<http::header>&)> decode_response;
};

}  // namespace hawthornlane::relay
