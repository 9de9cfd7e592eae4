// The filters, in the order in which they run.

#include "flamingohollow/filter.h"

#include <boost/leaf/handle_errors.hpp>
#include <string>

namespace flamingohollow {
namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kOverLimit = 429;
constexpr unsigned kUnavailable = 503;

HttpResponse ParseErrorResponse(const RequestError& error) {
  switch (error.kind_) {
    case RequestErrorKind::kNotFound:
      return ErrorResponse(kNotFound, "not_found", error.message_);
    case RequestErrorKind::kMethod:
      return ErrorResponse(kMethodNotAllowed, "invalid", error.message_);
    case RequestErrorKind::kInvalid:
      break;
  }
  return ErrorResponse(kBadRequest, "invalid", error.message_);
}

// Whether customers may make this call. Control restricts them to their own
// jobs by CallRequest::on_behalf_of_.
bool IsForCustomers(CallKind kind) {
  return kind == CallKind::kSubmit || kind == CallKind::kJobShow ||
         kind == CallKind::kJobCancel || kind == CallKind::kJobList;
}

bool MayDo(const Identity& caller, const ParsedRequest& parsed) {
  switch (caller.role_) {
    case TokenRole::kOperator:
      return parsed.kind_ == RouteKind::kCall;
    case TokenRole::kWorker:
      return parsed.kind_ == RouteKind::kAnnounce;
    case TokenRole::kCustomer:
      return parsed.kind_ == RouteKind::kCall &&
             IsForCustomers(parsed.call_.kind_) &&
             (parsed.call_.kind_ != CallKind::kSubmit ||
              parsed.call_.spec_.customer_.value() == caller.name_);
  }
  return false;
}

void FillCaller(const Identity& caller, CallRequest& call) {
  call.caller_ = caller.name_;
  if (caller.role_ == TokenRole::kCustomer) {
    call.on_behalf_of_ = CustomerId(caller.name_);
  }
}

// Puts a submission without an external trace into its job's trace. One with
// an external trace stays in that and is tagged with the id of the job's trace,
// which contains the commands to workers.
void JoinJobTrace(Passage& passage) {
  const CallRequest& call = passage.parsed_.call_;
  if (call.kind_ != CallKind::kSubmit) return;
  const TraceContext job =
      JobTrace(call.spec_.customer_, call.spec_.request_id_);
  if (passage.span_.parent_ != 0) {
    passage.span_.tags_.emplace_back("job_trace_id", TraceIdText(job));
    return;
  }
  passage.span_.context_.trace_high_ = job.trace_high_;
  passage.span_.context_.trace_low_ = job.trace_low_;
  passage.span_.parent_ = job.span_;
}

bool IsSubmit(const Passage& passage) {
  return passage.parsed_.kind_ == RouteKind::kCall &&
         passage.parsed_.call_.kind_ == CallKind::kSubmit;
}

}  // namespace

Verdict FilterTrace(const TrafficContext& context, Passage& passage) {
  const auto above = ParseTraceParent(passage.request_.trace_parent_);
  // An odd number is never the 0 that stands for no span.
  const std::uint64_t own = context.random_ | 1;
  passage.span_.context_ = above.value_or(TraceContext{own, own, 0});
  passage.span_.parent_ = above.has_value() ? above->span_ : 0;
  passage.span_.context_.span_ = own;
  passage.span_.name_ = "entry";
  passage.span_.started_at_ = context.wall_now_;
  return std::nullopt;
}

Verdict FilterSize(const TrafficContext& context, Passage& passage) {
  if (passage.request_.body_.size() <= context.max_body_bytes_) {
    return std::nullopt;
  }
  return ErrorResponse(kTooLarge, "too_large",
                       "the body is over the limit of " +
                           std::to_string(context.max_body_bytes_) + " bytes");
}

Verdict FilterCaller(const TrafficContext& context, Passage& passage) {
  if (IsPublic(passage.request_)) return std::nullopt;
  passage.caller_ =
      FindIdentity(context.identities_, passage.request_.authorization_);
  if (passage.caller_.has_value()) return std::nullopt;
  return ErrorResponse(kUnauthorized, "unauthorized",
                       "a valid token is required");
}

Verdict FilterParse(const TrafficContext& context, Passage& passage) {
  static_cast<void>(context);
  Verdict verdict = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Verdict> {
        BOOST_LEAF_ASSIGN(passage.parsed_, ParseRequest(passage.request_));
        return Verdict();
      },
      [](const RequestError& error) {
        return Verdict(ParseErrorResponse(error));
      },
      [] {
        return Verdict(ErrorResponse(kBadRequest, "invalid", "malformed"));
      });
  if (verdict.has_value() || !passage.caller_.has_value()) return verdict;
  if (!MayDo(*passage.caller_, passage.parsed_)) {
    return ErrorResponse(kForbidden, "forbidden", "this token may not do this");
  }
  FillCaller(*passage.caller_, passage.parsed_.call_);
  JoinJobTrace(passage);
  passage.parsed_.call_.trace_parent_ =
      FormatTraceParent(passage.span_.context_);
  return std::nullopt;
}

Verdict FilterTraffic(const TrafficContext& context, Passage& passage) {
  for (const auto filter :
       {FilterTrace, FilterSize, FilterCaller, FilterParse}) {
    Verdict verdict = filter(context, passage);
    if (verdict.has_value()) return verdict;
  }
  return std::nullopt;
}

Verdict FilterFreshness(const StateContext& context, Passage& passage) {
  // Only new work depends on the entry's copy of the table; everything else
  // is answered by the leader from its own state.
  if (!IsSubmit(passage) || HasLease(context.table_, context.now_)) {
    return std::nullopt;
  }
  return ErrorResponse(kUnavailable, "unavailable",
                       "no confirmed table at this entry", kNoLeaseRetryAfter);
}

Verdict FilterLimits(const StateContext& context, Passage& passage) {
  if (!IsSubmit(passage)) return std::nullopt;
  const CustomerId& customer = passage.parsed_.call_.spec_.customer_;
  const Row* const row = FindRow(context.table_, customer, context.now_);
  // This entry may not have the customer's row yet; control decides then.
  if (row == nullptr) return std::nullopt;
  const Duration wait = TakeToken(context.limits_, *row, context.now_);
  if (wait == Duration(0)) return std::nullopt;
  return ErrorResponse(
      kOverLimit, "over_limit",
      "customer \"" + customer.value() + "\" is over its max_rate", wait);
}

Verdict FilterState(const StateContext& context, Passage& passage) {
  for (const auto filter : {FilterFreshness, FilterLimits}) {
    Verdict verdict = filter(context, passage);
    if (verdict.has_value()) return verdict;
  }
  return std::nullopt;
}

}  // namespace flamingohollow
