// Random schedules for the entries' leases and the in-force rule.
//
// Simulates leaders, all but the newest deposed without knowing it, and entries
// whose old incarnations keep running. Syncs, answers and confirmations of
// leadership are delayed, lost, repeated and reordered; the entries' clocks run
// slow within the margin. Invariant: while a leader claims that its version is
// in force, no entry may enforce an older one.
//
// FLAMINGOHOLLOW_SCHEDULES sets the number of schedules.

#include "flamingohollow/control_entries.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace flamingohollow {
namespace {

constexpr std::uint64_t kDefaultSchedules = 3000;
constexpr int kSteps = 300;
constexpr std::size_t kEntryNames = 3;

std::uint64_t Schedules() {
  const char* requested = std::getenv("FLAMINGOHOLLOW_SCHEDULES");
  return requested == nullptr ? kDefaultSchedules
                              : std::strtoull(requested, nullptr, 10);
}

struct Leader {
  Term term_;
  TableVersion version_;
  Entries entries_;
  // When it was deposed; not visible to the leader itself.
  std::optional<Time> deposed_at_;
};

// One incarnation of an entry.
struct EntryProcess {
  HolderId id_;
  TableVersion version_;
  Time lease_until_;
};

struct SyncMessage {
  std::size_t process_ = 0;
  Time sent_;
  TableVersion version_;
};

struct AnswerMessage {
  std::size_t process_ = 0;
  Time sync_sent_;
  TableVersion version_;
  Duration lease_;
};

struct Confirmation {
  std::size_t leader_ = 0;
  Time requested_at_;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {
    Elect();
    for (std::size_t i = 0; i < kEntryNames; ++i) StartProcess(i);
  }

  void Step() {
    switch (RandomBelow(12)) {
      case 0:
        now_ = now_ + RandomTime(100);
        break;
      case 1:
        if (RandomBelow(4) == 0) now_ = now_ + RandomTime(4000);
        break;
      case 2:
        if (RandomBelow(4) == 0) Elect();
        break;
      case 3:
        ChangeTable();
        break;
      case 4:
        if (RandomBelow(4) == 0) StartProcess(RandomBelow(kEntryNames));
        break;
      case 5:
        confirmations_.push_back({leaders_.size() - 1, now_});
        confirmations_.push_back({RandomBelow(leaders_.size()), now_});
        break;
      case 6:
        DeliverConfirmation();
        break;
      case 7:
      case 8:
        SendSync();
        break;
      case 9:
      case 10:
        DeliverSync();
        break;
      default:
        DeliverAnswer();
        break;
    }
  }

  // Describes a leader's false in-force claim; empty if there is none.
  std::string FalseClaim() {
    for (const Leader& leader : leaders_) {
      if (!InForce(leader.entries_, leader.version_, now_)) continue;
      ++claims_;
      for (const EntryProcess& process : processes_) {
        if (process.lease_until_ > now_ && process.version_ < leader.version_) {
          return "term " + std::to_string(leader.term_.value()) +
                 " claims version " + std::to_string(leader.version_.value()) +
                 ", but " + process.id_.entry_.value() + " enforces " +
                 std::to_string(process.version_.value());
        }
      }
    }
    return "";
  }

  std::uint64_t claims() const { return claims_; }
  std::uint64_t grants() const { return grants_; }

 private:
  std::uint64_t RandomBelow(std::uint64_t limit) { return random_() % limit; }

  Duration RandomTime(std::int64_t limit_ms) {
    return Duration(
        std::uniform_int_distribution<std::int64_t>(0, limit_ms - 1)(random_));
  }

  void Elect() {
    if (!leaders_.empty()) leaders_.back().deposed_at_ = now_;
    Leader leader;
    leader.term_ = Term(leaders_.size() + 1);
    leader.version_ = committed_;
    leader.entries_ = MakeEntries(EntriesOptions{}, leader.term_, now_);
    leaders_.push_back(leader);
  }

  void ChangeTable() {
    committed_ = Next(committed_);
    leaders_.back().version_ = committed_;
  }

  void StartProcess(std::size_t name) {
    EntryProcess process;
    process.id_.entry_ = NodeName("entry-" + std::to_string(name));
    process.id_.incarnation_ = Incarnation(processes_.size());
    processes_.push_back(process);
  }

  // Confirmation succeeds only if the node still led when it was requested.
  void DeliverConfirmation() {
    if (confirmations_.empty()) return;
    const Confirmation confirmation = TakeMessage(confirmations_);
    Leader& leader = leaders_[confirmation.leader_];
    if (leader.deposed_at_ && *leader.deposed_at_ < confirmation.requested_at_)
      return;
    ConfirmLeading(leader.entries_, confirmation.requested_at_);
  }

  void SendSync() {
    // Prefers the newest processes.
    const std::size_t process =
        RandomBelow(4) == 0 ? RandomBelow(processes_.size())
                            : processes_.size() - 1 - RandomBelow(kEntryNames);
    syncs_.push_back({process, now_, processes_[process].version_});
  }

  void DeliverSync() {
    if (syncs_.empty()) return;
    const SyncMessage sync = TakeMessage(syncs_);
    Leader& leader = leaders_[RandomBelow(3) == 0 ? RandomBelow(leaders_.size())
                                                  : leaders_.size() - 1];
    const HolderId& id = processes_[sync.process_].id_;
    ConfirmVersion(leader.entries_, id, sync.version_);
    if (sync.version_ > leader.version_) return;
    const Duration lease =
        GrantLease(leader.entries_, id, leader.version_, now_, now_);
    if (lease == Duration(0)) return;
    ++grants_;
    answers_.push_back({sync.process_, sync.sent_, leader.version_, lease});
  }

  void DeliverAnswer() {
    if (answers_.empty()) return;
    const AnswerMessage answer = TakeMessage(answers_);
    EntryProcess& process = processes_[answer.process_];
    if (answer.version_ < process.version_) return;
    // The entry reads the clock before it applies the answer.
    const Duration slow = RandomTime(EntriesOptions{}.clock_margin_.ms());
    const Time until = answer.sync_sent_ + answer.lease_ + slow;
    if (until <= now_) return;
    process.version_ = answer.version_;
    process.lease_until_ = std::max(process.lease_until_, until);
  }

  // Returns a random message in flight. A message may also stay in flight, to
  // be delivered again, or never be delivered.
  template <typename Message>
  Message TakeMessage(std::vector<Message>& messages) {
    // Prefers the newest messages.
    const std::size_t index =
        messages.size() - 1 -
        RandomBelow(RandomBelow(2) == 0
                        ? messages.size()
                        : std::min<std::size_t>(messages.size(), 3));
    const Message message = messages[index];
    if (RandomBelow(4) != 0) messages.erase(messages.begin() + index);
    return message;
  }

  std::mt19937_64 random_;
  Time now_ = Time(1000000);
  TableVersion committed_ = TableVersion(1);
  std::vector<Leader> leaders_;
  std::vector<EntryProcess> processes_;
  std::vector<SyncMessage> syncs_;
  std::vector<AnswerMessage> answers_;
  std::vector<Confirmation> confirmations_;
  std::uint64_t claims_ = 0;
  std::uint64_t grants_ = 0;
};

TEST_CASE(
    "random: in force is never claimed while an older version may be "
    "enforced") {
  std::uint64_t claims = 0;
  std::uint64_t grants = 0;
  for (std::uint64_t seed = 1; seed <= Schedules(); ++seed) {
    Simulation simulation(seed);
    for (int step = 0; step < kSteps; ++step) {
      simulation.Step();
      const std::string claim = simulation.FalseClaim();
      INFO("seed " << seed << ", step " << step);
      REQUIRE(claim == "");
    }
    claims += simulation.claims();
    grants += simulation.grants();
  }
  // Checks that the schedules exercise both cases often.
  CHECK(claims > Schedules() * 20);
  CHECK(grants > Schedules() * 10);
}

TEST_CASE("holders beyond the limit get no lease") {
  EntriesOptions options;
  options.max_holders_ = 1;
  Entries entries = MakeEntries(options, Term(1), Time(0));
  ConfirmLeading(entries, Time(0));
  const HolderId first{NodeName("entry-0"), Incarnation(1)};
  const HolderId second{NodeName("entry-1"), Incarnation(1)};
  const auto grant = [&](const HolderId& id, Time now) {
    return GrantLease(entries, id, TableVersion(1), now, now);
  };
  CHECK(grant(first, Time(0)) > Duration(0));
  CHECK(grant(second, Time(0)) == Duration(0));
  DropExpired(entries, Time(3500));
  ConfirmLeading(entries, Time(3500));
  CHECK(grant(second, Time(3500)) > Duration(0));
}

TEST_CASE("exclusion versions grow with each change and each leader") {
  Entries first = MakeEntries(EntriesOptions{}, Term(1), Time(0));
  const auto start = first.exclusions_version_;
  SetExcluded(first, JobId(1), true);
  SetExcluded(first, JobId(1), true);
  CHECK(first.exclusions_version_ == start + 1);
  SetExcluded(first, JobId(1), false);
  CHECK(first.exclusions_version_ == start + 2);
  CHECK(MakeEntries(EntriesOptions{}, Term(2), Time(0)).exclusions_version_ >
        first.exclusions_version_);
}

}  // namespace
}  // namespace flamingohollow
