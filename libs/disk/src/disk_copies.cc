// Copies records from the disks of old members, for a disk that joins the ledger set or will soon.
#include <algorithm>

#include "disk_host_state.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::disk {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Members are copied ahead by a disk that would replace one that has been silent for this long.
constexpr auto copy_ahead_timeout = std::chrono::milliseconds(1000);
constexpr auto copy_ahead_interval = std::chrono::milliseconds(500);
constexpr duration fence_timeout = std::chrono::milliseconds(1500);
constexpr duration copy_timeout = std::chrono::milliseconds(1500);
/// Pause before the members are asked again if too few could be copied from.
constexpr auto copy_retry_interval = std::chrono::milliseconds(500);
/// Pause between two pages, so that copying leaves most of half a core for serving turns.
constexpr auto page_pause = std::chrono::milliseconds(5);

}  // namespace

bool disk_host::state::may_join_soon() const {
  if (!this->set || this->set->joint()) {
    return false;
  }
  const set_decision decision = decide_set_change(this->view(copy_ahead_timeout));
  const std::vector<disk_id>& next = decision.proposed.next;
  const bool joins = std::find(next.begin(), next.end(), this->ledger.identity()) != next.end();
  const std::vector<disk_id>& members = this->set->members;
  const bool is_in =
      std::find(members.begin(), members.end(), this->ledger.identity()) != members.end();
  return joins && !is_in;
}

asio::awaitable<void> disk_host::state::copy_ahead(std::shared_ptr<state> self) {
  if (steady::now() < self->next_copy_ahead || !self->may_join_soon()) {
    co_return;
  }
  const std::vector<disk_id> members = self->set->members;
  const set_view view = self->view(copy_ahead_timeout);
  std::size_t sources = 0;
  for (const disk_view& other : view.disks) {
    const bool is_source =
        other.reachable && std::find(members.begin(), members.end(), other.disk) != members.end();
    if (!is_source || sources >= read_quorum(members)) {
      continue;
    }
    ++sources;
    co_await copy_from(self, other.disk, set_epoch(0));
  }
  self->next_copy_ahead = steady::now() + copy_ahead_interval;
}

asio::awaitable<bool> disk_host::state::copy_from_members(std::shared_ptr<state> self) {
  if (steady::now() < self->next_copy) {
    co_return false;
  }
  const ledger_set joint = *self->set;
  const std::size_t needed = read_quorum(joint.members);
  // Start with this disk if it is a member: it needs no copying.
  std::vector<disk_id> order = joint.members;
  std::stable_partition(order.begin(), order.end(),
                        [&](const disk_id& member) { return member == self->ledger.identity(); });
  log(event::ledger_copy_started, {{"epoch", std::to_string(joint.epoch.get())}});
  std::size_t sources = 0;
  for (const disk_id& member : order) {
    if (sources >= needed) {
      break;
    }
    const bool good = co_await copy_old_records(self, joint, member);
    sources += good ? 1 : 0;
  }
  const bool enough = sources >= needed;
  if (enough) {
    self->copied = joint.epoch;
    self->ledger.set_copied(joint.epoch);
  } else {
    self->next_copy = steady::now() + copy_retry_interval;
  }
  log(event::ledger_copy_finished, {{"epoch", std::to_string(joint.epoch.get())},
                                    {"sources", std::to_string(sources)},
                                    {"enough", enough ? "yes" : "no"},
                                    {"turns", std::to_string(self->ledger.held().turns())}});
  co_return enough;
}

asio::awaitable<bool> disk_host::state::copy_old_records(std::shared_ptr<state> self,
                                                         const ledger_set joint,
                                                         const disk_id member) {
  if (self->cursors[member].complete_below(joint.epoch)) {
    co_return true;
  }
  const bool fenced = co_await fence_member(self, joint, member);
  if (!fenced || member == self->ledger.identity()) {
    co_return fenced;
  }
  const bool copied = co_await copy_from(self, member, joint.epoch);
  co_return copied;
}

asio::awaitable<std::optional<std::string>> disk_host::state::send_request(
    std::shared_ptr<state> self, disk_id where, ledger_method method, std::string payload,
    duration timeout) {
  struct outcome {
    explicit outcome(asio::io_context& io) : signal(io) {}
    std::optional<std::string> bytes;
    net::async_signal signal;
  };
  const auto result = std::make_shared<outcome>(self->context);
  if (where == self->ledger.identity()) {
    self->ledger.serve(method, payload, [result](std::optional<std::string> bytes) {
      result->bytes = std::move(bytes);
      result->signal.wake();
    });
    co_await result->signal.wait();
    co_return result->bytes;
  }
  std::shared_ptr<net::rpc_client> client;
  for (const auto& [name, other] : self->peers) {
    if (other.entry.disk == where.get()) {
      client = other.client;
    }
  }
  if (!client) {
    co_return std::nullopt;
  }
  client->call(static_cast<std::uint16_t>(method), std::move(payload), timeout,
               [result](net::rpc_failure why, std::string bytes) {
                 if (why == net::rpc_failure::none) {
                   result->bytes = std::move(bytes);
                 }
                 result->signal.wake();
               });
  co_await result->signal.wait();
  co_return result->bytes;
}

asio::awaitable<bool> disk_host::state::fence_member(std::shared_ptr<state> self,
                                                     const ledger_set joint, const disk_id member) {
  const std::string fence_bytes = to_bytes(fence_request{joint});
  const auto fenced =
      co_await send_request(self, member, ledger_method::fence, fence_bytes, fence_timeout);
  const auto member_state = fenced ? from_bytes<probe_response>(*fenced) : std::nullopt;
  const bool good = member_state && member_state->disk == member;
  if (good) {
    self->cursors[member].on_fenced(joint.epoch);
  }
  co_return good;
}

asio::awaitable<bool> disk_host::state::adopt_records(std::shared_ptr<state> self,
                                                      const std::vector<ledger_record>& records) {
  const auto stored = std::make_shared<net::async_signal>(self->context);
  const auto good = std::make_shared<bool>(false);
  self->ledger.adopt(records, [stored, good](bool is_good) {
    *good = is_good;
    stored->wake();
  });
  co_await stored->wait();
  co_return *good;
}

asio::awaitable<bool> disk_host::state::copy_next_page(std::shared_ptr<state> self,
                                                       const disk_id member, bool& pass_ended) {
  const copy_cursor& before = self->cursors[member];
  const std::string request = to_bytes(before.position()) + to_bytes(before.resumption());
  const auto bytes =
      co_await send_request(self, member, ledger_method::copy, request, copy_timeout);
  auto answer =
      bytes ? from_bytes_with_tails<copy_page, copy_progress, page_origins>(*bytes) : std::nullopt;
  if (!answer) {
    co_return false;
  }
  copy_page& page = std::get<copy_page>(*answer);
  add_origins(std::get<page_origins>(*answer), page);
  if (!std::get<page_origins>(*answer).is_sent) {
    self->ledger.note_missing_origins();
  }
  const bool stored = co_await adopt_records(self, page.records);
  if (!stored || (page.records.empty() && !page.last)) {
    co_return false;
  }
  const auto cursor = self->cursors.find(member);
  if (cursor == self->cursors.end()) {
    co_return false;
  }
  pass_ended = cursor->second.on_page(page, std::get<copy_progress>(*answer));
  co_return true;
}

asio::awaitable<bool> disk_host::state::copy_from(std::shared_ptr<state> self, const disk_id member,
                                                  const set_epoch epoch) {
  while (true) {
    bool pass_ended = false;
    const bool copied = co_await copy_next_page(self, member, pass_ended);
    if (!copied) {
      co_return false;
    }
    const bool enough =
        epoch == set_epoch(0) ? pass_ended : self->cursors[member].complete_below(epoch);
    if (enough) {
      co_return true;
    }
    net::async_signal pause(self->context);
    co_await pause.wait_until(steady::now() + page_pause);
  }
}

}  // namespace hawthornlane::disk
