// The request handlers of EntryCore.

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <utility>

#include "flamingohollow/entry_core.h"
#include "flamingohollow/job_json.h"

namespace flamingohollow {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kOutcomeUnknown = 504;
constexpr Duration kNoLeaderRetryAfter = Duration(500);
constexpr Duration kWorkersFullRetryAfter = Duration(5000);

HttpResponse JobResponse(const JobView& job, unsigned status) {
  HttpResponse response;
  response.status_ = status;
  response.body_ = boost::json::serialize(JobToJson(job));
  response.retry_after_ = job.retry_after_;
  return response;
}

HttpResponse FailureResponse(CallFailure failure) {
  if (failure == CallFailure::kUnknown) {
    return ErrorResponse(kOutcomeUnknown, "outcome_unknown",
                         "the call may or may not have been carried out; ask "
                         "again with the same request id",
                         kNoLeaderRetryAfter);
  }
  return ErrorResponse(kUnavailable, "unavailable", "no leader can be reached",
                       kNoLeaderRetryAfter);
}

HttpResponse ReplyResponse(CallReply reply) {
  HttpResponse response;
  response.status_ = reply.status_;
  response.body_ = std::move(reply.body_);
  response.retry_after_ = reply.retry_after_;
  return response;
}

}  // namespace

void EntryCore::Handle(PendingRequest pending, HttpResponder respond) {
  const StateContext context{table_, limits_, MonotonicNow()};
  FilterResult filter_result = FilterState(context, pending);
  if (filter_result.has_value()) {
    if (pending.parsed_.kind_ == RouteKind::kCall) --calls_;
    respond(std::move(*filter_result));
    return;
  }
  switch (pending.parsed_.kind_) {
    case RouteKind::kCall:
      return HandleCall(std::move(pending), std::move(respond));
    case RouteKind::kAnnounce:
      return HandleAnnounce(pending, respond);
    case RouteKind::kReady:
      return respond(IsReady() ? HttpResponse{kOk, "application/json",
                                              R"({"ready":true})", Duration(0)}
                               : ErrorResponse(kUnavailable, "unavailable",
                                               draining_ ? "shutting down"
                                                         : "no confirmed table",
                                               kNoLeaseRetryAfter));
    case RouteKind::kMetrics:
      ExportMetrics();
      return respond({kOk, "text/plain; version=0.0.4",
                      metrics_.Text(MonotonicNow()), Duration(0)});
    case RouteKind::kHealth:
      return respond(
          {kOk, "application/json", R"({"healthy":true})", Duration(0)});
  }
}

void EntryCore::HandleCall(PendingRequest pending, HttpResponder respond) {
  auto shared_pending = std::make_shared<PendingRequest>(std::move(pending));
  Span span = MakeChild(shared_pending->span_, "control");
  CallRequest call = shared_pending->parsed_.call_;
  call.trace_parent_ = FormatTraceParent(span.context_);
  link_.Call(std::move(call),
             [this, shared_pending, span = std::move(span),
              respond = std::move(respond)](CallResult result) mutable {
               --calls_;
               span.duration_ = WallNow() - span.started_at_;
               spans_.Record(span);
               OnCallResult(shared_pending, respond, std::move(result));
             });
}

// Makes a child span of `parent` that starts now.
Span EntryCore::MakeChild(const Span& parent, const std::string& name) {
  Span span;
  span.context_ = parent.context_;
  span.context_.span_ = random_() | 1;
  span.parent_ = parent.context_.span_;
  span.name_ = name;
  span.started_at_ = WallNow();
  return span;
}

void EntryCore::OnCallResult(const std::shared_ptr<PendingRequest>& pending,
                             const HttpResponder& respond, CallResult result) {
  if (!result.reply_.has_value()) {
    respond(FailureResponse(result.failure_));
    return;
  }
  if (WaitForEnd(pending, respond, *result.reply_)) return;
  respond(ReplyResponse(std::move(*result.reply_)));
}

// Returns true if the caller now waits for the job's end and is answered later.
bool EntryCore::WaitForEnd(const std::shared_ptr<PendingRequest>& pending,
                           const HttpResponder& respond,
                           const CallReply& reply) {
  const Duration wait = pending->parsed_.wait_;
  const bool can_wait = wait > Duration(0) && !draining_ &&
                        reply.job_.has_value() &&
                        !IsTerminal(reply.job_->outcome_);
  if (!can_wait) return false;
  JobWaiter waiter;
  waiter.deadline_ = pending->received_at_ + wait;
  waiter.answer_ = [respond, status = reply.status_](const JobView& job) {
    respond(JobResponse(job, IsTerminal(job.outcome_) ? kOk : status));
  };
  if (!waiters_.Add(*reply.job_, std::move(waiter))) return false;
  watch_changed_ = true;
  MaybeSync();
  return true;
}

void EntryCore::HandleAnnounce(const PendingRequest& pending,
                               const HttpResponder& respond) {
  const Time now = MonotonicNow();
  HttpResponse response = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<HttpResponse> {
        BOOST_LEAF_AUTO(announcement,
                        ParseAnnouncement(pending.request_.body_));
        const AnnounceOutcome outcome =
            ApplyAnnouncement(workers_, announcement, now);
        if (outcome == AnnounceOutcome::kFull) {
          return ErrorResponse(kUnavailable, "unavailable",
                               "too many workers announce here",
                               kWorkersFullRetryAfter);
        }
        HttpResponse answer;
        answer.body_ = WriteAnnounceReply(
            MakeAnnounceReply(workers_, table_, announcement, outcome, now));
        return answer;
      },
      [](const WorkerJsonError& error) {
        return ErrorResponse(kBadRequest, "invalid", error.message_);
      },
      [] { return ErrorResponse(kBadRequest, "invalid", "malformed"); });
  respond(std::move(response));
  MaybeSync();
}

}  // namespace flamingohollow
