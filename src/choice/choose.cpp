// The LARD choice: three costs for each server that is ready, and the keys' sets of holders.
#include "choice/core.h"

namespace beechledge {

double Balancer::Core::CostBalancing(double load) {
  if (load < kLIdle) return 0;
  return load > kLOverload ? INFINITY : load - kLIdle;
}

double Balancer::Core::CostReplacement(double load, bool mapped) {
  return load < kLIdle || mapped ? 0 : kMissCost;
}

// The key's holder at this server in its present life, if the server is mapped.
const Holder* Balancer::Core::FindHolder(const KeyTable::Entry* entry, ServerId id, const Server& s) {
  if (entry == nullptr) return nullptr;
  const auto h = std::find_if(entry->holders.begin(), entry->holders.end(), [&](const Holder& o) {
    return o.server == id && o.incarnation == s.incarnation;
  });
  return h == entry->holders.end() ? nullptr : &*h;
}

// On large fleets the scan is a sample, as the design leaves open: for a new key the servers of the own
// hall come first, where crossing has a price and servers are met so seldom that their loads, as seen
// from here, settle nothing. Each hall then keeps its own copies, fewer connections serve as many attempts,
// and a key's home is still the same at every balancer of a hall. Where the own hall carries more than
// its part of the traffic, whole keys cross, as many as keep its answers from being slower than the
// other's.
bool Balancer::Core::PrefersOwnZone(std::uint64_t key) const {
  if (settings_.prices.cross_zone <= 0 || SampleRate() >= 1) return false;
  return Unit(Mix(key ^ kOwnZoneSalt)) < own_zone_share_.value();
}

// A key's order of the servers: the shared hash, weighed by what each is to carry, so that each comes
// first for its part of the keys, and a part that changes moves just the keys that differ (weighted
// rendezvous hashing). Least first; with equal parts it is the order of the hash, highest first.
double Balancer::Core::RendezvousRank(std::uint64_t key, const Server& s) {
  return -std::log(Unit(PairHash(key, s.hash)) + 0x1.0p-54) / s.expected_share;
}

// Where the key's order has moved its place away from its holders (a server carries more, or a holder
// less) and they answer more slowly than the first in it, that one counts as mapped: the sum of costs
// then decides between them as between holders. -1: nothing moves. Under modest load keys stay where they
// are. Guards against servers that idle beside full ones for want of keys of their own; and against
// moving while the origin has no room for the fetch that it costs.
int Balancer::Core::RelocationTarget(const Request& r, const KeyTable::Entry* entry, bool sampled) const {
  if (entry == nullptr || entry->holders.empty() || r.write || !MayFetch(entry) ||
      origin_limiter_.NearOverload()) {
    return -1;
  }
  int home = -1, holder = -1;
  double first = 0, held = 0;
  for (ServerId id : up_servers_) {
    const Server& s = servers_[id];
    if (loads_[id] < 0 || r.HasTried(id) || (sampled && s.zone != settings_.zone)) continue;
    const double order = ranks_[id];
    if (FindHolder(entry, id, s) != nullptr && (holder < 0 || order < held)) {
      holder = static_cast<int>(id);
      held = order;
    }
    if (home >= 0 && order >= first) continue;
    home = static_cast<int>(id);
    first = order;
  }
  if (holder < 0 || home == holder || first * (1 + kRelocationGain) >= held) return -1;
  const double slower = latencies_.RelativeLatency(static_cast<ServerId>(holder), now_) -
                        latencies_.RelativeLatency(static_cast<ServerId>(home), now_);
  return slower > kRelocationSlower ? home : -1;
}

// The server of the least summed cost among those ready, ties to the highest hash; -1: none is ready.
// Where every sum is infinite (all overloaded) the order among them is that of the loads.
int Balancer::Core::Choose(const Request& r, bool spare_ejected) {
  KeyTable::Entry* entry = r.keyed ? &key_table_.Touch(r.key, now_) : nullptr;
  loads_.assign(servers_.size(), -1);
  ranks_.resize(servers_.size());
  double sum = 0, parts = 0;
  int ready = 0, warm = 0;
  for (ServerId id : up_servers_) {
    Server& s = servers_[id];
    if (IsOrigin(s)) continue;
    warm += !IsCold(s);
    const double raw = RawLoad(s);
    sum += raw;
    s.expected_share = latencies_.Weight(id) * (IsCold(s) ? std::min(1.0, ColdBudget(s)) : 1);
    parts += s.expected_share;
    ++ready;
    if (!(spare_ejected || Healthy(s)) || !Allowed(r, id) || !HasColdToken(s) || (r.shed && !IsCold(s)))
      continue;
    if (!startup_.MayTry(s.inflight, s.last_answer >= Time(0))) continue;
    loads_[id] = raw;
    ranks_[id] = RendezvousRank(r.key, s);
  }
  if (ready == 0) return -1;
  warm_servers_ = std::max(warm, 1);
  // One request's own mark on the smoothed count is part of the unit, so that one or two cross no
  // threshold.
  const double mark = typical_seconds_ / Seconds(kLoadTau);
  // And a server with one request is not loaded, however idle the others are.
  const double least = 1.0 / settings_.balancers;
  const bool sampled = PrefersOwnZone(r.key);
  const int home = RelocationTarget(r, entry, sampled);
  int best = -1;
  double best_cost = 0, best_load = 0;
  bool holder_busy = false, best_away = false;
  double best_order = 0;
  for (ServerId id : up_servers_) {
    if (loads_[id] < 0) continue;
    const Server& s = servers_[id];
    const double load = EvidenceWeightedLoad(
        s, kMeanLoad * loads_[id] / std::max(sum / parts * s.expected_share + mark, least));
    const bool mapped = FindHolder(entry, id, s) != nullptr || static_cast<int>(id) == home;
    holder_busy |= mapped && load >= kLIdle;
    const bool again = r.HasTried(id);  // a server that failed this request comes after all others
    const double cost =
        CostBalancing(load) + CostLocality(mapped) + CostReplacement(load, mapped) + (again ? 1e6 : 0);
    const bool away = sampled && s.zone != settings_.zone;
    const double order = ranks_[id];
    const double tie_load = std::isinf(cost) ? load : 0;
    const bool better =
        best < 0 || std::tie(cost, tie_load, away) < std::tie(best_cost, best_load, best_away) ||
        (cost == best_cost && tie_load == best_load && away == best_away && order < best_order);
    if (!better) continue;
    best = static_cast<int>(id);
    best_cost = cost;
    best_load = tie_load;
    best_away = away;
    best_order = order;
  }
  holder_busy_ = holder_busy;
  return best;
}

// The winner joins the key's set; a set at rest for a quiet spell loses its last holder in hash order.
void Balancer::Core::AddHolder(KeyTable::Entry& entry, ServerId id) {
  std::erase_if(entry.holders, [&](const Holder& h) {
    const Server& s = servers_[h.server];
    return !s.listed || s.incarnation != h.incarnation;
  });
  if (holder_busy_) entry.last_needed = now_;
  if (FindHolder(&entry, id, servers_[id]) == nullptr) {
    entry.holders.push_back({id, servers_[id].incarnation});
    entry.last_needed = now_;
  } else if (entry.holders.size() > 1 && now_ - entry.last_needed > kHolderIdleTime) {
    const auto last = std::min_element(entry.holders.begin(), entry.holders.end(), [&](auto& a, auto& b) {
      return PairHash(entry.key, servers_[a.server].hash) < PairHash(entry.key, servers_[b.server].hash);
    });
    entry.holders.erase(last);
    entry.last_needed = now_;
  }
}

}  // namespace beechledge
