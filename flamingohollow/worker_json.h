// The JSON form of announcements and worker commands (docs/HTTP.md, "Between
// entries and workers"), for both sides of that interface.

#ifndef FLAMINGOHOLLOW_WORKER_JSON_H_
#define FLAMINGOHOLLOW_WORKER_JSON_H_

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

// Why a body was refused: `message_` names the field.
struct WorkerJsonError {
  std::string message_;
};

// What a worker announces: all of itself, or only that nothing changed.
struct Announcement {
  // When `whole_` is false only worker, incarnation and sequence are filled.
  bool whole_ = false;
  WorkerReport report_;
};

struct AnnounceReply {
  // False: send everything at once.
  bool known_ = false;
  // Renews the worker's leases for this long from when the announcement was
  // sent; 0 renews none.
  Duration renew_;
  std::vector<JobId> excluded_;
  // When to announce again.
  Duration announce_after_;
};

std::string WriteAnnouncement(const Announcement& announcement);
boost::leaf::result<Announcement> ParseAnnouncement(std::string_view json);

std::string WriteAnnounceReply(const AnnounceReply& reply);
boost::leaf::result<AnnounceReply> ParseAnnounceReply(std::string_view json);

// The commands of one worker; the worker's id and address are not sent.
std::string WriteCommands(const std::vector<WorkerCommand>& commands);
boost::leaf::result<std::vector<WorkerCommand>> ParseCommands(
    std::string_view json);

// "prepared", "running", "finished", "failed", "stopped", "never_ran".
std::string_view LeaseStateName(LeaseState state);
// "prepare", "start", "stop", "release".
std::string_view WorkerCommandName(WorkerCommandKind kind);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_JSON_H_
