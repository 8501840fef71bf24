// Callers of a fault soak that send requests which end the servers that run them.
#include <fmt/format.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "soak_caller.h"

namespace hawthornlane::scenarios {
namespace asio = boost::asio;

namespace {

/// A caller goes on after the answer that is final, to see whether hosts keep to it.
constexpr int max_attempts = 12;
constexpr int attempts_after_final_answer = 3;
constexpr int final_status = 400;

sent_call fatal_call(std::size_t kind, const std::string& content) {
  struct row {
    const char* path;
    repetition repeats;
    bool is_turn;
  };
  constexpr std::array rows{
      row{"/safe/x", repetition::idempotent, false}, row{"/once/x", repetition::once, false},
      row{"/kept/x", repetition::once, true}, row{"/resumed/x", repetition::resumable, true}};
  const row& chosen = rows.at(kind % rows.size());
  constexpr int ample_budget = 100'000;
  sent_call call;
  if (chosen.is_turn) {
    call.program = "program-" + content;
    call.request = turn_request_of(chosen.path, "", call.program, "", ample_budget);
  }
  call.request.path = chosen.path;
  call.request.body = content;
  call.body_at_server = content;
  call.is_stream = chosen.is_turn;
  call.repeats = chosen.repeats;
  call.is_fatal = true;
  return call;
}

}  // namespace

void soak_callers::start_fatal_request(std::uint64_t seed) {
  ++this->active_tasks;
  asio::co_spawn(this->context, this->run_fatal(seed), asio::detached);
}

asio::awaitable<void> soak_callers::run_fatal(std::uint64_t seed) {
  caller who(this->context, this->sweeper, seed);
  who.choose_version(seed);
  constexpr std::array delays{0, 5, 30};
  constexpr std::array port_delays{0, 30, 150};
  const std::size_t kind = who.random_index(4);
  const int delay = delays.at(who.random_index(delays.size()));
  const int port_delay = port_delays.at(seed % port_delays.size());
  const std::string content =
      fmt::format("{}{}-{}+{} {};", fatal_mark, seed, delay, port_delay, kind);
  int after_final = 0;
  for (int attempt = 0; attempt < max_attempts && !this->stopping; ++attempt) {
    who.failed = who.connected_to;
    who.drop(false);
    sent_call call = fatal_call(kind, content);
    call.request.id = this->fresh_id();
    const call_result result = co_await this->attempt(who, call);
    after_final += result.status == final_status ? 1 : 0;
    if (after_final > attempts_after_final_answer) {
      break;
    }
    constexpr std::size_t longest_pause_ms = 300;
    co_await pause(
        std::chrono::milliseconds(who.chance(0.3) ? 0 : who.random_index(longest_pause_ms)));
  }
  --this->active_tasks;
}

}  // namespace hawthornlane::scenarios
