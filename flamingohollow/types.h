// The ids and small value types that every part shares.
//
// Words: a *worker* is a backend server with accelerators, a *failure domain*
// a zone, a *customer* a tenant; docs/GLOSSARY.md maps the rest.

#ifndef FLAMINGOHOLLOW_TYPES_H_
#define FLAMINGOHOLLOW_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "util/clock.h"
#include "util/strong.h"

namespace flamingohollow {

// A replication group: one today; at target size one for the customer table
// and one a region for jobs and leases.
using GroupId = Strong<struct GroupIdTag, std::uint32_t>;
// A process of the system, as named in the settings: "control-0", "entry-2".
using NodeName = Strong<struct NodeNameTag, std::string>;
// A voter's identity: made at random with its data folder, never reused.
using VoterId = Strong<struct VoterIdTag, std::uint64_t>;
using Term = Strong<struct TermTag, std::uint64_t>;
using LogIndex = Strong<struct LogIndexTag, std::uint64_t>;
using TableVersion = Strong<struct TableVersionTag, std::uint64_t>;

using CustomerId = Strong<struct CustomerIdTag, std::string>;
// Chosen by the caller; unique within one customer.
using RequestId = Strong<struct RequestIdTag, std::string>;
// The log index of the record that accepted the job.
using JobId = Strong<struct JobIdTag, std::uint64_t>;
// 1 for a job's first attempt; 0 means none yet.
using AttemptId = Strong<struct AttemptIdTag, std::uint32_t>;
// A task is the part of a gang that runs on one worker; tasks of an attempt
// count from 0.
using TaskIndex = Strong<struct TaskIndexTag, std::uint32_t>;

using WorkerId = Strong<struct WorkerIdTag, std::string>;
// Grows with each start of the worker's process.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
using Region = Strong<struct RegionTag, std::string>;
using FailureDomain = Strong<struct FailureDomainTag, std::string>;
using Rack = Strong<struct RackTag, std::string>;
using Accelerators = Strong<struct AcceleratorsTag, std::uint32_t>;

// How close together the accelerators of one gang must be: all on one worker,
// in one rack, and so on.
enum class Adjacency : std::uint8_t {
  kWorker = 0,
  kRack = 1,
  kFailureDomain = 2,
  kRegion = 3,
};

// "worker", "rack", "failure_domain" or "region".
std::string_view AdjacencyName(Adjacency adjacency);
std::optional<Adjacency> ParseAdjacency(std::string_view name);

// `count_` gangs of `accelerators_` each, every gang within `adjacency_`.
struct Cell {
  std::uint32_t count_ = 0;
  Accelerators accelerators_;
  Adjacency adjacency_ = Adjacency::kRack;

  friend bool operator==(const Cell&, const Cell&) = default;
};

// What a customer can always get back.
using GuaranteedShape = std::vector<Cell>;

// Where a worker stands and what it can hold.
struct WorkerPlace {
  Region region_;
  FailureDomain failure_domain_;
  Rack rack_;

  friend bool operator==(const WorkerPlace&, const WorkerPlace&) = default;
};

// The part of an attempt that one worker runs.
struct Slice {
  WorkerId worker_;
  Incarnation incarnation_;
  Accelerators accelerators_;

  friend bool operator==(const Slice&, const Slice&) = default;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TYPES_H_
