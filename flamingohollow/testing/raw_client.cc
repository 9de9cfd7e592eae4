// Blocking reads and writes on Asio.

#include "flamingohollow/testing/raw_client.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace flamingohollow {

namespace asio = boost::asio;

namespace {

constexpr auto kReadTimeout = std::chrono::seconds(20);
constexpr const char* kTimedOut = "(timed out)";

}  // namespace

struct RawClient::Impl {
  asio::io_context loop_;
  asio::ip::tcp::socket socket_{loop_};
  std::string received_;

  // False if the connection ended or kReadTimeout passed.
  bool ReadSome() {
    std::array<char, 4096> buffer{};
    std::size_t received = 0;
    socket_.async_read_some(
        asio::buffer(buffer),
        [&](boost::system::error_code error, std::size_t bytes) {
          if (!error) received = bytes;
        });
    loop_.restart();
    loop_.run_for(kReadTimeout);
    if (!loop_.stopped()) {
      // The handler above must not outlive this call.
      boost::system::error_code ignored;
      socket_.close(ignored);
      loop_.run();
      received_ += kTimedOut;
    }
    received_.append(buffer.data(), received);
    return received > 0;
  }
};

RawClient::RawClient(std::uint16_t port) : impl_(std::make_unique<Impl>()) {
  impl_->socket_.connect({asio::ip::make_address("127.0.0.1"), port});
}

RawClient::~RawClient() = default;

void RawClient::Send(const std::string& bytes) {
  boost::system::error_code ignored;
  asio::write(impl_->socket_, asio::buffer(bytes), ignored);
}

bool RawClient::ReadUntil(const std::string& text) {
  while (!Contains(impl_->received_, text)) {
    if (!impl_->ReadSome()) return false;
  }
  return true;
}

std::string RawClient::ReadAll() {
  ReadUntil("\x01never sent\x01");
  return impl_->received_;
}

void RawClient::DiscardReceived() { impl_->received_.clear(); }

std::string RawRequest(const std::string& method, const std::string& target,
                       const std::string& headers, const std::string& body) {
  return method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace flamingohollow
