// Messages between front hosts on crashes under requests, and their form in the ledger.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/front/turn_store.h"
#include "hawthornlane/limits/crash_table.h"
#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/turn_ledger/ledger_records.h"

namespace hawthornlane::front {

/// Crashes that the sender knows of. The answer has what the receiver knows of the same requests.
struct crash_message {
  std::vector<crash_report> reports;
  /// The answer should have all that the receiver knows.
  bool wants_all = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->reports, this->wants_all);
  }
};

/// The ledger counts the crashes under a request like the tokens of a program: its budget is
/// `crash_table::max_crashes`, each crash has used one, and each run of a suspected request
/// reserves one. So the limit holds over hosts, restarts and cuts.
///
/// These programs come after those of callers, who cannot send the line feed.
program_id crash_program_of(const request_fingerprint& request);
/// Position in the ledger before the first of these programs.
program_id first_crash_program();

/// The reservation that stands for the crash of one server.
turn_request crash_record_of(const request_fingerprint& request, server_process_key server);
/// The reservation for one run of a suspected request; `id` is unique.
turn_request run_reservation_of(const request_fingerprint& request, const std::string& id);

/// What a record of the ledger says; nothing if it is not the record of a crash or of a run.
std::optional<crash_report> crash_report_from(const ledger_record& record, wall_ms now);

}  // namespace hawthornlane::front
