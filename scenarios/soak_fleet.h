// The real programs as processes on one machine, with stand-ins for the platform. Every
// connection between them goes through a proxy that can inject faults.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "child_process.h"
#include "client_crowd.h"
#include "fault_proxy.h"
#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/stand_ins/object_platform.h"
#include "hawthornlane/stand_ins/scripted_backend.h"
#include "promise_checker.h"
#include "server_process.h"

namespace hawthornlane::scenarios {

/// Size of a deployment under a fault soak.
struct fleet_size {
  int fronts = 4;
  int disks = 3;
  int engines = 3;
  int apps = 3;
  /// Number of routes by which the configuration grows; with 4000 it is 0.9 MB large.
  int routes = 1500;
  /// Rate of each front host's link to other hosts, bytes per second; 0: no limit.
  std::uint64_t link_rate = 0;
  /// Configures hosts for callers that may ask for more than the servers can serve.
  bool contended = false;
  /// Configures larger bodies, whose limit changes with each version.
  bool large_bodies = false;
  /// Some calls of tools have such bodies.
  bool uploads = false;
  /// Processor time that each host may use, as a share of one core; 0: no limit.
  double front_share = 0;
  double disk_share = 0;
  /// Added to each sync of a disk host.
  std::chrono::milliseconds added_sync_time{0};
  /// Determines how backend servers respond and which ones are processes.
  std::uint64_t server_seed = 0;
};

/// A response that HTTP does not allow, and how it is sent.
struct invalid_response_choice {
  stand_ins::unusual_response what;
  stand_ins::response_framing framing = stand_ins::response_framing::length;
  stand_ins::response_pieces pieces = stand_ins::response_pieces::whole;
  bool closes = false;
};

/// A part of a response without a length, sent before the request is read, and how the connection
/// ends behind it.
struct early_response_choice {
  std::size_t body_size = 0;
  stand_ins::early_ending ending = stand_ins::early_ending::reset;
  std::chrono::milliseconds pause{0};
  /// HTTP/1.0 or HTTP/1.1.
  bool is_1_0 = false;
};

/// One host: its process and the proxies in front of it.
struct soak_host {
  std::string name;
  /// "front" or "disk".
  std::string kind;
  /// Memory limit, MB: from its settings, or for a disk host from the platform.
  std::uint64_t memory_mb = 0;
  std::vector<std::string> command;
  std::filesystem::path data_folder;
  std::unique_ptr<fault_proxy> peers;
  std::unique_ptr<fault_proxy> store;
  /// Only for a front host.
  std::unique_ptr<fault_proxy> callers;
  http::endpoint callers_at;
  http::endpoint ready_at;
  http::endpoint directory_at;
  http::endpoint metrics_at;
  std::unique_ptr<child_process> process;
  /// Number of processes that this host has had.
  int incarnation = 0;
  /// True if the soak itself ended this process; its exit is then not reported.
  bool end_expected = false;
  /// A host whose process has ended is not restarted before this time.
  net::steady_time restart_at{};
  /// When its newest process was started.
  net::steady_time started_at{};
  /// A process that has been asked to stop is killed at this time.
  net::steady_time kill_at = net::never;
  /// Processor time of the process at the start of the current period of its limit.
  std::chrono::nanoseconds used_before{0};
};

/// One backend server with its proxy.
struct soak_backend {
  std::string service;
  std::unique_ptr<stand_ins::scripted_backend> server;
  std::shared_ptr<fault_proxy> proxy;
  /// Forwards hosts' connections to the proxy; not every server has one.
  std::shared_ptr<server_process> process;
  /// A server that was removed, and has answered its last call by then.
  net::steady_time process_until = net::never;

  [[nodiscard]] http::endpoint where() const {
    return this->process ? this->process->where() : this->proxy->where();
  }
};

/// Client accounts of a deployment under a fault soak.
inline constexpr std::array<const char*, 2> soak_accounts{"north", "south"};

/// Use it only on the thread that runs `context`.
class soak_fleet {
public:
  /// `programs` contains the executables; all files are written to `folder`.
  soak_fleet(boost::asio::io_context& context, const std::filesystem::path& programs,
             std::filesystem::path folder, fleet_size size, promise_checker& checker);
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;
  ~soak_fleet();
  [[nodiscard]] bool is_contended() const { return this->contended; }

  /// Restarts hosts whose process has ended, and reports unexpected exits.
  void supervise_processes();
  /// Reports the memory of all processes to the checker.
  void check_memory();
  void kill(soak_host& host, std::chrono::milliseconds down);
  /// Stops a host as planned; it is restarted once its process has ended.
  void stop(soak_host& host, std::chrono::milliseconds down);
  /// Kills a disk host like a power loss, with a torn write that was not synced.
  void cut_power(soak_host& disk, std::chrono::milliseconds down);
  /// Kills a disk host and deletes its data.
  void wipe(soak_host& disk, std::chrono::milliseconds down);
  /// Kills a disk host for good, with its disk, and starts an empty one at another address.
  void replace(soak_host& disk, std::chrono::milliseconds gap);
  /// Asks for a disk host to be emptied; it is removed once it reports completion.
  void retire(const soak_host& disk);
  /// True if the ledger set is complete, with disks of the present hosts only, and no change of
  /// the set is in progress.
  [[nodiscard]] bool ledger_set_is_stable() const;
  [[nodiscard]] bool ledger_set_is_joint() const;
  /// True if the ledger set names the disk that the host has at present.
  [[nodiscard]] bool is_member(const soak_host& disk) const;
  /// True if every host's process runs.
  [[nodiscard]] bool all_running();

  /// Writes the next configuration; returns its version.
  int configure();
  /// API key that callers of an account send.
  static std::string key_of(const std::string& account);
  [[nodiscard]] int version() const { return this->newest; }
  /// Largest body in the newest configuration, bytes.
  [[nodiscard]] std::size_t max_body_bytes() const;
  /// Largest body that callers send in uploads, whatever the version; 0 without uploads.
  [[nodiscard]] std::size_t max_upload_bytes() const;
  /// Where clients can reach a host.
  static std::vector<http::endpoint> client_ports(const soak_host& host);
  std::shared_ptr<client_crowd> begin_crowd(crowd_kind kind, const crowd_target& target,
                                            crowd_size crowd);
  /// Writes the next configuration, with this fraction (0 to 1) of the additional routes.
  void grow(double share);
  [[nodiscard]] bool grows() const { return this->max_routes > 0; }
  void list(const soak_backend& backend, bool draining);
  /// Removes a backend server as planned and adds another one in its place.
  void replace_backend(soak_backend& backend);

  /// Lets this server, if it still runs, give each request this response, or its usual one.
  void set_endless_response(const std::string& instance,
                            std::optional<stand_ins::endless_response> response);
  /// The same with a response that HTTP does not allow.
  void set_invalid_response(const std::string& instance,
                            std::optional<invalid_response_choice> response);
  /// Lets a server respond early, and reset, or no longer.
  void set_early_response(const std::string& instance,
                          std::optional<early_response_choice> response);
  /// Kills the process of the server with this index in `backends`, if it has one, this long after
  /// it has received its next request. Returns false if it has none.
  bool kill_server_in_response(std::size_t index, std::chrono::milliseconds delay);
  /// Cancels these kills for servers that have not received a request since.
  void cancel_kills() { this->doomed.clear(); }
  /// While `on`, model servers close the connection of every other stream that may be resumed in
  /// order before its last event, and go on.
  void set_early_ends(bool on) { this->ends_early = on; }
  /// Servers whose processes were killed.
  [[nodiscard]] int servers_killed() const { return this->kills; }
  /// Sets a hook that is called when a server has ended under a request or was killed.
  void on_server_end(std::function<void(const std::string& server)> hook) {
    this->server_end_hook = std::move(hook);
  }
  /// Begins to replace all model servers, one after the other, by servers of another version.
  void begin_release();
  /// Number of model servers of this version that are listed and not draining.
  [[nodiscard]] int ready_engines(const std::string& version) const;

  std::vector<soak_host> fronts;
  std::vector<soak_host> disks;
  std::vector<soak_backend> backends;
  /// Servers that work for a while on each call; no fault affects them.
  std::vector<soak_backend> batch_servers;
  std::shared_ptr<stand_ins::behavior_script> engine_behaviors =
      std::make_shared<stand_ins::behavior_script>();
  std::shared_ptr<stand_ins::behavior_script> app_behaviors =
      std::make_shared<stand_ins::behavior_script>();
  [[nodiscard]] stand_ins::object_platform& store() { return *this->platform; }

private:
  static std::string accounts_text();
  void add_backend(const std::string& service);
  [[nodiscard]] soak_backend make_backend(const std::string& service);
  soak_host make_host(const std::string& name, int number, const std::filesystem::path& program);
  void add_front(int number, const std::filesystem::path& program);
  soak_host make_disk();
  void start(soak_host& host);
  void check_memory(const soak_host& host);
  void supervise_process(soak_host& host);
  void remove_retired_disks();
  /// Makes some requests end the server like a crash.
  void make_mortal(const soak_backend& backend);
  /// Lets the server mark the ends of its responses in one of the ways, and be a process or not.
  void vary(soak_backend& backend);
  void on_request(const std::string& instance);
  void kill_server(const std::string& instance);
  /// Keeps a server that was removed until it has answered its last call.
  void remove(soak_backend backend);
  void end_removed_processes();
  void close_ended_ports();
  /// Starts the successors of ended servers that are due.
  void replace_ended();
  /// Takes the steps of a release that are due.
  void step_release();
  /// Stops a process for the rest of a period in which it has used up its processor time.
  void limit_processor(soak_host& host, bool begins_period);
  [[nodiscard]] std::string ledger_set_text() const;

  boost::asio::io_context& context;
  net::deadline_sweeper sweeper;
  std::filesystem::path folder;
  promise_checker& promises;
  std::unique_ptr<stand_ins::object_platform> platform;
  /// Version of the model servers that start now.
  std::string engine_version = "v1";
  int releases = 0;
  /// Instances that the release under way still has to replace.
  std::vector<std::string> to_replace;
  net::steady_time next_replacement{};
  /// A model server that drains, and when its entry is removed.
  struct draining_backend {
    std::string instance;
    net::steady_time remove_at;
  };
  std::vector<draining_backend> draining;
  /// A server that has ended, and when its successor starts.
  struct ended_backend {
    std::string instance;
    net::steady_time replace_at;
  };
  std::vector<ended_backend> ended_backends;
  /// The port of a server whose connections have ended.
  struct ending_port {
    std::shared_ptr<fault_proxy> proxy;
    std::shared_ptr<server_process> process;
    net::steady_time close_at;
  };
  std::vector<ending_port> ending_ports;
  std::function<void(const std::string& server)> server_end_hook = [](const std::string&) {};
  /// Removed servers, which may still have open connections from callers.
  std::vector<soak_backend> removed_backends;
  /// Hosts that were removed for good; faults may still use their proxies.
  std::vector<soak_host> removed_hosts;
  fleet_size size;
  std::filesystem::path programs;
  int disks_made = 0;
  net::steady_time next_limit_check{};
  net::steady_time next_limit_period{};
  int newest = 0;
  bool contended;
  /// Maximum number of additional routes.
  int max_routes = 0;
  /// Additional routes of the newest configuration as JSON, a comma after each.
  std::string extra_routes;
  net::steady_time next_memory_check{};
  int backends_made = 0;
  /// The kinds of servers have their own random source, so that they do not change the faults of a
  /// seed.
  std::mt19937_64 server_random;
  /// Servers whose processes end under their next request, and how long after it.
  std::map<std::string, std::chrono::milliseconds> doomed;
  int kills = 0;
  bool ends_early = false;
  std::uint64_t early_ends_asked = 0;
};

}  // namespace hawthornlane::scenarios
