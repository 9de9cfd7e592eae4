// An entry's control state and the one thread that owns it.
//
// This class does the I/O for the components that do none themselves
// (entry_table.h, entry_workers.h, dispatcher.h, rate_limit.h). Everything here
// runs on the entry's control thread and needs no lock, except Post and the
// counts that other threads read.
//
// The entry long-polls the leader: one exchange is nearly always open, and the
// leader answers it when something has changed. A change of the workers or the
// waiting callers opens a second exchange, which makes the leader answer the
// first.

#ifndef FLAMINGOHOLLOW_ENTRY_CORE_H_
#define FLAMINGOHOLLOW_ENTRY_CORE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "flamingohollow/dispatcher.h"
#include "flamingohollow/entry_table.h"
#include "flamingohollow/entry_workers.h"
#include "flamingohollow/filter.h"
#include "flamingohollow/http_client.h"
#include "flamingohollow/http_server.h"
#include "flamingohollow/job_waiters.h"
#include "flamingohollow/leader_link.h"
#include "flamingohollow/metrics.h"
#include "flamingohollow/rate_limit.h"
#include "flamingohollow/rpc.h"
#include "flamingohollow/trace.h"
#include "flamingohollow/types.h"
#include "util/io_threads.h"

namespace flamingohollow {

// Limit of concurrent calls to the leader; further ones are refused at once.
inline constexpr std::uint64_t kMaxCallsInFlight = 512;

struct EntryCoreOptions {
  NodeName name_;
  Incarnation incarnation_;
  std::vector<std::string> controls_;
  std::uint64_t seed_ = 0;
  CallOptions call_;
};

class EntryCore {
 public:
  // All references must outlive the core. `threads` has one thread, the
  // control thread.
  EntryCore(const EntryCoreOptions& options, IoThreads& threads, RpcNode& rpc,
            HttpClient& client, Metrics& metrics, SpanLog& spans);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  // Starts the exchanges and the timer.
  void Start();
  // Answers waiting callers with the current state of their job. Later callers
  // are answered without waiting, all by `end`.
  void Drain(Time end);
  // Handles a request that passed the traffic filters. For a call, TryBeginCall
  // must have returned true.
  void Handle(PendingRequest pending, HttpResponder respond);

  // Whether the entry takes new work: it holds a lease and does not drain.
  bool IsReady() const;
  // Copies the gauges and counters kept by other components to the metrics.
  void ExportMetrics();

  // These may be called on any thread.
  void Post(std::function<void()> task);
  // Reserves a slot for one call to the leader; false if kMaxCallsInFlight are
  // in progress. Callers that wait for the end of a job use no slot.
  bool TryBeginCall();
  // Calls to the leader and requests to workers that are under way.
  std::uint64_t in_flight() const { return calls_ + commands_; }

 private:
  void HandleCall(PendingRequest pending, HttpResponder respond);
  void HandleAnnounce(const PendingRequest& pending,
                      const HttpResponder& respond);
  Span MakeChild(const Span& parent, const std::string& name);
  void OnCallResult(const std::shared_ptr<PendingRequest>& pending,
                    const HttpResponder& respond, CallResult result);
  bool WaitForEnd(const std::shared_ptr<PendingRequest>& pending,
                  const HttpResponder& respond, const CallReply& reply);

  void Tick();
  void ScheduleTick();
  void MaybeSync();
  void SendSync();
  void OnSync(const WorkerUpdate& update, Time sent_at,
              std::optional<ControlSync> answer);
  void ApplyLeaderUpdate(const ControlSync& sync, Time sent_at);
  void SendCommands();
  void OnCommandsAnswered(const Batch& batch, Time sent_at, HttpResult result);
  void RecordDispatchSpans(const Batch& batch, Time started_at,
                           Duration duration);
  void LogLeaseChange();
  PostTask MakePostTask();

  const EntryCoreOptions options_;
  IoThreads& threads_;
  RpcNode& rpc_;
  HttpClient& client_;
  Metrics& metrics_;
  SpanLog& spans_;

  std::mt19937_64 random_;
  EntryTable table_;
  EntryWorkers workers_;
  Dispatcher dispatcher_;
  RateLimits limits_;
  JobWaiters waiters_;
  LeaderLink link_;

  bool draining_ = false;
  bool had_lease_ = false;
  // Exchanges under way; at most kMaxOpenSyncs.
  std::uint32_t open_syncs_ = 0;
  Time last_sync_at_;
  // Earliest time of the next exchange; set after a failed one.
  Time next_sync_at_;
  // Number of exchanges that may be sent now. Refilled by the timer, to limit
  // the rate when a leader answers every exchange immediately.
  std::uint32_t sync_credit_ = 0;
  // The waiting callers changed since the last exchange was sent.
  bool watch_changed_ = false;
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> commands_{0};

  // Asio's timers, kept out of this header.
  struct Timers;
  std::unique_ptr<Timers> timers_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_ENTRY_CORE_H_
