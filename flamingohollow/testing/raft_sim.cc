// The simulated network, disks and clock, and the oracle.

#include "flamingohollow/testing/raft_sim.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace flamingohollow::testing {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMaxInFlight = 20'000;
// How much later the simulation may observe a change that the leader knows of.
constexpr Duration kSlack = Duration(30);

RaftConfig SimConfig(const SimOptions& options) {
  RaftConfig config;
  config.wanted_voters_ = options.wanted_voters_;
  config.batch_entries_ = 4;
  config.max_in_flight_batches_ = 3;
  config.chunk_bytes_ = options.chunk_bytes_;
  config.keep_entries_ = 5;
  return config;
}

std::string EncodeApplied(const std::map<LogIndex, std::string>& applied) {
  std::string text;
  for (const auto& [index, command] : applied) {
    text += std::to_string(index.value()) + ' ' + command + '\n';
  }
  return text;
}

std::map<LogIndex, std::string> DecodeApplied(const std::string& text) {
  std::map<LogIndex, std::string> applied;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t space = text.find(' ', at);
    const std::size_t end = text.find('\n', space);
    applied[LogIndex(std::stoull(text.substr(at, space - at)))] =
        text.substr(space + 1, end - space - 1);
    at = end + 1;
  }
  return applied;
}

}  // namespace

RaftSim::RaftSim(const SimOptions& options)
    : options_(options), random_(options.seed_) {
  for (std::size_t i = 0; i < options.founders_; ++i) {
    const std::string name = "control-" + std::to_string(i);
    AddNode(NodeName(name), name);
  }
}

std::uint64_t RaftSim::Random(std::uint64_t below) {
  random_ += 0x9e3779b97f4a7c15;
  std::uint64_t z = random_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return (z ^ (z >> 31)) % below;
}

std::size_t RaftSim::AddNode(const NodeName& name, const std::string& address) {
  SimNode& node = nodes_.emplace_back();
  node.name_ = name;
  node.address_ = address;
  node.files_ = std::make_shared<FakeFiles>();
  Start(nodes_.size() - 1);
  return nodes_.size() - 1;
}

void RaftSim::Start(std::size_t i) {
  SimNode& node = nodes_[i];
  if (node.up_ || node.gone_) return;
  StorageOptions options;
  options.folder_ = "data";
  options.name_ = node.name_;
  options.new_voter_id_ = VoterId(++last_id_);
  options.segment_bytes_ = 2000;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(
            node.storage_,
            Storage::Open(std::make_unique<FakeDisk>(node.files_), options));
        return {};
      },
      [&](const StorageError& error) {
        ReportViolation("start: " + error.message_);
      },
      [&] { ReportViolation("start: unknown error"); });
  if (node.storage_ == nullptr) return;
  StoredState& stored = node.storage_->stored();
  Member self;
  self.id_ = stored.id_;
  self.name_ = node.name_;
  self.address_ = node.address_;
  node.state_ = MakeRaftState(
      SimConfig(options_), GroupId(), self, Random(1'000'000), stored.hard_,
      std::move(stored.snapshot_), std::move(stored.entries_), now_);
  node.up_ = true;
  node.started_at_ = now_;
  node.frozen_until_ = Time();
  node.disk_queue_.clear();
  node.commit_ = node.state_.commit_;
  node.last_heard_.clear();
  node.leader_since_ = now_;
  node.applied_.clear();
  Restore(&node);
}

void RaftSim::Crash(std::size_t i) {
  SimNode& node = nodes_[i];
  node.up_ = false;
  node.storage_.reset();
  node.disk_queue_.clear();
  node.files_->Crash([this](std::uint64_t below) { return Random(below); });
  std::erase_if(pending_proposals_,
                [i](const auto& item) { return item.second.node_ == i; });
}

void RaftSim::Wipe(std::size_t i) {
  Crash(i);
  nodes_[i].files_ = std::make_shared<FakeFiles>();
}

void RaftSim::TakeAway(std::size_t i) {
  Crash(i);
  nodes_[i].gone_ = true;
}

bool RaftSim::Active(const SimNode& node) const {
  return node.up_ && now_ >= node.frozen_until_;
}

void RaftSim::ReportViolation(const std::string& what) {
  if (!violation_.empty()) return;
  violation_ = "seed " + std::to_string(options_.seed_) + " at " +
               std::to_string(now_.ms()) + " ms: " + what;
}

// Network.

void RaftSim::BlockLink(std::size_t a, std::size_t b, Time until) {
  blocked_links_[{nodes_[a].address_, nodes_[b].address_}] = until;
}

void RaftSim::Isolate(std::size_t i, Time until) {
  for (std::size_t j = 0; j < nodes_.size(); ++j) {
    if (j == i) continue;
    BlockLink(i, j, until);
    BlockLink(j, i, until);
  }
}

bool RaftSim::Reaches(std::size_t a, std::size_t b) const {
  const auto blocked =
      blocked_links_.find({nodes_[a].address_, nodes_[b].address_});
  return blocked == blocked_links_.end() || now_ >= blocked->second;
}

void RaftSim::HealAll() {
  blocked_links_.clear();
  options_.lose_ = options_.repeat_ = options_.delay_long_ = 0;
  for (SimNode& node : nodes_) {
    node.frozen_until_ = Time();
    node.disk_busy_until_ = Time();
    node.files_->fail_in_ = -1;
  }
}

void RaftSim::SendMessages(SimNode* node,
                           const std::vector<Message>& messages) {
  for (const Message& message : messages) {
    CheckMessage(message);
    const auto blocked =
        blocked_links_.find({node->address_, message.to_address_});
    if (blocked != blocked_links_.end() && now_ < blocked->second) continue;
    if (Random(1000) < options_.lose_) continue;
    const int copies = Random(1000) < options_.repeat_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      std::uint64_t delay = 1 + Random(15);
      if (Random(1000) < options_.delay_long_) delay += Random(3000);
      const Time at = now_ + Duration(static_cast<std::int64_t>(delay));
      if (in_flight_.size() >= kMaxInFlight) continue;
      in_flight_.push_back({at, node->address_, message});
    }
  }
}

void RaftSim::DeliverDue() {
  std::vector<InFlight> due;
  std::vector<InFlight> later;
  for (InFlight& item : in_flight_) {
    (item.at_ <= now_ ? due : later).push_back(std::move(item));
  }
  in_flight_ = std::move(later);
  std::stable_sort(
      due.begin(), due.end(),
      [](const InFlight& a, const InFlight& b) { return a.at_ < b.at_; });
  for (InFlight& item : due) {
    for (SimNode& node : nodes_) {
      if (node.address_ != item.message_.to_address_ || !node.up_) continue;
      if (!Active(node)) {
        // Simulates a message that waits in a socket buffer.
        item.at_ = node.frozen_until_;
        in_flight_.push_back(std::move(item));
        break;
      }
      node.last_heard_[item.message_.from_] = now_;
      StepNode(&node, item.message_);
      break;
    }
  }
}

// Nodes.

void RaftSim::Run(Duration span) {
  const Time end = now_ + span;
  while (now_ < end) {
    now_ = now_ + kStep;
    DeliverDue();
    for (SimNode& node : nodes_) {
      if (!Active(node)) continue;
      StepNode(&node, TickEvent{});
      RunDisk(&node);
    }
  }
}

void RaftSim::StepNode(SimNode* node, const RaftEvent& event) {
  ExecuteActions(node, Step(&node->state_, event, now_));
  while (node->up_ && node->state_.applied_.value() >=
                          node->state_.log_.snapshot_.index_.value() +
                              options_.snapshot_entries_) {
    const CompactEvent compact{
        std::make_shared<const std::string>(EncodeApplied(node->applied_))};
    ExecuteActions(node, Step(&node->state_, compact, now_));
  }
}

void RaftSim::InjectEvent(std::size_t i, const RaftEvent& event) {
  if (Active(nodes_[i])) StepNode(&nodes_[i], event);
}

void RaftSim::ExecuteActions(SimNode* node, Actions actions) {
  node->disk_queue_.push_back(
      {.batch_ = {.hard_state_ = actions.hard_state_,
                  .snapshot_ = std::move(actions.snapshot_),
                  .append_ = std::move(actions.append_)},
       .messages_ = std::move(actions.send_synced_)});
  SendMessages(node, actions.send_);
  if (actions.restore_) Restore(node);
  Apply(node);
  for (const ReadResult& read : actions.reads_) {
    const auto read_index = reads_.find(read.id_);
    if (read.ok_ && node->state_.applied_ < read_index->second) {
      ReportViolation(
          "a confirmed read missed what was acknowledged before it");
    }
    reads_.erase(read_index);
  }
  CheckNode(node);
}

void RaftSim::RunDisk(SimNode* node) {
  if (now_ < node->disk_busy_until_ || node->disk_queue_.empty()) return;
  std::deque<SimNode::Batch> queue = std::move(node->disk_queue_);
  node->disk_queue_.clear();
  std::vector<StorageBatch> batches;
  for (SimNode::Batch& item : queue) {
    const StorageBatch& batch = item.batch_;
    if (batch.hard_state_ || batch.snapshot_ || !batch.append_.empty()) {
      batches.push_back(std::move(item.batch_));
    }
  }
  const bool written =
      batches.empty() || leaf::try_handle_all(
                             [&]() -> leaf::result<bool> {
                               BOOST_LEAF_CHECK(node->storage_->Write(batches));
                               return true;
                             },
                             [] { return false; });
  if (!written) {
    // The voter stops; its process exits and is restarted later.
    return Crash(static_cast<std::size_t>(node - nodes_.data()));
  }
  for (SimNode::Batch& item : queue) {
    std::vector<Message> others;
    for (Message& message : item.messages_) {
      if (message.to_ != node->state_.id_) {
        others.push_back(std::move(message));
        continue;
      }
      CheckMessage(message);
      StepNode(node, message);
    }
    SendMessages(node, others);
  }
}

void RaftSim::Restore(SimNode* node) {
  const Snapshot& snapshot = node->state_.log_.snapshot_;
  if (snapshot.index_ == LogIndex()) return;
  node->applied_ = DecodeApplied(*snapshot.data_);
  for (const auto& [index, entry] : committed_) {
    if (index > snapshot.index_) break;
    if (entry.kind_ != EntryKind::kCommand) continue;
    const auto held = node->applied_.find(index);
    if (held == node->applied_.end() || held->second != entry.command_) {
      ReportViolation("a snapshot lacks entry " +
                      std::to_string(index.value()));
    }
  }
}

void RaftSim::Apply(SimNode* node) {
  while (const LogEntry* entry = TakeCommitted(&node->state_)) {
    const auto [first, fresh] = committed_.emplace(entry->index_, *entry);
    if (!fresh && first->second != *entry) {
      ReportViolation("two entries committed at " +
                      std::to_string(entry->index_.value()));
    }
    if (entry->kind_ == EntryKind::kCommand) {
      node->applied_[entry->index_] = entry->command_;
      const auto [where, once] =
          command_index_.emplace(entry->command_, entry->index_);
      if (!once && where->second != entry->index_) {
        ReportViolation("command " + entry->command_ + " committed twice");
      }
    }
    const auto pending = pending_proposals_.find(entry->index_);
    const bool answered = pending != pending_proposals_.end() &&
                          &nodes_[pending->second.node_] == node &&
                          pending->second.term_ == entry->term_;
    if (answered) acknowledged_[entry->index_] = pending->second.command_;
  }
  // Checks that acknowledged commands up to the applied index were applied.
  if (acknowledged_.empty()) return;
  const auto& [index, command] = *acknowledged_.rbegin();
  if (index > node->state_.applied_) return;
  const auto held = node->applied_.find(index);
  if (held == node->applied_.end() || held->second != command) {
    ReportViolation("acknowledged command " + command + " is lost");
  }
}

// The oracle.

void RaftSim::CheckMessage(const Message& message) {
  const auto* reply = std::get_if<VoteReply>(&message.body_);
  if (reply == nullptr || reply->pre_vote_ || !reply->granted_) return;
  const auto [vote, fresh] =
      votes_.emplace(std::pair(message.term_, message.from_), message.to_);
  if (!fresh && vote->second != message.to_) {
    ReportViolation("a voter voted twice in term " +
                    std::to_string(message.term_.value()));
  }
}

void RaftSim::CheckNode(SimNode* node) {
  const RaftState& state = node->state_;
  if (state.commit_ < node->commit_ || state.applied_ > state.commit_) {
    ReportViolation("a commit index went down");
  }
  node->commit_ = state.commit_;
  if (state.role_ != Role::kLeader) {
    node->leader_since_ = now_;
    return;
  }
  const auto [leader, fresh] = leaders_.emplace(state.hard_.term_, state.id_);
  if (!fresh && leader->second != state.id_) {
    ReportViolation("two leaders in term " +
                    std::to_string(state.hard_.term_.value()));
  }
  const Duration limit = state.config_.election_min_ + kSlack;
  if (now_ - node->leader_since_ <= limit) return;
  const Membership& membership = CurrentMembership(state.log_);
  std::size_t heard = 0;
  for (const Member& member : membership) {
    const bool counts =
        !member.learner_ && (member.id_ == state.id_ ||
                             now_ - node->last_heard_[member.id_] <= limit);
    if (counts) ++heard;
  }
  if (heard < QuorumSize(membership)) {
    ReportViolation(state.name_.value() + " leads without a majority");
  }
}

std::string RaftSim::Describe() const {
  std::string text;
  for (const SimNode& node : nodes_) {
    const RaftState& state = node.state_;
    text += '\n' + node.name_.value() + " id " +
            std::to_string(state.id_.value()) + " term " +
            std::to_string(state.hard_.term_.value()) + " role " +
            std::to_string(static_cast<int>(state.role_)) + " last " +
            std::to_string(LastIndex(state.log_).value()) + " commit " +
            std::to_string(state.commit_.value()) + " members";
    for (const Member& member : CurrentMembership(state.log_)) {
      text += ' ' + std::to_string(member.id_.value()) +
              (member.learner_ ? "(learner)" : "");
    }
  }
  return text;
}

LogIndex RaftSim::committed() const {
  return committed_.empty() ? LogIndex() : committed_.rbegin()->first;
}

bool RaftSim::KeepsQuorum(const Membership& membership,
                          std::size_t without) const {
  std::size_t intact = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i == without || nodes_[i].files_->synced_names_.empty()) continue;
    if (IsVoter(membership, nodes_[i].state_.id_)) ++intact;
  }
  return intact >= QuorumSize(membership);
}

bool RaftSim::Survives(const Membership& membership,
                       std::size_t without) const {
  if (!KeepsQuorum(membership, without)) return false;
  // The leader may promote a learner just before it detects the loss, so the
  // membership with that learner promoted must survive too.
  for (const Member& learner : membership) {
    if (!learner.learner_) continue;
    Membership promoted = membership;
    for (Member& member : promoted) {
      if (member.id_ == learner.id_) member.learner_ = false;
    }
    if (!KeepsQuorum(promoted, without)) return false;
  }
  return true;
}

bool RaftSim::MayWipe(std::size_t i) const {
  const Membership* newest = nullptr;
  for (const auto& [index, entry] : committed_) {
    if (entry.kind_ == EntryKind::kMembership) newest = &entry.membership_;
  }
  if (newest == nullptr || !Survives(*newest, i)) return false;
  // A pending change may still be committed or dropped: the group must survive
  // in both cases.
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const SimNode& node) {
    const Membership& own = CurrentMembership(node.state_.log_);
    return own.empty() ||
           CurrentMembershipIndex(node.state_.log_) <= committed() ||
           Survives(own, i);
  });
}

bool RaftSim::Propose(std::size_t i) {
  SimNode& node = nodes_[i];
  if (!Active(node)) return false;
  const std::string command = "c" + std::to_string(++last_command_);
  Actions actions = Step(&node.state_, ProposeEvent{command}, now_);
  const std::optional<LogIndex> index = actions.proposed_;
  if (index.has_value()) {
    pending_proposals_[*index] = {i, node.state_.hard_.term_, command};
  }
  ExecuteActions(&node, std::move(actions));
  return index.has_value();
}

void RaftSim::Read(std::size_t i) {
  if (!Active(nodes_[i])) return;
  const std::uint64_t id = ++last_read_;
  reads_[id] =
      acknowledged_.empty() ? LogIndex() : acknowledged_.rbegin()->first;
  StepNode(&nodes_[i], ReadEvent{id});
}

std::optional<std::size_t> RaftSim::Leader() const {
  std::optional<std::size_t> leader;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!Active(nodes_[i]) || !LeaderReady(nodes_[i].state_)) continue;
    const bool newer =
        !leader.has_value() ||
        nodes_[i].state_.hard_.term_ > nodes_[*leader].state_.hard_.term_;
    if (newer) leader = i;
  }
  return leader;
}

bool RaftSim::Form() {
  InitEvent init;
  for (const SimNode& node : nodes_) {
    init.founders_.push_back({node.name_, node.address_});
  }
  InjectEvent(0, init);
  return RunUntil(Duration(20'000), [this] { return Leader().has_value(); });
}

bool RaftSim::Converged() const {
  const std::optional<std::size_t> leader = Leader();
  if (!leader.has_value()) return false;
  const RaftState& state = nodes_[*leader].state_;
  if (state.commit_ != LastIndex(state.log_)) return false;
  for (const Member& member : CurrentMembership(state.log_)) {
    const auto holds = [&](const SimNode& node) {
      return node.up_ && node.state_.id_ == member.id_ &&
             node.applied_ == nodes_[*leader].applied_ &&
             node.state_.commit_ == state.commit_;
    };
    if (member.learner_ || std::none_of(nodes_.begin(), nodes_.end(), holds)) {
      return false;
    }
  }
  return true;
}

}  // namespace flamingohollow::testing
