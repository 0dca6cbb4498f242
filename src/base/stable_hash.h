// Hashes that are equal at every router, on every server and in every build. Never change what they give:
// routers of two versions that serve side by side would send a key to two places.
#ifndef BRASSWOOD_BASE_STABLE_HASH_H_
#define BRASSWOOD_BASE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace beechledge {

// A stable hash: equal at every balancer, on every server (FNV-1a, then a finisher).
inline std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// Random or hashed bits as a number in [0, 1).
inline double Unit(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }
inline std::uint64_t StableHash(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return Mix(h);
}
inline std::uint64_t PairHash(std::uint64_t key, std::uint64_t server) {
  return Mix(key ^ (server * 0x9e3779b97f4a7c15ULL));
}

}  // namespace beechledge

#endif  // BRASSWOOD_BASE_STABLE_HASH_H_
