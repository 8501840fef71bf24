// Serializes typed messages with cereal's binary archives.
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <tuple>
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

/// Reads a message followed by optional tails. Hosts of older versions neither write nor read the
/// tails. Those that are absent have their default values. Returns nothing if the message is
/// incomplete, or if a tail is present but incomplete.
template <class Message, class... Tails>
std::optional<std::tuple<Message, Tails...>> from_bytes_with_tails(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::BinaryInputArchive archive(in);
    std::tuple<Message, Tails...> parts;
    const auto read_tail = [&in, &archive](auto& tail) {
      if (in.peek() != std::istringstream::traits_type::eof()) {
        archive(tail);
      }
    };
    std::apply(
        [&archive, &read_tail](Message& message, Tails&... tails) {
          archive(message);
          (read_tail(tails), ...);
        },
        parts);
    return parts;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// The same with one tail.
template <class Message, class Tail>
std::optional<std::pair<Message, Tail>> from_bytes_with_tail(const std::string& bytes) {
  auto parts = from_bytes_with_tails<Message, Tail>(bytes);
  if (!parts) {
    return std::nullopt;
  }
  return std::pair(std::move(std::get<0>(*parts)), std::move(std::get<1>(*parts)));
}

}  // namespace hawthornlane
