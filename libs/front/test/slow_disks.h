// Stub disk hosts behind slow links, for tests of the traffic that turns cause there.
#pragma once

#include <malloc.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "hawthornlane/front/ledger_client.h"
#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::front::slow_disks {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using asio::ip::tcp;
using steady = std::chrono::steady_clock;

constexpr std::size_t kilobyte = 1000;
const http::endpoint any_port = {"127.0.0.1", 0};
const std::vector<disk_id> disk_names = {disk_id("a"), disk_id("b"), disk_id("c"), disk_id("d"),
                                         disk_id("e")};

/// A ledger client of a front host, with its own io_context.
class ledger_host {
public:
  ledger_host()
      : sweeper(context),
        ledger(context, sweeper, fleet, availability_zone("zone-a"), 64 * kilobyte * kilobyte) {
    this->ledger.set_relay([](const relayed_request&, duration, const net::rpc_done& done) {
      done(net::rpc_failure::refused, {});
    });
  }

  /// Lists disks at these addresses, in the order of `disk_names`; further disks are not listed.
  void list_disks(const std::vector<http::endpoint>& places) {
    std::vector<host_entry> hosts;
    for (std::size_t at = 0; at < places.size(); ++at) {
      host_entry entry;
      entry.name = host_id("host-" + disk_names[at].get());
      entry.role = host_role::disk;
      entry.disk = disk_names[at].get();
      entry.peers_at = places[at];
      entry.zone = availability_zone("zone-" + disk_names[at].get());
      hosts.push_back(entry);
    }
    this->fleet.list_hosts(store_revision(++this->revision), hosts);
    this->ledger.refresh_hosts();
    this->ledger.adopt_ledger_set({set_epoch(1), disk_names, {}}, "test");
  }

  /// Both return at once; the results are set when `open` is 0 again.
  void begin_admit(const turn_request& turn, duration limit, turn_admission& result) {
    this->spawn([this, turn, limit, &result]() -> asio::awaitable<void> {
      result = co_await this->ledger.admit(turn, steady::now() + limit);
    });
  }
  void begin_settle(const turn_request& turn, turn_result ended, duration limit, bool& kept) {
    this->spawn(
        [this, turn, ended = std::move(ended), limit, &kept]() mutable -> asio::awaitable<void> {
          kept = co_await this->ledger.settle(turn, std::move(ended), steady::now() + limit);
        });
  }
  void run_all() {
    while (this->open > 0) {
      this->context.run_one();
    }
  }

  turn_admission admit(const turn_request& turn, duration limit) {
    turn_admission result;
    this->begin_admit(turn, limit, result);
    this->run_all();
    return result;
  }
  bool settle(const turn_request& turn, turn_result ended, duration limit) {
    bool kept = false;
    this->begin_settle(turn, std::move(ended), limit, kept);
    this->run_all();
    return kept;
  }

  asio::io_context context;
  net::deadline_sweeper sweeper;
  discovery::fleet_state fleet;
  ledger_client ledger;
  int open = 0;

  /// Whether this host relays a request of another front host to the disk and gets an answer.
  bool relays_to(const disk_id& disk) {
    const relayed_request probe{disk, static_cast<std::uint16_t>(ledger_method::probe), ""};
    std::optional<bool> answered;
    this->ledger.serve_relayed(to_bytes(probe), [&](const std::optional<std::string>& answer) {
      answered = answer.has_value();
    });
    while (!answered) {
      this->context.run_one();
    }
    return *answered;
  }
  void run_for(duration time) { this->context.run_for(time); }

private:
  std::uint64_t revision = 0;

  template <class Work>
  void spawn(Work work) {
    ++this->open;
    asio::co_spawn(
        this->context,
        [this, work = std::move(work)]() mutable -> asio::awaitable<void> {
          co_await work();
          --this->open;
        },
        asio::detached);
  }
};

/// A host's link with limited rates for everything that it sends and receives. One pump for each
/// connection and direction, one rate for each direction.
class slow_link {
public:
  slow_link(asio::io_context& io, double bytes_a_second)
      : context(io), up(bytes_a_second), down(bytes_a_second) {}

  /// Returns an address that forwards to `to` over this link.
  http::endpoint forward_to(const http::endpoint& to) {
    const tcp::endpoint here(asio::ip::make_address(any_port.address), 0);
    const auto acceptor = std::make_shared<tcp::acceptor>(this->context);
    acceptor->open(here.protocol());
    // Otherwise the kernel buffers megabytes that the link has not carried.
    acceptor->set_option(asio::socket_base::receive_buffer_size(kernel_buffer));
    acceptor->bind(here);
    acceptor->listen();
    asio::co_spawn(this->context, this->accept(acceptor, to), asio::detached);
    return {any_port.address, acceptor->local_endpoint().port()};
  }

  [[nodiscard]] std::size_t carried_up() const { return this->up.carried; }
  [[nodiscard]] std::size_t carried_down() const { return this->down.carried; }

private:
  struct direction {
    explicit direction(double bytes_a_second) : rate(bytes_a_second) {}

    /// Bytes a second.
    double rate;
    steady::time_point free_at{};
    std::size_t carried = 0;
  };
  static constexpr int kernel_buffer = 65536;
  static constexpr std::size_t piece = 4096;
  using shared_socket = std::shared_ptr<tcp::socket>;

  asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, http::endpoint to) {
    while (true) {
      const auto near =
          std::make_shared<tcp::socket>(co_await acceptor->async_accept(asio::use_awaitable));
      const auto far = std::make_shared<tcp::socket>(this->context);
      co_await far->async_connect({asio::ip::make_address(to.address), to.port},
                                  asio::use_awaitable);
      near->set_option(tcp::no_delay(true));
      far->set_option(tcp::no_delay(true));
      asio::co_spawn(this->context, this->pump(near, far, this->up), asio::detached);
      asio::co_spawn(this->context, this->pump(far, near, this->down), asio::detached);
    }
  }

  asio::awaitable<void> pump(shared_socket from, shared_socket into, direction& way) {
    std::array<char, piece> bytes{};
    boost::system::error_code error;
    auto unless_closed = asio::redirect_error(asio::use_awaitable, error);
    while (!error) {
      const std::size_t got = co_await from->async_read_some(asio::buffer(bytes), unless_closed);
      if (got > 0) {
        co_await this->carry(got, way);
        co_await asio::async_write(*into, asio::buffer(bytes.data(), got), unless_closed);
      }
    }
    boost::system::error_code ignored;
    from->close(ignored);
    into->close(ignored);
  }

  asio::awaitable<void> carry(std::size_t bytes, direction& way) {
    const std::chrono::duration<double> takes(static_cast<double>(bytes) / way.rate);
    way.free_at =
        std::max(way.free_at, steady::now()) + std::chrono::duration_cast<steady::duration>(takes);
    way.carried += bytes;
    asio::steady_timer timer(this->context, way.free_at);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::io_context& context;
  direction up;
  direction down;
};

/// Five disk hosts and another front host that relays requests to them, all on real connections.
class stub_disks {
public:
  /// Answers one append.
  using answer_hook = std::function<program_response(const disk_id&, const append_request&)>;

  explicit stub_disks(answer_hook answer_with, double link_rate = 1e9)
      : answer(std::move(answer_with)), link(front.context, link_rate) {
    this->places.reserve(disk_names.size());
    for (const disk_id& disk : disk_names) {
      this->places.push_back(
          this->listen([this, disk](std::uint16_t method, const std::string& payload,
                                    const net::rpc_reply& reply) {
            this->serve(disk, method, payload, reply);
          }));
    }
    this->front.list_disks(this->places);
    const http::endpoint other = this->listen(
        [this](std::uint16_t, const std::string& payload, const net::rpc_reply& reply) {
          const auto request = from_bytes<relayed_request>(payload);
          this->serve(request->disk, request->method, request->payload, reply);
        });
    this->relay =
        std::make_unique<net::rpc_client>(this->front.context, this->front.sweeper, other);
    this->front.ledger.set_relay(
        [this](const relayed_request& request, duration limit, net::rpc_done done) {
          constexpr auto method = static_cast<std::uint16_t>(gossip_method::relay);
          this->relay->call(method, to_bytes(request), limit, std::move(done));
        });
  }

  [[nodiscard]] int max_appends() const {
    int max_count = 0;
    for (const auto& [disk, count] : this->appends) {
      max_count = std::max(max_count, count);
    }
    return max_count;
  }

private:
  answer_hook answer;

public:
  ledger_host front;
  slow_link link;
  /// Appends that reached each disk, directly or relayed.
  std::map<disk_id, int> appends;
  /// Reads of a chain that reached any disk, directly or relayed.
  int chain_reads = 0;
  /// Size of the one turn that all disks hold.
  std::size_t history_bytes = 0;
  /// Disks that receive requests and do not answer.
  std::set<disk_id> silent;
  /// In the order of `disk_names`.
  std::vector<http::endpoint> places;

private:
  http::endpoint listen(net::rpc_handler handler) {
    this->servers.push_back(std::make_unique<net::rpc_server>(
        this->front.context, this->front.sweeper, any_port, std::move(handler)));
    return this->link.forward_to(this->servers.back()->where());
  }

  void serve(const disk_id& disk, std::uint16_t method, const std::string& payload,
             const net::rpc_reply& reply) {
    if (this->silent.contains(disk)) {
      return;
    }
    const auto asked = static_cast<ledger_method>(method);
    if (asked == ledger_method::probe) {
      reply(to_bytes(probe_response{disk, set_epoch(0), set_epoch(0)}));
      return;
    }
    if (asked == ledger_method::collect) {
      program_response nothing;
      nothing.disk = disk;
      reply(to_bytes(nothing));
      return;
    }
    if (asked == ledger_method::chain) {
      ++this->chain_reads;
      reply(to_bytes(this->chain_at(disk)));
      return;
    }
    const auto request =
        asked == ledger_method::append ? from_bytes<append_request>(payload) : std::nullopt;
    if (!request) {
      reply(std::nullopt);
      return;
    }
    ++this->appends[disk];
    // About the time of a sync.
    const auto timer = std::make_shared<asio::steady_timer>(this->front.context, 2ms);
    timer->async_wait([timer, reply, bytes = to_bytes(this->answer(disk, *request))](
                          const boost::system::error_code&) { reply(bytes); });
  }

  [[nodiscard]] chain_response chain_at(const disk_id& disk) const {
    chain_response chain;
    chain.disk = disk;
    chain.known = true;
    chain.turns.push_back(
        {request_id("t0"), std::nullopt, std::string(this->history_bytes, 'h'), ""});
    return chain;
  }

  std::vector<std::unique_ptr<net::rpc_server>> servers;
  std::unique_ptr<net::rpc_client> relay;
};

inline turn_request kept_turn_request(const std::string& id) {
  turn_request request;
  request.id = request_id(id);
  request.program = program_id("p");
  request.max_output_tokens = token_count(30);
  request.budget = token_count(70);
  request.kept = true;
  request.retention = 60s;
  return request;
}

inline turn_result whole_result(std::size_t input_bytes) {
  turn_result result;
  result.used = token_count(5);
  result.whole = true;
  result.input = std::string(input_bytes, 'x');
  return result;
}

inline program_response taken(const disk_id& disk, const append_request&) {
  program_response answer;
  answer.disk = disk;
  return answer;
}

/// Refuses epoch 1; reports epoch 2 only after `delay`.
inline stub_disks::answer_hook reports_new_set_after(duration delay) {
  return [delay, began = steady::now()](const disk_id& disk, const append_request& request) {
    program_response answer;
    answer.disk = disk;
    answer.stale = request.epoch < set_epoch(2);
    const bool knows_new_set = steady::now() - began >= delay;
    answer.newest = ledger_set{set_epoch(knows_new_set ? 2 : 1), disk_names, {}};
    return answer;
  };
}

/// Heap bytes that this process has allocated and not freed.
inline std::size_t bytes_in_use() {
  const struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

}  // namespace hawthornlane::front::slow_disks
