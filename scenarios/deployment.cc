// A complete deployment in one process.
#include "deployment.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <sstream>
#include <thread>

#include "hawthornlane/http/client.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::scenarios {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto call_limit = std::chrono::seconds(8);

asio::awaitable<void> make_call(asio::io_context& context, net::deadline_sweeper& sweeper,
                                http::endpoint where, std::string bytes,
                                std::shared_ptr<std::optional<call_result>> into) {
  const auto began = steady::now();
  net::timed_socket socket(context, sweeper);
  call_result result;
  const net::error_code failed = co_await socket.connect(where, began + call_limit);
  if (!failed) {
    co_await socket.write_all(bytes, began + call_limit);
    std::string buffer;
    co_await read_answer(socket, buffer, steady::now() + call_limit, result);
  }
  result.took = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - began);
  *into = std::move(result);
}

asio::awaitable<void> make_calls(asio::io_context& context, net::deadline_sweeper& sweeper,
                                 http::endpoint where, std::vector<call_request> calls,
                                 std::chrono::milliseconds pause_between,
                                 std::shared_ptr<std::vector<call_result>> into) {
  net::timed_socket socket(context, sweeper);
  std::string buffer;
  net::error_code error = co_await socket.connect(where, steady::now() + call_limit);
  for (const call_request& what : calls) {
    call_result result;
    const std::string bytes = bytes_of(what);
    if (!error) {
      error = co_await socket.write_all(bytes, steady::now() + call_limit);
    }
    co_await read_answer(socket, buffer, steady::now() + call_limit, result);
    into->push_back(std::move(result));
    net::async_signal pause(context);
    co_await pause.wait_until(steady::now() + pause_between);
  }
}

asio::awaitable<void> call_and_disconnect(asio::io_context& context, net::deadline_sweeper& sweeper,
                                          http::endpoint where, std::string bytes,
                                          std::chrono::milliseconds delay,
                                          std::shared_ptr<bool> done) {
  net::timed_socket socket(context, sweeper);
  const net::error_code failed = co_await socket.connect(where, steady::now() + call_limit);
  if (!failed) {
    co_await socket.write_all(bytes, steady::now() + call_limit);
    net::async_signal pause(context);
    co_await pause.wait_until(steady::now() + delay);
  }
  socket.close();
  *done = true;
}

asio::awaitable<void> read_and_reset(asio::io_context& context, net::deadline_sweeper& sweeper,
                                     http::endpoint where, std::string bytes, std::string last,
                                     std::shared_ptr<std::optional<std::string>> into) {
  net::timed_socket socket(context, sweeper);
  std::string answer;
  net::error_code error = co_await socket.connect(where, steady::now() + call_limit);
  if (!error) {
    error = co_await socket.write_all(bytes, steady::now() + call_limit);
  }
  constexpr std::size_t step = 4096;
  while (!error && answer.find(last) == std::string::npos) {
    error = co_await socket.read_more(answer, step, steady::now() + call_limit);
  }
  socket.close(true);
  *into = std::move(answer);
}

asio::awaitable<void> exchange_bytes(asio::io_context& context, net::deadline_sweeper& sweeper,
                                     http::endpoint where, std::string bytes,
                                     std::shared_ptr<std::optional<std::string>> into) {
  net::timed_socket socket(context, sweeper);
  std::string answer;
  net::error_code error = co_await socket.connect(where, steady::now() + call_limit);
  if (!error) {
    error = co_await socket.write_all(bytes, steady::now() + call_limit);
  }
  constexpr std::size_t step = 4096;
  while (!error) {
    error = co_await socket.read_more(answer, step, steady::now() + call_limit);
  }
  *into = std::move(answer);
}

asio::awaitable<void> fetch(http::client& client, http::endpoint where, std::string target,
                            std::shared_ptr<std::optional<http::response>> into) {
  http::request ask;
  ask.target = std::move(target);
  http::fetch_failure why;
  auto answer = co_await client.fetch(where, ask, std::chrono::seconds(2), why);
  *into = answer ? std::move(*answer) : http::response{0, "", {}, ""};
}

}  // namespace

deployment::deployment(deployment_size size)
    : sweeper(environment),
      folder(std::filesystem::temp_directory_path() / fmt::format("hawthornlane-{}", ::getpid())) {
  std::filesystem::remove_all(this->folder);
  std::filesystem::create_directories(this->folder);
  const http::endpoint any{loopback, 0};
  this->platform = std::make_unique<stand_ins::object_platform>(this->environment, any);
  for (int number = 0; number < size.engines; ++number) {
    this->add_backend("models");
  }
  for (int number = 0; number < size.apps; ++number) {
    this->add_backend("apps");
  }
  this->configure(1);
  this->disks.resize(static_cast<std::size_t>(size.disks));
  this->fronts.resize(static_cast<std::size_t>(size.fronts));
  for (int number = 0; number < size.disks; ++number) {
    this->start_disk(number);
  }
  for (int number = 0; number < size.fronts; ++number) {
    this->start_front(number);
  }
}

deployment::~deployment() {
  for (auto& item : this->fronts) {
    item.host.reset();
    item.context.reset();
  }
  for (auto& item : this->disks) {
    item.host.reset();
    item.context.reset();
  }
  std::filesystem::remove_all(this->folder);
}

bool deployment::run_until(const std::function<bool()>& done, std::chrono::milliseconds limit) {
  const auto until = steady::now() + limit;
  while (!done()) {
    if (steady::now() >= until) {
      return false;
    }
    std::size_t ran = this->environment.poll();
    for (auto& item : this->fronts) {
      ran += item.poll();
    }
    for (auto& item : this->disks) {
      ran += item.poll();
    }
    if (ran == 0) {
      // No event loop has work: yield to the kernel and to the disk hosts' threads.
      std::this_thread::yield();
    }
  }
  return true;
}

void deployment::run_for(std::chrono::milliseconds time) {
  const auto until = steady::now() + time;
  this->run_until([until] { return steady::now() >= until; }, time + std::chrono::seconds(1));
}

std::shared_ptr<std::optional<call_result>> deployment::begin_call(int front,
                                                                   const call_request& what) {
  auto result = std::make_shared<std::optional<call_result>>();
  asio::co_spawn(this->environment,
                 make_call(this->environment, this->sweeper,
                           this->front_settings_of(front).callers_at, bytes_of(what), result),
                 asio::detached);
  return result;
}

std::shared_ptr<std::optional<call_result>> deployment::begin_partial_call(int front,
                                                                           const call_request& what,
                                                                           std::size_t length) {
  auto result = std::make_shared<std::optional<call_result>>();
  asio::co_spawn(
      this->environment,
      make_call(this->environment, this->sweeper, this->front_settings_of(front).callers_at,
                bytes_of(what).substr(0, length), result),
      asio::detached);
  return result;
}

call_result deployment::call(int front, const call_request& what) {
  const auto result = this->begin_call(front, what);
  this->run_until([&result] { return result->has_value(); });
  return result->value_or(call_result{});
}

std::shared_ptr<std::vector<call_result>> deployment::begin_calls(
    int front, const std::vector<call_request>& calls, std::chrono::milliseconds pause) {
  auto results = std::make_shared<std::vector<call_result>>();
  asio::co_spawn(this->environment,
                 make_calls(this->environment, this->sweeper,
                            this->front_settings_of(front).callers_at, calls, pause, results),
                 asio::detached);
  return results;
}

std::string deployment::send_raw(int front, const std::string& bytes) {
  const auto result = std::make_shared<std::optional<std::string>>();
  asio::co_spawn(this->environment,
                 exchange_bytes(this->environment, this->sweeper,
                                this->front_settings_of(front).callers_at, bytes, result),
                 asio::detached);
  this->run_until([&result] { return result->has_value(); });
  return result->value_or("");
}

void deployment::disconnect_after(int front, const call_request& what,
                                  std::chrono::milliseconds delay) {
  const auto done = std::make_shared<bool>(false);
  asio::co_spawn(
      this->environment,
      call_and_disconnect(this->environment, this->sweeper,
                          this->front_settings_of(front).callers_at, bytes_of(what), delay, done),
      asio::detached);
  this->run_until([&done] { return *done; });
}

std::string deployment::reset_after(int front, const call_request& what, const std::string& text) {
  const auto received = std::make_shared<std::optional<std::string>>();
  asio::co_spawn(
      this->environment,
      read_and_reset(this->environment, this->sweeper, this->front_settings_of(front).callers_at,
                     bytes_of(what), text, received),
      asio::detached);
  this->run_until([&received] { return received->has_value(); });
  return received->value_or("");
}

http::response deployment::get(const http::endpoint& where, const std::string& target) {
  const auto result = std::make_shared<std::optional<http::response>>();
  http::client client;
  asio::co_spawn(this->environment, fetch(client, where, target, result), asio::detached);
  this->run_until([&result] { return result->has_value(); });
  return result->value_or(http::response{0, "", {}, ""});
}

bool deployment::ready(int front) {
  return this->get(this->front_settings_of(front).ready_at, "/ready").status == 200;
}

std::string deployment::addresses(int front) {
  return this
      ->get(this->front_settings_of(front).directory_at, "/resolve?name=a.example&region=r&zone=z0")
      .body;
}

std::string deployment::callers_at(int front) const {
  return http::to_string(this->front_settings_of(front).callers_at);
}

http::endpoint deployment::endpoint_of(const std::string& host, const char* kind) const {
  auto& port = const_cast<deployment*>(this)->ports[fmt::format("{}-{}", host, kind)];
  port = port == 0 ? free_port() : port;
  return {loopback, port};
}

discovery::host_settings deployment::host_settings_of(const char* role, int number) const {
  const std::string name = fmt::format("{}-{}", role, number);
  discovery::host_settings settings;
  settings.host = host_id(name);
  settings.zone = availability_zone(fmt::format("z{}", number));
  settings.region = "r";
  settings.peers_at = this->endpoint_of(name, "peers");
  settings.peers_advertised = settings.peers_at;
  settings.metrics_at = this->endpoint_of(name, "metrics");
  settings.store = this->platform->where();
  return settings;
}

front::front_settings deployment::front_settings_of(int number) const {
  front::front_settings settings;
  static_cast<discovery::host_settings&>(settings) = this->host_settings_of("front", number);
  settings.memory_mb = 64;
  settings.callers_at = this->endpoint_of(settings.host.get(), "callers");
  settings.ready_at = this->endpoint_of(settings.host.get(), "ready");
  settings.directory_at = this->endpoint_of(settings.host.get(), "directory");
  settings.address_time = std::chrono::milliseconds(300);
  settings.grace = std::chrono::seconds(5);
  return settings;
}

disk::disk_settings deployment::disk_settings_of(int number) const {
  disk::disk_settings settings;
  static_cast<discovery::host_settings&>(settings) = this->host_settings_of("disk", number);
  settings.data_folder = (this->folder / settings.host.get()).string();
  settings.disk_mb = 64;
  return settings;
}

void deployment::stop_front(int front) {
  this->fronts.at(static_cast<std::size_t>(front)).host->stop();
}

bool deployment::front_ended(int front) const {
  return this->fronts.at(static_cast<std::size_t>(front)).ended;
}

void deployment::freeze_front(int front, bool frozen) {
  this->fronts[static_cast<std::size_t>(front)].frozen = frozen;
}

void deployment::freeze_disk(int disk, bool frozen) {
  this->disks[static_cast<std::size_t>(disk)].frozen = frozen;
}

void deployment::kill_front(int front) {
  auto& item = this->fronts.at(static_cast<std::size_t>(front));
  item.host.reset();
  item.context.reset();
}

void deployment::start_front(int front) {
  auto& item = this->fronts.at(static_cast<std::size_t>(front));
  item.context = std::make_unique<asio::io_context>(1);
  item.ended = false;
  item.host =
      std::make_unique<front::front_host>(*item.context, this->front_settings_of(front), [&item] {
        item.ended = true;
        item.context->stop();
      });
}

void deployment::kill_disk(int disk) {
  auto& item = this->disks.at(static_cast<std::size_t>(disk));
  item.host.reset();
  item.context.reset();
}

void deployment::start_disk(int disk, bool empty) {
  const disk::disk_settings settings = this->disk_settings_of(disk);
  if (empty) {
    std::filesystem::remove_all(settings.data_folder);
  }
  std::filesystem::create_directories(settings.data_folder);
  auto& item = this->disks.at(static_cast<std::size_t>(disk));
  item.context = std::make_unique<asio::io_context>(1);
  item.host = std::make_unique<disk::disk_host>(*item.context, settings);
}

void deployment::configure(int version, const std::string& replace, const std::string& by) {
  std::string text = configuration_of(version);
  if (!replace.empty()) {
    text.replace(text.find(replace), replace.size(), by);
  }
  this->platform->put("config", "main", text);
}

stand_ins::scripted_backend& deployment::add_backend(const std::string& service) {
  const bool is_engine = service == "models";
  auto& group = is_engine ? this->engines : this->apps;
  group.push_back(std::make_unique<stand_ins::scripted_backend>(
      this->environment, this->sweeper, http::endpoint{loopback, 0},
      fmt::format("{}-{}", is_engine ? "engine" : "app", group.size()),
      is_engine ? this->engine_behaviors : this->app_behaviors));
  this->list_backend(*group.back(), service);
  return *group.back();
}

void deployment::list_backend(stand_ins::scripted_backend& server, const std::string& service,
                              bool draining) {
  const std::string entry = server.entry(service, "z0", draining);
  this->platform->put("servers", server.instance(), entry);
}

void deployment::restart_backend(stand_ins::scripted_backend& server, const std::string& service,
                                 std::uint64_t born) {
  std::string entry = server.entry(service, "z0");
  entry.insert(1, fmt::format(R"("born":{},)", born));
  this->platform->put("servers", server.instance(), entry);
}

std::optional<double> deployment::metric(int front, const std::string& name) {
  return this->metric_at(this->front_settings_of(front).metrics_at, name);
}

std::optional<double> deployment::disk_metric(int disk, const std::string& name) {
  return this->metric_at(this->disk_settings_of(disk).metrics_at, name);
}

std::optional<double> deployment::metric_at(const http::endpoint& where, const std::string& name) {
  std::istringstream page(this->get(where, "/metrics").body);
  std::string known;
  double value = 0;
  while (page >> known >> value) {
    if (known == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace hawthornlane::scenarios
