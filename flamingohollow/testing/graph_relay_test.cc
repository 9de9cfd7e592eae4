// Tests what the relay tells callers about calls that may have taken effect.

#include "flamingohollow/graph_relay.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "flamingohollow/rpc.h"
#include "util/io_threads.h"
#include "util/pack.h"

namespace flamingohollow {
namespace {

constexpr Duration kSearchLimit(150);
constexpr Duration kLimit(400);
constexpr std::uint64_t kMaxBytes = 1024 * 1024;
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
        *rpc_, threads_, std::move(seeds), kMaxBytes,
        [this](const GraphCall& call, const GraphReplyCallback& done) {
          age_ = call.age_.value_or(CallAge());
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
    return Start(kind, "", limit).get().outcome_;
  }

  std::future<GraphReply> Start(GraphCallKind kind, const std::string& payload,
                                Duration limit = kLimit) {
    auto reply = std::make_shared<std::promise<GraphReply>>();
    threads_.Post(0, [this, kind, payload, limit, reply] {
      GraphCall call;
      call.kind_ = kind;
      call.spec_.emplace().payload_ = payload;
      relay_->Call(std::move(call), kSearchLimit, limit,
                   [reply](const GraphReply& r) { reply->set_value(r); });
    });
    return reply->get_future();
  }

  // What the last call said of its age.
  const CallAge& age() const { return age_; }

  void EndBy(Time end) {
    threads_.Post(0, [this, end] { relay_->EndBy(end); });
  }

 private:
  std::vector<GraphReply> replies_;
  std::size_t next_ = 0;
  CallAge age_;
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

// Guards against a call that is younger on the leader's clock than it is.
TEST_CASE("the leader gets the time of a call's arrival on its own clock") {
  constexpr Time kLeaderTime(5'000'000);
  GraphReply reply = ReplyOf(GraphOutcome::kOk, Term(3));
  reply.leader_time_ = kLeaderTime;
  RelayFixture fixture({reply, reply});
  CHECK(fixture.Submit() == GraphOutcome::kOk);
  CHECK(fixture.age().term_ == Term());
  const Time before = MonotonicNow();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(fixture.Submit() == GraphOutcome::kOk);
  const Duration most = MonotonicNow() - before + Duration(50);
  CHECK(fixture.age().term_ == Term(3));
  CHECK(fixture.age().arrived_ >= kLeaderTime + Duration(50));
  CHECK(fixture.age().arrived_ <= kLeaderTime + most);
  CHECK(fixture.age().patience_ == kLimit);
}

// A new leader can't tell the age by its predecessor's clock.
TEST_CASE("a call whose age the leader doesn't know is sent again at once") {
  std::atomic<int> calls = 0;
  auto leader = RpcNode::Create(
      "127.0.0.1:0",
      [&calls](RpcKind, const std::string& body, const RpcResponder& respond) {
        ++calls;
        const auto call = Unpack<GraphCall>(body);
        const bool known = call->age_->term_ == Term(4);
        GraphReply reply = ReplyOf(
            known ? GraphOutcome::kOk : GraphOutcome::kUnavailable, Term(4));
        reply.leader_time_ = Time(7000);
        respond(Pack(reply));
      });
  REQUIRE(leader);
  GraphReply not_leader = ReplyOf(GraphOutcome::kNotLeader, Term());
  not_leader.leader_address_ = "127.0.0.1:" + std::to_string((*leader)->port());
  RelayFixture fixture({not_leader});
  CHECK(fixture.Submit() == GraphOutcome::kOk);
  CHECK(calls == 2);
}

// Guards against callers that make the process run out of memory.
TEST_CASE("calls that would hold too much together are refused at once") {
  const GraphReply lost = ReplyOf(GraphOutcome::kUnknown, Term());
  const GraphReply ok = ReplyOf(GraphOutcome::kOk, Term(3));
  RelayFixture fixture({lost, ok, ok});
  const std::string large(kMaxBytes / 2, 'x');
  // Alone, a call may hold more.
  auto first = fixture.Start(GraphCallKind::kSubmit, large);
  const GraphReply second = fixture.Start(GraphCallKind::kSubmit, large).get();
  CHECK(second.outcome_ == GraphOutcome::kUnavailable);
  CHECK(second.retry_after_ > Duration(0));
  CHECK(first.get().outcome_ == GraphOutcome::kUnknown);
  // What it held is free again.
  CHECK(fixture.Start(GraphCallKind::kSubmit, large).get().outcome_ ==
        GraphOutcome::kOk);
  CHECK(fixture.Submit() == GraphOutcome::kOk);
}

// Guards against a request that gets no answer while this node leads without a
// majority or a disk.
TEST_CASE("a call that this node doesn't answer ends by its limit") {
  IoThreads threads(1);
  auto rpc = RpcNode::Create(
      "", [](RpcKind, const std::string&, const RpcResponder&) {});
  REQUIRE(rpc);
  GraphReplyCallback held;
  GraphRelay relay(**rpc, threads, {}, kMaxBytes,
                   [&held](const GraphCall&, const GraphReplyCallback& done) {
                     held = done;
                   });
  std::promise<GraphOutcome> outcome;
  std::promise<void> answered_late;
  threads.Post(0, [&] {
    relay.Call(GraphCall(), kSearchLimit, kLimit, [&](const GraphReply& reply) {
      outcome.set_value(reply.outcome_);
    });
  });
  CHECK(outcome.get_future().get() == GraphOutcome::kUnknown);
  threads.Post(0, [&] {
    held(ReplyOf(GraphOutcome::kOk, Term(3)));
    answered_late.set_value();
  });
  answered_late.get_future().wait();
  threads.Stop();
}

// Guards against a process that ends as a call is answered a second time.
TEST_CASE("an answer and the limit of a call may come at the same time") {
  IoThreads threads(1);
  auto rpc = RpcNode::Create(
      "", [](RpcKind, const std::string&, const RpcResponder&) {});
  REQUIRE(rpc);
  boost::asio::steady_timer late(threads.Loop(0));
  GraphRelay relay(**rpc, threads, {}, kMaxBytes,
                   [&late](const GraphCall&, const GraphReplyCallback& done) {
                     late.expires_after(std::chrono::milliseconds(20));
                     late.async_wait([done](boost::system::error_code) {
                       done(ReplyOf(GraphOutcome::kUnknown, Term()));
                     });
                   });
  std::atomic<int> answers{0};
  std::promise<void> called;
  threads.Post(0, [&] {
    relay.Call(GraphCall(), Duration(30), Duration(30),
               [&](const GraphReply&) { ++answers; });
    // Both timers have expired when the loop looks at them.
    std::this_thread::sleep_for(std::chrono::milliseconds(80));
    called.set_value();
  });
  called.get_future().wait();
  std::this_thread::sleep_for(std::chrono::milliseconds(kRelayPause.ms() * 4));
  CHECK(answers == 1);
  threads.Stop();
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
