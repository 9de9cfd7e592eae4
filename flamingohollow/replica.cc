// Carries out the actions of the consensus step.
//
// All state belongs to the control thread. The disk thread reports through the
// executor; a message about durable state waits in `unsynced_messages_` until
// the batch that it depends on is reported.

#include "flamingohollow/replica.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <map>
#include <random>
#include <utility>

#include "flamingohollow/disk_thread.h"
#include "flamingohollow/peer_codec.h"
#include "flamingohollow/raft.h"
#include "flamingohollow/replica_factory.h"
#include "flamingohollow/storage.h"
#include "util/log.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

// How long a leader transfer waits to hear from the next leader.
constexpr Duration kTransferTimeout(1500);

struct PendingProposal {
  Term term_;
  Replica::ProposeCallback done_;
};

struct PendingTransfer {
  Replica::DoneCallback done_;
  Time deadline_;
};

class LogReplica : public Replica {
 public:
  LogReplica(ReplicaOptions options, ReplicaOwner* owner, PeerSender send,
             Executor executor, std::unique_ptr<Storage> storage, Time now)
      : options_(std::move(options)),
        owner_(owner),
        send_(std::move(send)),
        executor_(std::move(executor)),
        state_(MakeState(storage->stored(), options_, now)) {
    StartDiskThread(std::move(storage));
  }

  // Returns false when the owner can't decode the snapshot.
  bool RestoreOwner() {
    const Snapshot& snapshot = state_.log_.snapshot_;
    if (snapshot.index_ == LogIndex()) return true;
    return owner_->RestoreSnapshot(*snapshot.data_);
  }

  void Propose(std::string command, ProposeCallback done) override {
    Enqueue(
        [this, command = std::move(command), done = std::move(done)]() mutable {
          DoPropose(std::move(command), std::move(done));
        });
  }

  void ConfirmLeadership(DoneCallback done) override {
    Enqueue([this, done = std::move(done)]() mutable {
      if (failed()) return done(false, failure_);
      const std::uint64_t id = ++last_read_;
      reads_[id] = std::move(done);
      Run(ReadEvent{id});
    });
  }

  void Init(DoneCallback done) override {
    Enqueue([this, done = std::move(done)]() mutable {
      if (failed()) return done(false, failure_);
      if (init_done_) return done(false, "an init is already under way");
      init_done_ = std::move(done);
      Run(InitEvent{options_.founders_});
    });
  }

  void AddVoter(const NodeName& name, const std::string& address,
                DoneCallback done) override {
    ChangeMembership(AddVoterEvent{{name, address}}, std::move(done));
  }

  void RemoveVoter(const NodeName& name, DoneCallback done) override {
    ChangeMembership(RemoveVoterEvent{name}, std::move(done));
  }

  void TransferLeadership(DoneCallback done) override {
    Enqueue([this, done = std::move(done)]() mutable {
      if (failed()) return done(false, failure_);
      if (transfer_) return done(false, "a transfer is already under way");
      transfer_ =
          PendingTransfer{std::move(done), MonotonicNow() + kTransferTimeout};
      Run(TransferEvent{});
    });
  }

  ReplicaStatus Status() const override;

  bool HasQuorum(Time now) const override {
    return !failed() && flamingohollow::HasQuorum(state_, now);
  }

  void Receive(std::string message) override {
    if (failed()) return;
    std::optional<Message> decoded = DecodeMessage(message);
    if (!decoded.has_value()) return;
    Enqueue([this, event = std::move(*decoded)] { Run(event); });
  }

  void Tick(Time now) override {
    Enqueue([this, now] {
      RunAt(TickEvent{}, now);
      TickTransfer(now);
    });
  }

 private:
  static RaftState MakeState(StoredState& stored, const ReplicaOptions& options,
                             Time now) {
    Member self;
    self.id_ = stored.id_;
    self.name_ = options.name_;
    self.address_ = options.address_;
    return MakeRaftState(options.raft_, options.group_, self,
                         options.seed_ ^ stored.id_.value(), stored.hard_,
                         std::move(stored.snapshot_),
                         std::move(stored.entries_), now);
  }

  bool failed() const { return !failure_.empty(); }

  void StartDiskThread(std::unique_ptr<Storage> storage);
  // Runs `task` now, or after the running task: the owner may call back into
  // this object from within its own methods.
  void Enqueue(std::function<void()> task);
  void Run(const RaftEvent& event) { RunAt(event, MonotonicNow()); }
  void RunAt(const RaftEvent& event, Time now);

  void DoPropose(std::string command, ProposeCallback done);
  void ChangeMembership(RaftEvent event, DoneCallback done);

  void Write(Actions* actions);
  void SendAll(const std::vector<Message>& messages);
  void SendSynced(std::vector<Message> messages);
  void Synced(std::size_t count);
  void ApplyCommitted();
  void AnswerProposal(const LogEntry& entry);
  void AnswerRequests(const Actions& actions);
  void TickTransfer(Time now);
  void UpdateLeadership();
  void ResignIfReplaced();
  void Resign();
  void FailProposals();
  void MaybeCompact();
  void Fail(const std::string& reason);

  const ReplicaOptions options_;
  ReplicaOwner* const owner_;
  const PeerSender send_;
  const Executor executor_;
  RaftState state_;
  std::string failure_;

  std::deque<std::function<void()>> tasks_;
  bool running_ = false;

  // Messages that wait for each unsynced batch, oldest first.
  std::deque<std::vector<Message>> unsynced_messages_;

  // By log index; all were proposed in the current term, as leader.
  std::map<LogIndex, PendingProposal> proposals_;
  std::uint64_t last_read_ = 0;
  std::map<std::uint64_t, DoneCallback> reads_;
  DoneCallback init_done_;
  DoneCallback membership_done_;
  std::optional<PendingTransfer> transfer_;
  // The term for which the owner was notified of leadership.
  std::optional<Term> announced_term_;
  // Bytes of the entries applied since the last snapshot.
  std::size_t applied_bytes_ = 0;

  // Tasks posted by the disk thread hold a weak pointer to it and are dropped
  // once this object is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  // Declared last: stops before the members that its reports use are destroyed.
  std::unique_ptr<DiskThread> disk_;
};

void LogReplica::StartDiskThread(std::unique_ptr<Storage> storage) {
  const std::weak_ptr<int> alive = alive_;
  const auto post = [this, alive](std::function<void()> task) {
    executor_([this, alive, task = std::move(task)] {
      if (alive.lock() != nullptr) Enqueue(task);
    });
  };
  disk_ = std::make_unique<DiskThread>(
      std::move(storage),
      [this, post](std::size_t count) {
        post([this, count] { Synced(count); });
      },
      [this, post](const std::string& reason) {
        post([this, reason] { Fail(reason); });
      });
}

void LogReplica::Enqueue(std::function<void()> task) {
  tasks_.push_back(std::move(task));
  if (running_) return;
  running_ = true;
  while (!tasks_.empty()) {
    const std::function<void()> next = std::move(tasks_.front());
    tasks_.pop_front();
    next();
  }
  running_ = false;
}

void LogReplica::RunAt(const RaftEvent& event, Time now) {
  if (failed()) return;
  Actions actions = Step(&state_, event, now);
  Write(&actions);
  SendAll(actions.send_);
  // The owner must not act, as the leader, on what a new leader committed.
  ResignIfReplaced();
  if (actions.restore_ && !RestoreOwner()) {
    return Fail("the owner can't read the leader's snapshot");
  }
  ApplyCommitted();
  UpdateLeadership();
  AnswerRequests(actions);
  MaybeCompact();
}

void LogReplica::DoPropose(std::string command, ProposeCallback done) {
  if (failed()) return done({ProposeOutcome::kNotLeader, LogIndex()});
  if (disk_->full()) return done({ProposeOutcome::kOverloaded, LogIndex()});
  const Time now = MonotonicNow();
  Actions actions = Step(&state_, ProposeEvent{std::move(command)}, now);
  Write(&actions);
  SendAll(actions.send_);
  UpdateLeadership();
  AnswerRequests(actions);
  if (actions.proposed_.has_value()) {
    proposals_[*actions.proposed_] = {state_.hard_.term_, std::move(done)};
    return;
  }
  done({actions.refused_overloaded_ ? ProposeOutcome::kOverloaded
                                    : ProposeOutcome::kNotLeader,
        LogIndex()});
}

void LogReplica::ChangeMembership(RaftEvent event, DoneCallback done) {
  Enqueue([this, event = std::move(event), done = std::move(done)]() mutable {
    if (failed()) return done(false, failure_);
    if (membership_done_) return done(false, "another change is under way");
    membership_done_ = std::move(done);
    Run(event);
  });
}

void LogReplica::Write(Actions* actions) {
  const bool writes = actions->hard_state_.has_value() ||
                      actions->snapshot_.has_value() ||
                      !actions->append_.empty();
  if (!writes && unsynced_messages_.empty()) {
    return SendSynced(std::move(actions->send_synced_));
  }
  if (!writes) {
    // These messages depend on the newest unsynced batch.
    std::vector<Message>& newest = unsynced_messages_.back();
    std::move(actions->send_synced_.begin(), actions->send_synced_.end(),
              std::back_inserter(newest));
    return;
  }
  unsynced_messages_.push_back(std::move(actions->send_synced_));
  disk_->Enqueue({.hard_state_ = actions->hard_state_,
                  .snapshot_ = std::move(actions->snapshot_),
                  .append_ = std::move(actions->append_)});
}

void LogReplica::SendAll(const std::vector<Message>& messages) {
  for (const Message& message : messages) {
    send_(message.to_address_, EncodeMessage(message));
  }
}

void LogReplica::SendSynced(std::vector<Message> messages) {
  for (Message& message : messages) {
    if (message.to_ == state_.id_) {
      Enqueue([this, event = std::move(message)] { Run(event); });
    } else {
      send_(message.to_address_, EncodeMessage(message));
    }
  }
}

void LogReplica::Synced(std::size_t count) {
  if (failed()) return;
  for (; count > 0; --count) {
    std::vector<Message> messages = std::move(unsynced_messages_.front());
    unsynced_messages_.pop_front();
    SendSynced(std::move(messages));
  }
}

void LogReplica::ApplyCommitted() {
  while (const LogEntry* entry = TakeCommitted(&state_)) {
    applied_bytes_ += EntryBytes(*entry);
    if (entry->kind_ == EntryKind::kCommand) {
      owner_->ApplyCommitted(entry->index_, entry->command_);
    }
    AnswerProposal(*entry);
  }
}

void LogReplica::AnswerProposal(const LogEntry& entry) {
  const auto found = proposals_.find(entry.index_);
  if (found == proposals_.end()) return;
  const PendingProposal proposal = std::move(found->second);
  proposals_.erase(found);
  const bool same_term = proposal.term_ == entry.term_;
  proposal.done_(
      {same_term ? ProposeOutcome::kCommitted : ProposeOutcome::kUnknown,
       entry.index_});
}

void LogReplica::AnswerRequests(const Actions& actions) {
  for (const ReadResult& read : actions.reads_) {
    const auto found = reads_.find(read.id_);
    if (found == reads_.end()) continue;
    const DoneCallback done = std::move(found->second);
    reads_.erase(found);
    done(read.ok_, read.ok_ ? "" : "this voter does not lead");
  }
  if (actions.init_.has_value() && init_done_) {
    const DoneCallback done = std::exchange(init_done_, nullptr);
    done(actions.init_->ok_, actions.init_->reason_);
  }
  if (actions.operator_.has_value() && membership_done_) {
    const DoneCallback done = std::exchange(membership_done_, nullptr);
    done(actions.operator_->ok_, actions.operator_->reason_);
  }
  const bool refused = actions.transfer_.has_value() && !actions.transfer_->ok_;
  if (refused && transfer_.has_value()) {
    const DoneCallback done = std::move(transfer_->done_);
    transfer_.reset();
    done(false, actions.transfer_->reason_);
  }
}

// Completes the transfer once this voter hears from another leader: from
// then on the group does not need this voter. Fails it at the deadline.
void LogReplica::TickTransfer(Time now) {
  if (!transfer_.has_value()) return;
  const bool done = state_.leader_ != VoterId() && state_.leader_ != state_.id_;
  if (!done && now < transfer_->deadline_) return;
  const DoneCallback answer = std::move(transfer_->done_);
  transfer_.reset();
  answer(done, done ? "" : "no other voter took over in time");
}

void LogReplica::UpdateLeadership() {
  ResignIfReplaced();
  const bool leads = state_.role_ == Role::kLeader;
  if (!leads) FailProposals();
  if (!announced_term_.has_value() && LeaderReady(state_)) {
    announced_term_ = state_.hard_.term_;
    LogInfo("{} leads group {} in term {}", options_.name_.value(),
            options_.group_.value(), state_.hard_.term_.value());
    owner_->LeadershipGained(state_.hard_.term_);
  }
}

void LogReplica::ResignIfReplaced() {
  const bool leads = state_.role_ == Role::kLeader;
  if (!announced_term_.has_value()) return;
  if (!leads || *announced_term_ != state_.hard_.term_) Resign();
}

void LogReplica::Resign() {
  LogInfo("{} no longer leads group {} in term {}", options_.name_.value(),
          options_.group_.value(), announced_term_->value());
  announced_term_.reset();
  owner_->LeadershipLost();
}

void LogReplica::FailProposals() {
  const std::map<LogIndex, PendingProposal> lost = std::move(proposals_);
  proposals_.clear();
  for (const auto& [index, proposal] : lost) {
    proposal.done_({ProposeOutcome::kUnknown, index});
  }
}

void LogReplica::MaybeCompact() {
  const std::uint64_t entries =
      state_.applied_.value() - state_.log_.snapshot_.index_.value();
  if (applied_bytes_ < options_.snapshot_log_bytes_ &&
      entries < options_.snapshot_log_entries_) {
    return;
  }
  applied_bytes_ = 0;
  CompactEvent event;
  event.data_ = std::make_shared<const std::string>(owner_->EncodeSnapshot());
  Actions actions = Step(&state_, event, MonotonicNow());
  Write(&actions);
  SendAll(actions.send_);
  UpdateLeadership();
  // The step ends the leadership if no majority answered while the owner
  // encoded its snapshot.
  AnswerRequests(actions);
}

void LogReplica::Fail(const std::string& reason) {
  if (failed()) return;
  LogError("{} stops voting: {}", options_.name_.value(), reason);
  failure_ = reason;
  unsynced_messages_.clear();
  if (announced_term_.has_value()) Resign();
  FailProposals();
  const std::map<std::uint64_t, DoneCallback> reads = std::move(reads_);
  reads_.clear();
  for (const auto& [id, done] : reads) done(false, reason);
  if (init_done_) std::exchange(init_done_, nullptr)(false, reason);
  if (membership_done_) std::exchange(membership_done_, nullptr)(false, reason);
  if (!transfer_.has_value()) return;
  const DoneCallback done = std::move(transfer_->done_);
  transfer_.reset();
  done(false, reason);
}

ReplicaStatus LogReplica::Status() const {
  ReplicaStatus status;
  const Membership& membership = CurrentMembership(state_.log_);
  status.group_ = state_.group_;
  status.term_ = state_.hard_.term_;
  status.formed_ = !membership.empty();
  status.is_leader_ = announced_term_.has_value();
  status.committed_ = state_.commit_;
  status.applied_ = state_.applied_;
  status.failure_ = failure_;
  status.disk_full_ = disk_->full();
  status.bytes_on_disk_ = disk_->bytes_on_disk();
  for (const Member& member : membership) {
    if (!failed() && member.id_ == state_.leader_) {
      status.leader_name_ = member.name_;
      status.leader_address_ = member.address_;
    }
    VoterStatus voter{.id_ = member.id_,
                      .name_ = member.name_,
                      .address_ = member.address_,
                      .learner_ = member.learner_,
                      .match_ = {},
                      .holds_log_ = false,
                      .heard_ = false,
                      .answered_ = {}};
    const auto progress = state_.progress_.find(member.id_);
    if (progress != state_.progress_.end()) {
      voter.match_ = progress->second.match_;
      voter.holds_log_ = progress->second.holds_log_;
      voter.heard_ = progress->second.heard_;
      voter.answered_ = progress->second.answered_;
    }
    status.voters_.push_back(std::move(voter));
  }
  return status;
}

std::uint64_t RandomBits() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

VoterId RandomVoterId() {
  std::uint64_t id = 0;
  while (id == 0) id = RandomBits();
  return VoterId(id);
}

}  // namespace

void SetVoterTiming(ReplicaOptions& options) {
  options.raft_.heartbeat_ = kVoterHeartbeat;
  options.raft_.election_min_ = kElectionMin;
  options.raft_.election_max_ = kElectionMax;
  options.seed_ = RandomBits();
}

leaf::result<std::unique_ptr<Replica>> MakeReplica(ReplicaOptions options,
                                                   ReplicaOwner* owner,
                                                   PeerSender send,
                                                   Executor executor,
                                                   Time now) {
  using Result = leaf::result<std::unique_ptr<Replica>>;
  return leaf::try_handle_some(
      [&]() -> Result {
        StorageOptions storage_options;
        storage_options.folder_ = options.data_folder_;
        storage_options.group_ = options.group_;
        storage_options.name_ = options.name_;
        storage_options.new_voter_id_ = RandomVoterId();
        BOOST_LEAF_AUTO(storage,
                        Storage::Open(options.make_disk_(), storage_options));
        auto replica = std::make_unique<LogReplica>(
            std::move(options), owner, std::move(send), std::move(executor),
            std::move(storage), now);
        if (!replica->RestoreOwner()) {
          return leaf::new_error(
              ReplicaError{"the owner can't read its snapshot"});
        }
        return std::unique_ptr<Replica>(std::move(replica));
      },
      [](const StorageError& error) -> Result {
        return leaf::new_error(ReplicaError{error.message_});
      });
}

}  // namespace flamingohollow
