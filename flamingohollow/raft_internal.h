// Declarations shared by the consensus step's files: raft.cc (dispatch and
// elections), raft_replicate.cc (the log) and raft_membership.cc (founding,
// adding, removing).

#ifndef FLAMINGOHOLLOW_RAFT_INTERNAL_H_
#define FLAMINGOHOLLOW_RAFT_INTERNAL_H_

#include <cstdint>
#include <string>

#include "flamingohollow/raft.h"

namespace flamingohollow::raft_internal {

// Arguments and output of the current step.
struct StepContext {
  RaftState& state_;
  Time now_;
  Actions& actions_;
};

// When a message may be sent.
enum class Delivery : std::uint8_t { kNow, kSynced };

// raft.cc

// A pseudo-random number (splitmix64).
std::uint64_t NextRandom(RaftState* state);
// Sends `body` under `term`.
void Send(StepContext ctx, VoterId to, const std::string& address, Term term,
          MessageBody body, Delivery delivery);
// Answers `message` under this voter's term.
void Reply(StepContext ctx, const Message& message, MessageBody body,
           Delivery delivery);
void WriteHardState(StepContext ctx);
void ResetElectionDeadline(StepContext ctx);
// Adopts `term` if it is newer, and `leader` (0 for unknown); ends this voter's
// leadership or candidacy.
void BecomeFollower(StepContext ctx, Term term, VoterId leader);

// raft_replicate.cc

// Appends to the leader's own log.
LogIndex AppendLocal(StepContext ctx, LogEntry entry);
// Sets up Progress for all members and opens the term with a no-op.
void StartLeading(StepContext ctx);
// Fails pending reads and membership changes and clears the leader state.
void StopLeading(StepContext ctx);
void BroadcastEntries(StepContext ctx);
void TickLeader(StepContext ctx);
// The newest moment at which a majority is known to have followed this leader.
Time QuorumAnswered(const RaftState& state, Time now);
void Propose(StepContext ctx, const ProposeEvent& event);
void Read(StepContext ctx, const ReadEvent& event);
void Transfer(StepContext ctx);
void Compact(StepContext ctx, const CompactEvent& event);
void HandleAppendRequest(StepContext ctx, const Message& message,
                         const AppendRequest& request);
void HandleAppendReply(StepContext ctx, const Message& message,
                       const AppendReply& reply);
void HandleSnapshotChunk(StepContext ctx, const Message& message,
                         const SnapshotChunk& chunk);
void HandleSnapshotReply(StepContext ctx, const Message& message,
                         const SnapshotReply& reply);

// raft_membership.cc

// Makes `progress_` match the membership; new members are first sent `next`.
void TrackMembers(StepContext ctx, LogIndex next);
// Promotes a learner that holds all committed entries, if no change is pending.
void PromoteLearner(StepContext ctx);
// Answers the operator whose change is committed.
void AnswerOperator(StepContext ctx);
void TickMembership(StepContext ctx);
void StopMembershipWork(StepContext ctx);
void Init(StepContext ctx, const InitEvent& event);
void AddVoter(StepContext ctx, const AddVoterEvent& event);
void RemoveVoter(StepContext ctx, const RemoveVoterEvent& event);
void HandleProbe(StepContext ctx, const Message& message, const Probe& probe);
void HandleProbeReply(StepContext ctx, const Message& message,
                      const ProbeReply& reply);
void HandleFoundRequest(StepContext ctx, const Message& message,
                        const FoundRequest& request);
void HandleFoundReply(StepContext ctx, const FoundReply& reply);
// Replies to a message meant for another VoterId with this voter's identity.
void ReplyWithActualIdentity(StepContext ctx, const Message& message);

}  // namespace flamingohollow::raft_internal

#endif  // FLAMINGOHOLLOW_RAFT_INTERNAL_H_
