// Encoding and decoding of frames and records.

#include "flamingohollow/storage_frame.h"

#include <xxhash.h>

#include <bit>
#include <cstring>

namespace flamingohollow {
namespace {

static_assert(std::endian::native == std::endian::little,
              "files are little-endian");

constexpr std::uint32_t kMagic = 0x31464846;  // "FHF1"
constexpr std::size_t kHeaderChecksumOffset = 24;

template <typename T>
void Put(std::string* out, T value) {
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  out->append(bytes, sizeof value);
}

template <typename T>
T Get(std::string_view in, std::size_t offset) {
  T value;
  std::memcpy(&value, in.data() + offset, sizeof value);
  return value;
}

}  // namespace

std::string MakeFrame(std::uint64_t sequence, std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  Put(&frame, kMagic);
  Put(&frame, static_cast<std::uint32_t>(payload.size()));
  Put(&frame, sequence);
  Put<std::uint64_t>(&frame, XXH3_64bits(payload.data(), payload.size()));
  Put<std::uint64_t>(&frame, XXH3_64bits(frame.data(), frame.size()));
  frame.append(payload);
  return frame;
}

std::optional<Frame> ReadFrame(std::string_view file, std::size_t offset) {
  if (offset > file.size() || file.size() - offset < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view header = file.substr(offset, kFrameHeaderBytes);
  if (Get<std::uint32_t>(header, 0) != kMagic) return std::nullopt;
  if (Get<std::uint64_t>(header, kHeaderChecksumOffset) !=
      XXH3_64bits(header.data(), kHeaderChecksumOffset)) {
    return std::nullopt;
  }
  const auto size = Get<std::uint32_t>(header, 4);
  const std::string_view rest = file.substr(offset + kFrameHeaderBytes);
  if (rest.size() < size) return std::nullopt;
  const std::string_view payload = rest.substr(0, size);
  if (Get<std::uint64_t>(header, 16) !=
      XXH3_64bits(payload.data(), payload.size())) {
    return std::nullopt;
  }
  return Frame{.sequence_ = Get<std::uint64_t>(header, 8), .payload_ = payload};
}

bool HasLaterFrame(std::string_view file, std::size_t offset,
                   std::uint64_t sequence) {
  std::string magic;
  Put(&magic, kMagic);
  for (std::size_t at = file.find(magic, offset + 1);
       at != std::string_view::npos; at = file.find(magic, at + 1)) {
    const std::optional<Frame> frame = ReadFrame(file, at);
    if (frame.has_value() && frame->sequence_ > sequence) return true;
  }
  return false;
}

void AppendRecord(std::string* payload, std::string_view record) {
  Put(payload, static_cast<std::uint32_t>(record.size()));
  payload->append(record);
}

std::optional<std::vector<std::string_view>> SplitRecords(
    std::string_view payload) {
  std::vector<std::string_view> records;
  while (!payload.empty()) {
    if (payload.size() < sizeof(std::uint32_t)) return std::nullopt;
    const auto size = Get<std::uint32_t>(payload, 0);
    payload.remove_prefix(sizeof size);
    if (payload.size() < size) return std::nullopt;
    records.push_back(payload.substr(0, size));
    payload.remove_prefix(size);
  }
  return records;
}

}  // namespace flamingohollow
