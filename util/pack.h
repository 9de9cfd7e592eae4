// Binary form of plain structs, for records of the log and for calls between
// our own processes.
//
// A struct takes part by naming its fields once:
//
//   struct Point {
//     int x_ = 0;
//     int y_ = 0;
//     template <class Archive>
//     void serialize(Archive& archive) { archive(x_, y_); }
//   };

#ifndef UTIL_PACK_H_
#define UTIL_PACK_H_

// Lengths of texts and lists take 4 bytes.
#define CEREAL_SIZE_TYPE std::uint32_t

#include <cereal/archives/binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "util/clock.h"
#include "util/strong.h"

namespace flamingohollow {

template <class Archive, class Tag, class Rep>
void save(Archive& archive, const Strong<Tag, Rep>& value) {
  archive(value.value());
}

template <class Archive, class Tag, class Rep>
void load(Archive& archive, Strong<Tag, Rep>& value) {
  Rep rep{};
  archive(rep);
  value = Strong<Tag, Rep>(std::move(rep));
}

template <class Archive>
void save(Archive& archive, const Duration& value) {
  archive(value.ms());
}

template <class Archive>
void load(Archive& archive, Duration& value) {
  std::int64_t ms = 0;
  archive(ms);
  value = Duration(ms);
}

template <class Archive>
void save(Archive& archive, const Time& value) {
  archive(value.ms());
}

template <class Archive>
void load(Archive& archive, Time& value) {
  std::int64_t ms = 0;
  archive(ms);
  value = Time(ms);
}

template <class T>
std::string Pack(const T& value) {
  std::ostringstream out(std::ios::binary);
  cereal::BinaryOutputArchive archive(out);
  archive(value);
  return std::move(out).str();
}

// Nothing when the bytes are no T.
template <class T>
std::optional<T> Unpack(std::string_view bytes) {
  try {
    std::istringstream in{std::string(bytes), std::ios::binary};
    cereal::BinaryInputArchive archive(in);
    T value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace flamingohollow

#endif  // UTIL_PACK_H_
