// Shared by the source files of the ledger's client: links to disk hosts, rounds of requests.
#pragma once

#include "hawthornlane/front/ledger_client.h"
#include "hawthornlane/net/frame.h"
#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::front {

/// Time limit for an append, without its transfer. An append waits for a sync of 2 to 5 ms and for
/// earlier ones; a disk host that takes longer than this is faulty.
inline constexpr duration append_timeout = std::chrono::milliseconds(500);
/// Assumed bytes per second for sending a host's own requests: half of what a link of 30 Mbit/s
/// carries, since callers and backend servers share it.
inline constexpr std::int64_t assumed_link_rate = 2'000'000;
/// Time for a chain to arrive. Its size is unknown, so this assumes the largest payload. A disk
/// host that does not answer is detected by the reservation that is sent at the same time.
inline constexpr duration chain_transfer_time = duration(std::chrono::seconds(1)) *
                                                static_cast<std::int64_t>(net::max_payload_bytes) /
                                                assumed_link_rate;

/// Builds the ledger record of a turn in the given phase.
ledger_record record_of(const turn_request& turn, reservation_phase phase, token_count used);

/// Link to one disk host.
struct ledger_client::disk_link {
  host_entry host;
  std::unique_ptr<net::rpc_client> link;
  /// The disk host did not answer in time; requests are relayed through other front hosts until it
  /// answers a probe.
  bool suspected = false;
  /// The disk host has answered over this link. Until then this host sends it requests directly,
  /// but does not report it to other front hosts as reached.
  bool answered = false;

  [[nodiscard]] bool reached() const { return this->answered && !this->suspected; }
};

/// A disk's reservations of a program and, if the request asked for it, an attempt's origin.
struct reported_response : program_response {
  origin_report report;
};

/// A disk's part of a chain; `part` is empty if its host is of an older version.
struct parted_response : chain_response {
  chain_part part;
};

template <class Answer>
std::optional<Answer> answer_from(const std::string& bytes);

template <>
inline std::optional<reported_response> answer_from(const std::string& bytes) {
  auto both = from_bytes_with_tail<program_response, origin_report>(bytes);
  if (!both) {
    return std::nullopt;
  }
  reported_response answer;
  static_cast<program_response&>(answer) = std::move(both->first);
  answer.report = std::move(both->second);
  return answer;
}

template <>
inline std::optional<parted_response> answer_from(const std::string& bytes) {
  auto both = from_bytes_with_tail<chain_response, chain_part>(bytes);
  if (!both) {
    return std::nullopt;
  }
  parted_response answer;
  static_cast<chain_response&>(answer) = std::move(both->first);
  answer.part = std::move(both->second);
  return answer;
}

/// The bytes that follow an append or a collect; empty if it does not concern an origin.
inline std::string origin_tail(const std::optional<stream_origin>& origin,
                               const std::optional<request_id>& asked) {
  const origin_request tail{origin, asked};
  return tail.empty() ? std::string() : to_bytes(tail);
}

template <class Answer>
void ledger_client::ask_each(const std::vector<disk_id>& disks, disk_request what,
                             const round_hooks<Answer>& hooks) {
  what.send_time = this->time_to_send(what.payload->size() * disks.size());
  for (const disk_id& disk : disks) {
    this->ask(disk, what, [this, disk, hooks](net::rpc_failure why, const std::string& bytes) {
      const bool good = why == net::rpc_failure::none;
      const auto answer = good ? answer_from<Answer>(bytes) : std::nullopt;
      if (!answer) {
        hooks.failed(disk, this->miss_of(disk, why));
      } else if (answer->disk != disk) {
        hooks.failed(disk, disk_miss::other_disk);
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
