// Messages of the membership protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// State of a host in another host's view. The higher value wins at the same `version`.
enum class member_state : std::uint8_t {
  alive,
  suspected,
  /// Before a planned stop: takes no new work but still answers.
  leaving,
  gone,
};

/// One host, as other hosts know it. Sent as an update on probe messages.
struct member {
  host_incarnation id;
  availability_zone zone;
  /// Addresses for callers and for other hosts, "IP:port".
  std::string front_address;
  std::string peer_address;
  member_state state = member_state::alive;
  /// Incremented only by the host itself, to refute a suspicion or to announce a planned stop.
  std::uint32_t version = 0;

  friend bool operator==(const member&, const member&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->zone, this->front_address, this->peer_address, this->state,
            this->version);
  }
};

/// The generation of one service document that a host uses.
struct document_generation {
  service_name service;
  generation at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->at);
  }
};

/// A service document, as sent from one host to another.
struct document_copy {
  service_name service;
  generation at;
  std::string text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->at, this->text);
  }
};

/// A probe, its answer, a request to probe another host, or an exchange of service documents.
struct probe_message {
  enum class kind : std::uint8_t { ping, acknowledge, ping_request, documents };
  kind what = kind::ping;
  host_incarnation from;
  /// Address for answers.
  std::string reply_to;
  std::uint64_t sequence = 0;
  /// In a ping request: the host to probe for the sender.
  std::optional<host_incarnation> target;
  std::vector<member> updates;
  /// Digest of all document generations that the sender uses.
  std::uint64_t documents_digest = 0;
  /// Whether the sender knows that these generations are current. A host whose own digest
  /// is equal may become ready for that reason only if this is true.
  bool documents_current = false;
  /// Generations that the sender uses; sent when the digests differ.
  std::vector<document_generation> document_generations;
  /// Documents that the receiver lacks.
  std::vector<document_copy> documents;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->what, this->from, this->reply_to, this->sequence, this->target, this->updates,
            this->documents_digest, this->documents_current, this->document_generations,
            this->documents);
  }
};

}  // namespace hawthornlane
