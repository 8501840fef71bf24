// A complete deployment in one process: front hosts, disk hosts and stand-ins for the
// platform. Each host has its own event loop, so that it can be killed like a process.
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

/// Number of hosts and backend servers of each kind.
struct deployment_size {
  int fronts = 2;
  int disks = 3;
  int engines = 2;
  int apps = 2;
};

class deployment {
private:
  /// Event loop of the callers and stand-ins. Declared first, so that it is destroyed last.
  boost::asio::io_context environment;
  net::deadline_sweeper sweeper;

public:
  explicit deployment(deployment_size size = {});
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  ~deployment();

  /// Runs all event loops until `done` returns true; returns false after `limit`.
  bool run_until(const std::function<bool()>& done,
                 std::chrono::milliseconds limit = std::chrono::seconds(10));
  void run_for(std::chrono::milliseconds time);

  call_result call(int front, const call_request& what);
  /// Starts a call and returns at once; the result is set when the call ends.
  std::shared_ptr<std::optional<call_result>> begin_call(int front, const call_request& what);
  /// The same, but sends only the first `length` bytes of the request.
  std::shared_ptr<std::optional<call_result>> begin_partial_call(int front,
                                                                 const call_request& what,
                                                                 std::size_t length);
  /// Sends calls one after the other on one connection, with a pause between two. The results are
  /// added as they arrive.
  std::shared_ptr<std::vector<call_result>> begin_calls(int front,
                                                        const std::vector<call_request>& calls,
                                                        std::chrono::milliseconds pause);
  /// Sends raw bytes and returns everything received until the connection closes.
  std::string send_raw(int front, const std::string& bytes);
  /// Starts a call and closes the connection after `delay`.
  void disconnect_after(int front, const call_request& what, std::chrono::milliseconds delay);

  /// Starts a call and resets the connection once `text` was received; if `text` is empty,
  /// once the request is sent. Returns what was received.
  std::string reset_after(int front, const call_request& what, const std::string& text);

  [[nodiscard]] bool ready(int front);
  /// Response body of that front host's directory, which lists front host addresses.
  [[nodiscard]] std::string addresses(int front);
  [[nodiscard]] std::string callers_at(int front) const;

  void stop_front(int front);
  [[nodiscard]] bool front_ended(int front) const;
  void kill_front(int front);
  void start_front(int front);
  /// Stops or continues a host, like SIGSTOP and SIGCONT: what reaches it waits.
  void freeze_front(int front, bool frozen);
  void freeze_disk(int disk, bool frozen);
  void kill_disk(int disk);
  /// Restarts a disk host with its existing data folder or with an empty one.
  void start_disk(int disk, bool empty = false);

  /// Writes the configuration of `version`, with the text `replace` replaced by `by`.
  void configure(int version, const std::string& replace = "", const std::string& by = "");
  void list_backend(stand_ins::scripted_backend& server, const std::string& service,
                    bool draining = false);
  /// Starts and lists one more server of "models" or "apps".
  stand_ins::scripted_backend& add_backend(const std::string& service);
  /// Lists the server as restarted under the same id; `born` in Unix milliseconds.
  void restart_backend(stand_ins::scripted_backend& server, const std::string& service,
                       std::uint64_t born);
  /// Value on that front host's metrics page; empty if there is no metric of that name.
  [[nodiscard]] std::optional<double> metric(int front, const std::string& name);
  /// The same for a disk host.
  [[nodiscard]] std::optional<double> disk_metric(int disk, const std::string& name);

  stand_ins::object_platform& store() { return *this->platform; }
  std::shared_ptr<stand_ins::behavior_script> engine_behaviors =
      std::make_shared<stand_ins::behavior_script>();
  std::shared_ptr<stand_ins::behavior_script> app_behaviors =
      std::make_shared<stand_ins::behavior_script>();
  std::vector<std::unique_ptr<stand_ins::scripted_backend>> engines;
  std::vector<std::unique_ptr<stand_ins::scripted_backend>> apps;

private:
  template <class Host>
  struct process {
    std::unique_ptr<boost::asio::io_context> context;
    std::unique_ptr<Host> host;
    bool ended = false;
    bool frozen = false;

    std::size_t poll() { return this->context && !this->frozen ? this->context->poll() : 0; }
  };

  /// A free port, chosen at the first call and the same one afterwards.
  [[nodiscard]] http::endpoint endpoint_of(const std::string& host, const char* kind) const;
  [[nodiscard]] discovery::host_settings host_settings_of(const char* role, int number) const;
  [[nodiscard]] front::front_settings front_settings_of(int number) const;
  [[nodiscard]] disk::disk_settings disk_settings_of(int number) const;
  http::response get(const http::endpoint& where, const std::string& target);
  std::optional<double> metric_at(const http::endpoint& where, const std::string& name);

  std::filesystem::path folder;
  std::map<std::string, std::uint16_t> ports;
  std::unique_ptr<stand_ins::object_platform> platform;
  std::vector<process<front::front_host>> fronts;
  std::vector<process<disk::disk_host>> disks;
};

}  // namespace hawthornlane::scenarios
