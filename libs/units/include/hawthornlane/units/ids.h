// The ids that the libraries share, each with its own type.
#pragma once

#include <cstdint>
#include <string>

#include "hawthornlane/units/strong_value.h"

namespace hawthornlane {

/// Name of a host, from its settings; stays the same across restarts.
using host_id = strong_value<struct host_id_tag, std::string>;
/// Identifies one start of a process: its time in microseconds since 1970, so a restarted host
/// has a higher one. Safety depends on equality only; the order only decides which of two
/// gossiped states is newer.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;
/// Name of an availability zone, from the settings.
using availability_zone = strong_value<struct availability_zone_tag, std::string>;
/// Name of a customer on whose behalf programs run.
using client_account = strong_value<struct client_account_tag, std::string>;
/// Name of a service; each service has one service document.
using service_name = strong_value<struct service_name_tag, std::string>;
/// Name of a backend server as the platform lists it.
using backend_server_id = strong_value<struct backend_server_id_tag, std::string>;
/// Version of a backend server's software. Versions have no order. Empty: not known.
using software_version = strong_value<struct software_version_tag, std::string>;
/// Name of a model that backend servers load.
using model_name = strong_value<struct model_name_tag, std::string>;
/// Id of one agent program; contains its shard, see `make_program_id`.
using program_id = strong_value<struct program_id_tag, std::string>;
/// Id that a caller gives one attempt of a call; each attempt has its own.
using request_id = strong_value<struct request_id_tag, std::string>;
/// One sequence of turns of a program; each sub-agent has its own.
using session_id = strong_value<struct session_id_tag, std::string>;
/// Number of a shard, one of a fixed number of parts into which programs are divided.
using shard_id = strong_value<struct shard_id_tag, std::uint32_t>;
/// Fencing token of a shard; incremented by one at each change of owner.
using epoch = strong_value<struct epoch_tag, std::uint64_t>;
/// Position of a record in the log of one epoch, counted from 1.
using record_index = strong_value<struct record_index_tag, std::uint64_t>;
/// Position of a turn in its program, counted from 1. A turn is one call of the program, to a model
/// or to a tool.
using turn_number = strong_value<struct turn_number_tag, std::uint32_t>;
/// Version number of a service document; never decreases.
using generation = strong_value<struct generation_tag, std::uint64_t>;

/// One start of one host. It identifies log replicas and shard owners: a restarted host does not
/// count as the same one.
struct host_incarnation {
  host_id host;
  incarnation start;

  friend auto operator<=>(const host_incarnation&, const host_incarnation&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->start);
  }
};

}  // namespace hawthornlane
