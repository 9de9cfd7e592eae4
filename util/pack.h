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
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

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

// Archives a field at the end of a message or record that earlier versions
// lack: what they write ends before the field, and they ignore what follows the
// fields they know.
template <class Archive, class Value>
void ArchiveIfPresent(Archive& archive, Value& value) {
  if constexpr (Archive::is_loading::value) {
    try {
      archive(value);
    } catch (const cereal::Exception&) {
      value = Value();
    }
  } else {
    archive(value);
  }
}

template <class T>
std::string Pack(const T& value) {
  std::ostringstream out(std::ios::binary);
  cereal::BinaryOutputArchive archive(out);
  archive(value);
  return std::move(out).str();
}

// Reads what Pack wrote, from bytes that need not be valid. A list or text that
// claims more elements than bytes are left is an error, so that a few damaged
// bytes can't make it allocate gigabytes. Each element takes a byte or more.
class UnpackArchive
    : public cereal::InputArchive<UnpackArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  // `bytes` must outlive this object.
  explicit UnpackArchive(std::string_view bytes)
      : InputArchive(this), bytes_(bytes) {}

  bool at_end() const { return bytes_.empty(); }

  void Read(void* data, std::size_t size) {
    if (size > bytes_.size()) throw cereal::Exception("the bytes end early");
    if (size > 0) std::memcpy(data, bytes_.data(), size);
    bytes_.remove_prefix(size);
  }

  void CheckCount(std::uint64_t count) const {
    if (count > bytes_.size()) throw cereal::Exception("a list is too long");
  }

 private:
  std::string_view bytes_;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> load(UnpackArchive& archive,
                                               T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.Read(&byte, sizeof(byte));
    if (byte > 1) throw cereal::Exception("not a truth value");
    value = byte == 1;
  } else {
    archive.Read(&value, sizeof(value));
  }
}

template <class T>
void load(UnpackArchive& archive, cereal::BinaryData<T>& data) {
  archive.Read(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void load(UnpackArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void load(UnpackArchive& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckCount(tag.size);
}

// Nothing when the bytes are no T.
template <class T>
std::optional<T> Unpack(std::string_view bytes) {
  try {
    UnpackArchive archive(bytes);
    T value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace flamingohollow

// Tells cereal which archive writes what UnpackArchive reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    flamingohollow::UnpackArchive> {
  using type = cereal::BinaryOutputArchive;
};

#endif  // UTIL_PACK_H_
