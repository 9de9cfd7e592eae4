// Parses and writes trace contexts; a writer thread drains a bounded queue.

#include "flamingohollow/trace.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <fstream>
#include <mutex>
#include <thread>

namespace flamingohollow {
namespace {

constexpr std::size_t kTraceParentLength = 55;
constexpr std::size_t kTraceAt = 3;
constexpr std::size_t kSpanAt = 36;
constexpr std::size_t kFlagsAt = 53;
constexpr std::size_t kIdDigits = 16;

std::optional<unsigned> HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return std::nullopt;
}

// Lower-case hex, as the W3C form has it.
std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  for (const char c : text) {
    const std::optional<unsigned> digit = HexDigit(c);
    if (!digit.has_value()) return std::nullopt;
    value = value << 4 | *digit;
  }
  return value;
}

}  // namespace

std::string TraceIdText(const TraceContext& context) {
  return fmt::format("{:016x}{:016x}", context.trace_high_, context.trace_low_);
}

bool IsTraced(const TraceContext& context) {
  return context.trace_high_ != 0 || context.trace_low_ != 0;
}

std::optional<TraceContext> ParseTraceParent(std::string_view text) {
  if (text.size() != kTraceParentLength || !text.starts_with("00-") ||
      text[kSpanAt - 1] != '-' || text[kFlagsAt - 1] != '-' ||
      !ParseHex(text.substr(kFlagsAt))) {
    return std::nullopt;
  }
  const auto high = ParseHex(text.substr(kTraceAt, kIdDigits));
  const auto low = ParseHex(text.substr(kTraceAt + kIdDigits, kIdDigits));
  const auto span = ParseHex(text.substr(kSpanAt, kIdDigits));
  if (!high || !low || !span) return std::nullopt;
  const TraceContext context{*high, *low, *span};
  if (!IsTraced(context) || context.span_ == 0) return std::nullopt;
  return context;
}

std::string FormatTraceParent(const TraceContext& context) {
  if (!IsTraced(context)) return {};
  return fmt::format("00-{}-{:016x}-01", TraceIdText(context), context.span_);
}

TraceContext JobTrace(const CustomerId& customer, const RequestId& request) {
  const std::string key = customer.value() + '\n' + request.value();
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64, hash.low64 | 1};
}

std::string SpanToJson(const Span& span) {
  boost::json::object object = {
      {"trace_id", TraceIdText(span.context_)},
      {"span_id", fmt::format("{:016x}", span.context_.span_)},
      {"name", span.name_},
      {"started_at_ms", span.started_at_.ms()},
      {"duration_ms", span.duration_.ms()}};
  if (span.parent_ != 0) {
    object["parent_id"] = fmt::format("{:016x}", span.parent_);
  }
  if (!span.tags_.empty()) {
    boost::json::object tags;
    for (const auto& [key, value] : span.tags_) tags[key] = value;
    object["tags"] = std::move(tags);
  }
  return boost::json::serialize(object);
}

struct SpanLog::Impl {
  std::string path_;
  std::ofstream file_;
  std::uint64_t file_bytes_ = 0;

  std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_; at most kMaxQueuedSpans.
  std::deque<Span> queue_;
  bool stopping_ = false;

  std::atomic<std::uint64_t> dropped_{0};
  std::thread writer_;

  void Open() {
    file_.open(path_, std::ios::app | std::ios::binary);
    const auto end = file_.tellp();
    file_bytes_ = end < 0 ? 0 : static_cast<std::uint64_t>(end);
  }

  void Write(const Span& span) {
    if (file_bytes_ >= kMaxSpanFileBytes) {
      file_.close();
      std::rename(path_.c_str(), (path_ + ".1").c_str());
      Open();
    }
    const std::string line = SpanToJson(span) + "\n";
    file_ << line;
    file_bytes_ += line.size();
  }

  // Until stopped and drained.
  void Run() {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) return;
      std::deque<Span> batch;
      batch.swap(queue_);
      lock.unlock();
      for (const Span& span : batch) Write(span);
      file_.flush();
      lock.lock();
    }
  }
};

SpanLog::SpanLog(const std::string& path) : impl_(std::make_unique<Impl>()) {
  impl_->path_ = path;
  if (path.empty()) return;
  impl_->Open();
  impl_->writer_ = std::thread([impl = impl_.get()] { impl->Run(); });
}

SpanLog::~SpanLog() {
  {
    const std::lock_guard lock(impl_->mutex_);
    impl_->stopping_ = true;
  }
  impl_->wake_.notify_one();
  if (impl_->writer_.joinable()) impl_->writer_.join();
}

void SpanLog::Record(const Span& span) {
  if (impl_->path_.empty()) return;
  {
    const std::lock_guard lock(impl_->mutex_);
    if (impl_->queue_.size() >= kMaxQueuedSpans) {
      ++impl_->dropped_;
      return;
    }
    impl_->queue_.push_back(span);
  }
  impl_->wake_.notify_one();
}

std::uint64_t SpanLog::dropped() const { return impl_->dropped_; }

}  // namespace flamingohollow
