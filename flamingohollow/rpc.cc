// The RPC thread: one Cap'n Proto event loop that serves and calls.
//
// Other threads reach the loop through a Mailbox. All else in this file runs
// on the loop's thread. Bounds: a link carries at most kMaxCallsPerLink calls
// at once; each call ends by its time-out; a link that has answered nothing
// since a timed-out call was sent is closed, which frees what it had queued.

#include "flamingohollow/rpc.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstddef>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "schema/rpc.capnp.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMaxCallsPerLink = 1024;

capnp::Data::Reader AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToString(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

// Work posted to the loop from other threads.
class Mailbox {
 public:
  // False once the loop has ended; the work is then dropped.
  bool Post(std::function<void()> work) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_) return false;
    work_.push_back(std::move(work));
    Wake();
    return true;
  }

  // For the loop: a promise that is fulfilled when there is work.
  kj::Promise<void> WhenPosted() {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    const std::lock_guard<std::mutex> lock(mutex_);
    wake_ = kj::mv(pair.fulfiller);
    if (!work_.empty()) Wake();
    return kj::mv(pair.promise);
  }

  std::vector<std::function<void()>> Take() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(work_, {});
  }

  // Ends the mailbox and returns what was left in it.
  std::vector<std::function<void()>> Close() {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    wake_ = nullptr;
    return std::exchange(work_, {});
  }

 private:
  void Wake() {
    if (wake_.get() == nullptr) return;
    wake_->fulfill();
    wake_ = nullptr;
  }

  std::mutex mutex_;
  std::vector<std::function<void()>> work_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
  bool closed_ = false;
};

using MailboxPtr = std::shared_ptr<Mailbox>;

// The answers that the server still owes, by number. Loop thread only.
struct OwedAnswers {
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<std::string>>> owed_;

  void Answer(std::uint64_t id, std::string body) {
    const auto it = owed_.find(id);
    if (it == owed_.end()) return;
    it->second->fulfill(std::move(body));
    owed_.erase(it);
  }

  void Abandon(std::uint64_t id) {
    const auto it = owed_.find(id);
    if (it == owed_.end()) return;
    it->second->reject(KJ_EXCEPTION(FAILED, "the handler gave no answer"));
    owed_.erase(it);
  }
};

// Shared by the copies of one responder: answers once, and abandons the call
// when the last copy goes without an answer.
class ResponderState {
 public:
  ResponderState(MailboxPtr mailbox, std::shared_ptr<OwedAnswers> answers,
                 std::uint64_t id)
      : mailbox_(std::move(mailbox)), answers_(std::move(answers)), id_(id) {}
  ResponderState(const ResponderState&) = delete;
  ResponderState& operator=(const ResponderState&) = delete;
  ~ResponderState() {
    mailbox_->Post([answers = answers_, id = id_] { answers->Abandon(id); });
  }

  void Answer(std::string body) {
    mailbox_->Post(
        [answers = answers_, id = id_, body = std::move(body)]() mutable {
          answers->Answer(id, std::move(body));
        });
  }

 private:
  const MailboxPtr mailbox_;
  // Touched only by work that runs on the loop's thread.
  const std::shared_ptr<OwedAnswers> answers_;
  const std::uint64_t id_;
};

class NodeServer final : public wire::Node::Server {
 public:
  NodeServer(RpcHandler& handler, MailboxPtr mailbox,
             std::shared_ptr<OwedAnswers> answers)
      : handler_(handler),
        mailbox_(std::move(mailbox)),
        answers_(std::move(answers)) {}

  kj::Promise<void> call(CallContext context) override {
    const auto params = context.getParams();
    KJ_REQUIRE(params.getBody().size() <= kMaxRpcBody, "body too large");
    auto pair = kj::newPromiseAndFulfiller<std::string>();
    const std::uint64_t id = answers_->next_id_++;
    answers_->owed_.emplace(id, kj::mv(pair.fulfiller));
    auto state = std::make_shared<ResponderState>(mailbox_, answers_, id);
    handler_(static_cast<RpcKind>(params.getKind()), ToString(params.getBody()),
             [state](const std::string& body) { state->Answer(body); });
    context.releaseParams();
    return pair.promise.then([context](const std::string& body) mutable {
      context.getResults().setBody(AsData(body));
    });
  }

 private:
  RpcHandler& handler_;
  const MailboxPtr mailbox_;
  const std::shared_ptr<OwedAnswers> answers_;
};

// A connection to one address, made on the first call.
struct Link {
  // Fulfilled once connected.
  kj::ForkedPromise<void> ready_ = nullptr;
  kj::Own<kj::AsyncIoStream> stream_;
  std::optional<capnp::TwoPartyClient> client_;
  std::optional<wire::Node::Client> node_;
  std::size_t calls_ = 0;
  // Number of answers that came over this link.
  std::uint64_t answers_ = 0;
};

using LinkPtr = std::shared_ptr<Link>;

struct PendingCall {
  std::string address_;
  RpcKind kind_;
  std::string body_;
  Duration timeout_;
  RpcNode::CallCallback done_;
};

class Loop final : public kj::TaskSet::ErrorHandler {
 public:
  Loop(RpcHandler handler, MailboxPtr mailbox)
      : handler_(std::move(handler)), mailbox_(std::move(mailbox)) {}

  // Runs until Stop. Reports the bound port, or nothing on a bad address.
  void Run(const std::string& listen_address,
           std::promise<std::optional<std::uint16_t>>& bound) {
    io_.emplace(kj::setupAsyncIo());
    tasks_.emplace(*this);
    const auto port = Listen(listen_address);
    bound.set_value(port);
    while (port && !stopped_) {
      mailbox_->WhenPosted().wait(io_->waitScope);
      for (auto& work : mailbox_->Take()) work();
    }
    Shutdown();
  }

  void Stop() { stopped_ = true; }

  void StartCall(PendingCall call) {
    if (stopped_ || call.body_.size() > kMaxRpcBody) {
      call.done_(false, "");
      return;
    }
    const LinkPtr link = GetLink(call.address_);
    if (link->calls_ >= kMaxCallsPerLink) {
      call.done_(false, "");
      return;
    }
    const std::uint64_t id = next_call_++;
    const auto it = calls_.emplace(id, std::move(call)).first;
    ++link->calls_;
    const std::uint64_t answers_before = link->answers_;
    auto answer = link->ready_.addBranch().then(
        [this, link, id] { return Send(*link, id); });
    const auto limit = it->second.timeout_.ms() * kj::MILLISECONDS;
    auto bounded =
        io_->provider->getTimer().timeoutAfter(limit, kj::mv(answer));
    tasks_->add(bounded.then(
        [this, link, id](std::string body) {
          ++link->answers_;
          --link->calls_;
          Finish(id, true, std::move(body));
        },
        [this, link, id, answers_before](kj::Exception&&) {
          --link->calls_;
          if (link->answers_ == answers_before) DropLink(id, link);
          Finish(id, false, "");
        }));
  }

 private:
  std::optional<std::uint16_t> Listen(const std::string& address) {
    if (address.empty()) return 0;
    try {
      auto parsed = io_->provider->getNetwork().parseAddress(address).wait(
          io_->waitScope);
      receiver_ = parsed->listen();
    } catch (const kj::Exception&) {
      return std::nullopt;
    }
    server_.emplace(kj::heap<NodeServer>(handler_, mailbox_, answers_));
    tasks_->add(server_->listen(*receiver_));
    return receiver_->getPort();
  }

  LinkPtr GetLink(const std::string& address) {
    LinkPtr& link = links_[address];
    if (link != nullptr) return link;
    link = std::make_shared<Link>();
    link->ready_ = Connect(address, link).fork();
    return link;
  }

  // The promise belongs to the link, so the raw pointer outlives it.
  kj::Promise<void> Connect(const std::string& address, const LinkPtr& link) {
    Link* raw = link.get();
    return io_->provider->getNetwork()
        .parseAddress(address)
        .then([](kj::Own<kj::NetworkAddress> parsed) {
          auto connected = parsed->connect();
          return connected.attach(kj::mv(parsed));
        })
        .then([raw](kj::Own<kj::AsyncIoStream> stream) {
          raw->stream_ = kj::mv(stream);
          raw->client_.emplace(*raw->stream_);
          raw->node_.emplace(raw->client_->bootstrap().castAs<wire::Node>());
        });
  }

  kj::Promise<std::string> Send(Link& link, std::uint64_t id) {
    PendingCall& call = calls_.at(id);
    auto request = link.node_->callRequest();
    request.setKind(static_cast<std::uint16_t>(call.kind_));
    request.setBody(AsData(call.body_));
    call.body_ = {};
    return request.send().then(
        [](capnp::Response<wire::Node::CallResults> response) {
          return ToString(response.getBody());
        });
  }

  // Forgets the link, so that the next call makes a new one. It is destroyed
  // later, outside the callbacks of its own promises.
  void DropLink(std::uint64_t call, const LinkPtr& link) {
    const auto it = links_.find(calls_.at(call).address_);
    if (it == links_.end() || it->second != link) return;
    tasks_->add(kj::evalLater([doomed = it->second] {}));
    links_.erase(it);
  }

  void Finish(std::uint64_t id, bool ok, std::string body) {
    const auto it = calls_.find(id);
    const RpcNode::CallCallback done = std::move(it->second.done_);
    calls_.erase(it);
    done(ok, std::move(body));
  }

  // Ends every call as failed: each callback runs exactly once.
  void Shutdown() {
    stopped_ = true;
    for (auto& work : mailbox_->Close()) work();
    tasks_.reset();
    for (auto& [id, call] : std::exchange(calls_, {})) call.done_(false, "");
    links_.clear();
    answers_->owed_.clear();
    server_.reset();
    receiver_ = nullptr;
    io_.reset();
  }

  // A failed accept or connection of the server; its peer calls again.
  void taskFailed(kj::Exception&&) override {}

  RpcHandler handler_;
  const MailboxPtr mailbox_;
  const std::shared_ptr<OwedAnswers> answers_ = std::make_shared<OwedAnswers>();
  bool stopped_ = false;
  std::optional<kj::AsyncIoContext> io_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  std::optional<capnp::TwoPartyServer> server_;
  std::map<std::string, LinkPtr> links_;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, PendingCall> calls_;
  // Destroyed first: its promises refer to all of the above.
  std::optional<kj::TaskSet> tasks_;
};

}  // namespace

struct RpcNode::Impl {
  explicit Impl(RpcHandler handler)
      : mailbox_(std::make_shared<Mailbox>()),
        loop_(std::move(handler), mailbox_) {}

  const MailboxPtr mailbox_;
  Loop loop_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

leaf::result<std::unique_ptr<RpcNode>> RpcNode::Create(
    const std::string& listen_address, RpcHandler handler) {
  auto impl = std::make_unique<Impl>(std::move(handler));
  std::promise<std::optional<std::uint16_t>> bound;
  auto port = bound.get_future();
  impl->thread_ = std::thread([raw = impl.get(), listen_address, &bound] {
    raw->loop_.Run(listen_address, bound);
  });
  const std::optional<std::uint16_t> bound_port = port.get();
  if (!bound_port) {
    impl->thread_.join();
    return leaf::new_error(RpcError::kBadAddress);
  }
  impl->port_ = *bound_port;
  return std::unique_ptr<RpcNode>(new RpcNode(std::move(impl)));
}

RpcNode::RpcNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

RpcNode::~RpcNode() { Stop(); }

void RpcNode::Stop() {
  if (!impl_->thread_.joinable()) return;
  impl_->mailbox_->Post([raw = impl_.get()] { raw->loop_.Stop(); });
  impl_->thread_.join();
}

void RpcNode::Call(const std::string& address, RpcKind kind, std::string body,
                   Duration timeout, const CallCallback& done) {
  PendingCall call{address, kind, std::move(body), timeout, done};
  const bool posted = impl_->mailbox_->Post(
      [raw = impl_.get(), call = std::move(call)]() mutable {
        raw->loop_.StartCall(std::move(call));
      });
  if (!posted) done(false, "");
}

std::uint16_t RpcNode::port() const { return impl_->port_; }

}  // namespace flamingohollow
