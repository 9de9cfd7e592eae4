// Keeps series by name and labels; collects them for prometheus-cpp.

#include "flamingohollow/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>

namespace flamingohollow {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};
// The estimate needs more samples than it has markers.
constexpr std::size_t kMinSamples = 2 * kQuantiles.size() + 3;

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

Accumulator MakeAccumulator() {
  return Accumulator(acc::extended_p_square_probabilities = kQuantiles);
}

// One series of samples.
struct Quantiles {
  std::uint64_t count_ = 0;
  double sum_ = 0;
  Accumulator present_ = MakeAccumulator();
  std::optional<Accumulator> last_;
  Time window_start_;
};

void EndWindows(Quantiles& quantiles, Time now) {
  if (now - quantiles.window_start_ < kQuantileWindow) return;
  if (acc::count(quantiles.present_) >= kMinSamples) {
    quantiles.last_ = quantiles.present_;
  }
  quantiles.present_ = MakeAccumulator();
  quantiles.window_start_ = now;
}

using SeriesKey = std::pair<std::string, Metrics::Labels>;
using Families = std::map<std::string, prometheus::MetricFamily>;

prometheus::ClientMetric& AddMetric(Families& families, const SeriesKey& key,
                                    prometheus::MetricType type) {
  prometheus::MetricFamily& family = families[key.first];
  family.name = "flamingohollow_" + key.first;
  family.type = type;
  prometheus::ClientMetric& metric = family.metric.emplace_back();
  for (const auto& [name, value] : key.second) {
    metric.label.push_back({name, value});
  }
  return metric;
}

void AddSummary(Families& families, const SeriesKey& key,
                const Quantiles& quantiles) {
  prometheus::ClientMetric& metric =
      AddMetric(families, key, prometheus::MetricType::Summary);
  metric.summary.sample_count = quantiles.count_;
  metric.summary.sample_sum = quantiles.sum_;
  const Accumulator& shown =
      quantiles.last_ ? *quantiles.last_ : quantiles.present_;
  if (acc::count(shown) < kMinSamples) return;
  const auto values = acc::extended_p_square(shown);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    metric.summary.quantile.push_back(
        {kQuantiles[i], values[static_cast<std::ptrdiff_t>(i)]});
  }
}

}  // namespace

struct Metrics::Impl {
  std::mutex mutex_;
  // Guarded by mutex_.
  std::map<SeriesKey, double> counters_;
  std::map<SeriesKey, double> gauges_;
  std::map<SeriesKey, Quantiles> quantiles_;

  // Whether one more series may be made.
  bool HasRoom() const {
    return counters_.size() + gauges_.size() + quantiles_.size() < kMaxSeries;
  }
  // The series; null when it is new and there is no room.
  template <typename Map>
  typename Map::mapped_type* Find(Map& map, const std::string& name,
                                  const Labels& labels) {
    const SeriesKey key(name, labels);
    const auto found = map.find(key);
    if (found != map.end()) return &found->second;
    return HasRoom() ? &map[key] : nullptr;
  }
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const Labels& labels,
                    double amount) {
  const std::lock_guard lock(impl_->mutex_);
  double* const total = impl_->Find(impl_->counters_, name, labels);
  if (total != nullptr) *total += amount;
}

void Metrics::SetCount(const std::string& name, double total,
                       const Labels& labels) {
  const std::lock_guard lock(impl_->mutex_);
  double* const held = impl_->Find(impl_->counters_, name, labels);
  if (held != nullptr) *held = total;
}

void Metrics::SetGauge(const std::string& name, double value,
                       const Labels& labels) {
  const std::lock_guard lock(impl_->mutex_);
  double* const gauge = impl_->Find(impl_->gauges_, name, labels);
  if (gauge != nullptr) *gauge = value;
}

void Metrics::Observe(const std::string& name, double value, Time now,
                      const Labels& labels) {
  const std::lock_guard lock(impl_->mutex_);
  Quantiles* const quantiles = impl_->Find(impl_->quantiles_, name, labels);
  if (quantiles == nullptr) return;
  EndWindows(*quantiles, now);
  ++quantiles->count_;
  quantiles->sum_ += value;
  quantiles->present_(value);
}

std::string Metrics::Text(Time now) {
  Families families;
  {
    const std::lock_guard lock(impl_->mutex_);
    for (const auto& [key, total] : impl_->counters_) {
      AddMetric(families, key, prometheus::MetricType::Counter).counter.value =
          total;
    }
    for (const auto& [key, value] : impl_->gauges_) {
      AddMetric(families, key, prometheus::MetricType::Gauge).gauge.value =
          value;
    }
    for (auto& [key, quantiles] : impl_->quantiles_) {
      EndWindows(quantiles, now);
      AddSummary(families, key, quantiles);
    }
  }
  std::vector<prometheus::MetricFamily> list;
  for (auto& [name, family] : families) list.push_back(std::move(family));
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, list);
  return text.str();
}

}  // namespace flamingohollow
