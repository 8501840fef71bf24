// What the parts of the ledger's client share: links to disk hosts, rounds of questions.
#pragma once

#include "hawthornlane/front/ledger_client.h"
#include "hawthornlane/net/frame.h"
#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::front {

/// An append waits for a sync of 2 to 5 ms and for those before it; one that takes
/// this long, besides its way, comes from a disk host in trouble.
inline constexpr duration append_limit = std::chrono::milliseconds(500);
/// Bytes a second, for the time that a host's own questions take to leave it: half of
/// what a link of 30 Mbit/s carries, since callers and backend servers share it.
inline constexpr std::int64_t cautious_link_rate = 2'000'000;
/// For a chain to arrive, of which nobody here knows the size: the largest there can be.
/// A disk host that is silent is found by the reservation that is sent with the question.
inline constexpr duration chain_arrival = duration(std::chrono::seconds(1)) *
                                          static_cast<std::int64_t>(net::max_payload_bytes) /
                                          cautious_link_rate;

/// The record of a turn as it stands now.
ledger_record record_of(const turn_request& turn, reservation_phase phase, token_count used);

/// One disk host.
struct ledger_client::disk_link {
  host_entry host;
  std::unique_ptr<net::rpc_client> link;
  /// It did not answer in time; questions go by way of other front hosts until a
  /// probe is answered.
  bool suspected = false;
  /// It has answered over this link. Until then other front hosts are not told that it
  /// is reached, but it is asked directly.
  bool answered = false;

  [[nodiscard]] bool reached() const { return this->answered && !this->suspected; }
};

template <class Answer>
void ledger_client::ask_each(const std::vector<disk_id>& disks, question what,
                             const round_hooks<Answer>& hooks) {
  what.sending = this->time_to_send(what.payload->size() * disks.size());
  for (const disk_id& disk : disks) {
    this->ask(disk, what, [this, disk, hooks](net::rpc_failure why, const std::string& bytes) {
      const bool good = why == net::rpc_failure::none;
      const auto answer = good ? from_bytes<Answer>(bytes) : std::nullopt;
      if (!answer || answer->disk != disk) {
        hooks.failed(disk);
      } else if (answer->stale) {
        this->note_stale(answer->newest);
        hooks.stale(disk);
      } else {
        hooks.answered(*answer);
      }
    });
  }
}

}  // namespace hawthornlane::front
