// The service documents of one host: those in force, those offered by the platform and by
// peers, and those applied by operators.
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

/// The account and service that a caller's credential belongs to.
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

/// An operator's request to replace a document.
struct apply_request {
  service_name service;
  std::string text;
  std::string who;
  /// The generation that the operator last read; 0 for a new document.
  generation expected;
  /// Digest that the preceding check of the text returned. Required to confirm a change with
  /// dangerous effects.
  std::string confirmed_digest;
};

/// The result of an `apply_request`.
struct apply_result {
  std::optional<error_kind> error;
  std::string detail;
  generation at;
  std::string digest;
  std::vector<ini_problem> problems;
  std::vector<change_effect> effects;
};

/// Thread-safe. Readers get immutable snapshots of documents.
class document_registry {
public:
  document_registry(runtime& time, object_store& platform, audit_log& audit, std::string host);

  void apply_object(const stored_object& object);
  /// Call this after all current documents have been offered; see `rollout_core`.
  void mark_complete();
  [[nodiscard]] bool ready() const;

  // Gossip with peers.
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] std::vector<document_generation> document_generations() const;
  /// Copies of the documents whose generation here is newer than in `theirs`.
  [[nodiscard]] std::vector<document_copy> newer_than(
      const std::vector<document_generation>& theirs) const;
  void apply_copies(const std::vector<document_copy>& copies);

  [[nodiscard]] std::shared_ptr<const service_document> find(const service_name& service) const;
  [[nodiscard]] std::optional<caller_identity> identify(const std::string& credential) const;
  [[nodiscard]] std::vector<document_status> status() const;
  [[nodiscard]] std::optional<std::string> text_of(const service_name& service,
                                                   generation& at) const;

  /// Checks the document, compares the stored generation with the one that the operator
  /// read, writes the document to the platform and puts it in force on this host.
  boost::asio::awaitable<apply_result> apply(apply_request request, fleet_view fleet);
  /// Only checks the document and lists its effects.
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
  /// Invariant: holds each document in force that can be parsed, in parsed form.
  std::map<service_name, std::shared_ptr<const service_document>> parsed;
  /// Invariant: contains exactly the credentials of `parsed`. A credential that two
  /// services share belongs to the one whose name sorts first.
  std::unordered_map<std::string, caller_identity> by_credential;
};

}  // namespace hawthornlane
