// hawthornlane-fault-soak: runs the real programs under random faults; exits 1 if a
// promise was broken.
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <fstream>

#include "closing_fault.h"
#include "soak_callers.h"
#include "soak_faults.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;
namespace fs = std::filesystem;
using steady = std::chrono::steady_clock;

namespace {

constexpr const char* usage =
    R"(hawthornlane-fault-soak: the platform's programs as processes under random faults.

Usage:
  hawthornlane-fault-soak --programs DIR [options]

Options:
  --programs DIR    Where hawthornlane-front and hawthornlane-disk are.
  --seed N          First seed [default: 1].
  --seeds N         How many seeds, one after the other [default: 1].
  --seed-file FILE  Seeds to run instead, one a line; words after the number are a comment.
  --seconds N       How long faults are injected in each run [default: 20].
  --fronts N        Front hosts [default: 4].
  --disks N         Disk hosts; three of them store the turns [default: 3].
  --routes N        Routes that the configuration grows by in steps, up to 4000, which make
                    it 0.9 MB large; 0: it does not grow [default: 1500].
  --link-mbps N     What each front host can send to other hosts, Mbit/s; 0: no limit
                    [default: 0].
  --callers N       Callers at once [default: 16].
  --contended       Configure hosts for callers that may ask for more than the servers
                    can serve.
  --planned         Only planned maintenance, in series and overlapping: stops, signals and
                    changes; no call may be cut off.
  --endless         The same, while servers send responses without an end; all calls end
                    within their time limits.
  --crowds          Only planned maintenance, while crowds of clients send without an end, beyond
                    the limits, or never whole; all calls end within their time limits.
  --uploads         Only planned maintenance, while servers respond to uploads of up to 1 MB before
                    they have read them, and reset; all calls end within their time limits.
  --early-ends      Also streams that may be resumed whose connection ends in order before
                    their last event, while their server goes on.
  --closing KIND    The last fault, after the others, while callers go on: none, power, wipe,
                    wipe-after-replacement, wipe-in-retirement or random [default: none].
  --front-share X   Processor time of each front host, as a share of one core; 0: no limit
                    [default: 0].
  --disk-share X    The same for each disk host [default: 0].
  --sync-ms N       Added to each sync of a disk host [default: 0].
  --keep DIR        Where logs of a run that failed are kept [default: run/fault-soak].
)";

/// Promised recovery time: all calls are served again this long after the last fault.
constexpr auto recovery = 12s;
/// After the recovery time at least this part of the turns is served, while callers go on.
constexpr double min_served_after_recovery = 0.25;
constexpr auto recovered_window = 4s;
constexpr auto closing_limit = 60s;
constexpr auto start_limit = 15s;
constexpr auto verify_limit = 60s;
/// Programs that are running when the faults end finish within this time.
constexpr auto callers_limit = 40s;

struct soak_options {
  fs::path programs;
  fs::path keep;
  std::chrono::seconds fault_duration{};
  fleet_size size;
  std::string closing;
  fault_choice faults = fault_choice::all;
  int callers = 0;
};

fleet_size size_of(const soak_options& with, std::uint64_t seed) {
  fleet_size size = with.size;
  size.server_seed = seed;
  return size;
}

/// One run with one seed.
class soak_run {
public:
  soak_run(const soak_options& with, std::uint64_t from)
      : options(with),
        seed(from),
        folder(fs::temp_directory_path() /
               fmt::format("hawthornlane-soak-{}-{}", ::getpid(), seed)),
        fleet(context, with.programs, folder, size_of(with, from), checker),
        faults(fleet, seed, with.faults),
        callers(
            context, fleet, checker,
            [this](net::steady_time then) {
              return then >= this->calm_from && this->faults.calm_since(then);
            },
            [this](net::steady_time then) {
              return then >= this->calm_from && this->faults.only_endless_since(then);
            },
            seed) {
    this->faults.on_fatal_request(
        [this](std::uint64_t number) { this->callers.start_fatal_request(number); });
    this->fleet.on_server_end(
        [this](const std::string& server) { this->faults.record(fmt::format("{} ends", server)); });
  }

  /// Returns true if every promise was kept.
  bool play() {
    if (!this->run_until([this] { return this->fleet.ledger_set_is_stable(); }, start_limit)) {
      this->checker.note("the deployment did not start in time");
    }
    this->run_until([] { return false; }, 1s);
    this->callers.start(this->options.callers);
    const auto faults_end = steady::now() + this->options.fault_duration;
    this->run_until(
        [this, faults_end] {
          this->faults.tick(steady::now());
          return steady::now() >= faults_end;
        },
        this->options.fault_duration + 1s);
    this->faults.end_all();
    this->play_closing_fault();
    this->callers.stop();
    const auto recovered = steady::now() + recovery;
    if (!this->run_until([this] { return this->callers.idle(); }, callers_limit)) {
      this->checker.note("the callers did not finish in time");
    }
    this->run_until([recovered] { return steady::now() >= recovered; }, recovery);
    bool done = false;
    boost::asio::co_spawn(this->context, this->callers.verify(done), boost::asio::detached);
    if (!this->run_until([&done] { return done; }, verify_limit)) {
      this->checker.note("the check after the faults did not finish in time");
    }
    if (const auto broken = this->checker.of_streams().broken_share()) {
      this->checker.note(*broken);
    }
    this->report();
    return this->checker.broken().empty();
  }

private:
  /// Plays the last fault and checks that the service is back in time, while callers go on.
  void play_closing_fault() {
    const closing_kind kind = closing_kind_of(this->options.closing, this->seed);
    if (kind == closing_kind::none || !this->checker.broken().empty()) {
      return;
    }
    this->calm_from = net::never;
    closing_fault closing(this->fleet, this->faults, this->checker, kind, this->seed);
    if (!this->run_until([&closing] { return closing.tick(steady::now()); }, closing_limit)) {
      this->checker.note("the hosts did not return from the closing fault in time");
    }
    const std::uint64_t served_before = this->callers.turns().served;
    this->run_until([this, served_before] { return this->callers.turns().served > served_before; },
                    recovery);
    this->first_served_after =
        std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - closing.back_at());
    this->calm_from = closing.back_at() + recovery;
    this->run_until([this] { return steady::now() >= this->calm_from; }, recovery);
    const turn_counts before = this->callers.turns();
    this->run_until([] { return false; }, recovered_window);
    const turn_counts after = this->callers.turns();
    const auto sent = static_cast<double>(after.sent - before.sent);
    const auto served = static_cast<double>(after.served - before.served);
    if (served < min_served_after_recovery * sent || sent == 0) {
      this->checker.note(
          fmt::format("{} of {} turns are served after the recovery time", served, sent));
    }
    closing.report_late_set();
    this->set_complete_after = closing.set_complete_after();
  }

  /// Runs everything until `done` or until a promise is broken; returns false at the limit.
  bool run_until(const std::function<bool()>& done, std::chrono::milliseconds limit) {
    const auto until = steady::now() + limit;
    while (!done()) {
      if (steady::now() >= until || !this->checker.broken().empty()) {
        return !this->checker.broken().empty();
      }
      this->fleet.supervise_processes();
      this->context.run_for(2ms);
    }
    return true;
  }

  void report() {
    fmt::print("seed {}:", this->seed);
    for (const auto& [status, count] : this->checker.statuses()) {
      fmt::print(" {}x{}", status, count);
    }
    this->fleet.check_memory();
    constexpr std::uint64_t percent = 100;
    for (const auto& [kind, use] : this->checker.memory()) {
      fmt::print("; {} hosts up to {} MB, {}% of the limit", kind, use.peak_kb / kb_per_mb,
                 use.peak_kb * percent / use.limit_kb);
    }
    const attempt_share& resumed = this->checker.of_streams().resumed();
    const attempt_share& begun = this->checker.of_streams().begun();
    fmt::print("; calm: {} of {} resumptions go on, {} of {} streams begin", resumed.served,
               resumed.sent, begun.served, begun.sent);
    fmt::print("; {} servers were killed, {} ended, {} requests that end servers were stopped",
               this->fleet.servers_killed(), this->checker.servers_ended(),
               this->checker.fatal_requests_stopped());
    if (this->first_served_after) {
      fmt::print("; served {} ms after the return", this->first_served_after->count());
    }
    if (this->set_complete_after) {
      fmt::print("; set complete {} ms after the successor's start",
                 this->set_complete_after->count());
    }
    fmt::print("; {} faults; {}\n", this->faults.history().size(),
               this->checker.broken().empty() ? "promises kept" : "BROKEN");
    if (this->checker.broken().empty()) {
      fs::remove_all(this->folder);
      return;
    }
    std::string text;
    for (const std::string& line : this->faults.history()) {
      text += line + "\n";
    }
    for (const std::string& line : this->checker.broken()) {
      text += "broken: " + line + "\n";
    }
    fmt::print("{}", text);
    // Hosts write their log lines in batches: wait for the last one.
    this->context.restart();
    this->context.run_for(500ms);
    const fs::path kept = this->options.keep / fmt::format("seed-{}", this->seed);
    fs::remove_all(kept);
    fs::create_directories(kept.parent_path());
    fs::copy(this->folder, kept, fs::copy_options::recursive);
    std::ofstream(kept / "faults.txt") << text;
    fs::remove_all(this->folder);
  }

  soak_options options;
  std::uint64_t seed;
  boost::asio::io_context context;
  promise_checker checker;
  fs::path folder;
  soak_fleet fleet;
  soak_faults faults;
  soak_callers callers;
  /// Calls that began earlier are not held to the promises for calm times.
  net::steady_time calm_from{};
  /// From the return of all hosts after the closing fault to the next call that was served.
  std::optional<std::chrono::milliseconds> first_served_after;
  std::optional<std::chrono::milliseconds> set_complete_after;
};

std::vector<std::uint64_t> seeds_of(std::map<std::string, docopt::value>& arguments) {
  std::vector<std::uint64_t> seeds;
  if (arguments.at("--seed-file")) {
    std::ifstream file(arguments.at("--seed-file").asString());
    std::string line;
    while (std::getline(file, line)) {
      if (!line.empty() && line.front() != '#') {
        seeds.push_back(std::stoull(line));
      }
    }
    return seeds;
  }
  const std::uint64_t first = std::stoull(arguments.at("--seed").asString());
  const std::uint64_t count = std::stoull(arguments.at("--seeds").asString());
  for (std::uint64_t number = 0; number < count; ++number) {
    seeds.push_back(first + number);
  }
  return seeds;
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  soak_options options;
  options.programs = arguments.at("--programs").asString();
  options.keep = arguments.at("--keep").asString();
  options.fault_duration = std::chrono::seconds(std::stoi(arguments.at("--seconds").asString()));
  options.size.fronts = std::stoi(arguments.at("--fronts").asString());
  options.size.routes = std::stoi(arguments.at("--routes").asString());
  constexpr std::uint64_t bytes_per_mbit = 125'000;
  options.size.link_rate = std::stoull(arguments.at("--link-mbps").asString()) * bytes_per_mbit;
  options.size.disks = std::stoi(arguments.at("--disks").asString());
  options.size.front_share = std::stod(arguments.at("--front-share").asString());
  options.size.disk_share = std::stod(arguments.at("--disk-share").asString());
  options.size.added_sync_time =
      std::chrono::milliseconds(std::stoi(arguments.at("--sync-ms").asString()));
  options.closing = arguments.at("--closing").asString();
  options.callers = std::stoi(arguments.at("--callers").asString());
  if (arguments.at("--endless").asBool()) {
    options.faults = fault_choice::endless;
  } else if (arguments.at("--crowds").asBool()) {
    options.faults = fault_choice::crowds;
    options.size.large_bodies = true;
  } else if (arguments.at("--uploads").asBool()) {
    options.faults = fault_choice::uploads;
    options.size.large_bodies = true;
    options.size.uploads = true;
  } else if (arguments.at("--planned").asBool()) {
    options.faults = fault_choice::planned;
  } else if (arguments.at("--early-ends").asBool()) {
    options.faults = fault_choice::early_ends;
  }
  options.size.contended = arguments.at("--contended").asBool();
  int failed = 0;
  int passed = 0;
  for (const std::uint64_t seed : seeds_of(arguments)) {
    soak_run run(options, seed);
    const bool kept = run.play();
    (kept ? passed : failed) += 1;
    std::fflush(stdout);
  }
  fmt::print("{} passed, {} failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
