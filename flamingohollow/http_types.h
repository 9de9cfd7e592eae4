// HTTP requests and responses, independent of the HTTP library, which only
// http_server.cc and http_client.cc use.

#ifndef FLAMINGOHOLLOW_HTTP_TYPES_H_
#define FLAMINGOHOLLOW_HTTP_TYPES_H_

#include <string>
#include <string_view>
#include <vector>

#include "util/clock.h"

namespace flamingohollow {

struct HttpRequest {
  // "GET", "POST", "DELETE", ...
  std::string method_;
  // Path and query, as sent.
  std::string target_;
  // Headers that the entry uses; empty when not sent.
  std::string authorization_;
  std::string idempotency_key_;
  std::string trace_parent_;
  // The values of HttpServerOptions::headers_, in their order.
  std::vector<std::string> headers_;
  std::string body_;
  // It has arrived at this time or later, by the monotonic clock.
  Time arrived_;
  // The client had closed its side of the connection when the request was read.
  bool abandoned_ = false;
};

struct HttpResponse {
  unsigned status_ = 200;
  std::string content_type_ = "application/json";
  std::string body_;
  // Sent as Retry-After, in seconds rounded up; 0 for none.
  Duration retry_after_;
};

// `{"error": CODE, "message": TEXT, "retry_after_ms": N}` as specified in
// docs/HTTP.md; a `retry_after` of 0 is omitted.
HttpResponse ErrorResponse(unsigned status, std::string_view code,
                           std::string_view message,
                           Duration retry_after = Duration(0));

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_HTTP_TYPES_H_
