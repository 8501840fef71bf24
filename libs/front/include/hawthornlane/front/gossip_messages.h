// What hosts tell each other of the deployment, and its form on the wire.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/fleet/fleet_view.h"
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

/// Methods between front hosts. 2 to 5 had another meaning: a host that still gives them
/// one would send whole texts that nobody here reads.
enum class gossip_method : std::uint16_t {
  digest = 1,
  /// Passes a question on to a disk host.
  relay = 6,
  /// Tells and asks the placement directory.
  placements = 7,
  /// Asks for a whole copy of one kind (`copy_request`).
  copy = 8,
  /// The copy asked for has arrived (`copy_request`).
  copy_taken = 9,
  /// Claims a place at a server (`place_claim`).
  claim = 10,
  /// Wants it no more (`place_grant`).
  withdraw = 11,
  /// Gives a place to a claim that waited (`place_grant`).
  grant = 12
};

/// What one front host needs of one service.
struct service_demand {
  service_name service;
  /// Calls at servers and waiting for one.
  std::uint32_t calls = 0;

  friend bool operator==(const service_demand&, const service_demand&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->calls);
  }
};

/// What one front host knows and is, as told to another.
struct gossip_digest {
  host_entry self;
  bool ready = false;
  bool leaving = false;
  /// Disk hosts that this host reaches itself.
  std::uint32_t disks_reached = 0;
  /// 0: none yet.
  config_version configuration;
  /// When the backend servers last changed as far as this host knows.
  store_revision backends_changed_at;
  store_revision hosts_revision;
  /// Epoch of the newest set of disks that this host knows; 0: none.
  set_epoch ledger_epoch;
  /// The newest read of the store that this host knows of: whose, and how old. No
  /// name: none yet.
  host_id store_read_by;
  duration store_read_age{};
  /// Services of which this host needs something.
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

/// Short name of a host between hosts: four bytes in place of some thirty.
using host_key = strong_value<struct host_key_tag, std::uint32_t>;
host_key host_key_of(const host_id& host);

/// A probe, and the answer to one.
struct probe_message {
  gossip_digest digest;
  /// Hosts that do not answer the one that tells this.
  std::vector<host_key> suspected;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->digest, this->suspected);
  }
};

/// Nothing when the bytes are none. Hosts of the first format send the digest alone, and
/// read no further than that.
std::optional<probe_message> probe_message_from(const std::string& bytes);

/// One host's whole registry of one kind of entry.
template <class Entry>
struct registry_snapshot {
  store_revision at;
  std::vector<Entry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->at, this->entries);
  }
};

/// A question to a disk host, passed on by a front host that reaches it.
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
