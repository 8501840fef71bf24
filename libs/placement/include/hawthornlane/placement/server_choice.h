// Cost of sending a call to a server. No I/O, clock or randomness.
//
// The cost is tuned for model engines that are nearly full. There a prompt that is read a second
// time delays the turns of other programs, and late programs cause more calls.
#pragma once

#include <cstddef>

namespace hawthornlane {

/// A host's estimate of the state of one server, for one call.
struct server_estimate {
  /// Calls that the server works on at once.
  double slots = 1;
  /// Calls of all hosts at the server.
  double calls = 0;
  /// Tokens of the prompt that the server would have to read.
  double missing_tokens = 0;
  /// True if the server is in this host's availability zone.
  bool same_zone = false;
  /// Time of calls at this server as a multiple of the time at a typical server.
  double slowdown = 1;
};

/// Weights in the cost of a call, as fractions of the time that a call takes at its server: a
/// slower engine is slower in all of them.
struct choice_rules {
  /// Cost of reading one prompt token: 12 us of a turn of 0.3 s at one of the engines in use, 6 us
  /// of 0.2 s at another.
  double read_token_cost = 4e-5;
  /// Weight of the delay of other calls. While a server reads a prompt, all its other calls stop,
  /// and calls that arrive while it is full wait for them. In a simulated burst at 8 servers with
  /// 16 slots, 49% of the programs were in time with a weight of 1, 55% with 2 and 60% with 4 to 8.
  /// With a low weight a session moves to a server that seems cheaper at every turn, and each move
  /// has its prompt read again.
  double delay_weight = 4;
  /// Relative slowdown of a call at a full server compared with an idle one, since the server reads
  /// the prompts of other calls between the call's tokens.
  double contention = 0.35;
  /// Cost of a server in another availability zone: a round trip of 2 ms for a call of 0.3 s, and
  /// the price of the traffic between zones. The prompt of a turn has about 6 KB.
  double cross_zone_cost = 0.05;
  /// Numbers of candidates besides the servers that have cached the session: `choices` from all
  /// servers and `zone_choices` from this host's zone, chosen by hash. The best of two random
  /// choices balances load nearly as well as the best of all.
  std::size_t choices = 2;
  std::size_t zone_choices = 2;
};

/// Time of a call at a server of typical speed with this load, as a multiple of its time at an idle
/// one. Reading of the prompt is not included.
double relative_time(const server_estimate& server, const choice_rules& rules);
/// Extra cost of a call at this server, as a multiple of the call's time at an idle server of
/// typical speed: the call's time here and the weighted delay of the server's other calls, minus
/// that time.
double placement_cost(const server_estimate& server, const choice_rules& rules);

}  // namespace hawthornlane
