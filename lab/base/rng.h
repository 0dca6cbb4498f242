// The laboratory's random numbers. One seed decides everything: each use draws from a stream of its own, so
// that what one part draws never shifts what another does, and two builds see the same arrivals.
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

// What a stream is for. A new use takes a new number; numbers are never reused.
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

// A number from 0 up to, not including, 1.
inline double Unit(Rng& rng) { return rng() * (1.0 / 4294967296.0); }

inline bool Chance(Rng& rng, double share) { return share > 0 && Unit(rng) < share; }

// Scrambles a number so that neighbours share nothing (the finaliser of splitmix64, Steele et al. 2014).
inline std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

// A lognormal draw of that mean and coefficient of variation.
inline double LogNormal(Rng& rng, double mean, double cv) {
  if (cv <= 0) return mean;
  const double s2 = std::log1p(cv * cv);
  return std::lognormal_distribution<double>(std::log(mean) - s2 / 2, std::sqrt(s2))(rng);
}

// Ranks from 0, drawn with weight 1 / (rank + 1 + offset)^exponent.
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
