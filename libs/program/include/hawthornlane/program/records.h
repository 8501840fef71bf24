// The records that an owner appends to its shard's log.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "hawthornlane/program/ticket.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Budget of a program, from its service's document.
struct budget_limits {
  token_count tokens{0};
  std::uint32_t turns = 0;
  std::uint32_t tool_calls = 0;
  /// Milliseconds from the opening of the program to its last dispatch.
  std::int64_t wall_time_ms = 0;

  friend bool operator==(const budget_limits&, const budget_limits&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->tokens, this->turns, this->tool_calls, this->wall_time_ms);
  }
};

/// A program is opened.
struct program_opened {
  program_id program;
  client_account account;
  service_name service;
  budget_limits limits;
  /// Wall clock of the owner, milliseconds since 1970.
  std::int64_t opened_at_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->account, this->service, this->limits, this->opened_at_ms);
  }
};

/// A call is about to be sent. Logged before anything is sent to a backend server.
struct intent_logged {
  program_id program;
  /// The ticket that the call runs under; its epoch is that of the owner that logs it.
  ticket call_ticket;
  bool repeatable = true;
  token_count reserved{0};
  bool is_tool_call = false;
  backend_server_id server;
  /// Digest of the request body, to detect a different request under the same ticket.
  std::uint64_t request_digest = 0;

  friend bool operator==(const intent_logged&, const intent_logged&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->call_ticket, this->repeatable, this->reserved, this->is_tool_call,
            this->server, this->request_digest);
  }
};

/// A call ended; its answer becomes part of the history.
struct turn_finished {
  program_id program;
  ticket call_ticket;
  /// The request's new messages, which the call adds to the history, JSON text.
  std::string request;
  /// The whole answer, JSON text.
  std::string answer;
  token_count used{0};
  /// Whether the backend server reported a failure; the turn counts all the same.
  bool failed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->call_ticket, this->request, this->answer, this->used,
            this->failed);
  }
};

/// An intent whose call was certainly never sent; its reservation is released.
struct intent_voided {
  program_id program;
  ticket call_ticket;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->call_ticket);
  }
};

/// An intent whose call was sent and will have no result; charged in full.
struct intent_abandoned {
  program_id program;
  ticket call_ticket;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program, this->call_ticket);
  }
};

/// A program is closed; its answers can still be fetched until its state is dropped.
struct program_closed {
  program_id program;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program);
  }
};

/// The retention time of a closed program is over; its state is dropped.
struct program_removed {
  program_id program;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->program);
  }
};

/// One entry of a shard's log.
using log_record = std::variant<program_opened, intent_logged, turn_finished, intent_voided,
                                intent_abandoned, program_closed, program_removed>;

/// The program that a record is about.
const program_id& program_of(const log_record& record);

}  // namespace hawthornlane
