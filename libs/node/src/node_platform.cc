// How a host uses the platform: the objects that it watches, announces and stores.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

#include "hawthornlane/node/node.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration watch_retry_interval = std::chrono::milliseconds(500);
constexpr duration announce_interval = std::chrono::milliseconds(400);
constexpr duration audit_interval = std::chrono::seconds(2);
constexpr std::size_t audit_batch = 200;

const std::string hosts_prefix = "hosts/";
const std::string documents_prefix = "documents/";
const std::string servers_prefix = "servers/";
const std::string map_prefix = "shard-map/";

std::string host_object(const member& host) {
  return json::serialize(json::object{{"start", std::to_string(host.id.start.get())},
                                      {"availability_zone", host.zone.get()},
                                      {"front", host.front_address},
                                      {"peer", host.peer_address},
                                      {"leaving", host.state == member_state::leaving}});
}

std::optional<member> host_from(const stored_object& object) {
  try {
    const json::value parsed = json::parse(object.value);
    const json::object& fields = parsed.as_object();
    member host;
    host.id = {host_id(object.key.substr(hosts_prefix.size())),
               incarnation(std::stoull(std::string(fields.at("start").as_string())))};
    host.zone = availability_zone(std::string(fields.at("availability_zone").as_string()));
    host.front_address = std::string(fields.at("front").as_string());
    host.peer_address = std::string(fields.at("peer").as_string());
    host.state = fields.at("leaving").as_bool() ? member_state::leaving : member_state::alive;
    return host;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void node::start_platform_tasks() {
  asio::io_context& context = this->time.context;
  for (const std::string& prefix : {hosts_prefix, documents_prefix, servers_prefix, map_prefix}) {
    asio::co_spawn(asio::make_strand(context), this->watch_prefix(prefix), asio::detached);
  }
  asio::co_spawn(asio::make_strand(context), this->announce(), asio::detached);
  asio::co_spawn(asio::make_strand(context), this->store_audit(), asio::detached);
}

asio::awaitable<void> node::announce() {
  const std::string key = hosts_prefix + this->self.host.get();
  bool announced_leaving = false;
  bool announced = false;
  while (!this->stopped) {
    const bool wanted = !announced || (this->leaving && !announced_leaving);
    if (wanted) {
      failure reason;
      const auto object = co_await this->platform.get(key, reason);
      if (object) {
        const bool now_leaving = this->leaving;
        const write_result written =
            co_await this->platform.put(key, object->version, host_object(this->hosts->self()));
        announced = announced || written.outcome == write_result::kind::applied;
        announced_leaving = now_leaving && written.outcome == write_result::kind::applied;
      }
    }
    co_await this->wait(announce_interval);
  }
}

void node::apply_object(const std::string& prefix, const stored_object& object) {
  if (prefix == hosts_prefix) {
    if (const auto host = host_from(object)) {
      this->carry_out(this->hosts->listed(*host, this->time.now()));
    }
  } else if (prefix == documents_prefix) {
    this->documents.apply_object(object);
  } else if (prefix == servers_prefix) {
    if (const auto server = this->backends.apply_object(object)) {
      this->runner->server_listed(*server);
    }
  } else {
    this->map.apply_object(object);
  }
}

asio::awaitable<void> node::watch_prefix(std::string prefix) {
  bool reachable = true;
  bool listed = false;
  std::uint64_t revision = 0;
  while (!this->stopped) {
    failure reason;
    std::optional<object_listing> listing;
    // Not a conditional expression: GCC 12 destroys a temporary of its awaits twice.
    if (listed) {
      listing = co_await this->platform.watch(prefix, revision, reason);
    } else {
      listing = co_await this->platform.list(prefix, reason);
    }
    if (!listing) {
      if (reachable) {
        log(event::platform_unreachable, {{"prefix", prefix}, {"detail", reason.detail}});
      }
      reachable = false;
      // Changes may have been missed, and a restored store restarts its revisions: list again.
      listed = false;
      co_await this->wait(watch_retry_interval);
      continue;
    }
    if (!reachable) {
      log(event::platform_reachable, {{"prefix", prefix}});
    }
    reachable = true;
    revision = listing->revision;
    for (const stored_object& object : listing->objects) {
      this->apply_object(prefix, object);
    }
    if (!listed && prefix == documents_prefix) {
      this->documents.mark_complete();
      log(event::ready);
    }
    if (!listed && prefix == map_prefix) {
      this->map.mark_read();
    }
    listed = true;
  }
}

asio::awaitable<void> node::store_audit() {
  std::uint64_t sequence = 0;
  while (!this->stopped) {
    co_await this->wait(audit_interval);
    const std::vector<audit_entry> batch = this->audit.unstored(audit_batch);
    if (batch.empty()) {
      continue;
    }
    json::array entries;
    for (const audit_entry& entry : batch) {
      entries.push_back(json::parse(to_json_line(entry)));
    }
    const std::string key = fmt::format("audit/{:020}-{}-{:06}", this->self.start.get(),
                                        this->self.host.get(), sequence);
    const write_result written = co_await this->platform.put(key, 0, json::serialize(entries));
    // A conflict means that an earlier attempt took effect and its response was lost. The batch
    // may have grown since then, so only a write under a new key ensures that all of it is stored.
    if (written.outcome == write_result::kind::applied) {
      this->audit.stored(batch.size());
    }
    if (written.outcome != write_result::kind::refused) {
      ++sequence;
    }
  }
}

}  // namespace hawthornlane
