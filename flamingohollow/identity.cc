// Hashes tokens and looks them up.

#include "flamingohollow/identity.h"

#include <xxhash.h>

namespace flamingohollow {
namespace {

constexpr std::string_view kScheme = "Bearer ";

std::pair<std::uint64_t, std::uint64_t> HashToken(std::string_view token,
                                                  std::uint64_t seed) {
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(token.data(), token.size(), seed);
  return {hash.high64, hash.low64};
}

}  // namespace

Identities MakeIdentities(const std::vector<LoadedToken>& tokens,
                          std::uint64_t seed) {
  Identities identities;
  identities.seed_ = seed;
  for (const LoadedToken& token : tokens) {
    identities.by_hash_[HashToken(token.token_, seed)] =
        Identity{token.role_, token.name_};
  }
  return identities;
}

std::optional<Identity> FindIdentity(const Identities& identities,
                                     std::string_view authorization) {
  if (!authorization.starts_with(kScheme)) return std::nullopt;
  const std::string_view token = authorization.substr(kScheme.size());
  const auto found =
      identities.by_hash_.find(HashToken(token, identities.seed_));
  if (found == identities.by_hash_.end()) return std::nullopt;
  return found->second;
}

}  // namespace flamingohollow
