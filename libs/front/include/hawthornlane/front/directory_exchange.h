// Exchanges entries of the placement directory between front hosts. Each entry is stored by one
// host, its directory host.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/placement/placement_directory.h"

namespace hawthornlane::front {

/// Updates and queries from one host to a directory host.
struct directory_message {
  host_id from;
  std::vector<server_load> loads;
  std::vector<part_location> locations;
  std::vector<server_key> asked_servers;
  std::vector<prompt_part_key> asked_parts;
  /// Appended to the message if not empty, and not part of `serialize`: hosts of older versions
  /// ignore the trailing bytes.
  std::vector<speed_report> speeds;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->loads, this->locations, this->asked_servers, this->asked_parts);
  }
};

/// The directory host's answer.
struct directory_response {
  /// For each server that was reported or queried: the calls of all hosts except the asker, plus
  /// the calls that wait for a place.
  std::vector<server_load> loads;
  /// Known locations of the queried parts.
  std::vector<part_location> locations;
  /// Other hosts' speed estimates of the same servers; appended as in `directory_message`.
  std::vector<speed_report> speeds;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->loads, this->locations);
  }
};

std::string bytes_of(const directory_message& message);
std::string bytes_of(const directory_response& answer);
/// Nothing if the bytes are malformed.
std::optional<directory_message> directory_message_from(const std::string& bytes);
std::optional<directory_response> directory_answer_from(const std::string& bytes);

/// Callbacks from the exchange to the rest of the host.
struct directory_hooks {
  /// The other live front hosts.
  std::function<std::vector<host_id>()> hosts;
  /// Sends a message to another host.
  std::function<void(const host_id& to, const std::string& payload, net::rpc_done done)> send;
  /// Handles a directory host's answer.
  std::function<void(const directory_response&)> on_response;
  /// A host has reported a new load, which replaces `before`; optional.
  std::function<void(const host_id&, const server_load&, std::uint32_t before)> load_changed;
  /// Number of calls that wait for a place at a server whose entry this host stores; optional.
  std::function<std::uint32_t(server_key)> waiting;
};

/// One host's side of the directory: the entries that it stores, and messages to the directory
/// hosts of the others. Not thread-safe.
class directory_exchange {
public:
  directory_exchange(boost::asio::io_context& context, host_id own_host, directory_hooks hooks);

  /// Sends changes at this host to the directory hosts.
  void report(const directory_update& update);
  /// Queries the directory hosts and waits until all have answered or the time limit is over.
  /// Answers go to the `on_response` callback.
  boost::asio::awaitable<void> query(directory_request request);
  /// Handles a message of another host; returns nothing if it is malformed.
  std::optional<std::string> serve(const std::string& payload);
  /// The entries that this host stores.
  [[nodiscard]] const placement_directory& entries() const { return this->directory; }

private:
  /// This host and the other live hosts.
  [[nodiscard]] std::vector<host_id> directory_hosts() const;
  using messages = std::map<host_id, directory_message>;
  directory_message& message_to(messages& all, std::uint64_t key,
                                const std::vector<host_id>& hosts) const;
  /// Sends the message, passes the answer to the `on_response` callback and then calls `done`, also
  /// if there is no answer.
  void send(const host_id& directory_host, const directory_message& message,
            std::function<void()> done);
  directory_response answer(const directory_message& message);

  boost::asio::io_context& context;
  host_id self;
  directory_hooks hooks;
  placement_directory directory;
};

}  // namespace hawthornlane::front
