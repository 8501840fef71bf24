// How the speeds of a pool's servers are learnt and told, and how calls without a prompt are
// placed by them.
#include <algorithm>
#include <bit>
#include <cmath>

#include "hawthornlane/placement/rendezvous.h"
#include "hawthornlane/placement/server_pool.h"

namespace hawthornlane {
namespace {

/// Hosts tell each other what calls without a prompt say of speeds, when they end, from this many
/// calls a place on: below it a call finds a free place nearly wherever it goes.
constexpr double tell_from = 0.25;
/// They tell such a call's beginning from here on, so that counts are known when they are asked.
constexpr double tell_begins_from = 0.45;
/// They ask before they place one from here on, since a server chosen by hash is full at one
/// call in ten then.
constexpr double ask_from = 0.5;
/// Such a load fades by a factor of e in this time, in favour of what is usual: hosts that go by
/// counts from before the calls now under way meet at the same servers.
constexpr double plain_fading_seconds = 0.1;
/// A load of calls without a prompt that was heard less long ago is not asked for: such calls
/// take 50 to 200 ms.
constexpr duration fresh_plain_load = std::chrono::milliseconds(100);
/// Ends are told together for this long: a part of the quickest such calls.
constexpr duration ends_pause = std::chrono::milliseconds(50);
/// Part of a server's slowness in the cost of a call there. The rest is in how often it comes up
/// as a candidate.
constexpr double slowness_in_cost = 0.5;
/// Servers that a call without a prompt is weighed at.
constexpr std::size_t plain_choices = 3;
/// Calls with less than this to read count as one kind, those with twice as much as the next.
constexpr std::uint64_t least_reading = 128;
constexpr duration renewal_pause = std::chrono::seconds(1);
/// Below this a belief is hardly more than a guess.
constexpr double least_shown_weight = 1;

/// The first server in an order in which each is first in proportion to its speed: that of the
/// least -log(u) * slowness, where u in (0, 1] comes from its name and `key`.
template <class Server>
class first_by_speed {
public:
  explicit first_by_speed(std::uint64_t with) : key(with) {}

  void offer(const Server& server, double slowness) {
    constexpr double steps = 1.0 / static_cast<double>(std::uint64_t{1} << 53U);
    const std::uint64_t hash = rendezvous_weight(server.name_hash, this->key);
    const double number = static_cast<double>((hash >> 11U) + 1) * steps;
    // 1 - u is at most -log(u), and spares most of the logarithms.
    if (this->first != nullptr && (1 - number) * slowness >= this->least) {
      return;
    }
    const double order = -std::log(number) * slowness;
    if (this->first == nullptr || order < this->least) {
      this->first = &server;
      this->least = order;
    }
  }
  /// Nothing when none was offered.
  [[nodiscard]] const Server* get() const { return this->first; }

private:
  std::uint64_t key;
  const Server* first = nullptr;
  double least = 0;
};

}  // namespace

void server_pool::note_plain_call(running_call& call, const server_state& server) {
  if (!this->rules.learns_speed || this->fill_heard < tell_from) {
    return;
  }
  call.is_shared = true;
  call.ends_later = true;
  if (this->fill_heard >= tell_begins_from) {
    this->changed.insert(server.key);
  }
}

std::uint32_t server_pool::told_calls(const server_state& server) const {
  return this->rules.learns_speed ? server.shared : server.inside;
}

directory_request server_pool::plain_question(const placement_request& request,
                                              timestamp now) const {
  directory_request question;
  if (!this->rules.learns_speed || this->fill_heard < ask_from) {
    return question;
  }
  for (const listed_server* item : this->candidates_by_speed(request, choice_range::trusted, now)) {
    if (now - item->server->others_heard > fresh_plain_load) {
      question.servers.push_back(item->server->key);
    }
  }
  return question;
}

std::vector<const server_pool::listed_server*> server_pool::candidates_by_speed(
    const placement_request& request, choice_range range, timestamp now) const {
  const std::uint64_t call_key = this->own_key + request.id.get();
  first_by_speed<listed_server> near_home(request.affinity);
  first_by_speed<listed_server> far_home(request.affinity);
  first_by_speed<listed_server> of_zone(call_key);
  first_by_speed<listed_server> of_all(~call_key);
  first_by_speed<listed_server> also_of_all(call_key << 1U);
  for (const listed_server& item : this->listed_servers) {
    const server_state& server = *item.server;
    if (!this->may_take(server, range, now) || request.tried.contains(server.entry.id)) {
      continue;
    }
    if (request.affinity != 0) {
      (item.near ? near_home : far_home).offer(item, server.slow_factor);
    }
    // This host's own calls are known at once, also where nothing has been heard of others.
    const double crowd = 1.0 + server.inside;
    const double slowness = server.slow_factor * crowd * crowd;
    of_all.offer(item, slowness);
    also_of_all.offer(item, slowness);
    if (item.near) {
      of_zone.offer(item, slowness);
    }
  }
  const listed_server* home = near_home.get() != nullptr ? near_home.get() : far_home.get();
  std::vector<const listed_server*> chosen;
  for (const listed_server* item : {home, of_zone.get(), of_all.get(), also_of_all.get()}) {
    const bool is_new = std::find(chosen.begin(), chosen.end(), item) == chosen.end();
    if (item != nullptr && is_new && chosen.size() < plain_choices) {
      chosen.push_back(item);
    }
  }
  return chosen;
}

double server_pool::plain_cost(const listed_server& item, timestamp now) const {
  const server_state& server = *item.server;
  const double slowness =
      std::exp(slowness_in_cost * server.speed.expected(this->rules.speed, now));
  const double age = to_seconds(std::chrono::duration_cast<duration>(now - server.others_heard));
  const double known = std::exp(-age / plain_fading_seconds);
  const double count = static_cast<double>(this->servers.size());
  // Candidates come up by their speed, so that without news of them the next call costs as much
  // at each.
  const double usual = this->calls_of_others / count + 1;
  const double of_others = known * (server.others + 1) * slowness + (1 - known) * usual;
  const double far = item.near ? 0 : this->rules.choice.far * server.entry.slots;
  return server.inside * slowness + of_others + far;
}

server_pool::server_state* server_pool::choose_by_speed(const placement_request& request,
                                                        choice_range range, timestamp now) {
  server_state* best = nullptr;
  double best_cost = 0;
  double slack = request.affinity == 0 ? 0 : this->rules.affinity_slack;
  for (const listed_server* item : this->candidates_by_speed(request, range, now)) {
    const double cost = this->plain_cost(*item, now);
    if (best == nullptr || cost + slack < best_cost) {
      // Only the object's own server is kept although another is a little better.
      slack = best == nullptr ? slack : 0;
      best = item->server;
      best_cost = cost;
    }
  }
  return best;
}

void server_pool::note_load_met(running_call& call, const server_state& server,
                                const placement_request& request, timestamp now) const {
  if (!this->rules.learns_speed) {
    return;
  }
  const server_prospect prospect = this->prospect_of(server, request, now);
  const auto reading = static_cast<std::uint64_t>(prospect.missing_tokens) / least_reading;
  call.timed_kind = rendezvous_weight(call.kind, std::bit_width(reading));
  call.load = time_at(prospect, this->rules.choice);
  call.waits = prospect.calls + 1 > prospect.slots;
}

void server_pool::note_speed_of(const running_call& call, timed_part part, timestamp now) {
  server_state* server = this->server_of(call);
  // A wait is measured in whole calls, of which the time to the first event is a part.
  const bool tells_nothing = part == timed_part::first_event && call.waits;
  if (!this->rules.learns_speed || server == nullptr || tells_nothing) {
    return;
  }
  const duration took = std::chrono::duration_cast<duration>(now - call.since);
  const double expected = server->speed.expected(this->rules.speed, now);
  const std::optional<server_speed_sample> sample =
      this->typical.compare(call.timed_kind, part, took, call.load, expected, this->rules.speed);
  if (!sample) {
    return;
  }
  server->speed.note(*sample, this->rules.speed, now);
  this->renew_slow_factor(*server, now);
  this->speed_news.insert(server->key);
}

void server_pool::set_remote_speed(const speed_report& speed, timestamp now) {
  server_state* server = this->find_server(speed.server);
  if (!this->rules.learns_speed || server == nullptr) {
    return;
  }
  server->speed.hear(speed.word, now);
  this->renew_slow_factor(*server, now);
}

void server_pool::renew_slow_factor(server_state& server, timestamp now) {
  server.slow_factor = std::exp(server.speed.slow(this->rules.speed, now));
}

void server_pool::renew_slow_factors(timestamp now) {
  if (!this->rules.learns_speed || now < this->next_renewal) {
    return;
  }
  this->next_renewal = now + renewal_pause;
  double speeds = 0;
  for (auto& [id, server] : this->servers) {
    this->renew_slow_factor(server, now);
    speeds += 1 / server.slow_factor;
  }
  this->mean_speed = this->servers.empty() ? 1 : speeds / static_cast<double>(this->servers.size());
}

double server_pool::part_of_work(const server_state& server) const {
  return 1 / (server.slow_factor * this->mean_speed);
}

void server_pool::note_end(const server_state& server, timestamp now) {
  if (this->ended.empty()) {
    this->ended_since = now;
  }
  this->ended.insert(server.key);
}

bool server_pool::flush_ended_calls(timestamp now) {
  if (this->ended.empty() || now - this->ended_since < ends_pause) {
    return false;
  }
  this->changed.merge(this->ended);
  this->ended.clear();
  return true;
}

void server_pool::add_speeds(directory_update& update, timestamp now) {
  for (const server_load& load : update.loads) {
    const server_state* server = this->find_server(load.server);
    if (this->speed_news.erase(load.server) > 0 && server != nullptr) {
      update.speeds.push_back({load.server, server->speed.own_word(this->rules.speed, now)});
    }
  }
}

std::vector<server_slowdown> server_pool::slowdowns(timestamp now) const {
  std::vector<server_slowdown> slowdowns;
  if (!this->rules.learns_speed) {
    return slowdowns;
  }
  for (const auto& [id, server] : this->servers) {
    const double weight = server.speed.weight(this->rules.speed, now);
    if (server.listed && weight >= least_shown_weight) {
      slowdowns.push_back({id, std::exp(server.speed.slow(this->rules.speed, now)), weight});
    }
  }
  return slowdowns;
}

}  // namespace hawthornlane
