// A rolling restart of the disk hosts while one conversation goes on: one turn of it while each of
// the three is down. Then the next turn, through a front host that has not served the earlier ones.
#include "../stand_ins/harness.hpp"

using namespace review;

namespace {

constexpr int disk_hosts = 3;
/// How long each disk host stays down, and the time until the next one is stopped. The second one
/// is above `catch-up-s` (4.4 s) and `stable-window-ms` (3 s) together.
constexpr int down_ms = 1500;
constexpr int calm_ms = 7600;
/// The rule asks for five tries or more.
constexpr int tries = 8;
constexpr int control_programs = 10;

struct turn {
  std::string id;
  std::string previous;
  std::string program;
  std::string input;
};

/// The program's aim. It lies after everything that is sent here.
const clock::time_point aim = clock::now() + std::chrono::seconds(100);

outcome send_turn(record_file& record, int port, const turn& what) {
  const auto left = std::chrono::duration_cast<milliseconds>(aim - clock::now()).count();
  header_list headers{{"X-Request-Id", what.id},
                      {"X-Program-Id", what.program},
                      {"X-Session-Id", what.program + "-line"},
                      {"X-Finish-Ms", std::to_string(left)},
                      {"X-Token-Budget", "4000"},
                      {"X-Model", "m"},
                      {"X-Token-Count", "100,60"},
                      {"X-Prompt-Prefix", "aa:50,bb" + what.program + ":50"},
                      {"X-Deadline-Ms", "3000"}};
  if (!what.previous.empty()) {
    headers.emplace_back("X-Previous-Turn", what.previous);
  }
  const outcome seen = call(port, "POST", "/kept/turn", headers, what.input, 4000);
  record.note("turn      " + what.id + (what.previous.empty() ? "" : " after " + what.previous) +
              ": " + seen.text());
  return seen;
}

/// Sends a turn until it is answered whole, as clients do after a 503. Empty if it never is.
std::string answered_turn(record_file& record, int port, turn what, int most) {
  for (int number = 1; number <= most; ++number) {
    turn attempt = what;
    attempt.id += "-" + std::to_string(number);
    const outcome seen = send_turn(record, port, attempt);
    if (seen.good()) {
      return attempt.id;
    }
    pause_ms(static_cast<long>(seen.retry_after.value_or(0.3) * 1000));
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
  record_file record(argc > 1 ? argv[1] : "record.txt");
  record.note(trouble ? "with the rolling restart" : "TROUBLE=0: without the rolling restart");
  run_log runs(record);
  store platform;
  std::vector<std::unique_ptr<backend>> servers;
  for (int number = 1; number <= 3; ++number) {
    servers.push_back(
        std::make_unique<backend>("model-" + std::to_string(number), "models", runs));
    platform.put("servers", servers.back()->id, servers.back()->entry());
  }
  platform.put("config", "main", configuration(1));
  deployment all(record, platform, 2, disk_hosts);
  all.start_all();
  if (!all.wait_ready(20000)) {
    record.note("not ready: the case could not run");
    return 2;
  }
  pause_ms(6000);
  record.note("ledger set: " + platform.spec("hawthornlane-hosts", "ledger-set"));

  const int first = all.named("front-1").callers;
  const int second = all.named("front-2").callers;
  std::string previous;
  std::string history;
  clock::time_point last_answer;
  for (int number = 1; number <= disk_hosts; ++number) {
    deployment::host& disk = all.named("disk-" + std::to_string(number));
    if (trouble) {
      all.end(disk, SIGTERM);
    }
    const std::string input = "question " + std::to_string(number) + "\n";
    previous = answered_turn(record, first, {"t" + std::to_string(number), previous, "p", input}, 4);
    if (previous.empty()) {
      record.note("a turn before the check was not answered: the case could not run");
      return 2;
    }
    history += input + "piece 1\npiece 2\npiece 3\n";
    last_answer = clock::now();
    if (trouble) {
      pause_ms(down_ms);
      all.start(disk);
    }
    pause_ms(calm_ms);
  }

  record.note("all hosts run and are calm; the conversation goes on through front-2");
  int reached = 0;
  int controls = 0;
  bool foreign = false;
  for (int number = 1; number <= tries; ++number) {
    const turn next{"next-" + std::to_string(number), previous, "p", "question 4\n"};
    const outcome seen = send_turn(record, second, next);
    for (const run_of& run : runs.of(next.id)) {
      ++reached;
      foreign = foreign || run.body != history + next.input;
    }
    if (reached > 0) {
      break;
    }
    pause_ms(static_cast<long>(seen.retry_after.value_or(0.3) * 1000));
  }
  for (int number = 1; number <= control_programs; ++number) {
    const std::string program = "other" + std::to_string(number);
    const turn other{program, "", program, "question 1\n"};
    send_turn(record, second, other);
    controls += runs.of(other.id).empty() ? 0 : 1;
  }
  const auto age = std::chrono::duration_cast<std::chrono::seconds>(clock::now() - last_answer);
  record.note("turn " + previous + " was answered whole " + std::to_string(age.count()) +
              " s ago (retain-s 60); tries that reached a server: " + std::to_string(reached) +
              "; first turns of other programs that did: " + std::to_string(controls) + " of " +
              std::to_string(control_programs));
  if (std::getenv("KEEP_LOGS")) {
    all.keep_logs(std::getenv("KEEP_LOGS"));
  }
  if (controls * 10 < control_programs * 9) {
    record.note("too few first turns reach a server: the case could not run");
    return 2;
  }
  if (foreign) {
    record.note("a server got a body that is not the conversation's: UNASKED is broken");
    return 1;
  }
  record.note(reached == 0 ? "LOST is broken" : "LOST holds");
  return reached == 0 ? 1 : 0;
}
