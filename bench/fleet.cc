// fleet: announces many workers at once to the entries of a running cluster,
// and counts what that costs on the wire. A measuring tool: the workers hold
// no leases and run nothing, so don't submit jobs to them.
//
//   fleet --servers=HOST:PORT,... --token_file=FILE --workers=N --seconds=S
//
// Prints one JSON object: announcements and bytes a second over the last
// `measured_seconds`, headers included.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/worker_json.h"
#include "util/address.h"
#include "util/clock.h"
#include "util/text.h"

ABSL_FLAG(std::string, servers, "", "the entries, HOST:PORT,HOST:PORT");
ABSL_FLAG(std::string, token_file, "", "file with the workers' token");
ABSL_FLAG(int, workers, 50, "how many workers to announce, 1 to 5000");
ABSL_FLAG(int, seconds, 20, "for how long, 1 to 300");
ABSL_FLAG(int, measured_seconds, 10, "the last part of it that is counted");

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr int kMaxWorkers = 5000;
constexpr int kMaxSeconds = 300;
constexpr int kWorkersPerRack = 8;
constexpr int kFailureDomains = 5;
constexpr Duration kRetryPause(500);

struct Counts {
  std::uint64_t announcements_ = 0;
  std::uint64_t whole_ = 0;
  std::uint64_t failures_ = 0;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
};

WorkerReport MakeReport(int number) {
  WorkerReport report;
  report.worker_ = WorkerId(fmt::format("fleet-{}", number));
  report.incarnation_ = Incarnation(1);
  report.sequence_ = 1;
  report.address_ = "127.0.0.1:9";
  const int domain = number % kFailureDomains;
  const int rack = number / kFailureDomains / kWorkersPerRack;
  report.place_ = {Region(fmt::format("region-{}", domain % 2)),
                   FailureDomain(fmt::format("domain-{}", domain)),
                   Rack(fmt::format("rack-{}-{}", domain, rack))};
  report.accelerators_ = Accelerators(1);
  report.slots_ = 20;
  report.connections_ = 60;
  return report;
}

class Fleet {
 public:
  Fleet(asio::io_context& io, std::vector<std::string> servers,
        std::string token)
      : io_(io), servers_(std::move(servers)), token_(std::move(token)) {}

  asio::awaitable<void> RunWorker(int number) {
    const WorkerReport report = MakeReport(number);
    // Spreads the first announcements over one interval.
    co_await Sleep(Duration(number % 500));
    for (std::size_t server = number;; ++server) {
      co_await Announce(report, servers_[server % servers_.size()]);
      ++counts_.failures_;
      co_await Sleep(kRetryPause);
    }
  }

  const Counts& counts() const { return counts_; }

 private:
  asio::awaitable<void> Sleep(Duration duration) {
    asio::steady_timer timer(io_, std::chrono::milliseconds(duration.ms()));
    co_await timer.async_wait(asio::use_awaitable);
  }

  // Announces over one connection until it fails.
  asio::awaitable<void> Announce(const WorkerReport& report,
                                 const std::string& server) {
    const auto endpoint = ParseTcpAddress(server);
    if (!endpoint) co_return;
    beast::tcp_stream stream(io_);
    error_code error;
    co_await stream.async_connect(
        *endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    beast::flat_buffer buffer;
    bool whole = true;
    for (;;) {
      http::request<http::string_body> request(http::verb::post,
                                               "/v1/workers/announce", 11);
      request.set(http::field::host, "entry");
      request.set(http::field::authorization, "Bearer " + token_);
      request.body() = WriteAnnouncement({whole, report});
      request.prepare_payload();
      counts_.sent_bytes_ += co_await http::async_write(
          stream, request, asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      http::response<http::string_body> response;
      counts_.received_bytes_ += co_await http::async_read(
          stream, buffer, response,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      ++counts_.announcements_;
      counts_.whole_ += whole ? 1 : 0;
      const auto reply = ParseAnnounceReply(response.body());
      if (!reply) co_return;
      whole = !reply->known_;
      if (!whole) co_await Sleep(reply->announce_after_);
    }
  }

  asio::io_context& io_;
  const std::vector<std::string> servers_;
  const std::string token_;
  Counts counts_;
};

int Main() {
  const int workers = absl::GetFlag(FLAGS_workers);
  const int seconds = absl::GetFlag(FLAGS_seconds);
  const int measured = absl::GetFlag(FLAGS_measured_seconds);
  const auto servers = SplitText(absl::GetFlag(FLAGS_servers), ',');
  if (workers < 1 || workers > kMaxWorkers || seconds < 1 ||
      seconds > kMaxSeconds || measured < 1 || measured > seconds ||
      servers.empty()) {
    fmt::print(stderr, "a flag is out of its range, or --servers is empty\n");
    return 2;
  }
  asio::io_context io;
  Fleet fleet(io, servers, ReadFirstLine(absl::GetFlag(FLAGS_token_file)));
  for (int i = 0; i < workers; ++i) {
    asio::co_spawn(io, fleet.RunWorker(i), asio::detached);
  }
  io.run_for(std::chrono::seconds(seconds - measured));
  const Counts before = fleet.counts();
  io.run_for(std::chrono::seconds(measured));
  const Counts after = fleet.counts();
  const auto rate = [&](std::uint64_t Counts::*field) {
    return static_cast<double>(after.*field - before.*field) / measured;
  };
  fmt::print(
      "{{\"announcements\":{:.1f},\"whole\":{:.1f},\"failures\":{:.1f},"
      "\"sent_bytes\":{:.1f},\"received_bytes\":{:.1f}}}\n",
      rate(&Counts::announcements_), rate(&Counts::whole_),
      rate(&Counts::failures_), rate(&Counts::sent_bytes_),
      rate(&Counts::received_bytes_));
  return 0;
}

}  // namespace
}  // namespace flamingohollow

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return flamingohollow::Main();
}
