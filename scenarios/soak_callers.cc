// Simulated agent programs that call a deployment during a fault soak.
#include "soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "soak_caller.h"

namespace hawthornlane::scenarios {
namespace asio = boost::asio;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

/// Longest wait for a host of which a caller has no response yet.
constexpr auto call_limit = 3000ms;
/// How long a caller waits for the response after its deadline, which the routes' own timeouts do
/// not exceed.
constexpr auto answer_slack = 500ms;
/// A read ends at most this long after its limit, unless the soak itself gets no processor time.
constexpr auto max_wake_delay = 100ms;
/// Number of batch callers. With `batch_servers` of the fleet they keep a queue of seconds.
constexpr int batch_callers = 24;
constexpr auto connect_limit = 1000ms;
/// Callers reuse a directory response for the hosts' configured `address_time`.
constexpr auto address_time = 1000ms;
/// Turns are stored for 60 s; those that are about to expire are not continued.
constexpr auto max_turn_age = 45s;
constexpr std::size_t max_stored_turns = 400;
constexpr int attempts_per_turn = 3;
/// Share of the calls of tools that are uploads, if callers send any.
constexpr double upload_share = 0.3;
/// A stored turn reaches a server within this many attempts when no fault is active.
constexpr int attempts_when_calm = 5;
constexpr std::size_t max_turns_verified = 80;
constexpr std::size_t max_paused_lines = 40;
/// One caller in this many pauses between turns.
constexpr int callers_per_paused_one = 2;

}  // namespace

soak_callers::soak_callers(asio::io_context& io, soak_fleet& deployment, promise_checker& checker,
                           std::function<bool(net::steady_time)> is_calm,
                           std::function<bool(net::steady_time)> is_in_time, std::uint64_t seed)
    : context(io),
      fleet(deployment),
      promises(checker),
      calm(std::move(is_calm)),
      in_time(std::move(is_in_time)),
      sweeper(io),
      random(seed) {}

soak_callers::~soak_callers() = default;

std::string soak_callers::fresh_id() { return fmt::format("r{}", ++this->ids); }

void soak_callers::start(int callers) {
  for (int number = 0; number < callers; ++number) {
    ++this->active_tasks;
    asio::co_spawn(this->context, this->run_caller(this->random()), asio::detached);
  }
  ++this->active_tasks;
  asio::co_spawn(this->context, this->probe_configuration(), asio::detached);
  for (int number = 0; number < callers; number += callers_per_paused_one) {
    ++this->active_tasks;
    asio::co_spawn(this->context, this->run_paused_caller(this->random()), asio::detached);
  }
  for (int number = 0; number < batch_callers; ++number) {
    ++this->active_tasks;
    asio::co_spawn(this->context, this->run_batch_caller(this->random()), asio::detached);
  }
}

asio::awaitable<void> soak_callers::run_caller(std::uint64_t seed) {
  caller who(this->context, this->sweeper, seed);
  who.choose_version(seed);
  co_await pause(std::chrono::milliseconds(who.random_index(500)));
  while (!this->stopping) {
    constexpr std::size_t kinds = 10;
    const std::size_t kind = who.random_index(kinds);
    if (kind < 5) {
      conversation_state fresh;
      fresh.program = fresh_id();
      co_await this->run_conversation(who, fresh, 2 + static_cast<int>(who.random_index(4)));
    } else if (kind < 6 && !this->lines.empty()) {
      const conversation_state old = this->lines[who.random_index(this->lines.size())];
      if (steady::now() - old.ended < max_turn_age) {
        co_await this->run_conversation(who, old, 1);
      }
    } else if (kind < 7) {
      co_await this->run_budgeted(who);
    } else if (kind < 9) {
      co_await this->run_resumed(who);
    } else {
      co_await this->run_tools(who, 3);
    }
    co_await pause(std::chrono::milliseconds(20 + who.random_index(60)));
  }
  --this->active_tasks;
}

sent_call soak_callers::turn_of(caller& who, const conversation_state& line) {
  sent_call call;
  const std::string id = this->fresh_id();
  constexpr int ample_budget = 100'000;
  call.request = turn_request_of("/kept/x", id, line.program, line.turn, ample_budget);
  call.request.body += std::string(who.random_index(300), 'i');
  call.body_at_server = line.history + call.request.body;
  call.program = line.program;
  call.is_stream = true;
  call.continues_turn = !line.turn.empty();
  return call;
}

asio::awaitable<void> soak_callers::run_conversation(caller& who, conversation_state line,
                                                     int turns) {
  for (int number = 0; number < turns; ++number) {
    call_result result;
    sent_call sent;
    for (int attempt = 0; attempt < attempts_per_turn; ++attempt) {
      sent = this->turn_of(who, line);
      result = co_await this->call(who, sent, 1);
      ++this->counts.sent;
      if (result.status == 200 && result.whole) {
        ++this->counts.served;
        break;
      }
      co_await pause(std::chrono::milliseconds(100 + who.random_index(300)));
    }
    if (result.status != 200 || !result.whole) {
      co_return;
    }
    line.turn = sent.request.id;
    line.history = sent.body_at_server + output_of(result.body);
    line.ended = steady::now();
    this->lines.push_back(line);
    if (this->lines.size() > max_stored_turns) {
      this->lines.pop_front();
    }
    co_await this->run_tools(who, static_cast<int>(who.random_index(3)));
  }
}

asio::awaitable<bool> soak_callers::continue_paused(caller& who, conversation_state& line) {
  const auto began = steady::now();
  call_result result;
  for (int attempt = 0; attempt < attempts_when_calm; ++attempt) {
    who.failed = who.connected_to;
    who.drop(false);
    const sent_call sent = this->turn_of(who, line);
    result = co_await this->call(who, sent, 1);
    ++this->counts.sent;
    if (result.status == 200 && result.whole) {
      ++this->counts.served;
      line.turn = sent.request.id;
      line.history = sent.body_at_server + output_of(result.body);
      line.ended = steady::now();
      co_return true;
    }
  }
  if (!line.turn.empty() && this->calm(began) && steady::now() - line.ended < max_turn_age) {
    this->promises.note(fmt::format("turn {} of a conversation that paused is lost: status {}",
                                    line.turn, result.status));
  }
  co_return false;
}

asio::awaitable<void> soak_callers::run_paused_caller(std::uint64_t seed) {
  caller who(this->context, this->sweeper, seed);
  who.choose_version(seed);
  while (!this->stopping) {
    conversation_state line;
    line.program = fresh_id();
    const int turns = 4 + static_cast<int>(who.random_index(6));
    for (int number = 0; number < turns && !this->stopping; ++number) {
      co_await this->continue_paused(who, line);
      const auto until = steady::now() + std::chrono::milliseconds(1000 + who.random_index(3000));
      while (steady::now() < until && !this->stopping) {
        co_await pause(50ms);
      }
    }
    if (!line.turn.empty()) {
      this->paused_lines.push_back(line);
    }
    if (this->paused_lines.size() > max_paused_lines) {
      this->paused_lines.pop_front();
    }
  }
  --this->active_tasks;
}

asio::awaitable<void> soak_callers::run_budgeted(caller& who) {
  const std::string program = this->fresh_id();
  constexpr int turns = 6;
  constexpr int budget = 100;
  for (int number = 0; number < turns; ++number) {
    sent_call call;
    call.request = turn_request_of("/resumed/x", this->fresh_id(), program, "", budget);
    call.body_at_server = call.request.body;
    call.program = program;
    call.budget = budget;
    call.is_stream = true;
    call.repeats = repetition::resumable;
    co_await this->call(who, call, 1);
    co_await pause(10ms);
  }
}

/// Streams that break, or whose caller moves to another host in the middle, and their resumptions.
asio::awaitable<void> soak_callers::run_resumed(caller& who) {
  constexpr int ample_budget = 100'000;
  constexpr int most_attempts = 5;
  sent_call call;
  call.program = this->fresh_id();
  call.is_stream = true;
  call.repeats = repetition::resumable;
  std::string origin;
  int received = 0;
  for (int number = 0; number < most_attempts; ++number) {
    call.request = turn_request_of("/resumed/x", this->fresh_id(), call.program, "", ample_budget);
    call.body_at_server = call.request.body;
    call.resumes = origin;
    call.last_event = received;
    if (received > 0) {
      call.request.headers.push_back({"Last-Event-Id", std::to_string(received)});
      call.request.headers.push_back({"Resumes", origin});
    }
    call.leave_after = who.chance(0.6) ? 1 + static_cast<int>(who.random_index(2)) : 0;
    const call_result result = co_await this->attempt_stream(who, call);
    const int brought = result.status == 200 ? events_in(result.body) : 0;
    const bool ended = result.status == 200 && result.whole;
    const bool refused = received > 0 && result.status == 503;
    if (ended || refused) {
      break;
    }
    origin = received == 0 && brought > 0 ? call.request.id : origin;
    received += brought;
    if (received == events_per_turn) {
      break;
    }
    co_await pause(std::chrono::milliseconds(who.random_index(60)));
  }
}

asio::awaitable<call_result> soak_callers::attempt_stream(caller& who, const sent_call& what) {
  const auto version = this->promises.of_streams().version_of(what.resumes);
  const auto serves = [this, &version] {
    constexpr int enough_servers = 2;
    return !version || this->fleet.ready_engines(*version) >= enough_servers;
  };
  const auto began = steady::now();
  const bool served_before = serves();
  const call_result result = co_await this->attempt(who, what);
  const bool sent = this->promises.was_sent(what.request.id);
  if (sent && served_before && serves() && this->calm(began)) {
    this->promises.of_streams().on_calm_attempt(!what.resumes.empty(), result.status == 200);
  }
  co_return result;
}

asio::awaitable<void> soak_callers::run_tools(caller& who, int calls) {
  for (int number = 0; number < calls; ++number) {
    sent_call call;
    const bool once = who.chance(0.6);
    call.request.path = once ? "/once/x" : "/safe/x";
    const std::size_t max_upload = this->fleet.max_upload_bytes();
    const bool is_upload = max_upload > 0 && who.chance(upload_share);
    call.request.body = std::string(1 + who.random_index(is_upload ? max_upload : 600), 't');
    call.body_at_server = call.request.body;
    call.repeats = once ? repetition::once : repetition::idempotent;
    co_await this->call(who, call, 2);
  }
}

asio::awaitable<call_result> soak_callers::call(caller& who, sent_call what, int tries) {
  call_result result;
  for (int number = 0; number < tries; ++number) {
    if (what.request.id.empty() || number > 0) {
      what.request.id = this->fresh_id();
    }
    result = co_await this->attempt(who, what);
    if (result.status == 200 && result.whole) {
      break;
    }
    const std::string after = result.header("Retry-After").value_or("0");
    constexpr double longest_wait = 0.8;
    const double wait = std::min(std::strtod(after.c_str(), nullptr), longest_wait);
    co_await pause(std::chrono::milliseconds(static_cast<int>(wait * 1000)));
  }
  co_return result;
}

asio::awaitable<void> soak_callers::refresh_addresses(caller& who) {
  const soak_host& host = this->fleet.fronts[who.random_index(this->fleet.fronts.size())];
  http::request ask;
  ask.target = "/resolve?name=a.example&region=r&zone=z0";
  http::fetch_failure why;
  const auto answer = co_await this->directory.fetch(host.directory_at, ask, connect_limit, why);
  if (!answer || answer->status != 200) {
    co_return;
  }
  who.addresses.clear();
  for (const soak_host& front : this->fleet.fronts) {
    if (answer->body.find('"' + http::to_string(front.callers_at) + '"') != std::string::npos) {
      who.addresses.push_back(http::to_string(front.callers->where()));
    }
  }
  who.addresses_until = steady::now() + address_time;
}

asio::awaitable<bool> soak_callers::connect(caller& who) {
  if (steady::now() >= who.addresses_until) {
    co_await this->refresh_addresses(who);
  }
  const bool listed = std::find(who.addresses.begin(), who.addresses.end(), who.connected_to) !=
                      who.addresses.end();
  if (who.socket && who.socket->is_open() && listed && !who.socket->stale_while_idle()) {
    co_return true;
  }
  who.drop(false);
  std::vector<std::string> choice = who.addresses;
  if (choice.size() > 1) {
    std::erase(choice, who.failed);
  }
  if (choice.empty()) {
    co_return false;
  }
  who.connected_to = choice[who.random_index(choice.size())];
  who.socket = std::make_unique<net::timed_socket>(who.context, who.sweeper);
  const auto where = *http::endpoint_from_string(who.connected_to);
  const net::error_code error = co_await who.socket->connect(where, steady::now() + connect_limit);
  who.idle_since = steady::now();
  if (error) {
    who.failed = who.connected_to;
    who.drop(true);
  }
  co_return !error;
}

asio::awaitable<call_result> soak_callers::attempt(caller& who, const sent_call& what) {
  call_result result;
  const bool connected = co_await this->connect(who);
  if (!connected) {
    co_await pause(50ms);
    co_return result;
  }
  sent_call sent = what;
  sent.request.http_version = who.http_version;
  // All calls of a program, and all attempts at a fatal request, belong to one account.
  const std::string& unit = sent.is_fatal ? sent.request.body : sent.request.id;
  const std::string& name = sent.program.empty() ? unit : sent.program;
  sent.account = soak_accounts[std::hash<std::string>()(name) % soak_accounts.size()];
  sent.request.headers.push_back({"Authorization", "Bearer " + soak_fleet::key_of(sent.account)});
  sent.request.headers.push_back({"X-Deadline-Ms", std::to_string(sent.time_limit.count())});
  if (this->fleet.is_contended() && !sent.program.empty()) {
    sent.request.headers.push_back({"X-Prompt-Prefix", "shared:500,line-" + sent.program + ":200"});
  }
  const auto began = steady::now();
  this->promises.on_sent(sent);
  const std::string bytes = bytes_of(sent.request);
  const auto until = began + sent.time_limit + answer_slack;
  const net::error_code failed = co_await who.socket->write_all(bytes, until);
  if (!failed) {
    const auto has_enough = [wanted = what.leave_after](const std::string& body) {
      return wanted > 0 && events_in(body) >= wanted;
    };
    co_await read_answer(*who.socket, who.buffer, until, result, has_enough);
  }
  const auto ended = steady::now();
  result.idle_before =
      std::chrono::duration_cast<std::chrono::milliseconds>(began - who.idle_since);
  who.idle_since = ended;
  result.took = std::chrono::duration_cast<std::chrono::milliseconds>(ended - began);
  if (!who.buffer.empty() && result.whole) {
    this->promises.note(fmt::format("unexpected bytes after the response to {}", sent.request.id));
  }
  const bool timed_out = ended >= began + sent.time_limit;
  this->promises.on_answer(sent.request.id, result, this->calm(began) && !timed_out);
  // A caller that wakes up long after its limit cannot tell when the connection ended.
  const bool is_awake = ended < until + max_wake_delay;
  const bool is_late = !result.whole && !result.left && ended >= until && is_awake;
  if (is_late && this->in_time(began)) {
    this->promises.note(fmt::format("{} had no whole answer {} ms after it was sent",
                                    sent.request.id, result.took.count()));
  }
  if (!result.whole) {
    who.failed = who.connected_to;
    who.drop(true);
  } else if (result.header("Connection") == "close" || result.status >= 500 ||
             who.http_version == "1.0") {
    who.drop(false);
  }
  co_return result;
}

/// Requests the newest route from one host after another. Once a configuration is in force in a
/// process, it must not be replaced there by an older one.
asio::awaitable<void> soak_callers::probe_configuration() {
  caller who(this->context, this->sweeper, this->random());
  std::map<std::string, int> in_force;
  std::size_t next = 0;
  while (!this->stopping) {
    co_await pause(60ms);
    const soak_host& host = this->fleet.fronts[++next % this->fleet.fronts.size()];
    const std::string process = fmt::format("{}/{}", host.name, host.incarnation);
    const int newest = this->fleet.version();
    sent_call call;
    call.request.path = fmt::format("/v{}/x", newest);
    call.request.id = this->fresh_id();
    call.repeats = repetition::idempotent;
    call.route_is_certain = false;
    who.addresses = {http::to_string(host.callers->where())};
    who.addresses_until = steady::now() + call_limit;
    const call_result result = co_await this->attempt(who, call);
    who.drop(true);
    const bool same = process == fmt::format("{}/{}", host.name, host.incarnation) &&
                      newest == this->fleet.version();
    if (result.status == 404 && same && in_force[process] >= newest) {
      this->promises.note(
          fmt::format("{} went back to a configuration older than version {}", process, newest));
    }
    if (result.status == 200) {
      in_force[process] = std::max(in_force[process], newest);
    }
  }
  --this->active_tasks;
}

asio::awaitable<void> soak_callers::verify_in_force(caller& who, int version, const char* when) {
  for (const soak_host& host : this->fleet.fronts) {
    who.addresses = {http::to_string(host.callers->where())};
    who.addresses_until = steady::now() + 10s;
    sent_call call;
    call.request.path = fmt::format("/v{}/x", version);
    call.repeats = repetition::idempotent;
    const call_result result = co_await this->call(who, call, 2);
    if (result.status != 200) {
      this->promises.note(fmt::format("{} answers {} on the route of version {}, {}", host.name,
                                      result.status, version, when));
    }
  }
}

asio::awaitable<void> soak_callers::verify_with_slow_store(caller& who) {
  constexpr std::array response_times{500ms, 2000ms, 3000ms};
  constexpr auto in_force_within = 7s;
  stand_ins::object_platform& store = this->fleet.store();
  store.set_response_delay(response_times.at(who.random_index(response_times.size())));
  const int version = this->fleet.configure();
  co_await pause(in_force_within);
  co_await this->verify_in_force(who, version, "7 s after it was written to a slow store");
  store.set_response_delay({});
}

asio::awaitable<void> soak_callers::verify(bool& done) {
  caller who(this->context, this->sweeper, this->random());
  co_await this->verify_in_force(who, this->fleet.version(),
                                 "the last one before the faults ended");
  const int version = this->fleet.configure();
  soak_backend& leaving = this->fleet.backends.back();
  this->fleet.list(leaving, true);
  constexpr auto in_force_within = 2s;
  co_await pause(in_force_within);
  const std::size_t arrivals = leaving.server->arrivals().size();
  co_await this->verify_in_force(who, version, "2 s after it was written");
  if (leaving.server->arrivals().size() != arrivals) {
    this->promises.note("a draining server received a new request after 2 s");
  }
  std::size_t verified = 0;
  std::deque<conversation_state> newest(this->lines.rbegin(), this->lines.rend());
  newest.insert(newest.begin(), this->paused_lines.begin(), this->paused_lines.end());
  for (const conversation_state& line : newest) {
    if (++verified > max_turns_verified) {
      break;
    }
    if (steady::now() - line.ended > max_turn_age) {
      continue;
    }
    const soak_host& host = this->fleet.fronts[who.random_index(this->fleet.fronts.size())];
    who.addresses = {http::to_string(host.callers->where())};
    call_result result;
    for (int attempt = 0; attempt < attempts_when_calm && result.status != 200; ++attempt) {
      const sent_call next = this->turn_of(who, line);
      result = co_await this->call(who, next, 1);
    }
    if (result.status != 200) {
      this->promises.note(
          fmt::format("stored turn {} is lost: status {}", line.turn, result.status));
    }
  }
  co_await this->verify_with_slow_store(who);
  done = true;
}

}  // namespace hawthornlane::scenarios
