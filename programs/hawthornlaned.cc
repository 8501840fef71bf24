// The daemon: reads its settings and runs one node with its worker threads until a
// planned stop.
#include <docopt.h>
#include <fmt/format.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <vector>

#include "daemon_main.h"
#include "hawthornlane/node/node.h"
#include "hawthornlane/overload/allocator.h"
#include "hawthornlane/telemetry/log.h"

namespace asio = boost::asio;
using namespace hawthornlane::programs;

namespace {

constexpr const char* usage = R"(hawthornlaned: daemon of the scheduler; runs on each entry host.

Usage:
  hawthornlaned --config FILE [--check-config] [--log-format FORMAT]
  hawthornlaned --describe-config
  hawthornlaned --help

Options:
  --config FILE        Settings file, in INI format.
  --check-config       Check the settings and exit; exit code 2 if any is invalid.
  --describe-config    Print all settings with unit, range and default, and exit.
  --log-format FORMAT  Log format, text or json; overrides the settings.
  --help               Show this help.

SIGTERM and SIGINT start a planned stop, which completes in-flight requests.
)";

/// Logs that SIGHUP has no effect: the settings of a running node do not change.
void log_reread_ignored() {
  hawthornlane::log(hawthornlane::event::signal_explained,
                    {{"signal", "SIGHUP"},
                     {"detail",
                      "settings are read at start only; restart to change them, or apply a "
                      "service document"}});
}

int run(const hawthornlane::node_settings& settings) {
  hawthornlane::overload::return_large_blocks();
  asio::io_context context(static_cast<int>(settings.workers));
  auto guard = asio::make_work_guard(context);
  hawthornlane::node host(context, settings, [&context] { context.stop(); });
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  follow_signals(
      signals, [&host] { host.stop("signal"); }, log_reread_ignored);
  std::vector<std::jthread> workers;
  for (std::uint32_t worker = 1; worker < settings.workers; ++worker) {
    workers.emplace_back([&context] { context.run(); });
  }
  context.run();
  workers.clear();
  return exit_ok;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "hawthornlaned 0.1");
  if (arguments.at("--describe-config").asBool()) {
    fmt::print("{}", hawthornlane::describe(hawthornlane::node_schema()));
    return exit_ok;
  }
  const std::string path = arguments.at("--config").asString();
  auto settings =
      load_settings<hawthornlane::node_settings>(path, hawthornlane::read_node_settings);
  if (!settings) {
    return exit_settings;
  }
  if (arguments.at("--check-config").asBool()) {
    fmt::print("{}: the settings are valid\n", path);
    return exit_ok;
  }
  if (arguments.at("--log-format")) {
    const bool json = arguments.at("--log-format").asString() == "json";
    settings->log = json ? hawthornlane::log_format::json : hawthornlane::log_format::text;
  }
  hawthornlane::set_log_format(settings->log);
  hawthornlane::set_log_host(settings->host.get());
  try {
    return run(*settings);
  } catch (const std::exception& fault) {
    fmt::print(stderr, "hawthornlaned: {}\n", fault.what());
    return exit_error;
  }
}
