// HTTP server on Boost.Beast: one coroutine per connection, which stays on one
// event loop.
//
// Accepted sockets are assigned to the loops round-robin. A session's
// state is touched only on its loop's thread; the server's shared counts are
// atomic. The handler may respond from any thread: the response is posted to
// the session's loop, which resumes the coroutine by cancelling a timer.

#include "flamingohollow/http_server.h"

#include <sys/socket.h>

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
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <optional>
#include <set>
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
using RequestParser = http::request_parser<http::string_body>;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
// Limit on what a connection has read and not parsed yet.
constexpr std::size_t kMaxBufferBytes = kMaxHeaderBytes + kFirstReadBytes;
// Of max_total_body_bytes_, bodies larger than this leave a half to others.
constexpr std::size_t kSmallBodyBytes = 65536;
// During a drain, an idle connection waits this long for a last request.
constexpr Duration kIdleDrainTimeout = Duration(500);
constexpr Duration kAcceptRetryDelay = Duration(20);

std::chrono::milliseconds Ms(Duration duration) {
  return std::chrono::milliseconds(duration.ms());
}

std::string Header(const http::fields& fields, std::string_view name) {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : std::string(found->value());
}

HttpRequest ToRequest(RequestParser& parser,
                      const std::vector<std::string>& headers) {
  auto& message = parser.get();
  HttpRequest request;
  request.method_ = std::string(message.method_string());
  request.target_ = std::string(message.target());
  request.authorization_ = Header(message, "Authorization");
  request.idempotency_key_ = Header(message, "Idempotency-Key");
  request.trace_parent_ = Header(message, "traceparent");
  for (const std::string& name : headers) {
    request.headers_.push_back(Header(message, name));
  }
  request.body_ = std::move(message.body());
  return request;
}

http::response<http::string_body> ToMessage(HttpResponse response,
                                            unsigned version, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(version);
  message.result(response.status_);
  message.set(http::field::content_type, response.content_type_);
  if (response.retry_after_ > Duration(0)) {
    const std::int64_t seconds = (response.retry_after_.ms() + 999) / 1000;
    message.set(http::field::retry_after, std::to_string(seconds));
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body_);
  message.prepare_payload();
  return message;
}

// The response to one request; touched only on its loop's thread.
struct PendingResponse {
  explicit PendingResponse(asio::io_context& loop) : wake_(loop) {
    wake_.expires_at(asio::steady_timer::time_point::max());
  }
  asio::steady_timer wake_;
  std::optional<HttpResponse> response_;
};

// Increments `count` for the lifetime of the object.
class ScopedCount {
 public:
  explicit ScopedCount(std::atomic<std::uint64_t>& count) : count_(count) {
    ++count_;
  }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<std::uint64_t>& count_;
};

}  // namespace

struct HttpSession;

struct HttpServerState : std::enable_shared_from_this<HttpServerState> {
  HttpServerState(const HttpServerOptions& options, IoThreads& threads,
                  HttpHandler handler)
      : options_(options),
        threads_(threads),
        handler_(std::move(handler)),
        acceptor_(threads.Loop(0)),
        drain_timer_(threads.Loop(0)),
        idle_(threads.size()) {}

  const HttpServerOptions options_;
  IoThreads& threads_;
  const HttpHandler handler_;
  // The listener and its timer belong to loop 0.
  Tcp::acceptor acceptor_;
  asio::steady_timer drain_timer_;
  std::uint16_t port_ = 0;

  // The sessions that wait for a request, by loop; each set is touched only
  // on its loop's thread.
  std::vector<std::set<HttpSession*>> idle_;

  std::atomic<bool> draining_{false};
  std::atomic<bool> listener_closed_{false};
  std::atomic<std::uint64_t> open_{0};
  // Open connections over the limit, which get 503.
  std::atomic<std::uint64_t> open_refused_{0};
  // Bytes of bodies that are reserved.
  std::atomic<std::uint64_t> body_bytes_{0};
  // Bytes that are reserved for headers and for input that is not parsed.
  std::atomic<std::uint64_t> header_bytes_{0};
  std::atomic<std::uint64_t> requests_{0};
  std::atomic<std::uint64_t> refused_connections_{0};
  std::atomic<std::uint64_t> refused_bodies_{0};
  std::atomic<std::uint64_t> malformed_{0};
  std::atomic<std::uint64_t> timed_out_{0};

  error_code Listen();
  asio::awaitable<void> AcceptLoop();
  void StartSession(Tcp::socket socket, std::size_t loop);
  void CloseListener();
  void ShortenIdleTimeouts(std::size_t loop);
  void CloseLongestIdle(std::size_t loop);
};

// One connection.
struct HttpSession : std::enable_shared_from_this<HttpSession> {
  HttpSession(std::shared_ptr<HttpServerState> server, Tcp::socket socket,
              std::size_t loop_index)
      : server_(std::move(server)),
        loop_index_(loop_index),
        loop_(server_->threads_.Loop(loop_index)),
        stream_(std::move(socket)),
        idle_timer_(loop_),
        open_count_(server_->open_) {}

  const std::shared_ptr<HttpServerState> server_;
  const std::size_t loop_index_;
  asio::io_context& loop_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxBufferBytes};
  // Ends the wait for a request; has an effect only while `idle_` is true.
  asio::steady_timer idle_timer_;
  bool idle_ = false;
  Time idle_since_;
  const ScopedCount open_count_;
  // Counts a connection over the limit in HttpServerState::open_refused_.
  std::optional<ScopedCount> open_refused_;
};

namespace {

using SessionPtr = std::shared_ptr<HttpSession>;

// Ends the session's wait for a request after `timeout`. Another call replaces
// the timeout.
void SetIdleTimeout(const SessionPtr& session, Duration timeout) {
  session->idle_timer_.expires_after(Ms(timeout));
  session->idle_timer_.async_wait([session](error_code error) {
    if (error || !session->idle_) return;
    session->stream_.socket().cancel(error);
  });
}

// Waits for the first bytes of a request. Returns false if the connection ended
// or was idle for too long.
asio::awaitable<bool> AwaitRequest(SessionPtr session) {
  if (session->buffer_.size() > 0) co_return true;
  HttpServerState& server = *session->server_;
  session->idle_ = true;
  session->idle_since_ = MonotonicNow();
  server.idle_[session->loop_index_].insert(session.get());
  SetIdleTimeout(session, server.listener_closed_
                              ? kIdleDrainTimeout
                              : server.options_.idle_timeout_);
  const auto [error] = co_await session->stream_.socket().async_wait(
      Tcp::socket::wait_read, kUseTuple);
  server.idle_[session->loop_index_].erase(session.get());
  session->idle_ = false;
  session->idle_timer_.cancel();
  // A request may have arrived as the wait was ended.
  error_code ignored;
  co_return !error || session->stream_.socket().available(ignored) > 0;
}

asio::awaitable<bool> Write(SessionPtr session, HttpResponse response,
                            unsigned version, bool keep_alive) {
  auto message = ToMessage(std::move(response), version, keep_alive);
  session->stream_.expires_after(Ms(session->server_->options_.write_timeout_));
  const auto [error, bytes] =
      co_await http::async_write(session->stream_, message, kUseTuple);
  co_return !error && keep_alive;
}

// Whether another request's headers have been read.
bool HasReadHeaders(const HttpSession& session) {
  const auto unparsed = session.buffer_.cdata();
  return std::string_view(static_cast<const char*>(unparsed.data()),
                          unparsed.size())
             .find("\r\n\r\n") != std::string_view::npos;
}

// Whether the client has closed its side of the connection and everything that
// it sent has been read.
bool HasPeerClosed(HttpSession& session) {
  if (session.buffer_.size() > 0) return false;
  char next = 0;
  const ssize_t read = recv(session.stream_.socket().native_handle(), &next, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  if (read >= 0) return read == 0;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

// Shuts down sending, then reads until the peer closes, within limits.
asio::awaitable<void> Close(SessionPtr session) {
  error_code ignored;
  session->stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  session->stream_.expires_after(Ms(kDiscardTime));
  std::vector<char> discarded(kFirstReadBytes);
  while (true) {
    const auto [error, bytes] = co_await session->stream_.async_read_some(
        asio::buffer(discarded), kUseTuple);
    if (error) break;
  }
}

// Calls the handler and waits for its response.
asio::awaitable<HttpResponse> Handle(SessionPtr session, HttpRequest request) {
  auto pending = std::make_shared<PendingResponse>(session->loop_);
  asio::io_context& loop = session->loop_;
  HttpResponder respond = [pending, &loop](HttpResponse response) {
    asio::post(loop, [pending, response = std::move(response)]() mutable {
      if (pending->response_.has_value()) return;
      pending->response_ = std::move(response);
      pending->wake_.cancel();
    });
  };
  session->server_->handler_(std::move(request), std::move(respond));
  while (!pending->response_.has_value()) {
    const auto [cancelled] = co_await pending->wake_.async_wait(kUseTuple);
    static_cast<void>(cancelled);
  }
  co_return std::move(*pending->response_);
}

// The response to a request that could not be read; empty when the connection
// has ended.
std::optional<HttpResponse> ReadErrorResponse(HttpServerState& server,
                                              error_code error) {
  if (error == http::error::body_limit) {
    ++server.refused_bodies_;
    return ErrorResponse(413, "too_large", "the body is over the limit");
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    ++server.refused_bodies_;
    return ErrorResponse(431, "too_large",
                         "the headers, trailers or the header of a chunk are "
                         "over the limit");
  }
  if (error == asio::error::no_memory) {
    ++server.refused_bodies_;
    return ErrorResponse(503, "unavailable", "too many large requests at once",
                         server.options_.retry_after_);
  }
  if (error == beast::error::timeout) {
    // The timeout has closed the socket.
    ++server.timed_out_;
    return std::nullopt;
  }
  const bool is_http_error =
      error.category() == make_error_code(http::error::bad_method).category();
  if (is_http_error && error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    ++server.malformed_;
    return ErrorResponse(400, "invalid", "not an HTTP request");
  }
  return std::nullopt;
}

// The memory reserved for a request, until its response has been written.
struct RequestMemory {
  explicit RequestMemory(HttpServerState& server)
      : options_(server.options_),
        headers_(server.header_bytes_),
        body_(server.body_bytes_) {}

  const HttpServerOptions& options_;
  Reservation headers_;
  Reservation body_;

  // Returns whether the server's limits on memory allow what is held.
  bool operator()(const beast::flat_buffer& buffer,
                  const RequestParser& parser) {
    const auto& message = parser.get();
    std::size_t headers =
        buffer.capacity() + message.target().size() + HeaderBytes(message);
    headers -= std::min(headers, kFreeHeaderBytes);
    const std::size_t body = message.body().capacity();
    const std::uint64_t body_limit =
        options_.max_total_body_bytes_ / (body > kSmallBodyBytes ? 2 : 1);
    return headers_.Resize(headers, options_.max_total_header_bytes_) &&
           body_.Resize(body, body_limit);
  }
};

// Reads, handles and answers one request. True if the connection stays open.
asio::awaitable<bool> ServeOne(SessionPtr session) {
  HttpServerState& server = *session->server_;
  RequestMemory memory(server);
  std::optional<RequestParser> parser(std::in_place);
  parser->header_limit(kMaxHeaderBytes);
  parser->body_limit(server.options_.max_body_bytes_);
  session->stream_.expires_after(Ms(server.options_.request_timeout_));
  const error_code error = co_await ReadMessage(
      session->stream_, session->buffer_, *parser, std::ref(memory));
  if (error) {
    auto response = ReadErrorResponse(server, error);
    parser.reset();
    if (response.has_value()) {
      co_await Write(session, std::move(*response), 11, false);
    }
    co_return false;
  }
  ++server.requests_;
  const unsigned version = parser->get().version();
  const bool keep_alive = parser->keep_alive();
  HttpRequest request = ToRequest(*parser, server.options_.headers_);
  request.arrived_ = server.threads_.EarliestArrival(session->loop_index_);
  request.abandoned_ = HasPeerClosed(*session);
  parser.reset();
  HttpResponse response = co_await Handle(session, std::move(request));
  // A draining connection first serves the requests that it has already read.
  const bool closes = server.draining_ && !HasReadHeaders(*session);
  co_return co_await Write(session, std::move(response), version,
                           keep_alive && !closes);
}

asio::awaitable<void> Serve(SessionPtr session) {
  bool is_open = true;
  while (is_open) {
    is_open = co_await AwaitRequest(session);
    if (is_open) is_open = co_await ServeOne(session);
    if (session->buffer_.capacity() > kFirstReadBytes) {
      session->buffer_.shrink_to_fit();
    }
  }
  co_await Close(session);
}

// Answers a connection over the limit with 503 and closes it.
asio::awaitable<void> Refuse(SessionPtr session) {
  session->stream_.expires_after(Ms(kDiscardTime));
  const auto [error, bytes] = co_await session->stream_.async_read_some(
      session->buffer_.prepare(kFirstReadBytes), kUseTuple);
  if (error) co_return;
  co_await Write(session,
                 ErrorResponse(503, "unavailable", "too many connections",
                               session->server_->options_.retry_after_),
                 11, false);
  co_await Close(session);
}

}  // namespace

error_code HttpServerState::Listen() {
  const std::optional<Tcp::endpoint> endpoint =
      ParseTcpAddress(options_.address_);
  if (!endpoint.has_value()) {
    return make_error_code(boost::system::errc::invalid_argument);
  }
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) port_ = acceptor_.local_endpoint(error).port();
  return error;
}

asio::awaitable<void> HttpServerState::AcceptLoop() {
  asio::steady_timer pause(threads_.Loop(0));
  std::size_t next_loop = 0;
  while (acceptor_.is_open()) {
    if (open_refused_ >= kMaxOpenRefused) {
      pause.expires_after(Ms(kAcceptRetryDelay));
      co_await pause.async_wait(kUseTuple);
      continue;
    }
    const std::size_t loop = next_loop++ % threads_.size();
    auto [error, socket] =
        co_await acceptor_.async_accept(threads_.Loop(loop), kUseTuple);
    if (!error) {
      StartSession(std::move(socket), loop);
    } else if (acceptor_.is_open()) {
      // Out of file descriptors, or the peer has disconnected: retry shortly.
      pause.expires_after(Ms(kAcceptRetryDelay));
      co_await pause.async_wait(kUseTuple);
    }
  }
}

void HttpServerState::StartSession(Tcp::socket socket, std::size_t loop) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const bool over_limit = open_ >= options_.max_connections_ + open_refused_;
  auto session = std::make_shared<HttpSession>(shared_from_this(),
                                               std::move(socket), loop);
  if (over_limit) {
    ++refused_connections_;
    session->open_refused_.emplace(open_refused_);
    asio::co_spawn(threads_.Loop(loop), Refuse(std::move(session)),
                   asio::detached);
    asio::post(threads_.Loop(loop), [state = shared_from_this(), loop] {
      state->CloseLongestIdle(loop);
    });
  } else {
    asio::co_spawn(threads_.Loop(loop), Serve(std::move(session)),
                   asio::detached);
  }
}

void HttpServerState::CloseListener() {
  error_code error;
  acceptor_.non_blocking(true, error);
  // The system has already accepted the connections in the listen queue, and
  // closing the listener would reset them, so serve them.
  for (std::uint32_t i = 0; !error && i < options_.max_connections_; ++i) {
    Tcp::socket socket(threads_.Loop(0));
    acceptor_.accept(socket, error);
    if (!error) StartSession(std::move(socket), 0);
  }
  acceptor_.close(error);
  listener_closed_ = true;
  for (std::size_t loop = 0; loop < threads_.size(); ++loop) {
    asio::post(threads_.Loop(loop), [state = shared_from_this(), loop] {
      state->ShortenIdleTimeouts(loop);
    });
  }
}

void HttpServerState::ShortenIdleTimeouts(std::size_t loop) {
  for (HttpSession* session : idle_[loop]) {
    SetIdleTimeout(session->shared_from_this(), kIdleDrainTimeout);
  }
}

void HttpServerState::CloseLongestIdle(std::size_t loop) {
  const auto longest =
      std::min_element(idle_[loop].begin(), idle_[loop].end(),
                       [](const HttpSession* a, const HttpSession* b) {
                         return a->idle_since_ < b->idle_since_;
                       });
  if (longest == idle_[loop].end()) return;
  if (MonotonicNow() - (*longest)->idle_since_ < kMinIdle) return;
  SetIdleTimeout((*longest)->shared_from_this(), Duration(0));
}

void ExportServerCounts(const HttpServerCounts& counts, Metrics& metrics) {
  metrics.SetGauge("http_open_connections",
                   static_cast<double>(counts.open_connections_));
  const std::pair<const char*, std::uint64_t> totals[] = {
      {"http_requests_total", counts.requests_},
      {"http_refused_connections_total", counts.refused_connections_},
      {"http_refused_bodies_total", counts.refused_bodies_},
      {"http_malformed_total", counts.malformed_},
      {"http_timed_out_total", counts.timed_out_},
  };
  for (const auto& [name, total] : totals) {
    metrics.SetCount(name, static_cast<double>(total));
  }
}

HttpServer::HttpServer(std::shared_ptr<HttpServerState> state)
    : state_(std::move(state)) {}

HttpServer::~HttpServer() = default;

boost::leaf::result<std::unique_ptr<HttpServer>> HttpServer::Create(
    const HttpServerOptions& options, IoThreads& threads, HttpHandler handler) {
  auto state =
      std::make_shared<HttpServerState>(options, threads, std::move(handler));
  if (state->Listen()) {
    return boost::leaf::new_error(HttpServerError::kBadAddress);
  }
  asio::co_spawn(
      threads.Loop(0), [state] { return state->AcceptLoop(); }, asio::detached);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

std::uint16_t HttpServer::port() const { return state_->port_; }

bool HttpServer::IsDrained() const {
  return state_->listener_closed_ && state_->open_ == 0;
}

HttpServerCounts HttpServer::Counts() const {
  return {
      state_->open_,           state_->requests_,  state_->refused_connections_,
      state_->refused_bodies_, state_->malformed_, state_->timed_out_};
}

void HttpServer::Drain(Duration grace) {
  state_->draining_ = true;
  asio::post(state_->threads_.Loop(0), [state = state_, grace] {
    state->drain_timer_.expires_after(Ms(grace));
    state->drain_timer_.async_wait([state](error_code error) {
      if (!error) state->CloseListener();
    });
  });
}

}  // namespace flamingohollow
