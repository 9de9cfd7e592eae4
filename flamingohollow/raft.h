// Consensus on the replicated log, as step functions over a plain struct.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check
// quorum, leader transfer, learners and one membership change at a time.
// `Step` takes one event and says what to write, send and apply; it reads no
// clock, file or random device. The caller (replica.cc) carries them out.
//
// What makes it safe, beyond the paper:
// - A VoterId identifies a data folder. Every message names the VoterId of its
//   sender and of its recipient. A wiped folder gets a new VoterId, so it can
//   neither claim the entries that the old one acknowledged nor vote in its
//   place.
// - A message about durable state (a granted vote, an acknowledged entry) is
//   sent only after everything written before it is synced: `send_synced_`. The
//   leader's own vote and acknowledgement are messages to itself and are held
//   back in the same way.
// - A blank voter (no log, no snapshot) neither campaigns nor votes. It joins a
//   group when that group's leader sends it the log, or through `init`, where
//   every founder pledges to the one founding membership before any of them may
//   use it.
// - A learner is promoted only once it has synced and acknowledged all
//   committed entries. A voter that lost its folder is removed from the quorum
//   by the same record that adds it again as a learner.
//
// Cost of a step: O(members log members) at the leader, O(entries) at a
// follower. Memory: the log since the last snapshot, one snapshot coming in,
// and bounded queues; see RaftConfig.

#ifndef FLAMINGOHOLLOW_RAFT_H_
#define FLAMINGOHOLLOW_RAFT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "flamingohollow/raft_log.h"
#include "flamingohollow/raft_message.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct RaftConfig {
  Duration heartbeat_ = Duration(200);
  // A follower campaigns this long after it last heard from a leader; the
  // exact time is chosen at random for each election. The minimum is also how
  // long a leader keeps leading without answers from a majority, and how long
  // a follower refuses votes against a leader that it heard from.
  Duration election_min_ = Duration(600);
  Duration election_max_ = Duration(1200);
  // Unanswered entries are sent again after this long.
  Duration resend_timeout_ = Duration(300);
  // Timeout of `init`.
  Duration contact_timeout_ = Duration(3000);
  // Timeout of waiting for the answer of an added voter. Other changes of the
  // membership wait meanwhile.
  Duration join_timeout_ = Duration(1000);
  // Learners are promoted while there are fewer voters than this; 0 promotes
  // all of them.
  std::size_t wanted_voters_ = 0;
  std::size_t batch_bytes_ = std::size_t{256} * 1024;
  std::size_t batch_entries_ = 512;
  // Maximum number of unacknowledged batches per voter.
  std::size_t max_in_flight_batches_ = 8;
  std::size_t chunk_bytes_ = std::size_t{256} * 1024;
  std::size_t max_snapshot_bytes_ = std::size_t{64} * 1024 * 1024;
  // Proposals are refused while this much is not committed.
  std::size_t max_uncommitted_bytes_ = std::size_t{4} * 1024 * 1024;
  std::size_t max_uncommitted_entries_ = 8192;
  std::size_t max_waiting_reads_ = 4096;
  // Entries kept behind a snapshot, so that a voter that is a little behind
  // needs no snapshot.
  std::size_t keep_entries_ = 256;
};

// State that must be durable in addition to the log.
struct HardState {
  Term term_;
  // The voter that got this voter's vote in `term_`; 0 for none.
  VoterId vote_;
  // Digest of the founding membership that this voter pledged to; 0 for none.
  std::uint64_t pledge_ = 0;

  friend bool operator==(const HardState&, const HardState&) = default;
};

enum class Role : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

// The leader's view of one member's replication.
struct Progress {
  // The member has synced all entries up to this index.
  LogIndex match_;
  // The next entry to send; > match_.
  LogIndex next_;
  // Last index of each unacknowledged batch, ascending.
  std::deque<LogIndex> in_flight_;
  // Send one batch at a time until an acknowledgement shows up to which index
  // the logs match.
  bool probing_ = true;
  // The member has answered this leader.
  bool heard_ = false;
  // The member has synced a part of the log, for this leader or an earlier one.
  bool holds_log_ = false;
  // When the leader sent the newest message that was answered. The arrival time
  // of the answer is not used because an answer may have waited in a buffer.
  Time answered_;
  // The newest read round answered.
  std::uint64_t round_ = 0;
  Time last_sent_;
  // When to send again if no acknowledgement comes.
  Time resend_at_;
  // The snapshot being sent; index 0 for none.
  LogIndex snapshot_;
  std::uint64_t snapshot_offset_ = 0;
};

// A read that is confirmed once a majority has answered `round_` and `index_`
// is committed.
struct WaitingRead {
  std::uint64_t id_ = 0;
  std::uint64_t round_ = 0;
  LogIndex index_;
};

// A snapshot that is being received in chunks.
struct IncomingSnapshot {
  VoterId leader_;
  LogIndex index_;
  Term term_;
  std::string data_;
};

// Name and address of a voter: a founder named in the settings, or a voter that
// an operator adds.
struct VoterAddress {
  NodeName name_;
  std::string address_;

  friend bool operator==(const VoterAddress&, const VoterAddress&) = default;
};

// Phases of an `init`: ask the founders for their identities, collect their
// pledges, and have them append the founding membership.
enum class FormationPhase : std::uint8_t { kProbe, kPledge, kFound };

// A running `init`, at the voter that received the request.
struct Formation {
  FormationPhase phase_ = FormationPhase::kProbe;
  std::vector<VoterAddress> founders_;
  // Complete after the first phase.
  Membership membership_;
  // Names of the founders that have answered in this phase.
  std::set<NodeName> answered_;
  Time deadline_;
  Time resend_at_;
};

// An added or returning voter whose identity the leader is asking for.
struct Joining {
  VoterAddress voter_;
  // Only answers to this leader's own probes of this voter count, also to those
  // of earlier tries: an older answer may name an identity that no longer
  // exists.
  std::uint64_t nonce_ = 0;
  // An operator requested this change and waits for its result.
  bool by_operator_ = false;
  Time deadline_;
  Time resend_at_;
};

struct RaftState {
  RaftConfig config_;
  GroupId group_;
  VoterId id_;
  NodeName name_;
  std::string address_;
  // State of the generator of election timeouts.
  std::uint64_t random_ = 1;

  HardState hard_;
  RaftLog log_;
  // A part of the log has been synced.
  bool holds_log_ = false;

  Role role_ = Role::kFollower;
  // 0 while unknown.
  VoterId leader_;
  // base_index_ <= applied_ <= commit_ <= LastIndex; none ever decreases.
  LogIndex commit_;
  LogIndex applied_;
  Time election_deadline_;
  // When this follower last heard from a leader of its term, if it has.
  std::optional<Time> last_leader_contact_;
  // Members that granted the running pre-vote or vote.
  std::set<VoterId> votes_;
  Time campaign_started_;
  // The old leader requested the running campaign (leader transfer).
  bool transfer_campaign_ = false;
  std::optional<IncomingSnapshot> incoming_;
  std::optional<Formation> formation_;

  // Leader only; cleared on losing leadership.
  std::map<VoterId, Progress> progress_;
  // The entry that opened the leader's term. Once it is committed, so is
  // everything that earlier leaders committed.
  LogIndex term_start_;
  std::uint64_t read_round_ = 0;
  std::deque<WaitingRead> reads_;
  // Bytes of the entries after commit_.
  std::size_t uncommitted_bytes_ = 0;
  // Deadline of a running leader transfer. Proposals are refused until then, or
  // until leadership is lost.
  std::optional<Time> transfer_deadline_;
  std::optional<Joining> joining_;
  // What the nonces of this leader's probes are made of; 0 before the first.
  std::uint64_t probe_secret_ = 0;
  // An operator's change of membership that is answered once this entry is
  // committed.
  std::optional<LogIndex> operator_change_index_;
};

// Events.

struct TickEvent {};
struct ProposeEvent {
  std::string command_;
};
// Requests confirmation that this voter still leads after the event.
struct ReadEvent {
  std::uint64_t id_ = 0;
};
struct TransferEvent {};
struct InitEvent {
  std::vector<VoterAddress> founders_;
};
// Adds a voter, or replaces the one of this name.
struct AddVoterEvent {
  VoterAddress voter_;
};
struct RemoveVoterEvent {
  NodeName name_;
};
// The caller's snapshot of its state, which covers all entries up to
// `applied_`.
struct CompactEvent {
  std::shared_ptr<const std::string> data_;
};

using RaftEvent =
    std::variant<TickEvent, Message, ProposeEvent, ReadEvent, TransferEvent,
                 InitEvent, AddVoterEvent, RemoveVoterEvent, CompactEvent>;

// Actions.

struct ReadResult {
  std::uint64_t id_ = 0;
  bool ok_ = false;
};

// Answer to an operator's event.
struct OperatorResult {
  bool ok_ = false;
  std::string reason_;
};

struct SaveSnapshot {
  Snapshot snapshot_;
  // The snapshot replaces the whole log instead of only compacting it.
  bool reset_log_ = false;
};

// Writes happen in this order: hard state, snapshot, entries. The first entry
// replaces the log from its index on.
struct Actions {
  std::optional<HardState> hard_state_;
  std::optional<SaveSnapshot> snapshot_;
  std::vector<LogEntry> append_;
  // May be sent at once.
  std::vector<Message> send_;
  // May be sent once all writes up to and including this step's are synced.
  // Messages to this voter itself are passed back to `Step`.
  std::vector<Message> send_synced_;
  // The caller must replace its state by the log's snapshot.
  bool restore_ = false;

  // Answer to a ProposeEvent: the entry's index. Empty when it was refused,
  // either because too much is uncommitted (`refused_overloaded_`) or because
  // this voter does not lead or is transferring its leadership.
  std::optional<LogIndex> proposed_;
  bool refused_overloaded_ = false;
  std::vector<ReadResult> reads_;
  // Answers InitEvent, in its step or a later one.
  std::optional<OperatorResult> init_;
  // Answers AddVoterEvent and RemoveVoterEvent, in its step or a later one; a
  // second while one is unanswered is refused by `operator_busy_`.
  std::optional<OperatorResult> operator_;
  bool operator_busy_ = false;
  // Answers TransferEvent at once: whether a transfer has begun.
  std::optional<OperatorResult> transfer_;
};

// Restores a voter's state from its data folder. `snapshot` has index 0 when
// there is none; `entries` follow the snapshot.
RaftState MakeRaftState(RaftConfig config, GroupId group, const Member& self,
                        std::uint64_t seed, HardState hard, Snapshot snapshot,
                        std::vector<LogEntry> entries, Time now);

Actions Step(RaftState* state, const RaftEvent& event, Time now);

// The next committed entry to apply, marked as applied; null when there is
// none.
const LogEntry* TakeCommitted(RaftState* state);

// True while a majority answered this leader, or this follower heard from its
// leader, within the minimal election timeout.
bool HasQuorum(const RaftState& state, Time now);

// True once the leader has committed an entry of its own term.
bool LeaderReady(const RaftState& state);

// True when this voter has no log and no snapshot, so it belongs to no group.
bool IsBlank(const RaftState& state);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RAFT_H_
