// A state of the search's model: the hosts' cores, the map entry and everything in flight.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cereal/archives/binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "hawthornlane/ownership/shard_core.h"

namespace cereal {
// The search's clock does not advance, so states do not differ in their timestamps.
template <class Archive>
void serialize(Archive& /*archive*/, hawthornlane::timestamp& /*moment*/) {}
}  // namespace cereal

namespace hawthornlane::search {

constexpr std::size_t host_count = 3;
constexpr shard_id the_shard{1};

/// Limits and variants of one search.
struct bounds {
  int sends = 3;
  int faults = 2;
  int takeovers = 2;
  int set_changes = 1;
  bool repeatable = false;
  token_count budget{100};
  token_count reserved{10};
  /// Whether the caller continues with each new ticket that it gets.
  bool follow_new_tickets = false;
  /// Whether dispatched calls end and their results are logged.
  bool with_results = false;
  /// Whether answers of replicas and of the map can be delayed. If not, they arrive with the
  /// delivery of the request, which can itself be delayed or lost.
  bool late_answers = false;
  /// Whether a new owner includes the former one in its replicas.
  bool claim_keeps_owner = true;
  std::size_t max_states = 4'000'000;
};

/// Something in flight: a message, a map write or its answer, an order to send a call, a call's
/// result, a caller's request.
struct in_flight {
  enum class kind : std::uint8_t { message, map_write, map_answer, send_order, result, request };
  kind what = kind::message;
  std::size_t from = 0;
  std::size_t to = 0;
  std::optional<shard_message> message;
  assignment expected;
  assignment desired;
  proposal_outcome outcome = proposal_outcome::applied;
  call_id call;
  ticket presented;
  /// Serialised form; determines the order of `model::pending` and the state's hash.
  std::string key;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->what, this->from, this->to, this->message, this->expected, this->desired,
            this->outcome, this->call, this->presented);
  }
};

template <class Value>
std::string bytes_of(Value& value) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(value);
  return out.str();
}

/// One state of the model. A value type.
struct model {
  std::vector<shard_core> hosts;
  std::array<bool, host_count> alive{true, true, true};
  assignment map_entry;
  std::vector<in_flight> pending;
  int sends_left = 0;
  int faults_left = 0;
  int takeovers_left = 0;
  int set_changes_left = 0;
  ticket current;
  std::map<ticket, int> executed;
  std::set<ticket> refused;
  std::int64_t spent = 0;
  std::string violation;

  template <class Archive>
  void save(Archive& archive) const {
    for (const shard_core& host : this->hosts) {
      archive(const_cast<shard_core&>(host));
    }
    for (const in_flight& item : this->pending) {
      archive(item.key);
    }
    archive(this->alive[0], this->alive[1], this->alive[2], this->map_entry, this->sends_left,
            this->faults_left, this->takeovers_left, this->set_changes_left, this->current,
            this->executed, this->refused, this->spent);
  }
};

inline host_incarnation host_at(std::size_t index) {
  return {host_id(std::string(1, static_cast<char>('a' + index))), incarnation(index + 1)};
}

inline std::size_t index_of(const host_incarnation& host) { return host.start.get() - 1; }

/// Replaces a random number. It differs only where two random numbers have to differ, so that
/// orders of steps which lead to the same state lead to equal numbers.
inline std::uint64_t stand_in_random(std::size_t host, const model& state) {
  constexpr std::uint64_t per_host = 1000;
  return per_host * (host + 1) + static_cast<std::uint64_t>(10 * state.takeovers_left) +
         static_cast<std::uint64_t>(state.sends_left);
}

/// One possible step of the model, with its name in a trace.
struct step {
  std::string name;
  model after;
};

}  // namespace hawthornlane::search
