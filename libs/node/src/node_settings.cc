// The schema of the daemon's settings, and the checks across them.
#include "hawthornlane/node/node_settings.h"

namespace hawthornlane {
namespace {

constexpr double second = 1e6;
/// A quarter of the memory is for requests, and a request takes up to four times its body.
constexpr std::int64_t min_memory_per_body = 16;

std::vector<key_rule> make_schema() {
  using enum value_type;
  return {
      {"host", "name", name, true, "", 0, 0, "name of this host, unique in the region"},
      {"host", "availability_zone", name, true, "", 0, 0, "zone that this host is in"},
      {"host", "listen", address, true, "", 0, 0, "where callers and operators connect"},
      {"host", "peer_listen", address, true, "", 0, 0, "where other hosts connect"},
      {"host", "workers", integer, false, "2", 1, 64, "worker threads"},
      {"host", "memory_mb", integer, false, "512", 32, 1048576, "memory limit of the process, MB"},
      {"host", "max_descriptors", integer, false, "0", 0, 1048576,
       "descriptors that the process may open, files included; 0: the kernel's limit of the "
       "process"},
      {"platform", "address", address, true, "", 0, 0, "the platform's object API"},
      {"peers", "seeds", list, false, "", 0, 0,
       "peer addresses to contact at a start while the platform is down"},
      {"peers", "suspicion", time, false, "3 s", second / 10, 60 * second,
       "how long a silent host is suspected before it counts as gone"},
      {"shards", "count", integer, false, "64", 1, 4096,
       "shards of the region; the same at all hosts, and never changed"},
      {"shards", "replicas", integer, false, "2", 1, 4,
       "copies of a shard's log in addition to the owner's"},
      {"callers", "address_time", time, false, "30 s", second, 3600 * second,
       "how long callers may keep an address answer"},
      {"callers", "keep_answers", time, false, "2 min", second, 24 * 3600 * second,
       "how long the answers of an ended program can be fetched"},
      {"callers", "largest_body", integer, false, "4194304", 1024, 16777216,
       "largest request body, bytes"},
      {"operators", "credential", text, true, "", 0, 0, "secret that operators' clients send"},
      {"log", "format", name, false, "text", 0, 0, "text or json"},
  };
}

void check_consistency(const checked_values& values, std::vector<ini_problem>& problems) {
  constexpr std::size_t min_credential_length = 16;
  if (values.text("operators", "credential").size() < min_credential_length) {
    problems.push_back({values.line_of("operators", "credential"),
                        "[operators] credential is shorter than 16 characters"});
  }
  constexpr std::int64_t bytes_per_mb = std::int64_t{1024} * 1024;
  const std::int64_t memory = values.integer("host", "memory_mb") * bytes_per_mb;
  if (values.integer("callers", "largest_body") > memory / min_memory_per_body) {
    problems.push_back({values.line_of("callers", "largest_body"),
                        "[callers] largest_body needs a [host] memory_mb of 16 times its size"});
  }
  const std::string format = values.text("log", "format");
  if (format != "text" && format != "json") {
    problems.push_back({values.line_of("log", "format"),
                        "[log] format: '" + format + "' is neither text nor json"});
  }
  if (values.text("host", "listen") == values.text("host", "peer_listen") &&
      !values.text("host", "listen").ends_with(":0")) {
    problems.push_back({values.line_of("host", "peer_listen"),
                        "[host] peer_listen is the same address as listen"});
  }
}

}  // namespace

const std::vector<key_rule>& node_schema() {
  static const std::vector<key_rule> schema = make_schema();
  return schema;
}

std::optional<node_settings> read_node_settings(std::string_view text,
                                                std::vector<ini_problem>& problems) {
  std::vector<ini_problem> found;
  const checked_values values = check_ini(read_ini(text), node_schema(), found);
  if (found.empty()) {
    check_consistency(values, found);
  }
  if (!found.empty()) {
    problems.insert(problems.end(), found.begin(), found.end());
    return std::nullopt;
  }
  node_settings settings;
  settings.host = host_id(values.text("host", "name"));
  settings.zone = availability_zone(values.text("host", "availability_zone"));
  settings.listen = *http::endpoint_from_string(values.text("host", "listen"));
  settings.peer_listen = values.text("host", "peer_listen");
  settings.memory_mb = static_cast<std::uint64_t>(values.integer("host", "memory_mb"));
  settings.max_descriptors = static_cast<std::uint64_t>(values.integer("host", "max_descriptors"));
  settings.workers = static_cast<std::uint32_t>(values.integer("host", "workers"));
  settings.platform = *http::endpoint_from_string(values.text("platform", "address"));
  settings.seeds = values.list("peers", "seeds");
  settings.suspicion = values.time("peers", "suspicion");
  settings.shards = static_cast<std::uint32_t>(values.integer("shards", "count"));
  settings.replicas = static_cast<std::uint32_t>(values.integer("shards", "replicas"));
  settings.address_time = values.time("callers", "address_time");
  settings.keep_answers = values.time("callers", "keep_answers");
  settings.largest_body = static_cast<std::uint64_t>(values.integer("callers", "largest_body"));
  settings.operator_credential = values.text("operators", "credential");
  settings.log = values.text("log", "format") == "json" ? log_format::json : log_format::text;
  return settings;
}

}  // namespace hawthornlane
