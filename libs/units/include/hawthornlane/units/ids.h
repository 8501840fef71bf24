// The ids that the libraries exchange, each a type of its own.
#pragma once

#include <cstdint>
#include <string>

#include "hawthornlane/units/strong_value.h"

namespace hawthornlane {

/// Name of an entry host, from its settings; survives restarts.
using host_id = strong_value<struct host_id_tag, std::string>;
/// Moment of one process start, microseconds since 1970: a restarted host has a
/// higher one. Only equality bears on safety, order only on which rumour is newer.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;
/// Name of an availability zone, from the settings.
using availability_zone = strong_value<struct availability_zone_tag, std::string>;
/// Name of a customer on whose behalf programs run.
using client_account = strong_value<struct client_account_tag, std::string>;
/// Name of a service, the subject of one service document.
using service_name = strong_value<struct service_name_tag, std::string>;
/// Name of a backend server as the platform lists it.
using backend_server_id = strong_value<struct backend_server_id_tag, std::string>;
/// Name of a model that backend servers load.
using model_name = strong_value<struct model_name_tag, std::string>;
/// Id of one agent program; carries its shard, see `make_program_id`.
using program_id = strong_value<struct program_id_tag, std::string>;
/// Id that a caller gave one attempt of a call; each attempt has its own.
using request_id = strong_value<struct request_id_tag, std::string>;
/// One line of turns of a program; sub-agents run on lines of their own.
using session_id = strong_value<struct session_id_tag, std::string>;
/// One of a fixed count of slices of the ownership space.
using shard_id = strong_value<struct shard_id_tag, std::uint32_t>;
/// Fencing token of a shard; rises by one with each change of owner.
using epoch = strong_value<struct epoch_tag, std::uint64_t>;
/// Position of a record in the log of one epoch, counted from 1.
using record_index = strong_value<struct record_index_tag, std::uint64_t>;
/// Position of a call in its program, counted from 1.
using turn_number = strong_value<struct turn_number_tag, std::uint32_t>;
/// Version number of a service document; only rises.
using generation = strong_value<struct generation_tag, std::uint64_t>;

/// One process start of one host: what a log replica or an owner really is.
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
