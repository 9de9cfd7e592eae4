// Parses "IP:PORT".

#include "util/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace flamingohollow {
namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return port;
}

bool IsNumericIp(const std::string& ip, int family) {
  unsigned char bytes[sizeof(in6_addr)];
  return inet_pton(family, ip.c_str(), bytes) == 1;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port.has_value()) return std::nullopt;
  std::string ip(text.substr(0, colon));
  int family = AF_INET;
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    family = AF_INET6;
  }
  if (!IsNumericIp(ip, family)) return std::nullopt;
  return Address{std::move(ip), *port};
}

}  // namespace flamingohollow
