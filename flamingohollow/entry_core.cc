// Exchanges with the leader, commands to workers, and the timer.

#include "flamingohollow/entry_core.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <utility>

#include "util/log.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;

constexpr std::uint32_t kMaxOpenSyncs = 2;
// Changes are batched for this long before they are sent.
constexpr Duration kSyncBatchDelay = Duration(5);
constexpr Duration kTickInterval = Duration(10);
// Exchanges added to the credit by each tick, and the maximum credit.
constexpr std::uint32_t kSyncsPerTick = 4;
constexpr std::uint32_t kMaxSyncCredit = 64;
constexpr Duration kSyncRetryPause = Duration(50);
constexpr Duration kCommandTimeout = Duration(1500);
constexpr unsigned kOk = 200;

std::chrono::milliseconds Ms(Duration duration) {
  return std::chrono::milliseconds(duration.ms());
}

}  // namespace

struct EntryCore::Timers {
  explicit Timers(asio::io_context& loop) : loop_(loop), tick_(loop) {}
  asio::io_context& loop_;
  asio::steady_timer tick_;
};

EntryCore::EntryCore(const EntryCoreOptions& options, IoThreads& threads,
                     RpcNode& rpc, HttpClient& client, Metrics& metrics,
                     SpanLog& spans)
    : options_(options),
      threads_(threads),
      rpc_(rpc),
      client_(client),
      metrics_(metrics),
      spans_(spans),
      random_(options.seed_),
      dispatcher_(MakeDispatcher(DispatchOptions())),
      link_(options.controls_, options.call_, rpc, MakePostTask(),
            options.seed_),
      timers_(std::make_unique<Timers>(threads.Loop(0))) {}

EntryCore::~EntryCore() = default;

PostTask EntryCore::MakePostTask() {
  return [&threads = threads_](Duration pause, std::function<void()> task) {
    if (pause <= Duration(0)) {
      threads.Post(0, std::move(task));
      return;
    }
    // Timers belong to their loop's thread.
    threads.Post(0, [&threads, pause, task = std::move(task)] {
      auto timer =
          std::make_shared<asio::steady_timer>(threads.Loop(0), Ms(pause));
      timer->async_wait([timer, task](boost::system::error_code error) {
        if (!error) task();
      });
    });
  };
}

void EntryCore::Post(std::function<void()> task) {
  threads_.Post(0, std::move(task));
}

bool EntryCore::TryBeginCall() {
  if (++calls_ <= kMaxCallsInFlight) return true;
  --calls_;
  return false;
}

void EntryCore::Start() {
  MaybeSync();
  ScheduleTick();
}

void EntryCore::ScheduleTick() {
  timers_->tick_.expires_after(Ms(kTickInterval));
  timers_->tick_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    Tick();
    ScheduleTick();
  });
}

void EntryCore::Tick() {
  const Time now = MonotonicNow();
  waiters_.OnTick(now);
  RemoveSilentWorkers(workers_, now);
  UpdateInterval(workers_, table_.worker_lease_);
  LogLeaseChange();
  SendCommands();
  sync_credit_ = std::min(sync_credit_ + kSyncsPerTick, kMaxSyncCredit);
  MaybeSync();
}

void EntryCore::LogLeaseChange() {
  const bool has_lease = HasLease(table_, MonotonicNow());
  if (has_lease == had_lease_) return;
  had_lease_ = has_lease;
  if (has_lease) {
    LogInfo("table version {} in force, leader {}",
            table_.table_.version_.value(), link_.address());
  } else {
    LogInfo("table lease lost; taking no new work");
  }
}

bool EntryCore::IsReady() const {
  return !draining_ && HasLease(table_, MonotonicNow());
}

void EntryCore::Drain(Time end) {
  draining_ = true;
  link_.EndBy(end);
  waiters_.AnswerAll();
}

// Exchanges with the leader.

void EntryCore::MaybeSync() {
  const Time now = MonotonicNow();
  if (now < next_sync_at_ || sync_credit_ == 0) return;
  if (open_syncs_ == 0) {
    SendSync();
    return;
  }
  const bool has_changes = watch_changed_ || HasReportsToSend(workers_, now);
  if (has_changes && open_syncs_ < kMaxOpenSyncs &&
      now - last_sync_at_ >= kSyncBatchDelay) {
    SendSync();
  }
}

void EntryCore::SendSync() {
  const Time now = MonotonicNow();
  WorkerUpdate update = BuildWorkerUpdate(workers_, now);
  EntrySync sync;
  sync.entry_ = options_.name_;
  sync.incarnation_ = options_.incarnation_;
  sync.table_version_ = EnforcedVersion(table_);
  sync.exclusions_version_ = table_.exclusions_version_;
  sync.reports_ = update.reports_;
  sync.sequence_ = update.sequence_;
  sync.alive_ = update.alive_;
  sync.silent_ = update.silent_;
  sync.watched_ = waiters_.Jobs();
  watch_changed_ = false;
  last_sync_at_ = now;
  ++open_syncs_;
  --sync_credit_;
  link_.Sync(sync, [this, update = std::move(update),
                    now](std::optional<ControlSync> answer) {
    OnSync(update, now, std::move(answer));
  });
}

void EntryCore::OnSync(const WorkerUpdate& update, Time sent_at,
                       std::optional<ControlSync> answer) {
  --open_syncs_;
  if (!answer.has_value() || !answer->is_leader_) {
    OnUpdateLost(workers_, update);
    const bool has_hint =
        answer.has_value() && !answer->leader_address_.empty();
    const Duration pause = has_hint ? Duration(0) : kSyncRetryPause;
    next_sync_at_ = MonotonicNow() + pause;
  } else {
    if (answer->send_all_reports_) ResendAll(workers_);
    OnUpdateAnswered(workers_, update, answer->acknowledged_);
    ApplyLeaderUpdate(*answer, sent_at);
  }
  MaybeSync();
}

void EntryCore::ApplyLeaderUpdate(const ControlSync& sync, Time sent_at) {
  const TableVersion before = table_.table_.version_;
  const SyncOutcome outcome = ApplySync(table_, sync, sent_at);
  if (outcome == SyncOutcome::kStale) {
    metrics_.Count("entry_stale_syncs_total");
  }
  if (table_.table_.version_ != before) {
    RemoveStaleBuckets(limits_, table_.table_);
    LogInfo("table version {}", table_.table_.version_.value());
  }
  for (const JobView& job : sync.jobs_) waiters_.OnJob(job);
  QueueCommands(dispatcher_, sync.commands_, MonotonicNow());
  SendCommands();
}

// Commands to workers.

void EntryCore::SendCommands() {
  for (Batch& batch : TakeBatches(dispatcher_, MonotonicNow())) {
    HttpPost post;
    post.address_ = batch.address_;
    post.target_ = "/v1/commands";
    post.body_ = WriteCommands(batch.commands_);
    post.timeout_ = kCommandTimeout;
    const WorkerCommand& first = batch.commands_.front();
    post.trace_parent_ =
        FormatTraceParent(JobTrace(first.customer_, first.request_id_));
    ++commands_;
    client_.Post(std::move(post),
                 [this, batch = std::move(batch),
                  sent_at = MonotonicNow()](HttpResult result) mutable {
                   Post([this, batch = std::move(batch), sent_at,
                         result = std::move(result)] {
                     OnCommandsAnswered(batch, sent_at, result);
                   });
                 });
  }
}

void EntryCore::OnCommandsAnswered(const Batch& batch, Time sent_at,
                                   HttpResult result) {
  --commands_;
  const Time now = MonotonicNow();
  bool ok = result.error_ == HttpClientError::kNone && result.status_ == kOk;
  if (ok) {
    // The answer is the worker's full announcement after the commands were
    // applied. An answer that can't be parsed counts as a failure.
    ok = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_AUTO(announcement, ParseAnnouncement(result.body_));
          ApplyAnnouncement(workers_, announcement, now);
          return true;
        },
        [] { return false; });
  }
  OnBatchDone(dispatcher_, batch.worker_, batch.id_, ok, now, random_());
  metrics_.Observe("entry_dispatch_ms",
                   static_cast<double>((now - sent_at).ms()), now);
  RecordDispatchSpans(batch, WallNow() - (now - sent_at), now - sent_at);
  SendCommands();
  MaybeSync();
}

void EntryCore::RecordDispatchSpans(const Batch& batch, Time started_at,
                                    Duration duration) {
  for (const WorkerCommand& command : batch.commands_) {
    // A command without a request id can't be assigned to its job's trace.
    if (command.request_id_.value().empty()) continue;
    Span span;
    span.context_ = JobTrace(command.customer_, command.request_id_);
    span.parent_ = span.context_.span_;
    span.context_.span_ = random_() | 1;
    span.name_ = "dispatch";
    span.started_at_ = started_at;
    span.duration_ = duration;
    span.tags_ = {{"command", std::string(WorkerCommandName(command.kind_))},
                  {"job", std::to_string(command.job_.value())},
                  {"attempt", std::to_string(command.attempt_.value())},
                  {"worker", command.worker_.value()}};
    spans_.Record(span);
  }
}

void EntryCore::ExportMetrics() {
  const Time now = MonotonicNow();
  metrics_.SetGauge("entry_table_version",
                    static_cast<double>(table_.table_.version_.value()));
  metrics_.SetGauge("entry_table_lease", HasLease(table_, now) ? 1 : 0);
  metrics_.SetGauge("entry_workers",
                    static_cast<double>(workers_.workers_.size()));
  metrics_.SetGauge("entry_waiting_callers",
                    static_cast<double>(waiters_.size()));
  metrics_.SetGauge("entry_worker_connections",
                    static_cast<double>(client_.open_connections()));
  metrics_.SetCount("entry_spans_dropped_total",
                    static_cast<double>(spans_.dropped()));
  const LinkCounts& link = link_.counts();
  const DispatchCounts& dispatch = dispatcher_.counts_;
  const std::pair<const char*, std::uint64_t> totals[] = {
      {"entry_calls_total", link.calls_},
      {"entry_call_retries_total", link.retries_},
      {"entry_calls_not_done_total", link.not_executed_},
      {"entry_calls_unknown_total", link.unknown_},
      {"entry_syncs_total", link.syncs_},
      {"entry_syncs_lost_total", link.syncs_lost_},
      {"entry_dispatch_batches_total", dispatch.batches_},
      {"entry_dispatch_retries_total", dispatch.retries_},
      {"entry_dispatch_failures_total", dispatch.failures_},
      {"entry_dispatch_dropped_old_total", dispatch.dropped_old_},
      {"entry_dispatch_dropped_full_total", dispatch.dropped_full_},
      {"entry_circuits_opened_total", dispatch.circuit_opened_},
  };
  for (const auto& [name, total] : totals) {
    metrics_.SetCount(name, static_cast<double>(total));
  }
}

}  // namespace flamingohollow
