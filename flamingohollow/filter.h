// The filter chain that processes each request to an entry.
//
// Each filter is a free function over plain structs. It either fills in its
// part of the request and passes it on, or ends it with a response. The order:
//   trace, size, authentication, parse    on a traffic thread, no shared state
//   table lease, rate limit               on the control thread
// Authentication precedes parsing, so that a caller without a token learns
// nothing, not even which paths exist.

#ifndef FLAMINGOHOLLOW_FILTER_H_
#define FLAMINGOHOLLOW_FILTER_H_

#include <cstdint>
#include <optional>

#include "flamingohollow/entry_table.h"
#include "flamingohollow/http_types.h"
#include "flamingohollow/identity.h"
#include "flamingohollow/rate_limit.h"
#include "flamingohollow/request_parse.h"
#include "flamingohollow/trace.h"
#include "util/clock.h"

namespace flamingohollow {

// A request and what the filters have determined about it so far.
struct PendingRequest {
  HttpRequest request_;
  // The entry's span for this request; ended when the answer is given.
  Span span_;
  // Monotonic.
  Time received_at_;
  // Filled in by FilterCaller; empty for public paths.
  std::optional<Identity> caller_;
  // Filled in by FilterParse.
  ParsedRequest parsed_;
};

// The response that ends a request, or nullopt to pass it on.
using FilterResult = std::optional<HttpResponse>;

// What the filters on traffic threads read.
struct TrafficContext {
  const Identities& identities_;
  std::uint32_t max_body_bytes_ = 0;
  // A random number drawn for this request.
  std::uint64_t random_ = 0;
  Time wall_now_;
};

FilterResult FilterTrace(const TrafficContext& context,
                         PendingRequest& pending);
FilterResult FilterSize(const TrafficContext& context, PendingRequest& pending);
FilterResult FilterCaller(const TrafficContext& context,
                          PendingRequest& pending);
FilterResult FilterParse(const TrafficContext& context,
                         PendingRequest& pending);
// All of these in order.
FilterResult FilterTraffic(const TrafficContext& context,
                           PendingRequest& pending);

// What the filters on the control thread read and change.
struct StateContext {
  const EntryTable& table_;
  RateLimits& limits_;
  Time now_;
};

FilterResult FilterTableLease(const StateContext& context,
                              PendingRequest& pending);
FilterResult FilterLimits(const StateContext& context, PendingRequest& pending);
FilterResult FilterState(const StateContext& context, PendingRequest& pending);

// Retry delay sent to callers while the entry has no table lease.
inline constexpr Duration kNoLeaseRetryAfter = Duration(500);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FILTER_H_
