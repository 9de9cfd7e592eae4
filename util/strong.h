// Strong types for ids and units.
//
// `Strong<Tag, Rep>` wraps one value so that, say, a TermId can't be passed
// where a LogIndex is wanted. It compares, hashes and prints like its value.

#ifndef UTIL_STRONG_H_
#define UTIL_STRONG_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace flamingohollow {

template <typename Tag, typename Rep>
class Strong {
 public:
  using ValueType = Rep;

  constexpr Strong() = default;
  constexpr explicit Strong(Rep value) : value_(std::move(value)) {}

  constexpr const Rep& value() const { return value_; }

  friend constexpr auto operator<=>(const Strong& a, const Strong& b) {
    return a.value_ <=> b.value_;
  }
  friend constexpr bool operator==(const Strong&, const Strong&) = default;

  // Hashing for Abseil containers.
  template <typename H>
  friend H AbslHashValue(H state, const Strong& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  Rep value_{};
};

// The id that follows `id`, for ids that count.
template <typename Tag, typename Rep>
constexpr Strong<Tag, Rep> Next(const Strong<Tag, Rep>& id) {
  return Strong<Tag, Rep>(id.value() + 1);
}

}  // namespace flamingohollow

template <typename Tag, typename Rep>
struct std::hash<flamingohollow::Strong<Tag, Rep>> {
  std::size_t operator()(const flamingohollow::Strong<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};

#endif  // UTIL_STRONG_H_
