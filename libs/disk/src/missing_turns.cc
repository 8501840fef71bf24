// Fetches the turns that this disk has missed from the other disks of the set.
#include <algorithm>

#include "disk_host_state.h"
#include "hawthornlane/net/async_signal.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::disk {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr duration fetch_timeout = std::chrono::milliseconds(1500);
/// Turns asked for with one request.
constexpr std::size_t max_turns_per_request = 500;
/// Pause before turns that no other disk could provide are asked for again.
constexpr auto fetch_retry_interval = std::chrono::seconds(3);
/// Disk hosts that have been silent for this long are not asked.
constexpr auto max_silence = std::chrono::milliseconds(1000);
/// Pause between two requests, so that fetching leaves most of half a core for serving turns.
constexpr auto request_pause = std::chrono::milliseconds(5);

}  // namespace

asio::awaitable<bool> disk_host::state::fetch_turns(std::shared_ptr<state> self, const disk_id from,
                                                    std::vector<request_id>& wanted) {
  turns_request request;
  const std::size_t count = std::min(wanted.size(), max_turns_per_request);
  request.ids.assign(wanted.begin(), wanted.begin() + static_cast<std::ptrdiff_t>(count));
  const std::string request_bytes = to_bytes(request);
  const auto bytes =
      co_await send_request(self, from, ledger_method::turns, request_bytes, fetch_timeout);
  auto answer = bytes ? from_bytes_with_tail<copy_page, page_origins>(*bytes) : std::nullopt;
  if (!answer || answer->first.records.empty()) {
    co_return false;
  }
  copy_page& page = answer->first;
  add_origins(answer->second, page);
  const bool stored = co_await adopt_records(self, page.records);
  if (!stored) {
    co_return false;
  }
  self->counts["turns_fetched"] += page.records.size();
  std::set<request_id> missing(wanted.begin(), wanted.end());
  for (const ledger_record& record : page.records) {
    missing.erase(record.state.id);
    if (record.turn && record.turn->previous &&
        !self->ledger.held().has_turn(*record.turn->previous)) {
      missing.insert(*record.turn->previous);
    }
  }
  wanted.assign(missing.begin(), missing.end());
  co_return true;
}

asio::awaitable<void> disk_host::state::fetch_missing_turns(std::shared_ptr<state> self) {
  self->fetching_turns = true;
  const std::set<request_id> before = std::exchange(self->lacked_turns, {});
  std::vector<request_id> wanted;
  for (const request_id& id : self->ledger.held().missing_turns()) {
    self->lacked_turns.insert(id);
    // A turn that is only late, since its record is still on the way, arrives by itself.
    if (before.contains(id)) {
      wanted.push_back(id);
    }
  }
  const std::size_t lacking = wanted.size();
  std::vector<disk_id> members;
  if (self->set && lacking > 0) {
    members = self->set->members;
  }
  const disk_id& own = self->ledger.identity();
  // A disk that joins gets the turns with the copy.
  const bool is_member = std::find(members.begin(), members.end(), own) != members.end();
  for (const disk_id& other : members) {
    const auto silence = self->silence_of(other);
    const bool answers = silence && *silence < max_silence;
    bool had_any = is_member && other != own && answers;
    while (had_any && !wanted.empty()) {
      had_any = co_await fetch_turns(self, other, wanted);
      net::async_signal pause(self->context);
      co_await pause.wait_until(steady::now() + request_pause);
    }
  }
  if (lacking > 0) {
    log(event::missed_turns_fetched,
        {{"lacking", std::to_string(lacking)}, {"still_lacking", std::to_string(wanted.size())}});
  }
  if (!wanted.empty()) {
    self->next_turn_fetch = steady::now() + fetch_retry_interval;
  }
  self->fetching_turns = false;
}

}  // namespace hawthornlane::disk
