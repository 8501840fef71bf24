// Typed messages to bytes and back.
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

/// Nothing when the bytes are not a whole message.
template <class Message>
std::optional<Message> from_bytes(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::BinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // cereal reports a short or malformed message only by an exception.
    return std::nullopt;
  }
}

/// A message, and behind it what older hosts neither write nor read: without a tail the bytes are
/// the message's alone. Nothing when they are not a whole message, or the tail is not whole.
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
