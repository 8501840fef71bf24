// Converts messages to and from cereal's portable binary form.
#include "hawthornlane/peer/wire.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace hawthornlane {
namespace {

template <class Value>
std::string encode(const Value& value) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  // The serialize functions are used for reading too and therefore are not const.
  Value copy = value;
  archive(copy);
  return std::move(out).str();
}

template <class Value>
std::optional<Value> decode(const std::string& bytes) {
  std::istringstream in(bytes);
  Value value;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(value);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string to_bytes(const shard_message& message) { return encode(message); }

std::optional<shard_message> shard_message_from_bytes(const std::string& bytes) {
  return decode<shard_message>(bytes);
}

std::string to_bytes(const probe_message& message) { return encode(message); }

std::optional<probe_message> probe_from_bytes(const std::string& bytes) {
  return decode<probe_message>(bytes);
}

std::string to_bytes(const log_snapshot& log) { return encode(log); }

std::optional<log_snapshot> log_snapshot_from_bytes(const std::string& bytes) {
  return decode<log_snapshot>(bytes);
}

}  // namespace hawthornlane
