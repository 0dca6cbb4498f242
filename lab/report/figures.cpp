#include "lab/report/figures.h"

#include <algorithm>
#include <cmath>

#include "lab/base/histogram.h"
#include "lab/base/plan.h"

namespace brasswood::lab {
namespace {

constexpr double kBinSeconds = 0.5;

double Seconds(Duration d) { return static_cast<double>(d.count()) / 1e9; }

template <class N, class D>
double Ratio(N part, D whole) {
  return whole == D{} ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

LatencyFigures Describe(const LatencyHistogram& h) {
  return {h.count(), h.Percentile(0.5), h.Percentile(0.9), h.Percentile(0.99), h.Percentile(0.999)};
}

struct ClassTally {
  ClassFigures figures;
  LatencyHistogram latency;
  void Add(Ending ending, Duration took) {
    ++figures.asked;
    ++figures.endings[static_cast<std::size_t>(ending)];
    if (ending == Ending::kInTime || ending == Ending::kLate) latency.Add(took);
  }
  ClassFigures Finish() {
    figures.latency = Describe(latency);
    return figures;
  }
};

class FigureBuilder {
 public:
  explicit FigureBuilder(const Outcome& outcome) : outcome_(outcome), t_(outcome.record), s_(t_.scenario) {}

  Figures Compute() {
    last_.assign(t_.load.requests.size(), nullptr);
    for (const TryRecord& t : t_.load.tries) last_[t.request_index] = &t;
    f_.length_s = Seconds(s_.length - s_.warm_up);
    f_.bins.resize(static_cast<std::size_t>(std::ceil(Seconds(s_.length) / kBinSeconds)));
    for (std::size_t b = 0; b < f_.bins.size(); ++b) f_.bins[b].at_s = static_cast<double>(b) * kBinSeconds;
    AddIntents();
    AddTries();
    AddAttempts();
    AddRouters();
    AddFaults();
    f_.spread = MeasureSpread(t_);
    f_.ready_s = outcome_.ready_s;
    return std::move(f_);
  }

 private:
  Ending EndingOf(std::size_t n) const {
    const ClientRequest& client_request = t_.load.requests[n];
    if (client_request.served) {
      return client_request.ended - client_request.at <= s_.classes[client_request.request_class].aim
                 ? Ending::kInTime
                 : Ending::kLate;
    }
    if (last_[n] == nullptr) return Ending::kUnanswered;
    switch (last_[n]->outcome) {
      case TryOutcome::kBusy:
        return Ending::kRefused;
      case TryOutcome::kFailed:
      case TryOutcome::kError:
      case TryOutcome::kMalformed:
        return Ending::kFailed;
      default:
        return Ending::kUnanswered;
    }
  }

  bool IsCounted(Time at) const { return at >= t_.start + s_.warm_up; }

  Bin* BinOf(Time at) {
    const double n = Seconds(at - t_.start) / kBinSeconds;
    return n < 0 || n >= static_cast<double>(f_.bins.size()) ? nullptr
                                                             : &f_.bins[static_cast<std::size_t>(n)];
  }

  void AddIntents() {
    ClassTally all;
    std::vector<ClassTally> classes(s_.classes.size()), tenants(s_.tenants.size()), halls(s_.halls.size());
    std::vector<LatencyHistogram> latencies(f_.bins.size());
    double worth = 0, worth_in_time = 0;
    for (std::size_t n = 0; n < t_.load.requests.size(); ++n) {
      const ClientRequest& client_request = t_.load.requests[n];
      if (outcome_.partial && !client_request.done) continue;
      const Ending ending = EndingOf(n);
      const Duration took = client_request.ended - client_request.at;
      if (Bin* bin = BinOf(client_request.at)) {
        ++bin->asked;
        ++bin->endings[static_cast<std::size_t>(ending)];
        if (client_request.served) latencies[static_cast<std::size_t>(bin - f_.bins.data())].Add(took);
      }
      if (!IsCounted(client_request.at)) continue;
      all.Add(ending, took);
      classes[client_request.request_class].Add(ending, took);
      tenants[client_request.tenant].Add(ending, took);
      halls[client_request.hall].Add(ending, took);
      worth += s_.classes[client_request.request_class].worth;
      if (ending == Ending::kInTime) worth_in_time += s_.classes[client_request.request_class].worth;
    }
    const auto fill = [](std::vector<ClassTally>& from, const auto& names, std::vector<ClassFigures>& to) {
      for (std::size_t i = 0; i < from.size(); ++i) {
        to.push_back(from[i].Finish());
        if constexpr (requires { names[i].name; }) {
          to.back().name = names[i].name;
        } else {
          to.back().name = names[i];
        }
      }
    };
    f_.all = all.Finish();
    f_.all.name = "all";
    f_.asked = f_.all.asked;
    fill(classes, s_.classes, f_.classes);
    fill(tenants, s_.tenants, f_.tenants);
    fill(halls, s_.halls, f_.halls);
    f_.worth_in_time = Ratio(worth_in_time, worth);
    for (std::size_t b = 0; b < f_.bins.size(); ++b) f_.bins[b].latency = Describe(latencies[b]);
  }

  void AddTries() {
    std::uint64_t tries = 0, pooled = 0, closed_idle = 0;
    for (const TryRecord& t : t_.load.tries) {
      if (Bin* bin = t.sent == Time(0) ? nullptr : BinOf(t.sent)) ++bin->tries;
      if (!IsCounted(t.sent)) continue;
      tries += !t.resent;
      pooled += t.on_reused_connection && !t.resent;
      closed_idle += t.resent;
    }
    f_.tries_per_request = Ratio(tries, f_.asked);
    f_.reused_share = Ratio(pooled, tries);
    f_.closed_idle_share = Ratio(closed_idle, tries);
    f_.connections_per_request = Ratio(t_.load.connections, t_.load.requests.size());
  }

  void AddAttempts() {
    std::vector<double> work(t_.world.servers.size());
    std::uint64_t attempts = 0, at_servers = 0, hits = 0, fetches = 0, cross_zone = 0;
    std::vector<NodeFigures> all(t_.world.servers.size());
    for (const AttemptRecord& c : t_.world.attempts) {
      const auto m = static_cast<std::size_t>(c.server);
      if (Bin* bin = BinOf(c.received_at)) {
        ++bin->attempts;
        if (c.server == kOrigin) {
          bin->origin_load += c.work_s / (t_.world.servers[0].capacity.full * kBinSeconds);
          bin->fetches += !c.write;
        }
      }
      if (!IsCounted(c.received_at)) continue;
      ++attempts;
      work[m] += c.work_s;
      NodeFigures& n = all[m];
      ++n.attempts;
      n.hits += c.outcome == AttemptOutcome::kHit;
      n.misses += c.outcome == AttemptOutcome::kMiss;
      n.turned_away += c.outcome == AttemptOutcome::kTurnedAway;
      if (c.server == kOrigin) {
        fetches += !c.write;
        continue;
      }
      ++at_servers;
      hits += c.outcome == AttemptOutcome::kHit;
      cross_zone += t_.world.servers[m].hall != c.router / s_.routers.per_hall;
    }
    for (std::size_t m = 0; m < all.size(); ++m) {
      const ServerRecord& record = t_.world.servers[m];
      const Time from = std::max(record.capacity.started, t_.start + s_.warm_up);
      const Time until =
          std::min(record.stopped_at == Time(0) ? Time::max() : record.stopped_at, t_.start + s_.length);
      all[m].uid = record.uid;
      all[m].hall = s_.halls[static_cast<std::size_t>(record.hall)];
      all[m].cold_start = record.capacity.started != Time(0);
      all[m].load = until > from ? work[m] / (record.capacity.full * Seconds(until - from)) : 0;
    }
    f_.nodes = std::move(all);
    f_.attempts_per_request = Ratio(attempts, f_.asked);
    f_.fetches_per_request = Ratio(fetches, f_.asked);
    f_.hit_share = Ratio(hits, at_servers);
    f_.cross_zone_share = Ratio(cross_zone, at_servers);
    f_.origin_falls = t_.world.origin_overloads.size();
    for (std::size_t b = 0; b + 1 < f_.bins.size(); ++b) {
      if (f_.bins[b].at_s < Seconds(s_.warm_up)) continue;
      f_.origin_peak = std::max(f_.origin_peak, (f_.bins[b].origin_load + f_.bins[b + 1].origin_load) / 2);
    }
  }

  void AddRouters() {
    f_.routers.resize(t_.router_logs.size());
    for (const Sample& sample : outcome_.samples) {
      RouterFigures& r = f_.routers[static_cast<std::size_t>(sample.router)];
      if (sample.at > Duration(0)) r.cpu_share = sample.usage.cpu_s / Seconds(sample.at);
      r.memory_mb = std::max(r.memory_mb, sample.usage.memory_mb);
      r.descriptors = std::max(r.descriptors, sample.usage.descriptors);
    }
    f_.cpu_us_per_request = Ratio(outcome_.router_cpu_s * 1e6, t_.load.requests.size());
  }

  // The share in time of the requests sent between two times, in seconds from the start.
  double InTime(double from, double until, double& asked) const {
    double in_time = 0;
    asked = 0;
    for (const Bin& bin : f_.bins) {
      if (bin.at_s < from - 1e-9 || bin.at_s >= until - 1e-9) continue;
      asked += static_cast<double>(bin.asked);
      in_time += static_cast<double>(bin.endings[0]);
    }
    return asked == 0 ? 1 : in_time / asked;
  }

  void AddFaults() {
    for (const FaultPlan& plan : s_.faults) {
      FaultFigures f;
      f.kind = kFaultNames[static_cast<std::size_t>(plan.kind)];
      f.from_s = Seconds(plan.at);
      f.until_s = std::min(Seconds(s_.length), Seconds(EndOf(plan)));
      // The effects of a later fault are not attributed to this one.
      double end = Seconds(s_.length);
      for (const FaultPlan& other : s_.faults) {
        if (other.at >= EndOf(plan) && &other != &plan) end = std::min(end, Seconds(other.at));
      }
      const double first = std::floor(f.from_s / kBinSeconds) * kBinSeconds;
      double asked = 0;
      f.before = InTime(Seconds(s_.warm_up), first, asked);
      f.lowest = 1;
      double worst = first;
      for (double at = first; at + 1 <= end + 1e-9; at += kBinSeconds) {
        const double share = InTime(at, at + 1, asked);
        if (asked > 0 && share < f.lowest) {
          f.lowest = share;
          worst = at;
        }
      }
      f.recovered_s = f.recovered_after_s = -1;
      double recovered_at = end;
      if (f.lowest >= f.before - 0.01) {
        f.recovered_s = 0;
        recovered_at = first;
      }
      for (double at = worst; f.recovered_s < 0 && at + 2 <= end + 1e-9; at += kBinSeconds) {
        if (InTime(at, at + 2, asked) < f.before - 0.01) continue;
        f.recovered_s = std::max(0.0, at - f.from_s);
        recovered_at = at;
      }
      if (f.recovered_s >= 0) f.recovered_after_s = std::max(0.0, f.from_s + f.recovered_s - f.until_s);
      const double share = InTime(first, recovered_at, asked);
      f.lost = std::max(0.0, (f.before - share) * asked);
      double fetches_before = 0, fetches_after = 0;
      const double after_end = std::max(recovered_at, f.until_s);
      for (const Bin& bin : f_.bins) {
        if (bin.at_s >= Seconds(s_.warm_up) && bin.at_s < first)
          fetches_before += static_cast<double>(bin.fetches);
        if (bin.at_s >= first && bin.at_s < after_end) fetches_after += static_cast<double>(bin.fetches);
      }
      const double before_s = first - Seconds(s_.warm_up);
      if (before_s > 0) f.extra_fetches = fetches_after - fetches_before / before_s * (after_end - first);
      f.service = MeasureService(t_, static_cast<std::size_t>(&plan - s_.faults.data()));
      f_.faults.push_back(f);
    }
  }

  const Outcome& outcome_;
  const RunRecord& t_;
  const Scenario& s_;
  std::vector<const TryRecord*> last_;
  Figures f_;
};

}  // namespace

Figures Measure(const Outcome& outcome) { return FigureBuilder(outcome).Compute(); }

std::vector<Metric> Metrics(const Figures& f) {
  double recovered = 0, lost = 0, extra = 0;
  for (const FaultFigures& fault : f.faults) {
    recovered += fault.recovered_s < 0 ? f.length_s : fault.recovered_s;
    lost += fault.lost;
    extra += fault.extra_fetches;
  }
  std::vector<Metric> all = {
      {"in time", "share", true, f.all.in_time()},
      {"worth in time", "share", true, f.worth_in_time},
      {"latency p50", "ms", false, f.all.latency.p50},
      {"latency p99", "ms", false, f.all.latency.p99},
      {"latency p99.9", "ms", false, f.all.latency.p999},
      {"tries per request", "", false, f.tries_per_request},
      {"attempts per request", "", false, f.attempts_per_request},
      {"fetches per request", "", false, f.fetches_per_request},
      {"hit share", "share", true, f.hit_share},
      {"crossing share", "share", false, f.cross_zone_share},
      {"connections per request", "", false, f.connections_per_request},
      {"closed at rest", "share", false, f.closed_idle_share},
      {"origin peak", "of capacity", false, f.origin_peak},
      {"router CPU per request", "us", false, f.cpu_us_per_request},
      {"busiest node", "of the mean", false, f.spread.busiest},
      {"idlest node", "of the mean", true, f.spread.idlest},
      {"variation of use", "", false, f.spread.variation},
      {"Jain's index", "", true, f.spread.jain},
      {"node idle beside a busy one", "s", false, f.spread.idle_s},
      {"herd", "", false, f.spread.herd},
  };
  if (!f.faults.empty()) {
    all.push_back({"time to recover", "s", false, recovered});
    all.push_back({"lost to faults", "requests", false, lost});
    all.push_back({"extra fetches", "", false, extra});
    // Unlike the sums above, the figures from here on are those of the first fault only: they describe the
    // service during and after a fault, so faults that overlap in time share them.
    const ServiceFigures& service = f.faults[0].service;
    const auto or_run_length = [&](double s) { return s < 0 ? f.length_s : s; };
    all.push_back({"full service", "s", false, or_run_length(service.full)});
    for (std::size_t i = 0; i < kServiceNameCount; ++i) {
      all.push_back({"back: " + std::string(kServiceNames[i]), "s", false, or_run_length(service.back[i])});
    }
    all.push_back({"slowest router", "s", false, service.slowest_router});
    all.push_back({"list calls", "a second", false, service.lists_per_s});
    all.push_back({"new connections, busiest", "of the mean", false, service.connections});
    all.push_back({"fetches out", "", false, static_cast<double>(service.fetches_out)});
    all.push_back({"second attempts", "a second", false, service.again_per_s});
    all.push_back({"worst second", "share", true, f.faults[0].lowest});
  }
  return all;
}

}  // namespace brasswood::lab
