// Tests of the links between voters.

#include "flamingohollow/peer_links.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace flamingohollow {
namespace {

struct Call {
  std::string address_;
  std::string body_;
  std::function<void(const std::string&)> done_;
};

// One voter's links, with what they called and took.
struct Node {
  explicit Node(const std::string& address)
      : links_(
            address,
            [this](const std::string& to, std::string body,
                   std::function<void(const std::string&)> done) {
              calls_.push_back({to, std::move(body), std::move(done)});
            },
            [this](const std::string& message) {
              taken_.push_back(message);
              if (on_message_) on_message_(message);
            }) {}

  std::vector<Call> calls_;
  std::vector<std::string> taken_;
  std::function<void(const std::string&)> on_message_;
  PeerLinks links_;
};

TEST_CASE("a reply goes back as the answer, anything else as a call") {
  Node a("a:1");
  Node b("b:1");
  b.on_message_ = [&](const std::string&) {
    b.links_.Send("a:1", "reply");
    b.links_.Send("c:1", "news");
  };
  a.links_.Send("b:1", "hello");
  REQUIRE(a.calls_.size() == 1);
  const std::string answer = b.links_.Receive(a.calls_[0].body_);
  CHECK(b.taken_ == std::vector<std::string>{"hello"});
  REQUIRE(b.calls_.size() == 1);
  CHECK(b.calls_[0].address_ == "c:1");

  // What is said on taking an answer is not an answer any more.
  a.on_message_ = [&](const std::string&) { a.links_.Send("b:1", "thanks"); };
  a.calls_[0].done_(answer);
  CHECK(a.taken_ == std::vector<std::string>{"reply"});
  REQUIRE(a.calls_.size() == 2);
  b.links_.Send("a:1", "later");
  CHECK(b.calls_.size() == 2);
}

TEST_CASE("an answer that would grow too large overflows into calls") {
  Node a("a:1");
  Node b("b:1");
  const std::string large(kMaxPeerAnswer / 2, 'x');
  b.on_message_ = [&](const std::string&) {
    for (int i = 0; i < 3; ++i) b.links_.Send("a:1", large);
  };
  a.links_.Send("b:1", "hello");
  a.calls_[0].done_(b.links_.Receive(a.calls_[0].body_));
  CHECK(a.taken_.size() == 1);
  CHECK(b.calls_.size() == 2);
}

TEST_CASE("foreign bytes are not taken") {
  Node a("a:1");
  CHECK(a.links_.Receive("").empty());
  CHECK(a.links_.Receive("junk and more junk").empty());
  CHECK(a.taken_.empty());
  std::string body;
  AppendText(body, "one");
  AppendText(body, std::string("\0two", 4));
  CHECK(SplitTexts(body) ==
        std::vector<std::string>{"one", std::string("\0two", 4)});
  body.pop_back();
  CHECK(SplitTexts(body) == std::vector<std::string>{"one"});
}

}  // namespace
}  // namespace flamingohollow
