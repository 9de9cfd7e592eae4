// A stub control process for tests and load tests of an entry. It answers
// exchanges and calls as configured and keeps no other state.

#ifndef FLAMINGOHOLLOW_TESTING_STUB_CONTROL_H_
#define FLAMINGOHOLLOW_TESTING_STUB_CONTROL_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/messages.h"
#include "util/clock.h"

namespace flamingohollow {

class StubControl {
 public:
  // Sends the reply. Thread-safe; call at most once. The reply counts as lost
  // if it is never called.
  using CallResponder = std::function<void(CallReply)>;
  // Called on the RPC thread.
  using CallHandler = std::function<void(CallRequest, CallResponder)>;

  explicit StubControl(CallHandler handler);
  ~StubControl();
  StubControl(const StubControl&) = delete;
  StubControl& operator=(const StubControl&) = delete;

  // "IP:PORT".
  std::string address() const;
  // Sets the answer to exchanges; commands and jobs are sent only once.
  void SetAnswer(const ControlSync& answer);
  // The exchanges received so far, at most the first 10000.
  std::vector<EntrySync> Syncs() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A leader's answer that grants a lease on a table with customer "acme".
ControlSync LeaderAnswer(Duration lease);
// A leader's reply about a job of "acme" with the given outcome.
CallReply JobAnswer(std::uint64_t job, Outcome outcome);
JobView MakeJobView(std::uint64_t job, Outcome outcome);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TESTING_STUB_CONTROL_H_
