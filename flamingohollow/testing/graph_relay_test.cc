// Tests what the relay tells callers about calls that may have taken effect.

#include "flamingohollow/graph_relay.h"

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <utility>
#include <vector>

#include "flamingohollow/rpc.h"
#include "util/io_threads.h"

namespace flamingohollow {
namespace {

constexpr Duration kSearchLimit(150);
constexpr Duration kLimit(400);

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
        *rpc_, threads_, std::vector<std::string>(),
        [this](const GraphCall&, const GraphReplyCallback& done) {
          done(replies_.at(next_++));
        });
  }
  ~RelayFixture() { threads_.Stop(); }
  RelayFixture(const RelayFixture&) = delete;
  RelayFixture& operator=(const RelayFixture&) = delete;

  GraphOutcome Submit(Duration limit = kLimit) {
    std::promise<GraphOutcome> outcome;
    threads_.Post(0, [this, limit, &outcome] {
      GraphCall call;
      call.kind_ = GraphCallKind::kSubmit;
      relay_->Call(std::move(call), kSearchLimit, limit,
                   [&outcome](const GraphReply& reply) {
                     outcome.set_value(reply.outcome_);
                   });
    });
    return outcome.get_future().get();
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
