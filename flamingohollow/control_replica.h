// The replica that a real control process runs on: a data folder on disk and
// links to the other voters over the process's RPC node.

#ifndef FLAMINGOHOLLOW_CONTROL_REPLICA_H_
#define FLAMINGOHOLLOW_CONTROL_REPLICA_H_

#include "flamingohollow/control.h"

namespace flamingohollow {

// For ControlServer::Create. Fails with ControlError.
ReplicaFactory DurableReplica();

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_REPLICA_H_
