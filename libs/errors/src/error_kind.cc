// The table of error kinds and their responses.
#include "hawthornlane/errors/error_kind.h"

#include <array>
#include <cstddef>

namespace hawthornlane {
namespace {

using enum error_kind;
using outcome = run_outcome;

constexpr std::array table{
    error_answer{bad_request, "bad_request", 400, outcome::not_run_here, false,
                 "the request is malformed"},
    error_answer{body_too_large, "body_too_large", 413, outcome::not_run_here, false,
                 "the request body exceeds the limit"},
    error_answer{request_timeout, "request_timeout", 408, outcome::not_run_here, true,
                 "the request did not arrive in time"},
    error_answer{not_authenticated, "not_authenticated", 401, outcome::not_run_here, false,
                 "the credential is missing or unknown"},
    error_answer{not_permitted, "not_permitted", 403, outcome::not_run_here, false,
                 "the client account may not do this"},
    error_answer{not_found, "not_found", 404, outcome::not_a_call, false, "no such resource"},
    error_answer{program_unknown, "program_unknown", 404, outcome::not_run_here, false,
                 "no such program is known for this client account"},
    error_answer{program_closed, "program_closed", 409, outcome::not_run, false,
                 "the program has ended"},
    error_answer{wrong_ticket, "wrong_ticket", 409, outcome::not_run_here, false,
                 "the ticket was never issued for this program"},
    error_answer{turn_in_progress, "turn_in_progress", 409, outcome::may_have_run, true,
                 "this ticket's call is running; ask for its answer later"},
    error_answer{history_incomplete, "history_incomplete", 409, outcome::not_run_here, false,
                 "the history held here differs from the one that the caller names"},
    error_answer{not_run, "not_run", 409, outcome::not_run, false,
                 "the call was not run and never will be under this ticket"},
    error_answer{may_have_run, "may_have_run", 502, outcome::may_have_run, false,
                 "the call may have run; its answer is not known"},
    error_answer{ran_not_kept, "ran_not_kept", 502, outcome::ran_not_kept, false,
                 "the call ran, but its answer was not kept"},
    error_answer{budget_exhausted, "budget_exhausted", 402, outcome::not_run, false,
                 "the call does not fit into the program's budget"},
    error_answer{over_limit, "over_limit", 429, outcome::not_run, true,
                 "the client account or the service is at its limit"},
    error_answer{no_backend_server, "no_backend_server", 503, outcome::not_run, true,
                 "no backend server can take the call"},
    error_answer{backend_failed, "backend_failed", 502, outcome::may_have_run, false,
                 "the backend server failed during the call"},
    error_answer{not_owner, "not_owner", 421, outcome::not_run_here, true,
                 "another host owns the program"},
    error_answer{host_leaving, "host_leaving", 503, outcome::not_run_here, true,
                 "this host is stopping; ask another"},
    error_answer{not_ready, "not_ready", 503, outcome::not_run_here, true,
                 "this host cannot serve the request yet"},
    error_answer{version_conflict, "version_conflict", 409, outcome::not_a_call, false,
                 "somebody else changed the object meanwhile"},
    error_answer{confirmation_required, "confirmation_required", 428, outcome::not_a_call, false,
                 "the change is dangerous and needs the digest of the checked text"},
    error_answer{document_invalid, "document_invalid", 422, outcome::not_a_call, false,
                 "the service document has errors"},
    error_answer{platform_unavailable, "platform_unavailable", 503, outcome::not_a_call, true,
                 "the platform's object API does not answer"},
    error_answer{peer_unavailable, "peer_unavailable", 503, outcome::not_run_here, true,
                 "the host that owns the program cannot be reached"},
    error_answer{header_too_large, "header_too_large", 431, outcome::not_run_here, false,
                 "the request's head exceeds the limit"},
    error_answer{deadline_exceeded, "deadline_exceeded", 504, outcome::may_have_run, false,
                 "no whole answer came within the time that the call had"},
    error_answer{turn_unknown, "turn_unknown", 404, outcome::not_run, false,
                 "the turn that this one goes on from does not exist"},
    error_answer{history_unavailable, "history_unavailable", 503, outcome::not_run, true,
                 "too few disk hosts answer to read or keep what was said"},
    error_answer{no_listed_server, "no_listed_server", 503, outcome::not_run, true,
                 "no backend server of the service is registered"},
    error_answer{quota_unknown, "quota_unknown", 503, outcome::not_run, true,
                 "no disk host answers that keeps the client account's quota"},
    error_answer{stream_version_unknown, "stream_version_unknown", 503, outcome::not_run, false,
                 "the software version that began the stream is not known; begin it anew"},
    error_answer{stream_version_gone, "stream_version_gone", 503, outcome::not_run, false,
                 "no server of the software version that began the stream is left; begin it anew"},
    error_answer{request_crashes_servers, "request_crashes_servers", 400, outcome::may_have_run,
                 false, "several backend servers have crashed under this request"},
    error_answer{overloaded, "overloaded", 503, outcome::not_run_here, true,
                 "clients make this host hold too much; send it again later"},
    error_answer{internal, "internal", 500, outcome::may_have_run, false, "a fault in the host"},
};

constexpr bool rows_follow_enumeration() {
  for (std::size_t row = 0; row < table.size(); ++row) {
    if (static_cast<std::size_t>(table[row].kind) != row) {
      return false;
    }
  }
  return true;
}
static_assert(rows_follow_enumeration());
static_assert(table.size() == static_cast<std::size_t>(internal) + 1);

}  // namespace

std::span<const error_answer> error_table() { return table; }

const error_answer& answer_for(error_kind kind) { return table.at(static_cast<std::size_t>(kind)); }

std::optional<error_kind> error_kind_from_name(std::string_view name) {
  for (const error_answer& row : table) {
    if (row.name == name) {
      return row.kind;
    }
  }
  return std::nullopt;
}

std::string_view outcome_name(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::not_run:
      return "not_run";
    case run_outcome::may_have_run:
      return "may_have_run";
    case run_outcome::ran_not_kept:
      return "ran_not_kept";
    case run_outcome::not_run_here:
      return "not_run_here";
    case run_outcome::not_a_call:
      return "not_a_call";
  }
  return "not_a_call";
}

}  // namespace hawthornlane
