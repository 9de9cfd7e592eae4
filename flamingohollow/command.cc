// Names of outcomes.

#include "flamingohollow/command.h"

namespace flamingohollow {

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAccepted:
      return "accepted";
    case Outcome::kQueued:
      return "queued";
    case Outcome::kPreparing:
      return "preparing";
    case Outcome::kStarting:
      return "starting";
    case Outcome::kRunning:
      return "running";
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace flamingohollow
