// The real programs as processes on one machine, with stand-ins for the platform.
#include "soak_fleet.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>

namespace hawthornlane::scenarios {
namespace fs = std::filesystem;
using steady = std::chrono::steady_clock;

namespace {

constexpr const char* settings_of_every_host = R"([host]
name = {}
availability_zone = z{}
region = r
{}
[peers]
listen = {}
advertise = {}

[metrics]
listen = {}

[platform]
address = {}
)";

/// Limit of every other version of the configuration, if bodies are large.
constexpr std::size_t smaller_body_limit = std::size_t{1024} * 1024;
/// Memory limits of the smallest front hosts and of disk hosts, MB.
constexpr std::uint64_t front_memory_mb = 88;
constexpr std::uint64_t disk_memory_mb = 130;
/// Interval between memory checks of all processes.
constexpr auto memory_check_interval = std::chrono::milliseconds(100);
/// A host may use its share of a core in each period of this length, and is stopped for the rest of
/// it, as by the kernel's bandwidth control.
constexpr auto limit_period = std::chrono::milliseconds(100);
constexpr auto limit_check_interval = std::chrono::milliseconds(5);
/// Grace period of front hosts; what still runs then is killed.
constexpr auto grace = std::chrono::seconds(8);
/// Servers of the service "batches".
constexpr int batch_servers_started = 2;
/// Availability zones that hosts of a kind are spread over.
constexpr int zones = 4;

http::endpoint fresh_endpoint() { return {loopback, free_port()}; }

/// Appends a torn write to the newest segment, as a power loss before a sync leaves it.
void tear_last_segment(const fs::path& folder) {
  fs::path newest;
  for (const auto& item : fs::directory_iterator(folder)) {
    if (item.path().extension() == ".log" && (newest.empty() || item.path() > newest)) {
      newest = item.path();
    }
  }
  if (newest.empty()) {
    return;
  }
  constexpr int torn_bytes = 37;
  std::ofstream file(newest, std::ios::binary | std::ios::app);
  for (int byte = 0; byte < torn_bytes; ++byte) {
    file.put(static_cast<char>(byte * 91));
  }
}

}  // namespace

soak_fleet::soak_fleet(boost::asio::io_context& io, const fs::path& from, fs::path into,
                       fleet_size wanted, promise_checker& checker)
    : context(io),
      sweeper(io),
      folder(std::move(into)),
      promises(checker),
      size(wanted),
      programs(from),
      contended(wanted.contended),
      max_routes(wanted.routes),
      server_random(wanted.server_seed) {
  fs::create_directories(this->folder);
  this->platform = std::make_unique<stand_ins::object_platform>(io, http::endpoint{loopback, 0});
  for (int number = 0; number < size.engines; ++number) {
    this->add_backend("models");
  }
  for (int number = 0; number < size.apps; ++number) {
    this->add_backend("apps");
  }
  for (int number = 0; number < batch_servers_started; ++number) {
    this->batch_servers.push_back(this->make_backend("batches"));
    this->list(this->batch_servers.back(), false);
  }
  this->configure();
  for (int number = 0; number < size.disks; ++number) {
    this->disks.push_back(this->make_disk());
    this->start(this->disks.back());
  }
  for (int number = 0; number < size.fronts; ++number) {
    this->add_front(number, this->programs / "hawthornlane-front");
    this->fronts.back().peers->limit_rate(size.link_rate);
  }
}

soak_fleet::~soak_fleet() = default;

soak_host soak_fleet::make_host(const std::string& name, int number, const fs::path& program) {
  soak_host host;
  host.name = name;
  host.kind = name.substr(0, name.find('-'));
  host.command = {program.string(), "--config", (this->folder / (name + ".ini")).string()};
  const http::endpoint peers_at = fresh_endpoint();
  host.peers = std::make_unique<fault_proxy>(this->context, peers_at);
  host.store = std::make_unique<fault_proxy>(this->context, this->platform->where());
  const bool is_disk = host.kind == "disk";
  host.memory_mb = is_disk ? disk_memory_mb : front_memory_mb;
  host.metrics_at = fresh_endpoint();
  const std::string limit = is_disk ? "" : fmt::format("memory_mb = {}\n", host.memory_mb);
  std::ofstream file(host.command.back());
  file << fmt::format(settings_of_every_host, name, number % zones, limit,
                      http::to_string(peers_at), http::to_string(host.peers->where()),
                      http::to_string(host.metrics_at), http::to_string(host.store->where()));
  return host;
}

soak_host soak_fleet::make_disk() {
  const int number = this->disks_made++;
  soak_host host =
      this->make_host(fmt::format("disk-{}", number), number, this->programs / "hawthornlane-disk");
  host.data_folder = this->folder / host.name;
  fs::create_directories(host.data_folder);
  std::ofstream file(host.command.back(), std::ios::app);
  file << fmt::format("\n[disk]\nfolder = {}\nsize_mb = 64\nadded_sync_time = {} ms\n",
                      host.data_folder.string(), this->size.added_sync_time.count());
  return host;
}

void soak_fleet::add_front(int number, const fs::path& program) {
  soak_host host = this->make_host(fmt::format("front-{}", number), number, program);
  host.callers_at = fresh_endpoint();
  host.ready_at = fresh_endpoint();
  host.directory_at = fresh_endpoint();
  host.callers = std::make_unique<fault_proxy>(this->context, host.callers_at);
  std::ofstream file(host.command.back(), std::ios::app);
  file << fmt::format(
      "\n[callers]\nlisten = {}\nready_listen = {}\ndirectory_listen = {}\n"
      "address_time = 1 s\ngrace = {} s\n",
      http::to_string(host.callers_at), http::to_string(host.ready_at),
      http::to_string(host.directory_at), grace.count());
  file << (this->contended ? "\n[scheduling]\nterms = pressure\nclaim_places = yes\n" : "");
  file.close();
  this->fronts.push_back(std::move(host));
  this->start(this->fronts.back());
}

void soak_fleet::start(soak_host& host) {
  ++host.incarnation;
  host.end_expected = false;
  host.kill_at = net::never;
  host.started_at = steady::now();
  host.used_before = std::chrono::nanoseconds(0);
  host.process =
      std::make_unique<child_process>(host.command, (this->folder / (host.name + ".log")).string());
}

void soak_fleet::check_memory(const soak_host& host) {
  if (!host.process) {
    return;
  }
  if (const auto peak = host.process->peak_memory_kb()) {
    this->promises.on_memory(host.kind, fmt::format("{}/{}", host.name, host.incarnation),
                             {*peak, host.memory_mb * kb_per_mb});
  }
}

void soak_fleet::check_memory() {
  for (const std::vector<soak_host>* group : {&this->fronts, &this->disks}) {
    for (const soak_host& host : *group) {
      this->check_memory(host);
    }
  }
}

void soak_fleet::supervise_processes() {
  const net::steady_time now = steady::now();
  this->step_release();
  this->replace_ended();
  if (now >= this->next_memory_check) {
    this->next_memory_check = now + memory_check_interval;
    this->check_memory();
    this->remove_retired_disks();
  }
  const bool check_limits = now >= this->next_limit_check;
  const bool begins_period = now >= this->next_limit_period;
  if (check_limits) {
    this->next_limit_check = now + limit_check_interval;
  }
  if (begins_period) {
    this->next_limit_period = now + limit_period;
  }
  for (std::vector<soak_host>* group : {&this->fronts, &this->disks}) {
    for (soak_host& host : *group) {
      this->supervise_process(host);
      if (check_limits) {
        this->limit_processor(host, begins_period);
      }
    }
  }
}

void soak_fleet::supervise_process(soak_host& host) {
  if (!host.process) {
    if (steady::now() >= host.restart_at) {
      this->start(host);
    }
    return;
  }
  const auto status = host.process->status();
  if (!status) {
    if (steady::now() >= host.kill_at) {
      host.process->kill();
    }
    return;
  }
  if (!host.end_expected) {
    this->promises.note(fmt::format("{} exited unexpectedly, status {}", host.name, *status));
    host.end_expected = true;
  }
  if (steady::now() >= host.restart_at) {
    this->start(host);
  }
}

void soak_fleet::limit_processor(soak_host& host, bool begins_period) {
  const double share = host.kind == "disk" ? this->size.disk_share : this->size.front_share;
  const auto used = share > 0 && host.process ? host.process->processor_time() : std::nullopt;
  if (!used) {
    return;
  }
  if (begins_period) {
    host.used_before = *used;
  }
  const std::chrono::duration<double> used_now = *used - host.used_before;
  const bool used_up = used_now >= share * std::chrono::duration<double>(limit_period);
  host.process->set_stopped(child_process::stop_reason::over_share, used_up);
}

void soak_fleet::kill(soak_host& host, std::chrono::milliseconds down) {
  host.end_expected = true;
  host.restart_at = steady::now() + down;
  this->check_memory(host);
  host.process->kill();
}

void soak_fleet::stop(soak_host& host, std::chrono::milliseconds down) {
  host.end_expected = true;
  host.restart_at = steady::now() + down;
  host.kill_at = std::min(host.kill_at, steady::now() + grace);
  host.process->signal(SIGTERM);
}

void soak_fleet::cut_power(soak_host& disk, std::chrono::milliseconds down) {
  this->kill(disk, down);
  tear_last_segment(disk.data_folder);
}

void soak_fleet::wipe(soak_host& disk, std::chrono::milliseconds down) {
  this->kill(disk, down);
  fs::remove_all(disk.data_folder);
  fs::create_directories(disk.data_folder);
}

void soak_fleet::replace(soak_host& disk, std::chrono::milliseconds gap) {
  this->check_memory(disk);
  disk.process->kill();
  fs::remove_all(disk.data_folder);
  soak_host fresh = this->make_disk();
  fresh.restart_at = steady::now() + gap;
  std::swap(disk, fresh);
  this->removed_hosts.push_back(std::move(fresh));
}

void soak_fleet::retire(const soak_host& disk) {
  this->platform->put("retirements", disk.name, R"({"duration-s":8})");
}

void soak_fleet::remove_retired_disks() {
  std::erase_if(this->disks, [this](soak_host& disk) {
    const std::string status = this->platform->status_of("retirements", disk.name);
    if (status.find("completed") == std::string::npos) {
      return false;
    }
    disk.process->kill();
    this->removed_hosts.push_back(std::move(disk));
    return true;
  });
}

bool soak_fleet::all_running() {
  for (std::vector<soak_host>* group : {&this->fronts, &this->disks}) {
    for (soak_host& host : *group) {
      if (!host.process || !host.process->running()) {
        return false;
      }
    }
  }
  return true;
}

std::string soak_fleet::ledger_set_text() const {
  return this->platform->spec_of("hawthornlane-hosts", "ledger-set");
}

bool soak_fleet::is_member(const soak_host& disk) const {
  std::ifstream file(disk.data_folder / "identity");
  std::string identity;
  file >> identity;
  return !identity.empty() && this->ledger_set_text().find(identity) != std::string::npos;
}

bool soak_fleet::ledger_set_is_joint() const {
  const std::string set = this->ledger_set_text();
  const std::size_t next = set.find("\"next\":[");
  return next != std::string::npos && set.at(set.find('[', next) + 1) != ']';
}

bool soak_fleet::ledger_set_is_stable() const {
  constexpr std::ptrdiff_t complete = 3;
  if (this->ledger_set_text().empty() || this->ledger_set_is_joint()) {
    return false;
  }
  const auto present =
      std::count_if(this->disks.begin(), this->disks.end(),
                    [this](const soak_host& disk) { return this->is_member(disk); });
  return present >= std::min(complete, static_cast<std::ptrdiff_t>(this->disks.size()));
}

std::string soak_fleet::key_of(const std::string& account) { return account + "-key"; }

std::string soak_fleet::accounts_text() {
  // Quotas that no soak reaches; each call still asks the disk hosts for its quota.
  std::string list;
  for (const char* account : soak_accounts) {
    list += fmt::format(R"({}{{"name":"{}","api-keys":["{}"],"rate-per-s":100000,"burst":1000}})",
                        list.empty() ? "" : ",", account, key_of(account));
  }
  return fmt::format(R"("tenants":[{}],)", list);
}

int soak_fleet::configure() {
  ++this->newest;
  std::string text = configuration_of(this->newest);
  const std::string route =
      fmt::format(R"({{"name":"probe-{0}","host":"a.example","path-prefix":"/v{0}/","kind":"safe",)"
                  R"("timeout-ms":1500,"service":"apps","max-attempts":2,"priority":2}},)",
                  this->newest);
  constexpr std::string_view batch_route =
      R"({"name":"batch","host":"a.example","path-prefix":"/batch/","kind":"unsafe",)"
      R"("timeout-ms":6000,"target-latency-ms":800,"service":"batches","max-attempts":1,)"
      R"("priority":2},)";
  constexpr std::string_view routes = "\"routes\":[";
  text.insert(text.find(routes) + routes.size(),
              route + std::string(batch_route) + this->extra_routes);
  constexpr std::string_view services = "\"services\":[";
  text.insert(text.find(services) + services.size(), R"({"name":"batches","max-conns":100},)");
  text.insert(text.find("\"limits\":"), accounts_text());
  if (this->size.large_bodies) {
    constexpr std::string_view small_limits = R"("max-body-bytes":10000,"header-timeout-ms":400)";
    text.replace(
        text.find(small_limits), small_limits.size(),
        fmt::format(R"("max-body-bytes":{},"header-timeout-ms":1500)", this->max_body_bytes()));
  }
  this->platform->put("config", "main", text);
  return this->newest;
}

std::size_t soak_fleet::max_body_bytes() const {
  constexpr std::size_t usual = 10'000;
  constexpr std::size_t large = std::size_t{4} * 1024 * 1024;
  if (!this->size.large_bodies) {
    return usual;
  }
  return this->newest % 2 == 0 ? large : smaller_body_limit;
}

std::size_t soak_fleet::max_upload_bytes() const {
  return this->size.uploads ? smaller_body_limit : 0;
}

std::vector<http::endpoint> soak_fleet::client_ports(const soak_host& host) {
  if (host.kind == "disk") {
    return {host.metrics_at};
  }
  return {host.callers_at, host.ready_at, host.directory_at, host.metrics_at};
}

std::shared_ptr<client_crowd> soak_fleet::begin_crowd(crowd_kind kind, const crowd_target& target,
                                                      crowd_size crowd) {
  return std::make_shared<client_crowd>(this->context, this->sweeper, kind, target, crowd);
}

void soak_fleet::grow(double share) {
  constexpr int host_names = 20;
  this->extra_routes.clear();
  for (int number = 0; number < static_cast<int>(share * this->max_routes); ++number) {
    this->extra_routes += fmt::format(
        R"({{"name":"grown-{0:04}","host":"tenant-{1:02}.example","path-prefix":"/grown/{0:04}/",)"
        R"("kind":"safe","timeout-ms":1500,"target-latency-ms":400,"gap-aim-ms":100,)"
        R"("service":"apps","max-attempts":2,"priority":2,"kept":false,"retain-s":60}},)",
        number, number % host_names);
  }
  this->configure();
}

}  // namespace hawthornlane::scenarios
