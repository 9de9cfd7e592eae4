// Frames messages between voters and routes replies into answers.

#include "flamingohollow/peer_links.h"

#include <cstdint>
#include <utility>

namespace flamingohollow {
namespace {

constexpr std::size_t kLengthBytes = 4;

}  // namespace

void AppendText(std::string& body, std::string_view text) {
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    body += static_cast<char>((text.size() >> (8 * i)) & 0xFF);
  }
  body += text;
}

std::vector<std::string> SplitTexts(std::string_view body) {
  std::vector<std::string> texts;
  while (body.size() >= kLengthBytes) {
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      const auto byte = static_cast<unsigned char>(body[i]);
      length |= static_cast<std::uint32_t>(byte) << (8 * i);
    }
    body.remove_prefix(kLengthBytes);
    if (length > body.size()) break;
    texts.emplace_back(body.substr(0, length));
    body.remove_prefix(length);
  }
  return texts;
}

PeerLinks::PeerLinks(std::string own_address, CallPeer call, TakeMessage take)
    : own_address_(std::move(own_address)),
      call_(std::move(call)),
      take_(std::move(take)) {}

void PeerLinks::Send(const std::string& address, const std::string& message) {
  const bool fits = answer_.size() + message.size() < kMaxPeerAnswer;
  if (!answering_.empty() && address == answering_ && fits) {
    AppendText(answer_, message);
    return;
  }
  std::string body;
  AppendText(body, own_address_);
  AppendText(body, message);
  call_(address, std::move(body),
        [this](const std::string& answer) { TakeAnswer(answer); });
}

std::string PeerLinks::Receive(std::string_view body) {
  std::vector<std::string> texts = SplitTexts(body);
  if (texts.size() != 2) return "";
  answering_ = std::move(texts[0]);
  take_(std::move(texts[1]));
  answering_.clear();
  return std::exchange(answer_, "");
}

void PeerLinks::TakeAnswer(std::string_view answer) {
  for (std::string& message : SplitTexts(answer)) take_(std::move(message));
}

}  // namespace flamingohollow
