// Carries the entries of the placement directory between front hosts.
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

/// What one host tells and asks the host that keeps some entries.
struct directory_message {
  host_id from;
  std::vector<server_load> loads;
  std::vector<part_location> locations;
  std::vector<server_key> asked_servers;
  std::vector<prompt_part_key> asked_parts;
  /// Behind the rest where there are any; hosts that know none of it read no further.
  std::vector<speed_report> speeds;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->loads, this->locations, this->asked_servers, this->asked_parts);
  }
};

/// What the keeper answers.
struct directory_response {
  /// Calls of all hosts but the asker, and those that wait for a place, at each server that was
  /// told of or asked for.
  std::vector<server_load> loads;
  /// Of the parts asked for, those that it knows.
  std::vector<part_location> locations;
  /// Of the same servers, what other hosts believe; behind the rest as well.
  std::vector<speed_report> speeds;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->loads, this->locations);
  }
};

std::string bytes_of(const directory_message& message);
std::string bytes_of(const directory_response& answer);
/// Nothing when the bytes are none.
std::optional<directory_message> directory_message_from(const std::string& bytes);
std::optional<directory_response> directory_answer_from(const std::string& bytes);

/// What the exchange takes from and gives to the rest of the host.
struct directory_hooks {
  /// The other front hosts that live.
  std::function<std::vector<host_id>()> hosts;
  /// Sends a message to another host.
  std::function<void(const host_id& to, const std::string& payload, net::rpc_done done)> send;
  /// Takes what a keeper has answered.
  std::function<void(const directory_response&)> take;
  /// A host has told this one a new count in place of `before`; may be missing.
  std::function<void(const host_id&, const server_load&, std::uint32_t before)> load_changed;
  /// Calls that wait for a place at a server which this host keeps; may be missing.
  std::function<std::uint32_t(server_key)> waiting;
};

/// One host's side of the directory: its own entries, and its messages to the hosts that
/// keep the others. For one thread.
class directory_exchange {
public:
  directory_exchange(boost::asio::io_context& context, host_id own, directory_hooks hooks);

  /// Tells the keepers what changed here.
  void tell(const directory_update& update);
  /// Asks the keepers; their answers have been taken when this ends, or the wait is over.
  boost::asio::awaitable<void> ask(directory_request question);
  /// Serves another host; nothing when the message is malformed.
  std::optional<std::string> serve(const std::string& payload);
  /// What this host keeps.
  [[nodiscard]] const placement_directory& entries() const { return this->directory; }

private:
  /// This host and the others that live.
  [[nodiscard]] std::vector<host_id> keepers() const;
  using messages = std::map<host_id, directory_message>;
  directory_message& message_to(messages& all, std::uint64_t key,
                                const std::vector<host_id>& hosts) const;
  /// Has the keeper answer, takes what it says, and then calls `done`, also when the
  /// keeper does not answer.
  void send(const host_id& keeper, const directory_message& message, std::function<void()> done);
  directory_response answer(const directory_message& message);

  boost::asio::io_context& context;
  host_id self;
  directory_hooks hooks;
  placement_directory directory;
};

}  // namespace hawthornlane::front
