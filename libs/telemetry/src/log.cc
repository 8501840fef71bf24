// The event catalogue and the writing of log lines.
#include "hawthornlane/telemetry/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace hawthornlane {
namespace {

using enum event;
using enum severity;

constexpr std::array catalogue{
    event_entry{started, "started", info, "the daemon has read its settings and listens"},
    event_entry{settings_rejected, "settings_rejected", error, "a setting is wrong; nothing runs"},
    event_entry{ready, "ready", info, "the host has heard current generations and serves"},
    event_entry{stopping, "stopping", info, "a planned stop has begun"},
    event_entry{stopped, "stopped", info, "every call ended and every shard is handed over"},
    event_entry{signal_explained, "signal_explained", info,
                "a signal arrived that changes nothing; the line says what to do instead"},
    event_entry{stopped_with_shards, "stopped_with_shards", warning,
                "no other host stays to take the shards; their programs end with this host"},
    event_entry{shard_serving, "shard_serving", info, "this host owns a shard with a whole log"},
    event_entry{shard_serving_incomplete, "shard_serving_incomplete", warning,
                "this host owns a shard whose log may have a gap"},
    event_entry{shard_completed, "shard_completed", info,
                "a missing replica was sealed and the gap is closed"},
    event_entry{shard_deposed, "shard_deposed", warning, "a later owner has taken the shard"},
    event_entry{shard_degraded, "shard_degraded", warning,
                "a replica of the shard does not answer"},
    event_entry{shard_restored, "shard_restored", info, "all replicas of the shard answer again"},
    event_entry{shard_claimed, "shard_claimed", info, "this host asks to own a shard"},
    event_entry{shard_proposal_unknown, "shard_proposal_unknown", warning,
                "the answer to a write of the shard map was lost; it is read back"},
    event_entry{invariant_broken, "invariant_broken", error, "a fault in the program itself"},
    event_entry{peer_suspected, "peer_suspected", warning, "a host does not answer probes"},
    event_entry{peer_alive, "peer_alive", info, "a host answers probes"},
    event_entry{peer_unreachable, "peer_unreachable", warning, "a message to a host failed"},
    event_entry{document_accepted, "document_accepted", info, "a service document was stored"},
    event_entry{document_refused, "document_refused", warning, "a service document was refused"},
    event_entry{document_in_force, "document_in_force", info,
                "this host now follows a generation of a service document"},
    event_entry{document_older_ignored, "document_older_ignored", warning,
                "the platform showed an older generation than the one in force"},
    event_entry{platform_unreachable, "platform_unreachable", warning,
                "the platform's object API does not answer"},
    event_entry{platform_reachable, "platform_reachable", info,
                "the platform's object API answers again"},
    event_entry{backend_failed, "backend_failed", warning, "a call to a backend server failed"},
    event_entry{backend_excluded, "backend_excluded", warning,
                "a backend server gets no new calls for a while"},
    event_entry{backend_restored, "backend_restored", info,
                "a backend server gets calls again, a few at first"},
    event_entry{cache_release_retried, "cache_release_retried", warning,
                "a backend server did not confirm the release of cache"},
    event_entry{call_refused, "call_refused", info, "a call was refused"},
};

constexpr std::array<std::string_view, 3> severity_names{"info", "warning", "error"};

struct sink_state {
  log_format format = log_format::text;
  std::string host;
  std::mutex mutex;
};

sink_state& sink() {
  static sink_state state;
  return state;
}

const event_entry& entry_of(event number) {
  for (const event_entry& entry : catalogue) {
    if (entry.number == number) {
      return entry;
    }
  }
  return catalogue.front();
}

std::string json_quoted(std::string_view text) {
  std::string out = "\"";
  for (const char letter : text) {
    if (letter == '"' || letter == '\\') {
      out += '\\';
      out += letter;
    } else if (static_cast<unsigned char>(letter) < 0x20) {
      out += fmt::format("\\u{:04x}", static_cast<unsigned>(letter));
    } else {
      out += letter;
    }
  }
  return out + "\"";
}

std::string text_line(const std::string& when, const std::string& host, const event_entry& entry,
                      const std::vector<log_field>& fields) {
  std::string line =
      fmt::format("{} {} {} {} {}", when, severity_names.at(static_cast<std::size_t>(entry.grade)),
                  static_cast<unsigned>(entry.number), entry.name, host);
  for (const log_field& field : fields) {
    line += fmt::format(" {}={}", field.name, json_quoted(field.value));
  }
  return line;
}

std::string json_line(const std::string& when, const std::string& host, const event_entry& entry,
                      const std::vector<log_field>& fields) {
  std::string line =
      fmt::format(R"({{"time":"{}","severity":"{}","event":{},"name":"{}","host":{})", when,
                  severity_names.at(static_cast<std::size_t>(entry.grade)),
                  static_cast<unsigned>(entry.number), entry.name, json_quoted(host));
  for (const log_field& field : fields) {
    line += fmt::format(",{}:{}", json_quoted(field.name), json_quoted(field.value));
  }
  return line + "}";
}

}  // namespace

std::span<const event_entry> event_catalogue() { return catalogue; }

void set_log_format(log_format format) { sink().format = format; }

void set_log_host(std::string name) { sink().host = std::move(name); }

void log(event number, const std::vector<log_field>& fields) {
  const event_entry& entry = entry_of(number);
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  const std::string when =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds);
  sink_state& state = sink();
  const std::string line = state.format == log_format::json
                               ? json_line(when, state.host, entry, fields)
                               : text_line(when, state.host, entry, fields);
  const std::lock_guard lock(state.mutex);
  fmt::print(stderr, "{}\n", line);
}

}  // namespace hawthornlane
