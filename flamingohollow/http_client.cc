// HTTP client on Boost.Beast; all state belongs to one loop.

#include "flamingohollow/http_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "flamingohollow/http_read.h"
#include "util/address.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using ResponseParser = http::response_parser<http::string_body>;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kMaxHeaderBytes = 8192;
// Limit on what a connection has read and not parsed yet.
constexpr std::size_t kMaxBufferBytes = 16384;
// How often idle connections are checked for expiry.
constexpr Duration kSweepInterval = Duration(5000);
// How often waiting requests are checked for expiry.
constexpr Duration kExpiryInterval = Duration(50);

std::chrono::milliseconds Ms(Duration duration) {
  return std::chrono::milliseconds(duration.ms());
}

struct Connection {
  explicit Connection(asio::io_context& loop) : stream_(loop) {}
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxBufferBytes};
  bool connected_ = false;
};
using ConnectionPtr = std::unique_ptr<Connection>;

struct IdleConnection {
  std::string address_;
  ConnectionPtr connection_;
  Time since_;
};
// In the order in which they became idle.
using IdleList = std::list<IdleConnection>;

struct ClientRequest {
  HttpPost post_;
  HttpClient::Callback done_;
  Time deadline_;
};

// The connections to one address and the requests that wait for one.
struct AddressPool {
  // Connections in use. Together with the idle ones, at most max_connections_.
  std::uint32_t busy_ = 0;
  // The newest is last.
  std::deque<IdleList::iterator> idle_;
  std::deque<ClientRequest> waiting_;
  // Whether the address is in `short_of_connections_`.
  bool in_line_ = false;
};

}  // namespace

struct HttpClientState : std::enable_shared_from_this<HttpClientState> {
  HttpClientState(const HttpClientOptions& options, IoThreads& threads,
                  std::size_t loop)
      : options_(options),
        loop_(threads.Loop(loop)),
        sweep_timer_(loop_),
        expiry_timer_(loop_) {}

  const HttpClientOptions options_;
  asio::io_context& loop_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer expiry_timer_;
  bool expiry_scheduled_ = false;
  std::map<std::string, AddressPool> pools_;
  IdleList idle_;
  // Addresses whose first waiting request needs a connection over the total
  // limit.
  std::deque<std::string> short_of_connections_;
  // Connections that exist, busy or idle.
  std::atomic<std::uint64_t> open_{0};
  std::atomic<std::uint64_t> evicted_{0};
  std::atomic<std::uint64_t> delayed_{0};
  // What is reserved for responses that are being read.
  std::atomic<std::uint64_t> response_bytes_{0};

  void Submit(ClientRequest request);
  void StartRequest(AddressPool& pool, ClientRequest request);
  bool CanStart(const AddressPool& pool) const;
  bool HasConnection(const AddressPool& pool) const;
  ConnectionPtr TakeConnection(AddressPool& pool, bool new_connection);
  void CloseIdle(IdleList::iterator idle);
  void ReturnConnection(const std::string& address, ConnectionPtr connection,
                        bool reusable);
  void StartWaiting(const std::string& address);
  void StartInLine();
  void ExpireWaiting();
  void ScheduleExpiry();
  void Sweep();
  void ScheduleSweep();
  asio::awaitable<void> Exchange(ClientRequest request,
                                 ConnectionPtr connection);
};

namespace {

http::request<http::string_body> ToMessage(HttpPost& post) {
  http::request<http::string_body> message(http::verb::post, post.target_, 11);
  message.set(http::field::host, post.address_);
  message.set(http::field::content_type, "application/json");
  if (!post.trace_parent_.empty()) {
    message.set("traceparent", post.trace_parent_);
  }
  for (const auto& [name, value] : post.headers_) message.set(name, value);
  message.body() = std::move(post.body_);
  message.prepare_payload();
  return message;
}

// Whether the limits on memory allow what is held of a response.
struct MayHold {
  const HttpClientOptions& options_;
  Reservation& memory_;

  bool operator()(const beast::flat_buffer& /*buffer*/,
                  const ResponseParser& parser) const {
    const auto& message = parser.get();
    const std::size_t bytes = HeaderBytes(message) + message.body().capacity();
    return memory_.Resize(bytes - std::min(bytes, kFreeResponseBytes),
                          options_.max_total_response_bytes_);
  }
};

// Whether a response is missing because the peer ended the connection, and not
// because this side refuses to read it.
bool EndedByPeer(error_code error) {
  if (!error || error == asio::error::no_memory) return false;
  return error == http::error::partial_message ||
         error.category() !=
             make_error_code(http::error::bad_method).category();
}

asio::awaitable<HttpClientError> Connect(Connection& connection,
                                         const std::string& address) {
  const std::optional<Tcp::endpoint> endpoint = ParseTcpAddress(address);
  if (!endpoint.has_value()) co_return HttpClientError::kBadAddress;
  const auto [connect_error] =
      co_await connection.stream_.async_connect(*endpoint, kUseTuple);
  if (connect_error == asio::error::connection_refused) {
    co_return HttpClientError::kConnectRefused;
  }
  if (connect_error) co_return HttpClientError::kConnectFailed;
  error_code ignored;
  connection.stream_.socket().set_option(Tcp::no_delay(true), ignored);
  connection.connected_ = true;
  co_return HttpClientError::kNone;
}

}  // namespace

asio::awaitable<void> HttpClientState::Exchange(ClientRequest request,
                                                ConnectionPtr connection) {
  const std::string address = request.post_.address_;
  HttpResult result;
  bool reusable = false;
  const bool reused = connection->connected_;
  const auto expired = [&request] {
    return MonotonicNow() >= request.deadline_;
  };
  // The time is over if the process was suspended meanwhile. The request may be
  // obsolete then: a command of a leader that has been replaced.
  if (expired()) {
    result.error_ = HttpClientError::kOverloaded;
  } else {
    connection->stream_.expires_after(Ms(request.deadline_ - MonotonicNow()));
  }
  if (result.error_ == HttpClientError::kNone && !reused) {
    result.error_ = co_await Connect(*connection, address);
    const bool connected = result.error_ == HttpClientError::kNone;
    if (connected && expired()) result.error_ = HttpClientError::kOverloaded;
  }
  if (result.error_ == HttpClientError::kNone) {
    result.error_ = HttpClientError::kNoAnswer;
    Reservation memory(response_bytes_);
    auto message = ToMessage(request.post_);
    const auto [write_error, written] =
        co_await http::async_write(connection->stream_, message, kUseTuple);
    ResponseParser parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(options_.max_response_bytes_);
    error_code error = write_error;
    if (!error) {
      error = co_await ReadMessage(connection->stream_, connection->buffer_,
                                   parser, MayHold{options_, memory});
      result.broke_off_ = EndedByPeer(error) && !reused && !expired();
    }
    if (!error) {
      result.error_ = HttpClientError::kNone;
      result.status_ = parser.get().result_int();
      result.body_ = std::move(parser.get().body());
      reusable = parser.keep_alive();
    }
  }
  ReturnConnection(address, std::move(connection), reusable);
  request.done_(std::move(result));
}

// Whether a request to the address can get a connection: an idle one, a new one
// within the total limit, or a new one in place of another address's idle one.
bool HttpClientState::HasConnection(const AddressPool& pool) const {
  return !pool.idle_.empty() || open_ < options_.max_total_connections_ ||
         !idle_.empty();
}

bool HttpClientState::CanStart(const AddressPool& pool) const {
  return pool.busy_ < options_.max_connections_ && HasConnection(pool);
}

void HttpClientState::CloseIdle(IdleList::iterator idle) {
  AddressPool& pool = pools_[idle->address_];
  std::erase(pool.idle_, idle);
  idle_.erase(idle);
  --open_;
}

// The caller has checked HasConnection.
ConnectionPtr HttpClientState::TakeConnection(AddressPool& pool,
                                              bool new_connection) {
  const Time now = MonotonicNow();
  while (!pool.idle_.empty()) {
    const IdleList::iterator newest = pool.idle_.back();
    // Closing one keeps the address within its limit.
    if (new_connection || now - newest->since_ >= options_.max_idle_) {
      CloseIdle(newest);
      if (new_connection) break;
      continue;
    }
    ConnectionPtr connection = std::move(newest->connection_);
    pool.idle_.pop_back();
    idle_.erase(newest);
    return connection;
  }
  if (open_ >= options_.max_total_connections_ && !idle_.empty()) {
    CloseIdle(idle_.begin());
    ++evicted_;
  }
  ++open_;
  return std::make_unique<Connection>(loop_);
}

void HttpClientState::StartRequest(AddressPool& pool, ClientRequest request) {
  ++pool.busy_;
  ConnectionPtr connection =
      TakeConnection(pool, request.post_.new_connection_);
  asio::co_spawn(
      loop_,
      [state = shared_from_this(), request = std::move(request),
       connection = std::move(connection)]() mutable {
        return state->Exchange(std::move(request), std::move(connection));
      },
      asio::detached);
}

void HttpClientState::Submit(ClientRequest request) {
  const std::string address = request.post_.address_;
  AddressPool& pool = pools_[address];
  if (pool.waiting_.empty() && CanStart(pool)) {
    return StartRequest(pool, std::move(request));
  }
  if (pool.waiting_.size() >= options_.max_queued_) {
    return request.done_({HttpClientError::kOverloaded, 0, ""});
  }
  pool.waiting_.push_back(std::move(request));
  ScheduleExpiry();
  StartWaiting(address);
}

void HttpClientState::ReturnConnection(const std::string& address,
                                       ConnectionPtr connection,
                                       bool reusable) {
  AddressPool& pool = pools_[address];
  --pool.busy_;
  if (reusable) {
    connection->stream_.expires_never();
    idle_.push_back({address, std::move(connection), MonotonicNow()});
    pool.idle_.push_back(std::prev(idle_.end()));
  } else {
    connection.reset();
    --open_;
  }
  StartInLine();
  StartWaiting(address);
}

// Starts the address's waiting requests as far as the limits allow. If the
// total limit stops it, the address gets in line.
void HttpClientState::StartWaiting(const std::string& address) {
  AddressPool& pool = pools_[address];
  while (!pool.waiting_.empty() && CanStart(pool)) {
    ClientRequest next = std::move(pool.waiting_.front());
    pool.waiting_.pop_front();
    StartRequest(pool, std::move(next));
  }
  const bool short_of_connections =
      !pool.waiting_.empty() && pool.busy_ < options_.max_connections_;
  if (!short_of_connections || pool.in_line_) return;
  pool.in_line_ = true;
  ++delayed_;
  short_of_connections_.push_back(address);
}

void HttpClientState::StartInLine() {
  while (!short_of_connections_.empty()) {
    const std::string address = short_of_connections_.front();
    AddressPool& pool = pools_[address];
    if (!pool.waiting_.empty() && !HasConnection(pool)) return;
    short_of_connections_.pop_front();
    pool.in_line_ = false;
    StartWaiting(address);
  }
}

void HttpClientState::ExpireWaiting() {
  const Time now = MonotonicNow();
  std::vector<ClientRequest> expired;
  bool waiting = false;
  for (auto& [address, pool] : pools_) {
    const auto kept = std::stable_partition(
        pool.waiting_.begin(), pool.waiting_.end(),
        [now](const ClientRequest& r) { return r.deadline_ > now; });
    std::move(kept, pool.waiting_.end(), std::back_inserter(expired));
    pool.waiting_.erase(kept, pool.waiting_.end());
    waiting = waiting || !pool.waiting_.empty();
  }
  if (waiting) ScheduleExpiry();
  for (ClientRequest& request : expired) {
    request.done_({HttpClientError::kOverloaded, 0, ""});
  }
}

void HttpClientState::ScheduleExpiry() {
  if (expiry_scheduled_) return;
  expiry_scheduled_ = true;
  expiry_timer_.expires_after(Ms(kExpiryInterval));
  expiry_timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto state = weak.lock();
    if (error || state == nullptr) return;
    state->expiry_scheduled_ = false;
    state->ExpireWaiting();
  });
}

void HttpClientState::Sweep() {
  const Time now = MonotonicNow();
  while (!idle_.empty() && now - idle_.front().since_ >= options_.max_idle_) {
    CloseIdle(idle_.begin());
  }
  std::erase_if(pools_, [](const auto& item) {
    const AddressPool& pool = item.second;
    return pool.busy_ == 0 && pool.idle_.empty() && pool.waiting_.empty() &&
           !pool.in_line_;
  });
}

void HttpClientState::ScheduleSweep() {
  sweep_timer_.expires_after(Ms(kSweepInterval));
  sweep_timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto state = weak.lock();
    if (error || state == nullptr) return;
    state->Sweep();
    state->ScheduleSweep();
  });
}

HttpClient::HttpClient(const HttpClientOptions& options, IoThreads& threads,
                       std::size_t loop)
    : state_(std::make_shared<HttpClientState>(options, threads, loop)) {
  asio::post(state_->loop_, [state = state_] { state->ScheduleSweep(); });
}

HttpClient::~HttpClient() = default;

void HttpClient::Post(HttpPost post, Callback done) {
  const Time deadline = MonotonicNow() + post.timeout_;
  asio::post(
      state_->loop_,
      [state = state_, request = ClientRequest{std::move(post), std::move(done),
                                               deadline}]() mutable {
        state->Submit(std::move(request));
      });
}

std::uint64_t HttpClient::open_connections() const { return state_->open_; }

std::uint64_t HttpClient::evicted_connections() const {
  return state_->evicted_;
}

std::uint64_t HttpClient::delayed_addresses() const { return state_->delayed_; }

}  // namespace flamingohollow
