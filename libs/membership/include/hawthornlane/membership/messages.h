// What hosts tell each other of who is there.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// What is believed of a host. Higher wins at the same `version`.
enum class member_state : std::uint8_t {
  alive,
  suspected,
  /// Planned stop; takes no new work, still answers.
  leaving,
  gone,
};

/// One host as known; spread in pieces on every probe.
struct member {
  host_incarnation id;
  availability_zone zone;
  /// Where its callers and its peers reach it, "IP:port".
  std::string front_address;
  std::string peer_address;
  member_state state = member_state::alive;
  /// Raised only by the host itself, to refute a suspicion or to announce a stop.
  std::uint32_t version = 0;

  friend bool operator==(const member&, const member&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->zone, this->front_address, this->peer_address, this->state,
            this->version);
  }
};

/// A generation of one service document that a host follows.
struct document_generation {
  service_name service;
  generation at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->at);
  }
};

/// A service document as hosts pass it on.
struct document_copy {
  service_name service;
  generation at;
  std::string text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->at, this->text);
  }
};

/// A probe, its answer, or a request to probe somebody else.
struct probe_message {
  enum class kind : std::uint8_t { ping, acknowledge, ping_request, documents };
  kind what = kind::ping;
  host_incarnation from;
  /// Where answers go.
  std::string reply_to;
  std::uint64_t sequence = 0;
  /// In a ping request: whom to probe for the sender.
  std::optional<host_incarnation> target;
  std::vector<member> updates;
  /// Digest over all document generations that the sender follows.
  std::uint64_t documents_digest = 0;
  /// Whether the sender knows that these generations are current; only then may
  /// another host become ready by agreeing with it.
  bool documents_current = false;
  /// Sent when digests differ: what the sender follows.
  std::vector<document_generation> document_generations;
  /// What the receiver lacked.
  std::vector<document_copy> documents;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->what, this->from, this->reply_to, this->sequence, this->target, this->updates,
            this->documents_digest, this->documents_current, this->document_generations,
            this->documents);
  }
};

}  // namespace hawthornlane
