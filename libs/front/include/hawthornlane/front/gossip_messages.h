// Messages between front hosts and their wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/fleet/store_read_schedule.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/turn_ledger/ledger_set.h"

namespace hawthornlane::http {
template <class Archive>
void serialize(Archive& archive, endpoint& where) {
  archive(where.address, where.port);
}
}  // namespace hawthornlane::http

namespace hawthornlane {
template <class Archive>
void serialize(Archive& archive, host_entry& entry) {
  archive(entry.name, entry.start, entry.role, entry.zone, entry.region, entry.callers_at,
          entry.peers_at, entry.disk);
}
template <class Archive>
void serialize(Archive& archive, backend_entry& entry) {
  archive(entry.id, entry.start, entry.service, entry.address, entry.zone, entry.slots,
          entry.draining);
}
}  // namespace hawthornlane

namespace hawthornlane::front {

/// RPC methods between front hosts. Numbers 2 to 5 are not reused: older hosts may still send
/// them with their former meaning, whole texts that this version does not read.
enum class gossip_method : std::uint16_t {
  digest = 1,
  /// Forwards a request to a disk host.
  relay = 6,
  /// Updates and queries the placement directory.
  directory = 7,
  /// Requests a full copy of one kind of state (`copy_request`).
  copy = 8,
  /// Confirms that a requested copy has arrived (`copy_request`).
  copy_taken = 9,
  /// Claims a place, i.e. the right to have one call at a backend server (`place_claim`). A server
  /// has one place more than it has slots.
  claim = 10,
  /// Withdraws a claim (`place_grant`).
  withdraw = 11,
  /// Grants a place to a waiting claim (`place_grant`).
  grant = 12,
  /// Reports crashes of backend servers under requests (`crash_message`).
  crashes = 13,
  /// Reports that the bytes of a requested copy have arrived (`copy_request`); `copy_taken` follows
  /// when the copy has been applied. Hosts of older versions do not serve it.
  copy_received = 14
};

/// Demand of one front host for one service.
struct service_demand {
  service_name service;
  /// Calls running at servers plus calls waiting for one.
  std::uint32_t calls = 0;

  friend bool operator==(const service_demand&, const service_demand&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->calls);
  }
};

/// Status of a front host and the versions of the state it has, as sent to its peers.
struct gossip_digest {
  host_entry self;
  bool ready = false;
  bool leaving = false;
  /// Number of disk hosts that this host reaches directly.
  std::uint32_t disks_reached = 0;
  /// 0: no configuration yet.
  config_version configuration;
  /// Store revision of the last change of the backend servers that this host has.
  store_revision backends_changed_at;
  store_revision hosts_revision;
  /// Epoch of the newest set of disks that this host has; 0: none.
  set_epoch ledger_epoch;
  /// The latest read of the store that this host knows of, by any host: the host that made it and
  /// the time since then. An empty name: no read yet.
  host_id store_read_by;
  duration store_read_age{};
  /// Not part of `serialize`: follows the message, as hosts of older versions do not read it.
  store_read_number store_read_id;
  /// Services with a demand above zero.
  std::vector<service_demand> demand;

  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t age = this->store_read_age.count();
    archive(this->self, this->ready, this->leaving, this->disks_reached, this->configuration,
            this->backends_changed_at, this->hosts_revision, this->ledger_epoch,
            this->store_read_by, age, this->demand);
    this->store_read_age = duration(age);
  }
};

/// Hash of a host name, used in messages: four bytes in place of about thirty.
using host_key = strong_value<struct host_key_tag, std::uint32_t>;
host_key host_key_of(const host_id& host);

/// A probe or the answer to one; both have the same format.
struct probe_message {
  gossip_digest digest;
  /// Hosts that the sender suspects because they do not answer its probes.
  std::vector<host_key> suspected;
  /// Checksum of the crashes under requests that the sender knows; 0: none. Not part of
  /// `serialize`: hosts of older versions neither send nor read it.
  std::uint64_t crash_checksum = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->digest, this->suspected);
  }
};

std::string bytes_of(const probe_message& message);

/// `nullopt` when the bytes are malformed. Hosts with the first message format send only the
/// digest and ignore what follows it.
std::optional<probe_message> probe_message_from(const std::string& bytes);

/// All entries of one registry of a host, as of revision `at`.
template <class Entry>
struct registry_snapshot {
  store_revision at;
  std::vector<Entry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->entries);
  }
};

/// Follows a snapshot of the backend servers. Hosts of older versions neither send nor read it.
struct snapshot_versions {
  /// One for each entry, in the same order.
  std::vector<software_version> versions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->versions);
  }
};

/// Encodes a snapshot of the backend servers with their versions.
std::string backend_snapshot_bytes(const registry_snapshot<backend_entry>& snapshot);
/// `nullopt` when the bytes are malformed. Versions that the sender does not send are empty.
std::optional<registry_snapshot<backend_entry>> backend_snapshot_from(const std::string& bytes);

/// A request to a disk host, forwarded by a front host that reaches it.
struct relayed_request {
  disk_id disk;
  std::uint16_t method = 0;
  std::string payload;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->method, this->payload);
  }
};

}  // namespace hawthornlane::front
