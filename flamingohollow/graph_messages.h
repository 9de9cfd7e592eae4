// Calls about graph jobs and the catalog, from entries and control nodes to the
// leader of the control group.

#ifndef FLAMINGOHOLLOW_GRAPH_MESSAGES_H_
#define FLAMINGOHOLLOW_GRAPH_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/catalog.h"
#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_types.h"
#include "util/clock.h"

namespace flamingohollow {

enum class GraphCallKind : std::uint8_t {
  kSubmit = 1,
  // A job's state, or for a queue's bare prefix how many of its accepted jobs
  // have not begun.
  kRead = 2,
  kCancel = 3,
  // A worker's report about itself.
  kReport = 5,
  // A worker that drained leaves.
  kLeave = 6,
  kPutCatalog = 7,
  kReadCatalog = 8,
  // From each node, every second or so.
  kAnnounce = 9,
};

// Whom a caller's request is for, and on whose behalf.
struct CallerRequest {
  std::string host_;
  std::string path_;
  // Empty when the caller sent none.
  std::string key_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host_, path_, key_);
  }
};

// A control node that stands by.
struct NodeAnnouncement {
  NodeName name_;
  // "HOST:PORT" of its RPC server; empty for an entry.
  std::string control_address_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, control_address_);
  }
};

struct GraphCall {
  GraphCallKind kind_ = GraphCallKind::kAnnounce;
  // A control node that does not lead passes the call on to the leader, once.
  bool pass_on_ = false;
  CallerRequest caller_;
  // kSubmit; absent when the caller's text could not be read.
  std::optional<GraphSpec> spec_;
  // kReport.
  PoolWorkerReport report_;
  // kLeave.
  WorkerId worker_;
  // kPutCatalog.
  Catalog catalog_;
  NodeAnnouncement node_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind_, pass_on_);
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
        break;
      case GraphCallKind::kLeave:
        archive(worker_);
        break;
      case GraphCallKind::kPutCatalog:
        archive(catalog_);
        break;
      case GraphCallKind::kReadCatalog:
        break;
      case GraphCallKind::kAnnounce:
        archive(node_);
        break;
    }
  }
};

enum class GraphOutcome : std::uint8_t {
  kOk = 0,
  // This node does not lead; surely not done.
  kNotLeader = 1,
  // Surely not done; may work later.
  kNotNow = 2,
  // May or may not be done, or be done later.
  kUnknown = 3,
  kNoQueue = 4,
  kBadKey = 5,
  // No such job.
  kNoJob = 6,
  // The job is not taken.
  kRefused = 7,
  kInvalid = 8,
};

struct GraphReply {
  GraphOutcome outcome_ = GraphOutcome::kNotNow;
  // The job's state, the catalog's text, or what is wrong.
  std::string text_;
  // Of jobs that wait, where a queue's length was asked for.
  std::optional<std::uint64_t> count_;
  // With kNotNow and kRefused: when to come back.
  Duration retry_after_;
  // Of the leader that answers.
  Term term_;
  CatalogVersion catalog_version_;
  // RPC addresses: of the leader, empty when unknown, and of all control nodes
  // that this one knows (only in answers to announcements).
  std::string leader_address_;
  std::vector<std::string> control_addresses_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(outcome_, text_, count_, retry_after_, term_, catalog_version_,
            leader_address_, control_addresses_);
  }
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_MESSAGES_H_
