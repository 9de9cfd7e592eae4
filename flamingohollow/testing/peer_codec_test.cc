// Messages and disk records come back as they went; damaged bytes come back as
// nothing or as some message, never as a crash.

#include "flamingohollow/peer_codec.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace flamingohollow {
namespace {

Membership SomeMembers() {
  return {{.id_ = VoterId(1),
           .name_ = NodeName("a"),
           .address_ = "10.0.0.1:7000",
           .learner_ = false},
          {.id_ = VoterId(2),
           .name_ = NodeName("b"),
           .address_ = "10.0.0.2:7000",
           .learner_ = true}};
}

std::vector<LogEntry> SomeEntries() {
  LogEntry command;
  command.index_ = LogIndex(6);
  command.term_ = Term(2);
  command.command_ = std::string("\0\xff text", 7);
  LogEntry membership;
  membership.index_ = LogIndex(7);
  membership.term_ = Term(2);
  membership.kind_ = EntryKind::kMembership;
  membership.membership_ = SomeMembers();
  return {command, membership};
}

std::vector<MessageBody> AllBodies() {
  AppendRequest append;
  append.previous_index_ = LogIndex(5);
  append.previous_term_ = Term(2);
  append.commit_ = LogIndex(4);
  append.round_ = 11;
  append.sent_ = Time(-3);
  append.entries_ = SomeEntries();
  SnapshotChunk chunk;
  chunk.index_ = LogIndex(9);
  chunk.term_ = Term(3);
  chunk.membership_ = SomeMembers();
  chunk.offset_ = 100;
  chunk.total_ = 300;
  chunk.data_ = "data";
  ProbeReply probed;
  probed.nonce_ = 5;
  probed.name_ = NodeName("a");
  probed.address_ = "10.0.0.1:7000";
  probed.state_ = JoinState::kFounded;
  probed.pledge_ = 77;
  return {VoteRequest{true, true, LogIndex(5), Term(2)},
          VoteReply{true, true},
          append,
          AppendReply{true, LogIndex(3), 4, Time(5), true},
          chunk,
          SnapshotReply{LogIndex(9), 104, 1, Time(2)},
          CampaignNow{},
          Probe{6, {VoterId(3), VoterId(4)}},
          probed,
          FoundRequest{true, SomeMembers()},
          FoundReply{true, true, NodeName("a"), 9}};
}

Message WithBody(const MessageBody& body) {
  Message message;
  message.group_ = GroupId(1);
  message.from_ = VoterId(2);
  message.to_ = VoterId(3);
  message.term_ = Term(4);
  message.from_address_ = "10.0.0.1:7000";
  message.body_ = body;
  return message;
}

TEST_CASE("every message comes back as it went") {
  for (const MessageBody& body : AllBodies()) {
    CAPTURE(body.index());
    const Message sent = WithBody(body);
    const std::optional<Message> got = DecodeMessage(EncodeMessage(sent));
    REQUIRE(got.has_value());
    CHECK(got->body_ == sent.body_);
    CHECK(got->group_ == sent.group_);
    CHECK(got->from_ == sent.from_);
    CHECK(got->to_ == sent.to_);
    CHECK(got->term_ == sent.term_);
    CHECK(got->from_address_ == sent.from_address_);
  }
}

TEST_CASE("cut and flipped messages do no harm") {
  for (const MessageBody& body : AllBodies()) {
    const std::string whole = EncodeMessage(WithBody(body));
    for (std::size_t at = 0; at < whole.size(); ++at) {
      DecodeMessage(whole.substr(0, at));
      for (const char flip : {'\x01', '\x10', '\x7f'}) {
        std::string damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ flip);
        DecodeMessage(damaged);
      }
    }
  }
  // Entries out of order would break the log.
  AppendRequest skipping;
  skipping.entries_ = SomeEntries();
  CHECK_FALSE(DecodeMessage(EncodeMessage(WithBody(skipping))).has_value());
}

TEST_CASE("disk records come back as they went") {
  std::vector<DiskRecord> records = {DiskBase{LogIndex(3), Term(2)},
                                     HardState{Term(3), VoterId(4), 5}};
  for (const LogEntry& entry : SomeEntries()) records.emplace_back(entry);
  for (const DiskRecord& record : records) {
    CHECK(DecodeDiskRecord(EncodeDiskRecord(record)) == record);
  }
}

}  // namespace
}  // namespace flamingohollow
