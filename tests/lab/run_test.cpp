// Complete runs of a few seconds: routers that break a rule are detected, the real router passes, and a run
// that the laboratory cannot keep up with is void. Deadlines are long and time limits are extended by the
// laboratory's own lag, so that verdicts do not depend on the speed of the machine.
#include <catch2/catch.hpp>
#include <filesystem>

#include "lab/world/world.h"
#include "site.h"

using namespace brasswood;
using namespace brasswood::lab;

TEST_CASE("a router that breaks a rule is reported for that rule") {
  struct Row {
    const char* fault;
    const char* more;
    Rule rule;
    Overrides overrides;
  };
  const char* drain = "[[fault]]\nkind = 'drain'\ncount = 1\nat_s = 0.3\nfor_s = 9\n";
  // Three cold successors at once; each command sent to the last of them takes at least 30 ms.
  const char* replace =
      "[[fault]]\nkind = 'replace'\ncount = 3\nbatch = 1.0\nat_s = 0.2\nfor_s = 0.2\ndrain_ms = 9000\n";
  const Row rows[] = {
      {"double-write", "", Rule::kOnce, {}},
      {"two-at-once", "", Rule::kOnce, {}},
      {"refused-run", "", Rule::kOnce, {}},
      {"lost-answer", "", Rule::kAnswer, {}},
      {"late-answer", "", Rule::kAnswer, {}},
      {"foreign-value", "", Rule::kAnswer, {}},
      {"late-drain", drain, Rule::kDrain, {}},
      {"cold-push",
       replace,
       Rule::kColdOverload,
       {"nodes.0.handshake_ms=30", "nodes.0.cores=1", "load.rate=120"}},
  };
  for (const Row& row : rows) {
    DYNAMIC_SECTION(row.fault) {
      Folder folder;
      const Outcome outcome =
          Play(Site(row.more), {BRASSWOOD_FAULTY, row.fault}, folder.path, row.overrides);
      REQUIRE(outcome.troubles.empty());
      const auto found = std::count_if(outcome.violations.begin(), outcome.violations.end(),
                                       [&](const Violation& b) { return b.rule == row.rule; });
      CHECK(found > 0);
      // An overloaded cold server also answers late; every other fault breaks exactly one rule.
      if (row.rule != Rule::kColdOverload) CHECK(found == static_cast<long>(outcome.violations.size()));
      CHECK(DecideVerdict(outcome, Measure(outcome)) == Verdict::kFailed);
    }
  }
}

TEST_CASE("a simple router that keeps all rules gets no violations") {
  Folder folder;
  const Outcome outcome = Play(Site("[[fault]]\nkind = 'drain'\ncount = 1\nat_s = 0.3\nfor_s = 9\n"),
                               {BRASSWOOD_FAULTY, "honest"}, folder.path);
  CHECK(outcome.troubles.empty());
  for (const Violation& b : outcome.violations) FAIL_CHECK(DescribeViolation(outcome.record, b));
  CHECK(Measure(outcome).all.endings[0] > 100);
}

TEST_CASE("the router keeps the rules under node, answer, membership, origin, router and flood faults") {
  const std::pair<const char*, const char*> rows[] = {
      {"nodes",
       "[[fault]]\nkind = 'hang'\ncount = 1\nat_s = 0.3\nfor_s = 0.6\n"
       "[[fault]]\nkind = 'silent'\ncount = 1\nat_s = 1.0\nfor_s = 0.6\n"
       "[[fault]]\nkind = 'refuse'\ncount = 1\nat_s = 1.7\nfor_s = 0.5\n"},
      {"answers",
       "[[fault]]\nkind = 'reset'\ncount = 3\nshare = 0.3\nat_s = 0.3\nfor_s = 0.6\n"
       "[[fault]]\nkind = 'half'\ncount = 3\nshare = 0.3\nat_s = 1.1\nfor_s = 0.6\n"
       "[[fault]]\nkind = 'garbage'\ncount = 3\nshare = 0.3\nat_s = 1.9\nfor_s = 0.6\n"},
      {"membership",
       "[[fault]]\nkind = 'replace'\npart = 1.0\nbatch = 0.34\nat_s = 0.3\nfor_s = 1.5\ndrain_ms = 400\n"
       "[[fault]]\nkind = 'discovery_down'\nat_s = 1.0\nfor_s = 0.8\n"},
      {"origin",
       "[[fault]]\nkind = 'origin_stop'\nat_s = 0.5\nfor_s = 1\n[[fault]]\nkind = 'burst'\nsize = 3\nat_s "
       "= 1\nfor_s = 1\n"},
      {"router", "[[fault]]\nkind = 'kill_router'\ncount = 1\nat_s = 0.8\nfor_s = 0.5\n"},
      {"flood",
       "[[fault]]\nkind = 'flood'\nsize = 40\nat_s = 0.5\nfor_s = 1.5\n[[fault]]\nkind = 'heavy'\nsize = "
       "10\nshare = 0.02\nat_s = 0.5\nfor_s = 2\n"},
  };
  for (const auto& [name, faults] : rows) {
    DYNAMIC_SECTION(name) {
      Folder folder;
      const Outcome outcome = Play(Site(faults), {BRASSWOOD_PROGRAM}, folder.path);
      for (const std::string& trouble : outcome.troubles) FAIL_CHECK(trouble);
      for (const Violation& b : outcome.violations) FAIL_CHECK(DescribeViolation(outcome.record, b));
      CHECK(Measure(outcome).asked > 50);
    }
  }
}

TEST_CASE("a run is void if the load generator falls behind its schedule") {
  Folder folder;
  std::string site = Site("");
  site.replace(site.find("late_limit_ms = 60000"), 21, "late_limit_ms = 0.01 ");
  const Outcome outcome = Play(site, {BRASSWOOD_FAULTY, "honest"}, folder.path);
  REQUIRE_FALSE(outcome.void_because.empty());  // on a busy machine there may be further reasons
  CHECK_THAT(outcome.void_because[0], Catch::Contains("behind its schedule"));
  CHECK(DecideVerdict(outcome, Measure(outcome)) == Verdict::kVoid);
}

TEST_CASE("a router that exits right after its start fails the run") {
  Folder folder;
  const Outcome outcome = Play(Site(""), {"/bin/false"}, folder.path);
  REQUIRE_FALSE(outcome.troubles.empty());
  CHECK(DecideVerdict(outcome, Measure(outcome)) == Verdict::kFailed);
}

// Guards against a deadlock: a run that ended before the platform's thread had started waited for it
// forever.
TEST_CASE("a platform that is stopped before it runs returns immediately") {
  World world(ReadScenario(Site(""), "test"));
  world.Stop();
  world.Run();
  CHECK(world.TakeRecord().attempts.empty());
}

TEST_CASE("an interrupted run writes a valid partial result") {
  Folder folder;
  std::atomic<bool> interrupted{false};
  RunOptions options;
  options.router = {BRASSWOOD_FAULTY, "honest"};
  options.folder = folder.path;
  options.interrupted = &interrupted;
  options.progress = [&](Duration, std::uint64_t sent, std::uint64_t) { interrupted = sent > 20; };
  const Outcome outcome = RunOnce(ReadScenario(Site(""), "test"), options);
  CHECK(outcome.partial);
  CHECK(outcome.violations.empty());
  WriteAll(folder.path, outcome, Measure(outcome));
  CHECK(std::filesystem::file_size(folder.path + "/result.json") > 1000);
  CHECK(std::filesystem::file_size(folder.path + "/report.html") > 1000);
}
