// One thread runs everything: the command server, the announcer, the pretended
// tasks and the lease clock.

#include "flamingohollow/testing/fake_worker.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "flamingohollow/lease_table.h"
#include "flamingohollow/worker_json.h"
#include "util/address.h"
#include "util/clock.h"
#include "util/log.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kLeaseCheckInterval(100);
constexpr Duration kDefaultAnnounceInterval(500);
constexpr Duration kHttpTimeout(2000);
// How much later a result is told in mode "late".
constexpr Duration kLateness(3000);
// How long a leaving worker waits for its results to be taken.
constexpr Duration kLeavingLimit(30'000);

std::chrono::milliseconds Chrono(Duration duration) {
  return std::chrono::milliseconds(duration.ms());
}

// Appends lines to a file and syncs each.
class EventFile {
 public:
  explicit EventFile(const std::string& path)
      : fd_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                   0644)) {}
  EventFile(const EventFile&) = delete;
  EventFile& operator=(const EventFile&) = delete;
  ~EventFile() { ::close(fd_); }

  bool ok() const { return fd_ >= 0; }

  void Append(std::string line) {
    line += '\n';
    const bool written = ::write(fd_, line.data(), line.size()) ==
                         static_cast<ssize_t>(line.size());
    if (!written || ::fdatasync(fd_) != 0) {
      LogError("the events file can't be written");
      std::_Exit(1);
    }
  }

 private:
  int fd_;
};

class FakeWorker {
 public:
  explicit FakeWorker(const FakeWorkerOptions& options)
      : options_(options),
        events_(options.events_path_),
        acceptor_(io_),
        lease_timer_(io_),
        announce_timer_(io_),
        signals_(io_, SIGTERM, SIGUSR1) {
    leases_.incarnation_ =
        Incarnation(static_cast<std::uint64_t>(WallNow().ms()));
    leases_.accelerators_ = options.accelerators_;
    const bool refuses = options.mode_ == FakeWorkerMode::kRefuse;
    leases_.slots_ = refuses ? 0 : options.slots_;
  }

  int Run() {
    if (!events_.ok() || !Listen()) {
      LogError("can't open \"{}\" or listen on \"{}\"", options_.events_path_,
               options_.listen_);
      return 1;
    }
    asio::co_spawn(io_, Accept(), asio::detached);
    asio::co_spawn(io_, AnnounceLoop(), asio::detached);
    asio::co_spawn(io_, LeaseLoop(), asio::detached);
    asio::co_spawn(io_, SignalLoop(), asio::detached);
    io_.run();
    return 0;
  }

 private:
  bool Listen() {
    const auto endpoint = ParseTcpAddress(options_.listen_);
    if (!endpoint) return false;
    error_code error;
    acceptor_.open(endpoint->protocol(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind(*endpoint, error);
    if (!error)
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    return !error;
  }

  // --- Commands.

  asio::awaitable<void> Accept() {
    for (;;) {
      error_code error;
      tcp::socket socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    socket.set_option(tcp::no_delay(true));
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
      error_code error;
      http::request<http::string_body> request;
      co_await http::async_read(
          stream, buffer, request,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      http::response<http::string_body> response = Answer(request);
      response.keep_alive(request.keep_alive());
      response.prepare_payload();
      co_await http::async_write(
          stream, response, asio::redirect_error(asio::use_awaitable, error));
      if (error || !request.keep_alive()) co_return;
    }
  }

  http::response<http::string_body> Answer(
      const http::request<http::string_body>& request) {
    http::response<http::string_body> response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    const auto commands = ParseCommands(request.body());
    if (request.target() != "/v1/commands" || !commands) {
      response.result(http::status::bad_request);
      return response;
    }
    for (const WorkerCommand& command : *commands) {
      Carry(ApplyWorkerCommand(leases_, command, MonotonicNow()));
    }
    WakeAnnouncerOnChange();
    response.body() = WriteAnnouncement({true, MakeReport()});
    return response;
  }

  // Writes the events down, then starts the tasks that start.
  void Carry(const LeaseEvents& events) {
    for (const LeaseEvent& event : events) {
      switch (event.kind_) {
        case LeaseEventKind::kPrepared:
          Record("prepare", event);
          break;
        case LeaseEventKind::kStarted:
          Record("start", event);
          asio::co_spawn(io_, RunTask(event), asio::detached);
          break;
        case LeaseEventKind::kStopped:
          Record("stop", event);
          break;
        case LeaseEventKind::kReleased:
          Record("release", event);
          break;
        case LeaseEventKind::kRefused:
          break;
      }
    }
  }

  void Record(std::string_view name, const LeaseEvent& event) {
    events_.Append(json::serialize(
        json::object{{"event", name},
                     {"job", fmt::to_string(event.key_.job_.value())},
                     {"request_id", event.request_id_.value()},
                     {"customer", event.customer_.value()},
                     {"attempt", event.key_.attempt_.value()},
                     {"task", event.key_.task_.value()},
                     {"accelerators", event.accelerators_.value()},
                     {"at_ms", WallNow().ms()}}));
  }

  // --- Tasks.

  asio::awaitable<void> RunTask(LeaseEvent started) {
    if (options_.mode_ == FakeWorkerMode::kHang) co_return;
    const bool fails = options_.mode_ == FakeWorkerMode::kFailAll;
    if (!fails) co_await Sleep(started.run_time_);
    if (!Runs(started.key_)) co_return;
    Record("finish", started);
    if (options_.mode_ == FakeWorkerMode::kLate) co_await Sleep(kLateness);
    const std::string part =
        fails ? fmt::format("{} fails every task", options_.name_.value())
              : fmt::format("task {} of {} done", started.key_.task_.value(),
                            started.request_id_.value());
    FinishTask(leases_, started.key_, !fails, part);
    WakeAnnouncerOnChange();
  }

  bool Runs(const LeaseKey& key) const {
    const auto it = leases_.leases_.find(key);
    return it != leases_.leases_.end() &&
           it->second.state_ == LeaseState::kRunning;
  }

  asio::awaitable<void> Sleep(Duration duration) {
    asio::steady_timer timer(io_, Chrono(duration));
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> LeaseLoop() {
    for (;;) {
      error_code error;
      lease_timer_.expires_after(Chrono(kLeaseCheckInterval));
      co_await lease_timer_.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      Carry(ExpireLeases(leases_, MonotonicNow()));
      WakeAnnouncerOnChange();
      if (MayExit()) io_.stop();
    }
  }

  // --- Announcements.

  WorkerReport MakeReport() {
    if (reported_changes_ != leases_.changes_) {
      reported_changes_ = leases_.changes_;
      ++sequence_;
    }
    WorkerReport report;
    report.worker_ = options_.name_;
    report.incarnation_ = leases_.incarnation_;
    report.sequence_ = sequence_;
    report.address_ = options_.listen_;
    report.place_ = options_.place_;
    report.accelerators_ = options_.accelerators_;
    report.slots_ = options_.slots_;
    report.connections_ = options_.connections_;
    report.state_ = leases_.state_;
    report.leases_ = ReportLeases(leases_);
    return report;
  }

  void WakeAnnouncerOnChange() {
    if (leases_.changes_ != announced_changes_) announce_timer_.cancel();
  }

  asio::awaitable<void> AnnounceLoop() {
    std::size_t server = std::hash<std::string>()(options_.name_.value());
    for (;;) {
      const std::string& address =
          options_.servers_[server++ % options_.servers_.size()];
      co_await AnnounceTo(address);
      co_await Sleep(kLeaseCheckInterval);
    }
  }

  // Announces over one connection until it fails.
  asio::awaitable<void> AnnounceTo(const std::string& address) {
    const auto endpoint = ParseTcpAddress(address);
    if (!endpoint) co_return;
    beast::tcp_stream stream(io_);
    error_code error;
    stream.expires_after(Chrono(kHttpTimeout));
    co_await stream.async_connect(
        *endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    stream.socket().set_option(tcp::no_delay(true));
    bool whole = true;
    for (;;) {
      const auto reply = co_await Exchange(stream, whole);
      if (!reply) co_return;
      whole = !reply->known_;
      if (whole) continue;
      // This entry has no authority to renew; another one may.
      if (reply->renew_ == Duration()) co_return;
      co_await WaitForChange(reply->announce_after_);
      whole = leases_.changes_ != announced_changes_;
    }
  }

  asio::awaitable<void> WaitForChange(Duration at_most) {
    if (leases_.changes_ != announced_changes_) co_return;
    if (at_most == Duration()) at_most = kDefaultAnnounceInterval;
    error_code error;
    announce_timer_.expires_after(Chrono(at_most));
    co_await announce_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }

  // Sends one announcement and takes in the renewal of its answer.
  asio::awaitable<std::optional<AnnounceReply>> Exchange(
      beast::tcp_stream& stream, bool whole) {
    const Time sent_at = MonotonicNow();
    announced_changes_ = leases_.changes_;
    const std::string body = WriteAnnouncement({whole, MakeReport()});
    auto reply = co_await Send(stream, body);
    if (reply && options_.mode_ == FakeWorkerMode::kTwice) {
      if (whole) previous_bodies_.push_back(body);
      co_await Send(stream, body);
      co_await Send(stream, previous_bodies_.front());
    }
    if (reply) RenewLeases(leases_, sent_at, reply->renew_, reply->excluded_);
    co_return reply;
  }

  asio::awaitable<std::optional<AnnounceReply>> Send(beast::tcp_stream& stream,
                                                     std::string body) {
    http::request<http::string_body> request(http::verb::post,
                                             "/v1/workers/announce", 11);
    request.set(http::field::host, "entry");
    request.set(http::field::authorization, "Bearer " + options_.token_);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    error_code error;
    stream.expires_after(Chrono(kHttpTimeout));
    co_await http::async_write(
        stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return std::nullopt;
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    co_await http::async_read(stream, buffer, response,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error || response.result() != http::status::ok) co_return std::nullopt;
    auto reply = ParseAnnounceReply(response.body());
    if (!reply) co_return std::nullopt;
    co_return *reply;
  }

  // --- Leaving.

  asio::awaitable<void> SignalLoop() {
    for (;;) {
      error_code error;
      const int signal = co_await signals_.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      leases_.state_ = WorkerState::kLeaving;
      ++leases_.changes_;
      if (signal == SIGTERM) exiting_ = true;
      LogInfo("{} leaves", options_.name_.value());
      WakeAnnouncerOnChange();
    }
  }

  // A leaving worker stays until its results are taken, within a limit that
  // counts from when its last task was over.
  bool MayExit() {
    if (!exiting_) return false;
    if (UsedSlots(leases_) > 0) {
      idle_since_.reset();
      return false;
    }
    if (!idle_since_) idle_since_ = MonotonicNow();
    return leases_.leases_.empty() ||
           MonotonicNow() - *idle_since_ > kLeavingLimit;
  }

  const FakeWorkerOptions options_;
  EventFile events_;
  LeaseTable leases_;
  std::uint64_t sequence_ = 1;
  // `leases_.changes_` when the sequence last grew, and when the announcer
  // last sent a report.
  std::uint64_t reported_changes_ = 0;
  std::uint64_t announced_changes_ = 0;
  std::vector<std::string> previous_bodies_;
  bool exiting_ = false;
  std::optional<Time> idle_since_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  asio::steady_timer lease_timer_;
  asio::steady_timer announce_timer_;
  asio::signal_set signals_;
};

}  // namespace

int RunFakeWorker(const FakeWorkerOptions& options) {
  return FakeWorker(options).Run();
}

}  // namespace flamingohollow
