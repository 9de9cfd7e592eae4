// Carries out calls: attempts, also by way of other control nodes, with pauses
// until the deadline.

#include "flamingohollow/graph_relay.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "util/pack.h"

namespace flamingohollow {

namespace {

// Limit on redirects followed without a pause, as stale hints may form a cycle.
constexpr std::uint32_t kMaxRedirects = 4;

// Whether a call with this outcome may have taken effect, or may still do so.
bool MayHaveExecuted(GraphOutcome outcome) {
  return outcome == GraphOutcome::kOk || outcome == GraphOutcome::kUnknown;
}

bool IsRead(GraphCallKind kind) {
  return kind == GraphCallKind::kRead || kind == GraphCallKind::kReadCatalog ||
         kind == GraphCallKind::kReadEvacuations;
}

// Whether the outcome of a later attempt is true of the call even if an earlier
// one took effect. The keys, queues and workers by which leaders refuse a call
// change between attempts.
bool HoldsForAllAttempts(GraphCallKind kind, GraphOutcome outcome) {
  if (IsRead(kind)) return true;
  switch (outcome) {
    case GraphOutcome::kOk:
    case GraphOutcome::kUnknown:
    // The job is gone, whether it was cancelled or not.
    case GraphOutcome::kNoJob:
      return true;
    // Depends on the catalog alone, so every leader rejects it.
    case GraphOutcome::kInvalid:
      return kind == GraphCallKind::kPutCatalog;
    case GraphOutcome::kNotLeader:
    case GraphOutcome::kUnavailable:
    case GraphOutcome::kNoQueue:
    case GraphOutcome::kBadKey:
    case GraphOutcome::kRefused:
    case GraphOutcome::kNoDomain:
      return false;
  }
  return false;
}

}  // namespace

struct GraphRelay::Pending {
  // With its age by a leader's clock; `age_` is by this node's.
  GraphCall call_;
  std::string body_;
  CallAge age_;
  // What was known of the leader's clock when the call came.
  LeaderClock clock_;
  Time search_deadline_;
  Time deadline_;
  GraphReplyCallback done_;
  // An attempt may have taken effect, or may still do so.
  bool maybe_executed_ = false;
  // The address that did not answer the last attempt; empty if it answered.
  std::string unanswered_address_;
  std::uint32_t redirects_ = 0;
};

GraphRelay::GraphRelay(RpcNode& rpc, IoThreads& threads,
                       std::vector<std::string> seeds, std::uint64_t max_bytes,
                       LocalHandler local)
    : rpc_(rpc),
      threads_(threads),
      local_(std::move(local)),
      max_bytes_(max_bytes) {
  finder_.seeds_ = std::move(seeds);
}

void GraphRelay::SetSeeds(std::vector<std::string> seeds) {
  finder_.seeds_ = std::move(seeds);
}

void GraphRelay::EndBy(Time end) { end_ = end; }

// A reply was sent before it is heard, so the result is not later than the
// call's arrival. What was known when the call came also holds if this node's
// clock stood still since.
CallAge GraphRelay::AgeOf(const Pending& pending) const {
  const bool same = pending.clock_.term_ == clock_.term_;
  const LeaderClock& clock = same ? pending.clock_ : clock_;
  return {clock.term_, clock.time_ + (pending.age_.arrived_ - clock.heard_at_),
          pending.age_.patience_};
}

Time GraphRelay::Capped(Time deadline) const {
  return std::min(deadline, end_.value_or(deadline));
}

void GraphRelay::Call(GraphCall call, Duration search_limit, Duration limit,
                      GraphReplyCallback done) {
  const Time now = MonotonicNow();
  auto pending = std::make_shared<Pending>();
  pending->age_ = call.age_.value_or(CallAge{Term(), now, limit});
  pending->clock_ = clock_;
  call.age_ = AgeOf(*pending);
  pending->body_ = Pack(call);
  const std::uint64_t bytes = pending->body_.size() * kCallCopies;
  const std::uint64_t allowed = CallMemory(pending->body_.size(), max_bytes_);
  if (held_bytes_ > 0 && held_bytes_ + bytes > allowed) {
    GraphReply reply;
    reply.outcome_ = GraphOutcome::kUnavailable;
    reply.text_ = "too many large requests at once";
    reply.retry_after_ = kNoLeaderRetryAfter;
    return done(reply);
  }
  held_bytes_ += bytes;
  pending->call_ = std::move(call);
  pending->search_deadline_ = now + search_limit;
  pending->deadline_ = now + limit;
  pending->done_ = [this, bytes,
                    done = std::move(done)](const GraphReply& reply) {
    held_bytes_ -= bytes;
    done(reply);
  };
  if (!local_) return Try(pending);
  CallLocally(pending, limit);
}

void GraphRelay::CallLocally(const PendingPtr& pending, Duration limit) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      threads_.Loop(0), std::chrono::milliseconds(limit.ms()));
  timer->async_wait([this, pending, timer](boost::system::error_code error) {
    if (error || !pending->done_) return;
    pending->maybe_executed_ = true;
    GiveUp(pending);
  });
  local_(pending->call_, [this, pending, timer](const GraphReply& reply) {
    timer->cancel();
    if (!pending->done_) return;
    if (reply.outcome_ != GraphOutcome::kNotLeader) {
      return HandleReply(pending, reply.leader_address_, reply);
    }
    if (!reply.leader_address_.empty()) {
      finder_.leader_ = reply.leader_address_;
    }
    Try(pending);
  });
}

void GraphRelay::Try(const PendingPtr& pending) {
  if (!pending->done_) return;
  const Time end = Capped(pending->maybe_executed_ ? pending->deadline_
                                                   : pending->search_deadline_);
  if (MonotonicNow() >= end) return GiveUp(pending);
  if (!pending->unanswered_address_.empty()) {
    const std::string other_address =
        NextOtherAddress(finder_, pending->unanswered_address_);
    pending->unanswered_address_.clear();
    if (!other_address.empty()) return Send(pending, other_address);
  }
  const std::string address = NextAddress(finder_);
  if (address.empty()) return RetryLater(pending);
  Send(pending, address);
}

void GraphRelay::Send(const PendingPtr& pending, const std::string& address) {
  const Duration left = Capped(pending->deadline_) - MonotonicNow();
  const Duration timeout = std::min(kRelayAttemptTimeout, left);
  const CallAge age = AgeOf(*pending);
  if (age != pending->call_.age_) {
    pending->call_.age_ = age;
    pending->body_ = Pack(pending->call_);
  }
  std::string body = pending->body_;
  if (address != finder_.leader_) {
    GraphCall call = pending->call_;
    call.forward_ = true;
    body = Pack(call);
  }
  rpc_.Call(address, RpcKind::kGraph, std::move(body), timeout,
            [this, pending, address](bool ok, std::string answer) {
              threads_.Post(
                  0, [this, pending, address, ok, answer = std::move(answer)] {
                    HandleAnswer(pending, address, ok, answer);
                  });
            });
}

void GraphRelay::HandleAnswer(const PendingPtr& pending,
                              const std::string& address, bool ok,
                              const std::string& body) {
  const auto reply = ok ? Unpack<GraphReply>(body) : std::nullopt;
  if (!reply.has_value()) {
    RecordNoAnswer(finder_, address);
    pending->maybe_executed_ = true;
    pending->unanswered_address_ = address;
    return RetryLater(pending);
  }
  HandleReply(pending, address, *reply);
}

void GraphRelay::HandleReply(const PendingPtr& pending, const std::string& from,
                             const GraphReply& reply) {
  // Also if the reply is ignored for its term, the call may be in the log.
  if (MayHaveExecuted(reply.outcome_)) pending->maybe_executed_ = true;
  if (reply.leader_time_ != Time() && reply.term_ >= clock_.term_) {
    clock_ = {reply.term_, reply.leader_time_, MonotonicNow()};
  }
  if (!RecordReply(finder_, from, reply)) {
    const bool elsewhere = !finder_.leader_.empty() && finder_.leader_ != from;
    if (elsewhere && ++pending->redirects_ <= kMaxRedirects) {
      return Try(pending);
    }
    return RetryLater(pending);
  }
  if (reply.outcome_ == GraphOutcome::kUnknown) return RetryLater(pending);
  // A new leader couldn't tell the call's age.
  const bool age_unknown = reply.outcome_ == GraphOutcome::kUnavailable &&
                           pending->call_.age_->term_ != clock_.term_;
  if (age_unknown && ++pending->redirects_ <= kMaxRedirects) {
    return Try(pending);
  }
  if (pending->maybe_executed_ &&
      !HoldsForAllAttempts(pending->call_.kind_, reply.outcome_)) {
    GraphReply unknown = reply;
    unknown.outcome_ = GraphOutcome::kUnknown;
    return Answer(pending, unknown);
  }
  Answer(pending, reply);
}

void GraphRelay::RetryLater(const PendingPtr& pending) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      threads_.Loop(0), std::chrono::milliseconds(kRelayPause.ms()));
  timer->async_wait([this, pending, timer](boost::system::error_code error) {
    if (!error) Try(pending);
  });
}

void GraphRelay::GiveUp(const PendingPtr& pending) {
  GraphReply reply;
  reply.outcome_ = pending->maybe_executed_ ? GraphOutcome::kUnknown
                                            : GraphOutcome::kUnavailable;
  reply.text_ = "no leader of the control group answers";
  reply.retry_after_ = kNoLeaderRetryAfter;
  Answer(pending, reply);
}

void GraphRelay::Answer(const PendingPtr& pending, const GraphReply& reply) {
  std::exchange(pending->done_, nullptr)(reply);
}

}  // namespace flamingohollow
