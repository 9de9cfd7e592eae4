// Messages between the voters of one group.

#ifndef FLAMINGOHOLLOW_RAFT_MESSAGE_H_
#define FLAMINGOHOLLOW_RAFT_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "flamingohollow/raft_log.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// Asks for a vote, or in a pre-vote whether a vote would be granted. The
// message's term is the one campaigned for.
struct VoteRequest {
  bool pre_vote_ = false;
  // The old leader requested the campaign (leader transfer), so voters
  // don't refuse it for still hearing from that leader.
  bool transfer_ = false;
  LogIndex last_index_;
  Term last_term_;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

// The message's term is the one campaigned for when granted, else the
// replying voter's own.
struct VoteReply {
  bool pre_vote_ = false;
  bool granted_ = false;

  friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

// Entries after `previous_index_`; a heartbeat has none.
struct AppendRequest {
  LogIndex previous_index_;
  Term previous_term_;
  LogIndex commit_;
  // Both are returned in the answer; only the sender interprets them.
  std::uint64_t round_ = 0;
  Time sent_;
  std::vector<LogEntry> entries_;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendReply {
  bool accepted_ = false;
  // Accepted: all up to here is synced and equals the leader's log; 0
  // acknowledges nothing. Refused: the leader should continue after this index
  // at most.
  LogIndex match_;
  std::uint64_t round_ = 0;
  Time sent_;
  // The sender has synced a part of the group's log, at some time.
  bool holds_log_ = false;

  friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

struct SnapshotChunk {
  LogIndex index_;
  Term term_;
  Membership membership_;
  std::uint64_t offset_ = 0;
  std::uint64_t total_ = 0;
  std::string data_;
  std::uint64_t round_ = 0;
  Time sent_;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

// Asks for the chunk at `offset_`.
struct SnapshotReply {
  LogIndex index_;
  std::uint64_t offset_ = 0;
  std::uint64_t round_ = 0;
  Time sent_;

  friend bool operator==(const SnapshotReply&, const SnapshotReply&) = default;
};

// Leader transfer: the recipient campaigns at once.
struct CampaignNow {
  friend bool operator==(const CampaignNow&, const CampaignNow&) = default;
};

// Asks for the identity of the voter at an address. Its recipient is VoterId 0.
struct Probe {
  // Returned in the answer.
  std::uint64_t nonce_ = 0;
  // The members that the sender knows of.
  std::vector<VoterId> members_;

  friend bool operator==(const Probe&, const Probe&) = default;
};

// A voter's progress in joining a group.
enum class JoinState : std::uint8_t {
  kBlank = 0,
  // Holds the founding membership and nothing else.
  kFounded = 1,
  // Holds a log in whose membership it is a voter.
  kFormed = 2,
  // Holds a log in whose membership it is not a voter: a learner, or removed.
  kNonVoter = 3,
  // Holds a log in whose membership it is a voter, and which names the sender
  // of the probe or a member that the sender knows of. If it is not in the
  // sender's membership, it was removed and has not learned of it.
  kPeer = 4,
};

// Answers a Probe, and any message that was meant for another VoterId at this
// address.
struct ProbeReply {
  // 0 when it answers no Probe.
  std::uint64_t nonce_ = 0;
  NodeName name_;
  std::string address_;
  JoinState state_ = JoinState::kBlank;
  // Digest of the founding membership pledged to or held; 0 for none.
  std::uint64_t pledge_ = 0;

  friend bool operator==(const ProbeReply&, const ProbeReply&) = default;
};

// Asks a founder to pledge to this founding membership (`append_to_log_` is
// false) or, once all have pledged, to append it to its log (`append_to_log_`
// is true).
struct FoundRequest {
  bool append_to_log_ = false;
  Membership membership_;

  friend bool operator==(const FoundRequest&, const FoundRequest&) = default;
};

struct FoundReply {
  bool append_to_log_ = false;
  bool accepted_ = false;
  NodeName name_;
  std::uint64_t digest_ = 0;

  friend bool operator==(const FoundReply&, const FoundReply&) = default;
};

using MessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, CampaignNow, Probe, ProbeReply,
                 FoundRequest, FoundReply>;

struct Message {
  GroupId group_;
  VoterId from_;
  // 0 only for a Probe.
  VoterId to_;
  Term term_;
  // The address for answers.
  std::string from_address_;
  // The recipient's address; not serialized.
  std::string to_address_;
  MessageBody body_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RAFT_MESSAGE_H_
