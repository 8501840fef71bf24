// The real programs as processes on one machine, with stand-ins around them and
// every connection between them carried by a proxy that can harm it.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "fault_proxy.h"
#include "hawthornlane/net/deadline_sweeper.h"
#include "hawthornlane/stand_ins/object_platform.h"
#include "hawthornlane/stand_ins/scripted_backend.h"
#include "promise_checker.h"

namespace hawthornlane::scenarios {

/// How large a soaked deployment is.
struct fleet_size {
  int fronts = 4;
  int disks = 3;
  int engines = 3;
  int apps = 3;
  /// Routes that the configuration grows by; 4000 make it 0.9 MB large.
  int routes = 1500;
  /// What each front host's link carries from it to other hosts, bytes a second; 0: no
  /// limit.
  std::uint64_t link_rate = 0;
  /// The settings say that callers may want more than the servers can do.
  bool contended = false;
};

/// One host: its process, and the proxies before it.
struct soak_host {
  std::string name;
  /// "front" or "disk".
  std::string kind;
  /// What its settings allow, or for a disk host what the platform does, MB.
  std::uint64_t memory_mb = 0;
  std::vector<std::string> command;
  std::filesystem::path data_folder;
  std::unique_ptr<fault_proxy> peers;
  std::unique_ptr<fault_proxy> store;
  /// Only of a front host.
  std::unique_ptr<fault_proxy> callers;
  http::endpoint callers_at;
  http::endpoint ready_at;
  http::endpoint directory_at;
  std::unique_ptr<child_process> process;
  /// Counts the processes that this host has had.
  int incarnation = 0;
  /// The soak ends this process, so its end is no fault of its own.
  bool end_expected = false;
  /// Stopped as planned: not started again before `start_again`.
  net::steady_time start_again{};
};

/// One backend server with its proxy.
struct soak_backend {
  std::string service;
  std::unique_ptr<stand_ins::scripted_backend> server;
  std::shared_ptr<fault_proxy> proxy;
};

/// The client accounts of a soaked deployment.
inline constexpr std::array<const char*, 2> soak_accounts{"north", "south"};

/// For one thread, which runs `context`.
class soak_fleet {
public:
  /// `programs` holds the daemons; everything that is written goes to `folder`.
  soak_fleet(boost::asio::io_context& context, const std::filesystem::path& programs,
             std::filesystem::path folder, fleet_size size, promise_checker& checker);
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;
  ~soak_fleet();
  [[nodiscard]] bool is_contended() const { return this->contended; }

  /// Starts hosts whose process has ended, and notes ends that nobody caused.
  void look_after_processes();
  /// Tells the checker how large the processes are.
  void look_at_memory();
  void kill(soak_host& host, std::chrono::milliseconds down);
  /// A planned stop; the host starts again once it has ended.
  void stop(soak_host& host, std::chrono::milliseconds down);
  /// Kills a disk host as by a loss of power: a write that was not synced is torn.
  void cut_power(soak_host& disk, std::chrono::milliseconds down);
  /// Kills a disk host and empties its disk.
  void wipe(soak_host& disk, std::chrono::milliseconds down);
  /// Three disks are in the set, and no change of it is under way.
  [[nodiscard]] bool set_is_settled() const;

  /// Writes the next configuration; returns its version.
  int configure();
  /// The key that callers of an account show.
  static std::string key_of(const std::string& account);
  [[nodiscard]] int version() const { return this->newest; }
  /// Writes the next configuration, with that share of the routes that it grows by.
  void grow(double share);
  [[nodiscard]] bool grows() const { return this->most_routes > 0; }
  void list(const soak_backend& backend, bool draining);
  /// A backend server leaves as planned, and another one takes its place.
  void replace_backend(soak_backend& backend);

  std::vector<soak_host> fronts;
  std::vector<soak_host> disks;
  std::vector<soak_backend> backends;
  std::shared_ptr<stand_ins::behavior_script> engine_acts =
      std::make_shared<stand_ins::behavior_script>();
  std::shared_ptr<stand_ins::behavior_script> app_acts =
      std::make_shared<stand_ins::behavior_script>();
  [[nodiscard]] stand_ins::object_platform& store() { return *this->platform; }

private:
  static std::string accounts_text();
  void add_backend(const std::string& service);
  [[nodiscard]] soak_backend make_backend(const std::string& service);
  soak_host make_host(const std::string& name, int number, const std::filesystem::path& program);
  void add_front(int number, const std::filesystem::path& program);
  void add_disk(int number, const std::filesystem::path& program);
  void start(soak_host& host);
  void look_at_memory(const soak_host& host);

  boost::asio::io_context& context;
  net::deadline_sweeper sweeper;
  std::filesystem::path folder;
  promise_checker& promises;
  std::unique_ptr<stand_ins::object_platform> platform;
  /// Servers that have left; callers may still hold connections to them.
  std::vector<soak_backend> left;
  int newest = 0;
  /// What the configuration grows by at most.
  bool contended;
  int most_routes = 0;
  /// The routes that the configuration has grown by, as JSON, a comma after each.
  std::string grown;
  net::steady_time next_look{};
  int backends_made = 0;
};

}  // namespace hawthornlane::scenarios
