// Refills token buckets and takes tokens from them.

#include "flamingohollow/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace flamingohollow {
namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

Duration TakeToken(RateLimits& limits, const Row& row, Time now) {
  if (row.max_rate_ <= 0) return kNoRateRetryAfter;
  const double capacity = std::max(row.max_rate_, 1.0);
  const auto [entry, is_new] =
      limits.buckets_.try_emplace(row.customer_, TokenBucket{capacity, now});
  TokenBucket& bucket = entry->second;
  const double seconds =
      static_cast<double>((now - bucket.filled_at_).ms()) / kMsPerSecond;
  bucket.tokens_ = std::min(bucket.tokens_ + seconds * row.max_rate_, capacity);
  bucket.filled_at_ = now;
  if (bucket.tokens_ >= 1) {
    bucket.tokens_ -= 1;
    return Duration(0);
  }
  const double wait_ms =
      std::ceil((1 - bucket.tokens_) / row.max_rate_ * kMsPerSecond);
  const auto longest = static_cast<double>(kNoRateRetryAfter.ms());
  return Duration(static_cast<std::int64_t>(std::clamp(wait_ms, 1.0, longest)));
}

void RemoveStaleBuckets(RateLimits& limits, const Table& table) {
  std::erase_if(limits.buckets_, [&](const auto& entry) {
    return !table.rows_.contains(entry.first);
  });
}

}  // namespace flamingohollow
