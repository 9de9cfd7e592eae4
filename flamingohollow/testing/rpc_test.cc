// Tests of the RPC thread: answers, time-outs, and links that fail.

#include "flamingohollow/rpc.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace flamingohollow {
namespace {

constexpr Duration kAmpleTime(20000);

std::unique_ptr<RpcNode> MakeNode(const std::string& listen,
                                  RpcHandler handler) {
  auto node = RpcNode::Create(listen, std::move(handler));
  REQUIRE(node);
  return std::move(*node);
}

std::unique_ptr<RpcNode> MakeClient() {
  return MakeNode("", [](RpcKind, const std::string&, const RpcResponder&) {});
}

std::string AddressOf(const RpcNode& node) {
  return fmt::format("127.0.0.1:{}", node.port());
}

struct Answer {
  bool ok_ = false;
  std::string body_;
};

Answer CallAndWait(RpcNode& client, const std::string& address,
                   std::string body, Duration timeout) {
  auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  client.Call(address, RpcKind::kCall, std::move(body), timeout,
              [promise](bool ok, std::string answer) {
                promise->set_value({ok, std::move(answer)});
              });
  return future.get();
}

TEST_CASE("a call is answered, also from another thread") {
  std::vector<std::thread> threads;
  const auto server = MakeNode(
      "127.0.0.1:0", [&](RpcKind kind, std::string body, RpcResponder respond) {
        CHECK(kind == RpcKind::kCall);
        threads.emplace_back(
            [body = std::move(body), respond = std::move(respond)] {
              respond(body + "!");
            });
      });
  const auto client = MakeClient();
  for (int i = 0; i < 20; ++i) {
    const auto answer =
        CallAndWait(*client, AddressOf(*server), "hello", kAmpleTime);
    CHECK(answer.ok_);
    CHECK(answer.body_ == "hello!");
  }
  for (auto& thread : threads) thread.join();
}

TEST_CASE("a call without an answer ends by its time-out; others go on") {
  std::mutex mutex;
  std::vector<RpcResponder> kept;
  const auto server = MakeNode(
      "127.0.0.1:0",
      [&](RpcKind, const std::string& body, const RpcResponder& respond) {
        if (body == "answer") return respond("ok");
        const std::lock_guard<std::mutex> lock(mutex);
        kept.push_back(respond);
      });
  const auto client = MakeClient();
  CHECK_FALSE(
      CallAndWait(*client, AddressOf(*server), "keep", Duration(50)).ok_);
  CHECK(CallAndWait(*client, AddressOf(*server), "answer", kAmpleTime).ok_);
}

TEST_CASE("a handler that drops its responder fails the call at once") {
  const auto server = MakeNode(
      "127.0.0.1:0", [](RpcKind, const std::string&, const RpcResponder&) {});
  const auto client = MakeClient();
  CHECK_FALSE(CallAndWait(*client, AddressOf(*server), "drop", kAmpleTime).ok_);
}

TEST_CASE("a refused connection fails the call; a later server is found") {
  const auto echo = [](RpcKind, std::string body, const RpcResponder& respond) {
    respond(std::move(body));
  };
  auto server = MakeNode("127.0.0.1:0", echo);
  const std::string address = AddressOf(*server);
  const auto client = MakeClient();
  CHECK(CallAndWait(*client, address, "a", kAmpleTime).ok_);
  server.reset();
  CHECK_FALSE(CallAndWait(*client, address, "b", kAmpleTime).ok_);
  CHECK_FALSE(CallAndWait(*client, address, "c", kAmpleTime).ok_);
  server = MakeNode(address, echo);
  CHECK(CallAndWait(*client, address, "d", kAmpleTime).ok_);
}

TEST_CASE("every callback runs once when the node goes") {
  std::mutex mutex;
  std::vector<RpcResponder> kept;
  std::atomic<int> finished = 0;
  const auto server = MakeNode("127.0.0.1:0", [&](RpcKind, const std::string&,
                                                  const RpcResponder& respond) {
    const std::lock_guard<std::mutex> lock(mutex);
    kept.push_back(respond);
  });
  auto client = MakeClient();
  constexpr int kCalls = 100;
  for (int i = 0; i < kCalls; ++i) {
    client->Call(AddressOf(*server), RpcKind::kCall, "x", kAmpleTime,
                 [&](bool ok, const std::string&) {
                   CHECK_FALSE(ok);
                   ++finished;
                 });
  }
  client.reset();
  CHECK(finished == kCalls);
}

TEST_CASE("a bad address is refused") {
  CHECK_FALSE(RpcNode::Create("127.0.0.1:notaport", {}));
}

TEST_CASE("a call that is repeated as its node stops does not abort the node") {
  std::mutex mutex;
  std::vector<RpcResponder> kept;
  std::promise<void> arrived;
  const auto server = MakeNode("127.0.0.1:0", [&](RpcKind, const std::string&,
                                                  const RpcResponder& respond) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (kept.empty()) arrived.set_value();
    kept.push_back(respond);
  });
  const auto client = MakeClient();
  std::atomic<int> failed{0};
  const auto count = [&failed](bool ok, const std::string&) {
    failed += ok ? 0 : 1;
  };
  const auto repeat = [&](bool ok, const std::string& body) {
    count(ok, body);
    client->Call(AddressOf(*server), RpcKind::kCall, "again", kAmpleTime,
                 count);
  };
  client->Call(AddressOf(*server), RpcKind::kCall, "first", kAmpleTime, repeat);
  arrived.get_future().wait();
  client->Stop();
  CHECK(failed == 2);
}

TEST_CASE("calls to a node that is being stopped fail, each once") {
  const auto node = MakeClient();
  std::atomic<int> made{0};
  std::atomic<int> failed{0};
  std::atomic<bool> ends{false};
  std::thread caller([&] {
    while (!ends) {
      ++made;
      node->Call("127.0.0.1:1", RpcKind::kGraph, "", Duration(1000),
                 [&](bool ok, const std::string&) { failed += ok ? 0 : 1; });
    }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  node->Stop();
  node->Stop();
  ends = true;
  caller.join();
  CHECK(made == failed);
}

}  // namespace
}  // namespace flamingohollow
