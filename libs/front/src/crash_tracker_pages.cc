// What operators see and change of the requests that crash servers.
#include <fmt/format.h>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/front/crash_tracker.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::front {
namespace {

std::string_view name_of(crash_standing standing) {
  switch (standing) {
    case crash_standing::unsuspected:
      return "unsuspected";
    case crash_standing::suspected:
      return "suspected";
    case crash_standing::blocked:
      return "blocked";
  }
  return "";
}

}  // namespace

std::string crash_tracker::describe() const {
  std::string text;
  for (const crash_report& report : this->table.reports(discovery::scheduler_now())) {
    const crash_standing standing = this->standing(report.request);
    if (standing == crash_standing::unsuspected) {
      continue;
    }
    text += fmt::format("{} {} crashes {} age_s {} version {}\n", text_of(report.request),
                        name_of(standing), this->table.crashed_under(report.request).size(),
                        std::chrono::duration_cast<std::chrono::seconds>(report.age).count(),
                        report.version.get());
  }
  return text;
}

bool crash_tracker::lift(const request_fingerprint& request) {
  const std::vector<server_process_key> servers = this->table.crashed_under(request);
  if (servers.empty()) {
    return false;
  }
  log(event::request_unblocked, {{"content", text_of(request)}});
  this->clear(request, servers);
  return true;
}

}  // namespace hawthornlane::front
