// Connects replica, service, relay and RPC on one event loop.

#include "flamingohollow/graph_control.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>
#include <utility>

#include "flamingohollow/descriptor_budget.h"
#include "flamingohollow/membership_plan.h"
#include "flamingohollow/peer_links.h"
#include "flamingohollow/replica_factory.h"
#include "flamingohollow/rpc.h"
#include "util/event_log.h"
#include "util/pack.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

// Interval of the event loop's tick; bounds how long decisions are delayed.
constexpr Duration kTickInterval = Duration(20);
// Each control node announces itself to the leader this often.
constexpr Duration kAnnounceInterval = Duration(500);
// A node that is about to stop announces itself this often.
constexpr Duration kLeaveInterval = Duration(100);
// A seed retries founding the group after this long. The seeds' first attempts
// are staggered by the same time.
constexpr Duration kFoundingInterval = Duration(400);
// Timeout of a call that is forwarded to the leader.
constexpr Duration kForwardTimeout = Duration(500);
// Polls may take three quarters of the connections to workers; the rest is for
// commands.
constexpr std::size_t kHeldPollFactor = 3;
constexpr std::size_t kHeldPollDivisor = 4;
// A leader whose disk is full tries to hand over this often.
constexpr Duration kFullDiskHandOverInterval = Duration(2000);
// Limit on messages that wait for loop 0; further ones are rejected. So are
// calls that exceed the process's share of memory, unless one is alone.
constexpr std::size_t kMaxQueuedMessages = 8192;

constexpr std::chrono::milliseconds kStopPoll(10);
// Exit code after a disk error.
constexpr int kDiskFailed = 1;

// Path of the file that marks a node that may found the group, also if it
// restarts during the first start.
std::string FounderMarkPath(const GraphSettings& settings) {
  return settings.data_folder_ + "/founder";
}

bool MayFound(const GraphSettings& settings) {
  const std::string own = InternalAddress(settings);
  const std::vector<std::string> seeds = SeedAddresses(settings);
  const bool seed = std::find(seeds.begin(), seeds.end(), own) != seeds.end();
  if (!seed) return false;
  std::error_code ignored;
  const std::string mark = FounderMarkPath(settings);
  if (std::filesystem::exists(mark, ignored)) return true;
  if (!settings.first_start_) return false;
  std::filesystem::create_directories(settings.data_folder_, ignored);
  std::ofstream(mark) << "1\n";
  return true;
}

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

struct GraphControl::Impl {
  Impl(const GraphSettings& settings, IoThreads& threads, SendCommand send,
       Metrics& metrics)
      : settings_(settings),
        threads_(threads),
        own_address_(InternalAddress(settings)),
        tick_timer_(threads.Loop(0)),
        service_(MakeOptions(settings), {&MonotonicNow, &WallNow},
                 std::move(send), metrics),
        peers_(
            own_address_,
            [this](const std::string& address, std::string body,
                   std::function<void(const std::string&)> done) {
              CallPeer(address, std::move(body), std::move(done));
            },
            [this](std::string message) {
              replica_->Receive(std::move(message));
            }) {}

  static GraphServiceOptions MakeOptions(const GraphSettings& settings) {
    GraphServiceOptions options;
    options.name_ = NodeName(settings.address_);
    options.voters_ = 2 * settings.tolerated_losses_ + 1;
    options.failure_domains_ = settings.failure_domains_;
    options.scheduler_.lease_ = settings.lease_;
    options.scheduler_.ended_job_retention_ = settings.ended_job_retention_;
    const DescriptorBudget descriptors = DivideDescriptors(
        DescriptorLimit(settings.max_open_files_), settings.role_);
    options.scheduler_.max_held_polls_ =
        descriptors.worker_connections_ / kHeldPollDivisor * kHeldPollFactor;
    options.scheduler_.placement_.report_interval_ = settings.report_interval_;
    options.scheduler_.placement_.remote_factor_ = settings.remote_factor_;
    return options;
  }

  ReplicaOptions MakeReplicaOptions() const;
  void CallPeer(const std::string& address, std::string body,
                std::function<void(const std::string&)> done);
  void Receive(RpcKind kind, std::string body, RpcResponder respond);
  void HandleRpc(RpcKind kind, const std::string& body,
                 const RpcResponder& respond);
  void HandleGraph(const GraphCall& call, const RpcResponder& respond);
  void Forward(GraphCall call, const GraphReply& hint,
               const RpcResponder& respond);
  void HandleLocal(const GraphCall& call, const GraphReplyCallback& done);
  void ScheduleTick();
  void Tick();
  void HandOverIfFull(Time now);
  void TryFounding(Time now);
  void Announce(Time now);
  // Lets a learner take this node's place, if there is one, before it stops.
  void Leave();
  void FinishLeaving(const GraphReply& reply);

  GraphSettings settings_;
  IoThreads& threads_;
  const std::string own_address_;
  asio::steady_timer tick_timer_;
  GraphService service_;
  PeerLinks peers_;
  std::unique_ptr<Replica> replica_;
  // Declared after the replica and so destroyed first: no message arrives while
  // the replica is destroyed.
  std::unique_ptr<RpcNode> rpc_;
  std::unique_ptr<GraphRelay> relay_;
  std::atomic<std::size_t> queued_ = 0;
  std::atomic<std::size_t> queued_bytes_ = 0;

  // Loop 0 only. Messages that arrive before Start are dropped, as the replica
  // may not exist yet.
  bool running_ = false;
  bool may_found_ = false;
  bool founding_ = false;
  Time next_founding_;
  Time next_hand_over_;
  Time next_announce_;
  bool announcing_ = false;
  // Set once the node is about to stop: until when it waits.
  std::optional<Time> leave_until_;
  std::atomic<bool> stopped_ = false;
};

ReplicaOptions GraphControl::Impl::MakeReplicaOptions() const {
  ReplicaOptions options;
  options.group_ = GroupId(1);
  options.name_ = NodeName(settings_.address_);
  options.address_ = own_address_;
  options.data_folder_ = settings_.data_folder_ + "/log";
  for (const std::string& seed : SeedAddresses(settings_)) {
    options.founders_.push_back({NodeName(HostOf(seed)), seed});
  }
  SetVoterTiming(options);
  options.raft_.wanted_voters_ = 2 * settings_.tolerated_losses_ + 1;
  return options;
}

void GraphControl::Impl::CallPeer(
    const std::string& address, std::string body,
    std::function<void(const std::string&)> done) {
  rpc_->Call(address, RpcKind::kPeer, std::move(body), kPeerTimeout,
             [this, done = std::move(done)](bool ok, std::string answer) {
               if (!ok || answer.empty()) return;
               threads_.Post(
                   0, [done, answer = std::move(answer)] { done(answer); });
             });
}

// Runs on an RPC thread.
void GraphControl::Impl::Receive(RpcKind kind, std::string body,
                                 RpcResponder respond) {
  // The log's messages are bounded by their senders.
  const std::size_t size = kind == RpcKind::kGraph ? body.size() : 0;
  const bool alone = queued_bytes_.fetch_add(size) == 0;
  const bool too_large =
      size > 0 && !alone &&
      queued_bytes_ > CallMemory(size, SharedMemory(settings_));
  if (queued_.fetch_add(1) >= kMaxQueuedMessages || too_large) {
    queued_.fetch_sub(1);
    queued_bytes_ -= size;
    // An empty answer can't be decoded, so the sender treats it as lost.
    if (kind != RpcKind::kGraph) return respond("");
    GraphReply reply;
    reply.outcome_ = GraphOutcome::kUnavailable;
    reply.text_ = "too many calls wait";
    reply.retry_after_ = kNoLeaderRetryAfter;
    return respond(Pack(reply));
  }
  threads_.Post(0, [this, kind, size, body = std::move(body),
                    respond = std::move(respond)] {
    queued_.fetch_sub(1);
    HandleRpc(kind, body, respond);
    queued_bytes_ -= size;
  });
}

void GraphControl::Impl::HandleRpc(RpcKind kind, const std::string& body,
                                   const RpcResponder& respond) {
  if (!running_) return respond("");
  if (kind == RpcKind::kPeer) return respond(peers_.Receive(body));
  const auto call =
      kind == RpcKind::kGraph ? Unpack<GraphCall>(body) : std::nullopt;
  if (!call.has_value()) return respond("");
  HandleGraph(*call, respond);
}

void GraphControl::Impl::HandleGraph(const GraphCall& call,
                                     const RpcResponder& respond) {
  HandleLocal(call, [this, call, respond](const GraphReply& reply) {
    const bool forward = reply.outcome_ == GraphOutcome::kNotLeader &&
                         call.forward_ && !reply.leader_address_.empty();
    if (forward) return Forward(call, reply, respond);
    respond(Pack(reply));
  });
}

void GraphControl::Impl::Forward(GraphCall call, const GraphReply& hint,
                                 const RpcResponder& respond) {
  call.forward_ = false;
  rpc_->Call(hint.leader_address_, RpcKind::kGraph, Pack(call), kForwardTimeout,
             [respond](bool ok, std::string answer) {
               respond(ok ? std::move(answer) : std::string());
             });
}

void GraphControl::Impl::HandleLocal(const GraphCall& call,
                                     const GraphReplyCallback& done) {
  service_.Handle(call, [this, done](const GraphReply& reply) {
    if (reply.outcome_ == GraphOutcome::kNotLeader) return done(reply);
    GraphReply own = reply;
    own.leader_address_ = own_address_;
    done(own);
  });
}

void GraphControl::Impl::ScheduleTick() {
  tick_timer_.expires_after(std::chrono::milliseconds(kTickInterval.ms()));
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    Tick();
    ScheduleTick();
  });
}

void GraphControl::Impl::Tick() {
  const Time now = MonotonicNow();
  replica_->Tick(now);
  const std::string failure = replica_->Status().failure_;
  if (!failure.empty()) {
    // The state of the disk is unknown after a failed write, so the process
    // exits and recovers from the disk when it is restarted.
    LogEvent("stop", {{"why", failure}});
    std::_Exit(kDiskFailed);
  }
  service_.Tick();
  HandOverIfFull(now);
  if (may_found_) TryFounding(now);
  Announce(now);
}

// Another voter may have room.
void GraphControl::Impl::HandOverIfFull(Time now) {
  const ReplicaStatus status = replica_->Status();
  if (!status.disk_full_ || !status.is_leader_ || now < next_hand_over_) return;
  next_hand_over_ = now + kFullDiskHandOverInterval;
  replica_->TransferLeadership([](bool ok, const std::string& reason) {
    LogEvent("hand_over", {{"ok", ok}, {"reason", reason}});
  });
}

void GraphControl::Impl::TryFounding(Time now) {
  if (replica_->Status().formed_) {
    may_found_ = false;
    return;
  }
  if (founding_ || now < next_founding_) return;
  founding_ = true;
  replica_->Init([this](bool ok, const std::string& reason) {
    founding_ = false;
    next_founding_ = MonotonicNow() + kFoundingInterval;
    LogEvent("founding", {{"ok", ok}, {"reason", reason}});
  });
}

void GraphControl::Impl::Announce(Time now) {
  const bool leaving = leave_until_.has_value();
  if (leaving && now >= *leave_until_) stopped_ = true;
  if (announcing_ || now < next_announce_) return;
  next_announce_ = now + (leaving ? kLeaveInterval : kAnnounceInterval);
  announcing_ = true;
  GraphCall call;
  call.kind_ = GraphCallKind::kAnnounce;
  call.node_ = {NodeName(settings_.address_), own_address_, leaving};
  relay_->Call(std::move(call), kAnnounceInterval, kAnnounceInterval * 2,
               [this](const GraphReply& reply) {
                 announcing_ = false;
                 if (leave_until_.has_value()) FinishLeaving(reply);
               });
}

void GraphControl::Impl::Leave() {
  const std::vector<VoterStatus> members = replica_->Status().voters_;
  const bool replaceable =
      std::any_of(members.begin(), members.end(),
                  [](const VoterStatus& member) { return member.learner_; });
  if (!replaceable) {
    stopped_ = true;
    return;
  }
  const Time now = MonotonicNow();
  leave_until_ = now + kLeaveLimit;
  next_announce_ = now;
}

void GraphControl::Impl::FinishLeaving(const GraphReply& reply) {
  if (reply.outcome_ != GraphOutcome::kOk) return;
  const auto& members = reply.control_addresses_;
  const bool member =
      std::find(members.begin(), members.end(), own_address_) != members.end();
  if (!member) stopped_ = true;
}

GraphControl::GraphControl(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

// The relay gets the ends of the calls that are under way.
GraphControl::~GraphControl() { impl_->rpc_->Stop(); }

leaf::result<std::unique_ptr<GraphControl>> GraphControl::Create(
    const GraphSettings& settings, IoThreads& threads, SendCommand send,
    Metrics& metrics) {
  auto impl =
      std::make_unique<Impl>(settings, threads, std::move(send), metrics);
  Impl* raw = impl.get();
  impl->may_found_ = MayFound(settings);
  // The first seed tries first, and the others only if it does not succeed.
  const std::vector<std::string> seeds = SeedAddresses(settings);
  const auto place =
      std::find(seeds.begin(), seeds.end(), raw->own_address_) - seeds.begin();
  impl->next_founding_ = MonotonicNow() + kFoundingInterval * place;

  BOOST_LEAF_ASSIGN(
      impl->rpc_,
      leaf::try_handle_some(
          [&] {
            return RpcNode::Create(
                raw->settings_.internal_listen_,
                [raw](RpcKind kind, std::string body, RpcResponder respond) {
                  raw->Receive(kind, std::move(body), std::move(respond));
                });
          },
          [&](RpcError) -> leaf::result<std::unique_ptr<RpcNode>> {
            return leaf::new_error(
                ControlError{"cannot listen on " + raw->own_address_});
          }));
  BOOST_LEAF_ASSIGN(
      impl->replica_,
      leaf::try_handle_some(
          [&] {
            return MakeReplica(
                raw->MakeReplicaOptions(), &raw->service_,
                [raw](const std::string& address, const std::string& message) {
                  raw->peers_.Send(address, message);
                },
                [&threads](std::function<void()> task) {
                  threads.Post(0, std::move(task));
                },
                MonotonicNow());
          },
          [](const ReplicaError& error)
              -> leaf::result<std::unique_ptr<Replica>> {
            return leaf::new_error(ControlError{error.message_});
          }));
  impl->service_.SetReplica(impl->replica_.get());
  impl->relay_ = std::make_unique<GraphRelay>(
      *impl->rpc_, threads, seeds, SharedMemory(settings),
      [raw](const GraphCall& call, const GraphReplyCallback& done) {
        raw->HandleLocal(call, done);
      });
  return std::unique_ptr<GraphControl>(new GraphControl(std::move(impl)));
}

void GraphControl::Start() {
  impl_->threads_.Post(0, [impl = impl_.get()] {
    impl->running_ = true;
    impl->ScheduleTick();
  });
}

GraphRelay& GraphControl::relay() { return *impl_->relay_; }

void GraphControl::SetSeeds(const GraphSettings& settings) {
  impl_->threads_.Post(0, [impl = impl_.get(), settings] {
    impl->relay_->SetSeeds(SeedAddresses(settings));
  });
}

void GraphControl::Stop(Duration limit) {
  impl_->threads_.Post(0, [impl = impl_.get()] {
    if (!impl->replica_->Status().is_leader_) return impl->Leave();
    impl->replica_->TransferLeadership(
        [impl](bool ok, const std::string& reason) {
          LogEvent("hand_over", {{"ok", ok}, {"reason", reason}});
          impl->Leave();
        });
  });
  const Time end = MonotonicNow() + limit;
  while (!impl_->stopped_ && MonotonicNow() < end) {
    std::this_thread::sleep_for(kStopPoll);
  }
}

}  // namespace flamingohollow
