// Commands for operators.
#include "commands.h"

#include "json_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

namespace hawthornlane::cli {
namespace json = boost::json;

namespace {

constexpr int first_error_status = 400;
constexpr int max_status_polls = 75;
constexpr auto status_poll_interval = std::chrono::milliseconds(200);

/// Prints rows as a table. The first row defines the columns and their order.
void print_table(const json::array& rows) {
  if (rows.empty()) {
    fmt::print("(none)\n");
    return;
  }
  std::vector<std::string> columns;
  for (const auto& item : rows.front().as_object()) {
    columns.emplace_back(item.key());
  }
  std::vector<std::size_t> widths;
  for (const std::string& column : columns) {
    std::size_t width = column.size();
    for (const json::value& row : rows) {
      const json::value* cell = row.as_object().if_contains(column);
      width = std::max(width, cell == nullptr ? 0 : as_text(*cell).size());
    }
    widths.push_back(width);
  }
  for (std::size_t at = 0; at < columns.size(); ++at) {
    fmt::print("{:<{}}  ", columns[at], widths[at]);
  }
  fmt::print("\n");
  for (const json::value& row : rows) {
    for (std::size_t at = 0; at < columns.size(); ++at) {
      const json::value* cell = row.as_object().if_contains(columns[at]);
      fmt::print("{:<{}}  ", cell == nullptr ? "" : as_text(*cell), widths[at]);
    }
    fmt::print("\n");
  }
}

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    fmt::print(stderr, "{}: cannot read the file\n", path);
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Extracts the service's name from a document's text, for the request's URL. The daemon validates
/// the document.
std::string service_in(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  bool in_service = false;
  while (std::getline(lines, line)) {
    if (line.starts_with("[")) {
      in_service = line.starts_with("[service]");
    }
    const std::size_t equals = line.find('=');
    if (!in_service || equals == std::string::npos || line.substr(0, 4) != "name") {
      continue;
    }
    const std::size_t begin = line.find_first_not_of(" \t", equals + 1);
    const std::size_t end = line.find_last_not_of(" \t\r");
    if (begin != std::string::npos) {
      return line.substr(begin, end - begin + 1);
    }
  }
  return "unnamed";
}

int unreachable(const std::string& reason) {
  fmt::print(stderr, "no host responds: {}\n", reason);
  return exit_unreachable;
}

void print_findings(const json::object& body) {
  for (const char* kind : {"problems", "effects"}) {
    const json::value* items = body.if_contains(kind);
    if (items == nullptr || !items->is_array()) {
      continue;
    }
    for (const json::value& item : items->as_array()) {
      const json::object& finding = item.as_object();
      const std::string line = field(finding, "line");
      const bool dangerous = field(finding, "dangerous") == "true";
      fmt::print("{}{}{}\n", line.empty() || line == "0" ? "" : "line " + line + ": ",
                 dangerous ? "DANGEROUS: " : "", field(finding, "message"));
    }
  }
}

int report_refusal(const http::response& answer, const json::object& body) {
  fmt::print(stderr, "refused ({}): {}{}{}\n", answer.status, field(body, "meaning"),
             field(body, "detail").empty() ? "" : ": ", field(body, "detail"));
  if (field(body, "error") == "confirmation_required") {
    fmt::print(stderr, "to confirm, repeat the command with --confirm {}\n", field(body, "digest"));
  }
  return exit_refused;
}

/// Requests JSON and prints it, or passes it to `show` when tables are wanted.
template <class Show>
int show_answer(connection& hosts, const std::string& target, output options, Show show) {
  std::string reason;
  const auto answer = hosts.ask("GET", target, "", reason);
  if (!answer) {
    return unreachable(reason);
  }
  const json::object body = parsed_object(answer->body);
  if (options.json) {
    fmt::print("{}\n", json::serialize(body));
  }
  if (answer->status >= first_error_status) {
    return report_refusal(*answer, body);
  }
  if (!options.json) {
    show(body);
  }
  return exit_ok;
}

struct fleet_status {
  std::size_t hosts = 0;
  std::size_t in_force = 0;
  std::vector<std::string> outdated;
};

/// Asks every live host which generation of the document it uses.
fleet_status query_fleet(connection& hosts, const std::string& service,
                         std::uint64_t expected_generation) {
  fleet_status status;
  std::string reason;
  const auto listing = hosts.ask("GET", "/v1/admin/hosts", "", reason);
  if (!listing) {
    return status;
  }
  const json::object body = parsed_object(listing->body);
  for (const json::value& row : body.at("hosts").as_array()) {
    const json::object& host = row.as_object();
    const auto address = http::endpoint_from_string(field(host, "address"));
    if (field(host, "state") == "gone" || !address) {
      continue;
    }
    ++status.hosts;
    http::fetch_failure why;
    const auto shown = hosts.ask_one(*address, "GET", "/v1/admin/documents/" + service, "", why);
    const json::object document = shown ? parsed_object(shown->body) : json::object();
    const json::value* at = document.if_contains("generation");
    if (at != nullptr && at->to_number<std::uint64_t>() >= expected_generation) {
      ++status.in_force;
    } else {
      status.outdated.push_back(field(host, "host"));
    }
  }
  return status;
}

int wait_in_force(connection& hosts, const std::string& service,
                  std::uint64_t expected_generation) {
  const auto began = std::chrono::steady_clock::now();
  fleet_status status;
  for (int attempt = 0; attempt < max_status_polls; ++attempt) {
    status = query_fleet(hosts, service, expected_generation);
    if (status.hosts > 0 && status.in_force == status.hosts) {
      const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
      fmt::print("in force on {} of {} hosts after {:.2f} s\n", status.in_force, status.hosts,
                 took.count());
      return exit_ok;
    }
    std::this_thread::sleep_for(status_poll_interval);
  }
  fmt::print(stderr, "in force on {} of {} hosts; behind: {}\n", status.in_force, status.hosts,
             fmt::join(status.outdated, ", "));
  return exit_error;
}

std::uint64_t current_generation(connection& hosts, const std::string& service) {
  std::string reason;
  const auto answer = hosts.ask("GET", "/v1/admin/documents/" + service, "", reason);
  if (!answer || answer->status >= first_error_status) {
    return 0;
  }
  const json::object body = parsed_object(answer->body);
  return body.at("generation").to_number<std::uint64_t>();
}

}  // namespace

int document_check(connection& hosts, const std::string& file, output options) {
  const auto text = read_file(file);
  if (!text) {
    return exit_usage;
  }
  std::string reason;
  const auto answer = hosts.ask("POST", "/v1/admin/documents/" + service_in(*text), *text, reason);
  if (!answer) {
    return unreachable(reason);
  }
  const json::object body = parsed_object(answer->body);
  if (options.json) {
    fmt::print("{}\n", json::serialize(body));
  } else {
    print_findings(body);
    fmt::print("digest {}\n", field(body, "digest"));
  }
  const std::string error = field(body, "error");
  if (error == "confirmation_required" || error.empty()) {
    return exit_ok;
  }
  return report_refusal(*answer, body);
}

int document_diff(connection& hosts, const std::string& file, output options) {
  const auto text = read_file(file);
  if (!text) {
    return exit_usage;
  }
  std::string reason;
  const auto answer = hosts.ask("GET", "/v1/admin/documents/" + service_in(*text), "", reason);
  if (!answer) {
    return unreachable(reason);
  }
  const std::string before = field(parsed_object(answer->body), "text");
  const auto lines_of = [](const std::string& whole) {
    std::vector<std::string> lines;
    std::istringstream in(whole);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
    return lines;
  };
  const auto old_lines = lines_of(before);
  const auto new_lines = lines_of(*text);
  const auto is_in = [](const std::vector<std::string>& lines, const std::string& line) {
    return std::find(lines.begin(), lines.end(), line) != lines.end();
  };
  json::array changes;
  for (const std::string& line : old_lines) {
    if (!is_in(new_lines, line)) {
      changes.push_back(json::value("- " + line));
    }
  }
  for (const std::string& line : new_lines) {
    if (!is_in(old_lines, line)) {
      changes.push_back(json::value("+ " + line));
    }
  }
  if (options.json) {
    fmt::print("{}\n", json::serialize(changes));
    return exit_ok;
  }
  for (const json::value& change : changes) {
    fmt::print("{}\n", as_text(change));
  }
  return exit_ok;
}

int document_apply(connection& hosts, const std::string& file, const std::string& confirm,
                   bool wait, output options) {
  const auto text = read_file(file);
  if (!text) {
    return exit_usage;
  }
  const std::string service = service_in(*text);
  const std::uint64_t expected = current_generation(hosts, service);
  std::string reason;
  const auto answer = hosts.ask("PUT",
                                "/v1/admin/documents/" + service +
                                    "?expected=" + std::to_string(expected) + "&confirm=" + confirm,
                                *text, reason);
  if (!answer) {
    return unreachable(reason);
  }
  const json::object body = parsed_object(answer->body);
  if (options.json) {
    fmt::print("{}\n", json::serialize(body));
  } else {
    print_findings(body);
  }
  if (answer->status >= first_error_status) {
    return report_refusal(*answer, body);
  }
  const auto at = body.at("generation").to_number<std::uint64_t>();
  if (!options.json) {
    fmt::print("service {} is at generation {}\n", service, at);
  }
  return wait ? wait_in_force(hosts, service, at) : exit_ok;
}

int document_status(connection& hosts, output options) {
  return show_answer(hosts, "/v1/admin/documents", options, [&hosts](const json::object& body) {
    for (const json::value& row : body.at("documents").as_array()) {
      const json::object& document = row.as_object();
      const std::string service = field(document, "service");
      const auto at = document.at("generation").to_number<std::uint64_t>();
      const fleet_status fleet = query_fleet(hosts, service, at);
      fmt::print(
          "{}  generation {}  digest {}  team {}  in force on {} of {} hosts{}\n", service, at,
          field(document, "digest"), field(document, "owner_team"), fleet.in_force, fleet.hosts,
          fleet.outdated.empty() ? ""
                                 : fmt::format("; behind: {}", fmt::join(fleet.outdated, ", ")));
    }
  });
}

int document_show(connection& hosts, const std::string& service, output options) {
  return show_answer(hosts, "/v1/admin/documents/" + service, options,
                     [](const json::object& body) {
                       fmt::print("# generation {}, digest {}\n{}", field(body, "generation"),
                                  field(body, "digest"), field(body, "text"));
                     });
}

int audit(connection& hosts, const std::string& subject, output options) {
  return show_answer(hosts, "/v1/admin/audit", options, [&subject](const json::object& body) {
    json::array rows;
    for (const json::value& row : body.at("entries").as_array()) {
      if (subject.empty() || field(row.as_object(), "subject") == subject) {
        rows.push_back(row);
      }
    }
    print_table(rows);
    if (field(body, "platform_reachable") == "false") {
      fmt::print(stderr,
                 "the platform does not respond: showing only the latest entries of this host\n");
    }
  });
}

int document_history(connection& hosts, const std::string& service, output options) {
  return audit(hosts, service, options);
}

int list(connection& hosts, const std::string& what, output options) {
  return show_answer(hosts, "/v1/admin/" + what, options,
                     [&what](const json::object& body) { print_table(body.at(what).as_array()); });
}

int program_show(connection& hosts, const std::string& program, output options) {
  return show_answer(hosts, "/v1/admin/programs/" + program, options,
                     [](const json::object& body) { print_table(json::array{body}); });
}

int drain(connection& hosts, output options) {
  std::string reason;
  const auto answer = hosts.ask("POST", "/v1/admin/drain", "", reason);
  if (!answer) {
    return unreachable(reason);
  }
  const json::object body = parsed_object(answer->body);
  if (options.json) {
    fmt::print("{}\n", json::serialize(body));
  } else {
    fmt::print("host {} is {}\n", field(body, "host"), field(body, "state"));
  }
  return answer->status < first_error_status ? exit_ok : report_refusal(*answer, body);
}

}  // namespace hawthornlane::cli
