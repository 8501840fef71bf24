// Messages between front hosts on crashes under requests, and their form in the ledger.
#include "hawthornlane/front/crash_messages.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace hawthornlane::front {
namespace {

constexpr std::string_view program_prefix = "~\n";
constexpr std::string_view crash_prefix = "crash-";
constexpr std::string_view run_prefix = "run-";

turn_request reservation_of(const request_fingerprint& request, std::string id) {
  turn_request reserved;
  reserved.id = request_id(std::move(id));
  reserved.program = crash_program_of(request);
  reserved.max_output_tokens = token_count(1);
  reserved.budget = token_count(crash_table::max_crashes);
  reserved.retention = crash_table::lifetime;
  return reserved;
}

}  // namespace

program_id crash_program_of(const request_fingerprint& request) {
  return program_id(std::string(program_prefix) + text_of(request));
}

program_id first_crash_program() { return program_id(std::string(program_prefix)); }

turn_request crash_record_of(const request_fingerprint& request, server_process_key server) {
  // The request's text is part of the id, since ids are unique over all programs.
  return reservation_of(request,
                        fmt::format("{}{}-{:x}", crash_prefix, text_of(request), server.get()));
}

turn_request run_reservation_of(const request_fingerprint& request, const std::string& id) {
  return reservation_of(request, fmt::format("{}{}-{}", run_prefix, text_of(request), id));
}

std::optional<crash_report> crash_report_from(const ledger_record& record, wall_ms now) {
  const std::string_view program = record.program.get();
  if (!program.starts_with(program_prefix)) {
    return std::nullopt;
  }
  const auto request = fingerprint_from(program.substr(program_prefix.size()));
  const std::string_view id = record.state.id.get();
  if (!request || !id.starts_with(crash_prefix)) {
    return std::nullopt;
  }
  constexpr int hexadecimal = 16;
  const std::string_view number = id.substr(id.rfind('-') + 1);
  std::uint64_t server = 0;
  const auto read =
      std::from_chars(number.data(), number.data() + number.size(), server, hexadecimal);
  if (read.ec != std::errc{}) {
    return std::nullopt;
  }
  const bool counts = record.state.phase != reservation_phase::withdrawn;
  crash_report report;
  report.request = *request;
  report.crashes = {
      {server_process_key(server), counts ? crash_state::confirmed : crash_state::cleared}};
  const duration left = std::chrono::milliseconds(record.expires_at.get() - now.get());
  report.age = std::clamp<duration>(crash_table::lifetime - left, duration{},
                                    crash_table::lifetime - std::chrono::minutes(1));
  return report;
}

}  // namespace hawthornlane::front
