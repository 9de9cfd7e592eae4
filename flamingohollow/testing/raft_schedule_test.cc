// Random schedules of faults against the oracle of raft_sim.h.
//
// FLAMINGOHOLLOW_SCHEDULES=N runs N schedules instead of kSchedules, and
// FLAMINGOHOLLOW_SEED=S starts at seed S.

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "flamingohollow/testing/raft_sim.h"
#include "util/clock.h"

namespace flamingohollow::testing {
namespace {

constexpr std::uint64_t kSchedules = 1000;
constexpr int kStepsOfFaults = 400;

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
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

TEST_CASE("random schedules keep what was acknowledged") {
  const std::uint64_t first = FromEnvironment("FLAMINGOHOLLOW_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("FLAMINGOHOLLOW_SCHEDULES", kSchedules);
  std::size_t acknowledged = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Schedule schedule(seed);
    const std::string violation = schedule.Run();
    CAPTURE(seed);
    REQUIRE(violation == "");
    acknowledged += schedule.acknowledged();
  }
  MESSAGE(count << " schedules, " << acknowledged << " acknowledged commands");
}

}  // namespace
}  // namespace flamingohollow::testing
