// brasswood-lab: the laboratory's command line.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <filesystem>
#include <iostream>

#include "lab/explore/directory_exploration.h"
#include "lab/explore/discovery_load.h"
#include "lab/explore/list_exploration.h"
#include "lab/run/soak.h"
#include "lab/run/studies.h"

namespace {

using namespace brasswood::lab;

std::atomic<bool> g_interrupted{false};

void OnInterrupt(int) { g_interrupted = true; }

// A name that is not an existing file refers to lab/scenarios/NAME.toml, if that exists.
std::string FindScenario(const std::string& name) {
  if (std::filesystem::exists(name)) return name;
  const std::string shipped = "lab/scenarios/" + name + ".toml";
  return std::filesystem::exists(shipped) ? shipped : name;
}

std::vector<std::string> Words(const std::string& command) {
  std::vector<std::string> words;
  std::istringstream in(command);
  for (std::string word; in >> word;) words.push_back(word);
  if (words.empty()) words.emplace_back("build/brasswood");
  return words;
}

Exit ExitOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kPassed:
      return Exit::kSuccess;
    case Verdict::kFailed:
      return Exit::kFailed;
    case Verdict::kVoid:
      return Exit::kVoid;
    default:
      return Exit::kPartial;
  }
}

Exit RunScenario(const Study& study, const Side& side, bool terminal) {
  Overrides overrides = study.overrides;
  if (study.seed != 0) overrides.push_back("seed=" + std::to_string(study.seed));
  const Scenario scenario = LoadScenario(study.scenario, overrides);
  RunOptions options;
  options.router = side.router;
  options.folder = study.folder;
  options.interrupted = study.interrupted;
  const auto length_s = std::chrono::duration_cast<std::chrono::seconds>(scenario.length).count();
  if (terminal) {
    options.progress = [length_s](brasswood::Duration at, std::uint64_t sent, std::uint64_t served) {
      std::cerr << "\r" << std::chrono::duration_cast<std::chrono::seconds>(at).count() << " of "
                << length_s << " s, sent " << sent << ", served " << served << "   " << std::flush;
    };
  }
  const Outcome outcome = RunOnce(scenario, options);
  if (terminal) std::cerr << "\r\x1b[K";
  const Figures figures = Measure(outcome);
  WriteAll(study.folder, outcome, figures);
  std::cout << Summary(outcome, figures) << "  report: " << study.folder << "/report.html\n";
  return ExitOf(DecideVerdict(outcome, figures));
}

}  // namespace

int main(int argc, char** argv) {
  struct sigaction action {};
  action.sa_handler = OnInterrupt;
  ::sigaction(SIGINT, &action, nullptr);
  ::sigaction(SIGTERM, &action, nullptr);
  ::signal(SIGPIPE, SIG_IGN);

  CLI::App app{"The laboratory of brasswood: emulated platform, load, faults, rule checks, and reports."};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success; 1 a rule was violated or an expectation not met; 2 bad usage or scenario;\n"
      "3 void, the laboratory itself could not keep up; 4 interrupted, the result is partial.");
  Study study;
  study.interrupted = &g_interrupted;
  study.folder = "lab-out";
  std::string router = "build/brasswood", router_b;
  Overrides set_a, set_b;
  bool quiet = false;
  const auto common = [&](CLI::App* sub) {
    sub->add_option("scenario", study.scenario, "A scenario file, or the name of one in lab/scenarios")
        ->required();
    sub->add_option("--out", study.folder, "Folder for results, logs and reports")->capture_default_str();
    sub->add_option("--set", study.overrides, "Change a key of the scenario: load.rate=300 (repeatable)")
        ->allow_extra_args(false);
    sub->add_option("--seed", study.seed, "Seed that replaces the scenario's");
    sub->add_flag("--quiet", quiet, "Print no progress");
  };
  CLI::App* run = app.add_subcommand("run", "Run a scenario once and check the result");
  common(run);
  run->add_option("--router", router, "The router's program and its arguments")->capture_default_str();

  CLI::App* compare =
      app.add_subcommand("compare", "Run two builds or settings alternately and compare them in pairs");
  common(compare);
  compare->add_option("--a", router, "The first router")->capture_default_str();
  compare->add_option("--b", router_b, "The second router (default: the first)");
  compare->add_option("--set-a", set_a, "Change a key of the scenario for the first side only")
      ->allow_extra_args(false);
  compare->add_option("--set-b", set_b, "Change a key of the scenario for the second side only")
      ->allow_extra_args(false);
  compare->add_option("--runs", study.runs, "Number of pairs")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();

  CLI::App* sweep = app.add_subcommand("sweep", "Print one row of figures for each value of a parameter");
  common(sweep);
  std::string parameter;
  std::vector<std::string> values;
  int sweep_runs = 1;
  sweep->add_option("--param", parameter, "The key to change")->required();
  sweep->add_option("--values", values, "Its values")->required()->delimiter(',');
  sweep->add_option("--runs", sweep_runs, "Runs for each value")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  sweep->add_option("--router", router, "The router's program and its arguments")->capture_default_str();

  CLI::App* capacity = app.add_subcommand("capacity", "Find the highest rate at which a target is met");
  common(capacity);
  CapacityTarget target;
  double low = 50, high = 5000;
  int steps = 8;
  capacity->add_option("--in-time", target.in_time, "Minimum share answered in time")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  capacity->add_option("--p99", target.p99_ms, "Maximum 99th percentile of latency, in ms");
  capacity->add_option("--low", low, "A rate that meets the target")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  capacity->add_option("--high", high, "A rate that misses the target")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  capacity->add_option("--steps", steps, "Number of runs")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  capacity->add_option("--router", router, "The router's program and its arguments")->capture_default_str();

  CLI::App* ceiling =
      app.add_subcommand("ceiling", "Measure what the emulator itself can serve, without a router");
  double rate = 20000, seconds = 4;
  ceiling->add_option("--rate", rate, "Requests per second")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  ceiling->add_option("--seconds", seconds, "Duration")
      ->check(CLI::Range(0.5, 600.0))
      ->capture_default_str();
  ceiling->add_option("--out", study.folder, "Folder")->capture_default_str();

  CLI::App* soak =
      app.add_subcommand("soak", "Run random scenarios drawn from seeds, with overlapping faults");
  SoakPlan soak_plan;
  int soak_seeds = 10;
  soak->add_option("--first", soak_plan.first, "The first seed")->capture_default_str();
  soak->add_option("--seeds", soak_seeds, "Number of seeds")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  soak->add_option("--least", soak_plan.least_routers, "Minimum number of routers")
      ->check(CLI::Range(1, 250))
      ->capture_default_str();
  soak->add_option("--most", soak_plan.most_routers, "Maximum number of routers")
      ->check(CLI::Range(1, 250))
      ->capture_default_str();
  soak->add_option("--seconds", soak_plan.length_s, "Length of each run")
      ->check(CLI::Range(8.0, 600.0))
      ->capture_default_str();
  soak->add_option("--out", study.folder, "Folder for failed runs")->capture_default_str();
  soak->add_option("--router", router, "The router's program and its arguments")->capture_default_str();

  CLI::App* explore = app.add_subcommand(
      "explore", "Simulate calls to discovery in virtual time, with faults drawn from seeds");
  std::uint64_t explore_first = 1;
  std::uint64_t explore_seeds = 100000;
  bool explore_chained = false;
  explore->add_option("--first", explore_first, "The first seed")->capture_default_str();
  explore->add_option("--seeds", explore_seeds, "Number of seeds")
      ->check(CLI::Range(1, 100000000))
      ->capture_default_str();
  bool explore_directory = false;
  explore->add_flag("--directory", explore_directory, "Explore the server directory instead of the calls");
  explore->add_flag("--chained", explore_chained,
                    "Use a deliberately faulty caller, which must be detected");

  CLI::App* press = app.add_subcommand("press",
                                       "Simulate the load of fleets on a discovery service that serves "
                                       "calls one at a time, in virtual time");
  std::uint64_t press_seed = 1;
  press->add_option("--seed", press_seed, "The seed")->capture_default_str();

  CLI::App* check = app.add_subcommand("check", "Check scenario files");
  std::vector<std::string> files;
  check->add_option("scenarios", files, "Scenario files")->required();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : static_cast<int>(Exit::kBadUsage);
  }
  try {
    const bool terminal = !quiet && ::isatty(STDERR_FILENO) != 0;
    if (!quiet) study.progress = &std::cerr;
    study.scenario = FindScenario(study.scenario);
    const Side side{Words(router), set_a};
    Exit exit = Exit::kSuccess;
    if (*run) exit = RunScenario(study, side, terminal);
    if (*compare) {
      exit = CompareSides(study, side, {Words(router_b.empty() ? router : router_b), set_b}, std::cout);
    }
    if (*sweep) {
      study.runs = sweep_runs;
      exit = Sweep(study, side, parameter, values, std::cout);
    }
    if (*capacity) exit = FindCapacity(study, side, target, low, high, steps, std::cout);
    if (*ceiling) exit = FindCeiling(rate, seconds, study.folder, std::cout);
    if (*soak) {
      soak_plan.last = soak_plan.first + static_cast<std::uint64_t>(soak_seeds) - 1;
      soak_plan.most_routers = std::max(soak_plan.most_routers, soak_plan.least_routers);
      exit = RunSoak(soak_plan, study, side, std::cout);
    }
    if (*explore) {
      const MakeCaller make = explore_chained ? MakeChainedTimeouts : MakeRefresher;
      const auto last = explore_first + explore_seeds - 1;
      const int broken = explore_directory
                             ? ExploreDirectory(explore_first, last, DirectoryFault::kNone, std::cout)
                             : Explore(explore_first, last, make, std::cout);
      exit = broken == 0 ? Exit::kSuccess : Exit::kFailed;
    }
    if (*press) PrintDiscoveryLoad(press_seed, std::cout);
    if (*check) {
      for (const std::string& file : files) {
        (void)LoadScenario(FindScenario(file));
        std::cout << file << ": fine\n";
      }
    }
    return static_cast<int>(exit);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return static_cast<int>(Exit::kBadUsage);
  }
}
