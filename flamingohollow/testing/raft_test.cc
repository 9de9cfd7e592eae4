// Tests single rules of the consensus step in deterministic scenarios.

#include "flamingohollow/raft.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "flamingohollow/testing/raft_sim.h"

namespace flamingohollow::testing {
namespace {

constexpr Duration kSecond = Duration(1000);

SimOptions Founders(std::size_t founders) {
  SimOptions options;
  options.founders_ = founders;
  return options;
}

Term HighestTerm(RaftSim* sim) {
  Term highest;
  for (const SimNode& node : sim->nodes()) {
    highest = std::max(highest, node.state_.hard_.term_);
  }
  return highest;
}

void ProposeMany(RaftSim* sim, std::size_t leader, int count) {
  for (int i = 0; i < count; ++i) {
    REQUIRE(sim->Propose(leader));
    sim->Run(Duration(20));
  }
}

std::size_t Other(std::size_t leader) { return leader == 0 ? 1 : 0; }

TEST_CASE(
    "a voter returning from a long partition does not depose the leader") {
  for (const bool one_way : {false, true}) {
    CAPTURE(one_way);
    RaftSim sim(Founders(3));
    REQUIRE(sim.Form());
    const std::size_t leader = *sim.Leader();
    const std::size_t away = Other(leader);
    const Term term = HighestTerm(&sim);
    const Time until = sim.now() + kSecond * 20;
    if (one_way) {
      // One-way partition: the voter receives nothing, but all receive from it.
      for (std::size_t i = 0; i < 3; ++i) sim.BlockLink(i, away, until);
    } else {
      sim.Isolate(away, until);
    }
    for (int i = 0; i < 250; ++i) {
      sim.Propose(leader);
      sim.Run(Duration(100));
      REQUIRE(sim.Leader() == leader);
    }
    CHECK(HighestTerm(&sim) == term);
    // The last commit index is sent with the next heartbeat.
    CHECK(sim.RunUntil(kSecond, [&] { return sim.Converged(); }));
    CHECK(sim.violation() == "");
  }
}

TEST_CASE("a leader without a majority steps down within a timeout") {
  RaftSim sim(Founders(3));
  REQUIRE(sim.Form());
  const std::size_t leader = *sim.Leader();
  sim.Isolate(leader, sim.now() + kSecond * 20);
  sim.Run(Duration(700));
  CHECK(sim.node(leader).state_.role_ != Role::kLeader);
  CHECK_FALSE(HasQuorum(sim.node(leader).state_, sim.now()));
  CHECK(sim.violation() == "");
}

TEST_CASE("a leader that resumes after a freeze steps down before serving") {
  RaftSim sim(Founders(3));
  REQUIRE(sim.Form());
  const std::size_t leader = *sim.Leader();
  sim.node(leader).frozen_until_ = sim.now() + kSecond * 20;
  sim.Run(kSecond * 5);
  const std::optional<std::size_t> next = sim.Leader();
  REQUIRE(next.has_value());
  REQUIRE(next != leader);
  ProposeMany(&sim, *next, 3);
  sim.node(leader).frozen_until_ = Time();
  // Requests a read before the old leader has received any message.
  sim.Read(leader);
  CHECK_FALSE(sim.Propose(leader));
  CHECK(sim.node(leader).state_.role_ != Role::kLeader);
  sim.Run(kSecond * 3);
  CHECK(sim.Leader() == next);
  CHECK(sim.violation() == "");
}

TEST_CASE("time without a leader is bounded after a kill and a transfer") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    SimOptions options = Founders(3);
    options.seed_ = seed;
    RaftSim sim(options);
    REQUIRE(sim.Form());
    sim.Run(kSecond);
    std::size_t leader = *sim.Leader();
    sim.InjectEvent(leader, TransferEvent{});
    REQUIRE(sim.RunUntil(Duration(300), [&] {
      return sim.Leader().has_value() && *sim.Leader() != leader;
    }));
    leader = *sim.Leader();
    sim.Crash(leader);
    CHECK(
        sim.RunUntil(Duration(2000), [&] { return sim.Leader().has_value(); }));
  }
}

TEST_CASE("a second loss right after a repair loses nothing") {
  RaftSim sim(Founders(3));
  REQUIRE(sim.Form());
  const std::size_t leader = *sim.Leader();
  const std::size_t first = Other(leader);
  const std::size_t second = 3 - leader - first;
  ProposeMany(&sim, leader, 40);
  // The last entries are held by the leader and `second` only.
  sim.Isolate(first, sim.now() + Duration(200));
  ProposeMany(&sim, leader, 5);
  const std::size_t acknowledged = sim.acknowledged();
  sim.Wipe(first);
  sim.Start(first);
  REQUIRE(sim.RunUntil(kSecond * 20, [&] { return sim.MayWipe(second); }));
  // The second loss comes right when the repair is complete.
  sim.Wipe(second);
  sim.Crash(leader);
  sim.Start(leader);
  sim.Start(second);
  REQUIRE(sim.RunUntil(kSecond * 20, [&] { return sim.Converged(); }));
  const std::size_t now_leads = *sim.Leader();
  CHECK(sim.node(now_leads).applied_.size() >= acknowledged);
  CHECK(sim.violation() == "");
}

TEST_CASE("a voter moves to a new address and its old process stays harmless") {
  RaftSim sim(Founders(3));
  REQUIRE(sim.Form());
  const std::size_t leader = *sim.Leader();
  const std::size_t moved = Other(leader);
  const NodeName name = sim.node(moved).name_;
  const Term term = HighestTerm(&sim);
  sim.Crash(moved);
  const std::size_t fresh = sim.AddNode(name, "new-address");
  sim.InjectEvent(leader, AddVoterEvent{{name, "new-address"}});
  REQUIRE(sim.RunUntil(kSecond * 10, [&] {
    const Membership& now = CurrentMembership(sim.node(leader).state_.log_);
    return sim.Converged() && IsVoter(now, sim.node(fresh).state_.id_);
  }));
  sim.Start(moved);
  sim.Run(kSecond * 10);
  CHECK(sim.Leader() == leader);
  CHECK(HighestTerm(&sim) == term);
  CHECK(CurrentMembership(sim.node(leader).state_.log_).size() == 3);
  CHECK(sim.violation() == "");
}

TEST_CASE("the quorum does not grow while a voter is gone") {
  RaftSim sim(Founders(3));
  REQUIRE(sim.Form());
  const std::size_t leader = *sim.Leader();
  const std::size_t gone = Other(leader);
  sim.Crash(gone);
  sim.Run(kSecond);
  const std::size_t added = sim.AddNode(NodeName("control-3"), "control-3");
  sim.InjectEvent(leader, AddVoterEvent{{NodeName("control-3"), "control-3"}});
  sim.Run(kSecond * 5);
  const auto voters = [&] {
    return CountVoters(CurrentMembership(sim.node(leader).state_.log_));
  };
  CHECK(sim.node(added).state_.commit_ > LogIndex());
  CHECK(voters() == 3);
  sim.Start(gone);
  sim.Run(kSecond * 2);
  CHECK(voters() == 4);
  CHECK(sim.violation() == "");
}

TEST_CASE("voters that pledged to one founding take no part in another") {
  RaftSim sim(Founders(3));
  std::vector<VoterAddress> all;
  for (const SimNode& node : sim.nodes()) {
    all.push_back({node.name_, node.address_});
  }
  // Two operators run init with overlapping lists at the same time.
  sim.InjectEvent(0, InitEvent{{all[0], all[1]}});
  sim.InjectEvent(2, InitEvent{{all[1], all[2]}});
  sim.Run(kSecond * 10);
  std::size_t leaders = 0;
  for (const SimNode& node : sim.nodes()) {
    if (node.state_.role_ == Role::kLeader) ++leaders;
  }
  CHECK(leaders <= 1);
  // A blank voter alone never leads.
  RaftSim blank(Founders(1));
  blank.Run(kSecond * 10);
  CHECK_FALSE(blank.Leader().has_value());
}

TEST_CASE("proposals beyond the bound are refused, not queued") {
  RaftSim sim(Founders(3));
  REQUIRE(sim.Form());
  const std::size_t leader = *sim.Leader();
  RaftState& state = sim.node(leader).state_;
  const std::string big(1024 * 1024, 'x');
  int accepted = 0;
  while (accepted < 100 &&
         Step(&state, ProposeEvent{big}, sim.now()).proposed_.has_value()) {
    ++accepted;
  }
  CHECK(accepted == 4);
}

}  // namespace
}  // namespace flamingohollow::testing
