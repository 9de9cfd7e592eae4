// Parses addresses without any name service.

#include "util/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>

namespace flamingohollow {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> ParseTcpAddress(
    std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = address.substr(0, colon);
  const std::string_view port_text = address.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(std::string(host), error);
  if (error) return std::nullopt;
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [stop, failed] = std::from_chars(port_text.data(), end, port);
  if (failed != std::errc() || stop != end) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace flamingohollow
