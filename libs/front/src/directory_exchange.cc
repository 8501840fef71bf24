// Exchanges entries of the placement directory between front hosts.
#include "hawthornlane/front/directory_exchange.h"

#include <memory>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/net/async_signal.h"

namespace hawthornlane::front {
namespace asio = boost::asio;

namespace {

/// Time limit for a query; the call is then placed without the answer. This is five round trips
/// to another zone, and a tenth of the one-way latency from a turn's caller.
constexpr std::chrono::milliseconds query_timeout{10};

template <class Message>
std::string bytes_with_speeds(const Message& message) {
  return message.speeds.empty() ? to_bytes(message) : to_bytes(message) + to_bytes(message.speeds);
}

template <class Message>
std::optional<Message> read_with_speeds(const std::string& bytes) {
  auto both = from_bytes_with_tail<Message, std::vector<speed_report>>(bytes);
  if (!both) {
    return std::nullopt;
  }
  both->first.speeds = std::move(both->second);
  return std::move(both->first);
}

}  // namespace

std::string bytes_of(const directory_message& message) { return bytes_with_speeds(message); }

std::string bytes_of(const directory_response& answer) { return bytes_with_speeds(answer); }

std::optional<directory_message> directory_message_from(const std::string& bytes) {
  return read_with_speeds<directory_message>(bytes);
}

std::optional<directory_response> directory_answer_from(const std::string& bytes) {
  return read_with_speeds<directory_response>(bytes);
}

directory_exchange::directory_exchange(asio::io_context& io, host_id own_host,
                                       directory_hooks callbacks)
    : context(io), self(std::move(own_host)), hooks(std::move(callbacks)) {}

std::vector<host_id> directory_exchange::directory_hosts() const {
  std::vector<host_id> hosts = this->hooks.hosts();
  hosts.push_back(this->self);
  return hosts;
}

directory_message& directory_exchange::message_to(messages& all, std::uint64_t key,
                                                  const std::vector<host_id>& hosts) const {
  directory_message& message = all[directory_host_for(key, hosts).value_or(this->self)];
  message.from = this->self;
  return message;
}

void directory_exchange::report(const directory_update& update) {
  const std::vector<host_id> hosts = this->directory_hosts();
  messages all;
  for (const server_load& load : update.loads) {
    this->message_to(all, load.server.get(), hosts).loads.push_back(load);
  }
  for (const part_location& location : update.locations) {
    this->message_to(all, location.part.get(), hosts).locations.push_back(location);
  }
  for (const speed_report& speed : update.speeds) {
    this->message_to(all, speed.server.get(), hosts).speeds.push_back(speed);
  }
  for (const auto& [directory_host, message] : all) {
    this->send(directory_host, message, [] {});
  }
}

void directory_exchange::send(const host_id& directory_host, const directory_message& message,
                              std::function<void()> done) {
  if (directory_host == this->self) {
    this->hooks.on_response(this->answer(message));
    done();
    return;
  }
  this->hooks.send(directory_host, bytes_of(message),
                   [this, done = std::move(done)](net::rpc_failure why, const std::string& bytes) {
                     const bool good = why == net::rpc_failure::none;
                     const auto answer = good ? directory_answer_from(bytes) : std::nullopt;
                     if (answer) {
                       this->hooks.on_response(*answer);
                     }
                     done();
                   });
}

asio::awaitable<void> directory_exchange::query(directory_request request) {
  const std::vector<host_id> hosts = this->directory_hosts();
  messages all;
  for (const server_key& server : request.servers) {
    this->message_to(all, server.get(), hosts).asked_servers.push_back(server);
  }
  for (const prompt_part_key& part : request.parts) {
    this->message_to(all, part.get(), hosts).asked_parts.push_back(part);
  }
  struct open_request {
    explicit open_request(asio::io_context& io) : answered(io) {}
    net::async_signal answered;
    std::size_t missing = 0;
  };
  const auto open = std::make_shared<open_request>(this->context);
  open->missing = all.size();
  for (const auto& [directory_host, message] : all) {
    this->send(directory_host, message, [open] {
      if (--open->missing == 0) {
        open->answered.wake();
      }
    });
  }
  if (open->missing > 0) {
    co_await open->answered.wait_until(std::chrono::steady_clock::now() + query_timeout);
  }
}

directory_response directory_exchange::answer(const directory_message& message) {
  const timestamp now = discovery::scheduler_now();
  directory_response answer;
  const auto add_load = [&](server_key server) {
    const std::uint32_t waiting = this->hooks.waiting ? this->hooks.waiting(server) : 0;
    const std::uint32_t calls = this->directory.load_of_others(server, message.from, now);
    answer.loads.push_back({server, calls + waiting});
    if (const auto speed = this->directory.speed_of_others(server, message.from, now)) {
      answer.speeds.push_back(*speed);
    }
  };
  for (const speed_report& speed : message.speeds) {
    this->directory.set_speed(message.from, speed, now);
  }
  for (const server_load& load : message.loads) {
    const std::uint32_t before = this->directory.set_load(message.from, load, now);
    if (this->hooks.load_changed) {
      this->hooks.load_changed(message.from, load, before);
    }
    add_load(load.server);
  }
  for (const part_location& location : message.locations) {
    this->directory.set_location(location);
  }
  for (const server_key& server : message.asked_servers) {
    add_load(server);
  }
  for (const prompt_part_key& part : message.asked_parts) {
    if (const auto location = this->directory.find(part)) {
      answer.locations.push_back(*location);
    }
  }
  return answer;
}

std::optional<std::string> directory_exchange::serve(const std::string& payload) {
  const auto message = directory_message_from(payload);
  if (!message) {
    return std::nullopt;
  }
  return bytes_of(this->answer(*message));
}

}  // namespace hawthornlane::front
