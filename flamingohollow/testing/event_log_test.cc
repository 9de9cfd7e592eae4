// Log lines: their form, their bound, and a reader that stands still.

#include "util/event_log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "util/clock.h"

namespace flamingohollow {
namespace {

// Standard output goes into a pipe as long as this lives.
class CapturedOutput {
 public:
  CapturedOutput() : saved_(dup(STDOUT_FILENO)) {
    REQUIRE_EQ(pipe(ends_), 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    dup2(ends_[1], STDOUT_FILENO);
    StartEventLog("test");
  }
  ~CapturedOutput() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    close(ends_[0]);
    close(ends_[1]);
  }
  std::string Read() {
    std::string all;
    char buffer[4096];
    ssize_t got = 0;
    while ((got = read(ends_[0], buffer, sizeof(buffer))) > 0) {
      all.append(buffer, static_cast<std::size_t>(got));
    }
    return all;
  }

 private:
  int saved_;
  int ends_[2] = {-1, -1};
};

TEST_CASE("a line names the process, the event and its fields") {
  std::string text;
  {
    CapturedOutput output;
    LogEvent("accept", {{"job", "1f"}, {"why", "a \"b\"\nc"}, {"count", 3}});
    text = output.Read();
  }
  CHECK_NE(text.find(" process=test event=accept job=1f "
                     "why=\"a \\\"b\\\"\\nc\" count=3\n"),
           std::string::npos);
}

TEST_CASE("more lines than the bound are dropped and counted") {
  std::string text;
  const std::uint64_t before = DroppedLogLines();
  {
    CapturedOutput output;
    for (std::uint32_t i = 0; i < 3 * kMaxLogLinesPerSecond; ++i) {
      LogEvent("accept", {{"job", i}});
    }
    text = output.Read();
  }
  // The test may run over the end of a second.
  const auto lines = std::count(text.begin(), text.end(), '\n');
  CHECK_LE(lines, 2 * kMaxLogLinesPerSecond);
  CHECK_GE(DroppedLogLines() - before, kMaxLogLinesPerSecond);
}

TEST_CASE("details leave room for what decides a request") {
  // The bounds count by the second; other tests may have used this one up.
  const std::int64_t second = WallNow().ms() / 1000;
  while (WallNow().ms() / 1000 == second) usleep(1000);
  std::string text;
  {
    CapturedOutput output;
    for (std::uint32_t i = 0; i < 2 * kMaxLogLinesPerSecond; ++i) {
      LogDetail("place", {{"job", i}});
    }
    LogEvent("accept", {{"job", "1f"}});
    text = output.Read();
  }
  CHECK_NE(text.find("event=accept job=1f dropped_before="), std::string::npos);
}

TEST_CASE("a reader that stands still does not stop the process") {
  const std::uint64_t before = DroppedLogLines();
  const Time start = MonotonicNow();
  {
    const CapturedOutput output;
    const std::string large(3000, 'x');
    for (int i = 0; i < 200; ++i) LogEvent("accept", {{"job", large}});
  }
  CHECK_GT(DroppedLogLines(), before);
  CHECK_LT((MonotonicNow() - start).ms(), 1000);
}

}  // namespace
}  // namespace flamingohollow
