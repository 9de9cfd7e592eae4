// The story of a request from log lines.

#include "flamingohollow/explain.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace flamingohollow {
namespace {

std::vector<LogLine> Parse(const std::vector<std::string>& texts) {
  std::vector<LogLine> lines;
  for (const std::string& text : texts) {
    const auto line = ParseLogLine(text);
    REQUIRE(line.has_value());
    lines.push_back(*line);
  }
  return lines;
}

TEST_CASE("lines are read with quoted values, others passed over") {
  const auto line = ParseLogLine(
      "  1.5 core-1 ts=17 process=core-1 event=stop_attempt "
      "why=\"more \\\"urgent\\\" work\" attempt=a.0.0.0#1");
  REQUIRE(line.has_value());
  CHECK_EQ(line->unix_ms_, 17);
  CHECK_EQ(line->event_, "stop_attempt");
  CHECK_EQ(line->fields_.at("why"), "more \"urgent\" work");
  CHECK_FALSE(ParseLogLine("some text").has_value());
  CHECK_FALSE(ParseLogLine("ts=x event=a").has_value());
  CHECK_FALSE(ParseLogLine("ts=5 process=a").has_value());
}

const std::string kLostEnd =
    "ts=40 process=c event=attempt_end attempt=J.0.0.0#1 worker=w "
    "end=lost dropped_before=3";
const std::string kLostWorker =
    "ts=30 process=c event=worker_lost worker=w life=1 runs=1 "
    "why=\"its lease is over\"";
const std::string kOtherWorker =
    "ts=31 process=c event=worker_lost worker=other life=1 runs=1 "
    "why=\"it left\"";

TEST_CASE("a job that lost its worker") {
  const Story story = Explain(
      Parse(
          {kLostEnd, "ts=10 process=c event=accept job=J queue=q catalog=1",
           "ts=20 process=c event=place attempt=J.0.0.0#1 tasks=1 workers=u,w",
           kLostWorker, kOtherWorker,
           "ts=50 process=c event=place attempt=J.0.0.0#2 worker=v",
           "ts=45 process=d event=leader term=4 catalog=1 jobs=3"}),
      "J");
  CHECK_EQ(story.cause_,
           "accepted by c, first placed after 10 ms; 2 attempts, 1 lost");
  CHECK_EQ(story.dropped_, 3);
  REQUIRE_EQ(story.lines_.size(), 6);
  CHECK_EQ(story.lines_[2].event_, "worker_lost");
  CHECK_EQ(story.lines_[4].event_, "leader");
}

TEST_CASE("a request refused at the entry, and one that nobody saw") {
  const auto lines = Parse(
      {"ts=10 process=edge-1 event=answer path=/p/J status=503 "
       "why=\"no leader of the control group answers\" term=0 catalog=0"});
  CHECK_EQ(Explain(lines, "J").cause_,
           "answered 503 by edge-1: no leader of the control group answers");
  CHECK_EQ(Explain(lines, "K").cause_, "no line names it");
}

const std::string kEndOfA =
    "ts=4 process=c event=job_end job=A queue=q outcome=completed "
    "late_ms=1500 cause=preempted preempted=2";
const std::string kEndOfAByNextLeader =
    "ts=5 process=d event=job_end job=A queue=q outcome=completed "
    "late_ms=2500 cause=preempted preempted=3";
const std::string kEndOfB =
    "ts=6 process=c event=job_end job=B queue=q outcome=completed "
    "late_ms=-20 cause=none preempted=1";

TEST_CASE("delays are summed by queue, outcome and cause, each job once") {
  const auto rows =
      SumDelays(Parse({"ts=1 process=c event=accept job=A queue=q catalog=1",
                       "ts=2 process=c event=accept job=B queue=q catalog=1",
                       "ts=3 process=c event=accept job=C queue=q catalog=1",
                       kEndOfA, kEndOfAByNextLeader, kEndOfB}));
  REQUIRE_EQ(rows.size(), 3);
  CHECK_EQ(rows[0].cause_, "none");
  CHECK_EQ(rows[0].late_ms_, 0);
  CHECK_EQ(rows[1].cause_, "preempted");
  CHECK_EQ(rows[1].jobs_, 1);
  CHECK_EQ(rows[1].preempted_, 3);
  CHECK_EQ(rows[1].late_ms_, 2500);
  CHECK_EQ(rows[2].outcome_, "open");
}

}  // namespace
}  // namespace flamingohollow
