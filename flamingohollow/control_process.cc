// Makes a control server with a replica stored on the local disk.

#include "flamingohollow/control_process.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <utility>

#include "flamingohollow/replica_factory.h"
#include "flamingohollow/rpc.h"

namespace flamingohollow {
namespace {

ControlOptions MakeControlOptions(const Settings& settings) {
  ControlOptions options;
  options.name_ = settings.name_;
  options.group_ = settings.group_;
  options.region_ = settings.region_;
  options.failure_domain_ = settings.failure_domain_;
  options.data_folder_ = settings.data_folder_;
  options.listen_address_ = settings.listen_;
  for (const VoterSettings& voter : settings.voters_) {
    options.voters_.push_back(
        {voter.name_, voter.address_, voter.failure_domain_});
  }
  return options;
}

ReplicaOptions MakeReplicaOptions(const ControlOptions& control) {
  ReplicaOptions options;
  options.group_ = control.group_;
  options.name_ = control.name_;
  options.address_ = control.listen_address_;
  options.data_folder_ = control.data_folder_;
  for (const ControlVoter& voter : control.voters_) {
    options.founders_.push_back({voter.name_, voter.address_});
  }
  SetVoterTiming(options);
  return options;
}

boost::leaf::result<std::unique_ptr<Replica>> MakeDiskReplica(
    const ControlOptions& options, ReplicaOwner& owner, SendToPeer send,
    PostToControl post) {
  return boost::leaf::try_handle_some(
      [&] {
        return MakeReplica(MakeReplicaOptions(options), &owner, std::move(send),
                           std::move(post), MonotonicNow());
      },
      [](const ReplicaError& error)
          -> boost::leaf::result<std::unique_ptr<Replica>> {
        return boost::leaf::new_error(ControlError{error.message_});
      });
}

}  // namespace

boost::leaf::result<std::unique_ptr<ControlServer>> MakeControl(
    const Settings& settings) {
  return ControlServer::Create(MakeControlOptions(settings), MakeDiskReplica);
}

}  // namespace flamingohollow
