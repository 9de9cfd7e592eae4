// Records of the replicated log for graph jobs and the catalog.
//
// Nothing is acknowledged to a caller, told to a worker or forgotten by one
// before its record is committed:
//   - an acceptance or a cancellation before its answer,
//   - an attempt before its start order,
//   - an end before the cursor that lets the worker forget it.

#ifndef FLAMINGOHOLLOW_GRAPH_RECORDS_H_
#define FLAMINGOHOLLOW_GRAPH_RECORDS_H_

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <variant>
#include <vector>

#include "flamingohollow/catalog.h"
#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_types.h"

namespace flamingohollow {

// What a job keeps of its queue as it was when the job was accepted.
struct JobTerms {
  PoolName pool_;
  std::uint32_t priority_ = 0;
  std::uint32_t max_attempts_ = 1;
  double slack_ = 1;
  Duration objective_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pool_, priority_, max_attempts_, slack_, objective_);
  }
};

struct CatalogRecord {
  Catalog catalog_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(catalog_);
  }
};

struct SubmitRecord {
  GraphJobKey key_;
  QueueName queue_;
  // Empty when the queue is public.
  CustomerId customer_;
  JobTerms terms_;
  GraphSpec spec_;
  // Unix time at the leader; may be off by a jump of its clock.
  Time accepted_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key_, queue_, customer_, terms_, spec_, accepted_);
  }
};

struct CancelRecord {
  GraphJobKey key_;
  Time cancelled_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key_, cancelled_);
  }
};

struct OpenedAttempt {
  AttemptRef attempt_;
  WorkerId worker_;
  WorkerLife life_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, worker_, life_);
  }
};

struct OpenRecord {
  std::vector<OpenedAttempt> attempts_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts_);
  }
};

struct EndedAttempt {
  AttemptRef attempt_;
  AttemptEnd end_ = AttemptEnd::kLost;
  // The newest one known; empty for none.
  Checkpoint checkpoint_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, end_, checkpoint_);
  }
};

struct EndRecord {
  std::vector<EndedAttempt> attempts_;
  Time ended_;
  // The worker whose list of ends this covers, up to `last_end_`; empty when
  // the leader itself found these ends.
  WorkerId worker_;
  WorkerLife life_;
  std::uint64_t last_end_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts_, ended_, worker_, life_, last_end_);
  }
};

// Occurrences of scheduled jobs whose time has come.
struct DueRecord {
  struct Item {
    GraphJobKey key_;
    Occurrence occurrence_;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(key_, occurrence_);
    }
  };
  std::vector<Item> items_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items_);
  }
};

// Ended jobs that are no longer kept.
struct ForgetRecord {
  std::vector<GraphJobKey> keys_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(keys_);
  }
};

// A worker as it described itself, or workers that are gone. What a worker
// says of itself is acknowledged once it is in the log, so a new leader knows
// where each worker is, and which ones are about to leave.
struct WorkerRecord {
  std::vector<PoolWorkerReport> reports_;
  std::vector<WorkerId> gone_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reports_, gone_);
  }
};

// New kinds go to the end: the position names the kind in the log.
using GraphRecord =
    std::variant<CatalogRecord, SubmitRecord, CancelRecord, OpenRecord,
                 EndRecord, DueRecord, ForgetRecord, WorkerRecord>;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_RECORDS_H_
