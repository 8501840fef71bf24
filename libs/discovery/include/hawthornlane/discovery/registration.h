// Registers this host in the platform's store and decodes entries of others.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "hawthornlane/discovery/object_faults.h"
#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/platform_adapter/store_client.h"

namespace hawthornlane::discovery {

/// The entry of this process, with the current time as its incarnation.
host_entry make_host_entry(const host_id& name, host_role role, const availability_zone& zone,
                           const std::string& region, const http::endpoint& peers_at);

/// Writes the entry to the store; retries until that succeeds.
boost::asio::awaitable<void> keep_registered(boost::asio::io_context& context,
                                             platform_adapter::store_client& store,
                                             host_entry self);

/// Decodes the entries of a page. An unreadable object counts as absent and is reported to
/// `faults`.
std::vector<entry_change<host_entry>> host_changes_of(const platform_adapter::object_page& page,
                                                      object_faults& faults);
std::vector<host_entry> host_entries_of(const platform_adapter::object_page& page,
                                        object_faults& faults);
std::vector<backend_entry> backend_entries_of(const platform_adapter::object_page& page,
                                              object_faults& faults);

/// A configuration and its text in the store.
struct stored_configuration {
  configuration config;
  std::string text;
};
/// Revision of the configuration's object in a listing; 0 if it is missing. Other objects of the
/// listing, which any writer may add, do not count.
store_revision configuration_revision_of(const platform_adapter::object_page& page);

/// Decodes the configuration on a page. The result has at most one element. It has none if the
/// page has no configuration or an unreadable one; the configuration in force then stays.
std::vector<stored_configuration> configurations_of(const platform_adapter::object_page& page,
                                                    object_faults& faults);

}  // namespace hawthornlane::discovery
