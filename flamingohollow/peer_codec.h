// Bytes of the voters' messages and of the data folder's records: Cap'n Proto,
// packed.
//
// Decoding checks every enum and takes bytes from anywhere: what does not
// decode gives nothing.

#ifndef FLAMINGOHOLLOW_PEER_CODEC_H_
#define FLAMINGOHOLLOW_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "flamingohollow/raft.h"
#include "flamingohollow/raft_log.h"
#include "flamingohollow/raft_message.h"
#include "flamingohollow/types.h"

namespace flamingohollow {

std::string EncodeMessage(const Message& message);
std::optional<Message> DecodeMessage(std::string_view bytes);

// Opens a segment: the last entry that earlier segments hold.
struct DiskBase {
  LogIndex index_;
  Term term_;

  friend bool operator==(const DiskBase&, const DiskBase&) = default;
};

using DiskRecord = std::variant<DiskBase, HardState, LogEntry>;

std::string EncodeDiskRecord(const DiskRecord& record);
std::optional<DiskRecord> DecodeDiskRecord(std::string_view bytes);

std::string EncodeDiskSnapshot(const Snapshot& snapshot);
std::optional<Snapshot> DecodeDiskSnapshot(std::string_view bytes);

struct DiskIdentity {
  VoterId voter_;
  GroupId group_;
  NodeName name_;
};

std::string EncodeDiskIdentity(const DiskIdentity& identity);
std::optional<DiskIdentity> DecodeDiskIdentity(std::string_view bytes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_PEER_CODEC_H_
