// Tests what the relay tells callers about calls that may have taken effect.

#include "flamingohollow/graph_relay.h"

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/rpc.h"
#include "util/io_threads.h"

namespace flamingohollow {
namespace {

constexpr Duration kSearchLimit(150);
constexpr Duration kLimit(400);
constexpr std::uint64_t kMaxBytes = 1024 * 1024;

GraphReply ReplyOf(GraphOutcome outcome, Term term) {
  GraphReply reply;
  reply.outcome_ = outcome;
  reply.term_ = term;
  return reply;
}

// A relay on a control node whose service gives `replies` in turn. No other
// node is known.
class RelayFixture {
 public:
  explicit RelayFixture(std::vector<GraphReply> replies)
      : replies_(std::move(replies)), threads_(1) {
    auto rpc = RpcNode::Create(
        "", [](RpcKind, const std::string&, const RpcResponder&) {});
    REQUIRE(rpc);
    rpc_ = std::move(*rpc);
    relay_ = std::make_unique<GraphRelay>(
        *rpc_, threads_, std::vector<std::string>(), kMaxBytes,
        [this](const GraphCall&, const GraphReplyCallback& done) {
          done(replies_.at(next_++));
        });
  }
  ~RelayFixture() { threads_.Stop(); }
  RelayFixture(const RelayFixture&) = delete;
  RelayFixture& operator=(const RelayFixture&) = delete;

  GraphOutcome Submit(Duration limit = kLimit) {
    return Start("", limit).get().outcome_;
  }

  std::future<GraphReply> Start(const std::string& payload,
                                Duration limit = kLimit) {
    auto reply = std::make_shared<std::promise<GraphReply>>();
    threads_.Post(0, [this, payload, limit, reply] {
      GraphCall call;
      call.kind_ = GraphCallKind::kSubmit;
      call.spec_.emplace().payload_ = payload;
      relay_->Call(std::move(call), kSearchLimit, limit,
                   [reply](const GraphReply& r) { reply->set_value(r); });
    });
    return reply->get_future();
  }

  void EndBy(Time end) {
    threads_.Post(0, [this, end] { relay_->EndBy(end); });
  }

 private:
  std::vector<GraphReply> replies_;
  std::size_t next_ = 0;
  IoThreads threads_;
  std::unique_ptr<RpcNode> rpc_;
  std::unique_ptr<GraphRelay> relay_;
};

TEST_CASE("a leader lost with the call pending leaves its outcome unknown") {
  // A leader that has lost its leadership answers without a term.
  RelayFixture fixture({ReplyOf(GraphOutcome::kOk, Term(3)),
                        ReplyOf(GraphOutcome::kUnknown, Term())});
  CHECK(fixture.Submit() == GraphOutcome::kOk);
  CHECK(fixture.Submit() == GraphOutcome::kUnknown);
}

TEST_CASE("a call accepted by a leader of an older term is not refused") {
  RelayFixture fixture({ReplyOf(GraphOutcome::kOk, Term(3)),
                        ReplyOf(GraphOutcome::kOk, Term(2))});
  CHECK(fixture.Submit() == GraphOutcome::kOk);
  CHECK(fixture.Submit() == GraphOutcome::kUnknown);
}

TEST_CASE("a call that no leader received is unavailable") {
  RelayFixture fixture({ReplyOf(GraphOutcome::kNotLeader, Term())});
  CHECK(fixture.Submit() == GraphOutcome::kUnavailable);
}

// Guards against callers that make the process run out of memory.
TEST_CASE("calls that would hold too much together are refused at once") {
  const GraphReply lost = ReplyOf(GraphOutcome::kUnknown, Term());
  const GraphReply ok = ReplyOf(GraphOutcome::kOk, Term(3));
  RelayFixture fixture({lost, ok, ok});
  const std::string large(kMaxBytes / 2, 'x');
  // Alone, a call may hold more.
  auto first = fixture.Start(large);
  const GraphReply second = fixture.Start(large).get();
  CHECK(second.outcome_ == GraphOutcome::kUnavailable);
  CHECK(second.retry_after_ > Duration(0));
  CHECK(first.get().outcome_ == GraphOutcome::kUnknown);
  // What it held is free again.
  CHECK(fixture.Start(large).get().outcome_ == GraphOutcome::kOk);
  CHECK(fixture.Submit() == GraphOutcome::kOk);
}

// Guards against a stop that cuts off calls with later limits.
TEST_CASE("no call lasts longer than the relay") {
  RelayFixture fixture({ReplyOf(GraphOutcome::kUnknown, Term()),
                        ReplyOf(GraphOutcome::kNotLeader, Term())});
  constexpr Duration kLongLimit(600000);
  fixture.EndBy(MonotonicNow() + kLimit);
  CHECK(fixture.Submit(kLongLimit) == GraphOutcome::kUnknown);
  CHECK(fixture.Submit(kLongLimit) == GraphOutcome::kUnavailable);
}

}  // namespace
}  // namespace flamingohollow
