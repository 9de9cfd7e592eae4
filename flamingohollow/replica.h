// The replicated log as the control service uses it.
//
// A Replica runs on the control thread. It owns the consensus state
// (raft.h), the data folder (storage.h, synced on a thread of its own) and the
// links to the other voters. Committed records reach the owner in log order,
// each once per process, before any proposal's callback runs.

#ifndef FLAMINGOHOLLOW_REPLICA_H_
#define FLAMINGOHOLLOW_REPLICA_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

enum class ProposeOutcome : std::uint8_t {
  kCommitted,
  // With kNotLeader and kOverloaded, the proposal is known not to be committed,
  // now or later.
  kNotLeader,
  kOverloaded,
  // Leadership was lost before the outcome was known.
  kUnknown,
};

struct ProposeResult {
  ProposeOutcome outcome_ = ProposeOutcome::kUnknown;
  LogIndex index_;
};

struct VoterStatus {
  VoterId id_;
  NodeName name_;
  std::string address_;
  bool learner_ = false;
  // The voter is known to have synced all entries up to this index.
  LogIndex match_;
  // The voter is known to have synced a part of the log.
  bool holds_log_ = false;
  // The voter has answered this leader.
  bool heard_ = false;
  // When the leader sent the newest message that the voter has answered, or
  // began to lead.
  Time answered_;
};

struct ReplicaStatus {
  GroupId group_;
  Term term_;
  bool formed_ = false;
  bool is_leader_ = false;
  // Empty while no leader is known.
  NodeName leader_name_;
  std::string leader_address_;
  LogIndex committed_;
  LogIndex applied_;
  std::vector<VoterStatus> voters_;
  // Why this voter stopped voting, such as a failed sync; empty while it works.
  std::string failure_;
  // The disk is full: this voter stores and acknowledges nothing, and refuses
  // proposals, until there is room.
  bool disk_full_ = false;
  // Log and snapshot in the data folder.
  std::uint64_t bytes_on_disk_ = 0;
};

// What the owner of a replica implements. All calls come on the control
// thread.
class ReplicaOwner {
 public:
  virtual ~ReplicaOwner() = default;
  virtual void ApplyCommitted(LogIndex index, std::string_view command) = 0;
  virtual std::string EncodeSnapshot() = 0;
  // Replaces all applied state. False when it does not decode.
  virtual bool RestoreSnapshot(std::string_view snapshot) = 0;
  // Everything committed by earlier leaders has been applied by now.
  virtual void LeadershipGained(Term term) = 0;
  virtual void LeadershipLost() = 0;
};

class Replica {
 public:
  using ProposeCallback = std::function<void(const ProposeResult&)>;
  using DoneCallback = std::function<void(bool ok, const std::string& reason)>;

  virtual ~Replica() = default;
  virtual void Propose(std::string command, ProposeCallback done) = 0;
  // Calls back with ok once this node has confirmed that it was still leader at
  // some moment after the call and has applied everything committed before the
  // call.
  virtual void ConfirmLeadership(DoneCallback done) = 0;
  // Forms the group, once, from the voters that the settings name.
  virtual void Init(DoneCallback done) = 0;
  // One membership change runs at a time; another is refused meanwhile.
  virtual void AddVoter(const NodeName& name, const std::string& address,
                        DoneCallback done) = 0;
  virtual void RemoveVoter(const NodeName& name, DoneCallback done) = 0;
  virtual void TransferLeadership(DoneCallback done) = 0;
  virtual ReplicaStatus Status() const = 0;
  // True while a majority was heard from within the election time-out.
  virtual bool HasQuorum(Time now) const = 0;
  // A message from another voter, as received by the RPC server.
  virtual void Receive(std::string message) = 0;
  virtual void Tick(Time now) = 0;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_REPLICA_H_
