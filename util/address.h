// "HOST:PORT" addresses by IP number.

#ifndef UTIL_ADDRESS_H_
#define UTIL_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace flamingohollow {

// Nothing when `address` is not "IP:PORT" ("[IPV6]:PORT" for version 6).
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpAddress(
    std::string_view address);

}  // namespace flamingohollow

#endif  // UTIL_ADDRESS_H_
