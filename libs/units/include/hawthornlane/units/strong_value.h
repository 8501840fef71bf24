// Strong typedef: prevents mixing two ids of different kinds by accident.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace hawthornlane {

/// Wraps `Rep` so that values with different `Tag`s are different types.
///
/// It has the ordering and equality of `Rep`, and a hash, but no implicit conversions.
/// Construct it explicitly and read it through `get()`.
template <class Tag, class Rep>
class strong_value {
public:
  using representation = Rep;

  constexpr strong_value() = default;
  constexpr explicit strong_value(Rep initial) : value(std::move(initial)) {}

  [[nodiscard]] constexpr const Rep& get() const { return this->value; }
  /// The next value; only for integral representations.
  [[nodiscard]] constexpr strong_value next() const { return strong_value(this->value + 1); }

  friend constexpr auto operator<=>(const strong_value&, const strong_value&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->value);
  }

private:
  Rep value{};
};

}  // namespace hawthornlane

template <class Tag, class Rep>
struct std::hash<hawthornlane::strong_value<Tag, Rep>> {
  std::size_t operator()(const hawthornlane::strong_value<Tag, Rep>& item) const {
    return std::hash<Rep>{}(item.get());
  }
};
