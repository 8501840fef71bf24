// Which software version began a stream: what is stored for it, when it has to be stored, and what
// the disks' responses say about it. No I/O, clock or randomness.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "hawthornlane/turn_ledger/quorum_checks.h"

namespace hawthornlane {

/// Outcome of the search for a stream's origin.
enum class origin_outcome : std::uint8_t {
  /// Too few disks have responded, or too few of them store origins.
  undecided,
  found,
  /// A majority has no origin, or contradictory ones.
  absent,
};

/// Finds the origin of a stream from the disks' reports.
///
/// An origin that a majority has confirmed is found by every majority: hosts of older versions
/// neither confirm nor report one, so they count on neither side.
class origin_check {
public:
  explicit origin_check(ledger_set asked) : set(std::move(asked)) {}

  void on_report(const disk_id& disk, const origin_report& report) {
    if (!report.keeps_origins) {
      return;
    }
    this->reported.insert(disk);
    if (report.origin) {
      this->newest = newest_of(this->newest, *report.origin);
    }
  }

  [[nodiscard]] origin_outcome outcome() const {
    if (!this->set.has_majority(this->reported)) {
      return origin_outcome::undecided;
    }
    return this->newest && this->newest->is_known() ? origin_outcome::found
                                                    : origin_outcome::absent;
  }
  /// Valid if the outcome is `found`.
  [[nodiscard]] const std::optional<stream_origin>& origin() const { return this->newest; }

private:
  ledger_set set;
  std::set<disk_id> reported;
  std::optional<stream_origin> newest;
};

/// Decides what an attempt that begins a stream writes, and when its first event may leave.
///
/// Guarantees: when the first event has left, a reader at any majority finds the version that
/// produced it, or none. A later write of the same attempt replaces the earlier ones, so a write
/// that differs from an earlier one has to be confirmed before the first event leaves.
class origin_writer {
public:
  /// The origin to store with the attempt's reservation, before a server is chosen. `only_version`:
  /// the version of all servers that the attempt may be placed at, if they have the same one; then
  /// no further write is needed.
  std::optional<stream_origin> at_admission(const service_name& service,
                                            const std::optional<software_version>& only_version) {
    return only_version ? this->at_dispatch(service, *only_version, {}) : std::nullopt;
  }

  /// The attempt is about to be sent to a server. Returns the origin to write now, if the latest
  /// one differs.
  std::optional<stream_origin> at_dispatch(const service_name& service,
                                           const software_version& version,
                                           const backend_server_id& server) {
    const bool is_same = this->latest
                             ? this->latest->service == service && this->latest->version == version
                             : version.get().empty();
    if (is_same) {
      return std::nullopt;
    }
    this->has_changed = this->latest.has_value();
    this->is_confirmed = false;
    const std::uint32_t write = this->latest ? this->latest->write + 1 : 1;
    this->latest = stream_origin{service, version, write, server};
    return this->latest;
  }

  /// A majority has stored this origin.
  void confirmed(const stream_origin& written) {
    this->is_confirmed = this->is_confirmed || this->latest == written;
  }

  /// True if a reader finds the latest origin or none, but no other one.
  [[nodiscard]] bool may_leave() const { return this->is_confirmed || !this->has_changed; }

private:
  std::optional<stream_origin> latest;
  bool is_confirmed = false;
  /// An earlier write had another origin.
  bool has_changed = false;
};

}  // namespace hawthornlane
