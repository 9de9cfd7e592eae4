// The binary form of durable records and of the messages between processes.
//
//   std::string bytes = Encode(Command(JobEnded{...}));
//   auto command = DecodeCommand(bytes);  // leaf::result<Command>
//
// The form is a packed Cap'n Proto message (schema/wire.capnp). Decoding
// checks everything that it reads: foreign bytes give CodecError, never a
// crash, and at most kMaxDecodedWords words are visited.

#ifndef FLAMINGOHOLLOW_CODEC_H_
#define FLAMINGOHOLLOW_CODEC_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "flamingohollow/command.h"
#include "flamingohollow/job.h"
#include "flamingohollow/messages.h"
#include "flamingohollow/table.h"

namespace flamingohollow {

enum class CodecError : std::uint8_t {
  // Not a message of the wanted kind, or cut short.
  kMalformed,
  // A number stands for nothing, such as an outcome past the last.
  kBadValue,
};

// Limit on the 8-byte words visited while decoding one message.
inline constexpr std::uint64_t kMaxDecodedWords = 64ULL * 1024 * 1024;

std::string Encode(const Command& command);
std::string Encode(const Table& table);
std::string Encode(const JobRecords& records);
std::string Encode(const EntrySync& sync);
std::string Encode(const ControlSync& sync);
std::string Encode(const CallRequest& request);
std::string Encode(const CallReply& reply);

boost::leaf::result<Command> DecodeCommand(std::string_view bytes);
boost::leaf::result<Table> DecodeTable(std::string_view bytes);
boost::leaf::result<JobRecords> DecodeJobRecords(std::string_view bytes);
boost::leaf::result<EntrySync> DecodeEntrySync(std::string_view bytes);
boost::leaf::result<ControlSync> DecodeControlSync(std::string_view bytes);
boost::leaf::result<CallRequest> DecodeCallRequest(std::string_view bytes);
boost::leaf::result<CallReply> DecodeCallReply(std::string_view bytes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CODEC_H_
