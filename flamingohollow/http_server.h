// An HTTP/1.1 server with limits on connections, memory and time.
//
// Each connection belongs to one traffic thread and handles one request at a
// time. Exceeding a limit gets a response instead of a dropped connection:
//   - more connections than allowed: 503 with Retry-After, then closed. At most
//     kMaxOpenRefused such connections are open; beyond that, new ones wait in
//     the system's listen queue. For each one refused, the connection that has
//     been idle for longest is closed, if for kMinIdle or longer;
//   - headers, trailers or the header of a chunk over kMaxHeaderBytes: 431;
//   - a body over the limit: 413;
//   - more bytes of bodies or long headers in memory than allowed: 503 with
//     Retry-After.
// A client that is still sending then has kDiscardTime to read the response.
// A connection is closed when a request does not arrive completely within
// request_timeout_, or none begins within idle_timeout_.

#ifndef FLAMINGOHOLLOW_HTTP_SERVER_H_
#define FLAMINGOHOLLOW_HTTP_SERVER_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/http_types.h"
#include "flamingohollow/metrics.h"
#include "util/clock.h"
#include "util/io_threads.h"

namespace flamingohollow {

struct HttpServerOptions {
  // "IP:PORT"; port 0 for any free one.
  std::string address_;
  std::uint32_t max_connections_ = 1024;
  std::uint32_t max_body_bytes_ = 1024 * 1024;
  // Bodies held in memory at one time, over all connections.
  std::uint64_t max_total_body_bytes_ = 64ULL * 1024 * 1024;
  // The same for headers, trailers and what is not parsed yet. The first
  // kFreeHeaderBytes of each connection don't count.
  std::uint64_t max_total_header_bytes_ = 64ULL * 1024 * 1024;
  // Further headers to read into HttpRequest::headers_.
  std::vector<std::string> headers_;
  Duration idle_timeout_ = Duration(60000);
  Duration request_timeout_ = Duration(10000);
  Duration write_timeout_ = Duration(10000);
  // Sent to refused callers as Retry-After.
  Duration retry_after_ = Duration(1000);
};

enum class HttpServerError : std::uint8_t {
  // The address could not be parsed or bound.
  kBadAddress,
};

// Sends the response. Call exactly once, on any thread.
using HttpResponder = std::function<void(HttpResponse)>;
// Called on a traffic thread; must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// Totals since the start, except for open_connections_; for /metrics.
struct HttpServerCounts {
  std::uint64_t open_connections_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t refused_connections_ = 0;
  std::uint64_t refused_bodies_ = 0;
  std::uint64_t malformed_ = 0;
  std::uint64_t timed_out_ = 0;
};

// Limit on the headers of a request. Its trailers, and the header of each
// chunk, may be a little longer.
inline constexpr std::uint32_t kMaxHeaderBytes = 16384;
inline constexpr std::size_t kFreeHeaderBytes = 8192;
// Closing a connection with unread input would reset it and could lose the
// response, so further input is read and discarded for this long.
inline constexpr Duration kDiscardTime = Duration(1000);
// A connection that has been idle for this long may be closed for others.
inline constexpr Duration kMinIdle = Duration(1000);
// Limit of open connections over max_connections_, which get 503.
inline constexpr std::uint32_t kMaxOpenRefused = 64;

struct HttpServerState;

// Publishes the counts as metrics "http_...".
void ExportServerCounts(const HttpServerCounts& counts, Metrics& metrics);

class HttpServer {
 public:
  // Binds and starts serving. `threads` must outlive the server, but must be
  // stopped before anything that `handler` uses is destroyed.
  static boost::leaf::result<std::unique_ptr<HttpServer>> Create(
      const HttpServerOptions& options, IoThreads& threads,
      HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const;
  HttpServerCounts Counts() const;

  // Stops gracefully. For `grace`, new connections are still served and every
  // response has "Connection: close", so that a load balancer can switch to
  // other entries. Then the listener closes and each connection ends after its
  // current request and those that were read with it. Idle connections first
  // wait briefly for a request that may already have been sent. Thread-safe.
  void Drain(Duration grace);
  // After Drain: whether the listener and all connections are closed.
  bool IsDrained() const;

 private:
  explicit HttpServer(std::shared_ptr<HttpServerState> state);
  // Shared with the open connections.
  std::shared_ptr<HttpServerState> state_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_HTTP_SERVER_H_
