// Who is asking: tokens from the settings, kept by keyed hash only.
//
// The hash is XXH3 with 128 bits under a seed that is drawn at start, so the
// time that a comparison takes tells nothing that a caller could use. It is
// no cryptographic hash; tokens must be long and random.

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
  // By the token's hash.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Identity> by_hash_;
};

Identities MakeIdentities(const std::vector<LoadedToken>& tokens,
                          std::uint64_t seed);

// Reads an Authorization header, "Bearer TOKEN". Nothing when there is no such
// token.
std::optional<Identity> FindIdentity(const Identities& identities,
                                     std::string_view authorization);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_IDENTITY_H_
