// Registers this host in the platform's store and decodes entries of others.
#include "hawthornlane/discovery/registration.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornlane::discovery {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::object_page;
using platform_adapter::store_outcome;

namespace {

constexpr auto retry_interval = std::chrono::milliseconds(500);

template <class Entry>
Entry entry_with_name(const std::string& name) {
  Entry entry;
  if constexpr (std::is_same_v<Entry, backend_entry>) {
    entry.id = backend_server_id(name);
  } else {
    entry.name = host_id(name);
  }
  return entry;
}

template <class Entry, class Decoder>
std::vector<entry_change<Entry>> changes_of(const object_page& page, object_kind kind,
                                            Decoder decode, object_faults& faults) {
  std::vector<entry_change<Entry>> changes;
  std::vector<platform_adapter::object_fault> found = page.faults;
  for (const auto& item : page.items) {
    const platform_adapter::stored_object& object = item.object;
    failure reason;
    if (platform_adapter::is_ledger_object(object)) {
      if (!item.removed && !platform_adapter::ledger_set_from(object, reason)) {
        found.push_back({object.name, object.revision, reason.detail});
      }
      continue;
    }
    if (item.removed) {
      // The spec of a removed object may lack fields; its name is enough.
      changes.push_back({entry_with_name<Entry>(object.name), true});
      continue;
    }
    if (auto entry = decode(object, reason)) {
      changes.push_back({std::move(*entry), false});
      continue;
    }
    found.push_back({object.name, object.revision, reason.detail});
    changes.push_back({entry_with_name<Entry>(object.name), true});
  }
  faults.note(kind, found);
  return changes;
}

template <class Entry>
std::vector<Entry> entries_of(std::vector<entry_change<Entry>> changes) {
  std::vector<Entry> entries;
  for (auto& change : changes) {
    if (!change.removed) {
      entries.push_back(std::move(change.entry));
    }
  }
  return entries;
}

}  // namespace

host_entry make_host_entry(const host_id& name, host_role role, const availability_zone& zone,
                           const std::string& region, const http::endpoint& peers_at) {
  host_entry entry;
  entry.name = name;
  entry.role = role;
  entry.zone = zone;
  entry.region = region;
  entry.peers_at = peers_at;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  entry.start = incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
  return entry;
}

asio::awaitable<void> keep_registered(asio::io_context& context,
                                      platform_adapter::store_client& store, host_entry self) {
  const std::string name = self.name.get();
  const std::string spec = platform_adapter::host_entry_spec(self);
  asio::steady_timer timer(context);
  while (true) {
    failure reason;
    store_outcome outcome = co_await store.create(object_kind::hosts, name, spec, reason);
    if (outcome == store_outcome::conflict) {
      outcome = co_await store.replace(object_kind::hosts, name, store_revision(0), spec, reason);
    }
    if (outcome == store_outcome::done) {
      co_return;
    }
    timer.expires_after(retry_interval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

std::vector<entry_change<host_entry>> host_changes_of(const object_page& page,
                                                      object_faults& faults) {
  return changes_of<host_entry>(page, object_kind::hosts, platform_adapter::host_entry_from,
                                faults);
}

std::vector<host_entry> host_entries_of(const object_page& page, object_faults& faults) {
  return entries_of(host_changes_of(page, faults));
}

std::vector<backend_entry> backend_entries_of(const object_page& page, object_faults& faults) {
  return entries_of(changes_of<backend_entry>(page, object_kind::backend_servers,
                                              platform_adapter::backend_entry_from, faults));
}

store_revision configuration_revision_of(const object_page& page) {
  for (const auto& item : page.items) {
    if (item.object.name == platform_adapter::configuration_object_name) {
      return item.object.revision;
    }
  }
  return {};
}

std::vector<stored_configuration> configurations_of(const object_page& page,
                                                    object_faults& faults) {
  std::vector<stored_configuration> configurations;
  std::vector<platform_adapter::object_fault> found = page.faults;
  for (const auto& item : page.items) {
    const platform_adapter::stored_object& object = item.object;
    if (item.removed || object.name != platform_adapter::configuration_object_name) {
      continue;
    }
    failure reason;
    if (auto config = platform_adapter::configuration_from(object, reason)) {
      configurations.push_back({std::move(*config), object.spec});
    } else {
      found.push_back({object.name, object.revision, reason.detail});
    }
  }
  faults.note(object_kind::configuration, found);
  return configurations;
}

}  // namespace hawthornlane::discovery
