// Addresses of processes: "IP:PORT" with a numeric IPv4 or IPv6 address
// ("127.0.0.1:8000", "[::1]:8000").

#ifndef UTIL_ADDRESS_H_
#define UTIL_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingohollow {

struct Address {
  // Without brackets.
  std::string ip_;
  std::uint16_t port_ = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

// Nothing when `text` is not a numeric address and a port of 0 to 65535.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace flamingohollow

#endif  // UTIL_ADDRESS_H_
