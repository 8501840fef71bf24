// Clocks and random numbers for the scheduling code of a host.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <mutex>
#include <random>

#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// The source of time and random numbers for the scheduling code of a host. The host's
/// incarnation number, log lines, and the timing of network calls read the clocks directly.
class runtime {
public:
  explicit runtime(boost::asio::io_context& io) : context(io), engine(std::random_device{}()) {}

  [[nodiscard]] timestamp now() const {
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return timestamp(std::chrono::duration_cast<duration>(since));
  }
  /// Milliseconds since the Unix epoch.
  [[nodiscard]] std::int64_t wall_clock_ms() const {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  }
  [[nodiscard]] std::uint64_t random() {
    const std::lock_guard lock(this->mutex);
    return this->engine();
  }

  boost::asio::io_context& context;

private:
  std::mutex mutex;
  std::mt19937_64 engine;
};

}  // namespace hawthornlane
