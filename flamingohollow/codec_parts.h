// Internal to the codec: reading and writing single schema structs.
//
// Put(builder, value) fills one schema struct and Get(reader, value) reads one;
// lists go through PutList and GetList. Get throws BadValue for a number that
// stands for nothing; codec.cc turns it, and whatever Cap'n Proto throws, into
// a CodecError. Only the codec's sources include this file, as it brings the
// Cap'n Proto headers with it.

#ifndef FLAMINGOHOLLOW_CODEC_PARTS_H_
#define FLAMINGOHOLLOW_CODEC_PARTS_H_

#include <capnp/common.h>

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "flamingohollow/command.h"
#include "flamingohollow/job.h"
#include "flamingohollow/messages.h"
#include "flamingohollow/table.h"
#include "schema/wire.capnp.h"

namespace flamingohollow::codec {

struct BadValue {};

template <typename Enum>
Enum CheckedEnum(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) throw BadValue();
  return static_cast<Enum>(value);
}

inline capnp::Data::Reader AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

inline std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

inline std::string ToString(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

// One pair a schema struct.
void Put(wire::Cell::Builder builder, const Cell& value);
void Get(wire::Cell::Reader reader, Cell& value);
void Put(wire::Row::Builder builder, const Row& value);
void Get(wire::Row::Reader reader, Row& value);
void Put(wire::TableChange::Builder builder, const TableChange& value);
void Get(wire::TableChange::Reader reader, TableChange& value);
void Put(wire::TableResult::Builder builder, const TableResult& value);
void Get(wire::TableResult::Reader reader, TableResult& value);
void Put(wire::ChangeRecord::Builder builder, const ChangeRecord& value);
void Get(wire::ChangeRecord::Reader reader, ChangeRecord& value);
void Put(wire::Table::Builder builder, const Table& value);
void Get(wire::Table::Reader reader, Table& value);
void Put(wire::JobSpec::Builder builder, const JobSpec& value);
void Get(wire::JobSpec::Reader reader, JobSpec& value);
void Put(wire::Slice::Builder builder, const Slice& value);
void Get(wire::Slice::Reader reader, Slice& value);
void Put(wire::JobAccepted::Builder builder, const JobAccepted& value);
void Get(wire::JobAccepted::Reader reader, JobAccepted& value);
void Put(wire::JobMayRun::Builder builder, const JobMayRun& value);
void Get(wire::JobMayRun::Reader reader, JobMayRun& value);
void Put(wire::JobRequeued::Builder builder, const JobRequeued& value);
void Get(wire::JobRequeued::Reader reader, JobRequeued& value);
void Put(wire::JobEnded::Builder builder, const JobEnded& value);
void Get(wire::JobEnded::Reader reader, JobEnded& value);
void Put(wire::Command::Builder builder, const Command& value);
void Get(wire::Command::Reader reader, Command& value);
void Put(wire::JobRecord::Builder builder, const JobRecord& value);
void Get(wire::JobRecord::Reader reader, JobRecord& value);
void Put(wire::JobRecords::Builder builder, const JobRecords& value);
void Get(wire::JobRecords::Reader reader, JobRecords& value);
void Put(wire::JobView::Builder builder, const JobView& value);
void Get(wire::JobView::Reader reader, JobView& value);
void Put(wire::LeaseReport::Builder builder, const LeaseReport& value);
void Get(wire::LeaseReport::Reader reader, LeaseReport& value);
void Put(wire::WorkerReport::Builder builder, const WorkerReport& value);
void Get(wire::WorkerReport::Reader reader, WorkerReport& value);
void Put(wire::WorkerCommand::Builder builder, const WorkerCommand& value);
void Get(wire::WorkerCommand::Reader reader, WorkerCommand& value);
void Put(wire::EntrySync::Builder builder, const EntrySync& value);
void Get(wire::EntrySync::Reader reader, EntrySync& value);
void Put(wire::ControlSync::Builder builder, const ControlSync& value);
void Get(wire::ControlSync::Reader reader, ControlSync& value);
void Put(wire::CallRequest::Builder builder, const CallRequest& value);
void Get(wire::CallRequest::Reader reader, CallRequest& value);
void Put(wire::CallReply::Builder builder, const CallReply& value);
void Get(wire::CallReply::Reader reader, CallReply& value);

// Lists of structs: `builder` is a list builder of the right length.
template <typename ListBuilder, typename Container>
void PutList(ListBuilder builder, const Container& values) {
  unsigned position = 0;
  for (const auto& value : values) Put(builder[position++], value);
}

template <typename ListReader, typename Container>
void GetList(ListReader list, Container& values) {
  for (auto reader : list) {
    typename Container::value_type value;
    Get(reader, value);
    values.push_back(std::move(value));
  }
}

// Lists of strong ids over text or numbers.
template <typename ListBuilder, typename Id>
void PutIds(ListBuilder builder, const std::vector<Id>& ids) {
  unsigned position = 0;
  for (const Id& id : ids) {
    if constexpr (std::is_same_v<typename Id::ValueType, std::string>) {
      builder.set(position++, id.value().c_str());
    } else {
      builder.set(position++, id.value());
    }
  }
}

template <typename ListReader, typename Id>
void GetIds(ListReader list, std::vector<Id>& ids) {
  for (auto value : list) {
    if constexpr (std::is_same_v<typename Id::ValueType, std::string>) {
      ids.push_back(Id(ToString(value)));
    } else {
      ids.push_back(Id(value));
    }
  }
}

inline void PutParts(capnp::List<capnp::Data>::Builder builder,
                     const std::vector<std::string>& parts) {
  unsigned position = 0;
  for (const std::string& part : parts) builder.set(position++, AsData(part));
}

inline void GetParts(capnp::List<capnp::Data>::Reader list,
                     std::vector<std::string>& parts) {
  for (auto part : list) parts.push_back(ToString(part));
}

}  // namespace flamingohollow::codec

#endif  // FLAMINGOHOLLOW_CODEC_PARTS_H_
