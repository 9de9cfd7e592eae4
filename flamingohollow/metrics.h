// Counters, gauges and quantiles, written in the usual text format.
//
// Thread-safe. Quantiles are estimated by Boost.Accumulators (P-square) over
// windows of kQuantileWindow; what is shown is the last whole window. The
// number of series is bounded: beyond kMaxSeries new ones are dropped.

#ifndef FLAMINGOHOLLOW_METRICS_H_
#define FLAMINGOHOLLOW_METRICS_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "util/clock.h"

namespace flamingohollow {

inline constexpr std::size_t kMaxSeries = 2048;
inline constexpr Duration kQuantileWindow = Duration(60000);

class Metrics {
 public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Names come without the common prefix "flamingohollow_".
  void Count(const std::string& name, const Labels& labels = {},
             double amount = 1);
  // A counter whose total is kept elsewhere.
  void SetCount(const std::string& name, double total,
                const Labels& labels = {});
  void SetGauge(const std::string& name, double value,
                const Labels& labels = {});
  // Adds a sample to the quantiles of `name`.
  void Observe(const std::string& name, double value, Time now,
               const Labels& labels = {});
  // The text format; `now` ends quantile windows.
  std::string Text(Time now);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_METRICS_H_
