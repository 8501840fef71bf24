// Runs the platform stand-in; see run_stand_in.h.
#include "hawthornlane/stand_ins/platform.h"

#include "run_stand_in.h"

int main(int argc, char** argv) {
  return hawthornlane::stand_ins::run_stand_in(
      argc, argv, [](boost::asio::io_context& context, const hawthornlane::http::endpoint& at) {
        return std::make_unique<hawthornlane::stand_ins::platform>(context, at);
      });
}
