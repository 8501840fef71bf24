// The closed list of error kinds, and the table with the response to each.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hawthornlane {

/// All errors that a caller or an operator can see.
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
  stream_version_unknown,
  stream_version_gone,
  request_crashes_servers,
  overloaded,
  internal,
};

/// What the sender of a request may conclude from the error about the request.
enum class run_outcome : std::uint8_t {
  /// The call has not run, and never will under this ticket.
  not_run,
  /// The call may have reached a backend server.
  may_have_run,
  /// The call ran, but its response could not be stored.
  ran_not_kept,
  /// This host did not run the call. If the caller also sent it to another host, that host may
  /// have run it.
  not_run_here,
  /// The request was not a call, so there was nothing to run.
  not_a_call,
};

/// One row of the error table: the response to one kind of error.
struct error_answer {
  error_kind kind;
  std::string_view name;
  int http_status;
  run_outcome outcome;
  /// Whether the same request can succeed if it is sent again later.
  bool retry_later;
  std::string_view meaning;
};

/// All rows, in the order of the enumeration.
std::span<const error_answer> error_table();
/// The row of `kind`; every kind has one.
const error_answer& answer_for(error_kind kind);
/// The kind with that name, or nothing.
std::optional<error_kind> error_kind_from_name(std::string_view name);
/// Name of an outcome in responses, e.g. "not_run".
std::string_view outcome_name(run_outcome outcome);

/// The reason why a function returned no value.
///
/// Functions that can fail return `std::optional` and fill the `failure` that the caller passes
/// in. It is unchanged on success.
struct failure {
  error_kind kind = error_kind::internal;
  std::string detail;
};

}  // namespace hawthornlane
