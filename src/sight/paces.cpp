#include "sight/paces.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beechledge {
namespace {

using std::chrono::milliseconds;

constexpr double kLean = 25;      // looks that the group's pace counts for beside a server's own
constexpr double kLeanFleet = 6;  // and the fleet's beside a group's
constexpr Duration kStep = milliseconds(500);
constexpr double kMove = 0.1;   // of the logarithm of a weight, at one step: that share of its keys moves
constexpr double kWorth = 0.2;  // a difference less than this is left: chance, and keys moved for nothing
// A server's weight falls with so high a power of its time. Servers of one core and of four, at 0.7 of what
// they can do, are in the ratio of two in their answers' times: a power of one would leave the small ones
// full.
constexpr double kGain = 4;
constexpr double kMostKept = 1000;  // looks that are taken up again at most
constexpr double kMostSize = 64;  // a stated size counts for at most so many times the mean, or its inverse

}  // namespace

void Paces::Pace::Add(Time now, double log_time) {
  looks.Add(now, kTau, 1);
  sum.Add(now, kTau, log_time);
}

double Paces::Pace::Mean(Time now, double lean_on, double lean) const {
  const double n = looks.Read(now, kTau);
  return (sum.Read(now, kTau) + lean * lean_on) / (n + lean);
}

// Guards against a list that names ever new kinds: past the bound they share one group.
std::size_t Paces::GroupOf(int kind, int hall) {
  const auto it = groups_.find({kind, hall});
  if (it != groups_.end()) return it->second;
  const std::size_t number = std::min(all_.size(), kMostGroups - 1);
  if (number == all_.size()) {
    all_.emplace_back();
    groups_.emplace(std::pair(kind, hall), number);
  }
  return number;
}

// Sizes are comparable with each other only: what counts is each one's logarithm against their mean.
double Paces::Stated(const Server& s) const {
  if (!s.stated || sizes_ == 0) return 0;
  const double most = std::log(kMostSize);
  return std::clamp(s.log_size - log_sizes_ / sizes_, -most, most);
}
void Paces::State(Server& s, double size) {
  if (!std::isfinite(size) || size <= 0) return;
  s.stated = true;
  s.log_size = std::log(size);
  log_sizes_ += s.log_size;
  ++sizes_;
}
void Paces::Unstate(Server& s) {
  if (!std::exchange(s.stated, false)) return;
  log_sizes_ -= s.log_size;
  if (--sizes_ == 0) log_sizes_ = 0;
}

void Paces::Place(ServerId id, int kind, int hall, double size) {
  if (id >= servers_.size()) servers_.resize(id + 1);
  Server& s = servers_[id];
  Unstate(s);
  s = {};
  s.placed = true;
  s.group = GroupOf(kind, hall);
  State(s, size);
  // It begins where its like stand: a small server's successor is small, too.
  s.log_weight = std::clamp(Stated(s) + all_[s.group].learnt, std::log(kLeast), std::log(kMost));
  s.weight = std::exp(s.log_weight);
}

void Paces::Resize(ServerId id, double size) {
  if (id >= servers_.size()) return;
  Server& s = servers_[id];
  s.placed = true;
  Unstate(s);
  State(s, size);
}

void Paces::Remove(ServerId id) {
  if (id >= servers_.size()) return;
  Unstate(servers_[id]);
  servers_[id].placed = false;
}

void Paces::Answered(ServerId id, Time now, Duration took, bool cold) {
  if (id >= servers_.size() || !servers_[id].placed) return;
  const double log_time = std::log(std::max(1e-4, Seconds(took)));
  servers_[id].pace.Add(now, log_time);
  if (cold) return cold_.Add(now, log_time);
  all_[servers_[id].group].pace.Add(now, log_time);
  fleet_.Add(now, log_time);
}

void Paces::Missed(ServerId id, Time now, Duration took, bool cold) {
  if (id >= servers_.size() || !servers_[id].placed || fleet_.looks.Read(now, kTau) < 1) return;
  const double log_time = std::max(Fleet(now), std::log(std::max(1e-4, Seconds(took))));
  servers_[id].pace.Add(now, log_time);
  if (cold) cold_.Add(now, log_time);
}

double Paces::Fleet(Time now) const { return fleet_.sum.Read(now, kTau) / fleet_.looks.Read(now, kTau); }

double Paces::ColdSlower(Time now) const {
  return fleet_.looks.Read(now, kTau) < 1 ? 0 : cold_.Mean(now, Fleet(now), 1) - Fleet(now);
}

double Paces::Looks(ServerId id, Time now) const {
  return id < servers_.size() ? servers_[id].pace.looks.Read(now, kTau) : 0;
}

double Paces::Slower(ServerId id, Time now) const {
  if (id >= servers_.size() || !servers_[id].placed) return 0;
  if (fleet_.looks.Read(now, kTau) < 1) return 0;
  const double fleet = Fleet(now);
  const double group = all_[servers_[id].group].pace.Mean(now, fleet, kLeanFleet);
  return servers_[id].pace.Mean(now, group, kLean) - fleet;
}

Kept::Server Paces::Keep(ServerId id, Time now) const {
  Kept::Server kept;
  kept.id = id;
  if (id >= servers_.size() || !servers_[id].placed) return kept;
  const Server& s = servers_[id];
  kept.looks = s.pace.looks.Read(now, kTau);
  kept.log_time = kept.looks > 0 ? s.pace.sum.Read(now, kTau) / kept.looks : 0;
  kept.log_weight = s.log_weight;
  return kept;
}

void Paces::Recall(const Kept::Server& kept, Time now, double faith) {
  const bool sound =
      std::isfinite(kept.looks) && std::isfinite(kept.log_time) && std::isfinite(kept.log_weight);
  if (kept.id >= servers_.size() || !servers_[kept.id].placed || !sound) return;
  Server& s = servers_[kept.id];
  const double looks = faith * std::clamp(kept.looks, 0.0, kMostKept);
  const double log_time = std::clamp(kept.log_time, std::log(1e-4), std::log(60.0));
  for (Pace* pace : {&s.pace, &all_[s.group].pace, &fleet_}) {
    pace->looks.Add(now, kTau, looks);
    pace->sum.Add(now, kTau, looks * log_time);
  }
  s.log_weight += faith * (std::clamp(kept.log_weight, std::log(kLeast), std::log(kMost)) - s.log_weight);
  s.weight = std::exp(s.log_weight);
}

double Paces::Wanted(ServerId id, Time now) const {
  const Server& s = servers_[id];
  return std::clamp(Stated(s) - kGain * Slower(id, now), std::log(kLeast), std::log(kMost));
}

bool Paces::Step(Time now) {
  if (now - stepped_ < kStep) return false;
  stepped_ = now;
  bool changed = false;
  std::vector<std::pair<double, int>> learnt(all_.size());
  for (ServerId id = 0; id < servers_.size(); ++id) {
    Server& s = servers_[id];
    if (!s.placed) continue;
    const double stated = Stated(s);
    const double off = Wanted(id, now) - s.log_weight;
    if (std::abs(off) >= kWorth) {
      s.log_weight += std::clamp(off, -kMove, kMove);
      s.weight = std::exp(s.log_weight);
      changed = true;
    }
    learnt[s.group].first += s.log_weight - stated;
    ++learnt[s.group].second;
  }
  for (std::size_t g = 0; g < all_.size(); ++g) {
    if (learnt[g].second > 0) all_[g].learnt = learnt[g].first / learnt[g].second;
  }
  return changed;
}

}  // namespace beechledge
