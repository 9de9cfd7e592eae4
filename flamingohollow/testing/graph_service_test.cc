// The leader's answers to workers, with a log that commits when told to.

#include "flamingohollow/graph_service.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>

#include "flamingohollow/testing/fake_replica.h"
#include "flamingohollow/testing/graph_fixture.h"

namespace flamingohollow::testing {
namespace {

struct Leader {
  Time now_{1'000'000};
  Metrics metrics_;
  GraphService service_{
      GraphServiceOptions{},
      GraphClocks{[this] { return now_; }, [this] { return now_; }},
      [](const WorkerOrder&, const std::function<void(SchedulerEvent)>&) {},
      metrics_};
  FakeReplica replica_{&service_};
  std::uint64_t sequence_ = 0;

  Leader() {
    service_.SetReplica(&replica_);
    replica_.TakeOffice();
    replica_.prompt_ = false;
  }

  // The answer, once there is one.
  std::optional<GraphOutcome>& Report(bool draining) {
    GraphCall call;
    call.kind_ = GraphCallKind::kReport;
    call.report_ = MakeReport("w", "r");
    call.report_.sequence_ = ++sequence_;
    call.report_.draining_ = draining;
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

TEST_CASE("a report that tells nothing new is acknowledged at once") {
  Leader leader;
  leader.Report(false);
  leader.replica_.CommitAll();
  CHECK_EQ(leader.Report(false), GraphOutcome::kOk);
  CHECK_EQ(leader.replica_.waiting_proposals(), 0);
}

// Otherwise a leader that is lost just then leaves its successor to start tasks
// on the worker.
TEST_CASE("a worker that drains is told so only by the log") {
  Leader leader;
  leader.Report(false);
  leader.replica_.CommitAll();
  auto& drains = leader.Report(true);
  CHECK_FALSE(drains.has_value());
  leader.replica_.CommitAll();
  CHECK_EQ(drains, GraphOutcome::kOk);
  CHECK(leader.service_.state().workers_.at(WorkerId("w")).draining_);
}

TEST_CASE("a report that the log did not take in time is not acknowledged") {
  Leader leader;
  auto& report = leader.Report(false);
  leader.now_ = leader.now_ + kReportTimeout + kUpkeepInterval;
  leader.service_.Tick();
  CHECK_EQ(report, GraphOutcome::kNotNow);
}

TEST_CASE("reports that wait are answered when the leadership is lost") {
  Leader leader;
  auto& report = leader.Report(false);
  leader.replica_.LoseOffice(ProposeOutcome::kUnknown);
  CHECK_EQ(report, GraphOutcome::kNotLeader);
}

}  // namespace
}  // namespace flamingohollow::testing
