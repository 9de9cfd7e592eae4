// Tests of announcements: what is forwarded, and what is renewed.

#include "flamingohollow/entry_workers.h"

#include <doctest/doctest.h>

#include <string>

namespace flamingohollow {
namespace {

constexpr Time kNow = Time(100000);

Announcement Whole(const std::string& worker, std::uint64_t incarnation,
                   std::uint64_t sequence) {
  Announcement announcement;
  announcement.whole_ = true;
  announcement.report_.worker_ = WorkerId(worker);
  announcement.report_.incarnation_ = Incarnation(incarnation);
  announcement.report_.sequence_ = sequence;
  return announcement;
}

Announcement Short(const std::string& worker, std::uint64_t incarnation,
                   std::uint64_t sequence) {
  Announcement announcement = Whole(worker, incarnation, sequence);
  announcement.whole_ = false;
  return announcement;
}

Announcement WithLease(Announcement announcement, std::uint64_t job) {
  LeaseReport lease;
  lease.job_ = JobId(job);
  announcement.report_.leases_.push_back(lease);
  return announcement;
}

// A table under lease at kNow, with these jobs excluded.
EntryTable LeasedTable(std::set<JobId> exclusions) {
  EntryTable table;
  table.confirmed_ = true;
  table.lease_until_ = kNow + Duration(1000);
  table.renew_until_ = kNow + Duration(1000);
  table.worker_lease_ = Duration(10000);
  table.exclusions_ = std::move(exclusions);
  return table;
}

AnnounceReply Announce(EntryWorkers& workers, const EntryTable& table,
                       const Announcement& announcement, Time now = kNow) {
  const AnnounceOutcome outcome = ApplyAnnouncement(workers, announcement, now);
  return MakeAnnounceReply(workers, table, announcement, outcome, now);
}

TEST_CASE("a short announcement is known only if it matches the held report") {
  EntryWorkers workers;
  CHECK(ApplyAnnouncement(workers, Short("w", 1, 1), kNow) ==
        AnnounceOutcome::kUnknown);
  CHECK(ApplyAnnouncement(workers, Whole("w", 1, 1), kNow) ==
        AnnounceOutcome::kChanged);
  CHECK(ApplyAnnouncement(workers, Short("w", 1, 1), kNow) ==
        AnnounceOutcome::kUnchanged);
  CHECK(ApplyAnnouncement(workers, Short("w", 1, 2), kNow) ==
        AnnounceOutcome::kUnknown);
  CHECK(ApplyAnnouncement(workers, Short("w", 2, 1), kNow) ==
        AnnounceOutcome::kUnknown);
}

TEST_CASE("a late announcement changes nothing and renews nothing") {
  EntryWorkers workers;
  ApplyAnnouncement(workers, WithLease(Whole("w", 2, 5), 17), kNow);
  CHECK(ApplyAnnouncement(workers, Whole("w", 2, 4), kNow) ==
        AnnounceOutcome::kOld);
  CHECK(ApplyAnnouncement(workers, Whole("w", 1, 9), kNow) ==
        AnnounceOutcome::kOld);
  const auto& held = workers.workers_.at(WorkerId("w")).report_;
  CHECK(held.sequence_ == 5);
  CHECK(held.leases_.size() == 1);
  const AnnounceReply reply =
      Announce(workers, LeasedTable({}), Whole("w", 1, 9));
  CHECK(reply.known_);
  CHECK(reply.renew_ == Duration(0));
}

TEST_CASE("renewals need authority and leave excluded jobs out") {
  EntryWorkers workers;
  const Announcement announcement =
      WithLease(WithLease(Whole("w", 1, 1), 17), 18);
  const EntryTable table = LeasedTable({JobId(17), JobId(99)});
  const AnnounceReply reply = Announce(workers, table, announcement);
  CHECK(reply.renew_ == Duration(10000));
  CHECK(reply.excluded_ == std::vector<JobId>{JobId(17)});
  // The same for a short announcement of that report.
  CHECK(Announce(workers, table, Short("w", 1, 1)).excluded_ ==
        std::vector<JobId>{JobId(17)});
  // Without authority nothing is renewed.
  const Time after = kNow + Duration(1000);
  CHECK(Announce(workers, table, announcement, after).renew_ == Duration(0));
  CHECK(Announce(workers, EntryTable(), announcement).renew_ == Duration(0));
}

// How long after its last announcement a worker counts as silent.
Duration SilentAfter(const EntryWorkers& workers) {
  return workers.options_.silence_margin_ + workers.interval_ * 2;
}

TEST_CASE("a report is sent until the leader acknowledges it") {
  EntryWorkers workers;
  ApplyAnnouncement(workers, Whole("w", 1, 1), kNow);
  CHECK(HasReportsToSend(workers, kNow));
  const WorkerUpdate first = BuildWorkerUpdate(workers, kNow);
  REQUIRE(first.reports_.size() == 1);
  // In flight: not sent twice.
  CHECK_FALSE(HasReportsToSend(workers, kNow));
  // Lost: sent again.
  OnUpdateLost(workers, first);
  const WorkerUpdate second = BuildWorkerUpdate(workers, kNow);
  REQUIRE(second.reports_.size() == 1);
  // Changed while in flight: the acknowledgement is for the older one.
  ApplyAnnouncement(workers, Whole("w", 1, 2), kNow);
  OnUpdateAnswered(workers, second, {WorkerId("w")});
  const WorkerUpdate third = BuildWorkerUpdate(workers, kNow);
  REQUIRE(third.reports_.size() == 1);
  CHECK(third.reports_[0].sequence_ == 2);
  OnUpdateAnswered(workers, third, {WorkerId("w")});
  CHECK_FALSE(HasReportsToSend(workers, kNow));
  // A new leader asks for everything.
  ResendAll(workers);
  CHECK(BuildWorkerUpdate(workers, kNow).reports_.size() == 1);
}

TEST_CASE("unchanged workers aren't sent; silence is sent until confirmed") {
  EntryWorkers workers;
  ApplyAnnouncement(workers, Whole("w", 1, 1), kNow);
  const WorkerUpdate update = BuildWorkerUpdate(workers, kNow);
  OnUpdateAnswered(workers, update, {WorkerId("w")});

  const std::vector<WorkerId> only = {WorkerId("w")};
  Time now = kNow + Duration(1000);
  ApplyAnnouncement(workers, Short("w", 1, 1), now);
  const WorkerUpdate unchanged = BuildWorkerUpdate(workers, now);
  CHECK(unchanged.alive_.empty());
  CHECK(unchanged.reports_.empty());
  CHECK(unchanged.silent_.empty());

  // A silent worker is reported until an answer confirms it, also after lost
  // exchanges, and is kept until then.
  now = now + SilentAfter(workers);
  const WorkerUpdate silent = BuildWorkerUpdate(workers, now);
  CHECK(silent.silent_ == only);
  OnUpdateLost(workers, silent);
  now = now + workers.options_.forget_after_;
  RemoveSilentWorkers(workers, now);
  const WorkerUpdate again = BuildWorkerUpdate(workers, now);
  CHECK(again.silent_ == only);
  OnUpdateAnswered(workers, again, {});
  CHECK(BuildWorkerUpdate(workers, now).silent_.empty());

  // A worker that returns is reported as alive until confirmed.
  ApplyAnnouncement(workers, Short("w", 1, 1), now);
  const WorkerUpdate returned = BuildWorkerUpdate(workers, now);
  CHECK(returned.alive_ == only);
  OnUpdateLost(workers, returned);
  CHECK(BuildWorkerUpdate(workers, now).alive_ == only);

  // A new leader must not take an old report as evidence of a live worker.
  now = now + SilentAfter(workers);
  ResendAll(workers);
  CHECK_FALSE(HasReportsToSend(workers, now));
  const WorkerUpdate none = BuildWorkerUpdate(workers, now);
  CHECK(none.alive_.empty());
  CHECK(none.reports_.empty());
  OnUpdateAnswered(workers, none, {});
  RemoveSilentWorkers(workers, now + workers.options_.forget_after_);
  CHECK(workers.workers_.empty());
}

TEST_CASE("an answer confirms only the status sent last") {
  EntryWorkers workers;
  ApplyAnnouncement(workers, Whole("w", 1, 1), kNow);
  OnUpdateAnswered(workers, BuildWorkerUpdate(workers, kNow), {WorkerId("w")});
  Time now = kNow + SilentAfter(workers);
  const WorkerUpdate silent = BuildWorkerUpdate(workers, now);
  ApplyAnnouncement(workers, Short("w", 1, 1), now);
  const WorkerUpdate alive = BuildWorkerUpdate(workers, now);
  REQUIRE(alive.alive_.size() == 1);
  // The older exchange is answered; the newer one may have arrived.
  OnUpdateAnswered(workers, silent, {});
  OnUpdateLost(workers, alive);
  now = now + SilentAfter(workers);
  CHECK(BuildWorkerUpdate(workers, now).silent_.size() == 1);
}

TEST_CASE("the interval grows with the workers up to a lease fraction") {
  EntryWorkers workers;
  UpdateInterval(workers, Duration(10'000));
  CHECK(workers.interval_ == workers.options_.announce_interval_);
  for (int i = 0; i < 30; ++i) {
    ApplyAnnouncement(workers, Whole(std::to_string(i), 1, 1), kNow);
  }
  UpdateInterval(workers, Duration(10'000));
  const std::int64_t bytes = std::int64_t{30} * kAnnouncementBytes;
  CHECK(bytes * 1000 / workers.interval_.ms() <=
        workers.options_.announce_bytes_per_second_);
  UpdateInterval(workers, Duration(4'000));
  CHECK(workers.interval_ == Duration(1'000));
}

TEST_CASE("workers and reports in one exchange are bounded") {
  EntryWorkers workers;
  workers.options_.max_workers_ = 3;
  workers.options_.max_reports_ = 2;
  for (const char* name : {"a", "b", "c"}) {
    ApplyAnnouncement(workers, Whole(name, 1, 1), kNow);
  }
  CHECK(ApplyAnnouncement(workers, Whole("d", 1, 1), kNow) ==
        AnnounceOutcome::kFull);
  CHECK(BuildWorkerUpdate(workers, kNow).reports_.size() == 2);
  CHECK(BuildWorkerUpdate(workers, kNow).reports_.size() == 1);
}

}  // namespace
}  // namespace flamingohollow
