// The control process: the replicated state and all scheduling decisions.
//
// One control thread owns all state: the replica, the table and job records,
// the job controller while this node leads, and the state of the entries. The
// RPC thread only queues messages for it. So this state needs no lock, and
// decisions have a single order.

#ifndef FLAMINGOHOLLOW_CONTROL_H_
#define FLAMINGOHOLLOW_CONTROL_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/job.h"
#include "flamingohollow/replica.h"
#include "flamingohollow/types.h"

namespace flamingohollow {

// A voter that `init` forms the cluster from.
struct ControlVoter {
  NodeName name_;
  // "HOST:PORT" of its RPC server.
  std::string address_;
  FailureDomain failure_domain_;
};

struct ControlOptions {
  NodeName name_;
  GroupId group_ = GroupId(1);
  Region region_;
  FailureDomain failure_domain_;
  std::string data_folder_;
  // "HOST:PORT" that the RPC server listens on, and where the other voters
  // reach it.
  std::string listen_address_;
  std::vector<ControlVoter> voters_;
  JobControllerOptions jobs_;
};

// Why a control process can't start.
struct ControlError {
  std::string message_;
};

// Runs a task on the control thread; thread-safe. Tasks run in order.
using PostToControl = std::function<void(std::function<void()> task)>;

// Sends a message to the voter at `address`; control thread only. It may be
// lost, delayed, repeated or overtaken by another.
using SendToPeer =
    std::function<void(const std::string& address, std::string message)>;

// Makes the replica; called once, before the control thread runs. The arguments
// outlive the replica.
using ReplicaFactory =
    std::function<boost::leaf::result<std::unique_ptr<Replica>>(
        const ControlOptions& options, ReplicaOwner& owner, SendToPeer send,
        PostToControl post)>;

class ControlServer {
 public:
  // Opens the data folder and listens. Fails with ControlError.
  static boost::leaf::result<std::unique_ptr<ControlServer>> Create(
      const ControlOptions& options, const ReplicaFactory& make_replica);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  // Makes the calling thread the control thread; returns after Stop is
  // complete.
  void Run();
  // Stops gracefully: transfers leadership, answers requests in flight, then
  // makes Run return, within kStopTimeout. Thread-safe, but not
  // async-signal-safe.
  void Stop();
  // Port of the RPC server.
  std::uint16_t port() const;

 private:
  struct Impl;
  explicit ControlServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

// A graceful stop takes at most this long.
inline constexpr Duration kStopTimeout = Duration(5000);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_H_
