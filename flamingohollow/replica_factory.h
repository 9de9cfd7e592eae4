// Makes the Replica that runs on a data folder of this machine.

#ifndef FLAMINGOHOLLOW_REPLICA_FACTORY_H_
#define FLAMINGOHOLLOW_REPLICA_FACTORY_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/disk.h"
#include "flamingohollow/raft.h"
#include "flamingohollow/replica.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct ReplicaOptions {
  GroupId group_;
  NodeName name_;
  // Where the other voters reach this one, "HOST:PORT".
  std::string address_;
  // Created when missing.
  std::string data_folder_;
  // The voters that `Init` forms the group from, including this one.
  std::vector<VoterAddress> founders_;
  RaftConfig raft_;
  // Seeds the election time-outs; differs from voter to voter.
  std::uint64_t seed_ = 1;
  // A snapshot is taken once the entries applied since the last one reach this
  // many bytes, or this many entries.
  std::size_t snapshot_log_bytes_ = std::size_t{4} * 1024 * 1024;
  std::size_t snapshot_log_entries_ = 10'000;
  // Makes the disk that holds the data folder.
  std::function<std::unique_ptr<Disk>()> make_disk_ = MakePosixDisk;
};

// Why a replica could not start; the message says which file and what.
struct ReplicaError {
  std::string message_;
};

// Timing between voters. A heartbeat and its answer are 657 bytes on the wire
// and make up most of an idle leader's cost. Two heartbeats may be lost without
// an election.
inline constexpr Duration kVoterHeartbeat = Duration(250);
inline constexpr Duration kElectionMin = Duration(750);
inline constexpr Duration kElectionMax = Duration(1250);

// Sets the timing between voters and a random seed.
void SetVoterTiming(ReplicaOptions& options);

// Sends one message to the voter at `address`. It may be lost, delayed,
// repeated or reordered.
using PeerSender =
    std::function<void(const std::string& address, std::string message)>;
// Runs a function later on the control thread. Called from any thread; may
// drop the function while the process shuts down.
using Executor = std::function<void(std::function<void()>)>;

// Opens the data folder, restores the owner from its snapshot and starts the
// disk thread. Must be called on the control thread, like all methods of the
// replica. `owner` must outlive the replica; its methods may be called from
// within `Tick`, `Receive`, `Propose` and functions given to `executor`.
boost::leaf::result<std::unique_ptr<Replica>> MakeReplica(
    ReplicaOptions options, ReplicaOwner* owner, PeerSender send,
    Executor executor, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_REPLICA_FACTORY_H_
