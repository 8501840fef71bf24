// The backend servers of a fault soak: their behavior, releases and replacement.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstring>

#include "soak_fleet.h"

namespace hawthornlane::scenarios {
namespace fs = std::filesystem;
using steady = std::chrono::steady_clock;

namespace {

/// Pause between the replacements of a release, and how long a replaced server drains.
constexpr auto replacement_gap = std::chrono::milliseconds(400);
constexpr auto drain_time = std::chrono::milliseconds(2500);
/// From the end of a server to its successor's start, and until the store drops its entry.
constexpr auto server_restart_time = std::chrono::milliseconds(400);
constexpr auto entry_lifetime = std::chrono::milliseconds(3600);
/// A removed server has answered its last call after this time, which is longer than the timeout of
/// any route to it.
constexpr auto last_call_time = std::chrono::milliseconds(8000);
/// Pause in the middle of each event, so that a server may end there.
constexpr auto write_pause = std::chrono::milliseconds(4);
/// Calls that a server of the service "batches" works on at once.
constexpr int batch_slots = 4;

std::chrono::milliseconds work_time_of(const http::request& request) {
  return std::chrono::milliseconds(std::stoi(request.body.substr(std::strlen(work_mark))));
}

/// How a request ends its servers, by the times in its name (`soak_fatal_calls.cc`).
stand_ins::fatal_effect effect_of(const std::string& name) {
  const std::size_t delay = name.find('-', std::strlen(fatal_mark)) + 1;
  const std::size_t port_delay = name.find('+', delay) + 1;
  stand_ins::fatal_effect effect;
  effect.delay = std::chrono::milliseconds(std::stoi(name.substr(delay)));
  effect.port_delay = std::chrono::milliseconds(std::stoi(name.substr(port_delay)));
  return effect;
}

/// Nothing for a stream whose trailer is invalid: its events are valid and passed on.
std::optional<stand_ins::raw_response> raw_response_to(const http::request& request,
                                                       const invalid_response_choice& chosen) {
  const bool is_stream = request.find_header("X-Token-Count").has_value();
  if (is_stream && !chosen.what.trailer.empty()) {
    return std::nullopt;
  }
  const std::string id = request.find_header("X-Request-Id").value_or("");
  std::string headers = fmt::format("X-Request-Id: {}\r\nX-Response-Seal: seal-{}\r\n", id, id);
  headers += is_stream ? "Content-Type: text/event-stream\r\n" : "";
  const std::string body = is_stream ? "id: 1\ndata: invalid\n\n" : "invalid";
  return stand_ins::raw_response{bytes_of(chosen.what, chosen.framing, headers, body),
                                 chosen.pieces, chosen.closes};
}

/// Nothing for a request without a body: all of it has been read, so the kernel sends no reset.
std::optional<stand_ins::early_response> early_response_to(const http::request& request,
                                                           const early_response_choice& chosen) {
  if (request.find_header("Content-Length").value_or("0") == "0") {
    return std::nullopt;
  }
  const bool is_stream = request.find_header("X-Token-Count").has_value();
  const std::string id = request.find_header("X-Request-Id").value_or("");
  std::string bytes = fmt::format(
      "HTTP/1.{} 200 OK\r\nX-Request-Id: {}\r\nX-Response-Seal: seal-{}\r\n{}\r\n",
      chosen.is_1_0 ? 0 : 1, id, id, is_stream ? "Content-Type: text/event-stream\r\n" : "");
  // Of a stream there is less than one event.
  bytes += is_stream ? "id: 1\ndata: " : "";
  bytes += std::string(chosen.body_size, 'e');
  return stand_ins::early_response{bytes, chosen.ending, chosen.pause};
}

}  // namespace

soak_backend soak_fleet::make_backend(const std::string& service) {
  soak_backend made;
  made.service = service;
  const bool is_engine = service == "models";
  made.server = std::make_unique<stand_ins::scripted_backend>(
      this->context, this->sweeper, http::endpoint{loopback, 0},
      fmt::format("{}-{}", service, this->backends_made++),
      service == "batches" ? std::make_shared<stand_ins::behavior_script>()
      : is_engine          ? this->engine_behaviors
                           : this->app_behaviors);
  made.proxy = std::make_shared<fault_proxy>(this->context, made.server->where());
  const std::string name = made.server->instance();
  made.server->on_arrival([this, name](const stand_ins::backend_arrival& arrival) {
    this->promises.on_arrival(name, arrival);
    this->on_request(name);
  });
  if (service == "batches") {
    made.server->set_work(batch_slots, work_time_of);
    return made;
  }
  this->vary(made);
  this->make_mortal(made);
  if (is_engine) {
    made.server->set_early_ends([this](const http::request& request) {
      const bool may_be_resumed = request.target.starts_with("/resumed/");
      return this->ends_early && may_be_resumed && ++this->early_ends_asked % 2 == 0;
    });
    made.server->set_version(this->engine_version);
    made.server->set_events(events_per_turn, std::chrono::milliseconds(8));
  }
  return made;
}

void soak_fleet::vary(soak_backend& backend) {
  const auto one_in_two = [this] {
    return std::uniform_int_distribution<int>(0, 1)(this->server_random) == 0;
  };
  const bool is_undelimited = one_in_two();
  const bool is_process = one_in_two();
  if (is_undelimited) {
    backend.server->set_framing(stand_ins::body_framing::connection_end);
  }
  backend.server->set_write_pause(write_pause);
  if (!is_process) {
    return;
  }
  const fs::path here = fs::read_symlink("/proc/self/exe").parent_path();
  const std::string log = backend.server->instance() + ".log";
  backend.process = std::make_shared<server_process>(
      here / "hawthornlane-stand-in-server", backend.proxy->where(), (this->folder / log).string());
}

bool soak_fleet::kill_server_in_response(std::size_t index, std::chrono::milliseconds delay) {
  const soak_backend& backend = this->backends.at(index);
  if (!backend.process || backend.server->ended()) {
    return false;
  }
  this->doomed[backend.server->instance()] = delay;
  return true;
}

void soak_fleet::on_request(const std::string& instance) {
  const auto found = this->doomed.find(instance);
  if (found == this->doomed.end()) {
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, found->second);
  this->doomed.erase(found);
  timer->async_wait(
      [this, timer, instance](const auto& /*error*/) { this->kill_server(instance); });
}

void soak_fleet::kill_server(const std::string& instance) {
  for (const soak_backend& backend : this->backends) {
    if (backend.server->instance() != instance || backend.server->ended()) {
      continue;
    }
    ++this->kills;
    backend.process->kill();
    backend.server->end();
    return;
  }
}

void soak_fleet::remove(soak_backend backend) {
  backend.process_until = steady::now() + last_call_time;
  this->removed_backends.push_back(std::move(backend));
}

void soak_fleet::end_removed_processes() {
  const net::steady_time now = steady::now();
  for (soak_backend& backend : this->removed_backends) {
    if (now >= backend.process_until) {
      backend.process.reset();
    }
  }
}

void soak_fleet::make_mortal(const soak_backend& backend) {
  stand_ins::scripted_backend& server = *backend.server;
  const std::shared_ptr<fault_proxy> proxy = backend.proxy;
  const std::shared_ptr<server_process> process = backend.process;
  server.set_fatal_requests(
      [this](const http::request& request) -> std::optional<stand_ins::fatal_effect> {
        const std::string name = fatal_request_in(request.body);
        if (name.empty()) {
          return std::nullopt;
        }
        return effect_of(name);
      });
  server.on_end([this, &server, proxy, process](const std::optional<http::request>& cause) {
    const std::string& name = server.instance();
    const std::string request = cause ? fatal_request_in(cause->body) : "";
    this->promises.on_server_end(request);
    const net::steady_time now = steady::now();
    const auto port_delay =
        request.empty() ? std::chrono::milliseconds{} : effect_of(request).port_delay;
    if (process && port_delay.count() == 0) {
      process->kill();
    }
    proxy->reset_connections();
    this->ending_ports.push_back({proxy, process, now + port_delay});
    this->close_ended_ports();
    this->ended_backends.push_back({name, now + server_restart_time});
    this->draining.push_back({name, now + entry_lifetime});
    this->server_end_hook(name);
  });
}

void soak_fleet::close_ended_ports() {
  const net::steady_time now = steady::now();
  std::erase_if(this->ending_ports, [now](const ending_port& item) {
    if (now >= item.close_at) {
      item.proxy->close();
      if (item.process) {
        item.process->kill();
      }
    }
    return now >= item.close_at;
  });
}

void soak_fleet::replace_ended() {
  this->close_ended_ports();
  this->end_removed_processes();
  const net::steady_time now = steady::now();
  std::erase_if(this->ended_backends, [this, now](const ended_backend& item) {
    if (now < item.replace_at) {
      return false;
    }
    for (soak_backend& backend : this->backends) {
      if (backend.server->instance() != item.instance) {
        continue;
      }
      soak_backend fresh = this->make_backend(backend.service);
      this->list(fresh, false);
      std::swap(backend, fresh);
      this->remove(std::move(fresh));
      break;
    }
    return true;
  });
}

void soak_fleet::add_backend(const std::string& service) {
  this->backends.push_back(this->make_backend(service));
  this->list(this->backends.back(), false);
}

void soak_fleet::list(const soak_backend& backend, bool draining) {
  this->platform->put("servers", backend.server->instance(),
                      backend.server->entry_at(backend.where(), backend.service, "z0", draining));
}

void soak_fleet::begin_release() {
  constexpr std::array versions{"v1", "v2", "v3"};
  this->engine_version = versions.at(static_cast<std::size_t>(++this->releases) % versions.size());
  this->to_replace.clear();
  for (const soak_backend& backend : this->backends) {
    if (backend.service == "models") {
      this->to_replace.push_back(backend.server->instance());
    }
  }
}

void soak_fleet::step_release() {
  const net::steady_time now = steady::now();
  std::erase_if(this->draining, [this, now](const draining_backend& item) {
    if (now >= item.remove_at) {
      this->platform->remove("servers", item.instance);
    }
    return now >= item.remove_at;
  });
  if (this->to_replace.empty() || now < this->next_replacement) {
    return;
  }
  this->next_replacement = now + replacement_gap;
  const std::string instance = std::move(this->to_replace.back());
  this->to_replace.pop_back();
  for (soak_backend& backend : this->backends) {
    if (backend.server->instance() != instance) {
      continue;
    }
    soak_backend fresh = this->make_backend(backend.service);
    this->list(fresh, false);
    this->list(backend, true);
    std::swap(backend, fresh);
    this->draining.push_back({instance, now + drain_time});
    this->remove(std::move(fresh));
    return;
  }
}

int soak_fleet::ready_engines(const std::string& version) const {
  const auto is_ready = [&version](const soak_backend& backend) {
    return backend.service == "models" && backend.server->version() == version;
  };
  return static_cast<int>(std::count_if(this->backends.begin(), this->backends.end(), is_ready));
}

void soak_fleet::set_endless_response(const std::string& instance,
                                      std::optional<stand_ins::endless_response> response) {
  for (auto* group : {&this->backends, &this->removed_backends}) {
    for (soak_backend& backend : *group) {
      if (backend.server->instance() == instance) {
        backend.server->set_endless_responses(
            [response](const http::request&) { return response; });
      }
    }
  }
}

void soak_fleet::set_invalid_response(const std::string& instance,
                                      std::optional<invalid_response_choice> response) {
  for (auto* group : {&this->backends, &this->removed_backends}) {
    for (soak_backend& backend : *group) {
      if (backend.server->instance() == instance) {
        backend.server->set_raw_responses([response](const http::request& request) {
          return response ? raw_response_to(request, *response) : std::nullopt;
        });
      }
    }
  }
}

void soak_fleet::set_early_response(const std::string& instance,
                                    std::optional<early_response_choice> response) {
  for (auto* group : {&this->backends, &this->removed_backends}) {
    for (soak_backend& backend : *group) {
      if (backend.server->instance() != instance) {
        continue;
      }
      if (!response) {
        backend.server->set_early_responses(nullptr);
        continue;
      }
      backend.server->set_early_responses(
          [chosen = *response](const http::request& request, bool /*is_kept*/) {
            return early_response_to(request, chosen);
          });
    }
  }
}

void soak_fleet::replace_backend(soak_backend& backend) {
  this->platform->remove("servers", backend.server->instance());
  soak_backend fresh = this->make_backend(backend.service);
  std::swap(backend, fresh);
  this->remove(std::move(fresh));
  this->list(backend, false);
}

}  // namespace hawthornlane::scenarios
