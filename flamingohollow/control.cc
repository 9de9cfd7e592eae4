// Runs ControlCore: the control thread's loop, the message queue from the RPC
// thread, and the steps of a graceful stop.

#include "flamingohollow/control.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <utility>

#include "flamingohollow/codec.h"
#include "flamingohollow/control_core.h"
#include "flamingohollow/peer_links.h"
#include "flamingohollow/rpc.h"
#include "util/clock.h"
#include "util/log.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

constexpr std::chrono::milliseconds kTickInterval(20);
// Limit on messages queued for the control thread; further ones get an empty
// answer.
constexpr std::size_t kMaxQueuedMessages = 8192;
// Graceful stop: maximum time for callers' proposals to commit.
constexpr Duration kDrainTime(1000);
// Graceful stop: maximum time for the leadership transfer.
constexpr Duration kTransferTime(2000);
// Graceful stop: time that the last answers get to be sent; always waited in
// full.
constexpr Duration kFinalAnswerTime(100);

enum class StopStep : std::uint8_t {
  kNone,
  kDraining,
  kTransferring,
  kSendingFinalAnswers,
};

}  // namespace

struct ControlServer::Impl {
  explicit Impl(const ControlOptions& options)
      : options_(options),
        timer_(io_),
        core_(options.jobs_, {&MonotonicNow, &WallNow}),
        peers_(
            options.listen_address_,
            [this](const std::string& address, std::string body,
                   PeerAnswer done) {
              CallPeer(address, std::move(body), std::move(done));
            },
            [this](std::string message) {
              replica_->Receive(std::move(message));
            }) {}

  using PeerAnswer = std::function<void(const std::string& answer)>;

  void Post(std::function<void()> task);
  void CallPeer(const std::string& address, std::string body, PeerAnswer done);
  void ScheduleFlush();
  void Receive(RpcKind kind, std::string body, RpcResponder respond);
  void Handle(RpcKind kind, const std::string& body, RpcResponder respond);
  void HandleSync(const std::string& body, RpcResponder respond);
  void HandleCall(const std::string& body, RpcResponder respond);
  void ScheduleTick();
  void AdvanceStop(Time now);
  void EnterStopStep(StopStep step, Time now);

  ControlOptions options_;
  asio::io_context io_;
  asio::steady_timer timer_;
  ControlCore core_;
  PeerLinks peers_;
  std::unique_ptr<Replica> replica_;
  // Declared after the replica, so that it is destroyed first and no message
  // arrives while the replica is destroyed.
  std::unique_ptr<RpcNode> rpc_;
  std::atomic<std::size_t> queued_messages_ = 0;

  // Control thread only.
  bool flush_scheduled_ = false;
  StopStep stop_step_ = StopStep::kNone;
  Time step_started_at_;
  bool transfer_done_ = false;
};

// Thread-safe.
void ControlServer::Impl::Post(std::function<void()> task) {
  asio::post(io_, [this, task = std::move(task)] {
    task();
    ScheduleFlush();
  });
}

// Flushes after the tasks that are already queued, so that one answer to an
// entry carries the results of all of them.
void ControlServer::Impl::ScheduleFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  asio::post(io_, [this] {
    flush_scheduled_ = false;
    core_.Flush();
  });
}

void ControlServer::Impl::CallPeer(const std::string& address, std::string body,
                                   PeerAnswer done) {
  rpc_->Call(address, RpcKind::kPeer, std::move(body), kPeerTimeout,
             [this, done = std::move(done)](bool ok, std::string answer) {
               if (!ok || answer.empty()) return;
               Post([done, answer = std::move(answer)] { done(answer); });
             });
}

// Runs on the RPC thread.
void ControlServer::Impl::Receive(RpcKind kind, std::string body,
                                  RpcResponder respond) {
  if (queued_messages_.fetch_add(1) >= kMaxQueuedMessages) {
    queued_messages_.fetch_sub(1);
    // An empty answer does not decode, so the sender counts it as lost.
    respond("");
    return;
  }
  Post([this, kind, body = std::move(body), respond = std::move(respond)] {
    queued_messages_.fetch_sub(1);
    Handle(kind, body, respond);
  });
}

void ControlServer::Impl::Handle(RpcKind kind, const std::string& body,
                                 RpcResponder respond) {
  switch (kind) {
    case RpcKind::kPeer:
      return respond(peers_.Receive(body));
    case RpcKind::kSync:
      return HandleSync(body, std::move(respond));
    case RpcKind::kCall:
      return HandleCall(body, std::move(respond));
    case RpcKind::kGraph:
      // Graph jobs have a control process of their own; see graph_control.h.
      break;
  }
  respond("");
}

void ControlServer::Impl::HandleSync(const std::string& body,
                                     RpcResponder respond) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(sync, DecodeEntrySync(body));
        core_.HandleSync(sync, [respond](const ControlSync& answer) {
          respond(Encode(answer));
        });
        return {};
      },
      [&] { respond(""); });
}

void ControlServer::Impl::HandleCall(const std::string& body,
                                     RpcResponder respond) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(request, DecodeCallRequest(body));
        core_.HandleCall(request, [respond](const CallReply& reply) {
          respond(Encode(reply));
        });
        return {};
      },
      [&] { respond(""); });
}

void ControlServer::Impl::ScheduleTick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    core_.Tick();
    core_.Flush();
    AdvanceStop(MonotonicNow());
    ScheduleTick();
  });
}

void ControlServer::Impl::EnterStopStep(StopStep step, Time now) {
  stop_step_ = step;
  step_started_at_ = now;
}

void ControlServer::Impl::AdvanceStop(Time now) {
  const Duration elapsed = now - step_started_at_;
  switch (stop_step_) {
    case StopStep::kNone:
      return;
    case StopStep::kDraining:
      if (!core_.Idle() && elapsed < kDrainTime) return;
      EnterStopStep(StopStep::kTransferring, now);
      transfer_done_ = !replica_->Status().is_leader_;
      if (transfer_done_) return;
      replica_->TransferLeadership(
          [this](bool, const std::string&) { transfer_done_ = true; });
      return;
    case StopStep::kTransferring:
      if (!transfer_done_ && elapsed < kTransferTime) return;
      EnterStopStep(StopStep::kSendingFinalAnswers, now);
      core_.AnswerPending();
      return;
    case StopStep::kSendingFinalAnswers:
      if (elapsed < kFinalAnswerTime) return;
      LogInfo("stopped");
      io_.stop();
      return;
  }
}

namespace {

leaf::result<std::unique_ptr<RpcNode>> Listen(const ControlOptions& options,
                                              const RpcHandler& receive) {
  return leaf::try_handle_some(
      [&] { return RpcNode::Create(options.listen_address_, receive); },
      [&](RpcError) -> leaf::result<std::unique_ptr<RpcNode>> {
        return leaf::new_error(
            ControlError{"cannot listen on " + options.listen_address_});
      });
}

}  // namespace

leaf::result<std::unique_ptr<ControlServer>> ControlServer::Create(
    const ControlOptions& options, const ReplicaFactory& make_replica) {
  auto impl = std::make_unique<Impl>(options);
  Impl* raw = impl.get();
  auto receive = [raw](RpcKind kind, std::string body, RpcResponder respond) {
    raw->Receive(kind, std::move(body), std::move(respond));
  };
  BOOST_LEAF_ASSIGN(impl->rpc_, Listen(options, receive));
  auto post = [raw](std::function<void()> task) { raw->Post(std::move(task)); };
  auto send = [raw](const std::string& address, const std::string& message) {
    raw->peers_.Send(address, message);
  };
  BOOST_LEAF_ASSIGN(
      impl->replica_,
      make_replica(options, impl->core_, std::move(send), std::move(post)));
  impl->core_.SetReplica(impl->replica_.get());
  return std::unique_ptr<ControlServer>(new ControlServer(std::move(impl)));
}

ControlServer::ControlServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

ControlServer::~ControlServer() = default;

void ControlServer::Run() {
  impl_->ScheduleTick();
  impl_->io_.run();
}

void ControlServer::Stop() {
  impl_->Post([impl = impl_.get()] {
    if (impl->stop_step_ != StopStep::kNone) return;
    LogInfo("stopping");
    impl->core_.StartStopping();
    impl->EnterStopStep(StopStep::kDraining, MonotonicNow());
  });
}

std::uint16_t ControlServer::port() const { return impl_->rpc_->port(); }

}  // namespace flamingohollow
