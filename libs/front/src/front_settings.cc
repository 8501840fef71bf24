// A front host's settings and their checks.
#include "hawthornlane/front/front_settings.h"

namespace hawthornlane::front {
namespace {

constexpr double second = 1e6;

std::vector<key_rule> make_schema() {
  using enum value_type;
  return {
      {"host", "name", name, true, "", 0, 0, "name of this host, unique in the deployment"},
      {"host", "availability_zone", name, true, "", 0, 0, "zone that this host is in"},
      {"host", "region", name, true, "", 0, 0, "region that this host is in"},
      {"host", "memory_mb", integer, true, "", 16, 1048576, "memory that the process may use, MB"},
      {"callers", "listen", address, true, "", 0, 0, "where callers connect"},
      {"callers", "ready_listen", address, true, "", 0, 0, "where readiness is asked for"},
      {"callers", "directory_listen", address, true, "", 0, 0, "where callers ask for addresses"},
      {"callers", "address_time", time, false, "2 s", second / 10, 60 * second,
       "how long callers may keep an address answer; a leaving host keeps serving three times "
       "as long"},
      {"callers", "grace", time, true, "", second, 3600 * second,
       "between the request to stop and the kill"},
      {"peers", "listen", address, true, "", 0, 0, "where other hosts connect"},
      {"metrics", "listen", address, true, "", 0, 0, "where metrics are read"},
      {"platform", "address", address, true, "", 0, 0, "the platform's store"},
  };
}

}  // namespace

const std::vector<key_rule>& front_schema() {
  static const std::vector<key_rule> schema = make_schema();
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
  const auto address = [&values](const char* section, const char* key) {
    return *http::endpoint_from_string(values.text(section, key));
  };
  front_settings settings;
  settings.host = host_id(values.text("host", "name"));
  settings.zone = availability_zone(values.text("host", "availability_zone"));
  settings.region = values.text("host", "region");
  settings.memory_mb = static_cast<std::uint64_t>(values.integer("host", "memory_mb"));
  settings.callers_at = address("callers", "listen");
  settings.ready_at = address("callers", "ready_listen");
  settings.directory_at = address("callers", "directory_listen");
  settings.address_time = values.time("callers", "address_time");
  settings.grace = values.time("callers", "grace");
  settings.peers_at = address("peers", "listen");
  settings.metrics_at = address("metrics", "listen");
  settings.store = address("platform", "address");
  return settings;
}

}  // namespace hawthornlane::front
