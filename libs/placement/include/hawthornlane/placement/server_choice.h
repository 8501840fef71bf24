// What it costs to send a call to one server or another. No I/O, clock or randomness.
//
// Answers a load at which the model engines are nearly full: there a prompt that is read
// a second time takes the place of somebody's turn, and lateness begets more calls.
#pragma once

#include <cstddef>

namespace hawthornlane {

/// What a host believes of one server for one call.
struct server_prospect {
  /// Calls that the server works on at once.
  double slots = 1;
  /// Calls of all hosts at the server.
  double calls = 0;
  /// Tokens of the prompt that it would have to read.
  double missing_tokens = 0;
  /// It is in this host's availability zone.
  bool near = false;
  /// How many times longer calls take there than usual.
  double slowness = 1;
};

/// Weights of a choice, in parts of the time that a call takes at its server: engines
/// that are slower are so in all of these.
struct choice_rules {
  /// Reading one token of a prompt: 12 us of a turn of 0.3 s at one of the engines in use,
  /// 6 us of 0.2 s at another.
  double token = 4e-5;
  /// While a prompt is read all calls beside it stand still, and those that come while the
  /// server is full wait for them. In a played burst at 8 servers of 16 places, 0.49 of the
  /// programs were in time with a weight of 1, 0.55 with 2 and 0.60 with 4 to 8; a move
  /// that looks cheaper is made again at the next turn.
  double delayed_others = 4;
  /// How much slower a call is at a full server than alone, since the server reads the
  /// prompts of others between its tokens.
  double crowding = 0.35;
  /// The way to another zone and back: 2 ms of 0.3 s, and bytes that are paid for; the
  /// prompt of a turn has some 6 KB.
  double far = 0.05;
  /// Servers that are weighed besides those that hold the line: so many of all by hash, and
  /// so many of this zone. Two choices even a load nearly as well as all do.
  std::size_t choices = 2;
  std::size_t near_choices = 2;
};

/// How many times longer than alone a call takes at a server of usual speed with this load; what
/// has to be read is left out.
double time_at(const server_prospect& server, const choice_rules& rules);
/// How many calls' time it takes until the call is through, with what it takes from others,
/// beyond that of a call alone at a server of usual speed.
double cost_of(const server_prospect& server, const choice_rules& rules);

}  // namespace hawthornlane
