// Founding a group, and changing its voters one at a time.

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "flamingohollow/raft.h"
#include "flamingohollow/raft_internal.h"

namespace flamingohollow::raft_internal {
namespace {

// Requests of a founding or a joining are sent again after this long.
constexpr Duration kContactResend(200);

// The founding membership is the first entry of every founder's log. It
// is equal everywhere, so it is safe without a leader.
constexpr LogIndex kFoundingIndex(1);
constexpr Term kFoundingTerm(1);

std::uint64_t MembershipDigest(const Membership& membership) {
  std::string text;
  for (const Member& member : membership) {
    text += std::to_string(member.id_.value());
    text += '\n' + member.name_.value() + '\n' + member.address_ + '\n';
  }
  // 0 means "no pledge".
  return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

void SortById(Membership* membership) {
  std::sort(membership->begin(), membership->end(),
            [](const Member& a, const Member& b) { return a.id_ < b.id_; });
}

// `known` are the asker and the members that it knows of.
JoinState OwnJoinState(const RaftState& state,
                       const std::vector<VoterId>& known) {
  if (IsBlank(state)) return JoinState::kBlank;
  const bool only_founded =
      LastIndex(state.log_) == kFoundingIndex && state.commit_ == LogIndex();
  if (only_founded) return JoinState::kFounded;
  const Membership& membership = CurrentMembership(state.log_);
  if (!IsVoter(membership, state.id_)) return JoinState::kNonVoter;
  const bool same_group = std::any_of(
      known.begin(), known.end(),
      [&](VoterId id) { return FindMember(membership, id) != nullptr; });
  return same_group ? JoinState::kPeer : JoinState::kFormed;
}

ProbeReply DescribeSelf(const RaftState& state,
                        const std::vector<VoterId>& known,
                        std::uint64_t nonce) {
  return {.nonce_ = nonce,
          .name_ = state.name_,
          .address_ = state.address_,
          .state_ = OwnJoinState(state, known),
          .pledge_ = state.hard_.pledge_};
}

// Whether a voter may join as a learner. A blank one may; so may one that
// holds a log of this group but counts in none of its quorums, such as a
// learner whose addition an earlier leader could not commit, or a voter that
// was removed while it was partitioned: its folder still holds everything that
// it acknowledged and every vote that it cast. VoterIds are random, so a log
// that names this leader's, or that of another member, is of this group.
bool MayJoin(const ProbeReply& reply) {
  if (reply.state_ == JoinState::kBlank) return reply.pledge_ == 0;
  return reply.state_ == JoinState::kNonVoter ||
         reply.state_ == JoinState::kPeer;
}

// Founding.

void FinishInit(StepContext ctx, bool ok, std::string reason) {
  ctx.state_.formation_.reset();
  ctx.actions_.init_ = OperatorResult{ok, std::move(reason)};
}

const VoterAddress* FindFounder(const Formation& formation,
                                const NodeName& name) {
  for (const VoterAddress& founder : formation.founders_) {
    if (founder.name_ == name) return &founder;
  }
  return nullptr;
}

// Sends the request of this phase to the founders that have not answered it.
void SendFormation(StepContext ctx) {
  Formation& formation = *ctx.state_.formation_;
  formation.resend_at_ = ctx.now_ + kContactResend;
  const Term term = ctx.state_.hard_.term_;
  if (formation.phase_ == FormationPhase::kProbe) {
    for (const VoterAddress& founder : formation.founders_) {
      if (formation.answered_.contains(founder.name_)) continue;
      Send(ctx, VoterId(), founder.address_, term, Probe{}, Delivery::kNow);
    }
    return;
  }
  const FoundRequest request{
      .append_to_log_ = formation.phase_ == FormationPhase::kFound,
      .membership_ = formation.membership_};
  for (const Member& member : formation.membership_) {
    if (formation.answered_.contains(member.name_)) continue;
    // This voter also sends the request to itself.
    Send(ctx, member.id_, member.address_, term, request,
         member.id_ == ctx.state_.id_ ? Delivery::kSynced : Delivery::kNow);
  }
}

void StartPhase(StepContext ctx, FormationPhase phase) {
  Formation& formation = *ctx.state_.formation_;
  formation.phase_ = phase;
  formation.answered_.clear();
  formation.deadline_ = ctx.now_ + ctx.state_.config_.contact_timeout_;
  SendFormation(ctx);
}

void RecordFounder(StepContext ctx, VoterId id, const ProbeReply& reply) {
  Formation& formation = *ctx.state_.formation_;
  if (formation.phase_ != FormationPhase::kProbe) return;
  const VoterAddress* founder = FindFounder(formation, reply.name_);
  if (founder == nullptr || formation.answered_.contains(reply.name_)) return;
  if (reply.state_ != JoinState::kBlank &&
      reply.state_ != JoinState::kFounded) {
    return FinishInit(
        ctx, false,
        "voter " + reply.name_.value() + " already belongs to a formed group");
  }
  formation.answered_.insert(reply.name_);
  formation.membership_.push_back(
      {.id_ = id, .name_ = founder->name_, .address_ = founder->address_});
  if (formation.answered_.size() < formation.founders_.size()) return;
  SortById(&formation.membership_);
  StartPhase(ctx, FormationPhase::kPledge);
}

void TickFormation(StepContext ctx) {
  const Formation& formation = *ctx.state_.formation_;
  if (ctx.now_ >= formation.deadline_) {
    // All founders have pledged; one that has not answered yet receives the
    // founding membership with the leader's log.
    if (formation.phase_ == FormationPhase::kFound &&
        formation.answered_.size() >= QuorumSize(formation.membership_)) {
      return FinishInit(ctx, true, "");
    }
    std::string unanswered;
    for (const VoterAddress& founder : formation.founders_) {
      if (formation.answered_.contains(founder.name_)) continue;
      unanswered += ' ' + founder.name_.value() + " (" + founder.address_ + ')';
    }
    return FinishInit(ctx, false, "no answer from voters:" + unanswered);
  }
  if (ctx.now_ >= formation.resend_at_) SendFormation(ctx);
}

// Appends the founding membership as the log's first entry.
void AppendFoundingMembership(StepContext ctx, const Membership& membership) {
  RaftState& state = ctx.state_;
  if (state.hard_.term_ < kFoundingTerm) {
    BecomeFollower(ctx, kFoundingTerm, VoterId());
  }
  LogEntry entry{.index_ = kFoundingIndex,
                 .term_ = kFoundingTerm,
                 .kind_ = EntryKind::kMembership,
                 .command_ = {},
                 .membership_ = membership};
  ctx.actions_.append_.push_back(entry);
  AppendEntry(&state.log_, std::move(entry));
  ResetElectionDeadline(ctx);
}

// Changing the membership.

bool ChangePending(const RaftState& state) {
  return !LeaderReady(state) ||
         CurrentMembershipIndex(state.log_) > state.commit_;
}

LogIndex AppendMembership(StepContext ctx, Membership membership) {
  SortById(&membership);
  LogEntry entry;
  entry.kind_ = EntryKind::kMembership;
  entry.membership_ = std::move(membership);
  const LogIndex index = AppendLocal(ctx, std::move(entry));
  TrackMembers(ctx, index);
  BroadcastEntries(ctx);
  return index;
}

// A new leader takes all members to have answered as it began to lead; only
// those that have answered it since count here.
std::size_t CountAnswering(const RaftState& state, const Membership& membership,
                           Time now) {
  std::size_t answering = 0;
  for (const Member& member : membership) {
    if (member.learner_) continue;
    const auto progress = state.progress_.find(member.id_);
    const bool answers =
        member.id_ == state.id_ ||
        (progress != state.progress_.end() && progress->second.heard_ &&
         now - progress->second.answered_ <= state.config_.election_min_);
    if (answers) ++answering;
  }
  return answering;
}

// Whether enough voters of `membership` answer to commit under it. A change
// that can't be committed would also block the next one.
bool CanCommitUnder(const RaftState& state, const Membership& membership,
                    Time now) {
  return CountVoters(membership) > 0 &&
         CountAnswering(state, membership, now) >= QuorumSize(membership);
}

// Whether the group could still commit if the learner failed right after its
// promotion. With another voter down, the larger quorum would make the loss of
// one more voter fatal. A single voter is exempt.
bool ToleratesLossAfterPromotion(const RaftState& state,
                                 const Membership& promoted, Time now) {
  const Membership& current = CurrentMembership(state.log_);
  return CountAnswering(state, current, now) >=
         std::min(QuorumSize(promoted), CountVoters(current));
}

Membership Promoted(Membership membership, VoterId learner) {
  for (Member& member : membership) {
    if (member.id_ == learner) member.learner_ = false;
  }
  return membership;
}

bool EnlargesQuorum(const Membership& current, const Member& learner) {
  return QuorumSize(Promoted(current, learner.id_)) > QuorumSize(current);
}

// Whether the learner has synced enough of the log to be promoted.
//
// If that makes the quorum larger, it must have synced all committed entries,
// as they may be on a smaller majority. Otherwise a part is enough, such as of
// a learner whose disk stalls: the present voters suffice for the quorum, and
// everything up to the last change is on a majority of them. The part is needed
// as a blank voter doesn't vote.
bool HoldsEnough(const RaftState& state, const Member& learner) {
  const Membership& current = CurrentMembership(state.log_);
  const Progress& progress = state.progress_.at(learner.id_);
  return EnlargesQuorum(current, learner) ? progress.match_ >= state.commit_
                                          : progress.holds_log_;
}

Membership WithoutName(const Membership& membership, const NodeName& name) {
  Membership rest;
  for (const Member& member : membership) {
    if (member.name_ != name) rest.push_back(member);
  }
  return rest;
}

void SendJoiningProbe(StepContext ctx) {
  Joining& joining = *ctx.state_.joining_;
  joining.resend_at_ = ctx.now_ + kContactResend;
  // The node that is asked may have been removed before this leader joined.
  std::vector<VoterId> members;
  for (const Member& member : CurrentMembership(ctx.state_.log_)) {
    members.push_back(member.id_);
  }
  Send(ctx, VoterId(), joining.voter_.address_, ctx.state_.hard_.term_,
       Probe{.nonce_ = joining.nonce_, .members_ = std::move(members)},
       Delivery::kNow);
}

std::uint64_t ProbeNonce(RaftState* state, const VoterAddress& voter) {
  if (state->probe_secret_ == 0) state->probe_secret_ = NextRandom(state);
  const std::string& name = voter.name_.value();
  // 0 means "not asked for".
  return std::max<std::uint64_t>(
      1, XXH3_64bits_withSeed(name.data(), name.size(), state->probe_secret_));
}

void StartJoining(StepContext ctx, const VoterAddress& voter,
                  bool by_operator) {
  RaftState& state = ctx.state_;
  state.joining_ = Joining{.voter_ = voter,
                           .nonce_ = ProbeNonce(&state, voter),
                           .by_operator_ = by_operator,
                           .deadline_ = ctx.now_ + state.config_.join_timeout_,
                           .resend_at_ = ctx.now_};
  SendJoiningProbe(ctx);
}

void FinishJoining(StepContext ctx, bool ok, std::string reason) {
  const bool by_operator = ctx.state_.joining_->by_operator_;
  ctx.state_.joining_.reset();
  if (by_operator) {
    ctx.actions_.operator_ = OperatorResult{ok, std::move(reason)};
  }
}

// Adds the voter that answered the leader's own probe, as a learner. One
// record removes the former identity of the same name and adds the new one: the
// set of voters changes by at most one, so every majority before the
// change overlaps every majority after it.
void AddJoiningLearner(StepContext ctx, VoterId id, const ProbeReply& reply) {
  RaftState& state = ctx.state_;
  const Joining& joining = *state.joining_;
  if (reply.nonce_ != joining.nonce_) return;
  if (reply.name_ != joining.voter_.name_) {
    return FinishJoining(ctx, false,
                         "the voter at " + joining.voter_.address_ + " is " +
                             reply.name_.value() + ", not " +
                             joining.voter_.name_.value());
  }
  const Membership& current = CurrentMembership(state.log_);
  if (FindMember(current, id) != nullptr) {
    return FinishJoining(ctx, true, "already a member");
  }
  if (!MayJoin(reply)) {
    return FinishJoining(
        ctx, false,
        "the data folder of " + reply.name_.value() + " is not empty");
  }
  // The probe is sent again until the pending change is committed or the
  // deadline passes.
  if (ChangePending(state)) return;
  Membership changed = WithoutName(current, reply.name_);
  changed.push_back({.id_ = id,
                     .name_ = reply.name_,
                     .address_ = joining.voter_.address_,
                     .learner_ = true});
  if (!CanCommitUnder(state, changed, ctx.now_)) {
    return FinishJoining(ctx, false, "too few voters answer");
  }
  const bool by_operator = joining.by_operator_;
  state.joining_.reset();
  const LogIndex index = AppendMembership(ctx, std::move(changed));
  if (by_operator) state.operator_change_index_ = index;
}

// Replaces a member whose address answers with another VoterId, as it lost its
// data folder.
void StartRepair(StepContext ctx, const ProbeReply& reply) {
  const RaftState& state = ctx.state_;
  if (!LeaderReady(state) || state.joining_.has_value()) return;
  if (!MayJoin(reply)) return;
  const Member* member =
      FindMemberByName(CurrentMembership(state.log_), reply.name_);
  if (member == nullptr || member->address_ != reply.address_) return;
  if (member->id_ == state.id_) return;
  StartJoining(ctx, {member->name_, member->address_}, false);
}

void TickJoining(StepContext ctx) {
  const Joining& joining = *ctx.state_.joining_;
  if (ctx.now_ >= joining.deadline_) {
    return FinishJoining(
        ctx, false, "no answer from the voter at " + joining.voter_.address_);
  }
  if (ctx.now_ >= joining.resend_at_) SendJoiningProbe(ctx);
}

// Returns false, and answers the operator, when the leader can't accept a
// change now.
bool AcceptsOperatorChange(StepContext ctx) {
  const RaftState& state = ctx.state_;
  if (state.operator_change_index_.has_value() ||
      (state.joining_.has_value() && state.joining_->by_operator_)) {
    ctx.actions_.operator_busy_ = true;
    return false;
  }
  if (state.role_ != Role::kLeader) {
    ctx.actions_.operator_ = OperatorResult{false, "this voter does not lead"};
    return false;
  }
  return true;
}

}  // namespace

void TrackMembers(StepContext ctx, LogIndex next) {
  RaftState& state = ctx.state_;
  const Membership& membership = CurrentMembership(state.log_);
  std::erase_if(state.progress_, [&membership](const auto& item) {
    return FindMember(membership, item.first) == nullptr;
  });
  for (const Member& member : membership) {
    if (state.progress_.contains(member.id_)) continue;
    Progress& progress = state.progress_[member.id_];
    progress.next_ = next;
    // Treats a new member as having answered now, which leaves a full timeout
    // to reach it.
    progress.answered_ = ctx.now_;
  }
}

void PromoteLearner(StepContext ctx) {
  const RaftState& state = ctx.state_;
  if (state.role_ != Role::kLeader || ChangePending(state)) return;
  const Membership& current = CurrentMembership(state.log_);
  const std::size_t wanted = state.config_.wanted_voters_;
  if (wanted > 0 && CountVoters(current) >= wanted) return;
  const Member* best = nullptr;
  std::pair<bool, LogIndex> best_rank;
  for (const Member& member : current) {
    if (!member.learner_) continue;
    const Progress& progress = state.progress_.at(member.id_);
    const bool reachable =
        ctx.now_ - progress.answered_ <= state.config_.heartbeat_ * 2;
    // An unreachable one must not enlarge the quorum.
    if (!reachable && EnlargesQuorum(current, member)) continue;
    if (!HoldsEnough(state, member)) continue;
    const std::pair<bool, LogIndex> rank(reachable, progress.match_);
    if (best != nullptr && rank <= best_rank) continue;
    best = &member;
    best_rank = rank;
  }
  if (best == nullptr) return;
  Membership changed = Promoted(current, best->id_);
  if (!ToleratesLossAfterPromotion(state, changed, ctx.now_)) return;
  AppendMembership(ctx, std::move(changed));
}

void AnswerOperator(StepContext ctx) {
  RaftState& state = ctx.state_;
  if (!state.operator_change_index_ ||
      *state.operator_change_index_ > state.commit_)
    return;
  state.operator_change_index_.reset();
  ctx.actions_.operator_ = OperatorResult{true, ""};
}

void TickMembership(StepContext ctx) {
  if (ctx.state_.formation_.has_value()) TickFormation(ctx);
  if (ctx.state_.joining_.has_value()) TickJoining(ctx);
}

void StopMembershipWork(StepContext ctx) {
  RaftState& state = ctx.state_;
  state.probe_secret_ = 0;
  const std::string reason = "leadership was lost: ask again";
  if (state.joining_.has_value()) FinishJoining(ctx, false, reason);
  if (!state.operator_change_index_.has_value()) return;
  state.operator_change_index_.reset();
  ctx.actions_.operator_ = OperatorResult{false, reason};
}

void Init(StepContext ctx, const InitEvent& event) {
  RaftState& state = ctx.state_;
  if (state.formation_.has_value()) {
    ctx.actions_.init_ = OperatorResult{false, "an init is already under way"};
    return;
  }
  Formation& formation = state.formation_.emplace();
  formation.founders_ = event.founders_;
  formation.deadline_ = ctx.now_ + state.config_.contact_timeout_;
  if (FindFounder(formation, state.name_) == nullptr) {
    return FinishInit(ctx, false,
                      state.name_.value() + " is not among the voters");
  }
  RecordFounder(ctx, state.id_, DescribeSelf(state, {}, 0));
  if (!state.formation_.has_value()) return;
  if (state.formation_->phase_ == FormationPhase::kProbe) SendFormation(ctx);
}

void AddVoter(StepContext ctx, const AddVoterEvent& event) {
  if (!AcceptsOperatorChange(ctx)) return;
  StartJoining(ctx, event.voter_, true);
}

void RemoveVoter(StepContext ctx, const RemoveVoterEvent& event) {
  if (!AcceptsOperatorChange(ctx)) return;
  RaftState& state = ctx.state_;
  const Membership& current = CurrentMembership(state.log_);
  const auto refuse = [&ctx](std::string reason) {
    ctx.actions_.operator_ = OperatorResult{false, std::move(reason)};
  };
  if (FindMemberByName(current, event.name_) == nullptr) {
    return refuse("no voter is named " + event.name_.value());
  }
  if (ChangePending(state)) return refuse("another change is under way");
  Membership changed = WithoutName(current, event.name_);
  if (!CanCommitUnder(state, changed, ctx.now_)) {
    return refuse("too few of the other voters answer");
  }
  state.operator_change_index_ = AppendMembership(ctx, std::move(changed));
}

void HandleProbe(StepContext ctx, const Message& message, const Probe& probe) {
  std::vector<VoterId> known = probe.members_;
  known.push_back(message.from_);
  Reply(ctx, message, DescribeSelf(ctx.state_, known, probe.nonce_),
        Delivery::kNow);
}

void HandleProbeReply(StepContext ctx, const Message& message,
                      const ProbeReply& reply) {
  if (ctx.state_.formation_.has_value()) {
    RecordFounder(ctx, message.from_, reply);
  } else if (reply.nonce_ == 0) {
    StartRepair(ctx, reply);
  } else if (ctx.state_.joining_.has_value()) {
    AddJoiningLearner(ctx, message.from_, reply);
  }
}

void HandleFoundRequest(StepContext ctx, const Message& message,
                        const FoundRequest& request) {
  RaftState& state = ctx.state_;
  const std::uint64_t digest = MembershipDigest(request.membership_);
  if (!IsVoter(request.membership_, state.id_)) return;
  // A data folder pledges at most once. Two foundings that share a voter can't
  // both get pledges from all their founders, so at most one takes effect.
  if (!request.append_to_log_ && IsBlank(state) && state.hard_.pledge_ == 0) {
    state.hard_.pledge_ = digest;
    WriteHardState(ctx);
  }
  const bool accepted = state.hard_.pledge_ == digest;
  if (accepted && request.append_to_log_ && IsBlank(state)) {
    AppendFoundingMembership(ctx, request.membership_);
  }
  Reply(ctx, message,
        FoundReply{.append_to_log_ = request.append_to_log_,
                   .accepted_ = accepted,
                   .name_ = state.name_,
                   .digest_ = digest},
        Delivery::kSynced);
}

void HandleFoundReply(StepContext ctx, const FoundReply& reply) {
  std::optional<Formation>& formation = ctx.state_.formation_;
  if (!formation.has_value() || formation->phase_ == FormationPhase::kProbe) {
    return;
  }
  const bool appending = formation->phase_ == FormationPhase::kFound;
  if (reply.append_to_log_ != appending ||
      reply.digest_ != MembershipDigest(formation->membership_)) {
    return;
  }
  if (!reply.accepted_) {
    return FinishInit(
        ctx, false,
        "voter " + reply.name_.value() + " has pledged to another founding");
  }
  formation->answered_.insert(reply.name_);
  if (formation->answered_.size() < formation->founders_.size()) return;
  if (appending) return FinishInit(ctx, true, "");
  StartPhase(ctx, FormationPhase::kFound);
}

void ReplyWithActualIdentity(StepContext ctx, const Message& message) {
  Reply(ctx, message, DescribeSelf(ctx.state_, {message.from_}, 0),
        Delivery::kNow);
}

}  // namespace flamingohollow::raft_internal
