// The programs as processes with small limits, and stand-ins for the platform.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "client_crowd.h"
#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/stand_ins/object_platform.h"
#include "hawthornlane/stand_ins/platform.h"
#include "hawthornlane/stand_ins/scripted_backend.h"
#include "test_caller.h"

namespace hawthornlane::scenarios {

/// Credential of the operators of `hawthornlaned`.
inline constexpr const char* operator_credential = "operators-of-the-crowd-test";

/// Limits of a process, as its settings have them.
struct process_limits {
  std::uint64_t memory_mb = 64;
  std::size_t descriptors = 500;
  /// Descriptors that the platform reserves for files.
  static constexpr std::size_t reserved_descriptors = 200;

  [[nodiscard]] std::uint64_t memory_kb() const { return this->memory_mb * 1024; }
  [[nodiscard]] std::size_t sockets() const { return this->descriptors - reserved_descriptors; }
};

/// Requests and connections of clients may have these sizes in the test's configuration.
struct client_limits_of_test {
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{20'000};
};

/// A process under test, and the requests that show that it serves.
struct crowded_port {
  std::string name;
  child_process* process = nullptr;
  crowd_target target;
  call_request ordinary;
  int ordinary_status = 200;
  /// The largest legal request, if it differs from an ordinary one.
  std::optional<call_request> largest = std::nullopt;
  int largest_status = 200;
};

/// Number of processes and backend servers, and the largest request.
struct host_counts {
  /// Half of the servers are of the service "models", the others of "apps".
  int servers = 4;
  /// `hawthornlaned`; programs need at least two.
  int daemons = 1;
  std::size_t body_bytes = client_limits_of_test().body_bytes;
};

/// One front host, three disk hosts and `hawthornlaned`. Use it on the thread that runs its
/// event loop only.
class crowd_hosts {
private:
  /// Event loop of the clients and stand-ins. Declared first, so that it is destroyed last.
  boost::asio::io_context environment;
  net::deadline_sweeper sweeper;

public:
  explicit crowd_hosts(host_counts size = {});
  crowd_hosts(const crowd_hosts&) = delete;
  crowd_hosts& operator=(const crowd_hosts&) = delete;
  ~crowd_hosts();

  /// Waits until all programs serve; false if one does not.
  bool wait_until_serving();
  [[nodiscard]] std::vector<crowded_port> ports() const;
  std::unique_ptr<client_crowd> begin_crowd(crowd_kind kind, const crowd_target& target);
  call_result call(const http::endpoint& where, const call_request& what);
  /// Starts a call and returns at once; the result is set when the call ends.
  std::shared_ptr<std::optional<call_result>> begin_call(const http::endpoint& where,
                                                         const call_request& what);
  /// Runs the event loop until `done` returns true; returns false after `limit`.
  bool run_until(const std::function<bool()>& done, std::chrono::milliseconds limit);
  [[nodiscard]] const process_limits& limits() const { return this->bounds; }
  /// Value on a metrics page; empty if there is no metric of that name.
  std::optional<double> metric(const http::endpoint& where, const std::string& name);

  [[nodiscard]] const http::endpoint& callers() const { return this->callers_at; }
  [[nodiscard]] const http::endpoint& front_metrics() const { return this->front_metrics_at; }
  [[nodiscard]] const std::vector<http::endpoint>& daemons() const { return this->daemons_at; }
  [[nodiscard]] child_process& front_process() { return *this->front; }
  [[nodiscard]] child_process& daemon_process(std::size_t number) {
    return *this->daemon_processes.at(number);
  }
  [[nodiscard]] std::vector<std::unique_ptr<stand_ins::scripted_backend>>& backends() {
    return this->servers;
  }
  /// The object API that the `hawthornlaned` processes read.
  [[nodiscard]] stand_ins::platform& daemon_objects() { return *this->daemon_platform; }
  /// Starts one more server that no host knows yet.
  stand_ins::scripted_backend& add_server(const std::string& name);
  /// All that a process has logged so far.
  [[nodiscard]] std::string log_of(const std::string& name) const;

private:
  std::unique_ptr<child_process> start(const std::string& program, const std::string& name,
                                       const std::string& settings);
  void start_disks();
  void start_front();
  void start_daemon(int number);
  [[nodiscard]] std::string host_section(const std::string& name) const;
  [[nodiscard]] std::string memory_setting() const;
  [[nodiscard]] std::string descriptor_setting() const;

  process_limits bounds;
  std::filesystem::path folder;
  std::unique_ptr<stand_ins::object_platform> store;
  std::unique_ptr<stand_ins::platform> daemon_platform;
  std::vector<std::unique_ptr<stand_ins::scripted_backend>> servers;
  std::vector<std::unique_ptr<child_process>> disks;
  std::unique_ptr<child_process> front;
  std::vector<std::unique_ptr<child_process>> daemon_processes;
  http::endpoint callers_at;
  http::endpoint ready_at;
  http::endpoint directory_at;
  http::endpoint front_metrics_at;
  http::endpoint disk_metrics_at;
  std::vector<http::endpoint> daemons_at;
};

}  // namespace hawthornlane::scenarios
