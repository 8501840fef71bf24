// The service document: the one thing that operators write.
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

/// A client account's part in a service.
struct account_settings {
  client_account account;
  std::string credential;
  /// Share of the service under contention, relative to other accounts.
  double weight = 1;
  /// Calls of this account that may be under way at once, fleet-wide.
  std::int64_t concurrent_calls = 0;
};

/// A plain service that programs may call.
struct tool_settings {
  std::string name;
  /// False: a call runs at most once.
  bool repeatable = false;
  duration timeout{};
};

/// Everything a service's owners decide. No value switches a guarantee off.
struct service_document {
  service_name service;
  std::string owner_team;
  /// Empty when the service only calls tools.
  model_name model;
  token_count max_answer_tokens{0};
  /// 1: only program latency counts; 0: only wasted cache counts.
  double latency_weight = 0.5;
  /// How late an answer is still of use, from the arrival of its call.
  duration call_deadline{};
  /// A program without calls for longer is ended and its cache released.
  duration idle_time{};
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

/// The keys that a document may hold.
const std::vector<key_rule>& document_schema();

/// Reads and checks a document's text; on failure nothing, and every problem with
/// its line is in `problems`.
std::optional<service_document> read_document(std::string_view text,
                                              std::vector<ini_problem>& problems);

/// Digest of a document's text, as operators repeat it to confirm a change.
std::string document_digest(std::string_view text);

/// What a document would act on, as one host sees the fleet.
struct fleet_view {
  /// Live backend servers by the model that they hold.
  std::map<model_name, std::int64_t> servers_by_model;
  /// Live backend servers by the plain service that they offer.
  std::map<std::string, std::int64_t> servers_by_tool;
  /// For each running program of the service: tokens charged and turns run.
  struct running_program {
    token_count charged{0};
    std::int64_t turns = 0;
  };
  std::vector<running_program> running;
};

/// What a change would do to the running fleet.
struct change_effect {
  int line = 0;
  std::string message;
  /// Dangerous effects need the digest of the checked text repeated.
  bool dangerous = false;
};

/// Effects of replacing `before` (if there is one) by `after`.
std::vector<change_effect> effects_of(const std::optional<service_document>& before,
                                      const service_document& after, const fleet_view& fleet);

}  // namespace hawthornlane
