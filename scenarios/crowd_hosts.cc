// The programs as processes with small limits, and stand-ins for the platform.
#include "crowd_hosts.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>

#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::scenarios {
namespace asio = boost::asio;
namespace fs = std::filesystem;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto call_limit = std::chrono::seconds(20);
constexpr auto start_limit = std::chrono::seconds(30);
constexpr int disk_count = 3;

http::endpoint fresh_endpoint() { return {loopback, free_port()}; }

/// The configuration of the test deployments with limits for clients as in the test.
std::string configuration_text(std::size_t body_bytes) {
  const client_limits_of_test limits;
  const std::string text = configuration_of(1);
  const std::size_t at = text.find("\"limits\"");
  return text.substr(0, at) + fmt::format(R"("limits":{{"max-header-bytes":{},"max-body-bytes":{},)"
                                          R"("header-timeout-ms":{},"idle-timeout-ms":{}}}}})",
                                          limits.head_bytes, body_bytes,
                                          limits.header_timeout.count(),
                                          limits.idle_timeout.count());
}

std::string program_path(const std::string& name) {
  return std::string(HAWTHORNLANE_PROGRAMS) + "/" + name;
}

asio::awaitable<void> make_call(asio::io_context& context, net::deadline_sweeper& sweeper,
                                http::endpoint where, std::string bytes,
                                std::shared_ptr<std::optional<call_result>> into) {
  const auto until = steady::now() + call_limit;
  net::timed_socket socket(context, sweeper);
  call_result result;
  const net::error_code failed = co_await socket.connect(where, until);
  if (!failed) {
    co_await socket.write_all(bytes, until);
    std::string buffer;
    co_await read_answer(socket, buffer, until, result);
  }
  *into = std::move(result);
}

}  // namespace

crowd_hosts::crowd_hosts(host_counts size)
    : sweeper(environment),
      folder(fs::temp_directory_path() / fmt::format("hawthornlane-crowd-{}", ::getpid())) {
  fs::remove_all(this->folder);
  fs::create_directories(this->folder);
  const http::endpoint any{loopback, 0};
  this->store = std::make_unique<stand_ins::object_platform>(this->environment, any);
  this->daemon_platform = std::make_unique<stand_ins::platform>(this->environment, any);
  this->store->put("config", "main", configuration_text(size.body_bytes));
  for (int number = 0; number < size.servers; ++number) {
    const std::string service = number % 2 == 0 ? "apps" : "models";
    const auto& server = this->add_server(fmt::format("server-{}", number));
    this->store->put("servers", server.instance(), server.entry(service, "z0"));
  }
  this->start_disks();
  this->start_front();
  for (int number = 0; number < size.daemons; ++number) {
    this->start_daemon(number);
  }
}

crowd_hosts::~crowd_hosts() {
  this->front.reset();
  this->disks.clear();
  this->daemon_processes.clear();
  fs::remove_all(this->folder);
}

stand_ins::scripted_backend& crowd_hosts::add_server(const std::string& name) {
  this->servers.push_back(std::make_unique<stand_ins::scripted_backend>(
      this->environment, this->sweeper, http::endpoint{loopback, 0}, name,
      std::make_shared<stand_ins::behavior_script>()));
  return *this->servers.back();
}

std::string crowd_hosts::log_of(const std::string& name) const {
  std::ifstream file(this->folder / (name + ".log"));
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::unique_ptr<child_process> crowd_hosts::start(const std::string& program,
                                                  const std::string& name,
                                                  const std::string& settings) {
  const std::string file = (this->folder / (name + ".ini")).string();
  std::ofstream(file) << settings;
  // The process itself has no more descriptors than its settings say.
  const std::string limited =
      fmt::format("ulimit -n {} && exec \"$0\" --config \"$1\"", this->bounds.descriptors);
  const std::vector<std::string> command{"/bin/sh", "-c", limited, program_path(program), file};
  return std::make_unique<child_process>(command, (this->folder / (name + ".log")).string());
}

std::string crowd_hosts::host_section(const std::string& name) const {
  return fmt::format("[host]\nname = {}\navailability_zone = z0\n", name);
}

std::string crowd_hosts::memory_setting() const {
  return fmt::format("memory_mb = {}\n", this->bounds.memory_mb);
}

std::string crowd_hosts::descriptor_setting() const {
  return fmt::format("max_descriptors = {}\n", this->bounds.descriptors);
}

void crowd_hosts::start_disks() {
  const std::string limits = this->memory_setting() + this->descriptor_setting();
  for (int number = 0; number < disk_count; ++number) {
    const std::string name = fmt::format("disk-{}", number);
    const fs::path data = this->folder / name;
    fs::create_directories(data);
    const http::endpoint metrics = fresh_endpoint();
    this->disk_metrics_at = number == 0 ? metrics : this->disk_metrics_at;
    this->disks.push_back(this->start(
        "hawthornlane-disk", name,
        this->host_section(name) + limits +
            fmt::format("region = r\n[disk]\nfolder = {}\nsize_mb = 64\n[peers]\nlisten = {}\n"
                        "[metrics]\nlisten = {}\n[platform]\naddress = {}\n",
                        data.string(), http::to_string(fresh_endpoint()), http::to_string(metrics),
                        http::to_string(this->store->where()))));
  }
}

void crowd_hosts::start_front() {
  this->callers_at = fresh_endpoint();
  this->ready_at = fresh_endpoint();
  this->directory_at = fresh_endpoint();
  this->front_metrics_at = fresh_endpoint();
  const std::string limits = this->memory_setting() + this->descriptor_setting();
  this->front = this->start(
      "hawthornlane-front", "front",
      this->host_section("front") + limits +
          fmt::format("region = r\n[callers]\nlisten = {}\nready_listen = {}\n"
                      "directory_listen = {}\ngrace = 8 s\n[peers]\nlisten = {}\n"
                      "[metrics]\nlisten = {}\n[platform]\naddress = {}\n",
                      http::to_string(this->callers_at), http::to_string(this->ready_at),
                      http::to_string(this->directory_at), http::to_string(fresh_endpoint()),
                      http::to_string(this->front_metrics_at),
                      http::to_string(this->store->where())));
}

void crowd_hosts::start_daemon(int number) {
  const std::string name = fmt::format("daemon-{}", number);
  this->daemons_at.push_back(fresh_endpoint());
  const std::string limits = this->memory_setting() + this->descriptor_setting();
  this->daemon_processes.push_back(this->start(
      "hawthornlaned", name,
      this->host_section(name) + limits +
          fmt::format("listen = {}\npeer_listen = 127.0.0.1:0\n[platform]\naddress = {}\n"
                      "[callers]\nlargest_body = {}\n[operators]\ncredential = {}\n",
                      http::to_string(this->daemons_at.back()),
                      http::to_string(this->daemon_platform->where()),
                      client_limits_of_test().body_bytes, operator_credential)));
}

std::vector<crowded_port> crowd_hosts::ports() const {
  const client_limits_of_test limits;
  const auto target = [&limits](const http::endpoint& where, const std::string& path) {
    return crowd_target{where, path, "a.example", limits.body_bytes, limits.head_bytes};
  };
  const auto get = [](const std::string& path) {
    call_request call;
    call.method = "GET";
    call.path = path;
    return call;
  };
  call_request ordinary;
  ordinary.path = "/safe/x";
  ordinary.id = "ordinary";
  ordinary.body = "input";
  call_request largest = ordinary;
  largest.id = "largest";
  largest.body.assign(limits.body_bytes, 'l');
  // A document of the largest size is read whole before it is found to be invalid.
  constexpr int document_invalid = 422;
  call_request document;
  document.path = "/v1/admin/documents/claims";
  document.headers = {{"Authorization", fmt::format("Bearer {}", operator_credential)}};
  document.body.assign(limits.body_bytes, 'd');
  crowd_target turns = target(this->callers_at, "/kept/x");
  turns.sends_turns = true;
  const std::string resolve = "/resolve?name=a.example&region=r&zone=z0";
  return {
      {"callers", this->front.get(), target(this->callers_at, "/safe/x"), ordinary, 200, largest},
      {"calls that may run once", this->front.get(), target(this->callers_at, "/once/x"), ordinary,
       200, largest},
      {"turns that are kept", this->front.get(), turns, ordinary, 200, largest},
      {"directory", this->front.get(), target(this->directory_at, "/resolve"), get(resolve)},
      {"ready", this->front.get(), target(this->ready_at, "/ready"), get("/ready")},
      {"metrics of a front host", this->front.get(), target(this->front_metrics_at, "/metrics"),
       get("/metrics")},
      {"metrics of a disk host", this->disks.front().get(),
       target(this->disk_metrics_at, "/metrics"), get("/metrics")},
      {"hawthornlaned", this->daemon_processes.front().get(),
       target(this->daemons_at.front(), "/v1/programs"), get("/readyz"), 200, document,
       document_invalid}};
}

bool crowd_hosts::wait_until_serving() {
  const auto until = steady::now() + start_limit;
  for (const crowded_port& port : this->ports()) {
    while (this->call(port.target.where, port.ordinary).status != port.ordinary_status) {
      if (steady::now() >= until || !port.process->running()) {
        return false;
      }
      this->run_until([] { return false; }, std::chrono::milliseconds(50));
    }
  }
  return true;
}

std::unique_ptr<client_crowd> crowd_hosts::begin_crowd(crowd_kind kind,
                                                       const crowd_target& target) {
  return std::make_unique<client_crowd>(this->environment, this->sweeper, kind, target);
}

std::shared_ptr<std::optional<call_result>> crowd_hosts::begin_call(const http::endpoint& where,
                                                                    const call_request& what) {
  auto result = std::make_shared<std::optional<call_result>>();
  asio::co_spawn(this->environment,
                 make_call(this->environment, this->sweeper, where, bytes_of(what), result),
                 asio::detached);
  return result;
}

call_result crowd_hosts::call(const http::endpoint& where, const call_request& what) {
  const auto result = this->begin_call(where, what);
  this->run_until([&result] { return result->has_value(); }, call_limit + std::chrono::seconds(5));
  return result->value_or(call_result{});
}

std::optional<double> crowd_hosts::metric(const http::endpoint& where, const std::string& name) {
  call_request request;
  request.method = "GET";
  request.path = "/metrics";
  const std::string page = "\n" + this->call(where, request).body;
  const std::size_t at = page.find("\n" + name + " ");
  return at == std::string::npos ? std::nullopt
                                 : std::optional(std::stod(page.substr(at + name.size() + 2)));
}

bool crowd_hosts::run_until(const std::function<bool()>& done, std::chrono::milliseconds limit) {
  constexpr auto poll_interval = std::chrono::milliseconds(5);
  const auto until = steady::now() + limit;
  while (!done()) {
    if (steady::now() >= until) {
      return false;
    }
    this->environment.run_for(poll_interval);
  }
  return true;
}

}  // namespace hawthornlane::scenarios
