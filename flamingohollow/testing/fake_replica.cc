// Commits in the order of proposal and calls back as Replica specifies.

#include "flamingohollow/testing/fake_replica.h"

namespace flamingohollow {

void FakeReplica::GainLeadership() {
  formed_ = true;
  is_leader_ = true;
  ++term_;
  owner_->LeadershipGained(Term(term_));
}

void FakeReplica::LoseLeadership(ProposeOutcome outcome) {
  is_leader_ = false;
  owner_->LeadershipLost();
  for (Proposal& proposal : std::exchange(proposals_, {})) {
    proposal.done_({outcome, LogIndex(0)});
  }
  for (DoneCallback& done : std::exchange(confirmations_, {})) {
    done(false, "no longer leader");
  }
}

void FakeReplica::CommitAll() {
  for (Proposal& proposal : std::exchange(proposals_, {})) {
    ++committed_;
    owner_->ApplyCommitted(LogIndex(committed_), proposal.command_);
    proposal.done_({ProposeOutcome::kCommitted, LogIndex(committed_)});
  }
}

void FakeReplica::ConfirmAll() {
  for (DoneCallback& done : std::exchange(confirmations_, {})) done(true, "");
}

void FakeReplica::Propose(std::string command, ProposeCallback done) {
  if (!is_leader_) return done({ProposeOutcome::kNotLeader, LogIndex(0)});
  if (overloaded_) return done({ProposeOutcome::kOverloaded, LogIndex(0)});
  proposals_.push_back({std::move(command), std::move(done)});
  if (completes_immediately_) CommitAll();
}

void FakeReplica::ConfirmLeadership(DoneCallback done) {
  if (!is_leader_) return done(false, "not leader");
  confirmations_.push_back(std::move(done));
  if (completes_immediately_) ConfirmAll();
}

void FakeReplica::Init(DoneCallback done) {
  if (formed_) return done(false, "the cluster is formed already");
  GainLeadership();
  done(true, "");
}

void FakeReplica::AddVoter(const NodeName&, const std::string&,
                           DoneCallback done) {
  done(true, "");
}

void FakeReplica::RemoveVoter(const NodeName&, DoneCallback done) {
  done(true, "");
}

void FakeReplica::TransferLeadership(DoneCallback done) {
  LoseLeadership(ProposeOutcome::kUnknown);
  done(true, "");
}

ReplicaStatus FakeReplica::Status() const {
  ReplicaStatus status;
  status.group_ = GroupId(1);
  status.term_ = Term(term_);
  status.formed_ = formed_;
  status.is_leader_ = is_leader_;
  if (is_leader_) status.leader_name_ = NodeName("control-0");
  if (is_leader_) status.leader_address_ = "127.0.0.1:7000";
  status.committed_ = LogIndex(committed_);
  status.applied_ = LogIndex(committed_);
  VoterStatus voter;
  voter.id_ = VoterId(1);
  voter.name_ = NodeName("control-0");
  voter.address_ = "127.0.0.1:7000";
  voter.match_ = LogIndex(committed_);
  status.voters_ = {voter};
  return status;
}

bool FakeReplica::HasQuorum(Time) const { return is_leader_ && has_quorum_; }

void FakeReplica::Receive(std::string) {}

void FakeReplica::Tick(Time) {}

}  // namespace flamingohollow
