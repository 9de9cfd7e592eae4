// Tests that decoders of foreign bytes survive damaged ones: they return, and
// allocate no more than the bytes can hold.

#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "flamingohollow/graph_messages.h"
#include "flamingohollow/graph_records.h"
#include "flamingohollow/graph_state.h"
#include "flamingohollow/peer_codec.h"
#include "flamingohollow/testing/graph_fixture.h"
#include "util/pack.h"

namespace flamingohollow::testing {
namespace {

// Counts how many were made.
struct Counted {
  static inline int made = 0;

  Counted() { ++made; }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(byte_);
  }
  std::uint8_t byte_ = 0;
};

TEST_CASE("a list longer than the bytes that are left is not allocated") {
  constexpr std::uint32_t kTooMany = 1'000'000;
  Counted::made = 0;
  CHECK_FALSE(Unpack<std::vector<Counted>>(Pack(kTooMany) + "abc").has_value());
  CHECK(Counted::made <= 3);
  CHECK(
      Unpack<std::vector<Counted>>(Pack(std::uint32_t{3}) + "abc").has_value());
}

// Changes, removes or repeats a few bytes.
std::string Damage(std::string bytes, std::mt19937& random) {
  const int changes = 1 + static_cast<int>(random() % 4);
  for (int i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random() % bytes.size();
    switch (random() % 4) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes[at] = static_cast<char>(0xff);
        break;
      case 2:
        bytes.erase(at, 1 + random() % 8);
        break;
      default:
        bytes.insert(at, bytes.substr(at, 1 + random() % 8));
    }
  }
  return bytes;
}

struct Decoder {
  std::string valid_;
  std::function<bool(const std::string&)> decode_;
};

std::vector<Decoder> Decoders() {
  const SubmitRecord submit = MakeSubmit(
      1, {MakeStep(4, 1, Duration(500)), MakeGang(2, 8, Duration(800), true)},
      {});
  GraphCall call;
  call.kind_ = GraphCallKind::kSubmit;
  call.spec_ = submit.spec_;
  GraphState state;
  ApplyRecord(state, GraphRecord(submit));
  ApplyRecord(state, WorkerRecord{{MakeReport("w", "r")}, {}});
  Message message{.group_ = GroupId(1),
                  .from_ = VoterId(1),
                  .to_ = VoterId(2),
                  .term_ = Term(1),
                  .from_address_ = "a:1",
                  .to_address_ = "b:1",
                  .body_ = {}};
  AppendRequest append;
  append.entries_.push_back({.index_ = LogIndex(1),
                             .term_ = Term(1),
                             .command_ = "command",
                             .membership_ = {}});
  message.body_ = append;
  return {
      {Pack(call),
       [](const std::string& b) { return Unpack<GraphCall>(b).has_value(); }},
      {Pack(GraphReply()),
       [](const std::string& b) { return Unpack<GraphReply>(b).has_value(); }},
      {Pack(GraphRecord(submit)),
       [](const std::string& b) { return Unpack<GraphRecord>(b).has_value(); }},
      {EncodeState(state),
       [](const std::string& b) { return DecodeState(b).has_value(); }},
      {EncodeMessage(message),
       [](const std::string& b) { return DecodeMessage(b).has_value(); }}};
}

TEST_CASE("decoders return whatever the bytes are") {
  constexpr int kRounds = 4000;
  std::mt19937 random(1);
  for (const Decoder& decoder : Decoders()) {
    REQUIRE(decoder.decode_(decoder.valid_));
    int refused = 0;
    for (int i = 0; i < kRounds; ++i) {
      if (!decoder.decode_(Damage(decoder.valid_, random))) ++refused;
    }
    CHECK(refused > 0);
  }
}

}  // namespace
}  // namespace flamingohollow::testing
