// Common code of the daemons: settings, signals, exit codes, main function.
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

constexpr int exit_ok = 0;
constexpr int exit_error = 1;
constexpr int exit_settings = 2;

/// Environment variable in which the platform passes the path of the settings file.
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

/// Reads and validates the settings file. On failure prints the problems and returns
/// nothing.
template <class Settings, class Reader>
std::optional<Settings> load_settings(const std::string& path, Reader read) {
  const auto text = read_file(path);
  if (!text) {
    fmt::print(stderr, "{}: cannot read the file\n", path);
    return std::nullopt;
  }
  std::vector<ini_problem> problems;
  auto settings = read(*text, problems);
  if (!settings) {
    fmt::print(stderr, "{}:\n{}", path, to_string(problems));
  }
  return settings;
}

/// The path of the settings file: the option if given, otherwise the environment variable.
inline std::string settings_path(const docopt::value& option) {
  if (option) {
    return option.asString();
  }
  const char* given = std::getenv(settings_variable);
  return given == nullptr ? "" : given;
}

/// Logs whether the settings file is readable. Addresses and names of a running host cannot
/// change, so a new file takes effect at the next start.
inline void log_settings_reread(const std::string& path) {
  const bool readable = read_file(path).has_value();
  log(event::settings_reread, {{"settings", path},
                               {"readable", readable ? "yes" : "no"},
                               {"detail", "in force from the next start"}});
}

/// Handles SIGTERM and SIGINT by calling `stop`, and SIGHUP by calling `reread`.
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

/// Everything that differs between the daemons.
template <class Settings>
struct daemon_definition {
  const char* name;
  const char* usage;
  std::function<const std::vector<key_rule>&()> schema;
  std::function<std::optional<Settings>(std::string_view, std::vector<ini_problem>&)> read;
  /// Runs until a planned stop has completed.
  std::function<int(const Settings&, const std::string& path)> run;
};

/// The common main function of the daemons: command line, settings, logging, error handling.
template <class Settings>
int daemon_main(int argc, char** argv, const daemon_definition<Settings>& what) {
  const auto arguments =
      docopt::docopt(what.usage, {argv + 1, argv + argc}, true, "hawthornlane 0.1");
  if (arguments.at("--describe-config").asBool()) {
    fmt::print("{}", describe(what.schema()));
    return exit_ok;
  }
  const std::string path = settings_path(arguments.at("--config"));
  const auto settings = load_settings<Settings>(path, what.read);
  if (!settings) {
    return exit_settings;
  }
  if (arguments.at("--check-config").asBool()) {
    fmt::print("{}: the settings are valid\n", path);
    return exit_ok;
  }
  set_log_format(log_format::json);
  set_log_host(settings->host.get());
  log_to_buffered_stdout();
  try {
    return what.run(*settings, path);
  } catch (const std::exception& fault) {
    flush_log();
    fmt::print(stderr, "{}: {}\n", what.name, fault.what());
    return exit_error;
  }
}

}  // namespace hawthornlane::programs
