// `hawthornlaned` processes with tools and model engines whose responses a test chooses.
#pragma once

#include <boost/json.hpp>
#include <map>
#include <string>

#include "crowd_hosts.h"

namespace hawthornlane::scenarios {

/// What a call goes to.
struct call_target {
  const char* name;
  bool is_model;
  /// Servers that may run one call.
  int max_runs;
};

inline constexpr call_target call_targets[] = {
    {"claims", false, 1}, {"prices", false, 3}, {"small", true, 3}};

/// The answer of `hawthornlaned`.
struct daemon_answer {
  int status = 0;
  boost::json::object body;

  /// The server's response became the result of the call.
  [[nodiscard]] bool is_success() const;
  /// Promises that the call has not run here.
  [[nodiscard]] bool is_not_run() const;
  /// A member of the body; empty if there is none.
  [[nodiscard]] std::string text(const char* name) const;
};

/// A program that has made no call yet.
struct daemon_program {
  std::size_t host = 0;
  std::string id;
  std::string ticket;
  std::string digest;
};

/// A call that was sent, in a program of its own.
struct daemon_call {
  std::string mark;
  std::shared_ptr<std::optional<call_result>> result;

  [[nodiscard]] daemon_answer answer() const;
};

/// Three `hawthornlaned` processes and the servers of the call targets. Use it on one thread.
class daemon_deployment {
public:
  explicit daemon_deployment(int servers_per_target);

  /// Applies the service document and waits until programs can be opened.
  bool wait_until_serving();
  /// Opens a program at that host.
  daemon_program open_program(std::size_t host = 0);
  /// Sends the program's first call to its host; `padding`: bytes that its input has in addition.
  daemon_call begin_call(const call_target& target, const daemon_program& program,
                         std::size_t padding = 0);
  /// The same in a new program.
  daemon_call begin_call(const call_target& target, std::size_t host = 0, std::size_t padding = 0);
  /// Number of times that the call was run.
  [[nodiscard]] int runs(const daemon_call& call) const;
  [[nodiscard]] std::vector<stand_ins::scripted_backend*>& servers() { return this->all; }

  crowd_hosts hosts;

private:
  void add_server(const call_target& target, int number);
  daemon_answer ask(const std::string& method, const std::string& path, const std::string& body,
                    const std::string& secret, std::size_t host);

  std::vector<stand_ins::scripted_backend*> all;
  int calls = 0;
  std::map<std::string, int> run_counts;
};

}  // namespace hawthornlane::scenarios
