// The daemon of a disk host on the users' platform.
#include <cstdio>

#include "hawthornlane/disk/disk_host.h"
#include "run_host.h"

namespace asio = boost::asio;
using namespace hawthornlane;
using namespace hawthornlane::programs;

namespace {

constexpr const char* usage =
    R"(hawthornlane-disk: keeps turns and budgets on one disk host of the platform.

Usage:
  hawthornlane-disk [--config FILE] [--check-config]
  hawthornlane-disk --describe-config
  hawthornlane-disk --help

Options:
  --config FILE        Settings in INI; else the file that the environment's
                       HAWTHORNLANE_SETTINGS names.
  --check-config       Check the settings and start nothing; 2 when one is wrong.
  --describe-config    Print all settings with unit, range and default.
  --help               Show this.

SIGTERM and SIGINT begin a stop once all that was taken is on disk.
)";

int run(const disk::disk_settings& settings, const std::string& path) {
  // One thread: a host has a quarter or half of one core, and tables that are
  // shared by threads would cost locks and context switches on it.
  asio::io_context context(1);
  disk::disk_host host(context, settings);
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  follow_signals(
      signals,
      [&context] {
        log(event::stopping);
        context.stop();
      },
      [&path] { reread_settings(path); });
  log(event::started, {{"settings", path}});
  context.run();
  flush_log();
  return exit_good;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "hawthornlane 0.1");
  if (arguments.at("--describe-config").asBool()) {
    fmt::print("{}", describe(disk::disk_schema()));
    return exit_good;
  }
  const std::string path = settings_path(arguments.at("--config"));
  const auto settings = load_settings<disk::disk_settings>(path, disk::read_disk_settings);
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
    return run(*settings, path);
  } catch (const std::exception& fault) {
    flush_log();
    fmt::print(stderr, "hawthornlane-disk: {}\n", fault.what());
    return exit_fault;
  }
}
