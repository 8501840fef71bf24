// The daemon of a front host on the users' platform.
#include "hawthornlane/front/front_host.h"
#include "run_host.h"

namespace asio = boost::asio;
using namespace hawthornlane;
using namespace hawthornlane::programs;

namespace {

constexpr const char* usage =
    R"(hawthornlane-front: serves callers on one front host of the platform.

Usage:
  hawthornlane-front [--config FILE] [--check-config]
  hawthornlane-front --describe-config
  hawthornlane-front --help

Options:
  --config FILE        Settings in INI; else the file that the environment's
                       HAWTHORNLANE_SETTINGS names.
  --check-config       Check the settings and start nothing; 2 when one is wrong.
  --describe-config    Print all settings with unit, range and default.
  --help               Show this.

SIGTERM and SIGINT begin a planned stop, which cuts off no request.
)";

int run(const front::front_settings& settings, const std::string& path) {
  // One thread: a host has a quarter or half of one core, and tables that are
  // shared by threads would cost locks and context switches on it.
  asio::io_context context(1);
  front::front_host host(context, settings, [&context] { context.stop(); });
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  follow_signals(
      signals, [&host] { host.stop(); }, [&path] { reread_settings(path); });
  log(event::started, {{"settings", path}});
  context.run();
  flush_log();
  return exit_good;
}

}  // namespace

int main(int argc, char** argv) {
  const host_program<front::front_settings> what{"hawthornlane-front", usage, front::front_schema,
                                                 front::read_front_settings, run};
  return daemon_main(argc, argv, what);
}
