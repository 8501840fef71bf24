// Checks the events of streams, over all attempts at each stream: none is missing or comes twice,
// and all come from servers of one software version.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlane::scenarios {

/// Number of events of each stream of the stand-in model servers.
inline constexpr int events_per_turn = 3;

/// What one attempt at a stream brought.
struct stream_part {
  /// Id of the attempt that brought the stream's first event.
  std::string stream;
  /// Number of events that earlier attempts brought.
  int after = 0;
  std::string events;
  /// The answer is complete.
  bool whole = false;
};

/// Attempts of one kind in calm times.
struct attempt_share {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;

  [[nodiscard]] double share() const {
    return this->sent == 0 ? 0
                           : static_cast<double>(this->served) / static_cast<double>(this->sent);
  }
};

/// Uses no network and no clock.
class stream_promises {
public:
  /// Returns the promises that this part breaks.
  std::vector<std::string> on_part(const stream_part& part);
  /// The version that began a stream; nothing if no event of it has arrived.
  [[nodiscard]] std::optional<std::string> version_of(const std::string& stream) const;

  /// Counts an attempt in calm times. Pass a resumption only if two servers of its version serve.
  void on_calm_attempt(bool is_resumption, bool served);
  /// Of at least 12 resumptions, half the share of new streams has to go on.
  [[nodiscard]] std::optional<std::string> broken_share() const;
  [[nodiscard]] const attempt_share& resumed() const { return this->resumptions; }
  [[nodiscard]] const attempt_share& begun() const { return this->new_streams; }

private:
  /// Software version of each stream.
  std::map<std::string, std::string> versions;
  attempt_share resumptions;
  attempt_share new_streams;
};

/// Events and stored output of a stand-in model server of this version.
std::string events_of_turn(const std::string& version = "v1");
/// The output that is stored of these events: the data of each, followed by a line feed.
std::string output_of(const std::string& events);
/// Number of complete events.
int events_in(const std::string& events);

}  // namespace hawthornlane::scenarios
