// Routes records to the table or the job records, and frames the snapshot.
//
// A snapshot is the table's length as 8 bytes, little-endian, then the table
// and the job records as codec.h encodes them.

#include "flamingohollow/control_state.h"

#include <boost/leaf/error.hpp>
#include <cstdint>
#include <utility>

#include "flamingohollow/codec.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kLengthBytes = 8;

std::string EncodeLength(std::uint64_t length) {
  std::string bytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes += static_cast<char>((length >> (8 * i)) & 0xFF);
  }
  return bytes;
}

std::uint64_t DecodeLength(std::string_view bytes) {
  std::uint64_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    length |= static_cast<std::uint64_t>(byte) << (8 * i);
  }
  return length;
}

}  // namespace

ApplyResult ApplyCommand(ControlState& state, LogIndex index,
                         const Command& command) {
  if (const auto* change = std::get_if<TableChange>(&command)) {
    return ApplyTableChange(state.table_, *change);
  }
  return ApplyJobCommand(state.jobs_, index, command);
}

std::string EncodeControlState(const ControlState& state) {
  const std::string table = Encode(state.table_);
  return EncodeLength(table.size()) + table + Encode(state.jobs_);
}

leaf::result<ControlState> DecodeControlState(std::string_view bytes) {
  if (bytes.size() < kLengthBytes) {
    return leaf::new_error(CodecError::kMalformed);
  }
  const std::uint64_t table_bytes = DecodeLength(bytes);
  bytes.remove_prefix(kLengthBytes);
  if (table_bytes > bytes.size()) {
    return leaf::new_error(CodecError::kMalformed);
  }
  ControlState state;
  BOOST_LEAF_ASSIGN(state.table_, DecodeTable(bytes.substr(0, table_bytes)));
  BOOST_LEAF_ASSIGN(state.jobs_, DecodeJobRecords(bytes.substr(table_bytes)));
  return state;
}

}  // namespace flamingohollow
