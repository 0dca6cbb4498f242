#include "lab/run/studies.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <cmath>
#include <fstream>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>

#include "lab/report/compare.h"

namespace brasswood::lab {
namespace {

bool Interrupted(const Study& study) { return study.interrupted != nullptr && *study.interrupted; }

struct CompletedRun {
  Outcome outcome;
  Figures figures;
  Verdict verdict = Verdict::kVoid;
};

CompletedRun RunSide(const Study& study, const Side& side, std::uint64_t seed, const std::string& folder,
                     const Overrides& more = {}) {
  Overrides all = study.overrides;
  all.insert(all.end(), side.overrides.begin(), side.overrides.end());
  all.insert(all.end(), more.begin(), more.end());
  if (seed != 0) all.push_back("seed=" + std::to_string(seed));
  const Scenario scenario = LoadScenario(study.scenario, all);
  RunOptions options;
  options.router = side.router;
  options.folder = folder;
  options.interrupted = study.interrupted;
  CompletedRun p;
  p.outcome = RunOnce(scenario, options);
  p.figures = Measure(p.outcome);
  p.verdict = DecideVerdict(p.outcome, p.figures);
  WriteAll(folder, p.outcome, p.figures);
  return p;
}

bool NoRouterFailures(const CompletedRun& p) {
  return p.outcome.violations.empty() && p.outcome.troubles.empty();
}

void PrintProgress(const Study& study, const std::string& text) {
  if (study.progress != nullptr) *study.progress << text << std::endl;
}

}  // namespace

Exit CompareSides(const Study& study, const Side& a, const Side& b, std::ostream& out) {
  const std::uint64_t first =
      study.seed != 0 ? study.seed : LoadScenario(study.scenario, study.overrides).seed;
  std::vector<std::vector<double>> as, bs;
  std::vector<Metric> metrics;
  bool no_failures = true;
  int left_out = 0;
  for (int pair = 0; pair < study.runs && !Interrupted(study); ++pair) {
    const std::uint64_t seed = first + static_cast<std::uint64_t>(pair);
    bool counted = false;
    for (int attempt = 0; attempt < 2 && !counted && !Interrupted(study); ++attempt) {
      const std::string folder = study.folder + "/pair-" + std::to_string(pair);
      // The order alternates: guards against a drift of the machine's speed that always favours one side.
      std::optional<CompletedRun> pa, pb;
      if (pair % 2 == 0) pa = RunSide(study, a, seed, folder + "-a");
      pb = RunSide(study, b, seed, folder + "-b");
      if (pair % 2 != 0) pa = RunSide(study, a, seed, folder + "-a");
      for (const auto* p : {&*pa, &*pb}) {
        if (NoRouterFailures(*p)) continue;
        no_failures = false;
        out << (p == &*pa ? "A" : "B") << ", seed " << seed << ":\n" << Summary(p->outcome, p->figures);
      }
      const auto bad = [](const CompletedRun& p) {
        return p.verdict == Verdict::kVoid || p.outcome.partial;
      };
      if (bad(*pa) || bad(*pb)) {
        PrintProgress(study, "pair " + std::to_string(pair) + ": void");
        continue;
      }
      counted = true;
      metrics = Metrics(pa->figures);
      const std::vector<Metric> others = Metrics(pb->figures);
      as.resize(metrics.size());
      bs.resize(metrics.size());
      for (std::size_t m = 0; m < metrics.size(); ++m) {
        as[m].push_back(metrics[m].value);
        bs[m].push_back(others[m].value);
      }
      std::ostringstream line;
      line << "pair " << pair << " (seed " << seed << "): in time A " << metrics[0].value << ", B "
           << others[0].value;
      PrintProgress(study, line.str());
    }
    left_out += !counted;
  }
  std::vector<Comparison> all;
  for (std::size_t m = 0; m < metrics.size(); ++m) {
    all.push_back(
        Compare(metrics[m].name, metrics[m].unit, metrics[m].more_is_better, as[m], bs[m], first));
  }
  const std::size_t pairs = as.empty() ? 0 : as[0].size();
  out << pairs << " pairs counted, " << left_out << " left out\n" << Table(all);
  if (pairs < 5) out << "fewer than 5 pairs: no interval can be stated\n";
  rapidjson::StringBuffer text;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> w(text);
  w.StartObject();
  w.Key("version");
  w.Int(kResultVersion);
  w.Key("pairs");
  w.Uint64(pairs);
  w.Key("figures");
  w.StartObject();
  for (std::size_t m = 0; m < all.size(); ++m) {
    w.Key(all[m].name.c_str());
    w.StartObject();
    for (const auto& [key, values] : {std::pair{"a", &as[m]}, std::pair{"b", &bs[m]}}) {
      w.Key(key);
      w.StartArray();
      for (const double v : *values) w.Double(v);
      w.EndArray();
    }
    w.Key("difference");
    w.Double(all[m].difference);
    if (std::isfinite(all[m].interval.low)) {
      w.Key("interval");
      w.StartArray();
      w.Double(all[m].interval.low);
      w.Double(all[m].interval.high);
      w.EndArray();
    }
    w.EndObject();
  }
  w.EndObject();
  w.EndObject();
  std::ofstream(study.folder + "/comparison.json") << text.GetString() << "\n";
  if (!no_failures) return Exit::kFailed;
  if (Interrupted(study)) return Exit::kPartial;
  return pairs == 0 ? Exit::kVoid : Exit::kSuccess;
}

Exit Sweep(const Study& study, const Side& side, const std::string& parameter,
           const std::vector<std::string>& values, std::ostream& out) {
  bool no_failures = true, head = false;
  for (std::size_t v = 0; v < values.size() && !Interrupted(study); ++v) {
    std::map<std::string, std::vector<double>> by_name;
    std::vector<Metric> metrics;
    int voids = 0;
    for (int run = 0; run < study.runs && !Interrupted(study); ++run) {
      const std::uint64_t seed = study.seed == 0 ? 0 : study.seed + static_cast<std::uint64_t>(run);
      const CompletedRun p = RunSide(study, side, seed != 0 ? seed : static_cast<std::uint64_t>(run) + 1,
                                     study.folder + "/" + std::to_string(v) + "-" + std::to_string(run),
                                     {parameter + "=" + values[v]});
      no_failures &= NoRouterFailures(p);
      voids += p.verdict == Verdict::kVoid;
      metrics = Metrics(p.figures);
      for (const Metric& m : metrics) by_name[m.name].push_back(m.value);
      PrintProgress(study, parameter + "=" + values[v] + ", run " + std::to_string(run) + ": " +
                               std::string(VerdictName(p.verdict)));
    }
    if (!std::exchange(head, true)) {
      out << std::left << std::setw(16) << parameter;
      for (const Metric& m : metrics) out << std::setw(static_cast<int>(m.name.size()) + 2) << m.name;
      out << "void\n";
    }
    out << std::setw(16) << values[v] << std::setprecision(4);
    for (const Metric& m : metrics)
      out << std::setw(static_cast<int>(m.name.size()) + 2) << Median(by_name[m.name]);
    out << voids << "\n" << std::flush;
  }
  return !no_failures ? Exit::kFailed : Interrupted(study) ? Exit::kPartial : Exit::kSuccess;
}

Exit FindCapacity(const Study& study, const Side& side, const CapacityTarget& target, double low,
                  double high, int steps, std::ostream& out) {
  double best = 0;
  bool own_limit = false;
  for (int step = 0; step < steps && !Interrupted(study); ++step) {
    // The geometric mean, because rates are compared by their ratio.
    const double rate = std::sqrt(low * high);
    const CompletedRun p = RunSide(study, side, study.seed, study.folder + "/" + std::to_string(step),
                                   {"load.rate=" + std::to_string(rate)});
    if (!NoRouterFailures(p)) {
      out << Summary(p.outcome, p.figures);
      return Exit::kFailed;
    }
    if (p.outcome.partial) return Exit::kPartial;
    const bool lab_too_slow = p.verdict == Verdict::kVoid;
    const bool target_met = !lab_too_slow && p.figures.all.in_time() >= target.in_time &&
                            (target.p99_ms <= 0 || p.figures.all.latency.p99 <= target.p99_ms);
    own_limit = lab_too_slow || (own_limit && target_met);
    std::ostringstream line;
    line << std::setprecision(5) << rate << " requests/s: in time " << p.figures.all.in_time() << ", p99 "
         << p.figures.all.latency.p99 << " ms: "
         << (lab_too_slow ? "the laboratory cannot keep up"
             : target_met ? "target met"
                          : "target missed");
    PrintProgress(study, line.str());
    if (target_met) best = std::max(best, rate);
    (target_met ? low : high) = rate;
  }
  out << std::setprecision(4);
  if (best == 0) {
    out << "the target is not met from " << low << " requests/s on\n";
    return Exit::kFailed;
  }
  out << "the target is met up to " << best << " requests a second (not at " << high << ")"
      << (own_limit ? "; the limit is the laboratory's, not the router's" : "") << "\n";
  return Exit::kSuccess;
}

Exit FindCeiling(double rate, double seconds, const std::string& folder, std::ostream& out) {
  std::ostringstream text;
  text << "name = 'ceiling'\nlength_s = " << seconds + 1 << "\nwarm_up_s = 1.0\nhalls = ['a']\n"
       << "[[class]]\nname = 'read'\nwork_ms = 0\naim_ms = 1000\ngive_up_ms = 5000\n"
       << "[[nodes]]\ncount = 1\ncores = 64\nmemory_mb = 256\nhandshake_ms = 0\nconnections = "
          "100000\nwaiting = 100000\n"
       << "[load]\nrate = " << rate << "\narrivals = 'steady'\nkeys = 1000\nsize_bytes = 200\nsize_cv = 0\n"
       << "clients = 200\nretries = 0\nlate_limit_ms = 60000\n";
  RunOptions options;
  options.folder = folder;
  options.direct = true;
  const Outcome outcome = RunOnce(ReadScenario(text.str(), "ceiling"), options);
  const RunRecord& t = outcome.record;
  const double served = static_cast<double>(t.world.attempts.size());
  const double emulator = static_cast<double>(t.world.cpu.count()) / 1e9;
  const double load = static_cast<double>(t.load.cpu.count()) / 1e9;
  const Figures f = Measure(outcome);
  out << std::setprecision(4) << "offered " << rate << " requests/s, " << served << " served, in time "
      << f.all.in_time() << "; schedule at most " << static_cast<double>(t.load.late_max.count()) / 1e6
      << " ms behind\n"
      << "emulator: " << emulator / served * 1e6 << " us of a core per request, " << std::setprecision(6)
      << served / emulator << " requests/s on one core\n"
      << "load: " << std::setprecision(4) << load / served * 1e6 << " us of a core per request, "
      << std::setprecision(6) << served / load << " requests/s on one core\n";
  return f.all.in_time() > 0.99 ? Exit::kSuccess : Exit::kVoid;
}

}  // namespace brasswood::lab
