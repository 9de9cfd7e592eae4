// Tests of the control server's threads: real RPC over loopback, on a fake
// replica.

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "flamingohollow/codec.h"
#include "flamingohollow/control.h"
#include "flamingohollow/rpc.h"
#include "flamingohollow/testing/fake_replica.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

constexpr std::chrono::seconds kAnswerTimeout(20);

leaf::result<std::unique_ptr<Replica>> MakeFake(const ControlOptions&,
                                                ReplicaOwner& owner,
                                                const SendToPeer&,
                                                const PostToControl&) {
  return std::make_unique<FakeReplica>(&owner);
}

// A server on a thread of its own, and a client that calls it.
class Fixture {
 public:
  Fixture() {
    ControlOptions options;
    options.name_ = NodeName("control-0");
    options.listen_address_ = "127.0.0.1:0";
    server_ = leaf::try_handle_all(
        [&] { return ControlServer::Create(options, &MakeFake); },
        [] { return std::unique_ptr<ControlServer>(); });
    REQUIRE(server_ != nullptr);
    client_ = leaf::try_handle_all([] { return RpcNode::Create("", {}); },
                                   [] { return std::unique_ptr<RpcNode>(); });
    REQUIRE(client_ != nullptr);
    address_ = "127.0.0.1:" + std::to_string(server_->port());
    thread_ = std::thread([this] {
      server_->Run();
      returned_.set_value();
    });
  }

  ~Fixture() {
    server_->Stop();
    thread_.join();
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  std::future<std::string> Send(RpcKind kind, std::string body) {
    auto answer = std::make_shared<std::promise<std::string>>();
    client_->Call(address_, kind, std::move(body), Duration(15000),
                  [answer](bool ok, const std::string& reply) {
                    answer->set_value(ok ? reply : "no answer");
                  });
    return answer->get_future();
  }

  static std::string Get(std::future<std::string> answer) {
    REQUIRE(answer.wait_for(kAnswerTimeout) == std::future_status::ready);
    return answer.get();
  }

  CallReply Call(CallKind kind) {
    CallRequest request;
    request.kind_ = kind;
    const std::string body = Get(Send(RpcKind::kCall, Encode(request)));
    return leaf::try_handle_all([&] { return DecodeCallReply(body); },
                                [] { return CallReply(); });
  }

  static ControlSync ReadSync(const std::string& body) {
    return leaf::try_handle_all([&] { return DecodeControlSync(body); },
                                [] { return ControlSync(); });
  }

  std::unique_ptr<ControlServer> server_;
  std::unique_ptr<RpcNode> client_;
  std::string address_;
  std::promise<void> returned_;
  std::thread thread_;
};

TEST_CASE("calls and exchanges are answered over RPC") {
  Fixture f;
  CHECK_FALSE(f.Call(CallKind::kTableShow).is_leader_);
  CHECK(f.Call(CallKind::kInit).status_ == 200);
  CHECK(f.Call(CallKind::kTableShow).body_ == R"({"version":0,"rows":[]})");
  EntrySync sync;
  sync.entry_ = NodeName("entry-0");
  const auto answer =
      Fixture::ReadSync(Fixture::Get(f.Send(RpcKind::kSync, Encode(sync))));
  CHECK(answer.is_leader_);
  CHECK(answer.lease_ > Duration(0));
}

TEST_CASE("bytes that don't decode get an empty answer") {
  Fixture f;
  CHECK(Fixture::Get(f.Send(RpcKind::kCall, "junk")).empty());
  CHECK(Fixture::Get(f.Send(RpcKind::kSync, "junk")).empty());
  CHECK(Fixture::Get(f.Send(static_cast<RpcKind>(99), "")).empty());
}

TEST_CASE("a graceful stop answers the exchange that it holds") {
  Fixture f;
  f.Call(CallKind::kInit);
  EntrySync sync;
  sync.entry_ = NodeName("entry-0");
  const auto first =
      Fixture::ReadSync(Fixture::Get(f.Send(RpcKind::kSync, Encode(sync))));
  sync.exclusions_version_ = first.exclusions_version_;
  auto held = f.Send(RpcKind::kSync, Encode(sync));
  f.server_->Stop();
  CHECK(Fixture::Get(std::move(held)) != "no answer");
  auto returned = f.returned_.get_future();
  CHECK(returned.wait_for(std::chrono::milliseconds(kStopTimeout.ms())) ==
        std::future_status::ready);
}

TEST_CASE("a bad listen address is an error that names it") {
  ControlOptions options;
  options.listen_address_ = "nowhere:x";
  const std::string error = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(ControlServer::Create(options, &MakeFake));
        return "none";
      },
      [](const ControlError& e) { return e.message_; },
      [] { return std::string("another"); });
  CHECK(error == "cannot listen on nowhere:x");
}

}  // namespace
}  // namespace flamingohollow
