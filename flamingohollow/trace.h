// Trace contexts in the W3C form and a bounded log of spans.
//
// Spans are written as JSON lines by this file and not by libopentracing's
// JsonRecorder: that one keeps every span in memory until it is closed, and
// its contexts carry 64-bit trace ids where W3C's have 128 bits.
//
// All hops of one job are under one trace id. A caller may bring it in the
// `traceparent` header. Otherwise it is derived from customer and request id,
// so that every process finds it without being told, after a failover too.

#ifndef FLAMINGOHOLLOW_TRACE_H_
#define FLAMINGOHOLLOW_TRACE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// The ids that a span passes on. All zero: no trace.
struct TraceContext {
  std::uint64_t trace_high_ = 0;
  std::uint64_t trace_low_ = 0;
  std::uint64_t span_ = 0;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

bool IsTraced(const TraceContext& context);

// "00-<32 hex>-<16 hex>-<2 hex>"; nothing when `text` is not of that form.
std::optional<TraceContext> ParseTraceParent(std::string_view text);
// The trace id as 32 hex digits.
std::string TraceIdText(const TraceContext& context);
// Empty for no trace.
std::string FormatTraceParent(const TraceContext& context);

// The trace of a job whose caller brought none; its span is that of the whole
// job.
TraceContext JobTrace(const CustomerId& customer, const RequestId& request);

struct Span {
  TraceContext context_;
  // The span above; 0 for none.
  std::uint64_t parent_ = 0;
  std::string name_;
  // Wall time.
  Time started_at_;
  Duration duration_;
  std::vector<std::pair<std::string, std::string>> tags_;
};

// One JSON object without a line end.
std::string SpanToJson(const Span& span);

// Writes spans to a file on a thread of its own; bounded in memory, and on
// disk by keeping the present file and one before it.
class SpanLog {
 public:
  // Appends to `path`; an empty path gives a log that drops all.
  explicit SpanLog(const std::string& path);
  ~SpanLog();
  SpanLog(const SpanLog&) = delete;
  SpanLog& operator=(const SpanLog&) = delete;

  // Thread-safe; drops the span when the queue is full.
  void Record(const Span& span);
  std::uint64_t dropped() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

inline constexpr std::size_t kMaxQueuedSpans = 4096;
inline constexpr std::uint64_t kMaxSpanFileBytes = 64ULL * 1024 * 1024;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TRACE_H_
