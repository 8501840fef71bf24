// A host's own entry in the platform's store, and the entries of the others.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

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

/// The entries of a page; what cannot be read is logged and left out.
std::vector<entry_change<host_entry>> host_changes_of(const platform_adapter::object_page& page);
std::vector<host_entry> host_entries_of(const platform_adapter::object_page& page);
std::vector<entry_change<backend_entry>> backend_changes_of(
    const platform_adapter::object_page& page);
std::vector<backend_entry> backend_entries_of(const platform_adapter::object_page& page);

}  // namespace hawthornlane::discovery
