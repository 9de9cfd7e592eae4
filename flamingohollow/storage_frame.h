// Frames: the byte format of the files in a data folder.
//
// A frame is a header of 32 bytes (magic, payload size, sequence, checksum of
// the payload, checksum of the header; little-endian) and the payload. The
// header's own checksum lets a reader verify the size before it reads the
// payload.

#ifndef FLAMINGOHOLLOW_STORAGE_FRAME_H_
#define FLAMINGOHOLLOW_STORAGE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingohollow {

inline constexpr std::size_t kFrameHeaderBytes = 32;

struct Frame {
  std::uint64_t sequence_ = 0;
  std::string_view payload_;
};

std::string MakeFrame(std::uint64_t sequence, std::string_view payload);

// The frame that starts at `offset`; empty when it is truncated or a
// checksum does not match.
std::optional<Frame> ReadFrame(std::string_view file, std::size_t offset);

// Whether any valid frame with a sequence above `sequence` starts after
// `offset`.
bool HasLaterFrame(std::string_view file, std::size_t offset,
                   std::uint64_t sequence);

// Appends the record's length and the record to a payload.
void AppendRecord(std::string* payload, std::string_view record);

// The records of a payload; empty when the lengths don't add up.
std::optional<std::vector<std::string_view>> SplitRecords(
    std::string_view payload);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_STORAGE_FRAME_H_
