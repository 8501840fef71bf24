// What the daemons share: settings, signals, exit codes.
#pragma once

#include <docopt.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string>

#include "hawthornlane/settings/schema.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::programs {

constexpr int exit_good = 0;
constexpr int exit_fault = 1;
constexpr int exit_settings = 2;

/// The variable in which the platform names the settings file.
constexpr const char* settings_variable = "HAWTHORNLANE_SETTINGS";

inline std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Reads and checks the settings named on the command line; on failure nothing,
/// with the complaint printed.
template <class Settings, class Reader>
std::optional<Settings> load_settings(const std::string& path, Reader read) {
  const auto text = read_file(path);
  if (!text) {
    fmt::print(stderr, "{}: cannot be read\n", path);
    return std::nullopt;
  }
  std::vector<ini_problem> problems;
  auto settings = read(*text, problems);
  if (!settings) {
    fmt::print(stderr, "{}:\n{}", path, to_string(problems));
  }
  return settings;
}

/// The path of the settings file: the option, or the platform's variable.
inline std::string settings_path(const docopt::value& option) {
  if (option) {
    return option.asString();
  }
  const char* given = std::getenv(settings_variable);
  return given == nullptr ? "" : given;
}

/// Addresses and names of a running host do not change; a new file counts from the
/// next start. The line shows whether it could be used.
inline void reread_settings(const std::string& path) {
  const bool readable = read_file(path).has_value();
  log(event::settings_reread, {{"settings", path},
                               {"readable", readable ? "yes" : "no"},
                               {"detail", "in force from the next start"}});
}

/// Follows SIGTERM and SIGINT (planned stop) and SIGHUP (settings read again).
inline void follow_signals(boost::asio::signal_set& signals, const std::function<void()>& stop,
                           const std::function<void()>& reread) {
  signals.async_wait([&signals, stop, reread](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      reread();
    } else {
      stop();
    }
    follow_signals(signals, stop, reread);
  });
}

/// What makes one daemon different from another.
template <class Settings>
struct host_program {
  const char* name;
  const char* usage;
  std::function<const std::vector<key_rule>&()> schema;
  std::function<std::optional<Settings>(std::string_view, std::vector<ini_problem>&)> read;
  /// Runs until a planned stop has ended.
  std::function<int(const Settings&, const std::string& path)> run;
};

/// The daemons' common main: command line, settings, logs, faults.
template <class Settings>
int daemon_main(int argc, char** argv, const host_program<Settings>& what) {
  const auto arguments =
      docopt::docopt(what.usage, {argv + 1, argv + argc}, true, "hawthornlane 0.1");
  if (arguments.at("--describe-config").asBool()) {
    fmt::print("{}", describe(what.schema()));
    return exit_good;
  }
  const std::string path = settings_path(arguments.at("--config"));
  const auto settings = load_settings<Settings>(path, what.read);
  if (!settings) {
    return exit_settings;
  }
  if (arguments.at("--check-config").asBool()) {
    fmt::print("{}: good\n", path);
    return exit_good;
  }
  set_log_format(log_format::json);
  set_log_host(settings->host.get());
  log_to_buffered_stdout();
  try {
    return what.run(*settings, path);
  } catch (const std::exception& fault) {
    flush_log();
    fmt::print(stderr, "{}: {}\n", what.name, fault.what());
    return exit_fault;
  }
}

}  // namespace hawthornlane::programs
