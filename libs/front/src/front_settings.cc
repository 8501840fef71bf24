// Settings of a front host and their checks.
#include "hawthornlane/front/front_settings.h"

#include "hawthornlane/platform_adapter/contract_terms.h"

namespace hawthornlane::front {
namespace {

constexpr double second = 1e6;

std::vector<key_rule> make_schema() {
  using enum value_type;
  return {
      {"host", "memory_mb", integer, true, "", 16, 1048576, "memory limit of the process, MB"},
      {"callers", "listen", address, true, "", 0, 0, "where callers connect"},
      {"callers", "ready_listen", address, true, "", 0, 0, "where the platform checks readiness"},
      {"callers", "directory_listen", address, true, "", 0, 0, "where callers look up addresses"},
      {"callers", "address_time", time, false, "2 s", second / 10, 60 * second,
       "how long callers may cache an address answer; a stopping host keeps serving three times "
       "as long"},
      {"callers", "grace", time, true, "", second, 3600 * second,
       "time between the request to stop and the kill"},
      {"scheduling", "terms", list, false, "", 0, 0,
       "terms of the deployment's contract; under `pressure` the speed of servers is learned"},
      {"scheduling", "claim_places", yes_no, false, "no", 0, 0,
       "whether calls for full servers queue at the servers' directory hosts, most urgent first"},
  };
}

}  // namespace

const std::vector<key_rule>& front_schema() {
  static const std::vector<key_rule> schema = discovery::with_host_rules(make_schema());
  return schema;
}

std::optional<front_settings> read_front_settings(std::string_view text,
                                                  std::vector<ini_problem>& problems) {
  std::vector<ini_problem> found;
  const checked_values values = check_ini(read_ini(text), front_schema(), found);
  if (!found.empty()) {
    problems.insert(problems.end(), found.begin(), found.end());
    return std::nullopt;
  }
  front_settings settings;
  static_cast<discovery::host_settings&>(settings) = discovery::host_settings_from(values);
  settings.callers_at = discovery::address_of(values, "callers", "listen");
  settings.ready_at = discovery::address_of(values, "callers", "ready_listen");
  settings.directory_at = discovery::address_of(values, "callers", "directory_listen");
  settings.address_time = values.time("callers", "address_time");
  settings.grace = values.time("callers", "grace");
  settings.contended = platform_adapter::is_contended(values.list("scheduling", "terms"));
  settings.claims_places = values.yes("scheduling", "claim_places");
  return settings;
}

pool_rules front_settings::pool() const {
  pool_rules rules;
  rules.claims_places = this->claims_places;
  rules.learns_speed = this->contended;
  return rules;
}

}  // namespace hawthornlane::front
