// Parses the HTTP requests of callers and operators into typed requests.
//
// Strict: unknown fields, fields of the wrong type and unknown query parameters
// are rejected with an error that names them. Performs no I/O and is safe for
// arbitrary bytes.

#ifndef FLAMINGOHOLLOW_REQUEST_PARSE_H_
#define FLAMINGOHOLLOW_REQUEST_PARSE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>

#include "flamingohollow/http_types.h"
#include "flamingohollow/messages.h"
#include "util/clock.h"

namespace flamingohollow {

// The kind of request that a route accepts.
enum class RouteKind : std::uint8_t {
  // A CallRequest for the leader.
  kCall,
  kAnnounce,
  kMetrics,
  kHealth,
  kReady,
};

struct ParsedRequest {
  RouteKind kind_ = RouteKind::kCall;
  // For kCall; without on_behalf_of_, caller_ and trace_parent_.
  CallRequest call_;
  // How long to wait for the end of the job before answering; 0 to answer at
  // once.
  Duration wait_;
};

enum class RequestErrorKind : std::uint8_t { kInvalid, kNotFound, kMethod };

struct RequestError {
  RequestErrorKind kind_ = RequestErrorKind::kInvalid;
  std::string message_;
};

// Whether the request needs no token: metrics, health and readiness.
bool IsPublic(const HttpRequest& request);

// Fails with RequestError.
boost::leaf::result<ParsedRequest> ParseRequest(const HttpRequest& request);

inline constexpr Duration kMaxWait = Duration(600000);
inline constexpr std::size_t kMaxRequestIdLength = 128;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_REQUEST_PARSE_H_
