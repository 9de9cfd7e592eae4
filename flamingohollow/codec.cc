// Turns whole plain structs into packed Cap'n Proto messages and back;
// codec_parts.h does it struct by struct.

#include "flamingohollow/codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <exception>

#include "flamingohollow/codec_parts.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

template <typename Root, typename Value>
std::string EncodeAs(const Value& value) {
  capnp::MallocMessageBuilder message;
  codec::Put(message.initRoot<Root>(), value);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto chars = stream.getArray().asChars();
  return {chars.begin(), chars.size()};
}

template <typename Root, typename Value>
leaf::result<Value> DecodeAs(std::string_view bytes) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxDecodedWords;
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(stream, options);
    Value value;
    codec::Get(message.getRoot<Root>(), value);
    return value;
  } catch (const codec::BadValue&) {
    return leaf::new_error(CodecError::kBadValue);
  } catch (const kj::Exception&) {
    return leaf::new_error(CodecError::kMalformed);
  } catch (const std::exception&) {
    return leaf::new_error(CodecError::kMalformed);
  }
}

}  // namespace

std::string Encode(const Command& command) {
  return EncodeAs<wire::Command>(command);
}
std::string Encode(const Table& table) { return EncodeAs<wire::Table>(table); }
std::string Encode(const JobRecords& records) {
  return EncodeAs<wire::JobRecords>(records);
}
std::string Encode(const EntrySync& sync) {
  return EncodeAs<wire::EntrySync>(sync);
}
std::string Encode(const ControlSync& sync) {
  return EncodeAs<wire::ControlSync>(sync);
}
std::string Encode(const CallRequest& request) {
  return EncodeAs<wire::CallRequest>(request);
}
std::string Encode(const CallReply& reply) {
  return EncodeAs<wire::CallReply>(reply);
}

leaf::result<Command> DecodeCommand(std::string_view bytes) {
  return DecodeAs<wire::Command, Command>(bytes);
}
leaf::result<Table> DecodeTable(std::string_view bytes) {
  return DecodeAs<wire::Table, Table>(bytes);
}
leaf::result<JobRecords> DecodeJobRecords(std::string_view bytes) {
  return DecodeAs<wire::JobRecords, JobRecords>(bytes);
}
leaf::result<EntrySync> DecodeEntrySync(std::string_view bytes) {
  return DecodeAs<wire::EntrySync, EntrySync>(bytes);
}
leaf::result<ControlSync> DecodeControlSync(std::string_view bytes) {
  return DecodeAs<wire::ControlSync, ControlSync>(bytes);
}
leaf::result<CallRequest> DecodeCallRequest(std::string_view bytes) {
  return DecodeAs<wire::CallRequest, CallRequest>(bytes);
}
leaf::result<CallReply> DecodeCallReply(std::string_view bytes) {
  return DecodeAs<wire::CallReply, CallReply>(bytes);
}

}  // namespace flamingohollow
