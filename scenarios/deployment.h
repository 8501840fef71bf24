// A whole deployment in one process: front hosts, disk hosts and the stand-ins of
// the platform around them, each with an event loop of its own, so that a host can
// be killed like a process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hawthornlane/disk/disk_host.h"
#include "hawthornlane/front/front_host.h"
#include "hawthornlane/stand_ins/object_platform.h"
#include "hawthornlane/stand_ins/scripted_backend.h"
#include "test_caller.h"

namespace hawthornlane::scenarios {

/// How large a deployment is.
struct deployment_size {
  int fronts = 2;
  int disks = 3;
  int engines = 2;
  int apps = 2;
};

class deployment {
private:
  /// The event loop of all that is around the hosts; what listens on it goes first.
  boost::asio::io_context around;
  net::deadline_sweeper sweeper;

public:
  explicit deployment(deployment_size size = {});
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  ~deployment();

  /// Runs all event loops until `done`, or fails after `limit`.
  bool run_until(const std::function<bool()>& done,
                 std::chrono::milliseconds limit = std::chrono::seconds(10));
  void run_for(std::chrono::milliseconds time);

  call_result call(int front, const call_request& what);
  /// Starts a call and returns at once; the result fills when it ends.
  std::shared_ptr<std::optional<call_result>> begin_call(int front, const call_request& what);
  /// Sends bytes as they are and returns all that comes back until the close.
  std::string talk(int front, const std::string& bytes);
  /// Begins a call and closes the connection after `stay`.
  void leave_early(int front, const call_request& what, std::chrono::milliseconds stay);

  /// Resets the connection once that text has come; an empty one: once the request is sent.
  void reset_after(int front, const call_request& what, const std::string& text);

  [[nodiscard]] bool ready(int front);
  /// Addresses that the directory of that front host names.
  [[nodiscard]] std::string addresses(int front);
  [[nodiscard]] std::string callers_at(int front) const;

  void stop_front(int front);
  [[nodiscard]] bool front_ended(int front) const;
  void kill_front(int front);
  void start_front(int front);
  void kill_disk(int disk);
  /// Starts a disk host again, with its data folder or with an empty one.
  void start_disk(int disk, bool empty = false);

  /// Writes the configuration of `version`; a change that a test makes to its text
  /// comes as a replacement.
  void configure(int version, const std::string& replace = "", const std::string& by = "");
  void list_backend(stand_ins::scripted_backend& server, const std::string& service,
                    bool draining = false);
  /// The server starts again under its id; `born` in Unix milliseconds.
  void restart_backend(stand_ins::scripted_backend& server, const std::string& service,
                       std::uint64_t born);
  /// A value of that front host's metrics page; nothing when it has none of that name.
  [[nodiscard]] std::optional<double> metric(int front, const std::string& name);

  stand_ins::object_platform& store() { return *this->platform; }
  std::shared_ptr<stand_ins::behavior_script> engine_acts =
      std::make_shared<stand_ins::behavior_script>();
  std::shared_ptr<stand_ins::behavior_script> app_acts =
      std::make_shared<stand_ins::behavior_script>();
  std::vector<std::unique_ptr<stand_ins::scripted_backend>> engines;
  std::vector<std::unique_ptr<stand_ins::scripted_backend>> apps;

private:
  template <class Host>
  struct process {
    std::unique_ptr<boost::asio::io_context> context;
    std::unique_ptr<Host> host;
    bool ended = false;
  };

  /// A free port, the same one each time.
  [[nodiscard]] http::endpoint endpoint_of(const std::string& host, const char* kind) const;
  [[nodiscard]] discovery::host_settings host_settings_of(const char* role, int number) const;
  [[nodiscard]] front::front_settings front_settings_of(int number) const;
  [[nodiscard]] disk::disk_settings disk_settings_of(int number) const;
  http::response get(const http::endpoint& where, const std::string& target);

  std::filesystem::path folder;
  std::map<std::string, std::uint16_t> ports;
  std::unique_ptr<stand_ins::object_platform> platform;
  std::vector<process<front::front_host>> fronts;
  std::vector<process<disk::disk_host>> disks;
};

}  // namespace hawthornlane::scenarios
