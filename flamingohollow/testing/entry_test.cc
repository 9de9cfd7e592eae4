// Tests of a whole entry on loopback, with stub control processes.

#include "flamingohollow/entry.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "flamingohollow/entry_core.h"
#include "flamingohollow/http_server.h"
#include "flamingohollow/testing/raw_client.h"
#include "flamingohollow/testing/stub_control.h"
#include "flamingohollow/worker_json.h"

namespace flamingohollow {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);
constexpr Duration kLongLease = Duration(60000);
const char* const kToken = "operator-token-000";
const char* const kWorkerToken = "worker-token-00000";
const char* const kSubmit = R"({"customer": "acme", "accelerators": 1})";

// Waits until `done`; false after kWaitTimeout.
bool Await(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

std::unique_ptr<EntryServer> MakeEntry(std::vector<std::string> controls,
                                       Duration drain = Duration(10000)) {
  Settings settings;
  settings.name_ = NodeName("entry-0");
  settings.http_ = "127.0.0.1:0";
  settings.controls_ = std::move(controls);
  settings.limits_.drain_ = drain;
  auto server = EntryServer::Create(
      settings, {{kToken, TokenRole::kOperator, "operator"},
                 {kWorkerToken, TokenRole::kWorker, "workers"}});
  REQUIRE(server);
  return std::move(*server);
}

std::string Request(const std::string& method, const std::string& target,
                    const std::string& body, const std::string& headers) {
  return RawRequest(method, target,
                    std::string("Authorization: Bearer ") + kToken + "\r\n" +
                        "Idempotency-Key: r-1\r\n" + headers,
                    body);
}

// Sends one request on a connection of its own and returns the whole answer.
std::string AskPort(std::uint16_t port, const std::string& method,
                    const std::string& target, const std::string& body = "") {
  RawClient client(port);
  client.Send(Request(method, target, body, "Connection: close\r\n"));
  return client.ReadAll();
}

std::string Ask(const EntryServer& entry, const std::string& method,
                const std::string& target, const std::string& body = "") {
  return AskPort(entry.port(), method, target, body);
}

bool IsReady(const EntryServer& entry) {
  return Contains(Ask(entry, "GET", "/readyz"), "HTTP/1.1 200");
}

// Answers every submission with a queued job.
void AnswerQueued(const CallRequest& request,
                  const StubControl::CallResponder& respond) {
  static_cast<void>(request);
  respond(JobAnswer(7, Outcome::kQueued));
}

TEST_CASE("an entry takes new work only under a lease") {
  StubControl control(AnswerQueued);
  const auto entry = MakeEntry({control.address()});
  CHECK(Contains(Ask(*entry, "GET", "/healthz"), "HTTP/1.1 200"));
  CHECK_FALSE(IsReady(*entry));
  const std::string refused = Ask(*entry, "POST", "/v1/jobs", kSubmit);
  CHECK(Contains(refused, "HTTP/1.1 503"));
  CHECK(Contains(refused, "retry_after_ms"));

  control.SetAnswer(LeaderAnswer(Duration(300)));
  REQUIRE(Await([&] { return IsReady(*entry); }));
  CHECK(Contains(Ask(*entry, "POST", "/v1/jobs", kSubmit), "HTTP/1.1 202"));
  // Control lost its quorum: it answers but grants no further lease.
  control.SetAnswer(LeaderAnswer(Duration(0)));
  REQUIRE(Await([&] { return !IsReady(*entry); }));
  CHECK(Contains(Ask(*entry, "POST", "/v1/jobs", kSubmit), "HTTP/1.1 503"));
}

TEST_CASE("the entry follows a hint to the leader") {
  StubControl leader(AnswerQueued);
  leader.SetAnswer(LeaderAnswer(kLongLease));
  StubControl follower(
      [](const CallRequest&, const auto& respond) { respond(CallReply()); });
  ControlSync hint;
  hint.leader_address_ = leader.address();
  follower.SetAnswer(hint);
  const auto entry = MakeEntry({follower.address()});
  REQUIRE(Await([&] { return IsReady(*entry); }));
  CHECK(Contains(Ask(*entry, "POST", "/v1/jobs", kSubmit), "HTTP/1.1 202"));
}

TEST_CASE("a waiting caller is answered when the job ends") {
  StubControl control(AnswerQueued);
  control.SetAnswer(LeaderAnswer(kLongLease));
  const auto entry = MakeEntry({control.address()});
  REQUIRE(Await([&] { return IsReady(*entry); }));
  RawClient caller(entry->port());
  caller.Send(Request("POST", "/v1/jobs?wait_ms=60000", kSubmit, ""));
  REQUIRE(Await([&] {
    const auto syncs = control.Syncs();
    return !syncs.empty() &&
           syncs.back().watched_ == std::vector<JobId>{JobId(7)};
  }));
  ControlSync update = LeaderAnswer(kLongLease);
  update.jobs_ = {MakeJobView(7, Outcome::kCompleted)};
  control.SetAnswer(update);
  REQUIRE(caller.ReadUntil("\"outcome\":\"completed\""));
  const std::string answer = Ask(*entry, "GET", "/metrics");
  CHECK(Contains(answer, "flamingohollow_entry_waiting_callers 0"));
}

TEST_CASE("a submission whose answer is lost is sent again, init is not") {
  std::atomic<int> submits{0};
  std::atomic<int> inits{0};
  StubControl control([&](const CallRequest& request, const auto& respond) {
    if (request.kind_ == CallKind::kInit) {
      ++inits;
      return;
    }
    CHECK(request.spec_.request_id_ == RequestId("r-1"));
    // The first answer is lost.
    if (++submits > 1) respond(JobAnswer(7, Outcome::kQueued));
  });
  control.SetAnswer(LeaderAnswer(kLongLease));
  const auto entry = MakeEntry({control.address()});
  REQUIRE(Await([&] { return IsReady(*entry); }));
  CHECK(Contains(Ask(*entry, "POST", "/v1/jobs", kSubmit), "HTTP/1.1 202"));
  CHECK(submits == 2);
  const std::string unknown = Ask(*entry, "POST", "/v1/init");
  CHECK(Contains(unknown, "HTTP/1.1 504"));
  CHECK(Contains(unknown, "outcome_unknown"));
  CHECK(inits == 1);
}

// A worker that answers commands with its announcement.
struct TestWorker {
  TestWorker() {
    HttpServerOptions options;
    options.address_ = "127.0.0.1:0";
    auto created = HttpServer::Create(
        options, threads_,
        [this](const HttpRequest& request, const HttpResponder& respond) {
          const auto commands = ParseCommands(request.body_);
          if (commands) commands_ += static_cast<int>(commands->size());
          Announcement announcement = Announce(2);
          LeaseReport lease;
          lease.job_ = JobId(7);
          lease.attempt_ = AttemptId(1);
          announcement.report_.leases_ = {lease};
          respond({200, "application/json", WriteAnnouncement(announcement),
                   Duration(0)});
        });
    REQUIRE(created);
    server_ = std::move(*created);
  }

  Announcement Announce(std::uint64_t sequence) const {
    Announcement announcement;
    announcement.whole_ = true;
    WorkerReport& report = announcement.report_;
    report.worker_ = WorkerId("worker-0");
    report.incarnation_ = Incarnation(5);
    report.sequence_ = sequence;
    report.address_ = server_ == nullptr
                          ? "127.0.0.1:1"
                          : "127.0.0.1:" + std::to_string(server_->port());
    report.place_ = {Region("r"), FailureDomain("d"), Rack("k")};
    report.accelerators_ = Accelerators(8);
    report.slots_ = 8;
    report.connections_ = 60;
    return announcement;
  }

  ~TestWorker() { threads_.Stop(); }
  TestWorker(const TestWorker&) = delete;
  TestWorker& operator=(const TestWorker&) = delete;

  std::atomic<int> commands_{0};
  IoThreads threads_{1};
  std::unique_ptr<HttpServer> server_;
};

std::string AnnounceTo(const EntryServer& entry,
                       const Announcement& announcement) {
  RawClient client(entry.port());
  client.Send(RawRequest("POST", "/v1/workers/announce",
                         std::string("Authorization: Bearer ") + kWorkerToken +
                             "\r\nConnection: close\r\n",
                         WriteAnnouncement(announcement)));
  return client.ReadAll();
}

// Whether control got the worker's report with that sequence.
bool GotReport(const StubControl& control, std::uint64_t sequence) {
  for (const EntrySync& sync : control.Syncs()) {
    for (const WorkerReport& report : sync.reports_) {
      if (report.sequence_ == sequence) return true;
    }
  }
  return false;
}

TEST_CASE("announcements go to control, commands to workers and back") {
  TestWorker worker;
  StubControl control(AnswerQueued);
  control.SetAnswer(LeaderAnswer(kLongLease));
  const auto entry = MakeEntry({control.address()});
  REQUIRE(Await([&] { return IsReady(*entry); }));

  Announcement unchanged = worker.Announce(1);
  unchanged.whole_ = false;
  CHECK(Contains(AnnounceTo(*entry, unchanged), "\"known\":false"));
  const std::string known = AnnounceTo(*entry, worker.Announce(1));
  CHECK(Contains(known, "\"known\":true"));
  CHECK(Contains(known, "\"renew_ms\":10000"));
  REQUIRE(Await([&] { return GotReport(control, 1); }));

  ControlSync update = LeaderAnswer(kLongLease);
  WorkerCommand command;
  command.worker_ = WorkerId("worker-0");
  command.incarnation_ = Incarnation(5);
  command.address_ = worker.Announce(1).report_.address_;
  command.job_ = JobId(7);
  command.attempt_ = AttemptId(1);
  update.commands_ = {command};
  control.SetAnswer(update);
  REQUIRE(Await([&] { return GotReport(control, 2); }));
  CHECK(worker.commands_ == 1);
}

TEST_CASE("a graceful stop answers waiting callers and requests in flight") {
  std::mutex mutex;
  StubControl::CallResponder held;
  std::atomic<bool> has_held{false};
  StubControl control([&](const CallRequest& request, const auto& respond) {
    if (request.kind_ == CallKind::kSubmit) {
      return respond(JobAnswer(7, Outcome::kRunning));
    }
    const std::lock_guard lock(mutex);
    held = respond;
    has_held = true;
  });
  control.SetAnswer(LeaderAnswer(kLongLease));
  auto entry = MakeEntry({control.address()});
  const std::uint16_t port = entry->port();
  REQUIRE(Await([&] { return IsReady(*entry); }));
  RawClient waiting(entry->port());
  waiting.Send(Request("POST", "/v1/jobs?wait_ms=60000", kSubmit, ""));
  REQUIRE(Await([&] {
    const auto syncs = control.Syncs();
    return !syncs.empty() && !syncs.back().watched_.empty();
  }));
  RawClient in_flight(entry->port());
  in_flight.Send(Request("GET", "/v1/jobs/7", "", ""));
  REQUIRE(Await([&] { return has_held.load(); }));

  // Like the daemon, destroy everything once Stop has returned.
  std::thread stopping([&] {
    entry->Stop();
    entry.reset();
  });
  // The waiting caller gets the job's current state and may ask another entry.
  const std::string current = waiting.ReadAll();
  CHECK(Contains(current, "HTTP/1.1 202"));
  CHECK(Contains(current, "\"outcome\":\"running\""));
  CHECK(Contains(current, "\"job\":\"7\""));
  // The entry reports not ready but still serves new requests.
  CHECK(Contains(AskPort(port, "GET", "/readyz"), "HTTP/1.1 503"));
  CHECK(Contains(AskPort(port, "POST", "/v1/jobs", kSubmit), "HTTP/1.1 202"));
  {
    const std::lock_guard lock(mutex);
    held(JobAnswer(7, Outcome::kRunning));
  }
  CHECK(Contains(in_flight.ReadAll(), "\"job\":\"7\""));
  stopping.join();
}

TEST_CASE(
    "a graceful stop returns at its time limit if a call gets no answer") {
  std::atomic<bool> asked{false};
  StubControl control([&](const CallRequest&, const auto&) { asked = true; });
  control.SetAnswer(LeaderAnswer(kLongLease));
  auto entry = MakeEntry({control.address()}, Duration(100));
  REQUIRE(Await([&] { return IsReady(*entry); }));
  RawClient caller(entry->port());
  caller.Send(Request("POST", "/v1/jobs", kSubmit, ""));
  REQUIRE(Await([&] { return asked.load(); }));
  // Without the drain limit, the call would be retried for 5 s.
  const auto start = std::chrono::steady_clock::now();
  entry->Stop();
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(4));
  entry.reset();
  CHECK(Contains(caller.ReadAll(), "HTTP/1.1 504"));
}

TEST_CASE("calls over the limit in flight are refused at once") {
  std::mutex mutex;
  std::vector<StubControl::CallResponder> held;
  StubControl control([&](const CallRequest&, const auto& respond) {
    const std::lock_guard lock(mutex);
    held.push_back(respond);
  });
  control.SetAnswer(LeaderAnswer(kLongLease));
  const auto entry = MakeEntry({control.address()});
  REQUIRE(Await([&] { return IsReady(*entry); }));
  std::vector<std::unique_ptr<RawClient>> callers;
  for (std::uint64_t i = 0; i < kMaxCallsInFlight; ++i) {
    callers.push_back(std::make_unique<RawClient>(entry->port()));
    callers.back()->Send(Request("POST", "/v1/jobs", kSubmit, ""));
  }
  REQUIRE(Await([&] {
    const std::lock_guard lock(mutex);
    return held.size() == kMaxCallsInFlight;
  }));
  const std::string refused = Ask(*entry, "POST", "/v1/jobs", kSubmit);
  CHECK(Contains(refused, "HTTP/1.1 503"));
  CHECK(Contains(refused, "too many requests in flight"));
  CHECK(Contains(refused, "Retry-After"));
  {
    const std::lock_guard lock(mutex);
    for (const auto& respond : held) {
      respond(JobAnswer(7, Outcome::kQueued));
    }
  }
  // Each of those in flight gets its own answer.
  for (const auto& caller : callers) {
    CHECK(caller->ReadUntil("\"job\":\"7\""));
  }
}

}  // namespace
}  // namespace flamingohollow
