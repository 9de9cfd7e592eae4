// Sends calls and exchanges to the leader, with bounded retries.

#include "flamingohollow/leader_link.h"

#include <absl/random/random.h>

#include <algorithm>
#include <boost/leaf/result.hpp>
#include <random>
#include <set>
#include <utility>

#include "flamingohollow/codec.h"

namespace flamingohollow {
namespace {

constexpr std::uint16_t kOutcomeUnknownStatus = 504;

}  // namespace

struct LeaderLinkState : std::enable_shared_from_this<LeaderLinkState> {
  struct PendingCall {
    CallRequest request_;
    std::string body_;
    CallProgress progress_;
    LeaderLink::CallDone done_;
    // The leader's last "outcome unknown" reply; returned if no attempt gets a
    // definite answer.
    std::optional<CallReply> last_reply_;
  };
  using PendingPtr = std::shared_ptr<PendingCall>;

  LeaderLinkState(std::vector<std::string> controls, const CallOptions& options,
                  RpcNode& rpc, PostTask post, std::uint64_t seed)
      : options_(options),
        rpc_(rpc),
        post_(std::move(post)),
        random_(seed),
        finder_(MakeLeaderFinder(std::move(controls), seed, MonotonicNow())) {}

  const CallOptions options_;
  RpcNode& rpc_;
  const PostTask post_;
  std::mt19937_64 random_;
  LeaderFinder finder_;
  LinkCounts counts_;
  std::set<PendingPtr> open_;
  // See EndBy.
  std::optional<Time> end_;

  // Calls the current address; `done` runs on the control thread.
  void Send(
      RpcKind kind, const std::string& body, Duration timeout,
      std::function<void(bool ok, const std::string& from, std::string answer)>
          done) {
    const std::string from = finder_.address_;
    rpc_.Call(from, kind, body, timeout,
              [state = shared_from_this(), from, done = std::move(done)](
                  bool ok, std::string answer) mutable {
                state->post_(Duration(0), [ok, from, done = std::move(done),
                                           answer = std::move(answer)] {
                  done(ok, from, answer);
                });
              });
  }

  void StartAttempt(const PendingPtr& call) {
    const Duration left = call->progress_.deadline_ - MonotonicNow();
    const Duration timeout =
        std::clamp(left, Duration(1), options_.attempt_timeout_);
    Send(RpcKind::kCall, call->body_, timeout,
         [this, self = shared_from_this(), call](
             bool ok, const std::string& from, const std::string& answer) {
           OnAttemptAnswer(call, ok, from, answer);
         });
  }

  void OnAttemptAnswer(const PendingPtr& call, bool ok, const std::string& from,
                       const std::string& answer) {
    if (!open_.contains(call)) return;
    boost::leaf::result<CallReply> reply =
        ok ? DecodeCallReply(answer)
           : boost::leaf::result<CallReply>(boost::leaf::new_error());
    if (!reply) {
      OnNoAnswer(finder_, from);
      return RetryOrFinish(call, AttemptOutcome::kUnknown);
    }
    if (!reply->is_leader_) {
      OnNotLeader(finder_, from, reply->leader_address_);
      return RetryOrFinish(call, AttemptOutcome::kNotExecuted);
    }
    OnLeaderAnswer(finder_, from, MonotonicNow());
    if (reply->status_ == kOutcomeUnknownStatus &&
        IsIdempotent(call->request_.kind_)) {
      call->last_reply_ = *reply;
      return RetryOrFinish(call, AttemptOutcome::kUnknown);
    }
    Finish(call, {std::move(*reply), CallFailure::kNotExecuted});
  }

  void RetryOrFinish(const PendingPtr& call, AttemptOutcome outcome) {
    const CallDecision decision =
        AfterAttempt(call->progress_, options_, call->request_.kind_, outcome,
                     MonotonicNow());
    if (decision == CallDecision::kRetry) {
      ++counts_.retries_;
      const Duration pause = RetryPause(call->progress_, options_, random_());
      post_(pause, [state = shared_from_this(), call] {
        if (state->open_.contains(call)) state->StartAttempt(call);
      });
      return;
    }
    CallResult result;
    if (decision == CallDecision::kGiveUpUnknown) {
      ++counts_.unknown_;
      result.failure_ = CallFailure::kUnknown;
      result.reply_ = std::move(call->last_reply_);
    } else {
      ++counts_.not_executed_;
    }
    Finish(call, std::move(result));
  }

  void Finish(const PendingPtr& call, CallResult result) {
    open_.erase(call);
    call->done_(std::move(result));
  }

  // Ends all calls; their attempts may still be executed.
  void GiveUpAll() {
    for (const PendingPtr& call : std::set<PendingPtr>(open_)) {
      call->progress_.deadline_ = MonotonicNow();
      RetryOrFinish(call, AttemptOutcome::kUnknown);
    }
  }

  void OnSyncAnswer(bool ok, const std::string& from, const std::string& answer,
                    const LeaderLink::SyncDone& done) {
    boost::leaf::result<ControlSync> sync =
        ok ? DecodeControlSync(answer)
           : boost::leaf::result<ControlSync>(boost::leaf::new_error());
    if (!sync) {
      ++counts_.syncs_lost_;
      OnNoAnswer(finder_, from);
      done(std::nullopt);
      return;
    }
    if (sync->is_leader_) {
      OnLeaderAnswer(finder_, from, MonotonicNow());
    } else {
      OnNotLeader(finder_, from, sync->leader_address_);
    }
    done(std::move(*sync));
  }
};

LeaderLink::LeaderLink(std::vector<std::string> controls,
                       const CallOptions& options, RpcNode& rpc, PostTask post,
                       std::uint64_t seed)
    : state_(std::make_shared<LeaderLinkState>(std::move(controls), options,
                                               rpc, std::move(post), seed)) {}

LeaderLink::~LeaderLink() = default;

void LeaderLink::Call(CallRequest request, CallDone done) {
  ++state_->counts_.calls_;
  auto call = std::make_shared<LeaderLinkState::PendingCall>();
  call->body_ = Encode(request);
  call->request_ = std::move(request);
  const Time deadline =
      CallDeadline(state_->finder_, state_->options_, MonotonicNow());
  call->progress_.deadline_ =
      std::min(deadline, state_->end_.value_or(deadline));
  call->done_ = std::move(done);
  state_->open_.insert(call);
  state_->StartAttempt(call);
}

void LeaderLink::Sync(const EntrySync& sync, SyncDone done) {
  ++state_->counts_.syncs_;
  state_->Send(
      RpcKind::kSync, Encode(sync), kSyncTimeout,
      [state = state_, done = std::move(done)](bool ok, const std::string& from,
                                               const std::string& answer) {
        state->OnSyncAnswer(ok, from, answer, done);
      });
}

void LeaderLink::EndBy(Time end) {
  state_->end_ = end;
  state_->post_(end - MonotonicNow(), [state = state_] { state->GiveUpAll(); });
}

bool LeaderLink::found() const { return state_->finder_.found_; }

const std::string& LeaderLink::address() const {
  return state_->finder_.address_;
}

const LinkCounts& LeaderLink::counts() const { return state_->counts_; }

}  // namespace flamingohollow
