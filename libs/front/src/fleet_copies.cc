// Encodes copies of this host's state for other front hosts, and applies copies received from them.
#include "hawthornlane/front/fleet_copies.h"

#include <utility>

#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/net/compression.h"
#include "hawthornlane/net/frame.h"

namespace hawthornlane::front {
namespace {

/// `nullopt` when the bytes are malformed or the sender has no data itself.
template <class Entry>
std::optional<registry_snapshot<Entry>> snapshot_from(
    const std::string& packed,
    std::optional<registry_snapshot<Entry>> (*read)(const std::string&)) {
  const auto bytes = net::decompress(packed, net::max_payload_bytes);
  auto snapshot = bytes ? read(*bytes) : std::nullopt;
  return snapshot && snapshot->at.get() != 0 ? std::move(snapshot) : std::nullopt;
}

template <class Registry>
auto snapshot_of(const Registry& from) {
  using entry_type = typename std::decay_t<decltype(from.listed())>::mapped_type;
  registry_snapshot<entry_type> snapshot;
  snapshot.at = from.at();
  for (const auto& [key, entry] : from.listed()) {
    snapshot.entries.push_back(entry);
  }
  return snapshot;
}

}  // namespace

bool fleet_copies::apply(const host_id& from, copy_kind kind, const std::string& copy) {
  switch (kind) {
    case copy_kind::configuration: {
      const auto config = this->hooks.decode_configuration(copy);
      if (config) {
        this->fleet.offer_configuration(*config, copy, from.get());
      }
      return config.has_value();
    }
    case copy_kind::backends: {
      const auto received = snapshot_from<backend_entry>(copy, backend_snapshot_from);
      if (received) {
        this->fleet.list_backends(received->at, received->entries, from.get());
      }
      return received.has_value();
    }
    case copy_kind::hosts: {
      const auto received =
          snapshot_from<host_entry>(copy, from_bytes<registry_snapshot<host_entry>>);
      if (received) {
        this->fleet.list_hosts(received->at, received->entries);
      }
      return received.has_value();
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
  auto& ready = this->cached[kind];
  if (!ready) {
    ready = this->encode(kind);
  }
  return ready;
}

std::optional<std::string> fleet_copies::encode(copy_kind kind) const {
  switch (kind) {
    case copy_kind::configuration:
      return this->fleet.table() ? std::optional(this->fleet.configuration_copy()) : std::nullopt;
    case copy_kind::backends:
      return net::compress(backend_snapshot_bytes(snapshot_of(this->fleet.backends())));
    case copy_kind::hosts:
      return net::compress(to_bytes(snapshot_of(this->fleet.hosts())));
    case copy_kind::ledger: {
      const auto set = this->hooks.ledger();
      return set ? std::optional(to_bytes(*set)) : std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace hawthornlane::front
