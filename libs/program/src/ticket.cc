// Text forms of tickets and program ids.
#include "hawthornlane/program/ticket.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace hawthornlane {
namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t nonce_digits = 16;

std::string hex(std::uint64_t value) {
  std::array<char, nonce_digits> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, hexadecimal);
  std::string digits(buffer.data(), end.ptr);
  return std::string(nonce_digits - digits.size(), '0') + digits;
}

template <class Integer>
std::optional<Integer> parse(std::string_view text, int base) {
  Integer value{};
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// Removes and returns the text before the next `separator`, or the whole text if there is none.
std::string_view take_until(std::string_view& text, char separator) {
  const std::size_t at = text.find(separator);
  const std::string_view head = text.substr(0, at);
  text = at == std::string_view::npos ? std::string_view{} : text.substr(at + 1);
  return head;
}

}  // namespace

std::string to_string(const ticket& value) {
  return std::to_string(value.shard.get()) + "." + std::to_string(value.issued_in.get()) + "." +
         std::to_string(value.turn.get()) + "." + hex(value.nonce);
}

std::optional<ticket> ticket_from_string(std::string_view text) {
  const auto shard = parse<std::uint32_t>(take_until(text, '.'), 10);
  const auto issued_in = parse<std::uint64_t>(take_until(text, '.'), 10);
  const auto turn = parse<std::uint32_t>(take_until(text, '.'), 10);
  const auto nonce = parse<std::uint64_t>(text, hexadecimal);
  if (!shard || !issued_in || !turn || !nonce || text.size() != nonce_digits) {
    return std::nullopt;
  }
  return ticket{shard_id(*shard), epoch(*issued_in), turn_number(*turn), *nonce};
}

program_id make_program_id(shard_id shard, std::uint64_t random) {
  return program_id("p" + std::to_string(shard.get()) + "-" + hex(random));
}

std::optional<shard_id> shard_of(const program_id& program) {
  std::string_view text = program.get();
  if (text.empty() || text.front() != 'p') {
    return std::nullopt;
  }
  text.remove_prefix(1);
  const auto shard = parse<std::uint32_t>(take_until(text, '-'), 10);
  if (!shard || text.size() != nonce_digits || !parse<std::uint64_t>(text, hexadecimal)) {
    return std::nullopt;
  }
  return shard_id(*shard);
}

}  // namespace hawthornlane
