// Whole copies of what front hosts know: packed for others, and taken from others.
#include "hawthornlane/front/fleet_copies.h"

#include <utility>

#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/net/compression.h"
#include "hawthornlane/net/frame.h"

namespace hawthornlane::front {
namespace {

/// Nothing when the bytes are none, or the other host knows nothing itself.
template <class Entry>
std::optional<registry_snapshot<Entry>> snapshot_from(const std::string& packed) {
  const auto bytes = net::decompress(packed, net::max_payload_bytes);
  auto snapshot = bytes ? from_bytes<registry_snapshot<Entry>>(*bytes) : std::nullopt;
  return snapshot && snapshot->at.get() != 0 ? std::move(snapshot) : std::nullopt;
}

template <class Registry>
std::string packed_snapshot(const Registry& from) {
  using entry_type = typename std::decay_t<decltype(from.listed())>::mapped_type;
  registry_snapshot<entry_type> snapshot;
  snapshot.at = from.at();
  for (const auto& [key, entry] : from.listed()) {
    snapshot.entries.push_back(entry);
  }
  return net::compress(to_bytes(snapshot));
}

}  // namespace

bool fleet_copies::take(const host_id& from, copy_kind kind, const std::string& copy) {
  switch (kind) {
    case copy_kind::configuration: {
      const auto config = this->hooks.decode_configuration(copy);
      if (config) {
        this->fleet.offer_configuration(*config, copy, from.get());
      }
      return config.has_value();
    }
    case copy_kind::backends: {
      const auto told = snapshot_from<backend_entry>(copy);
      if (told) {
        this->fleet.list_backends(told->at, told->entries, from.get());
      }
      return told.has_value();
    }
    case copy_kind::hosts: {
      const auto told = snapshot_from<host_entry>(copy);
      if (told) {
        this->fleet.list_hosts(told->at, told->entries);
      }
      return told.has_value();
    }
    case copy_kind::ledger: {
      const auto set = from_bytes<ledger_set>(copy);
      if (set) {
        this->hooks.apply_ledger_set(*set, from);
      }
      return set.has_value();
    }
  }
  return false;
}

const std::optional<std::string>& fleet_copies::ready(copy_kind kind) {
  auto& ready = this->made[kind];
  if (!ready) {
    ready = this->make(kind);
  }
  return ready;
}

std::optional<std::string> fleet_copies::make(copy_kind kind) const {
  switch (kind) {
    case copy_kind::configuration:
      return this->fleet.table() ? std::optional(this->fleet.configuration_copy()) : std::nullopt;
    case copy_kind::backends:
      return packed_snapshot(this->fleet.backends());
    case copy_kind::hosts:
      return packed_snapshot(this->fleet.hosts());
    case copy_kind::ledger: {
      const auto set = this->hooks.ledger();
      return set ? std::optional(to_bytes(*set)) : std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace hawthornlane::front
