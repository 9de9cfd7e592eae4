// Tests the leader's answers to workers, with a log that commits on request.

#include "flamingohollow/graph_service.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "flamingohollow/testing/fake_replica.h"
#include "flamingohollow/testing/graph_fixture.h"
#include "util/pack.h"

namespace flamingohollow::testing {
namespace {

struct Leader {
  struct Command {
    GraphCommand command_;
    std::function<void(SchedulerEvent)> done_;
  };

  Time now_{1'000'000};
  std::vector<Command> commands_;
  Metrics metrics_;
  GraphService service_{
      GraphServiceOptions{
          .name_ = {},
          .scheduler_ = {},
          .failure_domains_ = {FailureDomain("north"), FailureDomain("south")}},
      GraphClocks{[this] { return now_; }, [this] { return now_; }},
      [this](const GraphCommand& command,
             const std::function<void(SchedulerEvent)>& done) {
        commands_.push_back({command, done});
      },
      metrics_};
  FakeReplica replica_{&service_};
  std::uint64_t sequence_ = 0;

  Leader() {
    service_.SetReplica(&replica_);
    replica_.GainLeadership();
    replica_.completes_immediately_ = false;
  }

  // Sends a report; returns the answer, which stays empty until there is one.
  std::optional<GraphOutcome>& Report(bool draining) {
    GraphCall call;
    call.kind_ = GraphCallKind::kReport;
    call.report_ = MakeReport("w", "r");
    call.report_.sequence_ = ++sequence_;
    call.report_.draining_ = draining;
    return Send(call);
  }

  // Answers the polls that were sent, as idle workers.
  void AnswerPolls() {
    for (const Command& sent : std::exchange(commands_, {})) {
      const auto* poll = std::get_if<PollCommand>(&sent.command_);
      if (poll == nullptr) continue;
      sent.done_(PollResult{.worker_ = poll->target_.worker_,
                            .incarnation_ = poll->target_.incarnation_,
                            .number_ = poll->number_,
                            .outcome_ = CommandOutcome::kDone,
                            .running_ = {},
                            .ends_ = {}});
    }
  }

  // As above, for any call.
  std::optional<GraphOutcome>& Send(const GraphCall& call) {
    auto& answer = answers_.emplace_back();
    service_.Handle(
        call, [&answer](const GraphReply& reply) { answer = reply.outcome_; });
    return answer;
  }

 private:
  std::list<std::optional<GraphOutcome>> answers_;
};

TEST_CASE("a worker's report is acknowledged once it is in the log") {
  Leader leader;
  auto& first = leader.Report(false);
  CHECK_FALSE(first.has_value());
  leader.replica_.CommitAll();
  CHECK_EQ(first, GraphOutcome::kOk);
  CHECK_EQ(leader.service_.state().workers_.size(), 1);
}

TEST_CASE("a report from the future does not replace the worker") {
  Leader leader;
  leader.replica_.completes_immediately_ = true;
  leader.Report(false);
  GraphCall call;
  call.kind_ = GraphCallKind::kReport;
  call.report_ = MakeReport("w", "r");
  const Time latest = leader.now_ + kMaxClockError;
  SUBCASE("under its id") {}
  SUBCASE("at its address") { call.report_.id_ = WorkerId("v"); }
  call.report_.incarnation_ = WorkerIncarnation(latest.ms() + 1);
  CHECK_EQ(leader.Send(call), GraphOutcome::kInvalid);
  const auto& workers = leader.service_.state().workers_;
  REQUIRE_EQ(workers.size(), 1);
  CHECK_EQ(workers.at(WorkerId("w")).incarnation_, WorkerIncarnation(1));
  // Clocks may differ by less.
  call.report_.incarnation_ = WorkerIncarnation(latest.ms());
  const auto& answer = leader.Send(call);
  leader.AnswerPolls();
  CHECK_EQ(answer, GraphOutcome::kOk);
  CHECK_EQ(workers.at(call.report_.id_).incarnation_,
           call.report_.incarnation_);
}

// Guards against a heartbeat of a service that no catalog names, at the address
// of a worker: its tasks were taken for lost and ran twice.
TEST_CASE("a report of an unknown pool does not replace the worker") {
  Leader leader;
  leader.replica_.completes_immediately_ = true;
  leader.Report(false);
  GraphCall put;
  put.kind_ = GraphCallKind::kPutCatalog;
  put.catalog_.version_ = CatalogVersion(1);
  put.catalog_.pools_.push_back({.name_ = MakeReport("w", "r").pool_});
  REQUIRE_EQ(leader.Send(put), GraphOutcome::kOk);
  GraphCall call;
  call.kind_ = GraphCallKind::kReport;
  call.report_ = MakeReport("w", "r");
  call.report_.incarnation_ = WorkerIncarnation(2);
  call.report_.pool_ = PoolName("not-configured");
  SUBCASE("under its id") {}
  SUBCASE("at its address") { call.report_.id_ = WorkerId("v"); }
  CHECK_EQ(leader.Send(call), GraphOutcome::kInvalid);
  const auto& workers = leader.service_.state().workers_;
  REQUIRE_EQ(workers.size(), 1);
  CHECK_EQ(workers.at(WorkerId("w")).incarnation_, WorkerIncarnation(1));
  // Nor does one of a pool that has only jobs left.
  SubmitRecord submit;
  submit.key_ = MakeKey(1);
  submit.terms_.pool_ = call.report_.pool_;
  submit.spec_.steps_ = {MakeStep(1, 1, Duration(1000))};
  leader.service_.ApplyCommitted(LogIndex(100), Pack(GraphRecord{submit}));
  CHECK_EQ(leader.Send(call), GraphOutcome::kInvalid);
  CHECK_EQ(workers.at(WorkerId("w")).incarnation_, WorkerIncarnation(1));
}

// Guards against the loss of what still runs on workers of a removed pool, as
// their own reports are refused.
TEST_CASE("a known worker of a removed pool reports while a job runs there") {
  Leader leader;
  leader.replica_.completes_immediately_ = true;
  leader.Report(false);
  GraphCall put;
  put.kind_ = GraphCallKind::kPutCatalog;
  put.catalog_.version_ = CatalogVersion(1);
  put.catalog_.pools_.push_back({.name_ = PoolName("another")});
  REQUIRE_EQ(leader.Send(put), GraphOutcome::kOk);
  CHECK_EQ(leader.Report(false), GraphOutcome::kInvalid);
  SubmitRecord submit;
  submit.key_ = MakeKey(1);
  submit.terms_.pool_ = MakeReport("w", "r").pool_;
  submit.spec_.steps_ = {MakeStep(1, 1, Duration(1000))};
  leader.service_.ApplyCommitted(LogIndex(100), Pack(GraphRecord{submit}));
  CHECK_EQ(leader.Report(false), GraphOutcome::kOk);
  SUBCASE("also under a new leader") {
    leader.replica_.LoseLeadership(ProposeOutcome::kUnknown);
    leader.replica_.GainLeadership();
  }
  SUBCASE("also after a restart") {
    GraphCall call;
    call.kind_ = GraphCallKind::kReport;
    call.report_ = MakeReport("w", "r");
    call.report_.incarnation_ = WorkerIncarnation(2);
    CHECK_EQ(leader.Send(call), GraphOutcome::kOk);
    return;
  }
  CHECK_EQ(leader.Report(true), GraphOutcome::kOk);
}

TEST_CASE("a report without changes is acknowledged at once") {
  Leader leader;
  leader.Report(false);
  leader.replica_.CommitAll();
  CHECK_EQ(leader.Report(false), GraphOutcome::kOk);
  CHECK_EQ(leader.replica_.pending_proposals(), 0);
}

// If the report were acknowledged before it is committed and the leader were
// lost, its successor would start tasks on the draining worker.
TEST_CASE("a draining report is acknowledged only once it is in the log") {
  Leader leader;
  leader.Report(false);
  leader.replica_.CommitAll();
  auto& drains = leader.Report(true);
  CHECK_FALSE(drains.has_value());
  leader.replica_.CommitAll();
  CHECK_EQ(drains, GraphOutcome::kOk);
  CHECK(leader.service_.state().workers_.at(WorkerId("w")).draining_);
}

TEST_CASE("a report that is not committed in time is not acknowledged") {
  Leader leader;
  auto& report = leader.Report(false);
  leader.now_ = leader.now_ + kReportTimeout + kUpkeepInterval;
  leader.service_.Tick();
  CHECK_EQ(report, GraphOutcome::kUnavailable);
}

TEST_CASE("waiting reports are answered when leadership is lost") {
  Leader leader;
  auto& report = leader.Report(false);
  leader.replica_.LoseLeadership(ProposeOutcome::kUnknown);
  CHECK_EQ(report, GraphOutcome::kNotLeader);
}

GraphCall Evacuate(const std::string& domain, bool evacuate) {
  GraphCall call;
  call.kind_ = GraphCallKind::kEvacuate;
  call.evacuation_.domain_ = FailureDomain(domain);
  call.evacuation_.evacuate_ = evacuate;
  return call;
}

TEST_CASE("an evacuation is acknowledged once it is in the log") {
  Leader leader;
  auto& order = leader.Send(Evacuate("north", true));
  CHECK_FALSE(order.has_value());
  leader.replica_.CommitAll();
  CHECK_EQ(order, GraphOutcome::kOk);
  CHECK(IsEvacuated(leader.service_.state().evacuations_,
                    FailureDomain("north")));
}

TEST_CASE("an evacuation whose commit is unknown is not acknowledged") {
  Leader leader;
  auto& order = leader.Send(Evacuate("north", true));
  leader.replica_.LoseLeadership(ProposeOutcome::kUnknown);
  CHECK_EQ(order, GraphOutcome::kUnknown);
}

bool IsInForce(const Leader& leader) {
  return IsEvacuated(leader.service_.state().evacuations_,
                     FailureDomain("north"));
}

TEST_CASE("an order that was lost with its leader takes effect when repeated") {
  Leader leader;
  leader.Send(Evacuate("north", true));
  leader.replica_.LoseLeadership(ProposeOutcome::kUnknown);
  leader.replica_.GainLeadership();
  CHECK_FALSE(IsInForce(leader));
  auto& repeated = leader.Send(Evacuate("north", true));
  leader.replica_.CommitAll();
  CHECK_EQ(repeated, GraphOutcome::kOk);
  CHECK(IsInForce(leader));
}

TEST_CASE("the next leader acknowledges an order that is in force already") {
  Leader first;
  first.Send(Evacuate("north", true));
  first.replica_.CommitAll();
  Leader next;
  next.now_ = first.now_ + Duration(1000);
  REQUIRE(next.service_.RestoreSnapshot(first.service_.EncodeSnapshot()));
  CHECK(IsInForce(next));
  auto& repeated = next.Send(Evacuate("north", true));
  next.replica_.CommitAll();
  CHECK_EQ(repeated, GraphOutcome::kOk);
  const auto& evacuations = next.service_.state().evacuations_;
  CHECK_EQ(evacuations.at(FailureDomain("north")).ordered_, first.now_);
}

// Fields that the first version knows come first, so its nodes read the call.
TEST_CASE("the cold time follows a report that every version reads") {
  GraphCall call;
  call.kind_ = GraphCallKind::kReport;
  call.report_ = MakeReport("w", "r");
  call.cold_left_ = Duration(1500);
  const std::string bytes = Pack(call);
  const auto read = Unpack<GraphCall>(bytes);
  REQUIRE(read.has_value());
  CHECK_EQ(read->cold_left_, Duration(1500));
  const std::size_t added = sizeof(std::int64_t);
  const auto first_version = Unpack<GraphCall>(
      std::string_view(bytes).substr(0, bytes.size() - added));
  REQUIRE(first_version.has_value());
  CHECK_EQ(first_version->report_, call.report_);
  CHECK_EQ(first_version->cold_left_, Duration(0));
}

int CountStarts(const Leader& leader) {
  return static_cast<int>(std::count_if(
      leader.commands_.begin(), leader.commands_.end(),
      [](const Leader::Command& sent) {
        return std::holds_alternative<StartCommand>(sent.command_);
      }));
}

// Answers the newest command.
template <class Command, class Result>
void AnswerLast(Leader& leader, Result result) {
  const Leader::Command sent = leader.commands_.back();
  REQUIRE(std::holds_alternative<Command>(sent.command_));
  const CommandTarget& target = std::get<Command>(sent.command_).target_;
  result.worker_ = target.worker_;
  result.incarnation_ = target.incarnation_;
  sent.done_(result);
}

// Reads a job, or a queue's length.
GraphReply Read(Leader& leader, const std::string& path) {
  GraphCall call;
  call.kind_ = GraphCallKind::kRead;
  call.caller_.path_ = path;
  GraphReply answer;
  leader.service_.Handle(
      call, [&answer](const GraphReply& reply) { answer = reply; });
  return answer;
}

// A domain may be evacuated by the next leader while this one was paused.
TEST_CASE("a leader that hears from no majority repeats no start") {
  Leader leader;
  leader.replica_.completes_immediately_ = true;
  leader.Report(false);
  leader.service_.Tick();
  PollResult poll;
  poll.number_ = 1;
  poll.outcome_ = CommandOutcome::kDone;
  AnswerLast<PollCommand>(leader, poll);
  leader.service_.ApplyCommitted(
      LogIndex(1),
      Pack(GraphRecord(MakeSubmit(1, {MakeStep(1, 8, Duration(1000))}, {}))));
  leader.now_ = leader.now_ + Duration(100);
  leader.service_.Tick();
  REQUIRE_EQ(CountStarts(leader), 1);
  StartResult unanswered;
  unanswered.attempt_ =
      std::get<StartCommand>(leader.commands_.back().command_).attempt_;
  AnswerLast<StartCommand>(leader, unanswered);
  bool majority = false;
  SUBCASE("with a majority the start is repeated") { majority = true; }
  SUBCASE("without a majority it is not") {}
  leader.replica_.has_quorum_ = majority;
  leader.now_ = leader.now_ + Duration(500);
  leader.service_.Tick();
  CHECK_EQ(CountStarts(leader), majority ? 2 : 1);
}

// Guards against jobs that are not counted as waiting though each start was
// refused.
TEST_CASE("a job waits until a worker has begun a task of it") {
  Leader leader;
  leader.replica_.completes_immediately_ = true;
  GraphCall put;
  put.kind_ = GraphCallKind::kPutCatalog;
  put.catalog_.version_ = CatalogVersion(1);
  const PoolName pool = MakeReport("w", "r").pool_;
  put.catalog_.pools_.push_back({.name_ = pool});
  QueueRow queue;
  queue.name_ = QueueName("queue");
  queue.path_prefix_ = "/jobs/";
  queue.pool_ = pool;
  queue.public_ = true;
  queue.timeout_ = Duration(1000);
  put.catalog_.queues_.push_back(queue);
  REQUIRE_EQ(leader.Send(put), GraphOutcome::kOk);
  leader.Report(false);
  leader.service_.Tick();
  PollResult poll;
  poll.number_ = 1;
  poll.outcome_ = CommandOutcome::kDone;
  AnswerLast<PollCommand>(leader, poll);
  JobOptions options;
  options.customer_ = "";
  leader.service_.ApplyCommitted(
      LogIndex(1), Pack(GraphRecord(MakeSubmit(
                       1, {MakeStep(1, 8, Duration(1000))}, options))));
  const auto expect = [&leader](std::uint64_t waiting,
                                const std::string& state) {
    CHECK_EQ(Read(leader, "/jobs/").count_, waiting);
    CHECK_EQ(Read(leader, "/jobs/" + MakeKey(1).value()).text_, state);
  };
  expect(1, "pending");
  leader.now_ = leader.now_ + Duration(100);
  leader.service_.Tick();
  REQUIRE_EQ(CountStarts(leader), 1);
  // Placed, without an answer yet.
  expect(1, "pending");
  StartResult start;
  start.attempt_ =
      std::get<StartCommand>(leader.commands_.back().command_).attempt_;
  SUBCASE("the start is refused") {
    start.outcome_ = CommandOutcome::kRetryLater;
    AnswerLast<StartCommand>(leader, start);
    expect(1, "pending");
  }
  SUBCASE("the start is not answered") {
    AnswerLast<StartCommand>(leader, start);
    expect(1, "pending");
  }
  SUBCASE("the task begins") {
    start.outcome_ = CommandOutcome::kDone;
    AnswerLast<StartCommand>(leader, start);
    expect(0, "running");
    // What an earlier leader placed may have begun.
    leader.replica_.LoseLeadership(ProposeOutcome::kUnknown);
    leader.replica_.GainLeadership();
    expect(0, "running");
  }
}

// Guards against a request that takes effect after its sender has sent a copy
// to another node and other requests since.
TEST_CASE("a call takes effect only while its caller waits") {
  Leader leader;
  leader.replica_.completes_immediately_ = true;
  GraphCall call = Evacuate("north", true);
  call.age_ = CallAge{Term(), leader.now_, Duration(1000)};
  GraphReply reply;
  const auto send = [&] {
    leader.service_.Handle(call, [&](const GraphReply& r) { reply = r; });
    return reply.outcome_;
  };
  // The leader can't tell the age, and says what the node needs to know.
  CHECK_EQ(send(), GraphOutcome::kUnavailable);
  CHECK_EQ(reply.leader_time_, leader.now_);
  call.age_->term_ = reply.term_;
  leader.now_ = leader.now_ + Duration(1001);
  CHECK_EQ(send(), GraphOutcome::kUnavailable);
  CHECK_FALSE(IsInForce(leader));
  CHECK(leader.metrics_.Text(leader.now_).find("late_calls_total") !=
        std::string::npos);
  SUBCASE("as long as it waits") {
    leader.now_ = leader.now_ - Duration(1);
    CHECK_EQ(send(), GraphOutcome::kOk);
    CHECK(IsInForce(leader));
  }
  SUBCASE("a call of an earlier version has no age") {
    call.age_.reset();
    CHECK_EQ(send(), GraphOutcome::kOk);
    CHECK(IsInForce(leader));
  }
  SUBCASE("a new leader doesn't know the age by the former one's clock") {
    leader.replica_.LoseLeadership(ProposeOutcome::kUnknown);
    leader.replica_.GainLeadership();
    leader.now_ = leader.now_ - Duration(1);
    CHECK_EQ(send(), GraphOutcome::kUnavailable);
    CHECK_FALSE(IsInForce(leader));
  }
}

// Calls of workers, callers and the operator, in the order in which they are
// sent. Two leaders get each in time; one of them gets late copies besides.
class LateCopies {
 public:
  explicit LateCopies(std::uint64_t seed) : random_(seed) {
    for (Leader* leader : {&with_copies_, &without_}) {
      leader->replica_.completes_immediately_ = true;
      PutQueue(*leader);
    }
  }

  // Sends one call, and what comes late until then.
  void Step() {
    now_ = now_ + Pick(600);
    for (Leader* leader : {&with_copies_, &without_}) leader->now_ = now_;
    while (!late_.empty() && late_.begin()->first <= now_) {
      Deliver(with_copies_, late_.begin()->second);
      late_.erase(late_.begin());
    }
    if (random_() % 20 == 0) {
      for (Leader* leader : {&with_copies_, &without_}) {
        leader->replica_.LoseLeadership(ProposeOutcome::kUnknown);
        leader->replica_.GainLeadership();
      }
    }
    const Sent sent{NextCall(), now_};
    Deliver(with_copies_, sent);
    Deliver(without_, sent);
    if (random_() % 2 == 0) {
      late_.emplace(now_ + kPatience + Duration(1) + Pick(8000), sent);
    }
  }

  bool IsSame() const {
    return EncodeState(with_copies_.service_.state()) ==
           EncodeState(without_.service_.state());
  }

 private:
  static constexpr Duration kPatience = Duration(1000);
  struct Sent {
    GraphCall call_;
    Time at_;
  };
  enum class Phase : std::uint8_t { kAbsent, kReady, kDraining };
  struct Sender {
    PoolWorkerReport report_;
    Phase phase_ = Phase::kAbsent;
  };

  Duration Pick(std::int64_t most) {
    return Duration(static_cast<std::int64_t>(random_() % most));
  }

  static void PutQueue(Leader& leader) {
    GraphCall put;
    put.kind_ = GraphCallKind::kPutCatalog;
    put.catalog_ = MakeCatalog(1);
    REQUIRE_EQ(leader.Send(put), GraphOutcome::kOk);
  }

  static Catalog MakeCatalog(std::int64_t version) {
    Catalog catalog;
    catalog.version_ = CatalogVersion(version);
    QueueRow queue;
    queue.name_ = QueueName("queue");
    queue.host_ = "host";
    queue.path_prefix_ = "/";
    queue.pool_ = PoolName("pool");
    queue.public_ = true;
    queue.timeout_ = Duration(1000 + version);
    catalog.queues_ = {queue};
    catalog.pools_ = {{.name_ = PoolName("pool")}};
    return catalog;
  }

  GraphCall NextCall() {
    GraphCall call;
    switch (random_() % 6) {
      case 0:
        return Evacuate(random_() % 2 == 0 ? "north" : "south",
                        random_() % 2 == 0);
      case 1:
        call.kind_ = GraphCallKind::kSubmit;
        call.caller_ = {"host", "/" + MakeKey(++jobs_).value(), ""};
        call.spec_.emplace().steps_ = {MakeStep(1, 1, Duration(1000))};
        return call;
      case 2:
        call.kind_ = GraphCallKind::kCancel;
        call.caller_ = {"host", "/" + MakeKey(1 + random_() % 20).value(), ""};
        return call;
      case 3:
        call.kind_ = GraphCallKind::kPutCatalog;
        call.catalog_ = MakeCatalog(++version_);
        return call;
      default:
        return NextOfWorker();
    }
  }

  // A worker reports, drains, leaves and returns under its id.
  GraphCall NextOfWorker() {
    const std::size_t index = random_() % std::size(senders_);
    Sender& sender = senders_[index];
    GraphCall call;
    if (sender.phase_ == Phase::kDraining && random_() % 2 == 0) {
      sender.phase_ = Phase::kAbsent;
      call.kind_ = GraphCallKind::kLeave;
      call.worker_ = sender.report_.id_;
      return call;
    }
    if (sender.phase_ == Phase::kAbsent) {
      sender.report_ = MakeReport(fmt::format("w{}", index), "r");
      sender.report_.incarnation_ = WorkerIncarnation(now_.ms());
      sender.report_.sequence_ = 0;
      sender.phase_ = Phase::kReady;
    } else if (random_() % 2 == 0) {
      sender.phase_ = Phase::kDraining;
    }
    ++sender.report_.sequence_;
    sender.report_.draining_ = sender.phase_ == Phase::kDraining;
    call.kind_ = GraphCallKind::kReport;
    call.report_ = sender.report_;
    return call;
  }

  // A node gives the age by the clock of the leader that it knows.
  static void Deliver(Leader& leader, const Sent& sent) {
    GraphCall call = sent.call_;
    call.age_ = CallAge{Term(), sent.at_, kPatience};
    GraphReply reply;
    const auto answered = [&reply](const GraphReply& r) { reply = r; };
    leader.service_.Handle(call, answered);
    if (reply.outcome_ != GraphOutcome::kUnavailable) return;
    call.age_->term_ = reply.term_;
    leader.service_.Handle(call, answered);
  }

  std::mt19937_64 random_;
  Time now_{1'000'000};
  Leader with_copies_;
  Leader without_;
  std::multimap<Time, Sent> late_;
  std::array<Sender, 3> senders_;
  std::uint64_t jobs_ = 0;
  std::int64_t version_ = 1;
};

// Guards against all that a late copy of a call may undo; see
// docs/design/late-messages.md.
TEST_CASE("random calls: copies that come late change nothing") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    LateCopies calls(seed);
    for (int step = 0; step < 120 && calls.IsSame(); ++step) calls.Step();
    CHECK(calls.IsSame());
  }
}

constexpr const char* kHost = "jobs.example";
constexpr const char* kOwnPlace = "/own/";
constexpr const char* kOtherPlace = "/other/";
constexpr const char* kOwnKey = "key of acme";
constexpr const char* kOtherKey = "key of bolt";
constexpr const char* kUnknownKey = "key of nobody";

// Puts a catalog with a queue at each of the two places, and two customers.
void PutQueues(Leader& leader, std::int64_t version, bool own_public,
               bool other_public) {
  const auto queue = [version](const char* place, bool is_public) {
    QueueRow row;
    row.name_ = QueueName(fmt::format("{} {}", place, version));
    row.host_ = kHost;
    row.path_prefix_ = place;
    row.pool_ = PoolName("pool");
    row.public_ = is_public;
    row.timeout_ = Duration(1000);
    return row;
  };
  GraphCall put;
  put.kind_ = GraphCallKind::kPutCatalog;
  put.catalog_.version_ = CatalogVersion(version);
  put.catalog_.queues_ = {queue(kOwnPlace, own_public),
                          queue(kOtherPlace, other_public)};
  put.catalog_.pools_ = {{.name_ = PoolName("pool")}};
  put.catalog_.customers_ = {{CustomerId("acme"), {kOwnKey}, 0},
                             {CustomerId("bolt"), {kOtherKey}, 0}};
  REQUIRE_EQ(leader.Send(put), GraphOutcome::kOk);
}

std::optional<GraphOutcome> CallJob(Leader& leader, GraphCallKind kind,
                                    const char* place, const char* key) {
  GraphCall call;
  call.kind_ = kind;
  call.caller_ = {kHost, place + MakeKey(1).value(), key};
  if (kind == GraphCallKind::kSubmit) {
    call.spec_.emplace().steps_ = {MakeStep(1, 1, Duration(1000))};
  }
  return leader.Send(call);
}

// What a call at `place` gets of a job that was handed in at kOwnPlace with
// `job_key`, once that place and the call's own are public or not.
GraphOutcome ExpectedOfCall(const std::string& job_key, bool same_place,
                            bool is_public, const std::string& key) {
  const bool known = key == kOwnKey || key == kOtherKey;
  if (!known && !is_public) return GraphOutcome::kBadKey;
  if (!same_place) return GraphOutcome::kNoJob;
  const bool may_see = is_public || job_key.empty() || key == job_key;
  return may_see ? GraphOutcome::kOk : GraphOutcome::kNoJob;
}

// Guards against a job that its caller can't find after the route at its place
// has become public or asks for keys, and against one that others find.
TEST_CASE("who sees and cancels a job, after its route was replaced") {
  for (const std::string job_key : {"", kOwnKey}) {
    for (const std::string place : {kOwnPlace, kOtherPlace}) {
      for (const bool is_public : {false, true}) {
        for (const std::string key : {"", kOwnKey, kOtherKey, kUnknownKey}) {
          CAPTURE(job_key);
          CAPTURE(place);
          CAPTURE(is_public);
          CAPTURE(key);
          Leader leader;
          leader.replica_.completes_immediately_ = true;
          PutQueues(leader, 1, job_key.empty(), false);
          REQUIRE_EQ(CallJob(leader, GraphCallKind::kSubmit, kOwnPlace,
                             job_key.c_str()),
                     GraphOutcome::kOk);
          const bool same_place = place == kOwnPlace;
          PutQueues(leader, 2, same_place && is_public,
                    !same_place && is_public);
          REQUIRE(leader.service_.RestoreSnapshot(
              leader.service_.EncodeSnapshot()));
          const GraphOutcome expected =
              ExpectedOfCall(job_key, same_place, is_public, key);
          for (const auto kind :
               {GraphCallKind::kRead, GraphCallKind::kCancel}) {
            CHECK_EQ(CallJob(leader, kind, place.c_str(), key.c_str()),
                     expected);
          }
          const GraphJob& job = *FindJob(leader.service_.state(), MakeKey(1));
          CHECK_EQ(job.state_ == GraphJobState::kCancelled,
                   expected == GraphOutcome::kOk);
        }
      }
    }
  }
}

TEST_CASE("an unknown failure domain is refused") {
  Leader leader;
  CHECK_EQ(leader.Send(Evacuate("nowhere", true)), GraphOutcome::kNoDomain);
  CHECK_EQ(leader.replica_.pending_proposals(), 0);
}

// Answers to commands, as of a worker that carries them out.
struct Answers {
  std::map<AttemptRef, std::uint64_t> running_;
  std::uint64_t last_end_ = 0;

  SchedulerEvent To(const StartCommand& command) {
    running_[command.attempt_] = 0;
    return StartResult{command.target_.worker_,
                       command.target_.incarnation_,
                       command.attempt_,
                       CommandOutcome::kDone,
                       0,
                       ""};
  }
  SchedulerEvent To(const StopCommand& command) {
    return StopResult{command.target_.worker_, command.target_.incarnation_,
                      command.attempt_, CommandOutcome::kDone, 0};
  }
  // Each poll shows the end of the first attempt, and one that a delayed
  // command of an earlier leader started.
  SchedulerEvent To(const PollCommand& command) {
    PollResult result{.worker_ = command.target_.worker_,
                      .incarnation_ = command.target_.incarnation_,
                      .number_ = command.number_,
                      .outcome_ = CommandOutcome::kDone,
                      .running_ = {{.attempt_ = {{MakeKey(2), {}, {}, {}}, {}},
                                    .checkpoint_ = {},
                                    .done_percent_ = {}}},
                      .ends_ = {}};
    for (auto& [attempt, end] : running_) {
      if (end == 0 && result.ends_.empty()) {
        end = ++last_end_;
        result.ends_.push_back({end, attempt, AttemptEnd::kDone, {}});
      } else if (end == 0) {
        result.running_.push_back({attempt, {}, std::nullopt});
      }
    }
    return result;
  }
};

// A leader with a job of several tasks, driven at random: ticks, reports,
// commits, and answers to its commands.
struct RandomRun {
  explicit RandomRun(std::uint32_t seed) : random_(seed) {
    const GraphRecord job =
        MakeSubmit(1, {MakeStep(12, 4, Duration(1000))}, {});
    leader_.replica_.Propose(Pack(job), [](const ProposeResult&) {});
    leader_.replica_.CommitAll();
    leader_.Report(false);
    leader_.replica_.CommitAll();
  }

  void Step() {
    leader_.now_ = leader_.now_ + Duration(20);
    auto& commands = leader_.commands_;
    switch (random_() % 4) {
      case 0:
        return leader_.service_.Tick();
      case 1:
        leader_.Report(random_() % 20 == 0);
        return;
      case 2:
        if (leader_.replica_.has_quorum_) leader_.replica_.CommitAll();
        return;
      default:
        if (answered_ == commands.size()) return;
        const Leader::Command command = commands[answered_++];
        command.done_(
            std::visit([this](const auto& body) { return answers_.To(body); },
                       command.command_));
    }
  }

  std::mt19937 random_;
  Leader leader_;
  Answers answers_;
  std::size_t answered_ = 0;
};

// A leader that was suspended may have been replaced. Its commands would extend
// leases that the new leader takes to be over, or start tasks again.
TEST_CASE("a suspended leader sends no commands before it hears a majority") {
  constexpr std::uint32_t kRuns = 300;
  constexpr std::uint32_t kMaxSteps = 60;
  constexpr int kStepsAfter = 20;
  std::size_t sent = 0;
  for (const Duration pause : {Duration(1000), Duration(5000), Duration(20000)})
    for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
      CAPTURE(seed);
      CAPTURE(pause.ms());
      RandomRun run(seed);
      for (std::uint32_t i = 0; i < 5 + seed % kMaxSteps; ++i) run.Step();
      const std::size_t before = run.leader_.commands_.size();
      sent += before;
      run.leader_.replica_.has_quorum_ = false;
      run.leader_.now_ = run.leader_.now_ + pause;
      for (int i = 0; i < kStepsAfter; ++i) run.Step();
      REQUIRE_EQ(run.leader_.commands_.size(), before);
    }
  CHECK(sent > kRuns);
}

}  // namespace
}  // namespace flamingohollow::testing
