// A host's own entry in the platform's store, and the entries of the others.
#include "hawthornlane/discovery/registration.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::discovery {
namespace asio = boost::asio;
using platform_adapter::object_kind;
using platform_adapter::object_page;
using platform_adapter::store_outcome;

namespace {

constexpr auto retry_pause = std::chrono::milliseconds(500);

template <class Entry>
Entry named(const std::string& name) {
  Entry entry;
  if constexpr (std::is_same_v<Entry, backend_entry>) {
    entry.id = backend_server_id(name);
  } else {
    entry.name = host_id(name);
  }
  return entry;
}

template <class Entry, class Decoder>
std::vector<entry_change<Entry>> changes_of(const object_page& page, Decoder decode) {
  std::vector<entry_change<Entry>> changes;
  for (const auto& item : page.items) {
    if (platform_adapter::is_ledger_object(item.object)) {
      continue;
    }
    if (item.removed) {
      // What is left of a removed object may lack its fields; its name is enough.
      changes.push_back({named<Entry>(item.object.name), true});
      continue;
    }
    failure reason;
    if (auto entry = decode(item.object, reason)) {
      changes.push_back({std::move(*entry), false});
      continue;
    }
    log(event::platform_unreachable,
        {{"detail", "object " + item.object.name + ": " + reason.detail}});
  }
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
    timer.expires_after(retry_pause);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

std::vector<entry_change<host_entry>> host_changes_of(const object_page& page) {
  return changes_of<host_entry>(page, platform_adapter::host_entry_from);
}

std::vector<host_entry> host_entries_of(const object_page& page) {
  return entries_of(host_changes_of(page));
}

std::vector<entry_change<backend_entry>> backend_changes_of(const object_page& page) {
  return changes_of<backend_entry>(page, platform_adapter::backend_entry_from);
}

std::vector<backend_entry> backend_entries_of(const object_page& page) {
  return entries_of(backend_changes_of(page));
}

}  // namespace hawthornlane::discovery
