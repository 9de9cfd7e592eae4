// What delayed a job, by how its time was spent.

#include "flamingohollow/job_trace.h"

#include <doctest/doctest.h>

namespace flamingohollow {
namespace {

// A job of one task with an estimate of 10 s and 20 s to spare.
GraphJob MakeJob() {
  GraphJob job;
  job.state_ = GraphJobState::kCompleted;
  job.terms_.slack_ = 2;
  job.terms_.objective_ = Duration(10'000);
  StepSpec step;
  step.tasks_ = 1;
  step.estimate_ = Duration(10'000);
  job.spec_.steps_.push_back(step);
  return job;
}

DelayCause CauseAt(const JobTrace& trace, const GraphJob& job, Time end) {
  return FindDelayCause(trace, MeasureTimes(trace, job, end), job);
}

TEST_CASE("a job's time is divided at its first and its newest attempt") {
  JobTrace trace;
  trace.queued_at_ = Time(1000);
  RecordOpened(trace, Time(3000));
  RecordOpened(trace, Time(8000));
  const JobTimes times = MeasureTimes(trace, MakeJob(), Time(20'000));
  CHECK_EQ(times.waited_, Duration(2000));
  CHECK_EQ(times.repeated_, Duration(5000));
  CHECK_EQ(times.ran_, Duration(12'000));
  CHECK_EQ(times.late_, Duration(-11'000));
  CHECK_EQ(trace.attempts_, 2);
}

TEST_CASE("the longest part of a late job's time is its cause") {
  GraphJob job = MakeJob();
  JobTrace trace;
  CHECK_EQ(CauseAt(trace, job, Time(30'000)), DelayCause::kNone);
  CHECK_EQ(CauseAt(trace, job, Time(31'000)), DelayCause::kWaited);
  RecordOpened(trace, Time(5000));
  CHECK_EQ(CauseAt(trace, job, Time(31'000)), DelayCause::kSlow);
  RecordOpened(trace, Time(25'000));
  trace.preempted_ = 2;
  trace.lost_ = 1;
  CHECK_EQ(CauseAt(trace, job, Time(31'000)), DelayCause::kPreempted);
  trace.lost_ = 3;
  CHECK_EQ(CauseAt(trace, job, Time(31'000)), DelayCause::kLost);
  trace.evacuated_ = 4;
  CHECK_EQ(CauseAt(trace, job, Time(31'000)), DelayCause::kEvacuated);
}

TEST_CASE("a failed job has a cause though it ended early") {
  GraphJob job = MakeJob();
  job.state_ = GraphJobState::kFailed;
  JobTrace trace;
  trace.failed_ = 2;
  CHECK_EQ(CauseAt(trace, job, Time(2000)), DelayCause::kFailed);
}

TEST_CASE("a scheduled job has no single objective") {
  GraphJob job = MakeJob();
  job.spec_.occurrences_ = 3;
  CHECK_EQ(CauseAt({}, job, Time(90'000)), DelayCause::kNone);
}

}  // namespace
}  // namespace flamingohollow
