// Builds the replies to calls and encodes their bodies as JSON.

#include "flamingohollow/control_json.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "flamingohollow/job_json.h"

namespace flamingohollow {
namespace {

namespace json = boost::json;

std::string_view ErrorName(CallError error) {
  switch (error) {
    case CallError::kInvalid:
      return "invalid";
    case CallError::kForbidden:
      return "forbidden";
    case CallError::kNotFound:
      return "not_found";
    case CallError::kConflict:
      return "conflict";
    case CallError::kRequestIdReused:
      return "request_id_reused";
    case CallError::kOverLimit:
      return "over_limit";
    case CallError::kUnavailable:
      return "unavailable";
    case CallError::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "invalid";
}

CallReply MakeReply(std::uint16_t status, const json::object& body) {
  CallReply reply;
  reply.is_leader_ = true;
  reply.status_ = status;
  reply.body_ = json::serialize(body);
  return reply;
}

json::object ErrorBody(CallError error, std::string_view message) {
  return {{"error", ErrorName(error)}, {"message", message}};
}

json::array NodesToJson(const std::vector<NodeVersion>& nodes) {
  json::array array;
  for (const NodeVersion& node : nodes) {
    array.emplace_back(json::object{{"name", node.name_.value()},
                                    {"version", node.version_.value()}});
  }
  return array;
}

std::string_view WorkerStateName(const WorkerView& worker) {
  if (worker.silent_) return "silent";
  return worker.report_.state_ == WorkerState::kLeaving ? "leaving" : "ready";
}

json::object WorkerToJson(const WorkerView& worker) {
  const WorkerReport& report = worker.report_;
  const std::uint32_t all = report.accelerators_.value();
  const std::uint32_t free = worker.free_.value();
  return {
      {"worker", report.worker_.value()},
      {"incarnation", std::to_string(report.incarnation_.value())},
      {"state", WorkerStateName(worker)},
      {"quarantined", worker.quarantined_},
      {"failure_domain", report.place_.failure_domain_.value()},
      {"rack", report.place_.rack_.value()},
      {"accelerators", all},
      {"free", free},
      {"used", all > free ? all - free : 0},
  };
}

json::array VotersToJson(const std::vector<VoterStatus>& voters) {
  json::array array;
  for (const VoterStatus& voter : voters) {
    array.emplace_back(json::object{{"name", voter.name_.value()},
                                    {"address", voter.address_},
                                    {"learner", voter.learner_},
                                    {"match", voter.match_.value()}});
  }
  return array;
}

json::array GuaranteesToJson(const std::vector<GuaranteeStatus>& guarantees) {
  json::array array;
  for (const GuaranteeStatus& guarantee : guarantees) {
    array.emplace_back(json::object{{"customer", guarantee.customer_.value()},
                                    {"backed", guarantee.backed_},
                                    {"reason", guarantee.reason_}});
  }
  return array;
}

}  // namespace

CallReply OkReply(const json::object& body) {
  return MakeReply(kOkStatus, body);
}

CallReply ErrorReply(CallError error, std::string_view message,
                     Duration retry_after) {
  json::object body = ErrorBody(error, message);
  if (retry_after > Duration(0)) body["retry_after_ms"] = retry_after.ms();
  CallReply reply = MakeReply(static_cast<std::uint16_t>(error), body);
  reply.retry_after_ = retry_after;
  return reply;
}

CallReply JobReply(const JobView& job) {
  const std::uint16_t status =
      IsTerminal(job.outcome_) ? kOkStatus : kAcceptedStatus;
  CallReply reply = MakeReply(status, JobToJson(job));
  reply.retry_after_ = job.retry_after_;
  reply.job_ = job;
  return reply;
}

CallReply TableResultReply(const TableResult& result) {
  const std::uint64_t version = result.version_.value();
  if (result.outcome_ == TableOutcome::kAccepted) {
    return OkReply({{"outcome", "accepted"}, {"version", version}});
  }
  CallError error = CallError::kInvalid;
  if (result.outcome_ == TableOutcome::kConflict) {
    error = CallError::kConflict;
  } else if (result.outcome_ == TableOutcome::kRequestIdReused) {
    error = CallError::kRequestIdReused;
  }
  json::object body = ErrorBody(error, result.reason_);
  body["outcome"] = error == CallError::kConflict ? "conflict" : "invalid";
  body["version"] = version;
  return MakeReply(static_cast<std::uint16_t>(error), body);
}

json::object JobsToJson(const std::vector<JobView>& jobs) {
  json::array array;
  for (const JobView& job : jobs) array.emplace_back(JobToJson(job));
  return {{"jobs", std::move(array)}};
}

CallReply NotLeaderReply(const ReplicaStatus& status) {
  CallReply reply =
      ErrorReply(CallError::kUnavailable, "this control process does not lead");
  reply.is_leader_ = false;
  reply.leader_address_ = status.is_leader_ ? "" : status.leader_address_;
  return reply;
}

json::object TableStatusToJson(TableVersion version, bool in_force,
                               const std::vector<NodeVersion>& nodes) {
  return {{"version", version.value()},
          {"in_force", in_force},
          {"nodes", NodesToJson(nodes)}};
}

json::object WorkersToJson(const std::vector<WorkerView>& workers) {
  json::array array;
  for (const WorkerView& worker : workers) {
    array.emplace_back(WorkerToJson(worker));
  }
  return {{"workers", std::move(array)}};
}

json::object EvacuationsToJson(const Evacuations& evacuations) {
  json::array domains;
  for (const auto& [domain, evacuation] : evacuations) {
    if (!evacuation.in_force_) continue;
    domains.push_back(json::object{{"domain", domain.value()},
                                   {"ordered_ms", evacuation.ordered_.ms()}});
  }
  return {{"evacuations", std::move(domains)}};
}

json::object StatusToJson(const StatusView& view) {
  json::object counters;
  for (const auto& [name, count] : view.counters_) counters[name] = count;
  return {
      {"leader", view.replica_.leader_name_.value()},
      {"term", view.replica_.term_.value()},
      {"committed", view.replica_.committed_.value()},
      {"voters", VotersToJson(view.replica_.voters_)},
      {"entries", NodesToJson(view.entries_)},
      {"fragmentation", view.fragmentation_},
      {"queued", view.queued_},
      {"running", view.running_},
      {"guarantees", GuaranteesToJson(view.guarantees_)},
      {"counters", std::move(counters)},
  };
}

}  // namespace flamingohollow
