// Service documents on one host: in force, offered by platform and peers, applied
// by operators.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "hawthornlane/document/service_document.h"
#include "hawthornlane/membership/messages.h"
#include "hawthornlane/node/audit_log.h"
#include "hawthornlane/node/runtime.h"
#include "hawthornlane/platform/object_store.h"
#include "hawthornlane/rollout/rollout_core.h"

namespace hawthornlane {

/// A caller's credential, resolved.
struct caller_identity {
  client_account account;
  service_name service;
};

/// One row of `document status`.
struct document_status {
  service_name service;
  generation at;
  std::string digest;
  std::string owner_team;
  duration in_force_for{};
};

/// An operator's wish to replace a document.
struct apply_request {
  service_name service;
  std::string text;
  std::string who;
  /// The generation that the operator read; 0 for a new document.
  generation expected;
  /// Digest of the checked text, repeated back when effects are dangerous.
  std::string confirmed_digest;
};

/// What became of it.
struct apply_result {
  std::optional<error_kind> error;
  std::string detail;
  generation at;
  std::string digest;
  std::vector<ini_problem> problems;
  std::vector<change_effect> effects;
};

/// Thread-safe. Documents are read through snapshots that never change.
class document_registry {
public:
  document_registry(runtime& time, object_store& platform, audit_log& audit, std::string host);

  void apply_object(const stored_object& object);
  void mark_complete();
  [[nodiscard]] bool ready() const;

  // Exchange with peers.
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] std::vector<document_generation> document_generations() const;
  [[nodiscard]] std::vector<document_copy> newer_than(
      const std::vector<document_generation>& theirs) const;
  void apply_copies(const std::vector<document_copy>& copies);

  [[nodiscard]] std::shared_ptr<const service_document> find(const service_name& service) const;
  [[nodiscard]] std::optional<caller_identity> identify(const std::string& credential) const;
  [[nodiscard]] std::vector<document_status> status() const;
  [[nodiscard]] std::optional<std::string> text_of(const service_name& service,
                                                   generation& at) const;

  /// Checks, compares with the version read, writes, and puts in force here.
  boost::asio::awaitable<apply_result> apply(apply_request request, fleet_view fleet);
  /// Checks only.
  apply_result check(const apply_request& request, const fleet_view& fleet) const;

private:
  void offer(const service_name& service, generation at, const std::string& text);
  void index_credentials();
  boost::asio::awaitable<apply_result> store(const apply_request& request, apply_result checked);

  runtime& time;
  object_store& platform;
  audit_log& audit;
  std::string host;
  mutable std::mutex mutex;
  rollout_core rollout;
  /// Invariant: holds the parsed form of each document in force that parses.
  std::map<service_name, std::shared_ptr<const service_document>> parsed;
  /// Invariant: names exactly the credentials of `parsed`; of two services with
  /// the same one, the first in order of names.
  std::unordered_map<std::string, caller_identity> by_credential;
};

}  // namespace hawthornlane
