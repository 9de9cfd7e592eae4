// Calls between the system's own processes: Cap'n Proto RPC on a thread of its
// own, bounded in time and memory.
//
// A call is a kind and a body; each body is a Cap'n Proto message that
// codec.h encodes and decodes. Nothing of Cap'n Proto shows in this header.

#ifndef FLAMINGOHOLLOW_RPC_H_
#define FLAMINGOHOLLOW_RPC_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "util/clock.h"

namespace flamingohollow {

enum class RpcKind : std::uint16_t {
  // Between voters: a consensus message, with an empty answer.
  kPeer = 1,
  // Entry to control: EntrySync, answered by ControlSync.
  kSync = 2,
  // Entry to control: CallRequest, answered by CallReply.
  kCall = 3,
  // To control: GraphCall, answered by GraphReply (graph_messages.h).
  kGraph = 4,
};

enum class RpcError : std::uint8_t {
  // The address could not be parsed or bound.
  kBadAddress,
};

// Answers one call; may be kept and called later, from any thread, once.
using RpcResponder = std::function<void(std::string body)>;
// Runs on the RPC thread: hand over and return.
using RpcHandler =
    std::function<void(RpcKind kind, std::string body, RpcResponder respond)>;

// Bodies above this many bytes are refused.
inline constexpr std::size_t kMaxRpcBody = 16 * 1024 * 1024;

// Runs the RPC event loop on one thread: a server, when given an address, and
// any number of outgoing links.
class RpcNode {
 public:
  // `ok` is false when the call timed out or the link failed: the other side
  // may or may not have seen it.
  using CallCallback = std::function<void(bool ok, std::string body)>;

  // Listens on `listen_address` ("HOST:PORT"; empty for none).
  static boost::leaf::result<std::unique_ptr<RpcNode>> Create(
      const std::string& listen_address, RpcHandler handler);
  ~RpcNode();
  RpcNode(const RpcNode&) = delete;
  RpcNode& operator=(const RpcNode&) = delete;

  // Calls `address`; thread-safe. `done` runs on the RPC thread, exactly once.
  void Call(const std::string& address, RpcKind kind, std::string body,
            Duration timeout, const CallCallback& done);
  // Ends the RPC thread: open calls fail, and so do all later ones. Threads
  // that may still make calls have to end before the node is destroyed.
  void Stop();
  // Port that the server listens on.
  std::uint16_t port() const;

 private:
  struct Impl;
  explicit RpcNode(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RPC_H_
