// Tests which crashes of workers count against the tasks that were there.

#include "flamingohollow/worker_crashes.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "flamingohollow/testing/graph_fixture.h"

namespace flamingohollow::testing {
namespace {

constexpr Time kCrashed(1'000'000);
constexpr std::size_t kPoolSize = 12;

const TaskRef kTask{MakeKey(1), {}, {}, {}};

AttemptRef Attempt(std::uint32_t number) { return {kTask, AttemptId(number)}; }

CrashedWorker Crashed(const std::string& worker, Time at) {
  return {WorkerId(worker), WorkerIncarnation(1), PoolName("pool"), kPoolSize,
          at};
}

// Crashes a third of the pool, with nothing on these workers.
void CrashOthers(CrashLedger& ledger, Time at) {
  for (const char* worker : {"a", "b", "c", "d"}) {
    CountCrash(ledger, Crashed(worker, at), {});
  }
}

// Guards against sound jobs that were given up because their starts were lost
// on workers that had crashed already or were cut off.
TEST_CASE("a start that may have been lost in a wave is no evidence") {
  for (const bool began : {false, true}) {
    CAPTURE(began);
    CrashLedger ledger;
    for (std::uint32_t number = 1; number <= 5; ++number) {
      const Time at = kCrashed + Duration(20'000) * number;
      CrashOthers(ledger, at);
      NoteOpened(ledger, kTask, WorkerId("w"));
      if (began) NoteConfirmed(ledger, Attempt(number), WorkerId("w"));
      CountCrash(ledger, Crashed("w", at), {Attempt(number)});
    }
    const CrashHistory& history = ledger.histories_.at(kTask);
    CHECK_EQ(history.crashes_, 5);
    CHECK_EQ(history.begun_, began ? 5 : 0);
    CHECK_EQ(history.isolated_, 0);
    CHECK_EQ(VerdictOn(history), began ? Verdict::kGiveUp : Verdict::kGoOn);
  }
}

TEST_CASE("what had begun is known of attempts that were taken for lost") {
  for (const bool began : {false, true}) {
    CAPTURE(began);
    CrashLedger ledger;
    CrashOthers(ledger, kCrashed);
    NoteOpened(ledger, kTask, WorkerId("w"));
    if (began) NoteConfirmed(ledger, Attempt(1), WorkerId("w"));
    NoteEnded(ledger, Attempt(1), WorkerId("w"), WorkerIncarnation(1), true,
              kCrashed);
    CountCrash(ledger, Crashed("w", kCrashed), {});
    CHECK_EQ(ledger.histories_.at(kTask).begun_, began ? 1 : 0);
    CHECK(ledger.begun_.empty());
  }
}

// A task that began again and didn't crash its worker is not given up for that.
TEST_CASE("starts without a crash don't end a task") {
  CrashHistory history;
  history.crashes_ = history.begun_ = history.blamed_ = 3;
  history.extra_starts_ = 2;
  CHECK_EQ(VerdictOn(history), Verdict::kGoOn);
  history.crashes_ = 4;
  CHECK_EQ(VerdictOn(history), Verdict::kGiveUp);
}

}  // namespace
}  // namespace flamingohollow::testing
