// A host's own entry in the platform's store, and the entries of the others.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "hawthornlane/discovery/object_faults.h"
#include "hawthornlane/fleet/fleet_view.h"
#include "hawthornlane/platform_adapter/store_client.h"

namespace hawthornlane::discovery {

/// The entry of this process; its start is now.
host_entry make_host_entry(const host_id& name, host_role role, const availability_zone& zone,
                           const std::string& region, const http::endpoint& peers_at);

/// Writes the entry, and tries until it is there.
boost::asio::awaitable<void> keep_registered(boost::asio::io_context& context,
                                             platform_adapter::store_client& store,
                                             host_entry self);

/// The entries of a page. What cannot be read counts as absent, and `faults` tells of it.
std::vector<entry_change<host_entry>> host_changes_of(const platform_adapter::object_page& page,
                                                      object_faults& faults);
std::vector<host_entry> host_entries_of(const platform_adapter::object_page& page,
                                        object_faults& faults);
std::vector<backend_entry> backend_entries_of(const platform_adapter::object_page& page,
                                              object_faults& faults);

/// A configuration, and its text as the store holds it.
struct stored_configuration {
  configuration config;
  std::string text;
};
/// At most one; nothing when it cannot be read, and then the one in force stays.
std::vector<stored_configuration> configurations_of(const platform_adapter::object_page& page,
                                                    object_faults& faults);

}  // namespace hawthornlane::discovery
