// The commands of the command-line client.
#pragma once

#include <string>
#include <vector>

#include "connection.h"

namespace hawthornlane::cli {

/// Output options, common to all commands.
struct output {
  bool json = false;
};

// Operators.
int document_check(connection& hosts, const std::string& file, output options);
int document_diff(connection& hosts, const std::string& file, output options);
int document_apply(connection& hosts, const std::string& file, const std::string& confirm,
                   bool wait, output options);
int document_status(connection& hosts, output options);
int document_show(connection& hosts, const std::string& service, output options);
int document_history(connection& hosts, const std::string& service, output options);
int audit(connection& hosts, const std::string& subject, output options);
int list(connection& hosts, const std::string& what, output options);
int program_show(connection& hosts, const std::string& program, output options);
int drain(connection& hosts, output options);
/// `hosts` are metrics addresses of front hosts.
int list_blocked(connection& hosts);
int unblock(connection& hosts, const std::string& content);

/// Shows from the hosts' log files what happened to a request. Contacts no host. "-" is
/// standard input.
int explain_request(const std::string& id, const std::vector<std::string>& files);

// Callers.
/// Runs a whole program from a file with one call per line, each a JSON object.
int call(connection& hosts, const std::string& file, output options);

}  // namespace hawthornlane::cli
