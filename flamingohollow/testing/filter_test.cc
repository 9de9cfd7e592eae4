// Tests of the filter chain and of the parsers that it uses.

#include "flamingohollow/filter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace flamingohollow {
namespace {

constexpr Time kNow = Time(100000);
const char* const kSubmitBody =
    R"({"customer": "acme", "accelerators": 16, "adjacency": "rack",
        "run_ms": 1000, "idempotent": true})";

Identities TestIdentities() {
  return MakeIdentities({{"operator-token-000", TokenRole::kOperator, "op"},
                         {"worker-token-00000", TokenRole::kWorker, "workers"},
                         {"acme-token-0000000", TokenRole::kCustomer, "acme"}},
                        7);
}

// A request and the result of the traffic filters for it.
struct FilterRun {
  FilterResult result_;
  PendingRequest pending_;
};

FilterRun RunFilters(const std::string& method, const std::string& target,
                     const std::string& token, const std::string& body = "",
                     const std::string& trace_parent = "") {
  static const Identities identities = TestIdentities();
  FilterRun filter_run;
  HttpRequest& request = filter_run.pending_.request_;
  request.method_ = method;
  request.target_ = target;
  request.authorization_ = "Bearer " + token;
  request.idempotency_key_ = "r-1";
  request.trace_parent_ = trace_parent;
  request.body_ = body;
  const TrafficContext context{identities, 1000, 12345, Time(1)};
  filter_run.result_ = FilterTraffic(context, filter_run.pending_);
  return filter_run;
}

unsigned StatusOf(const FilterRun& filter_run) {
  return filter_run.result_.has_value() ? filter_run.result_->status_ : 0;
}

EntryTable LeasedTable(double max_rate) {
  EntryTable table;
  table.confirmed_ = true;
  table.lease_until_ = kNow + Duration(1000);
  Row row;
  row.customer_ = CustomerId("acme");
  row.max_rate_ = max_rate;
  table.table_.rows_[row.customer_] = row;
  return table;
}

TEST_CASE("with a wrong token all requests get the same answer") {
  const std::vector<std::string> targets = {
      "/v1/jobs", "/v1/jobs/17", "/v1/table", "/no/such/path", "/v1/init", ""};
  std::vector<std::string> bodies;
  for (const std::string& target : targets) {
    for (const char* method : {"GET", "POST", "DELETE"}) {
      for (const char* body : {"", "{", kSubmitBody}) {
        const FilterRun filter_run =
            RunFilters(method, target, "wrong-token", body);
        REQUIRE(StatusOf(filter_run) == 401);
        bodies.push_back(filter_run.result_->body_);
      }
    }
  }
  for (const std::string& body : bodies) CHECK(body == bodies[0]);
}

TEST_CASE("all fields of a submission are parsed") {
  const FilterRun filter_run = RunFilters("POST", "/v1/jobs?wait_ms=50",
                                          "acme-token-0000000", kSubmitBody);
  REQUIRE(StatusOf(filter_run) == 0);
  const ParsedRequest& parsed = filter_run.pending_.parsed_;
  CHECK(parsed.wait_ == Duration(50));
  CHECK(parsed.call_.kind_ == CallKind::kSubmit);
  CHECK(parsed.call_.on_behalf_of_ == CustomerId("acme"));
  CHECK(parsed.call_.spec_.request_id_ == RequestId("r-1"));
  CHECK(parsed.call_.spec_.accelerators_ == Accelerators(16));
  CHECK(parsed.call_.spec_.adjacency_ == Adjacency::kRack);
  CHECK(parsed.call_.spec_.idempotent_);
  CHECK_FALSE(parsed.call_.spec_.urgent_);
}

TEST_CASE("each role may make only its own calls") {
  const std::string other = R"({"customer": "zenith", "accelerators": 1})";
  const std::string customer = "acme-token-0000000";
  const std::string operator_token = "operator-token-000";
  const std::string worker = "worker-token-00000";
  CHECK(StatusOf(RunFilters("POST", "/v1/jobs", customer, other)) == 403);
  CHECK(StatusOf(RunFilters("POST", "/v1/jobs", operator_token, other)) == 0);
  CHECK(StatusOf(RunFilters("GET", "/v1/jobs/17", customer)) == 0);
  CHECK(StatusOf(RunFilters("DELETE", "/v1/jobs/17", customer)) == 0);
  for (const char* target :
       {"/v1/table", "/v1/table/status", "/v1/status", "/v1/workers",
        "/v1/table/history", "/v1/evacuations"}) {
    CHECK(StatusOf(RunFilters("GET", target, customer)) == 403);
    CHECK(StatusOf(RunFilters("GET", target, worker)) == 403);
    CHECK(StatusOf(RunFilters("GET", target, operator_token)) == 0);
  }
  CHECK(StatusOf(RunFilters("POST", "/v1/init", customer)) == 403);
  for (const char* method : {"POST", "DELETE"}) {
    const std::string target = "/v1/evacuations/north";
    CHECK(StatusOf(RunFilters(method, target, customer)) == 403);
    CHECK(StatusOf(RunFilters(method, target, operator_token)) == 0);
  }
  CHECK(StatusOf(RunFilters("POST", "/v1/workers/announce", customer, "{}")) ==
        403);
  CHECK(StatusOf(RunFilters("POST", "/v1/workers/announce", operator_token,
                            "{}")) == 403);
  CHECK(StatusOf(RunFilters("POST", "/v1/workers/announce", worker, "{}")) ==
        0);
  CHECK(StatusOf(RunFilters("GET", "/v1/jobs/17", worker)) == 403);
  for (const char* target : {"/metrics", "/healthz", "/readyz"}) {
    CHECK(StatusOf(RunFilters("GET", target, "none")) == 0);
  }
}

TEST_CASE("a refused request names what is wrong with it") {
  struct Case {
    const char* method_;
    const char* target_;
    const char* body_;
    unsigned status_;
    const char* named_;
  };
  const std::vector<Case> cases = {
      {"POST", "/v1/jobs", "{", 400, "JSON"},
      {"POST", "/v1/jobs", "[]", 400, "object"},
      {"POST", "/v1/jobs", R"({"accelerators": 1})", 400, "customer"},
      {"POST", "/v1/jobs", R"({"customer": "c"})", 400, "accelerators"},
      {"POST", "/v1/jobs", R"({"customer": "c", "accelerators": 0})", 400,
       "accelerators"},
      {"POST", "/v1/jobs", R"({"customer": "c", "accelerators": -1})", 400,
       "accelerators"},
      {"POST", "/v1/jobs", R"({"customer": "c", "accelerators": 1, "x": 1})",
       400, "\\\"x\\\""},
      {"POST", "/v1/jobs",
       R"({"customer": "c", "accelerators": 1, "adjacency": "moon"})", 400,
       "adjacency"},
      {"POST", "/v1/jobs",
       R"({"customer": "c", "accelerators": 1, "urgent": 1})", 400, "urgent"},
      {"POST", "/v1/jobs",
       R"({"customer": "c", "accelerators": 1, "run_ms": -5})", 400, "run_ms"},
      {"POST", "/v1/jobs?wait=5", kSubmitBody, 400, "wait"},
      {"POST", "/v1/jobs?wait_ms=x", kSubmitBody, 400, "wait_ms"},
      {"GET", "/v1/table?wait_ms=5", "", 400, "wait_ms"},
      {"GET", "/v1/jobs/abc", "", 400, "abc"},
      {"GET", "/v1/jobs/0", "", 400, "job id"},
      {"GET", "/v1/jobs/99999999999999999999", "", 400, "job id"},
      {"GET", "/v1/nothing", "", 404, "path"},
      {"GET", "/v1/jobs/1/2", "", 404, "path"},
      {"PUT", "/v1/jobs", "", 405, "PUT"},
      {"POST", "/v1/table/changes", R"({"base_version": 1, "row": []})", 400,
       "row"},
      {"POST", "/v1/voters", R"({"name": "n"})", 400, "address"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.target_);
    CAPTURE(c.body_);
    const FilterRun filter_run =
        RunFilters(c.method_, c.target_, "operator-token-000", c.body_);
    REQUIRE(StatusOf(filter_run) == c.status_);
    CHECK(filter_run.result_->body_.find(c.named_) != std::string::npos);
  }
  const std::string big(1001, ' ');
  CHECK(StatusOf(RunFilters("POST", "/v1/jobs", "acme-token-0000000", big)) ==
        413);
}

TEST_CASE("corrupted requests are parsed or rejected, never fatal") {
  rc::check([] {
    std::string body = kSubmitBody;
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto index = *rc::gen::inRange<std::size_t>(0, body.size());
      body[index] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    const auto target = "/v1/" + *rc::gen::arbitrary<std::string>();
    for (const std::string& to : {std::string("/v1/jobs"), target}) {
      const FilterRun filter_run =
          RunFilters("POST", to, "operator-token-000", body);
      const unsigned status = StatusOf(filter_run);
      RC_ASSERT(status == 0 || (status >= 400 && status <= 413));
    }
  });
}

TEST_CASE("an external trace is continued; otherwise the job's is used") {
  const std::string external =
      "00-0123456789abcdef0123456789abcdef-00000000000000aa-01";
  FilterRun filter_run = RunFilters("POST", "/v1/jobs", "acme-token-0000000",
                                    kSubmitBody, external);
  CHECK(filter_run.pending_.span_.parent_ == 0xaa);
  const auto passed =
      ParseTraceParent(filter_run.pending_.parsed_.call_.trace_parent_);
  REQUIRE(passed.has_value());
  CHECK(passed->trace_high_ == 0x0123456789abcdef);
  CHECK(passed->span_ != 0xaa);

  filter_run =
      RunFilters("POST", "/v1/jobs", "acme-token-0000000", kSubmitBody);
  const TraceContext job = JobTrace(CustomerId("acme"), RequestId("r-1"));
  CHECK(filter_run.pending_.span_.context_.trace_high_ == job.trace_high_);
  CHECK(filter_run.pending_.span_.parent_ == job.span_);

  for (const char* bad :
       {"", "00", "00-0123456789abcdef0123456789abcdeg-00000000000000aa-01",
        "00-00000000000000000000000000000000-00000000000000aa-01",
        "00-0123456789abcdef0123456789abcdef-0000000000000000-01",
        "01-0123456789abcdef0123456789abcdef-00000000000000aa-01"}) {
    CHECK_FALSE(ParseTraceParent(bad).has_value());
  }
}

TEST_CASE("new work needs a lease, everything else does not") {
  RateLimits limits;
  EntryTable table = LeasedTable(10);
  FilterRun submit =
      RunFilters("POST", "/v1/jobs", "acme-token-0000000", kSubmitBody);
  FilterRun show = RunFilters("GET", "/v1/jobs/17", "acme-token-0000000");
  CHECK_FALSE(FilterState({table, limits, kNow}, submit.pending_).has_value());
  const Time after = table.lease_until_;
  const FilterResult refused =
      FilterState({table, limits, after}, submit.pending_);
  REQUIRE(refused.has_value());
  CHECK(refused->status_ == 503);
  CHECK(refused->retry_after_ > Duration(0));
  CHECK_FALSE(FilterState({table, limits, after}, show.pending_).has_value());
}

TEST_CASE("a customer's rate limit holds and sets a retry delay") {
  RateLimits limits;
  const EntryTable table = LeasedTable(4);
  FilterRun submit =
      RunFilters("POST", "/v1/jobs", "acme-token-0000000", kSubmitBody);
  const auto submit_at = [&](Time now) {
    return FilterLimits({table, limits, now}, submit.pending_);
  };
  for (int i = 0; i < 4; ++i) CHECK_FALSE(submit_at(kNow).has_value());
  const FilterResult refused = submit_at(kNow);
  REQUIRE(refused.has_value());
  CHECK(refused->status_ == 429);
  CHECK(refused->retry_after_ == Duration(250));
  CHECK(submit_at(kNow + Duration(249)).has_value());
  CHECK_FALSE(submit_at(kNow + Duration(250)).has_value());
  // A row that allows no submissions refuses all.
  Row row;
  CHECK(TakeToken(limits, row, kNow) == kNoRateRetryAfter);
  RemoveStaleBuckets(limits, Table());
  CHECK(limits.buckets_.empty());
}

}  // namespace
}  // namespace flamingohollow
