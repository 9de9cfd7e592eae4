// Authenticates callers by the tokens in the settings, of which only keyed
// hashes are stored.
//
// The hash is 128-bit XXH3 with a random seed drawn at startup, so the duration
// of a comparison gives a caller no usable information. It is not a
// cryptographic hash; tokens must be long and random.

#ifndef FLAMINGOHOLLOW_IDENTITY_H_
#define FLAMINGOHOLLOW_IDENTITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "flamingohollow/settings.h"

namespace flamingohollow {

struct Identity {
  TokenRole role_ = TokenRole::kCustomer;
  // The customer's id for kCustomer.
  std::string name_;

  friend bool operator==(const Identity&, const Identity&) = default;
};

struct Identities {
  std::uint64_t seed_ = 0;
  // Keyed by the token's hash.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Identity> by_hash_;
};

Identities MakeIdentities(const std::vector<LoadedToken>& tokens,
                          std::uint64_t seed);

// Finds the identity for an Authorization header, "Bearer TOKEN". Returns
// nullopt if the header is malformed or the token is unknown.
std::optional<Identity> FindIdentity(const Identities& identities,
                                     std::string_view authorization);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_IDENTITY_H_
