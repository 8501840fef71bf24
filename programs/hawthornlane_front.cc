// The daemon of a front host of the platform.
#include "daemon_main.h"
#include "hawthornlane/front/front_host.h"
#include "hawthornlane/overload/allocator.h"

namespace asio = boost::asio;
using namespace hawthornlane;
using namespace hawthornlane::programs;

namespace {

constexpr const char* usage =
    R"(hawthornlane-front: daemon of a front host; serves callers.

Usage:
  hawthornlane-front [--config FILE] [--check-config]
  hawthornlane-front --describe-config
  hawthornlane-front --help

Options:
  --config FILE        Settings file, in INI format. If not given, the file named by
                       the environment variable HAWTHORNLANE_SETTINGS is used.
  --check-config       Check the settings and exit; exit code 2 if any is invalid.
  --describe-config    Print all settings with unit, range and default, and exit.
  --help               Show this help.

SIGTERM and SIGINT start a planned stop, which completes in-flight requests.
)";

int run(const front::front_settings& settings, const std::string& path) {
  // Single-threaded: a host has only a quarter or half of one core, and sharing tables
  // between threads would cost locks and context switches.
  overload::return_large_blocks();
  asio::io_context context(1);
  front::front_host host(context, settings, [&context] { context.stop(); });
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  follow_signals(
      signals, [&host] { host.stop(); }, [&path] { log_settings_reread(path); });
  log(event::started, {{"settings", path}});
  context.run();
  flush_log();
  return exit_ok;
}

}  // namespace

int main(int argc, char** argv) {
  const daemon_definition<front::front_settings> what{
      "hawthornlane-front", usage, front::front_schema, front::read_front_settings, run};
  return daemon_main(argc, argv, what);
}
