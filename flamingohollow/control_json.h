// Replies to calls: status codes and JSON bodies, as docs/HTTP.md shows them.

#ifndef FLAMINGOHOLLOW_CONTROL_JSON_H_
#define FLAMINGOHOLLOW_CONTROL_JSON_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/job.h"
#include "flamingohollow/messages.h"
#include "flamingohollow/placement.h"
#include "flamingohollow/replica.h"
#include "flamingohollow/table.h"
#include "util/clock.h"

namespace flamingohollow {

// HTTP status codes, each with the error code that goes with it.
enum class CallError : std::uint16_t {
  kInvalid = 400,
  kForbidden = 403,
  kNotFound = 404,
  kConflict = 409,
  kRequestIdReused = 422,
  kOverLimit = 429,
  kUnavailable = 503,
  kOutcomeUnknown = 504,
};

inline constexpr std::uint16_t kOkStatus = 200;
inline constexpr std::uint16_t kAcceptedStatus = 202;

// A leader's replies.
CallReply OkReply(const boost::json::object& body);
CallReply ErrorReply(CallError error, std::string_view message,
                     Duration retry_after = Duration(0));
// 200 for a job that has ended, else 202.
CallReply JobReply(const JobView& job);
CallReply TableResultReply(const TableResult& result);

boost::json::object JobsToJson(const std::vector<JobView>& jobs);

// Says that this node does not lead; includes the leader's address if known.
CallReply NotLeaderReply(const ReplicaStatus& status);

// A node and the table version that it holds.
struct NodeVersion {
  NodeName name_;
  TableVersion version_;
};
boost::json::object TableStatusToJson(TableVersion version, bool in_force,
                                      const std::vector<NodeVersion>& nodes);

boost::json::object WorkersToJson(const std::vector<WorkerView>& workers);

// The failure domains that are evacuated.
boost::json::object EvacuationsToJson(const Evacuations& evacuations);

struct StatusView {
  ReplicaStatus replica_;
  std::vector<NodeVersion> entries_;
  double fragmentation_ = 0;
  std::uint64_t queued_ = 0;
  std::uint64_t running_ = 0;
  std::vector<GuaranteeStatus> guarantees_;
  std::map<std::string, std::uint64_t> counters_;
};
boost::json::object StatusToJson(const StatusView& view);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_JSON_H_
