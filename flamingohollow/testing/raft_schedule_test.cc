// Random schedules of faults against the oracle of raft_sim.h.
//
// FLAMINGOHOLLOW_SCHEDULES=N runs N schedules of faults instead of kSchedules,
// FLAMINGOHOLLOW_REPLACEMENTS=N runs N schedules of replaced machines,
// FLAMINGOHOLLOW_ENDS=N runs N of them that end with lost disks and a loss of
// power, and FLAMINGOHOLLOW_SEED=S starts at seed S. FLAMINGOHOLLOW_SHARD=I/N
// runs only the Ith of N equal parts of the seeds of each test case, with I
// from 1 to N.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/membership_plan.h"
#include "flamingohollow/testing/raft_sim.h"
#include "util/clock.h"

namespace flamingohollow::testing {
namespace {

constexpr std::uint64_t kSchedules = 1000;
constexpr int kStepsOfFaults = 400;
constexpr std::uint64_t kReplacementSchedules = 60;
constexpr int kStepsOfReplacements = 900;
constexpr std::uint64_t kEndSchedules = 900;
// Seeds of ends that found a fault.
constexpr std::array<std::uint64_t, 3> kEndSeeds = {6507, 20012, 22591};
constexpr int kStepsBeforeEnd = 250;
// How long a machine still counts as lost after it is back, or new.
constexpr Duration kCatchUp(4000);
// The group serves again within this long of any loss that it tolerates.
constexpr Duration kRecovery(6000);
// Machines that lose power or their disks at the end are back within this long.
constexpr Duration kLongestReturn(2500);
// The longest that a disk stalls.
constexpr Duration kLongestStall(3500);

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// Returns the seeds of a test case that belong to this process's shard:
// `extra`, unless FLAMINGOHOLLOW_SEED is set, and a range whose length is
// `default_count` or what the environment says.
std::vector<std::uint64_t> SeedsOfShard(
    const char* count_name, std::uint64_t default_count,
    const std::vector<std::uint64_t>& extra = {}) {
  const std::uint64_t first = FromEnvironment("FLAMINGOHOLLOW_SEED", 1);
  const std::uint64_t count = FromEnvironment(count_name, default_count);
  std::vector<std::uint64_t> seeds;
  if (std::getenv("FLAMINGOHOLLOW_SEED") == nullptr) seeds = extra;
  for (std::uint64_t i = 0; i < count; ++i) seeds.push_back(first + i);
  const char* text = std::getenv("FLAMINGOHOLLOW_SHARD");
  if (text == nullptr) return seeds;
  std::size_t shard = 0;
  std::size_t shards = 0;
  REQUIRE(std::sscanf(text, "%zu/%zu", &shard, &shards) == 2);
  REQUIRE(shard >= 1);
  REQUIRE(shard <= shards);
  std::vector<std::uint64_t> part;
  for (std::size_t i = shard - 1; i < seeds.size(); i += shards) {
    part.push_back(seeds[i]);
  }
  return part;
}

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : sim_(Options(seed)) {}

  // Returns the violation; empty when all checks passed.
  std::string Run() {
    if (!sim_.Form()) return "did not form: " + sim_.violation();
    sim_.set_options(options_);
    for (int step = 0; step < kStepsOfFaults; ++step) {
      RandomFault();
      RandomWork();
      sim_.Run(Duration(static_cast<std::int64_t>(10 + sim_.Random(100))));
      if (!sim_.violation().empty()) return sim_.violation();
    }
    return Heal();
  }
  std::size_t acknowledged() const { return sim_.acknowledged(); }

 private:
  SimOptions Options(std::uint64_t seed) {
    options_.seed_ = seed;
    options_.founders_ = seed % 3 == 0 ? 5 : 3;
    SimOptions quiet = options_;
    options_.lose_ = seed % 2 == 0 ? 30 : 0;
    options_.repeat_ = 50;
    // Ranges from one fault every few steps to a few faults per schedule.
    fault_range_ = std::array{30, 100, 300}[seed / 3 % 3];
    options_.delay_long_ = seed % 4 == 1 ? 50 : 5;
    return quiet;
  }

  std::size_t AnyNode() { return sim_.Random(sim_.nodes().size()); }
  Time Soon(std::uint64_t most) {
    return sim_.now() + Duration(static_cast<std::int64_t>(sim_.Random(most)));
  }

  void RandomWork() {
    for (std::size_t i = 0; i < sim_.nodes().size(); ++i) {
      // Sends requests to every node that considers itself the leader.
      if (sim_.Random(2) == 0) sim_.Propose(i);
      if (sim_.Random(4) == 0) sim_.Read(i);
    }
    switch (sim_.Random(40)) {
      case 0:
        sim_.InjectEvent(AnyNode(), TransferEvent{});
        break;
      case 1:
        RemoveOrAdd();
        break;
      default:
        break;
    }
  }

  void RandomFault() {
    const std::size_t i = AnyNode();
    SimNode& node = sim_.node(i);
    const std::size_t down = AnyNode();
    if (!sim_.node(down).up_ && sim_.Random(4) == 0) {
      sim_.node(down).files_->fail_in_ = -1;
      sim_.Start(down);
    }
    switch (sim_.Random(fault_range_)) {
      case 0:
      case 1:
        sim_.Crash(i);
        break;
      case 2:
        // Crashes the whole group at once.
        if (sim_.Random(4) > 0) break;
        for (std::size_t j = 0; j < sim_.nodes().size(); ++j) sim_.Crash(j);
        break;
      case 3:
        node.frozen_until_ = Soon(25'000);
        break;
      case 4:
        sim_.Isolate(i, Soon(8000));
        break;
      case 5:
      case 6:
        // Partitions one direction only.
        sim_.BlockLink(i, AnyNode(), Soon(8000));
        break;
      case 7:
      case 8:
        if (sim_.MayWipe(i)) sim_.Wipe(i);
        break;
      case 9:
        node.files_->fail_in_ = static_cast<int>(sim_.Random(20));
        node.files_->fail_code_ = sim_.Random(2) == 0 ? ENOSPC : EIO;
        break;
      case 10:
        node.disk_busy_until_ = Soon(3000);
        break;
      default:
        break;
    }
  }

  // Removes a voter or adds one again under its name, as an operator would. The
  // leader refuses to remove a voter while too few others answer, but detects a
  // lost folder only with the next heartbeat. These schedules do not remove a
  // voter with an intact folder in that interval.
  void RemoveOrAdd() {
    const auto leader = sim_.Leader();
    if (!leader.has_value()) return;
    const SimNode& node = sim_.node(AnyNode());
    if (sim_.Random(2) == 0) {
      sim_.InjectEvent(*leader, AddVoterEvent{{node.name_, node.address_}});
      return;
    }
    Membership rest = CurrentMembership(sim_.node(*leader).state_.log_);
    std::erase_if(rest, [&](const Member& m) { return m.name_ == node.name_; });
    if (!sim_.KeepsQuorum(rest, sim_.nodes().size())) return;
    sim_.InjectEvent(*leader, RemoveVoterEvent{node.name_});
  }

  // Once faults stop, the group serves again and all its voters agree.
  std::string Heal() {
    sim_.HealAll();
    for (std::size_t i = 0; i < sim_.nodes().size(); ++i) sim_.Start(i);
    const std::size_t before = sim_.acknowledged();
    const bool healed = sim_.RunUntil(Duration(60'000), [&] {
      const auto leader = sim_.Leader();
      if (leader.has_value() && sim_.acknowledged() == before) {
        sim_.Propose(*leader);
      }
      return !sim_.violation().empty() ||
             (sim_.acknowledged() > before && sim_.Converged());
    });
    if (!sim_.violation().empty()) return sim_.violation();
    return healed ? "" : "no recovery after the faults:" + sim_.Describe();
  }

  SimOptions options_;
  // A given fault is injected in one of this many steps on average.
  std::uint64_t fault_range_ = 0;
  RaftSim sim_;
};

// Machines are replaced by blank ones at new addresses, in series and beside
// crashes, partitions, lost folders and changes of the leader. At no moment do
// more machines count as lost than the group tolerates. The leader changes the
// membership as PlanMembership says.
//
// A schedule that `ends` also has stalled disks. At its end, which is aimed at
// a moment of a change of the membership, disks are lost and all other machines
// lose power at once, so that only synced data stays. The machines that count
// as lost then and those that lose their disks are no more than the group
// tolerates.
class ReplacementSchedule {
 public:
  explicit ReplacementSchedule(std::uint64_t seed, bool ends = false)
      : ends_(ends), sim_(Options(seed)) {}

  std::string Run() {
    if (!sim_.Form()) return "did not form: " + sim_.violation();
    lost_until_.resize(sim_.nodes().size());
    last_progress_ = sim_.now();
    const int steps = ends_ ? kStepsBeforeEnd : kStepsOfReplacements;
    if (ends_) AimEnd();
    for (int step = 0; step < steps && !ended_; ++step) {
      if (sim_.Random(12) == 0) RandomLoss();
      if (ends_ && sim_.Random(60) == 0) StallDisk(AnyMachine());
      RunWhile(Duration(static_cast<std::int64_t>(50 + sim_.Random(100))));
      if (!violation_.empty()) return Report();
    }
    return Heal();
  }
  std::size_t replaced() const { return replaced_; }
  bool ended() const { return ended_; }

 private:
  // What an end is aimed at.
  enum class Aim : std::uint8_t {
    kAnyMoment,
    // A membership with too few voters is appended, or is committed.
    kRemovalAppended,
    kRemovalCommitted,
    // The newest learner is a voter in an appended, or in a committed
    // membership.
    kPromotionAppended,
    kPromotionCommitted,
    // A machine has stopped counting as lost.
    kCountFell,
  };
  // What happens once the moment has come, before the end.
  enum class Twist : std::uint8_t {
    kNone,
    kLearnerDies,
    kLearnerFreezes,
    kLearnerStalls,
    kVoterStalls,
    kLeaderDies,
  };
  // The voters that some node knows of, as far as they matter to an aim.
  struct Voters {
    LogIndex index_;
    std::size_t count_ = 0;
  };
  SimOptions Options(std::uint64_t seed) {
    SimOptions options;
    options.seed_ = seed;
    tolerated_ = seed % 3 == 0 ? 1 : 2;
    options.founders_ = 2 * tolerated_ + 1;
    options.wanted_voters_ = options.founders_;
    options.chunk_bytes_ = 20'000;
    pause_ =
        std::array{Duration(0), Duration(2000), Duration(6000)}[seed / 3 % 3];
    return options;
  }

  std::size_t CountLost() const {
    return static_cast<std::size_t>(
        std::count_if(lost_until_.begin(), lost_until_.end(),
                      [this](Time until) { return sim_.now() < until; }));
  }

  Duration Between(std::uint64_t least, std::uint64_t most) {
    return Duration(
        static_cast<std::int64_t>(least + sim_.Random(most - least + 1)));
  }

  void RandomLoss() {
    if (ended_) return;
    if (sim_.now() < next_loss_) return;
    if (CountLost() + (VoterStalls() ? 1 : 0) >= tolerated_) return;
    const std::size_t i = sim_.Random(sim_.nodes().size());
    // A machine that was to be taken away is counted already.
    const bool counted = sim_.now() < lost_until_[i] || leaving_.contains(i);
    if (sim_.node(i).gone_ || counted) return;
    next_loss_ = sim_.now() + pause_;
    switch (sim_.Random(7)) {
      case 0:
      case 1: {
        sim_.TakeAway(i);
        const Time start = sim_.now() + Between(0, 2500);
        starts_.push_back(start);
        lost_until_[i] = start + kCatchUp;
        Trace("taken", i, lost_until_[i]);
        ++replaced_;
        return;
      }
      case 2: {
        // Planned: the new machine starts first.
        starts_.push_back(sim_.now());
        leaving_[i] = sim_.now() + Between(500, 5000);
        successor_counts_until_[i] = sim_.now() + kCatchUp;
        lost_until_[i] =
            std::max(leaving_[i] + kLeaveLimit, successor_counts_until_[i]);
        Trace("planned to leave at " + std::to_string(leaving_[i].ms()), i,
              lost_until_[i]);
        ++replaced_;
        return;
      }
      case 3:
        sim_.Wipe(i);
        return Return(i, Between(0, 3000));
      case 4:
        sim_.Crash(i);
        return Return(i, Between(0, 4000));
      case 5:
        sim_.node(i).frozen_until_ = sim_.now() + Between(500, 5000);
        lost_until_[i] = sim_.node(i).frozen_until_ + kCatchUp;
        Trace("freezes", i, lost_until_[i]);
        return;
      default:
        const Duration span = Between(500, 8000);
        sim_.Isolate(i, sim_.now() + span);
        lost_until_[i] = sim_.now() + span + kCatchUp;
        Trace("cut off", i, lost_until_[i]);
        return;
    }
  }

  std::size_t AnyMachine() { return sim_.Random(sim_.nodes().size()); }

  void Trace(const std::string& what) {
    if (!ends_) return;
    trace_ += '\n' + std::to_string(sim_.now().ms()) + ' ' + what;
  }
  void Trace(const std::string& what, std::size_t i, Time until) {
    Trace(what + ' ' + sim_.node(i).name_.value() + " until " +
          std::to_string(until.ms()));
  }
  std::string Report() const { return violation_ + sim_.Describe() + trace_; }

  bool VoterStalls() const {
    return stalls_voter_ && sim_.now() < stall_until_;
  }

  // A machine with a stalled disk doesn't count as lost at the end. Before it,
  // a stalled voter isn't combined with so many lost ones that no majority can
  // write: then no group can replace anyone, and the time that is given for it
  // passes. For the same reason, a disk that holds nothing yet doesn't stall.
  void StallDisk(std::size_t i) {
    if (!stalls_ || !sim_.IsActive(i)) return;
    if (sim_.now() < stall_until_ + kRecovery) return;
    if (IsBlank(sim_.node(i).state_)) return;
    const auto leader = sim_.Leader();
    const bool voter =
        !leader.has_value() ||
        IsVoter(CurrentMembership(sim_.node(*leader).state_.log_),
                sim_.node(i).state_.id_);
    if (voter && std::max(CountLost(), CountedAsLost().size()) >= tolerated_) {
      return;
    }
    stalls_voter_ = voter;
    stall_until_ = sim_.now() + Between(200, kLongestStall.ms());
    sim_.node(i).disk_busy_until_ = stall_until_;
    Trace("stalls", i, stall_until_);
  }

  void AimEnd() {
    stalls_ = sim_.Random(2) == 0;
    aim_ = static_cast<Aim>(sim_.Random(6));
    twist_ = static_cast<Twist>(sim_.Random(6));
    aim_from_ = sim_.now() + Between(1000, 15'000);
    const bool at_once = sim_.Random(3) == 0;
    end_delay_ = at_once ? Between(0, 60) : Between(0, 5000);
  }

  // The voters of the newest membership that any node has appended, or has
  // committed.
  Voters NewestVoters(bool committed) {
    Voters newest;
    for (const SimNode& node : sim_.nodes()) {
      if (!node.up_) continue;
      const std::vector<MembershipAt>& all = node.state_.log_.memberships_;
      for (const MembershipAt& at : all) {
        if (committed && at.index_ > node.state_.commit_) continue;
        if (at.index_ < newest.index_) continue;
        newest = {at.index_, CountVoters(at.membership_)};
      }
    }
    return newest;
  }

  bool AtAim() {
    const std::size_t wanted = 2 * tolerated_ + 1;
    const bool committed =
        aim_ == Aim::kRemovalCommitted || aim_ == Aim::kPromotionCommitted;
    const std::size_t voters = NewestVoters(committed).count_;
    const std::size_t voters_before = std::exchange(voters_, voters);
    const std::size_t lost = CountedAsLost().size();
    const std::size_t lost_before = std::exchange(lost_, lost);
    if (sim_.now() < aim_from_) return false;
    switch (aim_) {
      case Aim::kAnyMoment:
        return true;
      case Aim::kRemovalAppended:
      case Aim::kRemovalCommitted:
        return voters < wanted;
      case Aim::kPromotionAppended:
      case Aim::kPromotionCommitted:
        return voters_before < wanted && voters == wanted;
      case Aim::kCountFell:
        return lost < lost_before;
    }
    return false;
  }

  // A voter other than the leader, or a learner; nullopt if there is none.
  std::optional<std::size_t> FindMachine(bool learner) {
    const auto leader = sim_.Leader();
    if (!leader.has_value()) return std::nullopt;
    const Membership members =
        CurrentMembership(sim_.node(*leader).state_.log_);
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < sim_.nodes().size(); ++i) {
      const Member* member = FindMember(members, sim_.node(i).state_.id_);
      if (i != *leader && member != nullptr && member->learner_ == learner &&
          sim_.IsActive(i)) {
        found.push_back(i);
      }
    }
    if (found.empty()) return std::nullopt;
    return found[sim_.Random(found.size())];
  }

  // Does what counts as a loss only if one more is tolerated.
  void DoTwist() {
    const bool of_learner = twist_ == Twist::kLearnerDies ||
                            twist_ == Twist::kLearnerFreezes ||
                            twist_ == Twist::kLearnerStalls;
    const auto i =
        twist_ == Twist::kLeaderDies ? sim_.Leader() : FindMachine(of_learner);
    if (!i.has_value() || twist_ == Twist::kNone) return;
    if (twist_ == Twist::kLearnerStalls || twist_ == Twist::kVoterStalls) {
      return StallDisk(*i);
    }
    std::set<std::size_t> lost = CountedAsLost();
    lost.insert(*i);
    const std::size_t stalled = VoterStalls() ? 1 : 0;
    if (lost.size() + stalled > tolerated_ || leaving_.contains(*i)) return;
    if (twist_ == Twist::kLearnerFreezes) {
      sim_.node(*i).frozen_until_ = sim_.now() + Between(500, 5000);
      lost_until_[*i] = sim_.node(*i).frozen_until_ + kCatchUp;
      return Trace("freezes", *i, lost_until_[*i]);
    }
    sim_.Crash(*i);
    Return(*i, Between(0, 4000));
  }

  // The machines that count as lost, as the users count them: while it is down,
  // frozen or cut off and for the catch-up after that, a new one for the
  // catch-up after its first start, and a removed one until its successor has
  // had that time.
  std::set<std::size_t> CountedAsLost() const {
    std::set<std::size_t> lost;
    for (std::size_t i = 0; i < lost_until_.size(); ++i) {
      // One that is to be replaced as planned works until it is stopped.
      const bool works = leaving_.contains(i) && !IsLeaving(i);
      const bool is_new =
          i >= 2 * tolerated_ + 1 && sim_.now() < first_start_.at(i) + kCatchUp;
      if ((sim_.now() < lost_until_[i] && !works) || is_new) lost.insert(i);
    }
    return lost;
  }

  // Disks are lost and all other machines lose power at the same moment.
  void End() {
    ended_ = true;
    std::set<std::size_t> lost = CountedAsLost();
    REQUIRE(lost.size() <= tolerated_);
    for (const std::size_t i : lost) Trace("lost", i, lost_until_[i]);
    std::set<std::size_t> wiped;
    const std::size_t wanted = tolerated_;
    for (int tries = 0; tries < 100 && wiped.size() < wanted; ++tries) {
      const std::size_t i = AnyMachine();
      if (sim_.node(i).gone_) continue;
      std::set<std::size_t> all = lost;
      all.insert(i);
      if (all.size() > tolerated_) continue;
      lost = std::move(all);
      wiped.insert(i);
    }
    Time back = sim_.now();
    for (std::size_t i = 0; i < sim_.nodes().size(); ++i) {
      if (sim_.node(i).gone_) continue;
      const bool was_up = sim_.node(i).up_;
      if (wiped.contains(i)) {
        sim_.Wipe(i);
      } else {
        sim_.Crash(i);
      }
      Trace(wiped.contains(i) ? "wiped" : "power", i, sim_.now());
      if (was_up) returns_[i] = sim_.now() + Between(0, kLongestReturn.ms());
      back = std::max(back, returns_.at(i));
    }
    last_progress_ = back;
    // What is planned and has not begun is put off until the group is whole.
    for (auto& [i, at] : leaving_) {
      if (!IsLeaving(i)) at = back + kRecovery;
    }
  }

  void MaybeEnd() {
    if (ended_) return;
    if (!end_at_.has_value()) {
      if (!AtAim()) return;
      Trace("aim " + std::to_string(static_cast<int>(aim_)) + " twist " +
            std::to_string(static_cast<int>(twist_)));
      DoTwist();
      end_at_ = sim_.now() + end_delay_;
    }
    // Waits while more count as lost than are tolerated.
    if (sim_.now() >= *end_at_ && CountedAsLost().size() <= tolerated_) End();
  }

  void Return(std::size_t i, Duration after) {
    returns_[i] = sim_.now() + after;
    lost_until_[i] = returns_[i] + kCatchUp;
    Trace("down", i, lost_until_[i]);
  }

  void RunWhile(Duration span) {
    const Time end = sim_.now() + span;
    while (sim_.now() < end && violation_.empty()) {
      MoveMachines();
      sim_.Run(RaftSim::kStep);
      if (ends_) MaybeEnd();
      if (sim_.now() >= next_plan_) PlanMembers();
      CheckProgress();
    }
  }

  void MoveMachines() {
    for (Time& start : starts_) {
      if (sim_.now() < start || start == Time()) continue;
      start = Time();
      const std::string name = "new-" + std::to_string(sim_.nodes().size());
      sim_.AddNode(NodeName(name), name);
      lost_until_.push_back(Time());
      first_start_[sim_.nodes().size() - 1] = sim_.now();
      Trace("starts " + name);
    }
    std::erase(starts_, Time());
    std::erase_if(leaving_, [this](const auto& item) {
      const auto& [i, at] = item;
      if (!IsLeaving(i)) return false;
      if (sim_.now() < at + kLeaveLimit && !IsReplaced(i)) {
        sim_.InjectEvent(i, TransferEvent{});
        return false;
      }
      sim_.TakeAway(i);
      lost_until_[i] = successor_counts_until_.at(i);
      Trace("leaves", i, lost_until_[i]);
      return true;
    });
    std::erase_if(returns_, [this](const auto& item) {
      if (sim_.now() < item.second) return false;
      sim_.Start(item.first);
      return true;
    });
  }

  // Whether the leader tells the machine that it is no member any more.
  bool IsReplaced(std::size_t i) const {
    const auto leader = sim_.Leader();
    if (!leader.has_value() || !sim_.Reaches(i, *leader)) return false;
    const RaftState& state = sim_.nodes()[*leader].state_;
    return CurrentMembershipIndex(state.log_) <= state.commit_ &&
           FindMember(CurrentMembership(state.log_),
                      sim_.nodes()[i].state_.id_) == nullptr;
  }

  bool IsLeaving(std::size_t i) const {
    const auto leaving = leaving_.find(i);
    return leaving != leaving_.end() && sim_.now() >= leaving->second;
  }

  // As GraphService::PlanMembers does, each 200 ms.
  void PlanMembers() {
    next_plan_ = sim_.now() + Duration(200);
    const auto leader = sim_.Leader();
    if (!leader.has_value()) return;
    const RaftState& state = sim_.node(*leader).state_;
    if (state.joining_ || state.operator_change_index_) return;
    std::vector<PlannedMember> members;
    for (const Member& member : CurrentMembership(state.log_)) {
      const Progress& progress = state.progress_.at(member.id_);
      members.push_back({.name_ = member.name_,
                         .learner_ = member.learner_,
                         .holds_log_ = progress.holds_log_,
                         .unheard_ = !progress.heard_,
                         .answered_ = progress.answered_});
    }
    std::map<NodeName, ControlNode> nodes;
    for (std::size_t i = 0; i < sim_.nodes().size(); ++i) {
      const SimNode& node = sim_.node(i);
      const bool announced = sim_.IsActive(i) && sim_.Reaches(i, *leader) &&
                             sim_.now() - node.started_at_ > Duration(1000);
      if (announced && IsLeaving(i)) told_.emplace(state.hard_.term_, i);
      // A leader remembers who told it that it leaves.
      const bool leaving = told_.contains({state.hard_.term_, i});
      if (!announced && !leaving) continue;
      nodes[node.name_] = {node.address_, announced ? sim_.now() : Time(),
                           leaving, tried_[node.name_]};
    }
    const auto change = PlanMembership(members, nodes, state.name_,
                                       2 * tolerated_ + 1, sim_.now());
    if (!change.has_value()) return;
    if (change->remove_.has_value()) {
      Trace("removes " + change->remove_->value());
      return sim_.InjectEvent(*leader, RemoveVoterEvent{*change->remove_});
    }
    tried_[*change->add_] = sim_.now();
    sim_.InjectEvent(
        *leader,
        AddVoterEvent{{*change->add_, nodes.at(*change->add_).address_}});
  }

  void CheckProgress() {
    const auto leader = sim_.Leader();
    if (proposes_ && leader.has_value() && sim_.Random(4) == 0) {
      sim_.Propose(*leader);
    }
    if (sim_.acknowledged() > acknowledged_) {
      acknowledged_ = sim_.acknowledged();
      last_progress_ = sim_.now();
    }
    violation_ = sim_.violation();
    if (violation_.empty() && proposes_ &&
        sim_.now() - std::max(last_progress_, stall_until_) > kRecovery) {
      violation_ = "nothing was acknowledged for too long";
    }
  }

  // Once the losses stop, all machines that are left vote.
  std::string Heal() {
    // Cuts and stalls go on after the end.
    if (ended_) RunWhile(kLongestReturn + kRecovery);
    sim_.HealAll();
    RunWhile(kRecovery);
    proposes_ = false;
    const Time end = sim_.now() + Duration(30'000);
    while (sim_.now() < end && violation_.empty()) {
      RunWhile(Duration(500));
      const auto leader = sim_.Leader();
      const bool full =
          leader.has_value() && starts_.empty() && leaving_.empty() &&
          returns_.empty() &&
          CountVoters(CurrentMembership(sim_.node(*leader).state_.log_)) ==
              2 * tolerated_ + 1;
      if (full && sim_.Converged()) return "";
    }
    if (violation_.empty()) violation_ = "no recovery after the losses:";
    return Report();
  }

  const bool ends_;
  std::size_t tolerated_ = 0;
  // Least time between two losses.
  Duration pause_;
  RaftSim sim_;
  std::string violation_;
  // By node: until when it counts as lost.
  std::vector<Time> lost_until_;
  // When new machines start, machines begin to leave as planned, and others are
  // back.
  std::vector<Time> starts_;
  std::map<std::size_t, Time> leaving_;
  // Until when the successors of machines that leave as planned count as lost.
  std::map<std::size_t, Time> successor_counts_until_;
  // Which machines have told the leader of a term that they leave.
  std::set<std::pair<Term, std::size_t>> told_;
  std::map<std::size_t, Time> returns_;
  Time next_loss_;
  Time next_plan_;
  std::map<NodeName, Time> tried_;
  bool proposes_ = true;
  std::size_t acknowledged_ = 0;
  Time last_progress_;
  std::size_t replaced_ = 0;

  // The end of a schedule that ends.
  Aim aim_ = Aim::kAnyMoment;
  Twist twist_ = Twist::kNone;
  Time aim_from_;
  Duration end_delay_;
  std::optional<Time> end_at_;
  bool ended_ = false;
  // Some schedules that end have no stalled disks.
  bool stalls_ = false;
  Time stall_until_;
  bool stalls_voter_ = false;
  // As of the last step.
  std::size_t voters_ = 0;
  std::size_t lost_ = 0;
  // By node, of those that are no founders.
  std::map<std::size_t, Time> first_start_;
  std::string trace_;
};

// Guards against groups that end for good as machines are replaced in series,
// or as disks are lost soon after a replacement.
TEST_CASE("replaced machines leave the group able to lose more") {
  const std::vector<std::uint64_t> seeds =
      SeedsOfShard("FLAMINGOHOLLOW_REPLACEMENTS", kReplacementSchedules);
  std::size_t replaced = 0;
  for (const std::uint64_t seed : seeds) {
    ReplacementSchedule schedule(seed);
    const std::string violation = schedule.Run();
    CAPTURE(seed);
    REQUIRE(violation == "");
    replaced += schedule.replaced();
  }
  MESSAGE(seeds.size() << " schedules, " << replaced << " replaced machines");
}

// Guards against a moment at which the group has fewer voters, or fewer synced
// copies of what was acknowledged, than the count of lost machines says.
TEST_CASE("lost disks at the end leave a group that knows everything") {
  const std::vector<std::uint64_t> seeds =
      SeedsOfShard("FLAMINGOHOLLOW_ENDS", kEndSchedules,
                   {kEndSeeds.begin(), kEndSeeds.end()});
  std::size_t ended = 0;
  for (const std::uint64_t seed : seeds) {
    ReplacementSchedule schedule(seed, true);
    const std::string violation = schedule.Run();
    CAPTURE(seed);
    REQUIRE(violation == "");
    if (schedule.ended()) ++ended;
  }
  MESSAGE(seeds.size() << " schedules, " << ended << " ended with lost disks");
}

TEST_CASE("random schedules keep what was acknowledged") {
  const std::vector<std::uint64_t> seeds =
      SeedsOfShard("FLAMINGOHOLLOW_SCHEDULES", kSchedules);
  std::size_t acknowledged = 0;
  for (const std::uint64_t seed : seeds) {
    Schedule schedule(seed);
    const std::string violation = schedule.Run();
    CAPTURE(seed);
    REQUIRE(violation == "");
    acknowledged += schedule.acknowledged();
  }
  MESSAGE(seeds.size() << " schedules, " << acknowledged
                       << " acknowledged commands");
}

}  // namespace
}  // namespace flamingohollow::testing
