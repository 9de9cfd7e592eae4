// HTTP client on Boost.Beast; all state belongs to one loop.

#include "flamingohollow/http_client.h"

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
#include <map>
#include <optional>
#include <utility>

#include "util/address.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kMaxHeaderBytes = 8192;
// How often idle connections are checked for expiry.
constexpr Duration kSweepInterval = Duration(5000);

std::chrono::milliseconds Ms(Duration duration) {
  return std::chrono::milliseconds(duration.ms());
}

struct Connection {
  explicit Connection(asio::io_context& loop) : stream_(loop) {}
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool connected_ = false;
  // When it was last returned to the pool.
  Time idle_since_;
};
using ConnectionPtr = std::unique_ptr<Connection>;

struct ClientRequest {
  HttpPost post_;
  HttpClient::Callback done_;
  Time deadline_;
};

// The connections to one address and the requests that wait for one.
struct AddressPool {
  // Connections in use. Together with the idle ones, at most max_connections_.
  std::uint32_t busy_ = 0;
  std::deque<ConnectionPtr> idle_;
  std::deque<ClientRequest> waiting_;
};

}  // namespace

struct HttpClientState : std::enable_shared_from_this<HttpClientState> {
  HttpClientState(const HttpClientOptions& options, IoThreads& threads,
                  std::size_t loop)
      : options_(options), loop_(threads.Loop(loop)), sweep_timer_(loop_) {}

  const HttpClientOptions options_;
  asio::io_context& loop_;
  asio::steady_timer sweep_timer_;
  std::map<std::string, AddressPool> pools_;
  std::atomic<std::uint64_t> open_{0};

  void Submit(ClientRequest request);
  void StartRequest(ClientRequest request);
  ConnectionPtr TakeConnection(AddressPool& pool);
  void ReturnConnection(const std::string& address, ConnectionPtr connection,
                        bool reusable);
  void StartNext(const std::string& address);
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

asio::awaitable<HttpClientError> Connect(Connection& connection,
                                         const std::string& address) {
  const std::optional<Tcp::endpoint> endpoint = ParseTcpAddress(address);
  if (!endpoint.has_value()) co_return HttpClientError::kBadAddress;
  const auto [connect_error] =
      co_await connection.stream_.async_connect(*endpoint, kUseTuple);
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
  connection->stream_.expires_after(Ms(request.deadline_ - MonotonicNow()));
  if (!connection->connected_) {
    result.error_ = co_await Connect(*connection, address);
  }
  if (result.error_ == HttpClientError::kNone) {
    result.error_ = HttpClientError::kNoAnswer;
    auto message = ToMessage(request.post_);
    const auto [write_error, written] =
        co_await http::async_write(connection->stream_, message, kUseTuple);
    http::response_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(options_.max_response_bytes_);
    error_code error = write_error;
    if (!error) {
      const auto [read_error, bytes] = co_await http::async_read(
          connection->stream_, connection->buffer_, parser, kUseTuple);
      error = read_error;
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

ConnectionPtr HttpClientState::TakeConnection(AddressPool& pool) {
  const Time now = MonotonicNow();
  while (!pool.idle_.empty()) {
    ConnectionPtr connection = std::move(pool.idle_.back());
    pool.idle_.pop_back();
    if (now - connection->idle_since_ < options_.max_idle_) return connection;
    --open_;
  }
  ++open_;
  return std::make_unique<Connection>(loop_);
}

void HttpClientState::StartRequest(ClientRequest request) {
  if (request.deadline_ <= MonotonicNow()) {
    StartNext(request.post_.address_);
    request.done_({HttpClientError::kConnectFailed, 0, ""});
    return;
  }
  AddressPool& pool = pools_[request.post_.address_];
  ++pool.busy_;
  ConnectionPtr connection = TakeConnection(pool);
  asio::co_spawn(
      loop_,
      [state = shared_from_this(), request = std::move(request),
       connection = std::move(connection)]() mutable {
        return state->Exchange(std::move(request), std::move(connection));
      },
      asio::detached);
}

void HttpClientState::Submit(ClientRequest request) {
  AddressPool& pool = pools_[request.post_.address_];
  if (pool.busy_ < options_.max_connections_) {
    StartRequest(std::move(request));
  } else if (pool.waiting_.size() < options_.max_queued_) {
    pool.waiting_.push_back(std::move(request));
  } else {
    request.done_({HttpClientError::kOverloaded, 0, ""});
  }
}

void HttpClientState::ReturnConnection(const std::string& address,
                                       ConnectionPtr connection,
                                       bool reusable) {
  AddressPool& pool = pools_[address];
  --pool.busy_;
  if (reusable) {
    connection->stream_.expires_never();
    connection->idle_since_ = MonotonicNow();
    pool.idle_.push_back(std::move(connection));
  } else {
    --open_;
  }
  StartNext(address);
}

void HttpClientState::StartNext(const std::string& address) {
  AddressPool& pool = pools_[address];
  if (pool.waiting_.empty() || pool.busy_ >= options_.max_connections_) return;
  ClientRequest next = std::move(pool.waiting_.front());
  pool.waiting_.pop_front();
  StartRequest(std::move(next));
}

void HttpClientState::Sweep() {
  const Time now = MonotonicNow();
  for (auto it = pools_.begin(); it != pools_.end();) {
    AddressPool& pool = it->second;
    // The connections idle for longest are at the front.
    while (!pool.idle_.empty() &&
           now - pool.idle_.front()->idle_since_ >= options_.max_idle_) {
      pool.idle_.pop_front();
      --open_;
    }
    const bool unused =
        pool.busy_ == 0 && pool.idle_.empty() && pool.waiting_.empty();
    it = unused ? pools_.erase(it) : std::next(it);
  }
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

}  // namespace flamingohollow
