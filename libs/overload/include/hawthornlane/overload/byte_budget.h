// A limit for bytes that several holders keep in memory together.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hawthornlane::net {

/// Counts the bytes of all shares. Not thread-safe.
class byte_budget {
public:
  explicit byte_budget(std::size_t most) : max_bytes(most) {}

  void limit(std::size_t most) { this->max_bytes = most; }
  [[nodiscard]] std::size_t used() const { return this->bytes; }

private:
  friend class byte_share;
  std::size_t max_bytes;
  /// Invariant: the sum of what all shares have counted.
  std::size_t bytes = 0;
};

/// One holder's part of a budget; returned when it is destroyed.
class byte_share {
public:
  /// What each holder may keep without regard to the budget: a small message is never refused
  /// because of others' large ones.
  static constexpr std::size_t free_bytes = std::size_t{64} * 1024;

  byte_share() = default;
  explicit byte_share(std::shared_ptr<byte_budget> of) : budget(std::move(of)) {}
  byte_share(const byte_share&) = delete;
  byte_share& operator=(const byte_share&) = delete;
  byte_share(byte_share&& other) noexcept
      : budget(std::move(other.budget)), counted(std::exchange(other.counted, 0)) {}
  byte_share& operator=(byte_share&& other) noexcept {
    std::swap(this->budget, other.budget);
    std::swap(this->counted, other.counted);
    return *this;
  }
  ~byte_share() {
    if (this->budget) {
      this->budget->bytes -= this->counted;
    }
  }

  /// Counts a holder that keeps `size` bytes now; returns false if the budget does not allow it.
  [[nodiscard]] bool grow_to(std::size_t size) {
    if (!this->budget || size <= free_bytes || size <= this->counted) {
      return true;
    }
    const std::size_t more = size - this->counted;
    if (this->budget->bytes + more > this->budget->max_bytes) {
      return false;
    }
    this->budget->bytes += more;
    this->counted = size;
    return true;
  }

private:
  std::shared_ptr<byte_budget> budget;
  std::size_t counted = 0;
};

}  // namespace hawthornlane::net
