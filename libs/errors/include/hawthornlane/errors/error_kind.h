// The closed list of error kinds and the table that says how each is answered.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hawthornlane {

/// Everything that can go wrong, as a caller or an operator can be told of it.
enum class error_kind : std::uint8_t {
  bad_request,
  body_too_large,
  request_timeout,
  not_authenticated,
  not_permitted,
  not_found,
  program_unknown,
  program_closed,
  wrong_ticket,
  turn_in_progress,
  history_incomplete,
  not_run,
  may_have_run,
  ran_not_kept,
  budget_exhausted,
  over_limit,
  no_backend_server,
  backend_failed,
  not_owner,
  host_leaving,
  not_ready,
  version_conflict,
  confirmation_required,
  document_invalid,
  platform_unavailable,
  peer_unavailable,
  header_too_large,
  deadline_exceeded,
  turn_unknown,
  history_unavailable,
  no_listed_server,
  quota_unknown,
  internal,
};

/// What the receiver may conclude about the request it sent.
enum class run_outcome : std::uint8_t {
  /// Provably not run, and never will be under this ticket.
  not_run,
  /// It may have reached a backend server.
  may_have_run,
  /// It ran, but its answer could not be kept.
  ran_not_kept,
  /// This host did not run it; says nothing about copies sent elsewhere.
  not_run_here,
  /// The request was not a call, so nothing could run.
  not_a_call,
};

/// One row of the table kind -> answer.
struct error_answer {
  error_kind kind;
  std::string_view name;
  int http_status;
  run_outcome outcome;
  /// Whether the same request, sent again after a wait, can succeed.
  bool retry_later;
  std::string_view meaning;
};

/// All rows, in the order of the enumeration.
std::span<const error_answer> error_table();
/// The row of `kind`. Total: every kind has one.
const error_answer& answer_for(error_kind kind);
/// The kind whose row has that name, or nothing.
std::optional<error_kind> error_kind_from_name(std::string_view name);
/// Name of an outcome as it stands in answers, e.g. "not_run".
std::string_view outcome_name(run_outcome outcome);

/// The last reason why a function returned no value.
///
/// Functions that can fail return `std::optional` and fill the `failure` that
/// the caller passes in; it is unchanged on success.
struct failure {
  error_kind kind = error_kind::internal;
  std::string detail;
};

}  // namespace hawthornlane
