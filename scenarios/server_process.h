// The process of a backend server in a fault soak.
#pragma once

#include <filesystem>
#include <memory>
#include <string>

#include "child_process.h"
#include "hawthornlane/http/message.h"

namespace hawthornlane::scenarios {

/// Runs `hawthornlane-stand-in-server`; killed when destroyed.
class server_process {
public:
  /// `program` is the executable; its output goes to `output_file`. Connections to the process are
  /// forwarded to `target`. Throws `std::system_error` when it cannot be started.
  server_process(const std::filesystem::path& program, const http::endpoint& target,
                 const std::string& output_file);

  /// Listens from the construction until the process has ended.
  [[nodiscard]] const http::endpoint& where() const { return this->address; }
  /// The kernel closes the process's connections, in order unless one has unread data.
  void kill() { this->process->kill(); }

private:
  http::endpoint address;
  std::unique_ptr<child_process> process;
};

}  // namespace hawthornlane::scenarios
