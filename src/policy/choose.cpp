// Server choice by LARD: the sum of three costs for each eligible server, and the sets of holders of keys.
#include "policy/core.h"

namespace beechledge {

double Balancer::Core::CostBalancing(double load) {
  if (load < kLIdle) return 0;
  return load > kLOverload ? INFINITY : load - kLIdle;
}

double Balancer::Core::CostReplacement(double load, bool mapped) {
  return load < kLIdle || mapped ? 0 : kMissCost;
}

// The entry for this server if it is mapped to the key in its current incarnation, else null.
const Holder* Balancer::Core::FindHolder(const KeyTable::Entry* entry, ServerId id, const Server& s) {
  if (entry == nullptr) return nullptr;
  const auto h = std::find_if(entry->holders.begin(), entry->holders.end(), [&](const Holder& o) {
    return o.server == id && o.incarnation == s.incarnation;
  });
  return h == entry->holders.end() ? nullptr : &*h;
}

// Whether new keys prefer servers of the own zone. This applies if crossing zones has a price and the fleet
// is so large that this instance samples each server too rarely for load estimates to decide. Each zone
// then keeps its own copies, fewer connections serve the same number of attempts, and a key still has the
// same server at every balancer of a zone. If the own zone has more than its share of the traffic, whole
// keys are placed in other zones, enough to keep its answers from being slower than theirs.
bool Balancer::Core::PrefersOwnZone(std::uint64_t key) const {
  if (settings_.prices.cross_zone <= 0 || SampleRate() >= 1) return false;
  return ToUnitInterval(MixBits(key ^ kOwnZoneSalt)) < own_zone_share_.value();
}

// The rank of a server for a key by weighted rendezvous hashing, lowest first: each server comes first for
// its share of the keys, and a changed share moves only the difference. With equal shares this is the order
// of the hashes, highest first.
double Balancer::Core::RendezvousRank(std::uint64_t key, const Server& s) {
  return -std::log(ToUnitInterval(PairHash(key, s.hash)) + 0x1.0p-54) / s.expected_share;
}

// The server that a key may move to, or -1 for none. If shares have changed so that another server now
// ranks before the key's holders, and the holders answer more slowly, that server counts as mapped: the sum
// of costs then decides between it and the holders. Without this, servers would idle beside overloaded ones
// for lack of keys. Under modest load keys do not move, and they do not move while the origin has no
// capacity for the fetch that a move costs.
int Balancer::Core::RelocationTarget(const Request& r, const KeyTable::Entry* entry, bool own_zone) const {
  if (entry == nullptr || entry->holders.empty() || r.write || !MayFetch(entry) ||
      origin_limiter_.NearOverload()) {
    return -1;
  }
  int first = -1, holder = -1;
  double first_rank = 0, holder_rank = 0;
  for (ServerId id : up_servers_) {
    const Server& s = servers_[id];
    if (loads_[id] < 0 || r.HasTried(id) || (own_zone && s.zone != settings_.zone)) continue;
    const double rank = ranks_[id];
    if (FindHolder(entry, id, s) != nullptr && (holder < 0 || rank < holder_rank)) {
      holder = static_cast<int>(id);
      holder_rank = rank;
    }
    if (first >= 0 && rank >= first_rank) continue;
    first = static_cast<int>(id);
    first_rank = rank;
  }
  if (holder < 0 || first == holder || first_rank * (1 + kRelocationGain) >= holder_rank) return -1;
  const double slower = latencies_.RelativeLatency(static_cast<ServerId>(holder), now_) -
                        latencies_.RelativeLatency(static_cast<ServerId>(first), now_);
  return slower > kRelocationSlower ? first : -1;
}

// Returns the eligible server with the lowest sum of costs, ties by rendezvous rank; -1: none is eligible.
// If all sums are infinite (all overloaded), the lowest load wins. `allow_ejected` also considers ejected
// servers.
int Balancer::Core::Choose(const Request& r, bool allow_ejected) {
  KeyTable::Entry* entry = r.keyed ? &key_table_.Touch(r.key, now_) : nullptr;
  loads_.assign(servers_.size(), -1);
  ranks_.resize(servers_.size());
  double load_sum = 0, share_sum = 0;
  int servers = 0, warm = 0;
  for (ServerId id : up_servers_) {
    Server& s = servers_[id];
    if (IsOrigin(s)) continue;
    warm += !IsCold(s);
    const double raw = RawLoad(s);
    load_sum += raw;
    s.expected_share = latencies_.Weight(id) * (IsCold(s) ? std::min(1.0, ColdBudget(s)) : 1);
    share_sum += s.expected_share;
    ++servers;
    if (!(allow_ejected || Healthy(s)) || !Allowed(r, id) || !HasColdToken(s) || (r.shed && !IsCold(s)))
      continue;
    if (!startup_.MayTry(s.inflight, s.last_answer >= Time(0))) continue;
    loads_[id] = raw;
    ranks_[id] = RendezvousRank(r.key, s);
  }
  if (servers == 0) return -1;
  warm_servers_ = std::max(warm, 1);
  // The contribution of a single request to the smoothed count is added to the mean, so that one or two
  // requests do not cross a threshold.
  const double single_request = typical_seconds_ / Seconds(kLoadTau);
  // A server with one request is not loaded, however idle the others are.
  const double min_load = 1.0 / settings_.balancers;
  const bool own_zone = PrefersOwnZone(r.key);
  const int relocation = RelocationTarget(r, entry, own_zone);
  int best = -1;
  double best_cost = 0, best_load = 0;
  bool holder_busy = false, best_other_zone = false;
  double best_rank = 0;
  for (ServerId id : up_servers_) {
    if (loads_[id] < 0) continue;
    const Server& s = servers_[id];
    const double load = EvidenceWeightedLoad(
        s, kMeanLoad * loads_[id] /
               std::max(load_sum / share_sum * s.expected_share + single_request, min_load));
    const bool mapped = FindHolder(entry, id, s) != nullptr || static_cast<int>(id) == relocation;
    holder_busy |= mapped && load >= kLIdle;
    const bool tried = r.HasTried(id);  // a server that failed this request comes after all others
    const double cost =
        CostBalancing(load) + CostLocality(mapped) + CostReplacement(load, mapped) + (tried ? 1e6 : 0);
    const bool other_zone = own_zone && s.zone != settings_.zone;
    const double rank = ranks_[id];
    const double tie_load = std::isinf(cost) ? load : 0;
    const bool better =
        best < 0 ||
        std::tie(cost, tie_load, other_zone) < std::tie(best_cost, best_load, best_other_zone) ||
        (cost == best_cost && tie_load == best_load && other_zone == best_other_zone && rank < best_rank);
    if (!better) continue;
    best = static_cast<int>(id);
    best_cost = cost;
    best_load = tie_load;
    best_other_zone = other_zone;
    best_rank = rank;
  }
  holder_busy_ = holder_busy;
  return best;
}

// Adds the chosen server to the key's holders. A set that has not needed more than one holder for
// kHolderIdleTime loses the last one in hash order.
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
