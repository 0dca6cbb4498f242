// Hashes with the same results in every router, on every machine and in every build. Their results must
// never change: routers of two versions that run side by side would send one key to two different servers.
#ifndef BRASSWOOD_BASE_STABLE_HASH_H_
#define BRASSWOOD_BASE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace beechledge {

// Mixes the bits of `x` (the finalizer of SplitMix64).
inline std::uint64_t MixBits(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// Maps random or hashed bits to a number in [0, 1).
inline double ToUnitInterval(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }
// The hash of a text: FNV-1a, then MixBits.
inline std::uint64_t StableHash(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return MixBits(h);
}
// The hash of a key and a server, by which rendezvous hashing ranks the servers for the key.
inline std::uint64_t PairHash(std::uint64_t key, std::uint64_t server) {
  return MixBits(key ^ (server * 0x9e3779b97f4a7c15ULL));
}

}  // namespace beechledge

#endif  // BRASSWOOD_BASE_STABLE_HASH_H_
