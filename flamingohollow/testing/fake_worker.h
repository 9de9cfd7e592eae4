// A stand-in for a backend server: announces itself to the entries, holds
// leases, and pretends to run tasks by waiting. A test program, not a product.
//
// Every event is one synced JSON line in the events file, written before it
// takes effect, so that checks can compare the product's answers with what
// really happened.

#ifndef FLAMINGOHOLLOW_TESTING_FAKE_WORKER_H_
#define FLAMINGOHOLLOW_TESTING_FAKE_WORKER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

enum class FakeWorkerMode : std::uint8_t {
  kOk,
  // Every task fails at once.
  kFailAll,
  // Tasks start and never finish.
  kHang,
  // Results are told long after the task finished.
  kLate,
  // Every announcement is sent again, and old ones later.
  kTwice,
  // Every lease is refused.
  kRefuse,
};

struct FakeWorkerOptions {
  WorkerId name_;
  // "HOST:PORT" of its HTTP server.
  std::string listen_;
  // "HOST:PORT" of the entries.
  std::vector<std::string> servers_;
  std::string token_;
  std::string events_path_;
  WorkerPlace place_;
  Accelerators accelerators_ = Accelerators(8);
  std::uint32_t slots_ = 8;
  std::uint32_t connections_ = 60;
  FakeWorkerMode mode_ = FakeWorkerMode::kOk;
};

// Runs until SIGTERM has been carried out; returns the exit code.
int RunFakeWorker(const FakeWorkerOptions& options);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TESTING_FAKE_WORKER_H_
