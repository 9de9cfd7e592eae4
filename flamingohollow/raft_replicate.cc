// The log between leader and followers: appending, acknowledging, committing,
// confirming leadership and sending snapshots.

#include <algorithm>
#include <functional>
#include <utility>

#include "flamingohollow/raft.h"
#include "flamingohollow/raft_internal.h"

namespace flamingohollow::raft_internal {
namespace {

LogIndex Previous(LogIndex index) { return LogIndex(index.value() - 1); }

LogIndex Plus(LogIndex index, std::size_t count) {
  return LogIndex(index.value() + count);
}

bool AnsweredRecently(const RaftState& state, const Progress& progress,
                      Time now) {
  return now - progress.answered_ <= state.config_.election_min_;
}

// The highest value that a majority of the voters has reached; `get` reads it
// from a voter's Progress. The voters are those of the newest membership in the
// log, committed or not.
template <typename T, typename Get>
T ReachedByMajority(const RaftState& state, Get get) {
  std::vector<T> values;
  for (const Member& member : CurrentMembership(state.log_)) {
    if (member.learner_) continue;
    const auto progress = state.progress_.find(member.id_);
    values.push_back(progress == state.progress_.end()
                         ? T()
                         : get(member.id_, progress->second));
  }
  if (values.empty()) return T();
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

std::uint64_t ConfirmedRound(const RaftState& state) {
  return ReachedByMajority<std::uint64_t>(
      state, [&state](VoterId id, const Progress& progress) {
        return id == state.id_ ? state.read_round_ : progress.round_;
      });
}

// Sending.

void SendAppend(StepContext ctx, const Member& member, Progress* progress,
                LogIndex previous, Term previous_term,
                std::vector<LogEntry> entries) {
  const RaftState& state = ctx.state_;
  progress->last_sent_ = ctx.now_;
  Send(ctx, member.id_, member.address_, state.hard_.term_,
       AppendRequest{.previous_index_ = previous,
                     .previous_term_ = previous_term,
                     .commit_ = state.commit_,
                     .round_ = state.read_round_,
                     .sent_ = ctx.now_,
                     .entries_ = std::move(entries)},
       Delivery::kNow);
}

// A heartbeat's previous entry is one that the member is known to hold, so it
// is accepted regardless of batches in flight. It advances the member's commit
// index up to that entry.
void SendHeartbeat(StepContext ctx, const Member& member, Progress* progress) {
  const std::optional<Term> term = TermAt(ctx.state_.log_, progress->match_);
  if (term.has_value()) {
    SendAppend(ctx, member, progress, progress->match_, *term, {});
  } else {
    SendAppend(ctx, member, progress, LogIndex(), Term(), {});
  }
}

void SendChunk(StepContext ctx, const Member& member, Progress* progress) {
  const RaftState& state = ctx.state_;
  const Snapshot& snapshot = state.log_.snapshot_;
  if (progress->snapshot_ != snapshot.index_) {
    progress->snapshot_ = snapshot.index_;
    progress->snapshot_offset_ = 0;
    progress->in_flight_.clear();
  }
  progress->last_sent_ = ctx.now_;
  progress->resend_at_ = ctx.now_ + state.config_.resend_timeout_;
  const std::size_t offset =
      std::min<std::size_t>(progress->snapshot_offset_, snapshot.data_->size());
  Send(ctx, member.id_, member.address_, state.hard_.term_,
       SnapshotChunk{
           .index_ = snapshot.index_,
           .term_ = snapshot.term_,
           .membership_ = snapshot.membership_,
           .offset_ = offset,
           .total_ = snapshot.data_->size(),
           .data_ = snapshot.data_->substr(offset, state.config_.chunk_bytes_),
           .round_ = state.read_round_,
           .sent_ = ctx.now_},
       Delivery::kNow);
}

std::vector<LogEntry> NextBatch(const RaftState& state, LogIndex from) {
  std::vector<LogEntry> batch;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= LastIndex(state.log_);
       index = Next(index)) {
    const LogEntry* entry = EntryAt(state.log_, index);
    bytes += EntryBytes(*entry);
    const bool full = batch.size() >= state.config_.batch_entries_ ||
                      bytes > state.config_.batch_bytes_;
    if (full && !batch.empty()) break;
    batch.push_back(*entry);
  }
  return batch;
}

// Sends what the member lacks, as far as its window allows. A member that does
// not answer gets heartbeats only, so a dead one costs little.
void SendEntries(StepContext ctx, const Member& member, Progress* progress) {
  const RaftState& state = ctx.state_;
  if (member.id_ == state.id_ || progress->snapshot_ != LogIndex()) return;
  if (!AnsweredRecently(state, *progress, ctx.now_)) return;
  const std::size_t window =
      progress->probing_ ? 1 : state.config_.max_in_flight_batches_;
  while (progress->next_ <= LastIndex(state.log_) &&
         progress->in_flight_.size() < window) {
    const LogIndex previous = Previous(progress->next_);
    const std::optional<Term> term = TermAt(state.log_, previous);
    if (!term.has_value()) return SendChunk(ctx, member, progress);
    std::vector<LogEntry> batch = NextBatch(state, progress->next_);
    if (progress->in_flight_.empty()) {
      progress->resend_at_ = ctx.now_ + state.config_.resend_timeout_;
    }
    progress->next_ = Plus(progress->next_, batch.size());
    progress->in_flight_.push_back(Previous(progress->next_));
    SendAppend(ctx, member, progress, previous, *term, std::move(batch));
  }
}

void BroadcastHeartbeats(StepContext ctx) {
  for (const Member& member : CurrentMembership(ctx.state_.log_)) {
    if (member.id_ == ctx.state_.id_) continue;
    SendHeartbeat(ctx, member, &ctx.state_.progress_[member.id_]);
  }
}

// Resends from the last acknowledged entry after a message was lost.
void Rewind(Progress* progress, LogIndex next) {
  progress->next_ = next;
  progress->in_flight_.clear();
  progress->probing_ = true;
}

void TickMember(StepContext ctx, const Member& member, Progress* progress) {
  const RaftState& state = ctx.state_;
  const bool overdue = ctx.now_ >= progress->resend_at_;
  if (progress->snapshot_ != LogIndex()) {
    if (overdue) SendChunk(ctx, member, progress);
  } else {
    if (overdue && progress->match_ < LastIndex(state.log_)) {
      progress->resend_at_ = ctx.now_ + state.config_.resend_timeout_;
      Rewind(progress, Next(progress->match_));
    }
    SendEntries(ctx, member, progress);
  }
  if (ctx.now_ - progress->last_sent_ >= state.config_.heartbeat_) {
    SendHeartbeat(ctx, member, progress);
  }
}

// Confirming leadership.

// Completes the reads whose round a majority has answered. Their index is
// committed, so applying up to the commit index covers it.
void CompleteConfirmedReads(StepContext ctx) {
  RaftState& state = ctx.state_;
  if (state.reads_.empty()) return;
  const std::uint64_t confirmed = ConfirmedRound(state);
  while (!state.reads_.empty() && state.reads_.front().round_ <= confirmed &&
         state.reads_.front().index_ <= state.commit_) {
    ctx.actions_.reads_.push_back({state.reads_.front().id_, true});
    state.reads_.pop_front();
  }
  // Reads that arrived while a round was pending need the next one.
  if (confirmed == state.read_round_ && !state.reads_.empty() &&
      state.reads_.back().round_ > state.read_round_) {
    ++state.read_round_;
    BroadcastHeartbeats(ctx);
  }
}

// Committing.

// A leader commits by counting only entries of its own term; entries of
// earlier terms are committed along with them (Raft, section 5.4.2).
void AdvanceCommit(StepContext ctx) {
  RaftState& state = ctx.state_;
  const auto reached = ReachedByMajority<LogIndex>(
      state, [](VoterId, const Progress& progress) { return progress.match_; });
  if (reached <= state.commit_) return;
  if (TermAt(state.log_, reached) != state.hard_.term_) return;
  for (LogIndex index = Next(state.commit_); index <= reached;
       index = Next(index)) {
    state.uncommitted_bytes_ -= EntryBytes(*EntryAt(state.log_, index));
  }
  state.commit_ = reached;
  AnswerOperator(ctx);
}

// A leader that was removed keeps leading until its removal is committed.
void StepDownIfRemoved(StepContext ctx) {
  const RaftState& state = ctx.state_;
  if (CurrentMembershipIndex(state.log_) > state.commit_) return;
  if (IsVoter(CurrentMembership(state.log_), state.id_)) return;
  BecomeFollower(ctx, state.hard_.term_, VoterId());
}

// The responsive voter with the longest log, other than the leader.
const Member* TransferTarget(const RaftState& state, Time now) {
  const Member* best = nullptr;
  LogIndex best_match;
  for (const Member& member : CurrentMembership(state.log_)) {
    if (member.learner_ || member.id_ == state.id_) continue;
    const Progress& progress = state.progress_.at(member.id_);
    if (!AnsweredRecently(state, progress, now)) continue;
    if (best != nullptr && progress.match_ <= best_match) continue;
    best = &member;
    best_match = progress.match_;
  }
  return best;
}

// Requests the target to campaign once it holds the whole log.
void ContinueTransfer(StepContext ctx) {
  const RaftState& state = ctx.state_;
  if (!state.transfer_deadline_.has_value()) return;
  const Member* target = TransferTarget(state, ctx.now_);
  if (target == nullptr) return;
  if (state.progress_.at(target->id_).match_ != LastIndex(state.log_)) return;
  Send(ctx, target->id_, target->address_, state.hard_.term_, CampaignNow{},
       Delivery::kNow);
}

// Following.

void FollowLeader(StepContext ctx, const Message& message) {
  RaftState& state = ctx.state_;
  BecomeFollower(ctx, state.hard_.term_, message.from_);
  state.last_leader_contact_ = ctx.now_;
  ResetElectionDeadline(ctx);
}

// The index after which the leader should continue when this voter refuses: the
// last one before the term that conflicts, but not before the commit index. A
// log that ends before `previous` continues at its end.
LogIndex ConflictHint(const RaftState& state, LogIndex previous) {
  if (previous > LastIndex(state.log_)) return LastIndex(state.log_);
  const std::optional<Term> conflicting = TermAt(state.log_, previous);
  LogIndex hint = Previous(previous);
  while (hint > state.commit_ && TermAt(state.log_, hint) == conflicting) {
    hint = Previous(hint);
  }
  return hint;
}

// Appends the new entries. Entries already present with the same term are
// equal; the log is truncated at the first one whose term differs.
void AppendNewEntries(StepContext ctx, const AppendRequest& request) {
  RaftState& state = ctx.state_;
  for (const LogEntry& entry : request.entries_) {
    if (entry.index_ <= state.commit_) continue;
    const std::optional<Term> held = TermAt(state.log_, entry.index_);
    if (held == entry.term_) continue;
    if (held.has_value()) TruncateFrom(&state.log_, entry.index_);
    AppendEntry(&state.log_, entry);
    ctx.actions_.append_.push_back(entry);
  }
}

}  // namespace

Time QuorumAnswered(const RaftState& state, Time now) {
  return ReachedByMajority<Time>(
      state, [&state, now](VoterId id, const Progress& progress) {
        return id == state.id_ ? now : progress.answered_;
      });
}

LogIndex AppendLocal(StepContext ctx, LogEntry entry) {
  RaftState& state = ctx.state_;
  entry.index_ = Next(LastIndex(state.log_));
  entry.term_ = state.hard_.term_;
  state.uncommitted_bytes_ += EntryBytes(entry);
  ctx.actions_.append_.push_back(entry);
  const LogIndex index = entry.index_;
  AppendEntry(&state.log_, std::move(entry));
  return index;
}

void StartLeading(StepContext ctx) {
  RaftState& state = ctx.state_;
  state.progress_.clear();
  TrackMembers(ctx, Next(LastIndex(state.log_)));
  // A vote proves only that its sender answered after the campaign began; the
  // sender may have failed since.
  for (auto& [id, progress] : state.progress_) {
    progress.answered_ = state.campaign_started_;
  }
  state.uncommitted_bytes_ = 0;
  for (LogIndex index = Next(state.commit_); index <= LastIndex(state.log_);
       index = Next(index)) {
    state.uncommitted_bytes_ += EntryBytes(*EntryAt(state.log_, index));
  }
  LogEntry opening;
  opening.kind_ = EntryKind::kNoop;
  state.term_start_ = AppendLocal(ctx, std::move(opening));
  BroadcastEntries(ctx);
}

void StopLeading(StepContext ctx) {
  RaftState& state = ctx.state_;
  for (const WaitingRead& read : state.reads_) {
    ctx.actions_.reads_.push_back({read.id_, false});
  }
  state.reads_.clear();
  state.progress_.clear();
  state.transfer_deadline_.reset();
  state.uncommitted_bytes_ = 0;
  StopMembershipWork(ctx);
}

void BroadcastEntries(StepContext ctx) {
  for (const Member& member : CurrentMembership(ctx.state_.log_)) {
    SendEntries(ctx, member, &ctx.state_.progress_[member.id_]);
  }
}

void TickLeader(StepContext ctx) {
  RaftState& state = ctx.state_;
  if (state.transfer_deadline_ && ctx.now_ > *state.transfer_deadline_) {
    state.transfer_deadline_.reset();
  }
  for (const Member& member : CurrentMembership(state.log_)) {
    if (member.id_ == state.id_) continue;
    TickMember(ctx, member, &state.progress_[member.id_]);
  }
  PromoteLearner(ctx);
}

void Propose(StepContext ctx, const ProposeEvent& event) {
  const RaftState& state = ctx.state_;
  if (state.role_ != Role::kLeader || state.transfer_deadline_) return;
  const std::uint64_t uncommitted =
      LastIndex(state.log_).value() - state.commit_.value();
  if (uncommitted >= state.config_.max_uncommitted_entries_ ||
      state.uncommitted_bytes_ >= state.config_.max_uncommitted_bytes_) {
    ctx.actions_.refused_overloaded_ = true;
    return;
  }
  LogEntry entry;
  entry.command_ = event.command_;
  ctx.actions_.proposed_ = AppendLocal(ctx, std::move(entry));
  BroadcastEntries(ctx);
}

void Read(StepContext ctx, const ReadEvent& event) {
  RaftState& state = ctx.state_;
  if (state.role_ != Role::kLeader ||
      state.reads_.size() >= state.config_.max_waiting_reads_) {
    ctx.actions_.reads_.push_back({event.id_, false});
    return;
  }
  // Until the first entry of its own term is committed, the leader does not
  // know all that earlier leaders committed.
  const LogIndex index = std::max(state.commit_, state.term_start_);
  const bool round_pending = ConfirmedRound(state) < state.read_round_;
  state.reads_.push_back({event.id_, state.read_round_ + 1, index});
  if (!round_pending) {
    ++state.read_round_;
    BroadcastHeartbeats(ctx);
  }
  CompleteConfirmedReads(ctx);
}

void Transfer(StepContext ctx) {
  RaftState& state = ctx.state_;
  OperatorResult& result = ctx.actions_.transfer_.emplace();
  if (state.role_ != Role::kLeader) {
    result.reason_ = "this voter does not lead";
    return;
  }
  if (TransferTarget(state, ctx.now_) == nullptr) {
    result.reason_ = "no other voter answers";
    return;
  }
  result.ok_ = true;
  state.transfer_deadline_ = ctx.now_ + state.config_.election_min_;
  ContinueTransfer(ctx);
}

void Compact(StepContext ctx, const CompactEvent& event) {
  RaftState& state = ctx.state_;
  if (state.applied_ <= state.log_.snapshot_.index_) return;
  Snapshot snapshot;
  snapshot.index_ = state.applied_;
  snapshot.term_ = *TermAt(state.log_, state.applied_);
  snapshot.data_ = event.data_;
  for (const MembershipAt& at : state.log_.memberships_) {
    if (at.index_ <= state.applied_) snapshot.membership_ = at.membership_;
  }
  ctx.actions_.snapshot_ = SaveSnapshot{.snapshot_ = snapshot};
  CompactLog(&state.log_, std::move(snapshot), state.config_.keep_entries_);
}

void HandleAppendRequest(StepContext ctx, const Message& message,
                         const AppendRequest& request) {
  RaftState& state = ctx.state_;
  // A term has only one leader, so no other voter can have sent this.
  if (state.role_ == Role::kLeader) return;
  FollowLeader(ctx, message);
  AppendReply reply;
  reply.round_ = request.round_;
  reply.sent_ = request.sent_;
  reply.holds_log_ = state.holds_log_;
  const LogIndex previous = request.previous_index_;
  // What is committed here equals the leader's log.
  const bool matches = previous <= state.commit_ ||
                       TermAt(state.log_, previous) == request.previous_term_;
  if (!matches) {
    reply.match_ = ConflictHint(state, previous);
    return Reply(ctx, message, reply, Delivery::kSynced);
  }
  reply.accepted_ = true;
  AppendNewEntries(ctx, request);
  const LogIndex match = Plus(previous, request.entries_.size());
  state.commit_ = std::max(state.commit_, std::min(request.commit_, match));
  if (!request.entries_.empty()) {
    reply.match_ = match;
    return Reply(ctx, message, reply, Delivery::kSynced);
  }
  // A heartbeat's answer claims nothing durable, so a slow disk does not make
  // the leader consider this voter unreachable.
  const bool term_is_new = ctx.actions_.hard_state_.has_value();
  Reply(ctx, message, reply, term_is_new ? Delivery::kSynced : Delivery::kNow);
}

namespace {

// Records when the leader sent the message that `reply` answers, and the read
// round that `reply` confirms. Returns null when this voter does not lead or
// the sender is no member.
template <typename Answer>
const Member* RecordAnswer(RaftState& state, VoterId from,
                           const Answer& reply) {
  const auto found = state.progress_.find(from);
  const Member* member = FindMember(CurrentMembership(state.log_), from);
  if (state.role_ != Role::kLeader || found == state.progress_.end() ||
      member == nullptr) {
    return nullptr;
  }
  Progress& progress = found->second;
  progress.heard_ = true;
  progress.answered_ = std::max(progress.answered_, reply.sent_);
  progress.round_ = std::max(progress.round_, reply.round_);
  return member;
}

}  // namespace

void HandleAppendReply(StepContext ctx, const Message& message,
                       const AppendReply& reply) {
  RaftState& state = ctx.state_;
  const Member* member = RecordAnswer(state, message.from_, reply);
  if (member == nullptr) return;
  Progress& progress = state.progress_.at(message.from_);
  const bool holds = reply.holds_log_ || reply.match_ > LogIndex();
  if (reply.accepted_ && holds) progress.holds_log_ = true;
  if (!reply.accepted_) {
    Rewind(&progress,
           std::max(Next(progress.match_),
                    std::min(Next(reply.match_), Next(LastIndex(state.log_)))));
  } else if (reply.match_ > progress.match_) {
    progress.match_ = reply.match_;
    progress.next_ = std::max(progress.next_, Next(reply.match_));
    progress.probing_ = false;
    progress.resend_at_ = ctx.now_ + state.config_.resend_timeout_;
    if (progress.match_ >= progress.snapshot_) progress.snapshot_ = LogIndex();
    while (!progress.in_flight_.empty() &&
           progress.in_flight_.front() <= reply.match_) {
      progress.in_flight_.pop_front();
    }
    AdvanceCommit(ctx);
    ContinueTransfer(ctx);
  }
  SendEntries(ctx, *member, &progress);
  CompleteConfirmedReads(ctx);
  PromoteLearner(ctx);
  StepDownIfRemoved(ctx);
}

void HandleSnapshotChunk(StepContext ctx, const Message& message,
                         const SnapshotChunk& chunk) {
  RaftState& state = ctx.state_;
  if (state.role_ == Role::kLeader) return;
  FollowLeader(ctx, message);
  AppendReply ack;
  ack.accepted_ = true;
  ack.round_ = chunk.round_;
  ack.sent_ = chunk.sent_;
  ack.holds_log_ = state.holds_log_;
  if (TermAt(state.log_, chunk.index_) == chunk.term_) {
    state.commit_ = std::max(state.commit_, chunk.index_);
  }
  if (chunk.index_ <= state.commit_) {
    ack.match_ = chunk.index_;
    return Reply(ctx, message, ack, Delivery::kSynced);
  }
  if (chunk.total_ > state.config_.max_snapshot_bytes_) return;
  std::optional<IncomingSnapshot>& incoming = state.incoming_;
  const bool continues =
      incoming.has_value() && incoming->leader_ == message.from_ &&
      incoming->index_ == chunk.index_ && incoming->term_ == chunk.term_;
  if (!continues) {
    incoming = IncomingSnapshot{.leader_ = message.from_,
                                .index_ = chunk.index_,
                                .term_ = chunk.term_,
                                .data_ = {}};
  }
  if (chunk.offset_ == incoming->data_.size()) incoming->data_ += chunk.data_;
  if (incoming->data_.size() < chunk.total_) {
    const SnapshotReply next{.index_ = chunk.index_,
                             .offset_ = incoming->data_.size(),
                             .round_ = chunk.round_,
                             .sent_ = chunk.sent_};
    return Reply(ctx, message, next, Delivery::kSynced);
  }
  Snapshot snapshot{
      .index_ = chunk.index_,
      .term_ = chunk.term_,
      .membership_ = chunk.membership_,
      .data_ = std::make_shared<const std::string>(std::move(incoming->data_))};
  incoming.reset();
  ctx.actions_.snapshot_ =
      SaveSnapshot{.snapshot_ = snapshot, .reset_log_ = true};
  ctx.actions_.restore_ = true;
  ResetLog(&state.log_, std::move(snapshot));
  state.commit_ = chunk.index_;
  state.applied_ = chunk.index_;
  ack.match_ = chunk.index_;
  Reply(ctx, message, ack, Delivery::kSynced);
}

void HandleSnapshotReply(StepContext ctx, const Message& message,
                         const SnapshotReply& reply) {
  RaftState& state = ctx.state_;
  const Member* member = RecordAnswer(state, message.from_, reply);
  if (member == nullptr) return;
  Progress& progress = state.progress_.at(message.from_);
  if (reply.index_ == progress.snapshot_) {
    // A lower offset comes from a member that was restarted, or is an old
    // answer: only the timeout sends again, so that repeated answers don't
    // multiply the chunks sent.
    const bool advances = reply.offset_ > progress.snapshot_offset_;
    progress.snapshot_offset_ = reply.offset_;
    if (advances) SendChunk(ctx, *member, &progress);
  }
  CompleteConfirmedReads(ctx);
}

}  // namespace flamingohollow::raft_internal
