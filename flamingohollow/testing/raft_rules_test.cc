// Tests rules of one voter by giving it single messages.

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "flamingohollow/raft.h"

namespace flamingohollow::testing {
namespace {

constexpr Term kTerm(3);

// Voter 1 of three, with the founding membership and one entry in its log.
class OneVoter {
 public:
  explicit OneVoter(bool blank = false) {
    for (std::uint64_t id = 1; id <= 3; ++id) {
      const std::string name = std::to_string(id);
      members_.push_back(
          {.id_ = VoterId(id), .name_ = NodeName(name), .address_ = name});
    }
    HardState hard;
    if (!blank) {
      hard.term_ = Term(2);
      entries_ = {Entry(1, 1), Entry(2, 2)};
      entries_[0].kind_ = EntryKind::kMembership;
      entries_[0].membership_ = members_;
    }
    Start(hard);
  }

  void Start(HardState hard) {
    state_ = MakeRaftState({}, GroupId(), members_[0], 1, hard, Snapshot(),
                           entries_, now_);
  }
  static LogEntry Entry(std::uint64_t index, std::uint64_t term) {
    LogEntry entry;
    entry.index_ = LogIndex(index);
    entry.term_ = Term(term);
    return entry;
  }
  Actions Receive(MessageBody body, std::uint64_t from, Term term) {
    Message message;
    message.from_ = VoterId(from);
    message.to_ = VoterId(1);
    message.term_ = term;
    message.body_ = std::move(body);
    return Step(&state_, message, now_);
  }
  Actions Give(const RaftEvent& event) { return Step(&state_, event, now_); }
  Actions Acknowledge(std::uint64_t from, std::uint64_t match, Time sent,
                      std::uint64_t round = 0) {
    AppendReply reply;
    reply.accepted_ = true;
    reply.match_ = LogIndex(match);
    reply.sent_ = sent;
    reply.round_ = round;
    return Receive(reply, from, kTerm);
  }
  // Wins the election of kTerm; its opening entry has index 3.
  void Lead() {
    Wait(2000);
    Give(TickEvent{});
    Receive(VoteReply{.pre_vote_ = true, .granted_ = true}, 2, kTerm);
    Receive(VoteReply{.pre_vote_ = false, .granted_ = true}, 1, kTerm);
    Receive(VoteReply{.pre_vote_ = false, .granted_ = true}, 2, kTerm);
    REQUIRE(state_.role_ == Role::kLeader);
  }
  void CommitOpening() {
    Acknowledge(1, 3, now_);
    Acknowledge(2, 3, now_);
    REQUIRE(LeaderReady(state_));
  }
  void Wait(std::int64_t ms) { now_ = now_ + Duration(ms); }

  Membership members_;
  std::vector<LogEntry> entries_;
  RaftState state_;
  Time now_ = Time(1000);
};

bool Granted(const Actions& actions) {
  for (const Message& message : actions.send_synced_) {
    const auto* reply = std::get_if<VoteReply>(&message.body_);
    if (reply != nullptr && reply->granted_) return true;
  }
  return false;
}

const VoteRequest kUpToDate{.pre_vote_ = false,
                            .transfer_ = false,
                            .last_index_ = LogIndex(2),
                            .last_term_ = Term(2)};

TEST_CASE("entries of older terms are not committed by counting") {
  OneVoter voter;
  voter.Lead();
  voter.Acknowledge(1, 2, voter.now_);
  voter.Acknowledge(2, 2, voter.now_);
  CHECK(voter.state_.commit_ == LogIndex());
  voter.Acknowledge(1, 3, voter.now_);
  voter.Acknowledge(2, 3, voter.now_);
  CHECK(voter.state_.commit_ == LogIndex(3));
}

TEST_CASE("a vote is written with its answer and survives a restart") {
  OneVoter voter;
  const Actions first = voter.Receive(kUpToDate, 2, kTerm);
  CHECK(Granted(first));
  REQUIRE(first.hard_state_.has_value());
  voter.Start(*first.hard_state_);
  CHECK_FALSE(Granted(voter.Receive(kUpToDate, 3, kTerm)));
  CHECK(Granted(voter.Receive(kUpToDate, 2, kTerm)));
}

TEST_CASE("a voter refuses a shorter log, and a blank voter never votes") {
  OneVoter voter;
  VoteRequest shorter = kUpToDate;
  shorter.last_index_ = LogIndex(1);
  shorter.last_term_ = Term(1);
  CHECK_FALSE(Granted(voter.Receive(shorter, 2, kTerm)));
  OneVoter blank(true);
  const Actions actions = blank.Receive(kUpToDate, 2, kTerm);
  CHECK(actions.send_synced_.empty());
  CHECK_FALSE(actions.hard_state_.has_value());
  blank.Wait(10'000);
  blank.Give(TickEvent{});
  CHECK(blank.state_.role_ == Role::kFollower);
}

TEST_CASE("a message for another identity is answered with this voter's") {
  OneVoter blank(true);
  Message message;
  message.from_ = VoterId(2);
  message.to_ = VoterId(99);
  message.term_ = kTerm;
  message.body_ = AppendRequest{};
  const Actions actions = Step(&blank.state_, message, blank.now_);
  REQUIRE(actions.send_.size() == 1);
  CHECK(std::holds_alternative<ProbeReply>(actions.send_[0].body_));
  CHECK(blank.state_.hard_.term_ == Term());
  message.body_ = kUpToDate;
  CHECK(Step(&blank.state_, message, blank.now_).send_synced_.empty());
}

TEST_CASE("a voter that hears from its leader refuses other candidates") {
  OneVoter voter;
  voter.Receive(AppendRequest{}, 2, kTerm);
  voter.Wait(500);
  CHECK(voter.Receive(kUpToDate, 3, Term(9)).send_synced_.empty());
  CHECK(voter.state_.hard_.term_ == kTerm);
  VoteRequest transfer = kUpToDate;
  transfer.transfer_ = true;
  CHECK(Granted(voter.Receive(transfer, 3, Term(4))));
}

TEST_CASE("leadership counts from sending a message, not from its answer") {
  OneVoter voter;
  voter.Lead();
  const Time asked = voter.now_;
  voter.Wait(500);
  // An answer that waited in a buffer.
  voter.Acknowledge(2, 0, asked);
  voter.Wait(200);
  CHECK_FALSE(HasQuorum(voter.state_, voter.now_));
  voter.Give(TickEvent{});
  CHECK(voter.state_.role_ == Role::kFollower);
}

TEST_CASE("votes that waited while the voter was frozen do not count") {
  OneVoter voter;
  voter.Wait(2000);
  voter.Give(TickEvent{});
  voter.Receive(VoteReply{.pre_vote_ = true, .granted_ = true}, 2, kTerm);
  voter.Receive(VoteReply{.pre_vote_ = false, .granted_ = true}, 1, kTerm);
  voter.Wait(20'000);
  voter.Receive(VoteReply{.pre_vote_ = false, .granted_ = true}, 2, kTerm);
  CHECK(voter.state_.role_ != Role::kLeader);
}

TEST_CASE("a read is confirmed by answers to messages sent after it") {
  OneVoter voter;
  voter.Lead();
  voter.CommitOpening();
  CHECK(voter.Give(ReadEvent{7}).reads_.empty());
  const std::uint64_t round = voter.state_.read_round_;
  CHECK(voter.Acknowledge(2, 3, voter.now_, round - 1).reads_.empty());
  // A read that arrives in the meantime needs the next round.
  CHECK(voter.Give(ReadEvent{8}).reads_.empty());
  const Actions first = voter.Acknowledge(3, 0, voter.now_, round);
  REQUIRE(first.reads_.size() == 1);
  CHECK(first.reads_[0].id_ == 7);
  const Actions second = voter.Acknowledge(3, 0, voter.now_, round + 1);
  REQUIRE(second.reads_.size() == 1);
  CHECK(second.reads_[0].ok_);
}

TEST_CASE("membership changes one at a time, after the leader's own entry") {
  OneVoter voter;
  // The founding membership is known to be committed, the leader's own entry is
  // not.
  voter.state_.commit_ = LogIndex(1);
  voter.Lead();
  voter.Acknowledge(3, 2, voter.now_);
  const RemoveVoterEvent remove{NodeName("3")};
  const Actions early = voter.Give(remove);
  REQUIRE(early.operator_.has_value());
  CHECK(early.operator_->reason_ == "another change is under way");
  voter.CommitOpening();
  CHECK_FALSE(voter.Give(remove).operator_.has_value());
  CHECK(CurrentMembership(voter.state_.log_).size() == 2);
  const RemoveVoterEvent second{NodeName("2")};
  CHECK(voter.Give(second).operator_busy_);
  // The change is refused also when no operator waits for the pending one.
  const auto waits =
      std::exchange(voter.state_.operator_change_index_, std::nullopt);
  const Actions refused = voter.Give(second);
  REQUIRE(refused.operator_.has_value());
  CHECK(refused.operator_->reason_ == "another change is under way");
  voter.state_.operator_change_index_ = waits;
  voter.Acknowledge(1, 4, voter.now_);
  const Actions done = voter.Acknowledge(2, 4, voter.now_);
  REQUIRE(done.operator_.has_value());
  CHECK(done.operator_->ok_);
}

TEST_CASE("a learner is promoted once it has synced all committed entries") {
  OneVoter voter;
  voter.Lead();
  voter.CommitOpening();
  voter.Give(AddVoterEvent{{NodeName("4"), "4"}});
  ProbeReply reply;
  reply.name_ = NodeName("4");
  reply.address_ = std::string("4");
  reply.nonce_ = voter.state_.joining_->nonce_ + 1;
  // An answer to an older probe may name an identity that no longer exists.
  voter.Receive(reply, 9, Term());
  CHECK(CurrentMembership(voter.state_.log_).size() == 3);
  reply.nonce_ = voter.state_.joining_->nonce_;
  voter.Receive(reply, 4, Term());
  const auto learner = [&voter] {
    const Member* member =
        FindMember(CurrentMembership(voter.state_.log_), VoterId(4));
    REQUIRE(member != nullptr);
    return member->learner_;
  };
  voter.Acknowledge(1, 4, voter.now_);
  voter.Acknowledge(2, 4, voter.now_);
  REQUIRE(voter.state_.commit_ == LogIndex(4));
  voter.Acknowledge(4, 3, voter.now_);
  voter.Give(TickEvent{});
  CHECK(learner());
  voter.Acknowledge(4, 4, voter.now_);
  // Voter 3 has not answered: a larger quorum needs the learner at once.
  CHECK(learner());
  voter.Acknowledge(3, 0, voter.now_);
  CHECK_FALSE(learner());
}

// The voter leads a group of three wanted voters; node 4 has joined it.
void LeadWithLearner(OneVoter& voter) {
  voter.Lead();
  voter.CommitOpening();
  voter.state_.config_.wanted_voters_ = 3;
  voter.Give(AddVoterEvent{{NodeName("4"), "4"}});
  ProbeReply reply;
  reply.name_ = NodeName("4");
  reply.nonce_ = voter.state_.joining_->nonce_;
  voter.Receive(reply, 4, Term());
}

// Guards against a group that stays without the successor of a lost voter while
// the successor's disk stalls.
TEST_CASE("a learner with a part of the log is promoted to an odd number") {
  for (const bool holds_part : {false, true}) {
    OneVoter voter;
    LeadWithLearner(voter);
    voter.Acknowledge(1, 4, voter.now_);
    voter.Acknowledge(2, 4, voter.now_);
    voter.Acknowledge(4, holds_part ? 1 : 0, voter.now_);
    CHECK(CountVoters(CurrentMembership(voter.state_.log_)) == 3);
    voter.Give(RemoveVoterEvent{NodeName("3")});
    CHECK(CountVoters(CurrentMembership(voter.state_.log_)) == 2);
    // Not before all that the removed voter held is on both others.
    voter.Acknowledge(1, 5, voter.now_);
    CHECK(CountVoters(CurrentMembership(voter.state_.log_)) == 2);
    voter.Acknowledge(2, 5, voter.now_);
    CHECK(CountVoters(CurrentMembership(voter.state_.log_)) ==
          (holds_part ? 3 : 2));
  }
}

// Guards against a new leader that takes no learner for a successor while the
// learner's disk stalls.
TEST_CASE("a heartbeat's answer says whether a part of the log is synced") {
  OneVoter learner(true);
  AppendRequest request;
  request.entries_ = {OneVoter::Entry(1, 3)};
  const auto holds_log = [&learner] {
    const Actions actions = learner.Receive(AppendRequest{}, 2, kTerm);
    REQUIRE(actions.send_.size() == 1);
    return std::get<AppendReply>(actions.send_[0].body_).holds_log_;
  };
  const Actions appended = learner.Receive(request, 2, kTerm);
  CHECK_FALSE(holds_log());
  for (const Message& message : appended.send_synced_) {
    if (message.to_ == VoterId(1)) Step(&learner.state_, message, learner.now_);
  }
  CHECK(holds_log());
  // It is known at once after a restart.
  OneVoter restarted;
  restarted.Start({});
  restarted.state_.hard_.term_ = kTerm;
  const Actions answer = restarted.Receive(AppendRequest{}, 2, kTerm);
  CHECK(std::get<AppendReply>(answer.send_.at(0).body_).holds_log_);
}

// Guards against a new leader that removes a voter that works, in favor of one
// that is lost, and then has no quorum.
TEST_CASE("a new leader counts only voters that have answered it") {
  OneVoter voter;
  voter.Lead();
  voter.CommitOpening();
  const Actions refused = voter.Give(RemoveVoterEvent{NodeName("2")});
  REQUIRE(refused.operator_.has_value());
  CHECK(refused.operator_->reason_ == "too few of the other voters answer");
  voter.Acknowledge(3, 0, voter.now_);
  CHECK_FALSE(
      voter.Give(RemoveVoterEvent{NodeName("2")}).operator_.has_value());
}

// Guards against a new node that can't join while its answers come late.
TEST_CASE("a late answer to an earlier try to join counts") {
  OneVoter voter;
  voter.Lead();
  voter.CommitOpening();
  voter.Acknowledge(1, 3, voter.now_);
  voter.Give(AddVoterEvent{{NodeName("4"), "4"}});
  ProbeReply late;
  late.name_ = NodeName("4");
  late.nonce_ = voter.state_.joining_->nonce_;
  // The next try begins, and one of another node.
  voter.state_.joining_.reset();
  voter.Give(AddVoterEvent{{NodeName("5"), "5"}});
  voter.Receive(late, 4, Term());
  CHECK(CurrentMembership(voter.state_.log_).size() == 3);
  REQUIRE(voter.state_.joining_.has_value());
  voter.state_.joining_.reset();
  voter.Give(AddVoterEvent{{NodeName("4"), "4"}});
  voter.Receive(late, 4, Term());
  CHECK(CurrentMembership(voter.state_.log_).size() == 4);
}

// Guards against a group that keeps an even number of voters while the messages
// of the learner come late.
TEST_CASE("a learner that answers late is promoted to an odd number") {
  OneVoter voter;
  LeadWithLearner(voter);
  for (const std::uint64_t id : {1, 2, 4}) voter.Acknowledge(id, 4, voter.now_);
  voter.Give(RemoveVoterEvent{NodeName("3")});
  const Time late = voter.now_;
  voter.now_ = voter.now_ + voter.state_.config_.heartbeat_ * 3;
  voter.Acknowledge(4, 4, late);
  voter.Acknowledge(1, 5, voter.now_);
  voter.Acknowledge(2, 5, voter.now_);
  CHECK(CountVoters(CurrentMembership(voter.state_.log_)) == 3);
}

TEST_CASE("a learner whose addition was not committed can still join") {
  OneVoter learner;
  learner.entries_[0].membership_[0].learner_ = true;
  learner.Start({});
  learner.state_.name_ = learner.members_[2].name_;
  Message message;
  message.from_ = VoterId(2);
  message.body_ = Probe{.nonce_ = 5, .members_ = {}};
  const Actions actions = Step(&learner.state_, message, learner.now_);
  REQUIRE(actions.send_.size() == 1);
  const auto reply = std::get<ProbeReply>(actions.send_[0].body_);
  OneVoter leader;
  leader.Lead();
  leader.CommitOpening();
  const Member& third = leader.members_[2];
  leader.Give(AddVoterEvent{{third.name_, third.address_}});
  ProbeReply answer = reply;
  answer.nonce_ = leader.state_.joining_->nonce_;
  leader.Receive(answer, 9, Term());
  const Member* member =
      FindMember(CurrentMembership(leader.state_.log_), VoterId(9));
  REQUIRE(member != nullptr);
  CHECK(member->learner_);
}

// Guards against a voter that was removed while it was partitioned and then can
// never return, so that the group misses a machine for ever.
TEST_CASE("a removed voter that has not learned of it can join again") {
  OneVoter removed;
  removed.Start({});
  Message probe;
  probe.from_ = VoterId(2);
  probe.body_ = Probe{.nonce_ = 5, .members_ = {}};
  const Actions actions = Step(&removed.state_, probe, removed.now_);
  REQUIRE(actions.send_.size() == 1);
  const auto reply = std::get<ProbeReply>(actions.send_[0].body_);
  CHECK(reply.state_ == JoinState::kPeer);
  // A voter of another group does not join.
  probe.from_ = VoterId(77);
  const Actions foreign = Step(&removed.state_, probe, removed.now_);
  CHECK(std::get<ProbeReply>(foreign.send_.at(0).body_).state_ ==
        JoinState::kFormed);
  // The leader may have joined after the voter was removed: then another member
  // tells that the group is the same.
  probe.body_ = Probe{.nonce_ = 5, .members_ = {VoterId(77), VoterId(3)}};
  const Actions later = Step(&removed.state_, probe, removed.now_);
  CHECK(std::get<ProbeReply>(later.send_.at(0).body_).state_ ==
        JoinState::kPeer);
  // A learner that the voter knows of may lead by then.
  OneVoter beside;
  beside.members_[2].learner_ = true;
  beside.entries_[0].membership_ = beside.members_;
  beside.Start({});
  probe.from_ = VoterId(3);
  probe.body_ = Probe{.nonce_ = 5, .members_ = {}};
  const Actions of_learner = Step(&beside.state_, probe, beside.now_);
  CHECK(std::get<ProbeReply>(of_learner.send_.at(0).body_).state_ ==
        JoinState::kPeer);
  for (const bool same_group : {true, false}) {
    OneVoter leader;
    leader.Lead();
    leader.CommitOpening();
    leader.Give(AddVoterEvent{{NodeName("4"), "4"}});
    ProbeReply answer = reply;
    answer.name_ = NodeName("4");
    answer.state_ = same_group ? JoinState::kPeer : JoinState::kFormed;
    answer.nonce_ = leader.state_.joining_->nonce_;
    leader.Receive(answer, 4, Term());
    const Member* member =
        FindMember(CurrentMembership(leader.state_.log_), VoterId(4));
    CHECK((member != nullptr) == same_group);
  }
}

TEST_CASE("learners are promoted only while voters are missing") {
  for (const std::size_t wanted : {3, 4}) {
    OneVoter voter;
    voter.Lead();
    voter.CommitOpening();
    voter.state_.config_.wanted_voters_ = wanted;
    voter.Give(AddVoterEvent{{NodeName("4"), "4"}});
    ProbeReply reply;
    reply.name_ = NodeName("4");
    reply.nonce_ = voter.state_.joining_->nonce_;
    voter.Receive(reply, 4, Term());
    voter.Acknowledge(1, 4, voter.now_);
    voter.Acknowledge(2, 4, voter.now_);
    voter.Acknowledge(4, 4, voter.now_);
    CHECK(CountVoters(CurrentMembership(voter.state_.log_)) == 3);
    voter.Acknowledge(3, 0, voter.now_);
    CHECK(CountVoters(CurrentMembership(voter.state_.log_)) == wanted);
  }
}

TEST_CASE("a blank voter pledges to one founding and appends only that") {
  OneVoter blank(true);
  const auto accepts = [&blank](bool append, const Membership& membership) {
    const Actions actions = blank.Receive(
        FoundRequest{.append_to_log_ = append, .membership_ = membership}, 2,
        Term());
    for (const Message& message : actions.send_synced_) {
      return std::get<FoundReply>(message.body_).accepted_;
    }
    return false;
  };
  Membership other = blank.members_;
  other.pop_back();
  CHECK_FALSE(accepts(true, other));
  CHECK(accepts(false, blank.members_));
  CHECK_FALSE(accepts(false, other));
  CHECK_FALSE(accepts(true, other));
  CHECK(IsBlank(blank.state_));
  CHECK(accepts(true, blank.members_));
  CHECK(accepts(true, blank.members_));
  CHECK(LastIndex(blank.state_.log_) == LogIndex(1));
}

}  // namespace
}  // namespace flamingohollow::testing
