// The command-line tool's side of HTTP: one request, tried at one entry after
// another until an answer counts.
//
// Every request that changes something carries a request id, so sending it
// again is safe. What can't be told apart from a lost answer is reported as
// such: `maybe_done_` is true when some try went out and was not answered.

#ifndef FLAMINGOHOLLOW_TOOL_CLIENT_H_
#define FLAMINGOHOLLOW_TOOL_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "util/clock.h"

namespace flamingohollow {

enum class ToolMethod : std::uint8_t { kGet, kPost, kDelete };

struct ToolRequest {
  ToolMethod method_ = ToolMethod::kGet;
  // Path and query.
  std::string target_;
  // Sent as Idempotency-Key when not empty.
  std::string request_id_;
  // JSON; may be empty.
  std::string body_;
  // How long one try may take.
  Duration timeout_;
};

struct ToolAnswer {
  // HTTP status; 0 when no entry answered.
  unsigned status_ = 0;
  std::string body_;
  // Some try was sent and not answered.
  bool maybe_done_ = false;
};

struct ToolConnection {
  // "HOST:PORT" of the entries.
  std::vector<std::string> servers_;
  std::string token_;
  // For how long a "not now" (503) or a missing answer is tried again.
  Duration retry_time_;
};

ToolAnswer Ask(const ToolConnection& connection, const ToolRequest& request);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TOOL_CLIENT_H_
