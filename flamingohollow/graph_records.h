// Records of the replicated log for graph jobs and the catalog.
//
// A record must be committed before anything that depends on it becomes visible
// outside the leader:
//   - an acceptance or a cancellation, before the caller gets its answer;
//   - an attempt, before its start command is sent;
//   - the end of an attempt, before the worker is sent the end number up to
//     which it may forget its ends.

#ifndef FLAMINGOHOLLOW_GRAPH_RECORDS_H_
#define FLAMINGOHOLLOW_GRAPH_RECORDS_H_

#include <cereal/types/map.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "flamingohollow/catalog.h"
#include "flamingohollow/evacuation.h"
#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_types.h"

namespace flamingohollow {

// Terms copied from the queue when the job was accepted; later changes of the
// queue do not affect the job.
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
  // Empty if it was handed in without a known key, on a public queue.
  CustomerId customer_;
  JobTerms terms_;
  GraphSpec spec_;
  // Unix time by the leader's clock, which may jump.
  Time accepted_;
  // Where it was handed in; empty in records of earlier versions.
  QueuePlace place_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key_, queue_, customer_, terms_, spec_, accepted_);
    ArchiveIfPresent(archive, place_);
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
  WorkerIncarnation incarnation_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, worker_, incarnation_);
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
  // The newest one known; empty if there is none.
  Checkpoint checkpoint_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, end_, checkpoint_);
  }
};

struct EndRecord {
  std::vector<EndedAttempt> attempts_;
  Time ended_;
  // The worker that reported these ends; the record covers its ends up to
  // number `last_end_`. Empty if the leader itself determined the ends.
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  std::uint64_t last_end_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempts_, ended_, worker_, incarnation_, last_end_);
  }
};

// Occurrences of scheduled jobs that have become due.
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

// Ended jobs whose retention time is over; they are removed from the state.
struct ForgetRecord {
  std::vector<GraphJobKey> keys_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(keys_);
  }
};

// Reports of workers, and workers that are gone. A worker's report is
// acknowledged only once it is in the log, so a new leader knows the address of
// each worker and which workers are draining.
struct WorkerRecord {
  std::vector<PoolWorkerReport> reports_;
  std::vector<WorkerId> gone_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reports_, gone_);
  }
};

struct EvacuationRecord {
  EvacuationOrder order_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(order_);
  }
};

// Speeds that have changed since they were last recorded. Nothing waits for
// this record, and the leader learns the speeds again if it is lost.
struct WorkerSpeedsRecord {
  std::map<WorkerId, LearnedSpeed> speeds_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(speeds_);
  }
};

// Attempts that began on the worker, of tasks that may crash it.
struct ConfirmedRecord {
  WorkerId worker_;
  std::vector<AttemptRef> attempts_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker_, attempts_);
  }
};

// Tasks to be given up because they crash their workers. Changes nothing for
// tasks for which the crash ledger doesn't say so any more.
struct GiveUpRecord {
  std::vector<TaskRef> tasks_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tasks_);
  }
};

// The log stores the position of the alternative, so new kinds are appended.
using GraphRecord =
    std::variant<CatalogRecord, SubmitRecord, CancelRecord, OpenRecord,
                 EndRecord, DueRecord, ForgetRecord, WorkerRecord,
                 EvacuationRecord, WorkerSpeedsRecord, ConfirmedRecord,
                 GiveUpRecord>;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_RECORDS_H_
