// One HTTP request at a time, each with a deadline, over Boost.Beast.

#include "flamingohollow/tool_client.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <thread>
#include <utility>

#include "util/address.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using boost::system::error_code;

constexpr unsigned kServiceUnavailable = 503;
constexpr Duration kConnectTimeout(2000);
// Bounds on the pause between rounds over all entries.
constexpr Duration kShortestPause(50);
constexpr Duration kLongestPause(1000);

enum class TryOutcome : std::uint8_t { kNotSent, kNoAnswer, kAnswered };

struct TryResult {
  TryOutcome outcome_ = TryOutcome::kNotSent;
  unsigned status_ = 0;
  std::string body_;
};

http::verb Verb(ToolMethod method) {
  switch (method) {
    case ToolMethod::kGet:
      return http::verb::get;
    case ToolMethod::kPost:
      return http::verb::post;
    case ToolMethod::kDelete:
      return http::verb::delete_;
  }
  return http::verb::get;
}

http::request<http::string_body> MakeRequest(const ToolConnection& connection,
                                             const ToolRequest& request) {
  http::request<http::string_body> message(Verb(request.method_),
                                           request.target_, 11);
  message.set(http::field::host, "flamingohollow");
  message.set(http::field::connection, "close");
  message.set(http::field::authorization, "Bearer " + connection.token_);
  if (!request.request_id_.empty()) {
    message.set("Idempotency-Key", request.request_id_);
  }
  if (!request.body_.empty()) {
    message.set(http::field::content_type, "application/json");
    message.body() = request.body_;
  }
  message.prepare_payload();
  return message;
}

asio::awaitable<void> Exchange(beast::tcp_stream& stream,
                               asio::ip::tcp::endpoint endpoint,
                               http::request<http::string_body> message,
                               Duration timeout, TryResult& result) {
  error_code error;
  stream.expires_after(std::chrono::milliseconds(kConnectTimeout.ms()));
  co_await stream.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  // Once a byte may have left, only an answer tells what came of it.
  result.outcome_ = TryOutcome::kNoAnswer;
  stream.expires_after(std::chrono::milliseconds(timeout.ms()));
  co_await http::async_write(stream, message,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64 * 1024 * 1024);
  beast::flat_buffer buffer;
  co_await http::async_read(stream, buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  result.outcome_ = TryOutcome::kAnswered;
  result.status_ = parser.get().result_int();
  result.body_ = std::move(parser.get().body());
}

TryResult TryOnce(const ToolConnection& connection, const std::string& server,
                  const ToolRequest& request) {
  TryResult result;
  const auto endpoint = ParseTcpAddress(server);
  if (!endpoint) return result;
  asio::io_context io;
  beast::tcp_stream stream(io);
  asio::co_spawn(io,
                 Exchange(stream, *endpoint, MakeRequest(connection, request),
                          request.timeout_, result),
                 asio::detached);
  io.run();
  return result;
}

// The answer's `retry_after_ms`, within the bounds on pauses.
Duration PauseAfter(const std::string& body) {
  error_code error;
  const json::value value = json::parse(body, error);
  std::int64_t wanted = 0;
  if (!error && value.is_object()) {
    const json::value* field = value.as_object().if_contains("retry_after_ms");
    if (field != nullptr && field->is_int64()) wanted = field->as_int64();
  }
  return std::clamp(Duration(wanted), kShortestPause, kLongestPause);
}

}  // namespace

ToolAnswer Ask(const ToolConnection& connection, const ToolRequest& request) {
  ToolAnswer answer;
  const Time give_up_at = MonotonicNow() + connection.retry_time_;
  for (;;) {
    for (const std::string& server : connection.servers_) {
      TryResult result = TryOnce(connection, server, request);
      if (result.outcome_ == TryOutcome::kNoAnswer) answer.maybe_done_ = true;
      if (result.outcome_ != TryOutcome::kAnswered) continue;
      answer.status_ = result.status_;
      answer.body_ = std::move(result.body_);
      if (answer.status_ != kServiceUnavailable) return answer;
    }
    const Duration pause = PauseAfter(answer.body_);
    if (MonotonicNow() + pause > give_up_at) return answer;
    std::this_thread::sleep_for(std::chrono::milliseconds(pause.ms()));
  }
}

}  // namespace flamingohollow
