// The store is down once. Much later, while servers leave one after the other, the front host that
// reads the store for all others is stopped, and another one reads it from then on. Checks that no
// server gets a request later than `drain-ms` after the store has confirmed that it is gone.
#include "../stand_ins/harness.hpp"

using namespace review;

namespace {

constexpr int drain_ms = 2000;
/// How long a leaving server goes on after `drain-ms`.
constexpr int linger_ms = 700;
constexpr int outage_ms = 4500;
/// From the end of the outage until the planned work begins; `stable-window-ms` is 3 s.
constexpr int calm_ms = 8000;
constexpr int leaving_servers = 14;
constexpr int leaving_gap_ms = 800;
/// The mean time that a parts-batch request takes, and as many callers as keep the servers busy
/// to about half of their slots.
constexpr int work_ms = 208;
constexpr std::size_t clients_at_once = 48;

struct departure {
  std::string server;
  clock::time_point removed_at;
};

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
  record_file record(argc > 1 ? argv[1] : "record.txt");
  record.note(trouble ? "with the outage of the store" : "TROUBLE=0: without the outage");
  run_log runs(record);
  runs.is_recorded = [](const std::string&) { return false; };
  store platform;
  std::vector<std::unique_ptr<backend>> servers;
  const auto add_server = [&](const std::string& id, const std::string& service) {
    servers.push_back(std::make_unique<backend>(id, service, runs));
    servers.back()->work_ms = work_ms;
    platform.put("servers", id, servers.back()->entry());
    return servers.back().get();
  };
  add_server("model-1", "models");
  std::vector<backend*> old_servers;
  for (int number = 1; number <= leaving_servers; ++number) {
    old_servers.push_back(add_server("app-" + std::to_string(number), "apps"));
  }
  platform.put("config", "main", configuration(1));
  deployment all(record, platform, 3, 3);
  all.start_all();
  if (!all.wait_ready(20000)) {
    record.note("not ready: the case could not run");
    return 2;
  }
  pause_ms(3000);
  if (trouble) {
    record.note("the store answers 503 from now on (platform_down, busy)");
    platform.busy = true;
    pause_ms(outage_ms);
    platform.busy = false;
    record.note("the store serves again");
  } else {
    pause_ms(outage_ms);
  }
  pause_ms(calm_ms);

  // The front host that reads the store for all others, by its metrics.
  const std::vector<std::string> fronts{"front-1", "front-2", "front-3"};
  std::map<std::string, long> reads;
  for (const std::string& name : fronts) {
    reads[name] = -all.metric(all.named(name), "store_reads");
  }
  pause_ms(4000);
  std::string reader_name = fronts.front();
  for (const std::string& name : fronts) {
    reads[name] += all.metric(all.named(name), "store_reads");
    record.note(name + " has read the store " + std::to_string(reads[name]) + " times in 4 s");
    reader_name = reads[name] > reads[reader_name] ? name : reader_name;
  }
  if (reads[reader_name] == 0) {
    record.note("no front host reads the store: the case could not run");
    return 2;
  }

  // Clients of the other two, which run undisturbed from here on.
  std::vector<std::string> others = fronts;
  std::erase(others, reader_name);
  std::atomic<bool> done{false};
  std::atomic<int> sent{0};
  std::mutex mutex;
  std::map<std::string, std::string> answers;
  std::vector<std::thread> clients;
  for (std::size_t number = 0; number < clients_at_once; ++number) {
    const std::string front = others[number % others.size()];
    const int port = all.named(front).callers;
    clients.emplace_back([&, number, port, front] {
      while (!done) {
        const std::string id = front + "-c" + std::to_string(number) + "-" + std::to_string(++sent);
        const outcome seen = call(port, "POST", "/unsafe/job",
                                  {{"X-Request-Id", id},
                                   {"X-Affinity-Key", id},
                                   {"X-Deadline-Ms", "3000"}},
                                  "job", 4000);
        const std::lock_guard lock(mutex);
        answers[id] = seen.text();
      }
    });
  }

  std::vector<departure> gone;
  std::vector<std::thread> exits;
  deployment::host& reader = all.named(reader_name);
  all.send_signal(reader, SIGTERM);
  const auto stopping = clock::now();
  pause_ms(3000);
  for (int number = 0; number < leaving_servers; ++number) {
    // The new server starts first. The old one never reports `draining`: its entry is removed.
    add_server("app-new-" + std::to_string(number + 1), "apps");
    backend* old = old_servers[static_cast<std::size_t>(number)];
    platform.remove("servers", old->id);
    gone.push_back({old->id, clock::now()});
    record.note("the store confirms that " + old->id + " is gone");
    exits.emplace_back([old] {
      pause_ms(drain_ms);
      old->leaving = true;
      pause_ms(linger_ms);
      old->stop();
    });
    const auto next = clock::now() + milliseconds(leaving_gap_ms);
    while (clock::now() < next) {
      if (reader.pid > 0 && !all.is_running(reader)) {
        record.note(reader_name + " has ended, " +
                    std::to_string(std::chrono::duration_cast<milliseconds>(clock::now() - stopping)
                                       .count()) +
                    " ms after its SIGTERM");
      }
      pause_ms(10);
    }
  }
  pause_ms(4000);
  done = true;
  for (std::thread& item : clients) {
    item.join();
  }
  for (std::thread& item : exits) {
    item.join();
  }

  int late = 0;
  int lost = 0;
  for (const auto& [id, answer] : answers) {
    for (const run_of& run : runs.of(id)) {
      for (const departure& item : gone) {
        const auto after =
            std::chrono::duration_cast<milliseconds>(run.at - item.removed_at).count();
        if (item.server == run.server && after > drain_ms) {
          ++late;
          lost += answer.rfind("200", 0) == 0 ? 0 : 1;
          record.note("request " + id + " reached " + run.server + " " + std::to_string(after) +
                      " ms after the confirmation; its client got: " + answer);
        }
      }
    }
  }
  record.note(std::to_string(sent.load()) + " requests sent through " + others[0] + " and " + others[1] + "; " +
              std::to_string(late) + " reached a server too late, of these " +
              std::to_string(lost) + " were not answered with success");
  if (std::getenv("KEEP_LOGS")) {
    all.keep_logs(std::getenv("KEEP_LOGS"));
  }
  if (sent < 500) {
    record.note("too few requests: the case could not run");
    return 2;
  }
  record.note(late > 0 ? "DRAIN is broken" : "DRAIN holds");
  return late > 0 ? 1 : 0;
}
