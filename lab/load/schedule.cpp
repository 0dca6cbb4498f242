#include "lab/load/schedule.h"

#include <cmath>

#include "lab/base/plan.h"

namespace brasswood::lab {
namespace {

template <class Plans>
std::discrete_distribution<int> ByShare(const Plans& plans) {
  std::vector<double> shares;
  for (const auto& p : plans) shares.push_back(p.share);
  return {shares.begin(), shares.end()};
}

}  // namespace

Schedule::Schedule(const Scenario& s)
    : scenario_(s),
      arrival_rng_(MakeRng(s.seed, Stream::kArrivals)),
      content_rng_(MakeRng(s.seed, Stream::kContents)),
      class_(ByShare(s.classes)),
      tenant_(ByShare(s.tenants)),
      hall_(s.load.hall_share.begin(), s.load.hall_share.end()),
      zipf_(static_cast<std::size_t>(s.load.keys), s.load.zipf, s.load.zipf_offset),
      clients_(s.halls.size()),
      max_rate_(s.load.rate) {
  for (const FaultPlan& f : s.faults) {
    if (f.kind == FaultKind::kBurst) max_rate_ *= std::max(1.0, f.size);
  }
  // Clients are distributed over the zones by share, with at least one in each.
  for (int c = 0; c < std::max<int>(s.load.clients, static_cast<int>(s.halls.size())); ++c) {
    const auto hall = static_cast<std::size_t>(c) < s.halls.size()
                          ? static_cast<std::size_t>(c)
                          : static_cast<std::size_t>(hall_(content_rng_));
    clients_[hall].push_back(static_cast<std::uint32_t>(c));
  }
}

double Schedule::Rate(Duration at) const {
  double rate = scenario_.load.rate;
  for (const FaultPlan& f : scenario_.faults) {
    if (f.kind == FaultKind::kBurst && Active(f, at)) rate *= f.size;
  }
  return rate;
}

std::optional<Arrival> Schedule::Next() {
  if (scenario_.load.steady) {
    at_ += Duration(static_cast<std::int64_t>(1e9 / std::max(Rate(at_), 1e-3)));
  } else {
    // Thinning (Lewis and Shedler 1979): draw at the maximum rate, accept with probability rate / maximum.
    do {
      at_ += Duration(
          static_cast<std::int64_t>(std::exponential_distribution<double>(max_rate_)(arrival_rng_) * 1e9));
    } while (at_ < scenario_.length && Unit(arrival_rng_) >= Rate(at_) / max_rate_);
  }
  if (at_ >= scenario_.length) return std::nullopt;
  Arrival a;
  a.at = at_;
  a.request_class = static_cast<std::uint8_t>(class_(content_rng_));
  a.tenant = static_cast<std::uint8_t>(tenant_(content_rng_));
  a.hall = static_cast<std::uint8_t>(hall_(content_rng_));
  const auto& clients = clients_[a.hall];
  a.client = clients[content_rng_(static_cast<std::uint32_t>(clients.size()))];
  const double seconds = static_cast<double>(at_.count()) / 1e9;
  a.key =
      static_cast<long long>(zipf_(content_rng_)) + static_cast<long long>(scenario_.load.drift * seconds);
  for (const FaultPlan& f : scenario_.faults) {
    if (f.kind != FaultKind::kHotKey || !Active(f, at_) || !Chance(content_rng_, f.share)) continue;
    // Keys from the middle of the ranking, which were hardly requested before.
    a.key = scenario_.load.keys / 2 + content_rng_(static_cast<std::uint32_t>(std::max(1.0, f.size)));
  }
  a.id = Mix(scenario_.seed << 32 ^ ++serial_);
  return a;
}

}  // namespace brasswood::lab
