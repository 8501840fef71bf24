// Reads this process's memory from the kernel.
#include "hawthornlane/telemetry/process_memory.h"

#include <unistd.h>

#include <charconv>
#include <fstream>
#include <string>

namespace hawthornlane {

std::optional<std::size_t> resident_bytes_in(std::string_view statm, std::size_t page_size) {
  // The second number counts resident pages, the first one mapped pages.
  const std::size_t space = statm.find(' ');
  if (space == std::string_view::npos) {
    return std::nullopt;
  }
  std::size_t pages = 0;
  const char* end = statm.data() + statm.size();
  const auto parsed = std::from_chars(statm.data() + space + 1, end, pages);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return pages * page_size;
}

std::optional<std::size_t> resident_bytes() {
  std::ifstream file("/proc/self/statm");
  std::string line;
  if (!std::getline(file, line)) {
    return std::nullopt;
  }
  return resident_bytes_in(line, static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)));
}

}  // namespace hawthornlane
