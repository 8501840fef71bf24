// Checks the events of streams, over all attempts at each stream.
#include "stream_promises.h"

#include <fmt/format.h>

namespace hawthornlane::scenarios {
namespace {

constexpr std::string_view end_of_event = "\n\n";
constexpr std::string_view data_field = "data: ";
/// From this number of resumptions on their share is compared with that of new streams.
constexpr std::uint64_t min_resumptions = 12;
constexpr double min_relative_share = 0.5;

/// An event up to the version that its server adds.
std::string event_start(int number) {
  return fmt::format("id: {}\ndata: piece {} of ", number, number);
}

}  // namespace

std::string events_of_turn(const std::string& version) {
  std::string events;
  for (int event = 1; event <= events_per_turn; ++event) {
    events += event_start(event) + version + std::string(end_of_event);
  }
  return events;
}

std::string output_of(const std::string& events) {
  std::string output;
  std::size_t at = events.find(data_field);
  while (at != std::string::npos) {
    const std::size_t begin = at + data_field.size();
    const std::size_t end = events.find('\n', begin);
    output += events.substr(begin, end - begin) + '\n';
    at = events.find(data_field, begin);
  }
  return output;
}

int events_in(const std::string& events) {
  int count = 0;
  for (std::size_t at = events.find(end_of_event); at != std::string::npos;
       at = events.find(end_of_event, at + end_of_event.size())) {
    ++count;
  }
  return count;
}

std::vector<std::string> stream_promises::on_part(const stream_part& part) {
  int next = part.after + 1;
  std::size_t at = 0;
  for (std::size_t end = part.events.find(end_of_event); end != std::string::npos;
       end = part.events.find(end_of_event, at)) {
    const std::string event = part.events.substr(at, end - at);
    const std::string start = event_start(next);
    if (!event.starts_with(start)) {
      return {fmt::format("stream {}: '{}' in place of event {}", part.stream, event, next)};
    }
    const std::string version = event.substr(start.size());
    const std::string& began = this->versions.try_emplace(part.stream, version).first->second;
    if (version != began) {
      return {fmt::format("stream {} began at version {} and went on at {} with event {}",
                          part.stream, began, version, next)};
    }
    ++next;
    at = end + end_of_event.size();
  }
  const std::string rest = part.events.substr(at);
  const std::string start = event_start(next);
  if (!start.starts_with(rest) && !rest.starts_with(start)) {
    return {fmt::format("stream {}: '{}' in place of event {}", part.stream, rest, next)};
  }
  if (part.whole && (next != events_per_turn + 1 || !rest.empty())) {
    return {fmt::format("stream {} ended early and looks complete", part.stream)};
  }
  return {};
}

std::optional<std::string> stream_promises::version_of(const std::string& stream) const {
  const auto found = this->versions.find(stream);
  return found == this->versions.end() ? std::nullopt : std::optional(found->second);
}

void stream_promises::on_calm_attempt(bool is_resumption, bool served) {
  attempt_share& counts = is_resumption ? this->resumptions : this->new_streams;
  ++counts.sent;
  counts.served += served ? 1 : 0;
}

std::optional<std::string> stream_promises::broken_share() const {
  const double needed = min_relative_share * this->new_streams.share();
  if (this->resumptions.sent < min_resumptions || this->resumptions.share() >= needed) {
    return std::nullopt;
  }
  return fmt::format("{} of {} resumptions go on in calm times, {} of {} new streams begin",
                     this->resumptions.served, this->resumptions.sent, this->new_streams.served,
                     this->new_streams.sent);
}

}  // namespace hawthornlane::scenarios
