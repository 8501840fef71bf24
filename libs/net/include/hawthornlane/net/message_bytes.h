// Serializes typed messages with cereal's binary archives.
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

namespace hawthornlane {

template <class Message>
std::string to_bytes(const Message& message) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(message);
  return std::move(out).str();
}

/// Returns nothing when the bytes are not a complete message.
template <class Message>
std::optional<Message> from_bytes(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::BinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // cereal reports a truncated or malformed message only by throwing.
    return std::nullopt;
  }
}

/// Reads a message followed by an optional tail. Hosts of older versions neither write nor read
/// the tail. If it is absent, the returned tail has its default values. Returns nothing if the
/// message is incomplete, or if the tail is present but incomplete.
template <class Message, class Tail>
std::optional<std::pair<Message, Tail>> from_bytes_with_tail(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::BinaryInputArchive archive(in);
    std::pair<Message, Tail> both;
    archive(both.first);
    if (in.peek() != std::istringstream::traits_type::eof()) {
      archive(both.second);
    }
    return both;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hawthornlane
