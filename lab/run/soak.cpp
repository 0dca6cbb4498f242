#include "lab/run/soak.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include "lab/base/rng.h"

namespace brasswood::lab {
namespace {

constexpr double kFaultFreeStartSeconds = 1.5;  // before the first fault
// The minimum time from SIGTERM to SIGKILL: the longest deadline, but at most 3 s of it, plus 0.7 s.
constexpr double kMaxCountedDeadlineSeconds = 3, kStopSlackSeconds = 0.7;

// How long clients wait for an answer in this run, in ms, by request class.
struct Deadlines {
  double read, look, publish, yank;
  double StopSeconds() const {
    return std::min(kMaxCountedDeadlineSeconds, std::max({read, look, publish, yank}) / 1000) +
           kStopSlackSeconds;
  }
};

Deadlines DrawDeadlines(std::uint64_t seed) {
  Rng rng = MakeRng(Mix(seed * 193), Stream::kWork);
  const auto between = [&rng](double low, double high) { return low + (high - low) * Unit(rng); };
  if (Chance(rng, 0.3)) {  // impatient clients: a router gets about one second to stop
    return {between(300, 600), between(250, 400), between(300, 700), between(300, 600)};
  }
  return {between(1100, 3300), between(200, 700), between(900, 4500), between(600, 2000)};
}

// Writes the [[fault]] tables of a scenario with random times and values.
class FaultTables {
 public:
  FaultTables(Rng& rng, double end, double stop_s) : rng_(rng), end_(end), stop_s_(stop_s) {}

  double stop_s() const { return stop_s_; }

  double Between(double low, double high) { return low + (high - low) * Unit(rng_); }

  // Starts the table of a fault with a length between the given limits.
  void Begin(const char* kind, double min_s, double max_s) {
    const double length = Between(min_s, max_s);
    const double at =
        Between(kFaultFreeStartSeconds, std::max(kFaultFreeStartSeconds + 0.1, end_ - length));
    text_ << "[[fault]]\nkind = \"" << kind << "\"\nat_s = " << at << "\nfor_s = " << length << "\n";
  }
  void Set(const char* key, double value) { text_ << key << " = " << value << "\n"; }
  void SetWord(const char* key, const char* word) { text_ << key << " = \"" << word << "\"\n"; }
  std::string text() const { return text_.str(); }

 private:
  Rng& rng_;
  double end_;
  double stop_s_;  // from SIGTERM to SIGKILL
  std::ostringstream text_;
};

using DrawFault = void (*)(FaultTables&);

// Adds a fault that affects a share of discovery's calls or answers.
void AddListFault(FaultTables& f, const char* kind) {
  f.Begin(kind, 2, 8);
  f.Set("share", f.Between(0.1, 0.5));
}

// The kinds of faults under which routers must still keep every rule.
constexpr DrawFault kFaultDraws[] = {
    [](FaultTables& f) {
      f.Begin("restart", 0, 2);
      f.Set("part", f.Between(0.1, 0.5));
      f.SetWord("signal", "term");
      f.Set("down_ms", f.stop_s() * 1000);
      f.Set("batch", f.Between(0.1, 0.5));
    },
    [](FaultTables& f) {
      f.Begin("kill_router", 0.3, 2);
      f.Set("part", f.Between(0.05, 0.4));
    },
    [](FaultTables& f) {
      f.Begin("held_up", 1, 5);
      f.Set("part", f.Between(0.1, 1));
      f.Set("hold_ms", f.Between(40, 150));
      f.Set("every_ms", f.Between(400, 1500));
    },
    [](FaultTables& f) {
      f.Begin("calls", 0.5, 5);
      f.Set("part", f.Between(0.1, 1));
      f.Set("share", f.Between(0.01, 0.3));
    },
    [](FaultTables& f) {
      f.Begin("clock", 1, 8);
      f.Set("part", f.Between(0.1, 1));
      f.Set("step_s", f.Between(-3600, 3600));
    },
    [](FaultTables& f) {
      f.Begin("no_length", 2, 8);
      f.Set("share", f.Between(0.2, 1));
    },
    [](FaultTables& f) {
      f.Begin("leave", 1, 6);
      f.Set("share", f.Between(0.05, 0.5));
    },
    [](FaultTables& f) {
      f.Begin("hang", 1, 5);
      f.Set("part", f.Between(0.1, 0.5));
    },
    [](FaultTables& f) {
      f.Begin("reset", 1, 4);
      f.Set("part", f.Between(0.1, 0.6));
      f.Set("share", f.Between(0.05, 0.5));
    },
    [](FaultTables& f) {
      f.Begin("half", 1, 4);
      f.Set("part", f.Between(0.1, 0.6));
      f.Set("share", f.Between(0.05, 0.4));
    },
    [](FaultTables& f) {
      f.Begin("garbage", 1, 4);
      f.Set("part", f.Between(0.1, 0.6));
      f.Set("share", f.Between(0.05, 0.4));
    },
    [](FaultTables& f) {
      f.Begin("silent", 0.5, 3);
      f.Set("part", f.Between(0.1, 0.4));
    },
    [](FaultTables& f) {
      f.Begin("refuse", 0.5, 3);
      f.Set("part", f.Between(0.1, 0.3));
    },
    [](FaultTables& f) {
      f.Begin("drain", 1.5, 4);
      f.Set("part", f.Between(0.1, 0.4));
    },
    [](FaultTables& f) {
      f.Begin("replace", 1, 4);
      f.Set("part", f.Between(0.2, 0.6));
      f.Set("batch", f.Between(0.1, 0.4));
    },
    [](FaultTables& f) { f.Begin("discovery_down", 0.5, 5); },
    [](FaultTables& f) { f.Begin("origin_stop", 0.3, 2); },
    [](FaultTables& f) {
      f.Begin("link_lossy", 1, 4);
      f.Set("part", f.Between(0.2, 1));
      f.Set("router_part", f.Between(0.2, 1));
      f.Set("share", f.Between(0.02, 0.2));
    },
    [](FaultTables& f) {
      f.Begin("link_cut", 0.5, 3);
      f.Set("part", f.Between(0.1, 0.5));
      f.Set("router_part", f.Between(0.2, 1));
      f.SetWord("way", f.Between(0, 1) < 0.5 ? "back" : "both");
    },
    [](FaultTables& f) {
      f.Begin("burst", 0.5, 2);
      f.Set("size", f.Between(1.5, 3));
    },
    [](FaultTables& f) {
      f.Begin("hot_key", 1, 4);
      f.Set("share", f.Between(0.1, 0.5));
    },
    [](FaultTables& f) {
      f.Begin("flood", 0.5, 3);
      f.Set("size", f.Between(20, 200));
    },
    [](FaultTables& f) {
      f.Begin("list_slow", 2, 8);
      f.Set("delay_ms", f.Between(50, 2200));
    },
    [](FaultTables& f) {
      f.Begin("list_queue", 2, 8);
      f.Set("delay_ms", f.Between(2, 60));
    },
    [](FaultTables& f) { AddListFault(f, "list_half"); },
    [](FaultTables& f) { AddListFault(f, "list_reset"); },
    [](FaultTables& f) { AddListFault(f, "list_deaf"); },
    [](FaultTables& f) { AddListFault(f, "list_busy"); },
    [](FaultTables& f) { AddListFault(f, "list_old"); },
    [](FaultTables& f) {
      f.Begin("list_late", 2, 8);
      f.Set("delay_ms", f.Between(50, 2500));
    },
    [](FaultTables& f) {
      f.Begin("list_pieces", 2, 8);
      f.Set("delay_ms", f.Between(50, 2500));
    },
    [](FaultTables& f) {
      f.Begin("list_lag", 2, 8);
      f.Set("delay_ms", f.Between(200, 3000));
    },
    [](FaultTables& f) {
      f.Begin("reload", 0.5, 4);
      f.Set("part", f.Between(0.1, 1));
      f.Set("every_ms", f.Between(100, 1500));
    },
};

// Adds the faults that every run has: servers drain while the faults above delay the list updates about
// them. A quarter of the runs also get a crowd of idle clients that uses up the descriptors.
void AddCommonFaults(FaultTables& f) {
  f.Begin("drain", 2, 4);
  f.Set("part", f.Between(0.1, 0.4));
  if (f.Between(0, 1) < 0.25) {
    f.Begin("crowd", 2, 5);
    f.Set("size", f.Between(200, 400));
  }
}

std::string SiteToml(const SoakPlan& plan, std::uint64_t seed, int routers) {
  Rng rng = MakeRng(Mix(seed * 163), Stream::kNames);
  const Deadlines deadlines = DrawDeadlines(seed);
  FaultTables draw(rng, 0, 0);
  std::ostringstream out;
  out << "name = \"soak-" << seed << "\"\nseed = " << seed << "\nlength_s = " << plan.length_s
      << "\nwarm_up_s = 1\n"
      << "[[class]]\nname = \"read\"\nshare = 0.7\nwork_ms = 4\nwork_cv = 0.5\naim_ms = "
      << std::min(800.0, deadlines.read / 2) << "\ngive_up_ms = " << deadlines.read << "\n"
      << "[[class]]\nname = \"look\"\nshare = 0.1\nwork_ms = 3\naim_ms = "
      << std::min(200.0, deadlines.look / 2) << "\ngive_up_ms = " << deadlines.look << "\n"
      << "[[class]]\nname = \"publish\"\nshare = 0.1\nwork_ms = 4\naim_ms = "
      << std::min(800.0, deadlines.publish / 2) << "\ngive_up_ms = " << deadlines.publish
      << "\nwrite = true\nrepeats = \"never\"\n"
      << "[[class]]\nname = \"yank\"\nshare = 0.1\nwork_ms = 4\naim_ms = "
      << std::min(500.0, deadlines.yank / 2) << "\ngive_up_ms = " << deadlines.yank
      << "\nwrite = true\nrepeats = \"keyed\"\nwindow_ms = " << draw.Between(500, 7500) << "\n"
      << "[[nodes]]\ncount = " << 4 + static_cast<int>(draw.Between(0, 9))
      << "\ncores = 4\nwaiting = 100\nramp_ms = 8000\n"
      << "[origin]\ncores = 16\nwork_ms = 15\nfall_multiple = 0\n"
      << "[discovery]\nlate_ms = " << draw.Between(20, 800)
      << "\npushed = " << (draw.Between(0, 1) < 0.4 ? "true" : "false") << "\n"
      << "[routers]\nper_hall = " << routers << "\nsockets = " << (draw.Between(0, 1) < 0.5 ? 256 : 512)
      << "\n"
      << "[load]\nrate = " << plan.rate * routers << "\nkeys = 300\nclients = " << 3 * routers
      << "\nsize_bytes = " << draw.Between(200, 8000) << "\nretries = 1\nlate_limit_ms = 250\npool = \""
      << (draw.Between(0, 1) < 0.7 ? "keep" : "drop") << "\"\n"
      << "[rules]\nramp_ms = 10000\ndrain_grace_ms = " << (draw.Between(0, 1) < 0.3 ? 500 : 1000) << "\n";
  return out.str();
}

}  // namespace

std::string SoakScenario(const SoakPlan& plan, std::uint64_t seed) {
  Rng rng = MakeRng(Mix(seed * 167), Stream::kFaults);
  const auto span = static_cast<std::uint32_t>(plan.most_routers - plan.least_routers + 1);
  const int routers = plan.least_routers + static_cast<int>(rng(span));
  std::vector<DrawFault> draws(std::begin(kFaultDraws), std::end(kFaultDraws));
  std::shuffle(draws.begin(), draws.end(), rng);
  const std::size_t count = 3 + rng(6);
  const double stop_s = DrawDeadlines(seed).StopSeconds();
  FaultTables faults(rng, plan.length_s - kMaxCountedDeadlineSeconds - kStopSlackSeconds - 1, stop_s);
  for (std::size_t i = 0; i < count; ++i) draws[i](faults);
  AddCommonFaults(faults);
  return SiteToml(plan, seed, routers) + faults.text();
}

Exit RunSoak(const SoakPlan& plan, const Study& study, const Side& side, std::ostream& out) {
  std::uint64_t passed = 0, failed = 0, voided = 0;
  for (std::uint64_t seed = plan.first; seed <= plan.last; ++seed) {
    const std::string folder = study.folder + "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(folder);
    const std::string text = SoakScenario(plan, seed), file = folder + "/scenario.toml";
    std::ofstream(file, std::ios::trunc) << text;
    const Scenario scenario = ReadScenario(text, file, study.overrides);
    RunOptions options;
    options.router = side.router;
    options.folder = folder;
    options.interrupted = study.interrupted;
    Verdict verdict = Verdict::kVoid;
    for (int attempt = 0; attempt < 2 && verdict == Verdict::kVoid; ++attempt) {
      const Outcome outcome = RunOnce(scenario, options);
      const Figures figures = Measure(outcome);
      verdict = DecideVerdict(outcome, figures);
      WriteAll(folder, outcome, figures);
      out << "seed " << seed << ": " << VerdictName(verdict) << ", " << scenario.routers.per_hall
          << " routers, " << scenario.faults.size() << " faults, " << figures.asked << " requests\n";
      for (const std::string& what : outcome.troubles) out << "  " << what << "\n";
      for (const Violation& b : outcome.violations) {
        out << "  " << kRuleNames[static_cast<std::size_t>(b.rule)] << ": " << FormatId(b.request) << " "
            << b.what << "\n";
      }
      for (const std::string& why : outcome.void_because) out << "  void: " << why << "\n";
      out << std::flush;
    }
    if (verdict == Verdict::kPartial) return Exit::kPartial;
    passed += verdict == Verdict::kPassed;
    failed += verdict == Verdict::kFailed;
    voided += verdict == Verdict::kVoid;
    if (verdict != Verdict::kFailed) std::filesystem::remove_all(folder);
  }
  out << passed << " passed, " << failed << " failed, " << voided << " void\n";
  return failed > 0 ? Exit::kFailed : passed > 0 ? Exit::kSuccess : Exit::kVoid;
}

}  // namespace brasswood::lab
