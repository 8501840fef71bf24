// A deployment with model servers of two versions, and callers that take up broken streams.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "deployment.h"
#include "deployment_calls.h"

namespace hawthornlane::scenarios {
using namespace std::chrono_literals;

inline constexpr int events_of_stream = 6;
/// After this time all hosts know a change of the servers.
inline constexpr auto servers_known = 1200ms;

/// The versions that the events of a stream, or of parts of it, contain.
inline std::set<std::string> versions_in(const std::string& events) {
  constexpr std::string_view mark = " of ";
  std::set<std::string> versions;
  for (std::size_t at = events.find(mark); at != std::string::npos;
       at = events.find(mark, at + 1)) {
    const std::size_t begin = at + mark.size();
    const std::size_t end = events.find('\n', begin);
    if (end != std::string::npos) {
      versions.insert(events.substr(begin, end - begin));
    }
  }
  return versions;
}

/// Front hosts and four model servers, every second one of each version.
struct two_version_deployment : deployment {
  explicit two_version_deployment(int front_hosts, const std::string& second = "v2")
      : deployment({front_hosts, 3, 4, 1}) {
    for (std::size_t number = 0; number < this->engines.size(); ++number) {
      this->engines[number]->set_version(number % 2 == 0 ? "v1" : second);
      this->engines[number]->set_events(events_of_stream, 30ms);
      this->list_backend(*this->engines[number], "models");
    }
    REQUIRE(is_up(*this));
    REQUIRE(this->run_until([this, front_hosts] { return this->ready(front_hosts - 1); }));
    this->run_for(1500ms);
  }

  /// The server that ran the request; null if none did.
  stand_ins::scripted_backend* server_of(const std::string& id) {
    for (const auto& server : this->engines) {
      if (server->runs(id) > 0) {
        return server.get();
      }
    }
    return nullptr;
  }

  /// Begins a stream that its caller cuts inside the second event, and again under another id if it
  /// was refused because disk hosts were late; returns its id and what was received.
  std::pair<std::string, std::string> begin(const std::string& name, int front,
                                            const std::function<call_request(std::string)>& make) {
    constexpr int most = 8;
    for (int attempt = 1; attempt <= most; ++attempt) {
      const std::string id = name + "-" + std::to_string(attempt);
      std::string received = this->reset_after(front, make(id), "piece 2 of v");
      if (runs_of(*this, id) > 0) {
        return {id, std::move(received)};
      }
    }
    FAIL("no stream began as " + name);
    return {};
  }

  /// Begins streams until one began at `version`; returns its id, which is also its program's.
  std::string begin_at(const std::string& version, int front = 0) {
    constexpr int most = 40;
    for (int number = 0; number < most; ++number) {
      const std::string name = "begun-" + version + "-" + std::to_string(++this->begun);
      const auto [id, received] = this->begin(
          name, front, [](const std::string& id) { return turn("/resumed/x", id, id); });
      if (this->server_of(id)->version() == version) {
        return id;
      }
    }
    FAIL("no stream began at " + version);
    return "";
  }

  /// Sends a call, and again under another id while disk hosts are late.
  decided_turn call_until_decided(int front, const std::string& name,
                                  const std::function<call_request(std::string)>& make) {
    constexpr int most = 8;
    decided_turn decided;
    for (int attempt = 1; attempt <= most; ++attempt) {
      decided.id = name + "-" + std::to_string(attempt);
      decided.result = this->call(front, make(decided.id));
      if (decided.result.body.find("history_unavailable") == std::string::npos) {
        break;
      }
      CHECK(runs_of(*this, decided.id) == 0);
    }
    return decided;
  }

  /// Takes all servers of a version out of service.
  void drain(const std::string& version) {
    for (const auto& server : this->engines) {
      if (server->version() == version) {
        this->list_backend(*server, "models", true);
      }
    }
    this->run_for(servers_known);
  }

  int begun = 0;
};

inline call_request resumption_of(const std::string& origin, const std::string& id,
                                  const std::string& program, int last_event) {
  call_request call = turn("/resumed/x", id, program);
  call.headers.push_back({"Last-Event-Id", std::to_string(last_event)});
  if (!origin.empty()) {
    call.headers.push_back({"Resumes", origin});
  }
  return call;
}

}  // namespace hawthornlane::scenarios
