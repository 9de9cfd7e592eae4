// Tests of the HTTP server and client over loopback.

#include "flamingohollow/http_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "flamingohollow/http_client.h"
#include "flamingohollow/http_read.h"
#include "flamingohollow/testing/raw_client.h"

namespace flamingohollow {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);

// A server whose handler answers with the body, or holds the answer when the
// target is "/held" until Release.
struct Fixture {
  explicit Fixture(HttpServerOptions options = {}) {
    options.address_ = "127.0.0.1:0";
    auto created = HttpServer::Create(
        options, threads_,
        [this](const HttpRequest& request, const HttpResponder& respond) {
          Handle(request, respond);
        });
    REQUIRE(created);
    server_ = std::move(*created);
  }

  ~Fixture() { threads_.Stop(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  void Handle(const HttpRequest& request, const HttpResponder& respond) {
    if (request.target_ == "/noted") {
      const std::lock_guard lock(mutex_);
      noted_.push_back({MonotonicNow() - request.arrived_, request.abandoned_});
    }
    if (request.target_ != "/held") {
      respond({200, "text/plain", request.body_, Duration(0)});
      return;
    }
    const std::lock_guard lock(mutex_);
    held_.push_back(respond);
    ++held_count_;
  }

  void Release() {
    const std::lock_guard lock(mutex_);
    for (const auto& respond : std::exchange(held_, {})) {
      respond({200, "text/plain", "late", Duration(0)});
    }
  }

  // Keeps all loops from running for `span`, as if the process was suspended.
  void Suspend(Duration span) {
    for (std::size_t loop = 0; loop < threads_.size(); ++loop) {
      threads_.Post(loop, [span] {
        std::this_thread::sleep_for(std::chrono::milliseconds(span.ms()));
      });
    }
  }

  struct Noted {
    Duration age_;
    bool abandoned_ = false;
  };
  std::vector<Noted> TakeNoted() {
    const std::lock_guard lock(mutex_);
    return std::exchange(noted_, {});
  }

  // Outlives the responders, which own timers of its loops.
  IoThreads threads_{2};
  std::mutex mutex_;
  std::vector<HttpResponder> held_;
  std::vector<Noted> noted_;
  std::atomic<int> held_count_{0};
  std::unique_ptr<HttpServer> server_;
};

// Waits until `done`; false after kWaitTimeout.
bool Await(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::yield();
  }
  return true;
}

std::string Post(const std::string& target, const std::string& body) {
  return RawRequest("POST", target, "", body);
}

TEST_CASE("requests on one connection are answered in order") {
  Fixture fixture;
  RawClient client(fixture.server_->port());
  // Two at once, as a pipelining client sends them.
  client.Send(Post("/a", "first") + Post("/b", "second"));
  REQUIRE(client.ReadUntil("second"));
  client.Send(Post("/c", "third"));
  REQUIRE(client.ReadUntil("third"));
  const HttpServerCounts counts = fixture.server_->Counts();
  CHECK(counts.requests_ == 3);
  CHECK(counts.open_connections_ == 1);
}

TEST_CASE("a body over the limit is answered with 413, also when sent whole") {
  HttpServerOptions options;
  options.max_body_bytes_ = 2000;
  Fixture fixture(options);
  RawClient client(fixture.server_->port());
  client.Send(Post("/", std::string(500000, 'x')));
  CHECK(Contains(client.ReadAll(), "HTTP/1.1 413"));
  CHECK(fixture.server_->Counts().refused_bodies_ == 1);
}

TEST_CASE("bodies over the memory limit get 503 with Retry-After") {
  HttpServerOptions options;
  options.max_total_body_bytes_ = 100;
  Fixture fixture(options);
  RawClient client(fixture.server_->port());
  client.Send(Post("/", std::string(200, 'x')));
  const std::string answer = client.ReadAll();
  CHECK(Contains(answer, "HTTP/1.1 503"));
  CHECK(Contains(answer, "Retry-After: 1"));
}

constexpr char kChunked[] =
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Repeat(const std::string& text, int times) {
  std::string repeated;
  for (int i = 0; i < times; ++i) repeated += text;
  return repeated;
}

// Guards against a client that makes the process run out of memory.
TEST_CASE("no part of a request is without a limit") {
  Fixture fixture;
  const std::string fields = Repeat("x: yyyyyyyy\r\n", 4000);
  const std::string word(40000, 'x');
  for (const std::string& endless :
       {kChunked + ("0\r\n" + fields), kChunked + ("0\r\nx: " + word),
        kChunked + ("1;" + word), kChunked + std::string(40000, '0'),
        "POST / HTTP/1.1\r\n" + fields, "POST /" + word}) {
    CAPTURE(endless.substr(0, 80));
    RawClient client(fixture.server_->port());
    client.Send(endless);
    CHECK(Contains(client.ReadAll(), "HTTP/1.1 431"));
  }
}

TEST_CASE("a request within all limits is served") {
  Fixture fixture;
  RawClient client(fixture.server_->port());
  const std::string word(15000, 'h');
  const std::string body(1024 * 1024, 'b');
  client.Send("POST /" + word + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" +
              "\r\n100000;e=" + word + "\r\n" + body + "\r\n0\r\nt: " + word +
              "\r\n\r\n");
  CHECK(client.ReadUntil("\r\n\r\n" + body));
  CHECK(fixture.server_->Counts().open_connections_ == 1);
}

// Guards against a body that keeps the loop busy by the number of its chunks.
TEST_CASE("what is held is counted once for each read") {
  namespace asio = boost::asio;
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  constexpr int kChunks = 20000;
  std::thread sender([port = acceptor.local_endpoint().port()] {
    RawClient client(port);
    client.Send(kChunked + Repeat("1\r\nx\r\n", kChunks) + "0\r\n\r\n");
    client.ReadAll();
  });
  boost::beast::tcp_stream stream(acceptor.accept());
  boost::beast::flat_buffer buffer(kMaxHeaderBytes);
  boost::beast::http::request_parser<boost::beast::http::string_body> parser;
  int counted = 0;
  asio::co_spawn(loop,
                 ReadMessage(stream, buffer, parser,
                             [&counted](const auto&, const auto&) {
                               ++counted;
                               return true;
                             }),
                 asio::detached);
  loop.run();
  stream.close();
  sender.join();
  CHECK(parser.is_done());
  CHECK(parser.get().body().size() == kChunks);
  CHECK(counted < kChunks / 4);
}

TEST_CASE("headers over the memory limit get 503 with Retry-After") {
  HttpServerOptions options;
  options.max_total_header_bytes_ = 100000;
  Fixture fixture(options);
  RawClient client(fixture.server_->port());
  client.Send("POST / HTTP/1.1\r\n" + Repeat("a:\r\n", 3000) +
              "Content-Length: 1\r\n\r\n");
  const std::string answer = client.ReadAll();
  CHECK(Contains(answer, "HTTP/1.1 503"));
  CHECK(Contains(answer, "Retry-After: 1"));
  // The memory is free again, and small requests don't need it.
  RawClient other(fixture.server_->port());
  other.Send(Post("/", "small"));
  CHECK(other.ReadUntil("\r\n\r\nsmall"));
}

TEST_CASE("connections over the limit get 503 until one closes") {
  HttpServerOptions options;
  options.max_connections_ = 2;
  Fixture fixture(options);
  const std::uint16_t port = fixture.server_->port();
  auto first = std::make_unique<RawClient>(port);
  RawClient second(port);
  first->Send(Post("/", "one"));
  REQUIRE(first->ReadUntil("one"));
  second.Send(Post("/", "two"));
  REQUIRE(second.ReadUntil("two"));

  RawClient third(port);
  third.Send(Post("/", "three"));
  const std::string answer = third.ReadAll();
  CHECK(Contains(answer, "HTTP/1.1 503"));
  CHECK(Contains(answer, "Retry-After"));
  CHECK(Contains(answer, "\"retry_after_ms\":1000"));
  CHECK(fixture.server_->Counts().refused_connections_ == 1);

  first.reset();
  bool served = false;
  for (int i = 0; i < 1000 && !served; ++i) {
    RawClient again(port);
    again.Send(Post("/", "again"));
    served = again.ReadUntil("\r\n\r\nagain");
  }
  CHECK(served);
}

// Guards against connections that send nothing and keep out all callers.
TEST_CASE("a connection that has long been idle makes room for others") {
  HttpServerOptions options;
  options.max_connections_ = 2;
  Fixture fixture(options);
  const std::uint16_t port = fixture.server_->port();
  RawClient held(port);
  held.Send(Post("/held", ""));
  REQUIRE(Await([&] { return fixture.held_count_ == 1; }));
  RawClient idle(port);
  bool served = false;
  CHECK(Await([&] {
    RawClient caller(port);
    caller.Send(Post("/", "ordinary"));
    served = caller.ReadUntil("\r\n\r\nordinary");
    return served;
  }));
  CHECK(idle.ReadAll().empty());
  fixture.Release();
  CHECK(Contains(held.ReadAll(), "late"));
}

// Guards against a request that waits in its socket and is taken for a new one.
TEST_CASE("a request that waited for a suspended process shows its age") {
  constexpr Duration kSuspended(1200);
  Fixture fixture;
  const std::uint16_t port = fixture.server_->port();
  RawClient caller(port);
  caller.Send(Post("/noted", "first"));
  REQUIRE(caller.ReadUntil("first"));
  const auto prompt = fixture.TakeNoted();
  REQUIRE_EQ(prompt.size(), 1);
  CHECK_LE(prompt[0].age_, Duration(300));
  CHECK_FALSE(prompt[0].abandoned_);

  fixture.Suspend(kSuspended);
  caller.Send(Post("/noted", "second"));
  RawClient other(port);
  other.Send(Post("/noted", "third"));
  { RawClient(port).Send(Post("/noted", "fourth")); }
  REQUIRE(caller.ReadUntil("second"));
  REQUIRE(other.ReadUntil("third"));
  std::vector<Fixture::Noted> late;
  REQUIRE(Await([&] {
    for (const auto& noted : fixture.TakeNoted()) late.push_back(noted);
    return late.size() == 3;
  }));
  int abandoned = 0;
  for (const auto& noted : late) {
    CHECK_GE(noted.age_, Duration(1000));
    abandoned += noted.abandoned_ ? 1 : 0;
  }
  CHECK_EQ(abandoned, 1);
}

TEST_CASE("malformed HTTP gets 400, a stalled request is closed") {
  HttpServerOptions options;
  options.request_timeout_ = Duration(50);
  Fixture fixture(options);
  RawClient garbage(fixture.server_->port());
  garbage.Send("what is this\r\n\r\n");
  CHECK(Contains(garbage.ReadAll(), "HTTP/1.1 400"));
  RawClient stalled(fixture.server_->port());
  stalled.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
  CHECK(stalled.ReadAll().empty());
  CHECK(Await([&] { return fixture.server_->Counts().timed_out_ == 1; }));
}

TEST_CASE("a drain completes the requests in flight") {
  Fixture fixture;
  const std::uint16_t port = fixture.server_->port();
  RawClient held(port);
  held.Send(Post("/held", ""));
  RawClient idle(port);
  idle.Send(Post("/", "x"));
  REQUIRE(idle.ReadUntil("x"));
  idle.DiscardReceived();
  REQUIRE(Await([&] { return fixture.held_count_ == 1; }));

  fixture.server_->Drain(Duration(100));
  // During the grace period, new connections get "Connection: close".
  RawClient late(port);
  late.Send(Post("/", "late"));
  const std::string answer = late.ReadAll();
  CHECK(Contains(answer, "HTTP/1.1 200"));
  CHECK(Contains(answer, "Connection: close"));
  // The idle connection ends without a response; the held request is pending.
  CHECK(idle.ReadAll().empty());
  CHECK_FALSE(fixture.server_->IsDrained());
  fixture.Release();
  CHECK(Contains(held.ReadAll(), "HTTP/1.1 200"));
  CHECK(Await([&] { return fixture.server_->IsDrained(); }));
}

// Guards against a stop that drops requests which were read before it.
TEST_CASE("a drain answers the requests that were sent behind another") {
  Fixture fixture;
  RawClient client(fixture.server_->port());
  client.Send(Post("/held", "") + Post("/", "second") + Post("/", "third"));
  REQUIRE(Await([&] { return fixture.held_count_ == 1; }));
  fixture.server_->Drain(Duration(0));
  fixture.Release();
  const std::string answers = client.ReadAll();
  CHECK(Contains(answers, "late"));
  CHECK(Contains(answers, "second"));
  CHECK(Contains(answers, "third"));
  CHECK(Await([&] { return fixture.server_->IsDrained(); }));
}

// Guards against a client that keeps a draining connection by sending on.
TEST_CASE("a drain reads nothing behind the requests that it has read") {
  Fixture fixture;
  RawClient client(fixture.server_->port());
  constexpr int kBehind = 3000;
  client.Send(Post("/held", "") +
              Repeat(Post("/", std::string(300, 'b')), kBehind));
  REQUIRE(Await([&] { return fixture.held_count_ == 1; }));
  fixture.server_->Drain(Duration(0));
  fixture.Release();
  CHECK(Contains(client.ReadAll(), "late"));
  CHECK(Await([&] { return fixture.server_->IsDrained(); }));
  CHECK(fixture.server_->Counts().requests_ < 100);
}

HttpPost MakePost(std::uint16_t port, const std::string& target,
                  const std::string& body) {
  HttpPost post;
  post.address_ = "127.0.0.1:" + std::to_string(port);
  post.target_ = target;
  post.body_ = body;
  return post;
}

std::future<HttpResult> Send(HttpClient& client, const HttpPost& post) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  client.Post(post, [promise](HttpResult result) {
    promise->set_value(std::move(result));
  });
  return promise->get_future();
}

TEST_CASE("the client respects its connection and queue limits") {
  Fixture fixture;
  IoThreads threads(1);
  HttpClientOptions options;
  options.max_connections_ = 2;
  options.max_queued_ = 1;
  HttpClient client(options, threads, 0);
  const std::uint16_t port = fixture.server_->port();
  std::vector<std::future<HttpResult>> held;
  held.reserve(4);
  for (int i = 0; i < 4; ++i) {
    held.push_back(Send(client, MakePost(port, "/held", "")));
  }
  // Two are in flight, one is queued, the last is refused at once.
  CHECK(held[3].get().error_ == HttpClientError::kOverloaded);
  REQUIRE(Await([&] { return fixture.held_count_ == 2; }));
  CHECK(client.open_connections() == 2);
  fixture.Release();
  CHECK(held[0].get().status_ == 200);
  CHECK(held[1].get().body_ == "late");
  REQUIRE(Await([&] { return fixture.held_count_ == 3; }));
  fixture.Release();
  CHECK(held[2].get().status_ == 200);
  // Connections are reused.
  CHECK(Send(client, MakePost(port, "/", "hi")).get().body_ == "hi");
  CHECK(client.open_connections() == 2);
}

// A fleet of workers must not use up the descriptors that the process needs
// for its log and its callers.
TEST_CASE("the client respects its limit over all addresses") {
  Fixture first;
  Fixture second;
  IoThreads threads(1);
  HttpClientOptions options;
  options.max_total_connections_ = 2;
  HttpClient client(options, threads, 0);
  const std::uint16_t port = first.server_->port();
  const std::uint16_t other = second.server_->port();
  CHECK(Send(client, MakePost(port, "/", "")).get().status_ == 200);
  auto held = Send(client, MakePost(other, "/held", ""));
  REQUIRE(Await([&] { return second.held_count_ == 1; }));
  // The idle connection to the first address is closed for the second one.
  auto also_held = Send(client, MakePost(other, "/held", ""));
  REQUIRE(Await([&] { return second.held_count_ == 2; }));
  CHECK(client.open_connections() == 2);
  CHECK(client.evicted_connections() == 1);
  // All are busy: requests wait, and end in time.
  HttpPost hopeless = MakePost(port, "/", "");
  hopeless.timeout_ = Duration(100);
  CHECK(Send(client, hopeless).get().error_ == HttpClientError::kOverloaded);
  auto waiting = Send(client, MakePost(port, "/", "hi"));
  CHECK(waiting.wait_for(std::chrono::milliseconds(50)) ==
        std::future_status::timeout);
  second.Release();
  CHECK(waiting.get().body_ == "hi");
  CHECK(held.get().status_ == 200);
  CHECK(also_held.get().status_ == 200);
  CHECK(client.open_connections() == 2);
  CHECK(client.delayed_addresses() >= 1);
}

// A command of a process that was suspended may be obsolete.
TEST_CASE("a client request whose time is over is not sent") {
  Fixture fixture;
  IoThreads threads(1);
  HttpClient client({}, threads, 0);
  HttpPost post = MakePost(fixture.server_->port(), "/", "hi");
  REQUIRE(Send(client, post).get().body_ == "hi");
  const std::uint64_t before = fixture.server_->Counts().requests_;
  threads.Post(
      0, [] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });
  post.timeout_ = Duration(50);
  CHECK(Send(client, post).get().error_ == HttpClientError::kOverloaded);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(fixture.server_->Counts().requests_ == before);
}

TEST_CASE("each client request ends in time with the right error") {
  Fixture fixture;
  IoThreads threads(1);
  HttpClient client({}, threads, 0);
  HttpPost post = MakePost(fixture.server_->port(), "/held", "");
  post.timeout_ = Duration(50);
  const HttpResult late = Send(client, post).get();
  CHECK(late.error_ == HttpClientError::kNoAnswer);
  CHECK_FALSE(late.broke_off_);
  post.address_ = "nowhere";
  CHECK(Send(client, post).get().error_ == HttpClientError::kBadAddress);
  // A port on which no server listens any more.
  std::uint16_t closed_port = 0;
  {
    const Fixture gone;
    closed_port = gone.server_->port();
  }
  const HttpResult refused = Send(client, MakePost(closed_port, "/", "")).get();
  CHECK(refused.error_ == HttpClientError::kConnectRefused);
  CHECK_FALSE(refused.broke_off_);
}

// Guards against a peer that makes the process run out of memory.
TEST_CASE("no part of a response is without a limit") {
  boost::asio::io_context loop;
  boost::asio::ip::tcp::acceptor peer(
      loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  IoThreads threads(1);
  HttpClientOptions options;
  options.max_total_response_bytes_ = 1000;
  HttpClient client(options, threads, 0);
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  for (const std::string& endless :
       {head + "\r\n0\r\n" + Repeat("x: yyyyyyyy\r\n", 4000),
        head + Repeat("x: yyyyyyyy\r\n", 4000),
        head + "\r\n1;" + std::string(40000, 'x'),
        head + "\r\n20000\r\n" + std::string(100000, 'x')}) {
    CAPTURE(endless.substr(0, 80));
    HttpPost post = MakePost(peer.local_endpoint().port(), "/", "");
    post.timeout_ = Duration(60000);
    post.new_connection_ = true;
    auto result = Send(client, post);
    boost::asio::ip::tcp::socket socket = peer.accept();
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(endless), ignored);
    const HttpResult refused = result.get();
    CHECK(refused.error_ == HttpClientError::kNoAnswer);
    CHECK_FALSE(refused.broke_off_);
  }
}

// The peer may have been gone long before the request was sent.
TEST_CASE("the end of a reused connection is not told as broken off") {
  IoThreads threads(1);
  HttpClient client({}, threads, 0);
  for (const bool new_connection : {false, true}) {
    CAPTURE(new_connection);
    HttpPost post;
    {
      const Fixture fixture;
      post = MakePost(fixture.server_->port(), "/", "hi");
      REQUIRE(Send(client, post).get().body_ == "hi");
      REQUIRE(client.open_connections() == 1);
    }
    post.new_connection_ = new_connection;
    const HttpResult result = Send(client, post).get();
    CHECK(result.error_ == (new_connection ? HttpClientError::kConnectRefused
                                           : HttpClientError::kNoAnswer));
    CHECK_FALSE(result.broke_off_);
    CHECK(client.open_connections() == 0);
  }
}

}  // namespace
}  // namespace flamingohollow
