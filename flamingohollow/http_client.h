// HTTP/1.1 requests to workers over pooled connections.
//
// Each address has at most max_connections_ open connections and max_queued_
// requests waiting for one; further requests fail at once. All addresses
// together have at most max_total_connections_, so that the client can't use up
// the process's file descriptors: at that limit the connection that has been
// idle for longest is closed, and if none is idle, requests wait in the order
// of their addresses' arrival. Every request ends within its timeout, which
// includes the wait. The client never retries; that is the caller's decision.

#ifndef FLAMINGOHOLLOW_HTTP_CLIENT_H_
#define FLAMINGOHOLLOW_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "util/clock.h"
#include "util/io_threads.h"

namespace flamingohollow {

inline constexpr std::size_t kFreeResponseBytes = 65536;

struct HttpClientOptions {
  std::uint32_t max_connections_ = 60;
  std::uint32_t max_total_connections_ = 8192;
  std::uint32_t max_queued_ = 256;
  std::uint32_t max_response_bytes_ = 4 * 1024 * 1024;
  // Responses held in memory at one time, over all connections. The first
  // kFreeResponseBytes of each don't count.
  std::uint64_t max_total_response_bytes_ = 64ULL * 1024 * 1024;
  // A connection idle for this long is not reused.
  Duration max_idle_ = Duration(10000);
};

enum class HttpClientError : std::uint8_t {
  kNone,
  kBadAddress,
  // Too many requests to this address wait, no connection was free in time, or
  // the process was suspended until the time was over; nothing was sent.
  kOverloaded,
  // Connecting failed; nothing was sent.
  kConnectFailed,
  // The same, since nothing listens at the address.
  kConnectRefused,
  // No complete response. The request may have been sent in part or whole, and
  // the peer may have acted on it.
  kNoAnswer,
};

struct HttpResult {
  HttpClientError error_ = HttpClientError::kNone;
  // Set when `error_` is kNone.
  unsigned status_ = 0;
  std::string body_;
  // With kNoAnswer: the whole request was sent on a connection opened for it,
  // and the connection ended before the time was over. So the peer was alive
  // when the request was sent, which a reused connection does not show.
  bool broke_off_ = false;
};

struct HttpPost {
  // "IP:PORT".
  std::string address_;
  std::string target_;
  // JSON.
  std::string body_;
  // W3C trace context; empty for none.
  std::string trace_parent_;
  // Further headers; names and values.
  std::vector<std::pair<std::string, std::string>> headers_;
  Duration timeout_ = Duration(2000);
  // Opens a connection for this request; see HttpResult::broke_off_.
  bool new_connection_ = false;
};

struct HttpClientState;

class HttpClient {
 public:
  // Runs on the client's loop, exactly once unless the threads stop first.
  using Callback = std::function<void(HttpResult)>;

  // Uses loop `loop` of `threads`, which must outlive the client.
  HttpClient(const HttpClientOptions& options, IoThreads& threads,
             std::size_t loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Thread-safe.
  void Post(HttpPost post, Callback done);
  std::uint64_t open_connections() const;
  // How often max_total_connections_ made the client close an idle connection,
  // or made the requests to an address wait.
  std::uint64_t evicted_connections() const;
  std::uint64_t delayed_addresses() const;

 private:
  // Shared with the requests in progress.
  std::shared_ptr<HttpClientState> state_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_HTTP_CLIENT_H_
