// The service document: the configuration of one service, written by its operators.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornlane/settings/schema.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// The settings of one client account of a service.
struct account_settings {
  client_account account;
  std::string credential;
  /// Share of the service under contention, relative to other accounts.
  double weight = 1;
  /// Maximum number of this account's calls in flight, over the whole fleet.
  std::int64_t concurrent_calls = 0;
};

/// The settings of a tool: a plain service that programs may call.
struct tool_settings {
  std::string name;
  /// Whether a call may run more than once; if not, it runs at most once.
  bool repeatable = false;
  /// Time limit of one call.
  duration timeout{};
};

/// Everything that the owners of a service configure. No value disables a guarantee.
struct service_document {
  service_name service;
  std::string owner_team;
  /// Empty when the service calls tools only.
  model_name model;
  token_count max_answer_tokens{0};
  /// Weight of program latency against wasted cache: 1 counts only latency, 0 only cache.
  double latency_weight = 0.5;
  /// Time limit of a model call, counted from its arrival. After it a queued call is refused.
  duration call_deadline{};
  /// A program without calls for longer than this is ended and its cache released.
  duration idle_time{};
  /// Maximum number of calls in flight, over the whole fleet.
  std::int64_t concurrent_calls = 0;
  token_count budget_tokens{0};
  std::int64_t budget_turns = 0;
  std::int64_t budget_tool_calls = 0;
  duration budget_wall_time{};
  std::vector<account_settings> accounts;
  std::vector<tool_settings> tools;

  [[nodiscard]] const tool_settings* find_tool(std::string_view name) const;
  [[nodiscard]] const account_settings* find_credential(std::string_view credential) const;
};

/// The keys that a document may contain.
const std::vector<key_rule>& document_schema();

/// Reads and checks a document's text. On failure it returns nothing and appends every
/// problem, with its line, to `problems`.
std::optional<service_document> read_document(std::string_view text,
                                              std::vector<ini_problem>& problems);

/// Digest of a document's text. Operators send it to confirm a dangerous change.
std::string document_digest(std::string_view text);

/// The servers and programs that a document affects, as known to one host.
struct fleet_view {
  /// Live backend servers by the model that they hold.
  std::map<model_name, std::int64_t> servers_by_model;
  /// Live backend servers by the tool that they offer.
  std::map<std::string, std::int64_t> servers_by_tool;
  /// Usage of one running program of the service.
  struct running_program {
    token_count charged{0};
    std::int64_t turns = 0;
  };
  std::vector<running_program> running;
};

/// One effect that a change of a document has on the running fleet.
struct change_effect {
  int line = 0;
  std::string message;
  /// If true, the operator must confirm the change by sending the digest that the check returned.
  bool dangerous = false;
};

/// The effects of replacing `before`, if there is one, by `after`.
std::vector<change_effect> effects_of(const std::optional<service_document>& before,
                                      const service_document& after, const fleet_view& fleet);

}  // namespace hawthornlane
