// Announces the entry to the leader periodically; the answers make it ready.

#include "flamingohollow/graph_entry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <utility>

#include "flamingohollow/rpc.h"
#include "util/event_log.h"

namespace flamingohollow {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

// Interval of announcements while a leader that has a catalog answers.
constexpr Duration kAnnounceInterval = Duration(1000);
// Interval of announcements while none does.
constexpr Duration kSearchInterval = Duration(200);
// An entry without an answer for this long is no longer ready. Long enough that
// an election or a lost message does not make it so.
constexpr Duration kReadinessTimeout = Duration(4000);

}  // namespace

struct GraphEntry::Impl {
  Impl(const GraphSettings& settings, IoThreads& threads)
      : settings_(settings), threads_(threads), timer_(threads.Loop(0)) {}

  void Announce();
  void HandleAnswer(const GraphReply& reply);
  void SetReady(bool ready, Time now);

  GraphSettings settings_;
  IoThreads& threads_;
  asio::steady_timer timer_;
  std::unique_ptr<RpcNode> rpc_;
  std::unique_ptr<GraphRelay> relay_;
  Time answered_at_;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
};

void GraphEntry::Impl::Announce() {
  GraphCall call;
  call.kind_ = GraphCallKind::kAnnounce;
  call.node_ = {settings_.name_, ""};
  relay_->Call(std::move(call), kAnnounceInterval, kAnnounceInterval * 2,
               [this](const GraphReply& reply) { HandleAnswer(reply); });
}

void GraphEntry::Impl::HandleAnswer(const GraphReply& reply) {
  const Time now = MonotonicNow();
  const bool serves = reply.outcome_ == GraphOutcome::kOk &&
                      reply.catalog_version_ != CatalogVersion();
  if (serves) answered_at_ = now;
  SetReady(answered_at_ != Time() && now - answered_at_ < kReadinessTimeout,
           now);
  const Duration pause = serves ? kAnnounceInterval : kSearchInterval;
  timer_.expires_after(std::chrono::milliseconds(pause.ms()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Announce();
  });
}

void GraphEntry::Impl::SetReady(bool ready, Time now) {
  ready = ready && !draining_;
  if (ready_.exchange(ready) == ready) return;
  LogEvent(ready ? "ready" : "not_ready",
           {{"leader", relay_->finder().leader_},
            {"unanswered_ms", (now - answered_at_).ms()}});
}

GraphEntry::GraphEntry(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

// The relay gets the ends of the calls that are under way.
GraphEntry::~GraphEntry() { impl_->rpc_->Stop(); }

leaf::result<std::unique_ptr<GraphEntry>> GraphEntry::Create(
    const GraphSettings& settings, IoThreads& threads) {
  auto impl = std::make_unique<Impl>(settings, threads);
  BOOST_LEAF_ASSIGN(
      impl->rpc_,
      leaf::try_handle_some(
          [] {
            return RpcNode::Create(
                "", [](RpcKind, const std::string&,
                       const RpcResponder& respond) { respond(""); });
          },
          [](RpcError) -> leaf::result<std::unique_ptr<RpcNode>> {
            return leaf::new_error(ControlError{"cannot start RPC"});
          }));
  impl->relay_ = std::make_unique<GraphRelay>(*impl->rpc_, threads,
                                              SeedAddresses(settings),
                                              SharedMemory(settings), nullptr);
  return std::unique_ptr<GraphEntry>(new GraphEntry(std::move(impl)));
}

void GraphEntry::Start() {
  impl_->threads_.Post(0, [impl = impl_.get()] { impl->Announce(); });
}

GraphRelay& GraphEntry::relay() { return *impl_->relay_; }

const std::atomic<bool>& GraphEntry::ready() const { return impl_->ready_; }

void GraphEntry::SetSeeds(const GraphSettings& settings) {
  impl_->threads_.Post(0, [impl = impl_.get(), settings] {
    impl->relay_->SetSeeds(SeedAddresses(settings));
  });
}

void GraphEntry::Drain(Time end) {
  impl_->draining_ = true;
  impl_->ready_ = false;
  impl_->threads_.Post(0,
                       [impl = impl_.get(), end] { impl->relay_->EndBy(end); });
}

}  // namespace flamingohollow
