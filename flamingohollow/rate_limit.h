// Limits each customer's submissions per second with a token bucket.
//
// Performs no I/O. A bucket's capacity is one second's worth of tokens, but at
// least one token.

#ifndef FLAMINGOHOLLOW_RATE_LIMIT_H_
#define FLAMINGOHOLLOW_RATE_LIMIT_H_

#include <map>

#include "flamingohollow/table.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct TokenBucket {
  double tokens_ = 0;
  Time filled_at_;
};

struct RateLimits {
  // At most one for each row of the table.
  std::map<CustomerId, TokenBucket> buckets_;
};

// Takes a token for a submission under `row` and returns 0. If no token is
// available, takes none and returns how long to wait for one.
Duration TakeToken(RateLimits& limits, const Row& row, Time now);

// Drops the buckets of customers that the table no longer has.
void RemoveStaleBuckets(RateLimits& limits, const Table& table);

// Retry delay sent to customers whose row allows no submissions.
inline constexpr Duration kNoRateRetryAfter = Duration(60000);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RATE_LIMIT_H_
