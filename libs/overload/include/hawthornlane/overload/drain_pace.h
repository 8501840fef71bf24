// How fast the bytes of refused clients are read and dropped.
#pragma once

#include <chrono>

namespace hawthornlane::overload {

/// Shared by all connections that drop what their client still sends: together they read at a
/// bounded rate, so that this takes a bounded part of the processor. Not thread-safe.
class drain_pace {
public:
  /// Longest time for one connection: a client that reads its response only after it has sent its
  /// request gets so long for the rest of it.
  static constexpr auto max_time = std::chrono::seconds(5);

  void begin() { ++this->active; }
  void end() { --this->active; }
  /// Pause of one connection after each read.
  [[nodiscard]] std::chrono::microseconds pause() const { return pause_for(this->active); }
  /// The same for a number of connections that the caller counts.
  static constexpr std::chrono::microseconds pause_for(int connections) {
    return pause_of_one * connections;
  }

private:
  static constexpr std::chrono::microseconds pause_of_one{500};
  int active = 0;
};

}  // namespace hawthornlane::overload
