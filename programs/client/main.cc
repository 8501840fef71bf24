// The command-line client for operators and callers.
#include <docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <sstream>

#include "commands.h"

namespace {

using namespace hawthornlane;

constexpr const char* usage =
    R"(hawthornlane: command-line client of the scheduler for agent programs.

Usage:
  hawthornlane [options] document check FILE
  hawthornlane [options] document diff FILE
  hawthornlane [options] document apply FILE [--confirm DIGEST] [--no-wait]
  hawthornlane [options] document status
  hawthornlane [options] document show SERVICE
  hawthornlane [options] document history SERVICE
  hawthornlane [options] audit [SUBJECT]
  hawthornlane [options] hosts
  hawthornlane [options] servers
  hawthornlane [options] programs
  hawthornlane [options] program show ID
  hawthornlane [options] drain
  hawthornlane [options] blocked
  hawthornlane [options] unblock CONTENT
  hawthornlane [options] call FILE
  hawthornlane explain ID LOG...
  hawthornlane --help

Options:
  --hosts ADDRESSES    Hosts to connect to, as a comma-separated list of IP:port. If
                       not given, the environment variable HAWTHORNLANE_HOSTS is used.
  --credential SECRET  Credential of the operator or caller. If not given, the
                       environment variable HAWTHORNLANE_CREDENTIAL is used.
  --as NAME            Name of the operator, for the audit trail. If not given, the
                       environment variable USER is used.
  --confirm DIGEST     Digest of the checked document; confirms a dangerous change.
  --no-wait            Do not wait until the document is in force on all hosts.
  --json               Print JSON instead of tables.
  --help               Show this help.

`blocked` lists the requests under which backend servers have crashed, and `unblock`
lets one run again; CONTENT is its hash in that list and in the logs. For both,
--hosts takes the metrics addresses of front hosts.

`explain` shows from the hosts' log files (LOG; "-" is standard input) what happened
to a request, or to all requests of a program, and the state known to the hosts at
that time. `drain` starts a planned stop of the first host that can be reached. The
FILE of `call` contains one call per line, as {"say": "..."} or {"tool": "...",
"path": "/...", "body": {...}}; "-" is standard input. Exit codes are listed in
docs/CLI.md.
)";

std::string option_or(const docopt::value& given, const char* variable) {
  if (given) {
    return given.asString();
  }
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

std::vector<http::endpoint> read_hosts(const std::string& text) {
  std::vector<http::endpoint> hosts;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) {
    if (const auto where = http::endpoint_from_string(item)) {
      hosts.push_back(*where);
    }
  }
  return hosts;
}

int run(std::map<std::string, docopt::value>& arguments, cli::connection& hosts) {
  const cli::output options{arguments.at("--json").asBool()};
  const auto chosen = [&arguments](const char* name) { return arguments.at(name).asBool(); };
  const auto text = [&arguments](const char* name) {
    return arguments.at(name) ? arguments.at(name).asString() : std::string();
  };
  if (chosen("document")) {
    if (chosen("check")) {
      return cli::document_check(hosts, text("FILE"), options);
    }
    if (chosen("diff")) {
      return cli::document_diff(hosts, text("FILE"), options);
    }
    if (chosen("apply")) {
      return cli::document_apply(hosts, text("FILE"), text("--confirm"), !chosen("--no-wait"),
                                 options);
    }
    if (chosen("status")) {
      return cli::document_status(hosts, options);
    }
    return chosen("show") ? cli::document_show(hosts, text("SERVICE"), options)
                          : cli::document_history(hosts, text("SERVICE"), options);
  }
  if (chosen("audit")) {
    return cli::audit(hosts, text("SUBJECT"), options);
  }
  for (const char* what : {"hosts", "servers", "programs"}) {
    if (chosen(what)) {
      return cli::list(hosts, what, options);
    }
  }
  if (chosen("program")) {
    return cli::program_show(hosts, text("ID"), options);
  }
  if (chosen("blocked")) {
    return cli::list_blocked(hosts);
  }
  if (chosen("unblock")) {
    return cli::unblock(hosts, text("CONTENT"));
  }
  if (chosen("drain")) {
    return cli::drain(hosts, options);
  }
  return cli::call(hosts, text("FILE"), options);
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "hawthornlane 0.1");
  if (arguments.at("explain").asBool()) {
    return cli::explain_request(arguments.at("ID").asString(), arguments.at("LOG").asStringList());
  }
  const auto hosts = read_hosts(option_or(arguments.at("--hosts"), "HAWTHORNLANE_HOSTS"));
  if (hosts.empty()) {
    fmt::print(stderr, "no valid host addresses: pass --hosts or set HAWTHORNLANE_HOSTS\n");
    return cli::exit_usage;
  }
  cli::connection connection(hosts,
                             option_or(arguments.at("--credential"), "HAWTHORNLANE_CREDENTIAL"),
                             option_or(arguments.at("--as"), "USER"));
  try {
    return run(arguments, connection);
  } catch (const std::exception& fault) {
    fmt::print(stderr, "hawthornlane: {}\n", fault.what());
    return cli::exit_error;
  }
}
