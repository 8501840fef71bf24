// The daemon of a front host on the users' platform.
#include <cstdio>

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
  const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "hawthornlane 0.1");
  if (arguments.at("--describe-config").asBool()) {
    fmt::print("{}", describe(front::front_schema()));
    return exit_good;
  }
  const std::string path = settings_path(arguments.at("--config"));
  const auto settings = load_settings<front::front_settings>(path, front::read_front_settings);
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
    fmt::print(stderr, "hawthornlane-front: {}\n", fault.what());
    return exit_fault;
  }
}
