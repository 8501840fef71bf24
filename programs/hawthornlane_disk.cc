// The daemon of a disk host on the users' platform.
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
  const host_program<disk::disk_settings> what{"hawthornlane-disk", usage, disk::disk_schema,
                                               disk::read_disk_settings, run};
  return daemon_main(argc, argv, what);
}
