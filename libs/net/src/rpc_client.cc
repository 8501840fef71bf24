// Client side of calls between hosts.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <map>
#include <vector>

#include "hawthornlane/net/frame.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/net/timed_socket.h"

namespace hawthornlane::net {
namespace asio = boost::asio;

namespace {

/// Timeout for connecting to another host of the deployment. Links take milliseconds;
/// a lost first packet is retransmitted after one second.
constexpr auto connect_timeout = std::chrono::milliseconds(1500);
constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Size, in bytes, at which a write batch is full. A request that times out before it is taken
/// into a batch is never sent; a small batch keeps this possible for more requests.
constexpr std::size_t batch_size = std::size_t{64} * 1024;

}  // namespace

struct rpc_client::state : std::enable_shared_from_this<rpc_client::state> {
  struct pending_call final : deadline_item {
    state* owner = nullptr;
    std::uint64_t id = 0;
    steady_time sent_at;
    rpc_done done;
    void on_expired() override { this->owner->on_timeout(this->id); }
  };

  state(asio::io_context& io, deadline_sweeper& sweep, http::endpoint at)
      : context(io), sweeper(sweep), where(std::move(at)) {}

  asio::io_context& context;
  deadline_sweeper& sweeper;
  http::endpoint where;
  std::map<std::uint64_t, std::unique_ptr<pending_call>> calls;
  std::uint64_t next_id = 1;
  /// A queued request whose write has not started.
  struct unsent_request {
    std::uint64_t id = 0;
    std::string bytes;
  };
  /// Invariant: each entry belongs to a pending call, and `unsent_bytes` is the sum of their
  /// sizes. The request of a call that timed out is removed and never sent.
  std::deque<unsent_request> unsent;
  std::size_t unsent_bytes = 0;
  std::shared_ptr<timed_socket> socket;
  bool connected = false;
  bool writing = false;
  bool closed = false;
  steady_time received_at{};

  void send(std::uint16_t method, std::string payload, duration timeout, rpc_done done) {
    if (payload.size() > max_payload_bytes) {
      this->post_failure(std::move(done), rpc_failure::refused);
      return;
    }
    if (this->unsent_bytes + payload.size() > max_unsent_bytes) {
      this->post_failure(std::move(done), rpc_failure::unreachable);
      return;
    }
    auto item = std::make_unique<pending_call>();
    item->owner = this;
    item->id = this->next_id++;
    item->sent_at = std::chrono::steady_clock::now();
    item->expires_at = item->sent_at + timeout;
    item->done = std::move(done);
    std::string bytes;
    append_frame(bytes, {frame_kind::request, method, item->id, std::move(payload)});
    this->unsent_bytes += bytes.size();
    this->unsent.push_back({item->id, std::move(bytes)});
    this->sweeper.add(*item);
    this->calls.emplace(item->id, std::move(item));
    if (!this->socket) {
      asio::co_spawn(this->context, run(this->shared_from_this()), asio::detached);
    } else if (this->connected && !this->writing) {
      asio::co_spawn(this->context, write(this->shared_from_this(), this->socket), asio::detached);
    }
  }

  void post_failure(rpc_done done, rpc_failure why) {
    asio::post(this->context, [done = std::move(done), why] { done(why, {}); });
  }

  /// Removes a queued request. False when its write has already started.
  bool remove_unsent(std::uint64_t id) {
    const auto found = std::find_if(this->unsent.begin(), this->unsent.end(),
                                    [id](const unsent_request& item) { return item.id == id; });
    if (found == this->unsent.end()) {
      return false;
    }
    this->unsent_bytes -= found->bytes.size();
    this->unsent.erase(found);
    return true;
  }

  /// Takes the next requests from the queue, in order.
  std::string next_batch() {
    std::string batch;
    while (!this->unsent.empty() && batch.size() < batch_size) {
      this->unsent_bytes -= this->unsent.front().bytes.size();
      batch += this->unsent.front().bytes;
      this->unsent.pop_front();
    }
    return batch;
  }

  void finish(std::uint64_t id, rpc_failure why, std::string answer) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    const std::unique_ptr<pending_call> item = std::move(found->second);
    this->calls.erase(found);
    this->sweeper.remove(*item);
    item->done(why, std::move(answer));
  }

  void on_timeout(std::uint64_t id) {
    const auto self = this->shared_from_this();
    const bool silent = this->received_at < this->calls.at(id)->sent_at;
    const bool never_sent = this->remove_unsent(id) || !this->connected;
    this->finish(id, never_sent ? rpc_failure::unreachable : rpc_failure::unknown, {});
    if (silent && this->socket) {
      this->socket->close(true);
    }
  }

  void fail_all(rpc_failure why) {
    // Calls that the callbacks make do not fail here: their requests wait for the next connection.
    std::vector<std::uint64_t> ended;
    for (const auto& [id, item] : this->calls) {
      ended.push_back(id);
    }
    for (const std::uint64_t id : ended) {
      this->finish(id, why, {});
    }
  }

  void post_all_failures() {
    for (auto& [id, item] : this->calls) {
      this->sweeper.remove(*item);
      this->post_failure(std::move(item->done), rpc_failure::unknown);
    }
    this->calls.clear();
  }

  static asio::awaitable<void> run(std::shared_ptr<state> self) {
    const auto socket = std::make_shared<timed_socket>(self->context, self->sweeper);
    self->socket = socket;
    const error_code failed =
        co_await socket->connect(self->where, std::chrono::steady_clock::now() + connect_timeout);
    if (!failed && !self->closed) {
      self->connected = true;
      asio::co_spawn(self->context, write(self, socket), asio::detached);
      co_await read(self, *socket);
    }
    socket->close();
    const bool was_connected = self->connected;
    self->connected = false;
    self->socket = nullptr;
    self->unsent.clear();
    self->unsent_bytes = 0;
    self->fail_all(was_connected ? rpc_failure::unknown : rpc_failure::unreachable);
  }

  static asio::awaitable<void> write(std::shared_ptr<state> self,
                                     std::shared_ptr<timed_socket> socket) {
    if (self->writing) {
      co_return;
    }
    self->writing = true;
    while (!self->unsent.empty() && self->socket == socket) {
      const std::string batch = self->next_batch();
      const std::function<void(std::size_t)> sent = [](std::size_t) {};
      const error_code error = co_await socket->write_slices(batch, sent);
      if (error) {
        socket->close(true);
        break;
      }
    }
    self->writing = false;
  }

  static asio::awaitable<void> read(std::shared_ptr<state> self, timed_socket& socket) {
    std::string buffer;
    frame_reader reader;
    while (!self->closed) {
      const error_code error = co_await socket.read_more(buffer, read_size, never);
      if (error) {
        co_return;
      }
      self->received_at = std::chrono::steady_clock::now();
      while (auto message = reader.take(buffer)) {
        const bool answered = message->kind == frame_kind::answer;
        self->finish(message->call, answered ? rpc_failure::none : rpc_failure::refused,
                     std::move(message->payload));
      }
      if (reader.broken()) {
        co_return;
      }
      shrink_if_empty(buffer);
    }
  }
};

rpc_client::rpc_client(asio::io_context& context, deadline_sweeper& sweeper, http::endpoint where)
    : shared(std::make_shared<state>(context, sweeper, std::move(where))) {}

rpc_client::~rpc_client() {
  this->shared->closed = true;
  if (this->shared->socket) {
    this->shared->socket->close();
  }
  // The callbacks run later, not within this destructor: the callee may itself be in
  // destruction, or may use the object that owns this client.
  this->shared->post_all_failures();
}

void rpc_client::call(std::uint16_t method, std::string payload, duration timeout, rpc_done done) {
  this->shared->send(method, std::move(payload), timeout, std::move(done));
}

const http::endpoint& rpc_client::where() const { return this->shared->where; }

}  // namespace hawthornlane::net
