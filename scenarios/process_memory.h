// Resident memory of the test's own process.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>

namespace hawthornlane::scenarios {

/// Measures by how much the memory of this process grows at most.
class memory_growth {
public:
  memory_growth() {
    std::ofstream("/proc/self/clear_refs") << "5";
    this->before_kb = status_kb("VmRSS");
  }

  /// Largest growth since this object was made, KB of 1024 bytes.
  [[nodiscard]] std::uint64_t peak_kb() const {
    const std::uint64_t peak = status_kb("VmHWM");
    return peak > this->before_kb ? peak - this->before_kb : 0;
  }

private:
  /// Value of a field of the process's status; 0 if there is no such field.
  static std::uint64_t status_kb(const std::string& field) {
    std::ifstream file("/proc/self/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with(field)) {
        return std::stoull(line.substr(line.find_first_of("0123456789")));
      }
    }
    return 0;
  }

  std::uint64_t before_kb = 0;
};

}  // namespace hawthornlane::scenarios
