// Backend servers that a marked request ends, and what their callers and they observe.
#include "fatal_requests.h"

#include <fmt/format.h>

#include <algorithm>

namespace hawthornlane::scenarios {
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

/// From the end of a server to the start of its successor, and to the end of its entry.
constexpr auto restart_time = 400ms;
constexpr auto expiry_time = 1500ms;

bool is_marked(const http::request& request) {
  return request.body.find(fatal_mark) != std::string::npos;
}

}  // namespace

fatal_requests::fatal_requests(deployment& all, stand_ins::fatal_effect how)
    : fleet(all), effect(how) {
  for (const auto& server : all.engines) {
    this->watch(*server, "models");
  }
  for (const auto& server : all.apps) {
    this->watch(*server, "apps");
  }
}

void fatal_requests::watch(stand_ins::scripted_backend& server, const std::string& service) {
  server.on_arrival([this](const stand_ins::backend_arrival& arrival) {
    if (!is_marked(arrival.request)) {
      return;
    }
    ++this->counts.arrivals;
    this->counts.late += this->counts.ends >= max_ends ? 1 : 0;
  });
  server.set_fatal_requests(
      [this, &server](const http::request& request) -> std::optional<stand_ins::fatal_effect> {
        if (!is_marked(request) || (this->may_end && !this->may_end(server))) {
          return std::nullopt;
        }
        stand_ins::fatal_effect chosen = this->effect;
        const auto delayed = this->delays.find(this->counts.arrivals);
        chosen.delay = delayed == this->delays.end() ? chosen.delay : delayed->second;
        return chosen;
      });
  server.on_end([this, &server, service](const std::optional<http::request>&) {
    ++this->counts.ends;
    const net::steady_time now = steady::now();
    this->successors.push_back(
        {server.instance(), service, now + restart_time, now + expiry_time, false});
  });
}

void fatal_requests::delay_end(int run, std::chrono::milliseconds delay) {
  this->delays[run] = delay;
}

void fatal_requests::limit_to(std::function<bool(const stand_ins::scripted_backend&)> may) {
  this->may_end = std::move(may);
}

void fatal_requests::crash(stand_ins::scripted_backend& server) { server.end(); }

call_result fatal_requests::attempt(int front, const call_request& what,
                                    std::chrono::milliseconds pause) {
  const auto result = this->fleet.begin_call(front, what);
  this->fleet.run_until([&] {
    this->step();
    return result->has_value();
  });
  const auto until = steady::now() + pause;
  this->fleet.run_until([&] {
    this->step();
    return steady::now() >= until;
  });
  return result->value();
}

void fatal_requests::step() {
  const net::steady_time now = steady::now();
  std::vector<std::string> due;
  for (successor& item : this->successors) {
    if (!item.started && now >= item.start_at) {
      item.started = true;
      due.push_back(item.service);
    }
  }
  for (const std::string& service : due) {
    this->watch(this->fleet.add_backend(service), service);
  }
  std::erase_if(this->successors, [this, now](const successor& item) {
    if (now < item.unlist_at) {
      return false;
    }
    this->fleet.store().remove("servers", item.replaced);
    return true;
  });
}

void bystander_calls::collect() {
  std::erase_if(this->open, [this](const auto& result) {
    if (!*result) {
      return false;
    }
    // A call whose server has ended may have run, and is answered 502.
    const int status = (*result)->status;
    const bool served = status == 200 && (*result)->whole;
    const bool is_lost_with_server = status == 502 || (status == 200 && !served);
    if (!served && !is_lost_with_server) {
      ++this->failed[status];
    }
    return true;
  });
}

void bystander_calls::step(int in_flight) {
  this->collect();
  while (static_cast<int>(this->open.size()) < in_flight) {
    const std::string id = fmt::format("bystander-{}", ++this->count);
    const call_request request =
        this->count % 2 == 0 ? plain("/safe/x", id) : turn("/kept/x", id, "program-" + id);
    this->open.push_back(this->fleet.begin_call(this->count % this->hosts, request));
  }
}

void bystander_calls::finish() {
  this->fleet.run_until([this] {
    this->collect();
    return this->open.empty();
  });
}

}  // namespace hawthornlane::scenarios
