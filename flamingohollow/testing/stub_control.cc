// Holds exchanges for a short time, like the real control process.

#include "flamingohollow/testing/stub_control.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <mutex>
#include <utility>

#include "flamingohollow/codec.h"
#include "flamingohollow/job_json.h"
#include "flamingohollow/rpc.h"
#include "util/io_threads.h"

namespace flamingohollow {
namespace {

constexpr auto kSyncHoldTime = std::chrono::milliseconds(20);
constexpr std::uint16_t kOkStatus = 200;
constexpr std::uint16_t kAcceptedStatus = 202;
constexpr std::size_t kMaxRecordedSyncs = 10000;

}  // namespace

struct StubControl::Impl {
  CallHandler handler_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  ControlSync answer_;
  std::vector<EntrySync> syncs_;
  std::vector<std::pair<EntrySync, RpcResponder>> held_;

  IoThreads threads_{1};
  boost::asio::steady_timer timer_{threads_.Loop(0)};
  std::unique_ptr<RpcNode> rpc_;

  void OnCall(const std::string& body, const RpcResponder& respond) {
    auto request = DecodeCallRequest(body);
    if (!request) return;
    handler_(std::move(*request),
             [respond](const CallReply& reply) { respond(Encode(reply)); });
  }

  void OnSync(const std::string& body, RpcResponder respond) {
    auto sync = DecodeEntrySync(body);
    if (!sync) return;
    AnswerPending();
    const std::lock_guard lock(mutex_);
    if (syncs_.size() < kMaxRecordedSyncs) syncs_.push_back(*sync);
    held_.emplace_back(std::move(*sync), std::move(respond));
  }

  void AnswerPending() {
    const std::lock_guard lock(mutex_);
    for (const auto& [sync, respond] : std::exchange(held_, {})) {
      ControlSync answer = answer_;
      for (const WorkerReport& report : sync.reports_) {
        answer.acknowledged_.push_back(report.worker_);
      }
      answer_.commands_.clear();
      answer_.jobs_.clear();
      respond(Encode(answer));
    }
  }

  void ScheduleAnswers() {
    timer_.expires_after(kSyncHoldTime);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      AnswerPending();
      ScheduleAnswers();
    });
  }
};

StubControl::StubControl(CallHandler handler)
    : impl_(std::make_unique<Impl>()) {
  impl_->handler_ = std::move(handler);
  auto rpc = RpcNode::Create(
      "127.0.0.1:0", [impl = impl_.get()](RpcKind kind, const std::string& body,
                                          RpcResponder respond) {
        if (kind == RpcKind::kCall) {
          impl->OnCall(body, respond);
        } else {
          impl->OnSync(body, std::move(respond));
        }
      });
  impl_->rpc_ = std::move(rpc.value());
  impl_->threads_.Post(0, [impl = impl_.get()] { impl->ScheduleAnswers(); });
}

StubControl::~StubControl() {
  impl_->rpc_.reset();
  impl_->threads_.Stop();
}

std::string StubControl::address() const {
  return "127.0.0.1:" + std::to_string(impl_->rpc_->port());
}

void StubControl::SetAnswer(const ControlSync& answer) {
  const std::lock_guard lock(impl_->mutex_);
  impl_->answer_ = answer;
}

std::vector<EntrySync> StubControl::Syncs() const {
  const std::lock_guard lock(impl_->mutex_);
  return impl_->syncs_;
}

ControlSync LeaderAnswer(Duration lease) {
  ControlSync answer;
  answer.is_leader_ = true;
  answer.term_ = Term(1);
  answer.lease_ = lease;
  answer.table_version_ = TableVersion(1);
  Table table;
  table.version_ = TableVersion(1);
  Row row;
  row.customer_ = CustomerId("acme");
  row.max_queued_ = 1000;
  row.max_rate_ = 1000000;
  table.rows_[row.customer_] = row;
  answer.table_ = std::move(table);
  answer.exclusions_version_ = 1;
  answer.exclusions_.emplace();
  answer.worker_lease_ = Duration(10000);
  return answer;
}

JobView MakeJobView(std::uint64_t job, Outcome outcome) {
  JobView view;
  view.job_ = JobId(job);
  view.spec_.customer_ = CustomerId("acme");
  view.outcome_ = outcome;
  return view;
}

CallReply JobAnswer(std::uint64_t job, Outcome outcome) {
  CallReply reply;
  reply.is_leader_ = true;
  reply.job_ = MakeJobView(job, outcome);
  reply.status_ = IsTerminal(outcome) ? kOkStatus : kAcceptedStatus;
  reply.body_ = boost::json::serialize(JobToJson(*reply.job_));
  return reply;
}

}  // namespace flamingohollow
