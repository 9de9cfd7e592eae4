// Calls about graph jobs and the catalog that entries and control nodes send to
// the leader of the control group.

#ifndef FLAMINGOHOLLOW_GRAPH_MESSAGES_H_
#define FLAMINGOHOLLOW_GRAPH_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/catalog.h"
#include "flamingohollow/evacuation.h"
#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_types.h"
#include "util/clock.h"
#include "util/pack.h"

namespace flamingohollow {

enum class GraphCallKind : std::uint8_t {
  kSubmit = 1,
  // Reads a job's state or, if the path is only a queue's prefix, how many
  // accepted jobs of the queue have not started.
  kRead = 2,
  kCancel = 3,
  // A worker's report about itself.
  kReport = 5,
  // A drained worker is leaving.
  kLeave = 6,
  kPutCatalog = 7,
  kReadCatalog = 8,
  // Sent by each node about every 200 ms to 1 s.
  kAnnounce = 9,
  // Evacuates a failure domain, or takes it back.
  kEvacuate = 10,
  // Lists the failure domains that are evacuated, one a line.
  kReadEvacuations = 11,
};

// The target of a caller's HTTP request, and the caller's key.
struct CallerRequest {
  std::string host_;
  std::string path_;
  // Empty if the caller sent none.
  std::string key_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host_, path_, key_);
  }
};

// A node that makes itself known to the leader.
struct NodeAnnouncement {
  NodeName name_;
  // "HOST:PORT" of its RPC server; empty for an entry.
  std::string control_address_;
  // It is about to stop. It may start again, or be gone for good.
  bool leaving_ = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, control_address_);
    ArchiveIfPresent(archive, leaving_);
  }
};

// How old a call is, for calls that must not take effect after their caller has
// sent them again or given up.
struct CallAge {
  // The leader by whose clock `arrived_` is; 0 if no leader's clock is known.
  Term term_;
  // The call has arrived at its node at this time or later.
  Time arrived_;
  // How long the caller waits for an answer.
  Duration patience_;

  friend bool operator==(const CallAge&, const CallAge&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term_, arrived_, patience_);
  }
};

struct GraphCall {
  GraphCallKind kind_ = GraphCallKind::kAnnounce;
  // Whether a control node that is not the leader forwards the call to it. A
  // call is forwarded at most once.
  bool forward_ = false;
  CallerRequest caller_;
  // kSubmit; empty if the caller's text could not be parsed.
  std::optional<GraphSpec> spec_;
  // kReport.
  PoolWorkerReport report_;
  // How much longer the reporting worker is slow after its start. Not part of
  // the report, which is stored in the log.
  Duration cold_left_;
  // kLeave.
  WorkerId worker_;
  // kPutCatalog.
  Catalog catalog_;
  NodeAnnouncement node_;
  // kEvacuate.
  EvacuationOrder evacuation_;
  // Empty in calls of earlier versions, whose age is not known.
  std::optional<CallAge> age_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind_, forward_);
    switch (kind_) {
      case GraphCallKind::kSubmit:
        archive(caller_, spec_);
        break;
      case GraphCallKind::kRead:
      case GraphCallKind::kCancel:
        archive(caller_);
        break;
      case GraphCallKind::kReport:
        archive(report_);
        ArchiveIfPresent(archive, cold_left_);
        break;
      case GraphCallKind::kLeave:
        archive(worker_);
        break;
      case GraphCallKind::kPutCatalog:
        archive(catalog_);
        break;
      case GraphCallKind::kReadCatalog:
      case GraphCallKind::kReadEvacuations:
        break;
      case GraphCallKind::kEvacuate:
        archive(evacuation_);
        break;
      case GraphCallKind::kAnnounce:
        archive(node_);
        break;
    }
    ArchiveIfPresent(archive, age_);
  }
};

enum class GraphOutcome : std::uint8_t {
  kOk = 0,
  // This node is not the leader; the call had no effect.
  kNotLeader = 1,
  // The call had no effect; it may succeed later.
  kUnavailable = 2,
  // The call may have taken effect, or may still do so.
  kUnknown = 3,
  kNoQueue = 4,
  kBadKey = 5,
  // No such job.
  kNoJob = 6,
  // The job was not accepted.
  kRefused = 7,
  kInvalid = 8,
  // No such failure domain.
  kNoDomain = 9,
};

struct GraphReply {
  GraphOutcome outcome_ = GraphOutcome::kUnavailable;
  // The job's state, the catalog's text, or an error message.
  std::string text_;
  // Number of waiting jobs; set if a queue's length was read.
  std::optional<std::uint64_t> count_;
  // kUnavailable and kRefused: how long to wait before a retry.
  Duration retry_after_;
  // Term of the leader that answers.
  Term term_;
  CatalogVersion catalog_version_;
  // RPC address of the leader, empty if unknown, and those of all voters (only
  // from nodes that are not the leader, and in answers to announcements).
  std::string leader_address_;
  std::vector<std::string> control_addresses_;
  // From the leader: its monotonic clock.
  Time leader_time_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(outcome_, text_, count_, retry_after_, term_, catalog_version_,
            leader_address_, control_addresses_);
    ArchiveIfPresent(archive, leader_time_);
  }
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_MESSAGES_H_
