// Load test of one real entry over loopback, in front of a stub control process
// of known capacity.
//
//   entry_bench [--capacity=N] [--seconds=N] [--connections=N]
//
// Prints, for offered loads of 1, 2 and 3 times the capacity, the goodput
// (submissions accepted a second), the refusals, and the latency of each. The
// stub serves submissions one after another, each taking 1 / capacity seconds,
// and has an unbounded queue, so only the entry's own limits keep the wait
// short. The numbers of connections, seconds and requests are fixed in advance,
// and only loopback is used.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "flamingohollow/entry.h"
#include "flamingohollow/entry_core.h"
#include "flamingohollow/testing/stub_control.h"
#include "util/io_threads.h"

ABSL_FLAG(std::uint32_t, capacity, 2000, "submissions a second of control");
ABSL_FLAG(std::uint32_t, seconds, 5, "how long each load lasts");
ABSL_FLAG(std::uint32_t, connections, 800, "connections of the callers");

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr const char* kToken = "operator-token-000";
constexpr std::size_t kLoadThreads = 2;
constexpr std::size_t kMaxSamples = 1000000;

// Serves submissions one after another.
class SlowControl {
 public:
  explicit SlowControl(std::uint32_t capacity)
      : service_time_(std::chrono::seconds(1)),
        control_(
            [this](const CallRequest&, const auto& done) { Serve(done); }) {
    service_time_ /= capacity;
    control_.SetAnswer(LeaderAnswer(Duration(60000)));
  }
  ~SlowControl() { threads_.Stop(); }
  SlowControl(const SlowControl&) = delete;
  SlowControl& operator=(const SlowControl&) = delete;

  std::string address() const { return control_.address(); }

 private:
  void Serve(const StubControl::CallResponder& done) {
    threads_.Post(0, [this, done] {
      free_at_ = std::max(free_at_, Clock::now()) + service_time_;
      auto timer =
          std::make_shared<asio::steady_timer>(threads_.Loop(0), free_at_);
      timer->async_wait([timer, done](boost::system::error_code error) {
        if (!error) done(JobAnswer(7, Outcome::kQueued));
      });
    });
  }

  std::chrono::nanoseconds service_time_;
  // When the last accepted submission will be served; used only on the loop's
  // thread.
  Clock::time_point free_at_;
  IoThreads threads_{1};
  StubControl control_;
};

// The results of one load.
struct LoadResult {
  std::mutex mutex_;
  // Microseconds.
  std::vector<std::int64_t> accepted_;
  std::vector<std::int64_t> refused_;
  std::atomic<std::uint64_t> failed_{0};
  // Not sent, because the connection still waited for its last answer.
  std::atomic<std::uint64_t> skipped_{0};
  std::atomic<std::uint32_t> open_{0};
};

struct Load {
  std::uint16_t port_ = 0;
  Clock::time_point start_;
  Clock::time_point end_;
  // Between two requests of one connection.
  std::chrono::nanoseconds interval_{};
};

http::request<http::string_body> MakeSubmit(std::uint64_t number) {
  http::request<http::string_body> request(http::verb::post, "/v1/jobs", 11);
  request.set(http::field::host, "x");
  request.set(http::field::authorization, std::string("Bearer ") + kToken);
  request.set("Idempotency-Key", "r-" + std::to_string(number));
  request.body() = R"({"customer": "acme", "accelerators": 1})";
  request.prepare_payload();
  return request;
}

// Answers after the end of the load are ignored: they only drain the queue.
void Record(LoadResult& result, const Load& load, unsigned status,
            Clock::duration latency) {
  if (Clock::now() >= load.end_) return;
  const std::int64_t us =
      std::chrono::duration_cast<microseconds>(latency).count();
  const std::lock_guard lock(result.mutex_);
  auto& samples = status == 202 ? result.accepted_ : result.refused_;
  if (samples.size() < kMaxSamples) samples.push_back(us);
}

// One caller: sends a request each interval, one at a time.
asio::awaitable<void> RunCaller(asio::io_context& loop, Load load,
                                std::uint64_t index, LoadResult& result) {
  beast::tcp_stream stream(loop);
  asio::steady_timer timer(loop);
  beast::flat_buffer buffer;
  const auto [error] = co_await stream.async_connect(
      {asio::ip::make_address("127.0.0.1"), load.port_}, kUseTuple);
  bool ok = !error;
  auto due = load.start_;
  for (std::uint64_t i = 0; ok && due < load.end_; ++i) {
    timer.expires_at(due);
    co_await timer.async_wait(kUseTuple);
    auto request = MakeSubmit(index << 32 | i);
    const auto sent_at = Clock::now();
    const auto [write_error, written] =
        co_await http::async_write(stream, request, kUseTuple);
    http::response<http::string_body> response;
    const auto [read_error, read] =
        co_await http::async_read(stream, buffer, response, kUseTuple);
    ok = !write_error && !read_error;
    if (ok) Record(result, load, response.result_int(), Clock::now() - sent_at);
    due += load.interval_;
    for (; due < Clock::now() && due < load.end_; due += load.interval_) {
      ++result.skipped_;
    }
  }
  if (!ok) ++result.failed_;
  --result.open_;
}

double Quantile(std::vector<std::int64_t>& samples, double quantile) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  const auto index = static_cast<std::size_t>(quantile * last);
  return static_cast<double>(samples[index]) / 1000;
}

// Offers `rate` submissions per second; returns those accepted per second.
double RunLoad(std::uint16_t port, double rate) {
  const std::uint32_t seconds = absl::GetFlag(FLAGS_seconds);
  const std::uint32_t connections = absl::GetFlag(FLAGS_connections);
  IoThreads threads(kLoadThreads);
  LoadResult result;
  Load load;
  load.port_ = port;
  load.interval_ = std::chrono::nanoseconds(
      static_cast<std::int64_t>(1e9 * connections / rate));
  const auto start = Clock::now() + std::chrono::milliseconds(200);
  load.end_ = start + std::chrono::seconds(seconds);
  result.open_ = connections;
  for (std::uint32_t i = 0; i < connections; ++i) {
    load.start_ = start + load.interval_ * i / connections;
    const std::size_t loop = i % kLoadThreads;
    threads.Post(loop, [&threads, &result, load, loop, i] {
      asio::co_spawn(threads.Loop(loop),
                     RunCaller(threads.Loop(loop), load, i, result),
                     asio::detached);
    });
  }
  const auto give_up_at = load.end_ + std::chrono::seconds(10);
  while (result.open_ > 0 && Clock::now() < give_up_at) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  threads.Stop();
  const double goodput = static_cast<double>(result.accepted_.size()) / seconds;
  fmt::print(
      "offered {:.0f}/s: accepted {:.0f}/s (median {:.1f} ms, 99th {:.1f} ms), "
      "refused {:.0f}/s (median {:.2f} ms, 99th {:.2f} ms), not sent {:.0f}/s, "
      "broken connections {}\n",
      rate, goodput, Quantile(result.accepted_, 0.5),
      Quantile(result.accepted_, 0.99),
      static_cast<double>(result.refused_.size()) / seconds,
      Quantile(result.refused_, 0.5), Quantile(result.refused_, 0.99),
      static_cast<double>(result.skipped_.load()) / seconds,
      result.failed_.load());
  return goodput;
}

int Main() {
  SlowControl control(absl::GetFlag(FLAGS_capacity));
  Settings settings;
  settings.name_ = NodeName("entry-0");
  settings.http_ = "127.0.0.1:0";
  settings.controls_ = {control.address()};
  settings.limits_.max_connections_ =
      absl::GetFlag(FLAGS_connections) + kMaxCallsInFlight;
  settings.limits_.drain_ = Duration(500);
  auto entry = EntryServer::Create(
      settings, {{kToken, TokenRole::kOperator, "operator"}});
  if (!entry) return 1;
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const double capacity = absl::GetFlag(FLAGS_capacity);
  double at_capacity = 0;
  for (const int times : {1, 2, 3}) {
    const double goodput = RunLoad((*entry)->port(), capacity * times);
    if (times == 1) at_capacity = goodput;
    fmt::print("  goodput at {} x capacity: {:.1f}% of that at capacity\n",
               times, 100 * goodput / at_capacity);
  }
  (*entry)->Stop();
  return 0;
}

}  // namespace
}  // namespace flamingohollow

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("load on one entry at 1 to 3 times capacity");
  absl::ParseCommandLine(argc, argv);
  return flamingohollow::Main();
}
