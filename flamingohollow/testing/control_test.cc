// Tests of the control core on a fake replica.

#include "flamingohollow/control.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/control_core.h"
#include "flamingohollow/testing/fake_replica.h"

namespace flamingohollow {
namespace {

// A leading core with a clock that the test sets.
class Fixture {
 public:
  Fixture()
      : core_(JobControllerOptions{},
              {[this] { return now_; }, [] { return Time(1000); }}),
        replica_(&core_) {
    core_.SetReplica(&replica_);
  }

  void Lead() {
    replica_.GainLeadership();
    Advance(Duration(0));
  }

  void Advance(Duration time) {
    now_ = now_ + time;
    core_.Tick();
    core_.Flush();
  }

  // Returns the reply, or nullopt if the call is still pending.
  std::optional<CallReply> Call(const CallRequest& request) {
    auto reply = std::make_shared<std::optional<CallReply>>();
    core_.HandleCall(request, [reply](const CallReply& given) {
      CHECK_FALSE(reply->has_value());
      *reply = given;
    });
    core_.Flush();
    last_reply_ = reply;
    return *reply;
  }

  // Returns the answer; the optional is empty until the exchange is answered.
  std::shared_ptr<std::optional<ControlSync>> Sync(const EntrySync& sync) {
    auto answer = std::make_shared<std::optional<ControlSync>>();
    core_.HandleSync(sync, [answer](const ControlSync& given) {
      CHECK_FALSE(answer->has_value());
      *answer = given;
    });
    core_.Flush();
    return answer;
  }

  CallReply Apply(const std::string& id, std::uint64_t base, double weight) {
    return Call(ApplyRequest(id, base, weight)).value();
  }

  static CallRequest ApplyRequest(const std::string& id, std::uint64_t base,
                                  double weight) {
    CallRequest request;
    request.kind_ = CallKind::kTableApply;
    request.caller_ = "ana";
    request.change_.request_id_ = RequestId(id);
    request.change_.base_version_ = TableVersion(base);
    Row row;
    row.customer_ = CustomerId("acme");
    row.weight_ = weight;
    row.max_queued_ = 2;
    row.max_borrowed_ = 64;
    row.max_rate_ = 10;
    request.change_.upserts_ = {row};
    return request;
  }

  static CallRequest SubmitRequest(const std::string& id) {
    CallRequest request;
    request.kind_ = CallKind::kSubmit;
    request.spec_.customer_ = CustomerId("acme");
    request.spec_.request_id_ = RequestId(id);
    request.spec_.accelerators_ = Accelerators(8);
    return request;
  }

  static CallRequest MakeRequest(CallKind kind) {
    CallRequest request;
    request.kind_ = kind;
    return request;
  }

  static EntrySync EntryAt(std::uint64_t version) {
    EntrySync sync;
    sync.entry_ = NodeName("entry-0");
    sync.incarnation_ = Incarnation(1);
    sync.table_version_ = TableVersion(version);
    return sync;
  }

  boost::json::value Status() {
    return boost::json::parse(Call(MakeRequest(CallKind::kTableStatus))->body_);
  }

  Time now_ = Time(100000);
  ControlCore core_;
  FakeReplica replica_;
  // The reply to the last call, set when it arrives.
  std::shared_ptr<std::optional<CallReply>> last_reply_;
};

TEST_CASE("a node that does not lead says so in its replies") {
  Fixture f;
  const auto reply = f.Call(Fixture::MakeRequest(CallKind::kTableShow));
  CHECK_FALSE(reply->is_leader_);
  CHECK_FALSE((*f.Sync(Fixture::EntryAt(0)))->is_leader_);
}

TEST_CASE("init forms the cluster once") {
  Fixture f;
  CHECK(f.Call(Fixture::MakeRequest(CallKind::kInit))->status_ == 200);
  CHECK(f.Call(Fixture::MakeRequest(CallKind::kInit))->status_ == 409);
}

TEST_CASE(
    "concurrent operators: one change is accepted, the other gets a conflict") {
  Fixture f;
  f.Lead();
  CHECK(f.Apply("a", 0, 1).body_ == R"({"outcome":"accepted","version":1})");
  const auto second = f.Apply("b", 0, 2);
  CHECK(second.status_ == 409);
  CHECK(boost::json::parse(second.body_).at("version").to_number<int>() == 1);
  CHECK(f.Apply("a", 0, 1).body_ == R"({"outcome":"accepted","version":1})");
  CHECK(f.Apply("a", 1, 5).status_ == 422);
}

TEST_CASE("of two changes in flight on one version the first one is accepted") {
  Fixture f;
  f.Lead();
  f.replica_.completes_immediately_ = false;
  CHECK_FALSE(f.Call(Fixture::ApplyRequest("a", 0, 1)).has_value());
  const auto first = f.last_reply_;
  CHECK_FALSE(f.Call(Fixture::ApplyRequest("b", 0, 2)).has_value());
  const auto second = f.last_reply_;
  f.replica_.CommitAll();
  CHECK((*first)->status_ == 200);
  CHECK((*second)->status_ == 409);
}

TEST_CASE("a dry run returns the outcome and changes nothing") {
  Fixture f;
  f.Lead();
  auto request = Fixture::ApplyRequest("a", 0, 1);
  request.dry_run_ = true;
  CHECK(f.Call(request)->body_ == R"({"outcome":"accepted","version":1})");
  CHECK(f.Call(Fixture::MakeRequest(CallKind::kTableShow))->body_ ==
        R"({"version":0,"rows":[]})");
}

TEST_CASE("reads wait for confirmation of leadership") {
  Fixture f;
  f.Lead();
  f.replica_.completes_immediately_ = false;
  CHECK_FALSE(f.Call(Fixture::MakeRequest(CallKind::kTableShow)).has_value());
  f.replica_.ConfirmAll();
  CHECK((*f.last_reply_)->status_ == 200);
  CHECK_FALSE(f.Call(Fixture::MakeRequest(CallKind::kTableShow)).has_value());
  f.replica_.LoseLeadership(ProposeOutcome::kUnknown);
  CHECK_FALSE((*f.last_reply_)->is_leader_);
}

TEST_CASE("refusals wait for confirmation of leadership") {
  Fixture f;
  f.Lead();
  f.replica_.completes_immediately_ = false;
  CHECK_FALSE(f.Call(Fixture::SubmitRequest("r")).has_value());
  f.replica_.LoseLeadership(ProposeOutcome::kUnknown);
  CHECK_FALSE((*f.last_reply_)->is_leader_);
}

TEST_CASE("a proposal in flight when leadership is lost") {
  Fixture f;
  f.Lead();
  f.replica_.completes_immediately_ = false;
  CHECK_FALSE(f.Call(Fixture::ApplyRequest("a", 0, 1)).has_value());
  SUBCASE("may have been committed") {
    f.replica_.LoseLeadership(ProposeOutcome::kUnknown);
    CHECK((*f.last_reply_)->status_ == 504);
    CHECK((*f.last_reply_)->is_leader_);
  }
  SUBCASE("known not to have been committed, so another node may be asked") {
    f.replica_.LoseLeadership(ProposeOutcome::kNotLeader);
    CHECK_FALSE((*f.last_reply_)->is_leader_);
  }
}

TEST_CASE("a resent submission gets the same job, or 422 if it differs") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  const auto first = f.Call(Fixture::SubmitRequest("r"));
  CHECK(first->status_ == 202);
  REQUIRE(first->job_.has_value());
  const auto again = f.Call(Fixture::SubmitRequest("r"));
  REQUIRE(again->job_.has_value());
  CHECK(again->job_->job_ == first->job_->job_);
  auto other = Fixture::SubmitRequest("r");
  other.spec_.accelerators_ = Accelerators(16);
  CHECK(f.Call(other)->status_ == 422);
}

TEST_CASE("concurrent resends of a submission get one job") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  f.replica_.completes_immediately_ = false;
  f.Call(Fixture::SubmitRequest("r"));
  const auto first = f.last_reply_;
  f.Call(Fixture::SubmitRequest("r"));
  const auto second = f.last_reply_;
  f.replica_.CommitAll();
  CHECK((*first)->job_->job_ == (*second)->job_->job_);
}

TEST_CASE("a customer's queue limit includes submissions in flight") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  f.replica_.completes_immediately_ = false;
  CHECK_FALSE(f.Call(Fixture::SubmitRequest("a")).has_value());
  CHECK_FALSE(f.Call(Fixture::SubmitRequest("b")).has_value());
  CHECK_FALSE(f.Call(Fixture::SubmitRequest("c")).has_value());
  f.replica_.ConfirmAll();
  CHECK((*f.last_reply_)->status_ == 429);
  CHECK((*f.last_reply_)->retry_after_ > Duration(0));
}

TEST_CASE("a customer's rate limit covers all entries and excludes resends") {
  Fixture f;
  f.Lead();
  auto apply = Fixture::ApplyRequest("t", 0, 1);
  apply.change_.upserts_[0].max_queued_ = 100;
  f.Call(apply);
  for (int i = 0; i < 10; ++i) {
    CHECK(f.Call(Fixture::SubmitRequest(std::to_string(i)))->status_ == 202);
  }
  const auto refused = f.Call(Fixture::SubmitRequest("10"));
  CHECK(refused->status_ == 429);
  CHECK(refused->retry_after_ > Duration(0));
  CHECK(f.Call(Fixture::SubmitRequest("0"))->status_ == 202);
  f.now_ = f.now_ + refused->retry_after_;
  CHECK(f.Call(Fixture::SubmitRequest("10"))->status_ == 202);
}

TEST_CASE("refused submissions: unknown customer, token of another customer") {
  Fixture f;
  f.Lead();
  CHECK(f.Call(Fixture::SubmitRequest("r"))->status_ == 400);
  auto foreign = Fixture::SubmitRequest("r");
  foreign.on_behalf_of_ = CustomerId("other");
  CHECK(f.Call(foreign)->status_ == 403);
}

TEST_CASE(
    "calls to an overloaded replica get a reply with a retry delay at once") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  f.replica_.overloaded_ = true;
  const auto reply = f.Call(Fixture::SubmitRequest("r"));
  CHECK(reply->status_ == 503);
  CHECK(reply->retry_after_ > Duration(0));
  f.replica_.overloaded_ = false;
  CHECK(f.Call(Fixture::SubmitRequest("r"))->status_ == 202);
}

TEST_CASE("a cancelled job is shown as cancelled, to its customer only") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  auto cancel = Fixture::MakeRequest(CallKind::kJobCancel);
  cancel.job_ = f.Call(Fixture::SubmitRequest("r"))->job_->job_;
  cancel.on_behalf_of_ = CustomerId("other");
  CHECK(f.Call(cancel)->status_ == 404);
  cancel.on_behalf_of_ = CustomerId("acme");
  const auto reply = f.Call(cancel);
  REQUIRE(reply.has_value());
  CHECK(reply->job_->outcome_ == Outcome::kCancelled);
}

TEST_CASE("an entry gets the table at once, with a lease, and then waits") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  const auto first = f.Sync(Fixture::EntryAt(0));
  REQUIRE(first->has_value());
  CHECK((*first)->lease_ == Duration(3000));
  REQUIRE((*first)->table_.has_value());
  CHECK((*first)->table_->rows_.size() == 1);
  CHECK((*first)->table_->history_.empty());

  auto synced = Fixture::EntryAt(1);
  synced.exclusions_version_ = (*first)->exclusions_version_;
  const auto idle = f.Sync(synced);
  CHECK_FALSE(idle->has_value());
  f.Advance(kMaxHold);
  REQUIRE(idle->has_value());
  CHECK_FALSE((*idle)->table_.has_value());

  const auto notified = f.Sync(synced);
  CHECK_FALSE(notified->has_value());
  f.Apply("u", 1, 2);
  REQUIRE(notified->has_value());
  CHECK((*notified)->table_->version_ == TableVersion(2));
}

TEST_CASE("a change is in force once entries confirm or their leases expire") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  const auto in_force = [&] { return f.Status().at("in_force").as_bool(); };
  // Leases of former leaders may still be valid.
  CHECK_FALSE(in_force());
  f.Advance(Duration(3500));
  CHECK(in_force());

  const auto first = f.Sync(Fixture::EntryAt(0));
  CHECK(in_force());
  f.Apply("u", 1, 2);
  CHECK_FALSE(in_force());
  SUBCASE("confirmed") {
    f.Sync(Fixture::EntryAt(2));
    CHECK(in_force());
  }
  SUBCASE("lease expired") {
    f.Advance(Duration(3499));
    CHECK_FALSE(in_force());
    f.Advance(Duration(1));
    CHECK(in_force());
  }
  SUBCASE("a restarted entry's previous incarnation still counts") {
    auto restarted = Fixture::EntryAt(2);
    restarted.incarnation_ = Incarnation(2);
    f.Sync(restarted);
    CHECK_FALSE(in_force());
  }
}

TEST_CASE("without fresh confirmation leases get shorter, then stop") {
  Fixture f;
  f.Lead();
  f.replica_.completes_immediately_ = false;
  f.Advance(Duration(1000));
  CHECK((*f.Sync(Fixture::EntryAt(0)))->lease_ == Duration(2000));
  f.Advance(Duration(2500));
  auto late = Fixture::EntryAt(0);
  late.incarnation_ = Incarnation(2);
  CHECK((*f.Sync(late))->lease_ == Duration(0));
}

TEST_CASE("an entry with a newer table than the leader gets no lease") {
  Fixture f;
  f.Lead();
  CHECK((*f.Sync(Fixture::EntryAt(7)))->lease_ == Duration(0));
}

TEST_CASE("a watched job's end is sent until the entry stops watching it") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  const auto job = f.Call(Fixture::SubmitRequest("r"))->job_->job_;
  auto sync = Fixture::EntryAt(1);
  sync.watched_ = {job};
  const auto known = f.Sync(sync);
  sync.exclusions_version_ = (*known)->exclusions_version_;
  const auto held = f.Sync(sync);
  CHECK_FALSE(held->has_value());
  auto cancel = Fixture::MakeRequest(CallKind::kJobCancel);
  cancel.job_ = job;
  f.Call(cancel);
  REQUIRE(held->has_value());
  REQUIRE((*held)->jobs_.size() == 1);
  CHECK((*held)->jobs_[0].outcome_ == Outcome::kCancelled);
  // The answer was lost: the entry still watches the job.
  const auto again = f.Sync(sync);
  REQUIRE(again->has_value());
  CHECK((*again)->jobs_.size() == 1);
}

TEST_CASE("commands go to the entry that carried the worker's report") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  auto sync = Fixture::EntryAt(1);
  WorkerReport report;
  report.worker_ = WorkerId("worker-0");
  report.incarnation_ = Incarnation(1);
  report.sequence_ = 1;
  report.accelerators_ = Accelerators(8);
  report.slots_ = 8;
  sync.reports_ = {report};
  const auto first = f.Sync(sync);
  REQUIRE(first->has_value());
  CHECK((*first)->acknowledged_ == std::vector<WorkerId>{WorkerId("worker-0")});
  sync.reports_.clear();
  sync.exclusions_version_ = (*first)->exclusions_version_;
  const auto held = f.Sync(sync);
  auto submit = Fixture::SubmitRequest("r");
  submit.spec_.idempotent_ = true;
  f.Call(submit);
  f.Advance(kControllerInterval);
  REQUIRE(held->has_value());
  REQUIRE((*held)->commands_.size() == 1);
  CHECK((*held)->commands_[0].kind_ == WorkerCommandKind::kPrepare);
}

TEST_CASE("a worker that moved stays alive when its former entry syncs last") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  WorkerReport report;
  report.worker_ = WorkerId("worker-0");
  report.incarnation_ = Incarnation(1);
  report.sequence_ = 1;
  report.accelerators_ = Accelerators(8);
  auto former = Fixture::EntryAt(1);
  auto present = former;
  present.entry_ = NodeName("entry-1");
  former.reports_ = {report};
  present.reports_ = {report};
  f.Sync(present);
  f.Sync(former);
  present.reports_.clear();
  former.reports_.clear();
  former.silent_ = {report.worker_};
  f.Sync(former);
  for (int second = 0; second < 10; ++second) {
    f.Sync(present);
    f.Advance(Duration(1000));
  }
  const auto workers = f.Call(Fixture::MakeRequest(CallKind::kWorkers));
  CHECK(workers->body_.find("\"state\":\"ready\"") != std::string::npos);
}

TEST_CASE("commands not sent within kCommandLifetime are dropped") {
  EntryExchanges exchanges;
  Entries entries = MakeEntries(EntriesOptions{}, Term(1), Time(0));
  ConfirmLeading(entries, Time(0));
  const Table table;
  LeaderView view;
  view.term_ = Term(1);
  view.table_ = &table;
  auto sync = Fixture::EntryAt(0);
  sync.alive_ = {WorkerId("worker-0")};
  sync.exclusions_version_ = entries.exclusions_version_;
  std::optional<ControlSync> answer;
  const auto exchange = [&](Time now) {
    exchanges.Open(
        sync, [&](const ControlSync& given) { answer = given; }, view, entries,
        now);
    exchanges.AnswerDue(view, entries, now);
    return answer->commands_.size();
  };
  CHECK(exchange(Time(0)) == 0);
  WorkerCommand command;
  command.worker_ = WorkerId("worker-0");
  command.job_ = JobId(1);
  exchanges.QueueCommand(command, Time(0));
  command.job_ = JobId(2);
  exchanges.QueueCommand(command, Time(1));
  // A repeated command is queued once.
  exchanges.QueueCommand(command, Time(2));
  CHECK(exchange(Time(0) + kCommandLifetime + Duration(1)) == 1);
  CHECK(answer->commands_[0].job_ == JobId(2));
}

TEST_CASE("a new leader requests all reports") {
  Fixture f;
  f.Lead();
  auto sync = Fixture::EntryAt(0);
  sync.alive_ = {WorkerId("worker-0")};
  const auto first = f.Sync(sync);
  CHECK((*first)->send_all_reports_);
  // Still unreported: the answer may have been lost.
  sync.exclusions_version_ = (*first)->exclusions_version_;
  CHECK((*f.Sync(sync))->send_all_reports_);
}

TEST_CASE("an evacuation is in force once committed, and after a snapshot") {
  Fixture f;
  f.Lead();
  EntrySync sync = Fixture::EntryAt(0);
  WorkerReport report;
  report.worker_ = WorkerId("w");
  report.incarnation_ = Incarnation(1);
  report.sequence_ = 1;
  report.place_.failure_domain_ = FailureDomain("north");
  sync.reports_ = {report};
  f.Sync(sync);
  CallRequest order = Fixture::MakeRequest(CallKind::kEvacuate);
  order.domain_ = FailureDomain("north");
  f.replica_.completes_immediately_ = false;
  CHECK_FALSE(f.Call(order).has_value());
  f.replica_.CommitAll();
  REQUIRE(f.last_reply_->has_value());
  CHECK((*f.last_reply_)->status_ == 200);
  f.replica_.completes_immediately_ = true;
  Fixture next;
  next.Lead();
  REQUIRE(next.core_.RestoreSnapshot(f.core_.EncodeSnapshot()));
  const auto list = [&next] {
    const CallRequest request = Fixture::MakeRequest(CallKind::kEvacuations);
    return next.Call(request)->body_;
  };
  CHECK(list().find("north") != std::string::npos);
  order.kind_ = CallKind::kTakeBack;
  CHECK(next.Call(order)->status_ == 200);
  CHECK(list() == R"({"evacuations":[]})");
}

TEST_CASE("an unknown failure domain is refused once all workers are known") {
  Fixture f;
  f.Lead();
  CallRequest order = Fixture::MakeRequest(CallKind::kEvacuate);
  order.domain_ = FailureDomain("nowhere");
  CHECK(f.Call(order)->status_ == 503);
  f.now_ = f.now_ + PlacementOptions().settling_time_;
  CHECK(f.Call(order)->status_ == 404);
}

TEST_CASE("state survives a snapshot") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  f.Call(Fixture::SubmitRequest("r"));
  const std::string snapshot = f.core_.EncodeSnapshot();
  Fixture g;
  CHECK_FALSE(g.core_.RestoreSnapshot("junk"));
  CHECK(g.core_.RestoreSnapshot(snapshot));
  CHECK(g.core_.EncodeSnapshot() == snapshot);
}

TEST_CASE(
    "while stopping, new calls are refused and those in flight complete") {
  Fixture f;
  f.Lead();
  f.Apply("t", 0, 1);
  f.replica_.completes_immediately_ = false;
  f.Call(Fixture::SubmitRequest("r"));
  const auto in_flight = f.last_reply_;
  f.core_.StartStopping();
  CHECK_FALSE(f.core_.Idle());
  CHECK_FALSE(f.Call(Fixture::SubmitRequest("s"))->is_leader_);
  f.replica_.CommitAll();
  CHECK((*in_flight)->status_ == 202);
  CHECK(f.core_.Idle());
}

}  // namespace
}  // namespace flamingohollow
