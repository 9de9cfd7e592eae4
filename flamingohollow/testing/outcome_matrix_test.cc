// Tests every fault at every step of a request's path.
//
// Each cell of the matrix runs the simulation of job_world.h twice, with an
// idempotent and a non-idempotent gang beside two small jobs, and checks all
// invariants. If FLAMINGOHOLLOW_WRITE_MATRIX is set, this test writes the
// outcome section of docs/FAULT-MATRIX.md. Otherwise the section must match
// exactly, so that a change of any outcome is noticed.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "flamingohollow/testing/job_world.h"

namespace flamingohollow {
namespace {

constexpr const char* kPage = "docs/FAULT-MATRIX.md";
constexpr const char* kSectionBegin =
    "<!-- outcomes: begin, written by a test -->\n";
constexpr const char* kSectionEnd = "<!-- outcomes: end -->\n";

constexpr Duration kShortOutage = Duration(3'000);
constexpr Duration kLongOutage = Duration(20'000);
// Longer than leases can last, so that a second attempt that starts too early
// would overlap with the first.
constexpr Duration kRunTime = Duration(30'000);
constexpr Duration kPermanent = Duration(1'000'000);

const char* const kHops[] = {"submit",  "filter", "hand-over", "record",
                             "prepare", "grant",  "may-run",   "start",
                             "run",     "part",   "assemble",  "answer"};

using Act = std::function<void(World&, Node from, Node to)>;
using Deliveries = std::vector<Duration>;

struct Fault {
  std::string name_;
  // Injects the fault when the request first passes the step.
  Act act_;
  // How the message that passes the step is delivered.
  Deliveries deliveries_ = {Duration(2)};
  // Applies only to steps at which a message is sent.
  bool on_message_ = false;
};

// Returns the node of this role that the fault applies to: for the control role
// the newest leader, otherwise the node that takes part in the step. If no such
// node takes part, it is the request's entry or a worker of the gang.
Node NodeOf(const World& world, Role role, Node from, Node to) {
  if (role == Role::kControl) return LeaderNode(world);
  if (from.role_ == role) return from;
  if (to.role_ == role) return to;
  if (role == Role::kEntry) return {role, world.requests_[0].entry_};
  for (int i = 0; i < static_cast<int>(world.workers_.size()); ++i) {
    const auto& leases = world.workers_[i].table_.leases_;
    for (const auto& [key, lease] : leases) {
      if (world.target_ == key.job_) return {role, i};
    }
  }
  return {role, 0};
}

Act KillOne(Role role, Duration down, bool keeps_record = true) {
  return [=](World& world, Node from, Node to) {
    world.keeps_appends_ = keeps_record;
    Kill(world, NodeOf(world, role, from, to), down);
  };
}

Act FreezeOne(Role role, Duration duration) {
  return [=](World& world, Node from, Node to) {
    Freeze(world, NodeOf(world, role, from, to), duration);
  };
}

Act CutOne(Role role, bool out, bool in) {
  return [=](World& world, Node from, Node to) {
    Cut(world, NodeOf(world, role, from, to), out, in, kLongOutage);
  };
}

Act KillAllControl() {
  return [](World& world, Node, Node) {
    for (int i = 0; i < 3; ++i) Kill(world, {Role::kControl, i}, kShortOutage);
  };
}

Act KillTwoWorkers() {
  return [](World& world, Node from, Node to) {
    const Node first = NodeOf(world, Role::kWorker, from, to);
    Kill(world, first, kShortOutage);
    Kill(world, {Role::kWorker, (first.index_ + 1) % 4}, kShortOutage);
  };
}

// Another worker of the gang, or the next worker if there is none.
Node OtherGangWorker(const World& world, Node worker) {
  for (int i = 0; i < static_cast<int>(world.workers_.size()); ++i) {
    for (const auto& [key, lease] : world.workers_[i].table_.leases_) {
      if (world.target_ == key.job_ && i != worker.index_) {
        return {Role::kWorker, i};
      }
    }
  }
  return {Role::kWorker, (worker.index_ + 1) % 4};
}

// Kills a worker of the gang while another worker's entry is cut off from the
// leader but still renews leases. That worker is then cut off too, so its lease
// ends late.
Act LosePeerBehindCutEntry() {
  return [](World& world, Node from, Node to) {
    const Node worker = NodeOf(world, Role::kWorker, from, to);
    const int entry = world.workers_[worker.index_].entry_;
    CutFromControl(world, {Role::kEntry, entry}, kLongOutage);
    Kill(world, OtherGangWorker(world, worker), kShortOutage);
    At(world, Duration(2500),
       [&world, worker] { Cut(world, worker, true, true, kLongOutage); });
  };
}

// Kills a worker of the gang while another worker receives no commands. Stops
// don't reach that worker, but renewals do.
Act LosePeerOfWorkerWithoutCommands() {
  return [](World& world, Node from, Node to) {
    const Node worker = NodeOf(world, Role::kWorker, from, to);
    world.workers_[worker.index_].drops_commands_ = true;
    Kill(world, OtherGangWorker(world, worker), kShortOutage);
    At(world, kRunTime + kLongOutage, [&world, worker] {
      world.workers_[worker.index_].drops_commands_ = false;
    });
  };
}

// Cuts the worker's entry off from the leader and later the worker itself. Its
// lease then lasts longer than one lease time after the leader last heard from
// it.
Act CutEntryThenWorker() {
  return [](World& world, Node from, Node to) {
    const Node worker = NodeOf(world, Role::kWorker, from, to);
    const int entry = world.workers_[worker.index_].entry_;
    CutFromControl(world, {Role::kEntry, entry}, kLongOutage);
    At(world, Duration(2500),
       [&world, worker] { Cut(world, worker, true, true, kLongOutage); });
  };
}

Act Both(const Act& first, const Act& second) {
  return [=](World& world, Node from, Node to) {
    first(world, from, to);
    second(world, from, to);
  };
}

Act Then(const Act& first, Duration delay, const Act& second) {
  return [=](World& world, Node from, Node to) {
    first(world, from, to);
    At(world, delay, [=, &world] { second(world, from, to); });
  };
}

Act KillLeaderTwice() {
  return [](World& world, Node, Node) {
    Kill(world, LeaderNode(world), kShortOutage);
    // Just after its successor was elected.
    At(world, Duration(1800),
       [&world] { Kill(world, LeaderNode(world), kShortOutage); });
  };
}

void NoFault(World&, Node, Node) {}

std::vector<Fault> AllFaults() {
  const Act kill_leader = KillOne(Role::kControl, kShortOutage);
  const Act kill_entry = KillOne(Role::kEntry, kShortOutage);
  const Act kill_worker = KillOne(Role::kWorker, Duration(1000));
  std::vector<Fault> faults = {
      {"none", NoFault},
      {"kill entry", kill_entry},
      {"kill leader, its last record kept", kill_leader},
      {"kill leader, its last record lost",
       KillOne(Role::kControl, kShortOutage, false)},
      {"kill worker", kill_worker},
      {"worker gone for good", KillOne(Role::kWorker, kPermanent)},
      {"freeze entry 8 s", FreezeOne(Role::kEntry, Duration(8000))},
      {"freeze leader 8 s", FreezeOne(Role::kControl, Duration(8000))},
      {"freeze leader 1 s", FreezeOne(Role::kControl, Duration(1000))},
      {"freeze worker 8 s", FreezeOne(Role::kWorker, Duration(8000))},
      {"freeze worker 20 s", FreezeOne(Role::kWorker, kLongOutage)},
  };
  for (const auto& [name, role] :
       {std::pair("entry", Role::kEntry), std::pair("leader", Role::kControl),
        std::pair("worker", Role::kWorker)}) {
    faults.push_back(
        {fmt::format("cut {}, nothing out", name), CutOne(role, true, false)});
    faults.push_back(
        {fmt::format("cut {}, nothing in", name), CutOne(role, false, true)});
    faults.push_back(
        {fmt::format("cut {} both ways", name), CutOne(role, true, true)});
  }
  faults.push_back({"message lost", NoFault, {}, true});
  faults.push_back({"message 8 s late", NoFault, {Duration(8000)}, true});
  faults.push_back(
      {"message twice", NoFault, {Duration(2), Duration(4000)}, true});
  faults.push_back({"message overtaken", NoFault, {Duration(700)}, true});
  faults.push_back(
      {"leader's disk lost", KillOne(Role::kControl, kPermanent, true)});
  faults.push_back({"all control restarts", KillAllControl()});
  faults.push_back({"leader and entry at once", Both(kill_leader, kill_entry)});
  faults.push_back(
      {"leader and worker at once", Both(kill_leader, kill_worker)});
  faults.push_back({"entry and worker at once", Both(kill_entry, kill_worker)});
  faults.push_back({"two workers at once", KillTwoWorkers()});
  faults.push_back({"leader, then its successor", KillLeaderTwice()});
  faults.push_back(
      {"worker, then leader", Then(kill_worker, Duration(700), kill_leader)});
  faults.push_back(
      {"leader, then worker", Then(kill_leader, Duration(1700), kill_worker)});
  faults.push_back(
      {"entry loses control, then cut worker", CutEntryThenWorker()});
  faults.push_back({"entry loses control, kill a worker, cut another",
                    LosePeerBehindCutEntry()});
  faults.push_back({"kill a worker, commands to another lost",
                    LosePeerOfWorkerWithoutCommands()});
  faults.push_back(
      {"cut worker, then kill leader",
       Then(CutOne(Role::kWorker, true, true), Duration(11'000), kill_leader)});
  return faults;
}

JobSpec Spec(const std::string& request, std::uint32_t accelerators,
             bool idempotent) {
  JobSpec spec;
  spec.customer_ = CustomerId("c");
  spec.request_id_ = RequestId(request);
  spec.accelerators_ = Accelerators(accelerators);
  spec.idempotent_ = idempotent;
  return spec;
}

bool HasMessage(Hop hop) { return hop != Hop::kFilter && hop != Hop::kRun; }

char LetterOf(const World& world) {
  const auto& view = world.requests_[0].last_view_;
  if (!view) return '?';
  switch (view->outcome_) {
    case Outcome::kCompleted:
      return 'C';
    case Outcome::kFailed:
      return 'F';
    case Outcome::kNotRun:
      return 'N';
    case Outcome::kUnknown:
      return 'U';
    case Outcome::kCancelled:
      return 'X';
    default:
      return '?';
  }
}

// Runs one cell once. Returns the letter of the gang's outcome, or '!' after a
// violation.
char RunOnce(const Fault& fault, Hop hop, bool idempotent) {
  World world;
  world.run_time_ = kRunTime;
  AddRequest(world, Spec("gang", 8, idempotent));
  world.trigger_ = {hop, [&](Node from, Node to) {
                      fault.act_(world, from, to);
                      return MessageDelivery{fault.deliveries_};
                    }};
  RunFor(world, Duration(1000));
  AddRequest(world, Spec("small-1", 2, true));
  AddRequest(world, Spec("small-2", 2, false));
  RunFor(world, kRunTime * 2 + Duration(90'000));

  const std::vector<std::string> violations = CheckWorld(world);
  for (const std::string& violation : violations) {
    MESSAGE(fault.name_, " at ", std::string(kHops[static_cast<int>(hop)]),
            std::string(idempotent ? " (idempotent): " : ": "), violation);
  }
  CHECK(violations.empty());
  return violations.empty() ? LetterOf(world) : '!';
}

std::string CellOf(const Fault& fault, Hop hop) {
  if (fault.on_message_ && !HasMessage(hop)) return "-";
  return fmt::format("{}{}", RunOnce(fault, hop, true),
                     RunOnce(fault, hop, false));
}

std::string MakeOutcomeSection() {
  std::string section =
      "Each cell is a run of the step functions with small fakes at the "
      "interfaces:\nthe outcome of an idempotent gang, then of a "
      "non-idempotent one, when the fault\nstrikes as the request first "
      "passes the step. C completed, F failed, N not run,\nU unknown, - does "
      "not apply, ! not proved: something that must hold did not.\n\n| fault |";
  for (const char* hop : kHops) section += fmt::format(" {} |", hop);
  section += "\n|---|";
  for ([[maybe_unused]] const char* hop : kHops) section += "---|";
  section += "\n";
  for (const Fault& fault : AllFaults()) {
    section += fmt::format("| {} |", fault.name_);
    for (int hop = 0; hop < static_cast<int>(Hop::kNone); ++hop) {
      section += fmt::format(" {} |", CellOf(fault, static_cast<Hop>(hop)));
    }
    section += "\n";
  }
  return section;
}

std::string ReadPage() {
  std::ifstream file(kPage);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("every fault at every step keeps the invariants") {
  const std::string section = MakeOutcomeSection();
  std::string page = ReadPage();
  const std::size_t begin = page.find(kSectionBegin);
  const std::size_t end = page.find(kSectionEnd);
  if (std::getenv("FLAMINGOHOLLOW_WRITE_MATRIX") != nullptr) {
    if (begin == std::string::npos) {
      if (page.empty()) page = "# Fault matrix\n";
      page += fmt::format("\n## Outcomes\n\n{}{}{}", kSectionBegin, section,
                          kSectionEnd);
    } else {
      const std::size_t from = begin + std::string(kSectionBegin).size();
      page.replace(from, end - from, section);
    }
    std::ofstream(kPage) << page;
    return;
  }
  REQUIRE(begin != std::string::npos);
  const std::size_t from = begin + std::string(kSectionBegin).size();
  CHECK(page.substr(from, end - from) == section);
}

}  // namespace
}  // namespace flamingohollow
