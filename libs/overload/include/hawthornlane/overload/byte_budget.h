// A limit for bytes that several holders keep in memory together.
#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>

namespace hawthornlane::overload {

/// Counts the bytes of all holders, from the first one. Thread-safe; only `try_change` is one step.
///
/// A part of the budget is reserved for holders of few bytes, so that a small message is not
/// refused because of others' large ones. Small holders are limited too: thousands of them also
/// fill a process.
class byte_budget {
public:
  /// A holder of at most this many bytes is small.
  static constexpr std::size_t small_bytes = std::size_t{64} * 1024;

  /// Holders of more than `small_bytes` may grow while all together hold at most `most_for_large`;
  /// small ones may take `reserve` in addition.
  byte_budget(std::size_t most_for_large, std::size_t reserve)
      : large_limit(most_for_large), total_limit(most_for_large + reserve) {}

  /// Whether a holder of `before` bytes may hold `after`.
  [[nodiscard]] bool allows(std::size_t before, std::size_t after) const {
    const std::scoped_lock lock(this->mutex);
    return this->has_room(before, after);
  }
  /// Counts a holder's change without a check.
  void change(std::size_t before, std::size_t after) {
    const std::scoped_lock lock(this->mutex);
    this->bytes += after - before;
  }
  /// Counts a holder's change if it is allowed.
  [[nodiscard]] bool try_change(std::size_t before, std::size_t after) {
    const std::scoped_lock lock(this->mutex);
    const bool is_allowed = this->has_room(before, after);
    this->bytes += is_allowed ? after - before : 0;
    return is_allowed;
  }

  /// Limit of what all hold together, for a holder of `size` bytes to grow.
  [[nodiscard]] std::size_t limit_for(std::size_t size) const {
    return size > small_bytes ? this->large_limit : this->total_limit;
  }
  /// The largest holder that can be served at all.
  [[nodiscard]] std::size_t largest() const { return this->large_limit; }
  [[nodiscard]] std::size_t used() const {
    const std::scoped_lock lock(this->mutex);
    return this->bytes;
  }

private:
  [[nodiscard]] bool has_room(std::size_t before, std::size_t after) const {
    return after <= before || this->bytes - before + after <= this->limit_for(after);
  }

  mutable std::mutex mutex;
  std::size_t large_limit;
  std::size_t total_limit;
  /// Invariant: the sum of what all holders have counted.
  std::size_t bytes = 0;
};

/// One holder's part of a budget; returned when it is destroyed.
class byte_share {
public:
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
      this->budget->change(this->counted, 0);
    }
  }

  /// Counts a holder that keeps `size` bytes now; returns false if the budget does not allow it.
  [[nodiscard]] bool grow_to(std::size_t size) {
    if (!this->budget || size <= this->counted) {
      return true;
    }
    const bool is_allowed = this->budget->try_change(this->counted, size);
    this->counted = is_allowed ? size : this->counted;
    return is_allowed;
  }

private:
  std::shared_ptr<byte_budget> budget;
  std::size_t counted = 0;
};

}  // namespace hawthornlane::overload
