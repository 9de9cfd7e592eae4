// Tests of the JSON between entries and workers.

#include "flamingohollow/worker_json.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

WorkerReport SampleReport() {
  WorkerReport report;
  report.worker_ = WorkerId("worker-1");
  report.incarnation_ = Incarnation(1ULL << 60);
  report.sequence_ = 9;
  report.address_ = "127.0.0.1:9000";
  report.place_ = {Region("nam-bo"), FailureDomain("can-tho"), Rack("r1")};
  report.accelerators_ = Accelerators(8);
  report.slots_ = 8;
  report.connections_ = 60;
  report.state_ = WorkerState::kLeaving;
  report.leases_ = {{JobId(17), AttemptId(1), TaskIndex(0), Accelerators(8),
                     LeaseState::kFinished, "part \"one\""}};
  return report;
}

// The message of the error that parsing `text` as commands gives.
std::string CommandsError(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(ParseCommands(text));
        return std::string("no error");
      },
      [](const WorkerJsonError& error) { return error.message_; },
      [] { return std::string("another error"); });
}

TEST_CASE("announcements survive the trip, whole and short") {
  for (const bool whole : {true, false}) {
    const auto parsed =
        ParseAnnouncement(WriteAnnouncement({whole, SampleReport()}));
    REQUIRE(parsed);
    CHECK(parsed->whole_ == whole);
    CHECK(parsed->report_.incarnation_ == Incarnation(1ULL << 60));
    if (whole) CHECK(parsed->report_ == SampleReport());
  }
}

TEST_CASE("commands and replies survive the trip") {
  WorkerCommand command;
  command.kind_ = WorkerCommandKind::kStop;
  command.job_ = JobId(17);
  command.term_ = Term(3);
  command.lease_ = Duration(10000);
  command.request_id_ = RequestId("r");
  const auto commands = ParseCommands(WriteCommands({command}));
  REQUIRE(commands);
  REQUIRE(commands->size() == 1);
  CHECK(commands->front() == command);

  const auto reply = ParseAnnounceReply(
      WriteAnnounceReply({true, Duration(10000), {JobId(4)}, Duration(500)}));
  REQUIRE(reply);
  CHECK(reply->known_);
  CHECK(reply->excluded_ == std::vector<JobId>{JobId(4)});
  CHECK(reply->announce_after_ == Duration(500));
}

TEST_CASE("mistakes are named by their field") {
  CHECK(CommandsError("[]") == "the body is not a JSON object");
  CHECK(CommandsError(R"({"orders": []})") == "field \"orders\" is unknown");
  CHECK(CommandsError(R"({"commands": [{"kind": "jump"}]})") ==
        "field \"kind\" can't be \"jump\"");
  CHECK(CommandsError(R"({"commands": [{"kind": "stop"}]})") ==
        "field \"incarnation\" is missing");
}

}  // namespace
}  // namespace flamingohollow
