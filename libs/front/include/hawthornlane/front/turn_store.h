// Interface to the ledger of turns and budgets, as call_service uses it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/turn_ledger/stream_origin.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// A turn to be admitted before it is sent to a backend server.
struct turn_request {
  request_id id;
  program_id program;
  /// Limit of the output of this turn, tokens.
  token_count max_output_tokens;
  /// Limit of the output of all turns of the program, tokens; absent: none.
  std::optional<token_count> budget;
  /// Whether the route stores the text of turns.
  bool kept = false;
  std::optional<request_id> previous;
  duration retention{};
  /// What begins the stream, if it is known before a server is chosen.
  std::optional<stream_origin> origin;
  /// The attempt that began the stream which this one takes up.
  std::optional<request_id> resumes;
};

/// Whether a turn may be sent.
enum class admission_kind : std::uint8_t {
  admitted,
  /// The turn exceeds the program's budget.
  over_budget,
  /// The previous turn that it continues does not exist.
  unknown_turn,
  /// Too few disk hosts answer to decide.
  unavailable,
};

struct turn_admission {
  admission_kind kind = admission_kind::unavailable;
  /// Text of the earlier turns, to be put before the turn's own input.
  std::string history;
  /// Origin of the stream that the turn takes up.
  origin_outcome origin_found = origin_outcome::undecided;
  std::optional<stream_origin> origin;
  std::string detail;
};

/// How a turn ended.
struct turn_result {
  /// Tokens sent to the caller.
  token_count used;
  /// The whole answer was received. Only then can a later turn continue from it.
  bool whole = false;
  std::string input;
  /// The data of each event, followed by a line feed.
  std::string output;
};

/// Admits turns and stores their text. Not thread-safe; the coroutines run on one thread.
class turn_store {
public:
  turn_store() = default;
  turn_store(const turn_store&) = delete;
  turn_store& operator=(const turn_store&) = delete;
  virtual ~turn_store() = default;

  /// Reserves the turn's tokens and reads its history. A turn that is not admitted must not be
  /// sent.
  virtual boost::asio::awaitable<turn_admission> admit(turn_request turn,
                                                       net::steady_time until) = 0;
  /// Stores the result; returns true once a majority of disk hosts has it on disk.
  virtual boost::asio::awaitable<bool> settle(turn_request turn, turn_result result,
                                              net::steady_time until) = 0;
  /// Stores what begins an admitted turn's stream. `done` gets true once a majority of disk hosts
  /// has it on disk; it may run after the turn has ended.
  virtual void store_origin(const turn_request& turn, const stream_origin& origin,
                            net::steady_time until, std::function<void(bool stored)> done) = 0;
  /// Releases the tokens of an admitted turn that has certainly not run.
  virtual void withdraw(const turn_request& turn) = 0;
};

}  // namespace hawthornlane::front
