// A front host gets SIGTERM while callers still use its address. Requests that they send 3.5 s
// later are taken, and wait and run for longer than the host goes on.
#include "rig.hpp"

using namespace rig;

namespace {

// Of the site sheet: `parts-batch` is `unsafe`, with a time limit of 6,000 ms; servers of
// `workshop-apps` have 6 slots. The work is below the site file's largest one, 1,500 ms.
constexpr auto work = 1400ms;
constexpr int slots = 6;
constexpr int callers = 18;
constexpr auto grace = 8000ms;
/// Callers keep an address for three times its 2 s; requests that are sent until 3 s after the
/// SIGTERM may be excused, later ones are not.
constexpr auto send_after = 3500ms;
constexpr auto loss_slack = 200ms;

const char* configuration = R"({"version":1,"routes":[
 {"name":"parts","host":"a.example","path-prefix":"/parts/","kind":"unsafe","timeout-ms":6000,
  "target-latency-ms":800,"service":"apps","max-attempts":1,"priority":2}],
 "services":[{"name":"apps","max-conns":110}],
 "limits":{"max-header-bytes":8192,"max-body-bytes":4194304,"header-timeout-ms":2000,
  "idle-timeout-ms":10000}})";

struct outcome {
  std::string id;
  std::int64_t sent_ms = 0;
  std::int64_t ended_ms = 0;
  /// Empty: the connection ended without a complete answer.
  std::string status;
};

/// A caller with one open connection, on which it has already been served.
struct caller {
  caller(asio::io_context& io, record& to) : socket(io), log(to) {}
  tcp::socket socket;
  record& log;
  std::string buffer;

  asio::awaitable<void> open(std::uint16_t port, bool& opened) {
    const tcp::endpoint where(asio::ip::make_address(loopback), port);
    error_code error;
    co_await this->socket.async_connect(where, asio::redirect_error(asio::use_awaitable, error));
    opened = !error;
  }

  asio::awaitable<void> send(std::string id, std::vector<outcome>& into, int& running) {
    ++running;
    outcome one;
    one.id = id;
    const std::string request = "POST /parts/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
                                "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nparts";
    error_code error;
    co_await asio::async_write(this->socket, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
    one.sent_ms = this->log.ms();
    this->log.line(id + " sent");
    message answer;
    const bool is_read = co_await read_message(this->socket, this->buffer, answer);
    one.ended_ms = this->log.ms();
    one.status = is_read ? answer.first_line.substr(9, 3) : "";
    this->log.line(id +
                   (is_read ? " answered " + one.status : " got no answer: the connection ended"));
    into.push_back(one);
    --running;
  }
};

int fail(record& log, const std::string& why) {
  log.line("could not run: " + why);
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  return could_not_run;
}

int run(const fs::path& record_path) {
  ::signal(SIGPIPE, SIG_IGN);
  record log(record_path);
  temporary_folder folder;
  asio::io_context context;
  hawthornlane::stand_ins::object_platform store(context, {loopback, 0});
  const std::uint16_t store_port = store.where().port;
  std::map<std::string, int> runs;
  backend_server server(
      context, "app-0", work,
      [&](const message& one) {
        ++runs[one.header("x-request-id")];
        log.line(one.header("x-request-id") + " runs at app-0");
      },
      slots);
  store.put("servers", server.name(), server.entry("apps"));
  store.put("config", "main", configuration);
  std::vector<std::unique_ptr<child>> disks;
  for (int number = 0; number < 3; ++number) {
    const std::string name = "disk-" + std::to_string(number);
    const std::uint16_t port = free_port();
    const fs::path settings = folder.path / (name + ".ini");
    fs::create_directories(folder.path / name);
    write_disk_settings(settings, name, "z" + std::to_string(number), folder.path / name, port,
                        port, store_port);
    disks.push_back(std::make_unique<child>(program("hawthornlane-disk"), settings,
                                            folder.path / (name + ".log")));
    disks.back()->start();
  }
  std::vector<std::unique_ptr<child>> fronts;
  std::vector<std::uint16_t> callers_at;
  std::vector<std::uint16_t> ready_at;
  for (int number = 0; number < 2; ++number) {
    const std::string name = "front-" + std::to_string(number);
    callers_at.push_back(free_port());
    ready_at.push_back(free_port());
    const fs::path settings = folder.path / (name + ".ini");
    write_front_settings(settings, name, "z" + std::to_string(number), callers_at.back(),
                         ready_at.back(), store_port);
    fronts.push_back(std::make_unique<child>(program("hawthornlane-front"), settings,
                                             folder.path / (name + ".log")));
    fronts.back()->start();
  }
  // `get_status` has its own event loop, so the stand-ins run between two checks.
  const auto ready = [&] {
    run_for(context, 100ms);
    return get_status(ready_at[0], "/ready") == 200 && get_status(ready_at[1], "/ready") == 200;
  };
  if (!run_until(context, ready, 15s)) {
    return fail(log, "the front hosts are not ready");
  }
  run_for(context, 4s);

  std::vector<std::unique_ptr<caller>> all;
  int open = 0;
  for (int number = 0; number < callers; ++number) {
    all.push_back(std::make_unique<caller>(context, log));
    bool opened = false;
    asio::co_spawn(context, all.back()->open(callers_at[0], opened), asio::detached);
    run_until(
        context, [&] { return opened; }, 1s);
    open += opened ? 1 : 0;
  }
  if (open != callers) {
    return fail(log, "not all connections could be opened");
  }
  // The connections are open before the stop begins, as those of any caller may be.
  std::vector<outcome> outcomes;
  int running = 0;
  steady::time_point began = steady::now();
  if (with_trouble()) {
    log.line("front-0 gets SIGTERM");
    fronts[0]->signal(SIGTERM);
  }
  const std::int64_t stop_ms = log.ms();
  run_for(context, send_after);
  for (int number = 0; number < callers; ++number) {
    asio::co_spawn(context,
                   all[static_cast<std::size_t>(number)]->send("r" + std::to_string(number + 1),
                                                               outcomes, running),
                   asio::detached);
  }
  bool exit_logged = false;
  const auto over = [&] {
    if (!exit_logged && !fronts[0]->running()) {
      exit_logged = true;
      log.line("front-0 has exited");
    }
    // The platform kills what still runs when the grace time is over.
    if (with_trouble() && steady::now() - began >= grace && fronts[0]->running()) {
      log.line("front-0 gets SIGKILL");
      fronts[0]->kill();
    }
    return steady::now() - began > grace && running == 0;
  };
  if (!run_until(context, over, 20s)) {
    return fail(log, "a request has not ended");
  }
  int answered = 0;
  int lost = 0;
  int lost_and_run = 0;
  for (const outcome& one : outcomes) {
    answered += one.status == "200" ? 1 : 0;
    // The time limit of 6 s has not passed, and the request was sent later than 3 s after the
    // SIGTERM.
    const bool in_time = one.ended_ms - one.sent_ms < 6000 && one.sent_ms - stop_ms > 3000;
    const bool is_late = one.ended_ms - one.sent_ms > loss_slack.count();
    if (one.status.empty() && in_time && is_late) {
      ++lost;
      lost_and_run += runs[one.id] > 0 ? 1 : 0;
    }
  }
  if (answered == 0) {
    return fail(log, "no request was served");
  }
  const std::string verdict = std::string(lost > 0 ? "LOST broken: " : "LOST held: ") +
                              std::to_string(lost) + " of " + std::to_string(outcomes.size()) +
                              " requests got no answer, of which " + std::to_string(lost_and_run) +
                              " had been passed on to the server and ran; " +
                              std::to_string(answered) + " were answered 200";
  log.line(verdict);
  std::printf("%s\n", verdict.c_str());
  return lost > 0 ? rule_broken : rule_held;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: case RECORD\n");
    return could_not_run;
  }
  try {
    return run(argv[1]);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "could not run: %s\n", fault.what());
    return could_not_run;
  }
}
