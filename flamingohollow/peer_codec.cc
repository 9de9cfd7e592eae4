// Field by field between the plain structs and Cap'n Proto.

#include "flamingohollow/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <memory>
#include <utility>

#include "schema/peer.capnp.h"

namespace flamingohollow {
namespace {

// Bounds what a decoded message may make the reader walk through.
constexpr std::uint64_t kTraversalLimitWords = std::uint64_t{16} * 1024 * 1024;

// Building.

void Build(schema::PeerMember::Builder out, const Member& member) {
  out.setId(member.id_.value());
  out.setName(member.name_.value());
  out.setAddress(member.address_);
  out.setLearner(member.learner_);
}

template <typename Parent>
void BuildMembership(Parent out, const Membership& membership) {
  if (membership.empty()) return;
  auto list = out.initMembership(static_cast<unsigned>(membership.size()));
  for (unsigned i = 0; i < membership.size(); ++i) {
    Build(list[i], membership[i]);
  }
}

capnp::Data::Reader Bytes(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void Build(schema::PeerEntry::Builder out, const LogEntry& entry) {
  out.setIndex(entry.index_.value());
  out.setTerm(entry.term_.value());
  out.setKind(static_cast<std::uint8_t>(entry.kind_));
  if (!entry.command_.empty()) out.setCommand(Bytes(entry.command_));
  BuildMembership(out, entry.membership_);
}

struct BodyBuilder {
  schema::PeerMessage::Body::Builder out_;

  void operator()(const VoteRequest& body) {
    auto out = out_.initVoteRequest();
    out.setPreVote(body.pre_vote_);
    out.setTransfer(body.transfer_);
    out.setLastIndex(body.last_index_.value());
    out.setLastTerm(body.last_term_.value());
  }
  void operator()(const VoteReply& body) {
    auto out = out_.initVoteReply();
    out.setPreVote(body.pre_vote_);
    out.setGranted(body.granted_);
  }
  void operator()(const AppendRequest& body) {
    auto out = out_.initAppendRequest();
    out.setPreviousIndex(body.previous_index_.value());
    out.setPreviousTerm(body.previous_term_.value());
    out.setCommit(body.commit_.value());
    out.setRound(body.round_);
    out.setSent(body.sent_.ms());
    if (body.entries_.empty()) return;
    auto list = out.initEntries(static_cast<unsigned>(body.entries_.size()));
    for (unsigned i = 0; i < body.entries_.size(); ++i) {
      Build(list[i], body.entries_[i]);
    }
  }
  void operator()(const AppendReply& body) {
    auto out = out_.initAppendReply();
    out.setAccepted(body.accepted_);
    out.setMatch(body.match_.value());
    out.setRound(body.round_);
    out.setSent(body.sent_.ms());
    out.setHoldsLog(body.holds_log_);
  }
  void operator()(const SnapshotChunk& body) {
    auto out = out_.initSnapshotChunk();
    out.setIndex(body.index_.value());
    out.setTerm(body.term_.value());
    BuildMembership(out, body.membership_);
    out.setOffset(body.offset_);
    out.setTotal(body.total_);
    out.setData(Bytes(body.data_));
    out.setRound(body.round_);
    out.setSent(body.sent_.ms());
  }
  void operator()(const SnapshotReply& body) {
    auto out = out_.initSnapshotReply();
    out.setIndex(body.index_.value());
    out.setOffset(body.offset_);
    out.setRound(body.round_);
    out.setSent(body.sent_.ms());
  }
  void operator()(const CampaignNow&) { out_.setCampaignNow(); }
  void operator()(const Probe& body) {
    auto out = out_.initProbe();
    out.setNonce(body.nonce_);
    auto members = out.initMembers(static_cast<unsigned>(body.members_.size()));
    unsigned at = 0;
    for (const VoterId id : body.members_) members.set(at++, id.value());
  }
  void operator()(const ProbeReply& body) {
    auto out = out_.initProbeReply();
    out.setNonce(body.nonce_);
    out.setName(body.name_.value());
    out.setAddress(body.address_);
    out.setState(static_cast<std::uint8_t>(body.state_));
    out.setPledge(body.pledge_);
  }
  void operator()(const FoundRequest& body) {
    auto out = out_.initFoundRequest();
    out.setTake(body.append_to_log_);
    BuildMembership(out, body.membership_);
  }
  void operator()(const FoundReply& body) {
    auto out = out_.initFoundReply();
    out.setTake(body.append_to_log_);
    out.setAccepted(body.accepted_);
    out.setName(body.name_.value());
    out.setDigest(body.digest_);
  }
};

struct DiskRecordBuilder {
  schema::DiskRecord::Builder out_;

  void operator()(const DiskBase& base) {
    auto out = out_.initBase();
    out.setIndex(base.index_.value());
    out.setTerm(base.term_.value());
  }
  void operator()(const HardState& hard) {
    auto out = out_.initHardState();
    out.setTerm(hard.term_.value());
    out.setVote(hard.vote_.value());
    out.setPledge(hard.pledge_);
  }
  void operator()(const LogEntry& entry) { Build(out_.initEntry(), entry); }
};

std::string Pack(capnp::MessageBuilder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Reading. These throw kj::Exception, which `Unpack` turns into nothing.

template <typename Enum>
Enum CheckedEnum(std::uint8_t value, Enum last) {
  KJ_REQUIRE(value <= static_cast<std::uint8_t>(last), "unknown enum value");
  return static_cast<Enum>(value);
}

std::string Text(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string Text(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

Membership ReadMembership(capnp::List<schema::PeerMember>::Reader in) {
  Membership membership;
  membership.reserve(in.size());
  for (const auto member : in) {
    membership.push_back({.id_ = VoterId(member.getId()),
                          .name_ = NodeName(Text(member.getName())),
                          .address_ = Text(member.getAddress()),
                          .learner_ = member.getLearner()});
  }
  return membership;
}

LogEntry ReadEntry(schema::PeerEntry::Reader in) {
  return {.index_ = LogIndex(in.getIndex()),
          .term_ = Term(in.getTerm()),
          .kind_ = CheckedEnum(in.getKind(), EntryKind::kMembership),
          .command_ = Text(in.getCommand()),
          .membership_ = ReadMembership(in.getMembership())};
}

VoteRequest ReadBody(schema::PeerVoteRequest::Reader in) {
  return {.pre_vote_ = in.getPreVote(),
          .transfer_ = in.getTransfer(),
          .last_index_ = LogIndex(in.getLastIndex()),
          .last_term_ = Term(in.getLastTerm())};
}

AppendRequest ReadBody(schema::PeerAppendRequest::Reader in) {
  AppendRequest body{.previous_index_ = LogIndex(in.getPreviousIndex()),
                     .previous_term_ = Term(in.getPreviousTerm()),
                     .commit_ = LogIndex(in.getCommit()),
                     .round_ = in.getRound(),
                     .sent_ = Time(in.getSent()),
                     .entries_ = {}};
  std::uint64_t index = in.getPreviousIndex();
  for (const auto entry : in.getEntries()) {
    body.entries_.push_back(ReadEntry(entry));
    KJ_REQUIRE(body.entries_.back().index_.value() == ++index,
               "entries are not contiguous");
  }
  return body;
}

SnapshotChunk ReadBody(schema::PeerSnapshotChunk::Reader in) {
  return {.index_ = LogIndex(in.getIndex()),
          .term_ = Term(in.getTerm()),
          .membership_ = ReadMembership(in.getMembership()),
          .offset_ = in.getOffset(),
          .total_ = in.getTotal(),
          .data_ = Text(in.getData()),
          .round_ = in.getRound(),
          .sent_ = Time(in.getSent())};
}

Probe ReadBody(schema::PeerProbe::Reader in) {
  Probe probe{.nonce_ = in.getNonce(), .members_ = {}};
  for (const std::uint64_t id : in.getMembers()) {
    probe.members_.emplace_back(id);
  }
  return probe;
}

ProbeReply ReadBody(schema::PeerProbeReply::Reader in) {
  return {.nonce_ = in.getNonce(),
          .name_ = NodeName(Text(in.getName())),
          .address_ = Text(in.getAddress()),
          .state_ = CheckedEnum(in.getState(), JoinState::kPeer),
          .pledge_ = in.getPledge()};
}

FoundReply ReadBody(schema::PeerFoundReply::Reader in) {
  return {.append_to_log_ = in.getTake(),
          .accepted_ = in.getAccepted(),
          .name_ = NodeName(Text(in.getName())),
          .digest_ = in.getDigest()};
}

MessageBody ReadBody(schema::PeerMessage::Body::Reader in) {
  switch (in.which()) {
    case schema::PeerMessage::Body::VOTE_REQUEST:
      return ReadBody(in.getVoteRequest());
    case schema::PeerMessage::Body::VOTE_REPLY:
      return VoteReply{.pre_vote_ = in.getVoteReply().getPreVote(),
                       .granted_ = in.getVoteReply().getGranted()};
    case schema::PeerMessage::Body::APPEND_REQUEST:
      return ReadBody(in.getAppendRequest());
    case schema::PeerMessage::Body::APPEND_REPLY:
      return AppendReply{.accepted_ = in.getAppendReply().getAccepted(),
                         .match_ = LogIndex(in.getAppendReply().getMatch()),
                         .round_ = in.getAppendReply().getRound(),
                         .sent_ = Time(in.getAppendReply().getSent()),
                         .holds_log_ = in.getAppendReply().getHoldsLog()};
    case schema::PeerMessage::Body::SNAPSHOT_CHUNK:
      return ReadBody(in.getSnapshotChunk());
    case schema::PeerMessage::Body::SNAPSHOT_REPLY:
      return SnapshotReply{.index_ = LogIndex(in.getSnapshotReply().getIndex()),
                           .offset_ = in.getSnapshotReply().getOffset(),
                           .round_ = in.getSnapshotReply().getRound(),
                           .sent_ = Time(in.getSnapshotReply().getSent())};
    case schema::PeerMessage::Body::CAMPAIGN_NOW:
      return CampaignNow{};
    case schema::PeerMessage::Body::PROBE:
      return ReadBody(in.getProbe());
    case schema::PeerMessage::Body::PROBE_REPLY:
      return ReadBody(in.getProbeReply());
    case schema::PeerMessage::Body::FOUND_REQUEST:
      return FoundRequest{
          .append_to_log_ = in.getFoundRequest().getTake(),
          .membership_ = ReadMembership(in.getFoundRequest().getMembership())};
    case schema::PeerMessage::Body::FOUND_REPLY:
      return ReadBody(in.getFoundReply());
  }
  KJ_FAIL_REQUIRE("unknown message");
}

DiskRecord ReadDiskRecord(schema::DiskRecord::Reader in) {
  switch (in.which()) {
    case schema::DiskRecord::BASE:
      return DiskBase{.index_ = LogIndex(in.getBase().getIndex()),
                      .term_ = Term(in.getBase().getTerm())};
    case schema::DiskRecord::HARD_STATE:
      return HardState{.term_ = Term(in.getHardState().getTerm()),
                       .vote_ = VoterId(in.getHardState().getVote()),
                       .pledge_ = in.getHardState().getPledge()};
    case schema::DiskRecord::ENTRY:
      return ReadEntry(in.getEntry());
  }
  KJ_FAIL_REQUIRE("unknown record");
}

// Runs `read` on the message in `bytes`; nothing when it does not decode.
template <typename Root, typename Read>
auto Unpack(std::string_view bytes, Read read)
    -> std::optional<decltype(read(std::declval<typename Root::Reader>()))> {
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimitWords;
    capnp::PackedMessageReader reader(stream, options);
    return read(reader.getRoot<Root>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<schema::PeerMessage>();
  out.setGroup(message.group_.value());
  out.setFrom(message.from_.value());
  out.setTo(message.to_.value());
  out.setTerm(message.term_.value());
  out.setFromAddress(message.from_address_);
  std::visit(BodyBuilder{out.getBody()}, message.body_);
  return Pack(builder);
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  return Unpack<schema::PeerMessage>(
      bytes, [](schema::PeerMessage::Reader in) -> Message {
        return {.group_ = GroupId(in.getGroup()),
                .from_ = VoterId(in.getFrom()),
                .to_ = VoterId(in.getTo()),
                .term_ = Term(in.getTerm()),
                .from_address_ = Text(in.getFromAddress()),
                .to_address_ = {},
                .body_ = ReadBody(in.getBody())};
      });
}

std::string EncodeDiskRecord(const DiskRecord& record) {
  capnp::MallocMessageBuilder builder;
  std::visit(DiskRecordBuilder{builder.initRoot<schema::DiskRecord>()}, record);
  return Pack(builder);
}

std::optional<DiskRecord> DecodeDiskRecord(std::string_view bytes) {
  return Unpack<schema::DiskRecord>(bytes, ReadDiskRecord);
}

std::string EncodeDiskSnapshot(const Snapshot& snapshot) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<schema::DiskSnapshot>();
  out.setIndex(snapshot.index_.value());
  out.setTerm(snapshot.term_.value());
  BuildMembership(out, snapshot.membership_);
  out.setData(Bytes(*snapshot.data_));
  return Pack(builder);
}

std::optional<Snapshot> DecodeDiskSnapshot(std::string_view bytes) {
  return Unpack<schema::DiskSnapshot>(
      bytes, [](schema::DiskSnapshot::Reader in) -> Snapshot {
        return {
            .index_ = LogIndex(in.getIndex()),
            .term_ = Term(in.getTerm()),
            .membership_ = ReadMembership(in.getMembership()),
            .data_ = std::make_shared<const std::string>(Text(in.getData()))};
      });
}

std::string EncodeDiskIdentity(const DiskIdentity& identity) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<schema::DiskIdentity>();
  out.setVoter(identity.voter_.value());
  out.setGroup(identity.group_.value());
  out.setName(identity.name_.value());
  return Pack(builder);
}

std::optional<DiskIdentity> DecodeDiskIdentity(std::string_view bytes) {
  return Unpack<schema::DiskIdentity>(
      bytes, [](schema::DiskIdentity::Reader in) -> DiskIdentity {
        return {.voter_ = VoterId(in.getVoter()),
                .group_ = GroupId(in.getGroup()),
                .name_ = NodeName(Text(in.getName()))};
      });
}

}  // namespace flamingohollow
