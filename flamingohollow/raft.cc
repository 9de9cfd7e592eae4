// Dispatch of events and elections.

#include "flamingohollow/raft.h"

#include <algorithm>
#include <utility>

#include "flamingohollow/raft_internal.h"

namespace flamingohollow {
namespace raft_internal {
namespace {

// Whether a log that ends with (`term`, `index`) is at least as up to date as
// this one. Only such a log can hold everything committed.
bool AtLeastAsUpToDate(const RaftLog& log, Term term, LogIndex index) {
  if (term != LastTerm(log)) return term > LastTerm(log);
  return index >= LastIndex(log);
}

// Whether this voter leads or recently heard from a leader. It then refuses
// votes, so a voter returning from a partition can't depose a working leader.
bool HasLiveLeader(const RaftState& state, Time now) {
  if (state.role_ == Role::kLeader) return true;
  return state.last_leader_contact_.has_value() &&
         now - *state.last_leader_contact_ < state.config_.election_min_;
}

bool HasMajorityOfVotes(const RaftState& state) {
  const Membership& membership = CurrentMembership(state.log_);
  std::size_t granted = 0;
  for (const VoterId voter : state.votes_) {
    if (IsVoter(membership, voter)) ++granted;
  }
  return granted >= QuorumSize(membership);
}

void RequestVotes(StepContext ctx, Term term, bool pre_vote,
                  Delivery delivery) {
  const RaftState& state = ctx.state_;
  const VoteRequest request{.pre_vote_ = pre_vote,
                            .transfer_ = state.transfer_campaign_,
                            .last_index_ = LastIndex(state.log_),
                            .last_term_ = LastTerm(state.log_)};
  for (const Member& member : CurrentMembership(state.log_)) {
    if (member.learner_ || member.id_ == state.id_) continue;
    Send(ctx, member.id_, member.address_, term, request, delivery);
  }
}

// Sets the timeout of a campaign. It is shorter than the election timeout: each
// retry begins with a pre-vote, which does not disturb the others, and two
// candidates that split the votes should not both wait long.
void SetRetryDeadline(StepContext ctx) {
  RaftState& state = ctx.state_;
  const Duration heartbeat = state.config_.heartbeat_;
  const auto spread = static_cast<std::uint64_t>(heartbeat.ms()) * 2 + 1;
  const auto extra = static_cast<std::int64_t>(NextRandom(&state) % spread);
  state.election_deadline_ = ctx.now_ + heartbeat + Duration(extra);
}

void Campaign(StepContext ctx, bool transfer) {
  RaftState& state = ctx.state_;
  state.role_ = Role::kCandidate;
  state.leader_ = VoterId();
  state.campaign_started_ = ctx.now_;
  state.votes_.clear();
  state.transfer_campaign_ = transfer;
  state.hard_.term_ = Next(state.hard_.term_);
  state.hard_.vote_ = state.id_;
  WriteHardState(ctx);
  SetRetryDeadline(ctx);
  RequestVotes(ctx, state.hard_.term_, false, Delivery::kSynced);
  // This voter's own vote also counts only once it is synced.
  Send(ctx, state.id_, state.address_, state.hard_.term_,
       VoteReply{.pre_vote_ = false, .granted_ = true}, Delivery::kSynced);
}

// Starts a pre-vote: asks whether a campaign would succeed without starting a
// new term, so a voter that can't win never raises the others' terms.
void PreCampaign(StepContext ctx) {
  RaftState& state = ctx.state_;
  state.role_ = Role::kPreCandidate;
  state.leader_ = VoterId();
  state.campaign_started_ = ctx.now_;
  state.transfer_campaign_ = false;
  state.votes_ = {state.id_};
  SetRetryDeadline(ctx);
  if (HasMajorityOfVotes(state)) return Campaign(ctx, false);
  RequestVotes(ctx, Next(state.hard_.term_), true, Delivery::kNow);
}

void BecomeLeader(StepContext ctx) {
  RaftState& state = ctx.state_;
  state.role_ = Role::kLeader;
  state.leader_ = state.id_;
  state.last_leader_contact_.reset();
  StartLeading(ctx);
}

void HandlePreVote(StepContext ctx, const Message& message,
                   const VoteRequest& request) {
  const RaftState& state = ctx.state_;
  const bool granted =
      message.term_ > state.hard_.term_ && !HasLiveLeader(state, ctx.now_) &&
      AtLeastAsUpToDate(state.log_, request.last_term_, request.last_index_);
  Send(ctx, message.from_, message.from_address_,
       granted ? message.term_ : state.hard_.term_,
       VoteReply{.pre_vote_ = true, .granted_ = granted}, Delivery::kNow);
}

void HandleVoteRequest(StepContext ctx, const Message& message,
                       const VoteRequest& request) {
  RaftState& state = ctx.state_;
  // A blank voter belongs to no group and votes in none.
  if (CurrentMembership(state.log_).empty()) return;
  if (request.pre_vote_) return HandlePreVote(ctx, message, request);
  if (!request.transfer_ && HasLiveLeader(state, ctx.now_)) return;
  if (message.term_ > state.hard_.term_) {
    BecomeFollower(ctx, message.term_, VoterId());
  }
  const bool may_vote =
      state.hard_.vote_ == VoterId() || state.hard_.vote_ == message.from_;
  const bool granted =
      message.term_ == state.hard_.term_ && may_vote &&
      AtLeastAsUpToDate(state.log_, request.last_term_, request.last_index_);
  if (granted) {
    state.hard_.vote_ = message.from_;
    WriteHardState(ctx);
    ResetElectionDeadline(ctx);
  }
  Reply(ctx, message, VoteReply{.pre_vote_ = false, .granted_ = granted},
        Delivery::kSynced);
}

void HandleVoteReply(StepContext ctx, const Message& message,
                     const VoteReply& reply) {
  RaftState& state = ctx.state_;
  if (!reply.granted_) {
    if (message.term_ > state.hard_.term_) {
      BecomeFollower(ctx, message.term_, VoterId());
    }
    return;
  }
  const Role awaited = reply.pre_vote_ ? Role::kPreCandidate : Role::kCandidate;
  const Term term =
      reply.pre_vote_ ? Next(state.hard_.term_) : state.hard_.term_;
  if (state.role_ != awaited || message.term_ != term) return;
  // Ignores votes that waited in a buffer while this process was suspended: the
  // voters that sent them may follow another leader by now.
  if (ctx.now_ - state.campaign_started_ >= state.config_.election_min_) return;
  state.votes_.insert(message.from_);
  if (!HasMajorityOfVotes(state)) return;
  if (reply.pre_vote_) return Campaign(ctx, false);
  BecomeLeader(ctx);
}

void HandleCampaignNow(StepContext ctx, const Message& message) {
  const RaftState& state = ctx.state_;
  if (message.term_ != state.hard_.term_ || state.role_ == Role::kLeader) {
    return;
  }
  if (!IsVoter(CurrentMembership(state.log_), state.id_)) return;
  Campaign(ctx, true);
}

// Whether a campaign makes sense: this voter is in the newest membership, or
// in one that may still be in force. Until its removal is committed, a removed
// voter may be the only one with a log long enough to win.
bool MayCampaign(const RaftState& state) {
  const std::vector<MembershipAt>& memberships = state.log_.memberships_;
  for (auto at = memberships.rbegin(); at != memberships.rend(); ++at) {
    if (IsVoter(at->membership_, state.id_)) return true;
    if (at->index_ <= state.commit_) return false;
  }
  return false;
}

void TickFollower(StepContext ctx) {
  const RaftState& state = ctx.state_;
  if (ctx.now_ < state.election_deadline_ || !MayCampaign(state)) return;
  PreCampaign(ctx);
}

void Tick(StepContext ctx) {
  TickMembership(ctx);
  if (ctx.state_.role_ == Role::kLeader) return TickLeader(ctx);
  TickFollower(ctx);
}

bool IsFromLeader(const MessageBody& body) {
  return std::holds_alternative<AppendRequest>(body) ||
         std::holds_alternative<SnapshotChunk>(body);
}

// Messages whose meaning depends on the sender's term.
void ReceiveInTerm(StepContext ctx, const Message& message) {
  RaftState& state = ctx.state_;
  if (message.term_ > state.hard_.term_) {
    BecomeFollower(ctx, message.term_, VoterId());
  }
  if (message.term_ < state.hard_.term_) {
    // The reply carries the newer term, so an old leader steps down.
    if (IsFromLeader(message.body_)) {
      Reply(ctx, message, AppendReply{}, Delivery::kSynced);
    }
    return;
  }
  if (const auto* append = std::get_if<AppendRequest>(&message.body_)) {
    HandleAppendRequest(ctx, message, *append);
  } else if (const auto* ack = std::get_if<AppendReply>(&message.body_)) {
    HandleAppendReply(ctx, message, *ack);
  } else if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body_)) {
    HandleSnapshotChunk(ctx, message, *chunk);
  } else if (const auto* snapshot_reply =
                 std::get_if<SnapshotReply>(&message.body_)) {
    HandleSnapshotReply(ctx, message, *snapshot_reply);
  } else if (std::holds_alternative<CampaignNow>(message.body_)) {
    HandleCampaignNow(ctx, message);
  }
}

void Receive(StepContext ctx, const Message& message) {
  if (message.group_ != ctx.state_.group_) return;
  if (const auto* probe = std::get_if<Probe>(&message.body_)) {
    return HandleProbe(ctx, message, *probe);
  }
  if (message.to_ != ctx.state_.id_) {
    // The message is meant for a voter that lost its folder or moved away.
    if (IsFromLeader(message.body_)) ReplyWithActualIdentity(ctx, message);
    return;
  }
  if (const auto* reply = std::get_if<ProbeReply>(&message.body_)) {
    HandleProbeReply(ctx, message, *reply);
  } else if (const auto* found_request =
                 std::get_if<FoundRequest>(&message.body_)) {
    HandleFoundRequest(ctx, message, *found_request);
  } else if (const auto* found_reply =
                 std::get_if<FoundReply>(&message.body_)) {
    HandleFoundReply(ctx, *found_reply);
  } else if (const auto* vote = std::get_if<VoteRequest>(&message.body_)) {
    HandleVoteRequest(ctx, message, *vote);
  } else if (const auto* granted = std::get_if<VoteReply>(&message.body_)) {
    HandleVoteReply(ctx, message, *granted);
  } else {
    // An answer of this voter to itself comes once what it appended is synced.
    if (message.from_ == ctx.state_.id_) ctx.state_.holds_log_ = true;
    ReceiveInTerm(ctx, message);
  }
}

// A leader without answers from a majority for an election timeout may have
// been replaced. It steps down before it does anything else, also when its
// process resumes after a long suspension.
void CheckQuorum(StepContext ctx) {
  const RaftState& state = ctx.state_;
  if (state.role_ != Role::kLeader || HasQuorum(state, ctx.now_)) return;
  BecomeFollower(ctx, state.hard_.term_, VoterId());
}

struct EventHandler {
  StepContext ctx_;

  void operator()(const TickEvent&) const { Tick(ctx_); }
  void operator()(const Message& message) const { Receive(ctx_, message); }
  void operator()(const ProposeEvent& event) const { Propose(ctx_, event); }
  void operator()(const ReadEvent& event) const { Read(ctx_, event); }
  void operator()(const TransferEvent&) const { Transfer(ctx_); }
  void operator()(const InitEvent& event) const { Init(ctx_, event); }
  void operator()(const AddVoterEvent& event) const { AddVoter(ctx_, event); }
  void operator()(const RemoveVoterEvent& event) const {
    RemoveVoter(ctx_, event);
  }
  void operator()(const CompactEvent& event) const { Compact(ctx_, event); }
};

}  // namespace

std::uint64_t NextRandom(RaftState* state) {
  state->random_ += 0x9e3779b97f4a7c15;
  std::uint64_t z = state->random_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

void Send(StepContext ctx, VoterId to, const std::string& address, Term term,
          MessageBody body, Delivery delivery) {
  Message message{.group_ = ctx.state_.group_,
                  .from_ = ctx.state_.id_,
                  .to_ = to,
                  .term_ = term,
                  .from_address_ = ctx.state_.address_,
                  .to_address_ = address,
                  .body_ = std::move(body)};
  auto& queue = delivery == Delivery::kNow ? ctx.actions_.send_
                                           : ctx.actions_.send_synced_;
  queue.push_back(std::move(message));
}

void Reply(StepContext ctx, const Message& message, MessageBody body,
           Delivery delivery) {
  Send(ctx, message.from_, message.from_address_, ctx.state_.hard_.term_,
       std::move(body), delivery);
}

void WriteHardState(StepContext ctx) {
  ctx.actions_.hard_state_ = ctx.state_.hard_;
}

void ResetElectionDeadline(StepContext ctx) {
  RaftState& state = ctx.state_;
  const RaftConfig& config = state.config_;
  const auto spread = static_cast<std::uint64_t>(
      (config.election_max_ - config.election_min_).ms() + 1);
  const auto extra = static_cast<std::int64_t>(NextRandom(&state) % spread);
  state.election_deadline_ = ctx.now_ + config.election_min_ + Duration(extra);
}

void BecomeFollower(StepContext ctx, Term term, VoterId leader) {
  RaftState& state = ctx.state_;
  if (term > state.hard_.term_) {
    state.hard_.term_ = term;
    state.hard_.vote_ = VoterId();
    state.last_leader_contact_.reset();
    WriteHardState(ctx);
  }
  if (state.role_ == Role::kLeader) {
    StopLeading(ctx);
    ResetElectionDeadline(ctx);
  }
  state.role_ = Role::kFollower;
  state.leader_ = leader;
  state.votes_.clear();
  state.transfer_campaign_ = false;
}

}  // namespace raft_internal

RaftState MakeRaftState(RaftConfig config, GroupId group, const Member& self,
                        std::uint64_t seed, HardState hard, Snapshot snapshot,
                        std::vector<LogEntry> entries, Time now) {
  RaftState state;
  state.config_ = config;
  state.group_ = group;
  state.id_ = self.id_;
  state.name_ = self.name_;
  state.address_ = self.address_;
  state.random_ = seed;
  state.hard_ = hard;
  state.commit_ = snapshot.index_;
  state.applied_ = snapshot.index_;
  if (snapshot.index_ != LogIndex()) ResetLog(&state.log_, std::move(snapshot));
  for (LogEntry& entry : entries) AppendEntry(&state.log_, std::move(entry));
  state.holds_log_ = !IsBlank(state);
  Actions unused;
  raft_internal::ResetElectionDeadline({state, now, unused});
  return state;
}

Actions Step(RaftState* state, const RaftEvent& event, Time now) {
  Actions actions;
  const raft_internal::StepContext ctx{*state, now, actions};
  raft_internal::CheckQuorum(ctx);
  std::visit(raft_internal::EventHandler{ctx}, event);
  // The leader counts its own copy once it is synced.
  if (state->role_ == Role::kLeader && !actions.append_.empty()) {
    AppendReply own;
    own.accepted_ = true;
    own.match_ = LastIndex(state->log_);
    raft_internal::Send(ctx, state->id_, state->address_, state->hard_.term_,
                        own, raft_internal::Delivery::kSynced);
  }
  // The first part of a log notes in the same way that it is synced.
  const bool writes_log =
      !actions.append_.empty() || actions.snapshot_.has_value();
  if (state->role_ != Role::kLeader && !state->holds_log_ && writes_log) {
    raft_internal::Send(ctx, state->id_, state->address_, state->hard_.term_,
                        AppendReply{}, raft_internal::Delivery::kSynced);
  }
  return actions;
}

const LogEntry* TakeCommitted(RaftState* state) {
  if (state->applied_ >= state->commit_) return nullptr;
  state->applied_ = Next(state->applied_);
  return EntryAt(state->log_, state->applied_);
}

bool HasQuorum(const RaftState& state, Time now) {
  const Duration limit = state.config_.election_min_;
  if (state.role_ == Role::kLeader) {
    return now - raft_internal::QuorumAnswered(state, now) <= limit;
  }
  return state.leader_ != VoterId() && state.last_leader_contact_.has_value() &&
         now - *state.last_leader_contact_ <= limit;
}

bool LeaderReady(const RaftState& state) {
  return state.role_ == Role::kLeader && state.commit_ >= state.term_start_;
}

bool IsBlank(const RaftState& state) {
  return LastIndex(state.log_) == LogIndex();
}

}  // namespace flamingohollow
