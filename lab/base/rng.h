// The laboratory's random numbers. All of them derive from one seed. Each use has its own stream, so draws
// in one part do not shift those of another, and two builds see the same arrivals.
#ifndef BRASSWOOD_LAB_BASE_RNG_H_
#define BRASSWOOD_LAB_BASE_RNG_H_

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

namespace brasswood::lab {

using Rng = pcg32;

// The purpose of a stream. A new purpose gets a new number; numbers are never reused.
enum class Stream : std::uint64_t {
  kArrivals = 1,
  kContents,
  kWork,
  kFaults,
  kClients,
  kNames,
  kBootstrap
};

inline Rng MakeRng(std::uint64_t seed, Stream stream) {
  return Rng(seed, static_cast<std::uint64_t>(stream));
}

// Uniform in [0, 1).
inline double Unit(Rng& rng) { return rng() * (1.0 / 4294967296.0); }

inline bool Chance(Rng& rng, double share) { return share > 0 && Unit(rng) < share; }

// Mixes the bits of a number so that consecutive inputs give unrelated outputs (the splitmix64 finaliser,
// Steele et al. 2014).
inline std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

// A lognormal sample with the given mean and coefficient of variation.
inline double LogNormal(Rng& rng, double mean, double cv) {
  if (cv <= 0) return mean;
  const double s2 = std::log1p(cv * cv);
  return std::lognormal_distribution<double>(std::log(mean) - s2 / 2, std::sqrt(s2))(rng);
}

// Draws ranks, counted from 0, with weight 1 / (rank + 1 + offset)^exponent.
class Zipf {
 public:
  Zipf(std::size_t ranks, double exponent, double offset) {
    std::vector<double> weights(ranks);
    for (std::size_t i = 0; i < ranks; ++i) {
      weights[i] = std::pow(static_cast<double>(i) + 1 + offset, -exponent);
    }
    draw_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }
  std::size_t operator()(Rng& rng) { return draw_(rng); }

 private:
  std::discrete_distribution<std::size_t> draw_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_BASE_RNG_H_
