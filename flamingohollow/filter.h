// The filter chain that each request passes on an entry.
//
// Each filter is a free function over plain structs. It passes the request on,
// having filled in its part, or ends it with an answer. The order is
//   trace, size, who is asking, parse     on a traffic thread, no shared state
//   freshness of the table, the customer's limits      on the control thread
// and then the request is handed over. Who is asking comes before parsing, so
// that a caller without a token learns nothing, not even which paths exist.

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

// One request on its way through the chain.
struct Passage {
  HttpRequest request_;
  // The entry's span for this request; ended when the answer is given.
  Span span_;
  // Monotonic.
  Time received_at_;
  // Filled in by FilterCaller; nothing for public paths.
  std::optional<Identity> caller_;
  // Filled in by FilterParse.
  ParsedRequest parsed_;
};

// The answer that ends a request, or nothing to pass it on.
using Verdict = std::optional<HttpResponse>;

// What the filters on traffic threads read.
struct TrafficContext {
  const Identities& identities_;
  std::uint32_t max_body_bytes_ = 0;
  // Drawn for this request.
  std::uint64_t random_ = 0;
  Time wall_now_;
};

Verdict FilterTrace(const TrafficContext& context, Passage& passage);
Verdict FilterSize(const TrafficContext& context, Passage& passage);
Verdict FilterCaller(const TrafficContext& context, Passage& passage);
Verdict FilterParse(const TrafficContext& context, Passage& passage);
// All of these in order.
Verdict FilterTraffic(const TrafficContext& context, Passage& passage);

// What the filters on the control thread read and change.
struct StateContext {
  const EntryTable& table_;
  RateLimits& limits_;
  Time now_;
};

Verdict FilterFreshness(const StateContext& context, Passage& passage);
Verdict FilterLimits(const StateContext& context, Passage& passage);
Verdict FilterState(const StateContext& context, Passage& passage);

// What a caller is told to wait for a table lease.
inline constexpr Duration kNoLeaseRetryAfter = Duration(500);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FILTER_H_
