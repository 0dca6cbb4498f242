#include "lab/report/service.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "lab/base/plan.h"

namespace brasswood::lab {
namespace {

constexpr double kBinSeconds = 0.5;
constexpr double kStableSeconds = 5, kMinStableSeconds = 2;
constexpr double kInTimeTolerance = 0.02, kHitTolerance = 0.05;
constexpr double kOriginLoadFactor = 1.25, kOriginLoadMargin = 0.1, kSpreadFactor = 1.3;
constexpr double kMinOpenShare = 0.8;
// The smallest mean of new connections per server for which the ratio to the mean is meaningful.
constexpr double kMinMeanConnections = 5;

double Seconds(Duration d) { return static_cast<double>(d.count()) / 1e9; }

struct Series {  // a ratio over time: numerator and denominator for each bin
  std::vector<double> part, whole;
  explicit Series(std::size_t bins) : part(bins), whole(bins) {}
  void Add(std::size_t bin, double p, double w) {
    if (bin >= part.size()) return;
    part[bin] += p;
    whole[bin] += w;
  }
  // The ratio over the bins [from, to); `none` if there is no data.
  double Share(std::size_t from, std::size_t to, double none) const {
    double p = 0, w = 0;
    for (std::size_t b = from; b < std::min(to, part.size()); ++b) p += part[b], w += whole[b];
    return w == 0 ? none : p / w;
  }
};

class ServiceMeasurement {
 public:
  ServiceMeasurement(const RunRecord& t, std::size_t fault) : t_(t), s_(t.scenario), f_(s_.faults[fault]) {
    fault_start_ = Seconds(f_.at);
    fault_end_ = Seconds(EndOf(f_));
    // Overlapping faults are evaluated as one; the next fault ends the evaluation period.
    for (const FaultPlan& o : s_.faults) {
      if (o.at <= EndOf(f_) && EndOf(o) >= f_.at) {
        fault_start_ = std::min(fault_start_, Seconds(o.at));
        fault_end_ = std::max(fault_end_, Seconds(EndOf(o)));
      }
    }
    period_end_ = Seconds(s_.length);
    for (const FaultPlan& o : s_.faults) {
      if (Seconds(o.at) > fault_end_) period_end_ = std::min(period_end_, Seconds(o.at));
    }
    bins_ = static_cast<std::size_t>(Seconds(s_.length) / kBinSeconds);
  }

  ServiceFigures Compute() {
    ServiceFigures out;
    const std::size_t warm = Bin(Seconds(s_.warm_up)), first = Bin(fault_start_);
    const Series in_time = InTime(), hits = Hits(), origin = Origin();
    const double timely = in_time.Share(warm, first, 1), hit = hits.Share(warm, first, 0);
    const double load = origin.Share(warm, first, 0);
    out.back[0] = RecoveryTime(
        2, [&](std::size_t b) { return in_time.Share(b, b + 2, 1) >= timely - kInTimeTolerance; });
    out.back[1] =
        RecoveryTime(4, [&](std::size_t b) { return hits.Share(b, b + 4, 1) >= hit - kHitTolerance; });
    out.back[2] = RecoveryTime(2, [&](std::size_t b) {
      return origin.Share(b, b + 2, 0) <= std::max(load * kOriginLoadFactor, load + kOriginLoadMargin);
    });
    const std::vector<std::vector<double>> work = Work();
    double spread = 0, windows = 0;
    for (std::size_t b = warm; b + 4 <= first; b += 4) spread += Busiest(work, b), ++windows;
    spread = windows == 0 ? 1 : spread / windows;
    out.back[3] =
        RecoveryTime(4, [&](std::size_t b) { return Busiest(work, b) <= spread * kSpreadFactor; });
    out.back[4] = ListRecoveryTime();
    const std::vector<double> open = OpenConnections();
    double before = 0;
    for (std::size_t b = warm; b < first; ++b)
      before += open[b] / static_cast<double>(std::max<std::size_t>(1, first - warm));
    out.back[5] = RecoveryTime(1, [&](std::size_t b) { return open[b] >= kMinOpenShare * before; });
    out.full = *std::max_element(out.back.begin(), out.back.end());
    if (*std::min_element(out.back.begin(), out.back.end()) < 0) out.full = -1;
    FindSlowestRouter(out);
    FindPeaks(out);
    return out;
  }

 private:
  std::size_t Bin(double s) const {
    return static_cast<std::size_t>(std::max(0.0, std::ceil(s / kBinSeconds - 1e-9)));
  }
  std::size_t BinOf(Time at) const {
    return at < t_.start ? bins_ : static_cast<std::size_t>(Seconds(at - t_.start) / kBinSeconds);
  }

  // Seconds from the fault's end until `good` is true, and stays true, for windows of `window_bins` bins.
  double RecoveryTime(std::size_t window_bins, const std::function<bool(std::size_t)>& good) const {
    const std::size_t last = std::min(bins_, static_cast<std::size_t>(period_end_ / kBinSeconds));
    const std::size_t from = Bin(fault_end_);
    std::size_t since = from;
    for (std::size_t b = from; b + window_bins <= last; ++b) {
      if (!good(b)) since = b + 1;
      const double stable_s = static_cast<double>(b + window_bins - since) * kBinSeconds;
      if (since <= b && stable_s >= kStableSeconds) break;
    }
    const double at = static_cast<double>(since) * kBinSeconds;
    if (period_end_ - at < kMinStableSeconds) return -1;
    return std::max(0.0, at - fault_end_);
  }

  Series InTime() const {
    Series s(bins_);
    for (const ClientRequest& i : t_.load.requests) {
      const bool timely = i.served && i.ended - i.at <= s_.classes[i.request_class].aim;
      s.Add(BinOf(i.at), timely, 1);
    }
    return s;
  }
  Series Hits() const {
    Series s(bins_);
    for (const AttemptRecord& c : t_.world.attempts) {
      if (c.server == kOrigin || (c.outcome != AttemptOutcome::kHit && c.outcome != AttemptOutcome::kMiss))
        continue;
      s.Add(BinOf(c.received_at), c.outcome == AttemptOutcome::kHit, 1);
    }
    return s;
  }
  Series Origin() const {
    Series s(bins_);
    for (std::size_t b = 0; b < bins_; ++b)
      s.whole[b] = t_.world.servers[kOrigin].capacity.full * kBinSeconds;
    for (const AttemptRecord& c : t_.world.attempts) {
      if (c.server == kOrigin) s.Add(BinOf(c.received_at), c.work_s, 0);
    }
    return s;
  }
  // Work by machine and bin, relative to the machine's warm capacity.
  std::vector<std::vector<double>> Work() const {
    std::vector<std::vector<double>> work(t_.world.servers.size(), std::vector<double>(bins_));
    for (const AttemptRecord& c : t_.world.attempts) {
      const std::size_t b = BinOf(c.received_at);
      if (c.server == kOrigin || b >= bins_) continue;
      const auto m = static_cast<std::size_t>(c.server);
      work[m][b] += c.work_s / t_.world.servers[m].capacity.full;
    }
    return work;
  }
  // Utilisation of the busiest server relative to the mean, over the two seconds from `bin`. Only servers
  // that were running and warm for the whole period count.
  double Busiest(const std::vector<std::vector<double>>& work, std::size_t bin) const {
    const Time from =
        t_.start + Duration(static_cast<std::int64_t>(static_cast<double>(bin) * kBinSeconds * 1e9));
    const Time to = from + std::chrono::seconds(2);
    double most = 0, sum = 0, weight = 0;
    for (std::size_t m = 1; m < work.size(); ++m) {
      const ServerRecord& r = t_.world.servers[m];
      if (r.capacity.IsCold(from) || r.capacity.started > from ||
          (r.stopped_at != Time(0) && r.stopped_at < to))
        continue;
      double use = 0;
      for (std::size_t b = bin; b < std::min(bin + 4, bins_); ++b) use += work[m][b];
      most = std::max(most, use);
      sum += use * r.capacity.full;
      weight += r.capacity.full;
    }
    return sum == 0 ? 1 : most / (sum / weight);
  }

  bool WasDown(const RouterOutage& a) const {
    const double from = Seconds(a.from - t_.start);
    return from >= fault_start_ - 0.5 && from <= fault_end_ + 0.5;
  }
  // Seconds from the fault's end until the last of the restarted routers received its list.
  double ListRecoveryTime() const {
    double latest = 0;
    std::map<int, Time> launched;  // the latest start
    for (const RouterOutage& a : t_.outages) {
      if (WasDown(a)) launched[a.router] = std::max(launched[a.router], a.launched);
    }
    for (const auto& [router, at] : launched) {
      const auto received = std::find_if(t_.world.lists.begin(), t_.world.lists.end(),
                                         [&, r = router, from = at](const ListRecord& l) {
                                           return l.router == r && l.at >= from && !l.refused;
                                         });
      if (at == Time(0) || received == t_.world.lists.end()) return -1;
      latest = std::max(latest, Seconds(received->at - t_.start) - fault_end_);
    }
    return latest;
  }
  std::vector<double> OpenConnections() const {
    std::vector<double> open(bins_);
    double now = 0;
    std::size_t b = 0;
    for (const LinkRecord& l : t_.world.links) {
      const std::size_t at = l.at < t_.start ? 0 : std::min(BinOf(l.at), bins_);
      for (; b < at; ++b) open[b] = now;
      now += l.up ? 1 : -1;
    }
    for (; b < bins_; ++b) open[b] = now;
    return open;
  }

  void FindSlowestRouter(ServiceFigures& out) const {
    for (const RouterOutage& a : t_.outages) {
      if (!WasDown(a) || a.launched == Time(0)) continue;
      Time asked = Time::max(), first = Time::max();
      for (const TryRecord& r : t_.load.tries) {
        if (r.router != a.router || r.sent < a.launched) continue;
        asked = std::min(asked, r.sent);
        const bool served = r.outcome == TryOutcome::kValue || r.outcome == TryOutcome::kReceipt;
        if (!served || r.ended - r.sent > s_.classes[t_.load.requests[r.request_index].request_class].aim)
          continue;
        first = std::min(first, r.ended);
      }
      if (first == Time::max()) continue;  // it got no request, or it was stopped again
      out.slowest_router = std::max(out.slowest_router, Seconds(first - asked));
    }
  }

  void FindPeaks(ServiceFigures& out) const {
    const auto ms = [&](Time at) { return (at - t_.start) / std::chrono::milliseconds(1); };
    const auto low = static_cast<std::int64_t>(fault_start_ * 1000);
    const auto high = static_cast<std::int64_t>(std::min(period_end_, fault_end_ + 10) * 1000);
    const auto in_period = [&](std::int64_t at) { return at >= low && at < high; };
    std::map<std::int64_t, double> lists, again;  // counts per 250 ms
    for (const ListRecord& l : t_.world.lists) {
      if (in_period(ms(l.at))) lists[ms(l.at) / 250] += 1;
    }
    std::map<std::int64_t, std::map<int, int>> up;
    for (const LinkRecord& l : t_.world.links) {
      if (l.up && in_period(ms(l.at))) ++up[ms(l.at) / 250][l.server];
    }
    std::size_t servers = 0;
    for (std::size_t m = 1; m < t_.world.servers.size(); ++m)
      servers += t_.world.servers[m].stopped_at == Time(0);
    for (const auto& [quarter, by_server] : up) {
      double all = 0, most = 0;
      for (const auto& [machine, n] : by_server) all += n, most = std::max<double>(most, n);
      const double mean = all / static_cast<double>(std::max<std::size_t>(1, servers));
      if (mean >= kMinMeanConnections) out.connections = std::max(out.connections, most / mean);
    }
    std::unordered_map<RequestId, int> attempts;
    std::vector<std::pair<Time, int>> changes;
    for (const AttemptRecord& c : t_.world.attempts) {
      const bool fetch = c.server == kOrigin && !c.write;
      if (c.server != kOrigin && attempts[c.request]++ > 0 && in_period(ms(c.received_at)))
        again[ms(c.received_at) / 250] += 1;
      if (fetch && in_period(ms(c.received_at))) {
        changes.emplace_back(c.received_at, 1);
        if (c.ended_at != Time(0)) changes.emplace_back(c.ended_at, -1);
      }
    }
    std::sort(changes.begin(), changes.end());
    std::int64_t now = 0;
    for (const auto& [at, change] : changes) {
      now += change;
      out.fetches_out = std::max(out.fetches_out, static_cast<std::size_t>(std::max<std::int64_t>(0, now)));
    }
    const auto max_per_second = [](const std::map<std::int64_t, double>& quarters) {
      double most = 0;
      for (const auto& [quarter, n] : quarters) {
        double sum = 0;
        for (auto it = quarters.find(quarter); it != quarters.end() && it->first < quarter + 4; ++it)
          sum += it->second;
        most = std::max(most, sum);
      }
      return most;
    };
    out.lists_per_s = max_per_second(lists);
    out.again_per_s = max_per_second(again);
  }

  const RunRecord& t_;
  const Scenario& s_;
  const FaultPlan& f_;
  double fault_start_ = 0, fault_end_ = 0, period_end_ = 0;
  std::size_t bins_ = 0;
};

}  // namespace

ServiceFigures MeasureService(const RunRecord& truth, std::size_t fault) {
  return ServiceMeasurement(truth, fault).Compute();
}

}  // namespace brasswood::lab
