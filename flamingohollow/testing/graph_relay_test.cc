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
#include "util/pack.h"

namespace flamingohollow {
namespace {

constexpr Duration kSearchLimit(150);
constexpr Duration kLimit(400);
constexpr Duration kLongLimit(600000);

GraphReply ReplyOf(GraphOutcome outcome, Term term) {
  GraphReply reply;
  reply.outcome_ = outcome;
  reply.term_ = term;
  return reply;
}

// A relay on a control node whose service gives `replies` in turn. No other
// nodes than `seeds` are known.
class RelayFixture {
 public:
  explicit RelayFixture(std::vector<GraphReply> replies,
                        std::vector<std::string> seeds = {})
      : replies_(std::move(replies)), threads_(1) {
    auto rpc = RpcNode::Create(
        "", [](RpcKind, const std::string&, const RpcResponder&) {});
    REQUIRE(rpc);
    rpc_ = std::move(*rpc);
    relay_ = std::make_unique<GraphRelay>(
        *rpc_, threads_, std::move(seeds),
        [this](const GraphCall&, const GraphReplyCallback& done) {
          done(replies_.at(next_++));
        });
  }
  ~RelayFixture() { threads_.Stop(); }
  RelayFixture(const RelayFixture&) = delete;
  RelayFixture& operator=(const RelayFixture&) = delete;

  GraphOutcome Submit(Duration limit = kLimit) {
    return Send(GraphCallKind::kSubmit, limit);
  }

  GraphOutcome Send(GraphCallKind kind, Duration limit = kLimit) {
    std::promise<GraphOutcome> outcome;
    threads_.Post(0, [this, kind, limit, &outcome] {
      GraphCall call;
      call.kind_ = kind;
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
  fixture.EndBy(MonotonicNow() + kLimit);
  CHECK(fixture.Submit(kLongLimit) == GraphOutcome::kUnknown);
  CHECK(fixture.Submit(kLongLimit) == GraphOutcome::kUnavailable);
}

struct Answered {
  GraphCallKind kind_;
  GraphOutcome outcome_;
};

// The outcome of a call whose first attempt may have taken effect and whose
// second one is answered by another node.
GraphOutcome OutcomeAfterUnknown(const Answered& second) {
  auto leader = RpcNode::Create(
      "127.0.0.1:0",
      [second](RpcKind, const std::string&, const RpcResponder& respond) {
        respond(Pack(ReplyOf(second.outcome_, Term(1))));
      });
  REQUIRE(leader);
  RelayFixture fixture({ReplyOf(GraphOutcome::kUnknown, Term())},
                       {"127.0.0.1:" + std::to_string((*leader)->port())});
  return fixture.Send(second.kind_, kLongLimit);
}

// Guards against jobs that run though their callers were told 401 or 404, since
// a key or a queue was removed after an attempt whose answer was lost.
TEST_CASE("a refusal of a later attempt leaves the outcome unknown") {
  using enum GraphCallKind;
  using enum GraphOutcome;
  for (const Answered& second :
       std::vector<Answered>{{kSubmit, kUnavailable},
                             {kSubmit, kRefused},
                             {kSubmit, kBadKey},
                             {kSubmit, kNoQueue},
                             {kSubmit, kInvalid},
                             {kCancel, kBadKey},
                             {kCancel, kNoQueue},
                             {kEvacuate, kNoDomain},
                             {kReport, kInvalid},
                             {kPutCatalog, kUnavailable}}) {
    CAPTURE(static_cast<int>(second.kind_));
    CAPTURE(static_cast<int>(second.outcome_));
    CHECK(OutcomeAfterUnknown(second) == kUnknown);
  }
}

TEST_CASE("an answer that holds for every attempt is passed on") {
  using enum GraphCallKind;
  using enum GraphOutcome;
  for (const Answered& second :
       std::vector<Answered>{{kSubmit, kOk},
                             {kCancel, kNoJob},
                             {kPutCatalog, kInvalid},
                             {kRead, kNoJob},
                             {kRead, kBadKey},
                             {kRead, kNoQueue},
                             {kReadCatalog, kUnavailable},
                             {kReadEvacuations, kUnavailable}}) {
    CAPTURE(static_cast<int>(second.kind_));
    CAPTURE(static_cast<int>(second.outcome_));
    CHECK(OutcomeAfterUnknown(second) == second.outcome_);
  }
}

TEST_CASE("a refusal of the only attempt is passed on") {
  using enum GraphOutcome;
  for (const GraphOutcome refusal :
       {kUnavailable, kRefused, kBadKey, kNoQueue, kInvalid}) {
    CAPTURE(static_cast<int>(refusal));
    RelayFixture fixture({ReplyOf(refusal, Term())});
    CHECK(fixture.Submit() == refusal);
  }
}

}  // namespace
}  // namespace flamingohollow
