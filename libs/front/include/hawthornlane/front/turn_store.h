// What the relay needs of the ledger of turns and budgets.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane::front {

/// A turn that wants to be sent to a backend server.
struct turn_request {
  request_id id;
  program_id program;
  /// What the turn may generate at most, and what all turns of the program may.
  token_count most;
  std::optional<token_count> budget;
  /// Set when the hosts keep what was said on this route.
  bool kept = false;
  std::optional<request_id> previous;
  duration retention{};
};

/// Whether a turn may be sent.
enum class admission_kind : std::uint8_t {
  admitted,
  /// It does not fit into the program's budget.
  over_budget,
  /// The turn that it goes on from does not exist.
  unknown_turn,
  /// Too few disk hosts answer to be sure.
  unavailable,
};

struct turn_admission {
  admission_kind kind = admission_kind::unavailable;
  /// What was said before, to stand before the turn's own input.
  std::string history;
  std::string detail;
};

/// How a turn ended.
struct turn_result {
  /// Tokens handed to the caller.
  token_count used;
  /// The whole answer was received; only then may a later turn go on from it.
  bool whole = false;
  std::string input;
  /// The data of each event, followed by a line feed.
  std::string output;
};

/// Admits turns and keeps what was said. Coroutines of one thread.
class turn_store {
public:
  turn_store() = default;
  turn_store(const turn_store&) = delete;
  turn_store& operator=(const turn_store&) = delete;
  virtual ~turn_store() = default;

  /// Reserves the turn's tokens and reads its history. Unless the turn is admitted
  /// it must not be sent.
  virtual boost::asio::awaitable<turn_admission> admit(turn_request turn,
                                                       net::steady_time until) = 0;
  /// Keeps the result; true once enough disk hosts have it on disk.
  virtual boost::asio::awaitable<bool> settle(turn_request turn, turn_result result,
                                              net::steady_time until) = 0;
  /// The turn was admitted but provably not run: its tokens are free again.
  virtual void withdraw(const turn_request& turn) = 0;
};

}  // namespace hawthornlane::front
