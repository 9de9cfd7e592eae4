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
bool IsAllowedForCustomers(CallKind kind) {
  return kind == CallKind::kSubmit || kind == CallKind::kJobShow ||
         kind == CallKind::kJobCancel || kind == CallKind::kJobList;
}

bool IsAuthorized(const Identity& caller, const ParsedRequest& parsed) {
  switch (caller.role_) {
    case TokenRole::kOperator:
      return parsed.kind_ == RouteKind::kCall;
    case TokenRole::kWorker:
      return parsed.kind_ == RouteKind::kAnnounce;
    case TokenRole::kCustomer:
      return parsed.kind_ == RouteKind::kCall &&
             IsAllowedForCustomers(parsed.call_.kind_) &&
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
void JoinJobTrace(PendingRequest& pending) {
  const CallRequest& call = pending.parsed_.call_;
  if (call.kind_ != CallKind::kSubmit) return;
  const TraceContext job =
      JobTrace(call.spec_.customer_, call.spec_.request_id_);
  if (pending.span_.parent_ != 0) {
    pending.span_.tags_.emplace_back("job_trace_id", TraceIdText(job));
    return;
  }
  pending.span_.context_.trace_high_ = job.trace_high_;
  pending.span_.context_.trace_low_ = job.trace_low_;
  pending.span_.parent_ = job.span_;
}

bool IsSubmit(const PendingRequest& pending) {
  return pending.parsed_.kind_ == RouteKind::kCall &&
         pending.parsed_.call_.kind_ == CallKind::kSubmit;
}

}  // namespace

FilterResult FilterTrace(const TrafficContext& context,
                         PendingRequest& pending) {
  const auto parent = ParseTraceParent(pending.request_.trace_parent_);
  // Setting the lowest bit keeps the id from being 0, which means no span.
  const std::uint64_t own = context.random_ | 1;
  pending.span_.context_ = parent.value_or(TraceContext{own, own, 0});
  pending.span_.parent_ = parent.has_value() ? parent->span_ : 0;
  pending.span_.context_.span_ = own;
  pending.span_.name_ = "entry";
  pending.span_.started_at_ = context.wall_now_;
  return std::nullopt;
}

FilterResult FilterSize(const TrafficContext& context,
                        PendingRequest& pending) {
  if (pending.request_.body_.size() <= context.max_body_bytes_) {
    return std::nullopt;
  }
  return ErrorResponse(kTooLarge, "too_large",
                       "the body is over the limit of " +
                           std::to_string(context.max_body_bytes_) + " bytes");
}

FilterResult FilterCaller(const TrafficContext& context,
                          PendingRequest& pending) {
  if (IsPublic(pending.request_)) return std::nullopt;
  pending.caller_ =
      FindIdentity(context.identities_, pending.request_.authorization_);
  if (pending.caller_.has_value()) return std::nullopt;
  return ErrorResponse(kUnauthorized, "unauthorized",
                       "a valid token is required");
}

FilterResult FilterParse(const TrafficContext& context,
                         PendingRequest& pending) {
  static_cast<void>(context);
  FilterResult filter_result = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<FilterResult> {
        BOOST_LEAF_ASSIGN(pending.parsed_, ParseRequest(pending.request_));
        return FilterResult();
      },
      [](const RequestError& error) {
        return FilterResult(ParseErrorResponse(error));
      },
      [] {
        return FilterResult(ErrorResponse(kBadRequest, "invalid", "malformed"));
      });
  if (filter_result.has_value() || !pending.caller_.has_value())
    return filter_result;
  if (!IsAuthorized(*pending.caller_, pending.parsed_)) {
    return ErrorResponse(kForbidden, "forbidden", "this token may not do this");
  }
  FillCaller(*pending.caller_, pending.parsed_.call_);
  JoinJobTrace(pending);
  pending.parsed_.call_.trace_parent_ =
      FormatTraceParent(pending.span_.context_);
  return std::nullopt;
}

FilterResult FilterTraffic(const TrafficContext& context,
                           PendingRequest& pending) {
  for (const auto filter :
       {FilterTrace, FilterSize, FilterCaller, FilterParse}) {
    FilterResult filter_result = filter(context, pending);
    if (filter_result.has_value()) return filter_result;
  }
  return std::nullopt;
}

FilterResult FilterTableLease(const StateContext& context,
                              PendingRequest& pending) {
  // Only new work depends on the entry's copy of the table; everything else
  // is answered by the leader from its own state.
  if (!IsSubmit(pending) || HasLease(context.table_, context.now_)) {
    return std::nullopt;
  }
  return ErrorResponse(kUnavailable, "unavailable",
                       "no confirmed table at this entry", kNoLeaseRetryAfter);
}

FilterResult FilterLimits(const StateContext& context,
                          PendingRequest& pending) {
  if (!IsSubmit(pending)) return std::nullopt;
  const CustomerId& customer = pending.parsed_.call_.spec_.customer_;
  const Row* const row = FindRow(context.table_, customer, context.now_);
  // This entry may not have the customer's row yet; control decides then.
  if (row == nullptr) return std::nullopt;
  const Duration wait = TakeToken(context.limits_, *row, context.now_);
  if (wait == Duration(0)) return std::nullopt;
  return ErrorResponse(
      kOverLimit, "over_limit",
      "customer \"" + customer.value() + "\" is over its max_rate", wait);
}

FilterResult FilterState(const StateContext& context, PendingRequest& pending) {
  for (const auto filter : {FilterTableLease, FilterLimits}) {
    FilterResult filter_result = filter(context, pending);
    if (filter_result.has_value()) return filter_result;
  }
  return std::nullopt;
}

}  // namespace flamingohollow
