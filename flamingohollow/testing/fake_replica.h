// A Replica of one voter in memory, driven by the test, which decides when
// proposals commit and when leadership is confirmed, gained or lost.

#ifndef FLAMINGOHOLLOW_TESTING_FAKE_REPLICA_H_
#define FLAMINGOHOLLOW_TESTING_FAKE_REPLICA_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/replica.h"

namespace flamingohollow {

class FakeReplica final : public Replica {
 public:
  explicit FakeReplica(ReplicaOwner* owner) : owner_(owner) {}

  // While set, proposals commit and leadership is confirmed at once; while
  // not, both wait for CommitAll, ConfirmAll or LoseLeadership.
  bool completes_immediately_ = true;
  // While set, proposals are refused as overloaded.
  bool overloaded_ = false;
  // While not set, the leader hears from no majority.
  bool has_quorum_ = true;

  void GainLeadership();
  // Pending proposals end with `outcome`; pending confirmations fail.
  void LoseLeadership(ProposeOutcome outcome);
  void CommitAll();
  void ConfirmAll();
  std::size_t pending_proposals() const { return proposals_.size(); }

  void Propose(std::string command, ProposeCallback done) override;
  void ConfirmLeadership(DoneCallback done) override;
  void Init(DoneCallback done) override;
  void AddVoter(const NodeName& name, const std::string& address,
                DoneCallback done) override;
  void RemoveVoter(const NodeName& name, DoneCallback done) override;
  void TransferLeadership(DoneCallback done) override;
  ReplicaStatus Status() const override;
  bool HasQuorum(Time now) const override;
  void Receive(std::string message) override;
  void Tick(Time now) override;

 private:
  struct Proposal {
    std::string command_;
    ProposeCallback done_;
  };

  ReplicaOwner* owner_;
  bool formed_ = false;
  bool is_leader_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t committed_ = 0;
  std::vector<Proposal> proposals_;
  std::vector<DoneCallback> confirmations_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TESTING_FAKE_REPLICA_H_
