// The daemon of a disk host of the platform.
#include "daemon_main.h"
#include "hawthornlane/disk/disk_host.h"

namespace asio = boost::asio;
using namespace hawthornlane;
using namespace hawthornlane::programs;

namespace {

constexpr const char* usage =
    R"(hawthornlane-disk: daemon of a disk host; stores turns and budgets.

Usage:
  hawthornlane-disk [--config FILE] [--check-config]
  hawthornlane-disk --describe-config
  hawthornlane-disk --help

Options:
  --config FILE        Settings file, in INI format. If not given, the file named by
                       the environment variable HAWTHORNLANE_SETTINGS is used.
  --check-config       Check the settings and exit; exit code 2 if any is invalid.
  --describe-config    Print all settings with unit, range and default, and exit.
  --help               Show this help.

SIGTERM and SIGINT stop the host once all accepted writes are on disk.
)";

int run(const disk::disk_settings& settings, const std::string& path) {
  // Single-threaded: a host has only a quarter or half of one core, and sharing tables
  // between threads would cost locks and context switches.
  asio::io_context context(1);
  disk::disk_host host(context, settings);
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  follow_signals(
      signals,
      [&context] {
        log(event::stopping);
        context.stop();
      },
      [&path] { log_settings_reread(path); });
  log(event::started, {{"settings", path}});
  context.run();
  flush_log();
  return exit_ok;
}

}  // namespace

int main(int argc, char** argv) {
  const daemon_definition<disk::disk_settings> what{"hawthornlane-disk", usage, disk::disk_schema,
                                                    disk::read_disk_settings, run};
  return daemon_main(argc, argv, what);
}
