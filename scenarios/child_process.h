// A program that a scenario runs as a child process.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornlane::scenarios {

/// The constructor starts the program and appends its output to a file. The destructor
/// kills it if it still runs, so that no process outlives the scenario.
class child_process {
public:
  static constexpr int inherited_socket = 3;

  /// Throws `std::system_error` when the program cannot be started. It gets `socket`, if there is
  /// one, as descriptor `inherited_socket`, and no other descriptor of this process.
  child_process(const std::vector<std::string>& arguments, const std::string& output_file,
                std::optional<int> socket = std::nullopt);
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  ~child_process();

  /// Does nothing once the process has ended.
  void signal(int number);
  /// Why a process is stopped; it runs while there is no reason.
  enum class stop_reason : std::uint8_t { frozen, over_share };
  void set_stopped(stop_reason why, bool stopped);
  /// Processor time used so far; empty once the process has ended.
  [[nodiscard]] std::optional<std::chrono::nanoseconds> processor_time() const;
  /// Kills the process and waits for its end.
  void kill();
  [[nodiscard]] bool running();
  /// Status reported by `waitpid`; empty while the process runs.
  [[nodiscard]] std::optional<int> status();
  /// Peak resident memory so far, KB of 1024 bytes; empty once the process has ended.
  [[nodiscard]] std::optional<std::uint64_t> peak_memory_kb() const;
  /// Begins the measurement of the peak anew.
  void reset_peak_memory() const;
  /// Resident memory now, KB of 1024 bytes; empty once the process has ended.
  [[nodiscard]] std::optional<std::uint64_t> memory_kb() const;
  /// Number of open descriptors; 0 once the process has ended.
  [[nodiscard]] std::size_t open_descriptors() const;

private:
  void reap(bool wait);
  /// Value of a field of the process's status, KB.
  [[nodiscard]] std::optional<std::uint64_t> status_kb(std::string_view label) const;

  pid_t id = 0;
  std::set<stop_reason> stopped_for;
  std::optional<int> ended;
};

}  // namespace hawthornlane::scenarios
