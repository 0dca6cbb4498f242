// 24 router processes with faults between them and the cache servers. The checks use what the emulator
// observed, not what the routers report. Each row also checks that its fault took effect.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "lab/base/plan.h"
#include "lab/report/beliefs.h"
#include "site.h"

using namespace brasswood;
using namespace brasswood::lab;

namespace {

// Whether a time lies within the fault, with a margin of 100 ms at both ends for messages in transit.
bool During(const RunRecord& t, Time at) {
  const FaultPlan& f = t.scenario.faults[0];
  const Time from = t.start + f.at + std::chrono::milliseconds(100) + t.world.max_lag;
  return at >= from && at < t.start + f.at + f.length - std::chrono::milliseconds(100);
}

struct ObservedAttempts {  // at cache servers, during the fault
  int all = 0, answered = 0, reset = 0;
  std::set<std::pair<int, int>> pairs, answered_pairs;  // (router, machine)
};
ObservedAttempts Observe(const RunRecord& t) {
  ObservedAttempts seen;
  for (const AttemptRecord& c : t.world.attempts) {
    if (c.server == kOrigin || !During(t, c.received_at)) continue;
    ++seen.all;
    seen.pairs.emplace(c.router, c.server);
    if (c.outcome == AttemptOutcome::kReset) ++seen.reset;
  }
  return seen;
}

}  // namespace

TEST_CASE("24 routers keep the rules under every kind of link, partition and machine fault") {
  struct Row {
    const char* name;
    const char* fault;
    double served;  // minimum share of requests served; the fault itself makes some fail
    void (*check_effect)(const RunRecord&, const ObservedAttempts&);
  };
  const auto none_crosses = [](const RunRecord& t, const ObservedAttempts& seen) {
    // No attempt passed between a router and a server that the fault separates.
    const FaultPlan& f = t.scenario.faults[0];
    CHECK(seen.all > 0);
    if (f.kind == FaultKind::kPartition) {
      const auto routers = Groups(t.scenario, 0, kRouters, 1);
      const auto nodes = Groups(t.scenario, 0, t.world.servers.size() - 1, 2);
      for (const auto& [r, m] : seen.pairs) {
        CHECK(routers[static_cast<std::size_t>(r)] == nodes[static_cast<std::size_t>(m) - 1]);
      }
      return;
    }
    std::set<int> cut_machines;
    const std::vector<int> cut = VictimRouters(t.scenario, 0);
    for (std::size_t m = 1; m < t.world.servers.size(); ++m) cut_machines.insert(static_cast<int>(m));
    for (const int r : cut) {
      for (const auto& [router, m] : seen.pairs) {
        if (router == r) cut_machines.erase(m);
      }
    }
    CHECK(static_cast<int>(cut_machines.size()) >= f.count);
  };
  const Row rows[] = {
      {"a link cut",
       "[[fault]]\nkind = 'link_cut'\ncount = 3\nrouter_part = 0.5\nat_s = 0.8\nfor_s = 1.5\n", 0.95,
       none_crosses},
      {"a link cut one way",
       "[[fault]]\nkind = 'link_cut'\nway = 'back'\ncount = 3\nrouter_part = 0.5\nat_s = 0.8\nfor_s = "
       "1.5\n",
       0.9, [](const RunRecord&, const ObservedAttempts& seen) { CHECK(seen.all > 0); }},
      {"a slow link",
       "[[fault]]\nkind = 'link_slow'\ncount = 7\ndelay_ms = 120\njitter_ms = 60\nat_s = 0.8\nfor_s = "
       "1.5\n",
       0.97,
       [](const RunRecord& t, const ObservedAttempts&) {
         // No value reached its client in less than the delay during the fault.
         for (const TryRecord& r : t.load.tries) {
           if (r.outcome != TryOutcome::kValue || !During(t, r.sent) || !During(t, r.ended)) continue;
           CHECK(r.ended - r.sent >= std::chrono::milliseconds(120));
         }
       }},
      {"a lossy link", "[[fault]]\nkind = 'link_lossy'\ncount = 7\nshare = 0.15\nat_s = 0.8\nfor_s = 1.5\n",
       0.85, [](const RunRecord&, const ObservedAttempts& seen) { CHECK(seen.all > 0); }},
      {"a partition", "[[fault]]\nkind = 'partition'\nsize = 2\nat_s = 0.8\nfor_s = 1.5\n", 0.9,
       none_crosses},
      {"a machine with its router", "[[fault]]\nkind = 'machine_drop'\ncount = 2\nat_s = 0.8\nfor_s = 1\n",
       0.85,
       [](const RunRecord& t, const ObservedAttempts& seen) {
         CHECK(t.outages.size() == 2);
         for (const auto& [machine, router] : Dropped(t.scenario, 0)) {
           CHECK(t.world.servers[static_cast<std::size_t>(machine)].restarts.size() == 1);
           for (const auto& [r, m] : seen.pairs) {
             CHECK(m != machine);
             CHECK(r != router);
           }
         }
       }},
      {"neighbours", "[[fault]]\nkind = 'capacity_drop'\npart = 1\nshare = 0.5\nat_s = 0.8\nfor_s = 1.5\n",
       0.97, [](const RunRecord&, const ObservedAttempts& seen) { CHECK(seen.all > 0); }},
  };
  for (const Row& row : rows) {
    DYNAMIC_SECTION(row.name) {
      Folder folder;
      const Outcome outcome = Play(FleetSite(row.fault), {BRASSWOOD_PROGRAM}, folder.path);
      for (const std::string& trouble : outcome.troubles) FAIL_CHECK(trouble);
      for (const Violation& b : outcome.violations) FAIL_CHECK(DescribeViolation(outcome.record, b));
      CHECK(Served(outcome.record) >= row.served);
      row.check_effect(outcome.record, Observe(outcome.record));
    }
  }
}

// Routers with broken links move their own keys to other servers; the keys of the other routers stay.
TEST_CASE("broken links at some routers move the keys of those routers only") {
  Folder folder;
  const Outcome outcome =
      Play(FleetSite("[[fault]]\nkind = 'link_cut'\ncount = 2\nrouter_part = 0.25\nat_s = 3\nfor_s = 3\n"),
           {BRASSWOOD_PROGRAM}, folder.path, {"length_s=6", "load.rate=200", "load.keys=60"});
  for (const Violation& b : outcome.violations) FAIL_CHECK(DescribeViolation(outcome.record, b));
  const RunRecord& t = outcome.record;
  const std::vector<int> cut = VictimRouters(t.scenario, 0);
  // Attempts by routers with intact links, counted by machine, before and during the fault.
  std::map<int, double> before, within;
  double all_before = 0, all_within = 0;
  for (const AttemptRecord& c : t.world.attempts) {
    if (c.server == kOrigin || std::find(cut.begin(), cut.end(), c.router) != cut.end()) continue;
    const bool in = During(t, c.received_at);
    if (!in && c.received_at > t.start + t.scenario.faults[0].at) continue;
    (in ? within : before)[c.server] += 1;
    (in ? all_within : all_before) += 1;
  }
  REQUIRE(all_before > 100);
  REQUIRE(all_within > 100);
  double moved = 0;
  for (std::size_t m = 1; m < t.world.servers.size(); ++m) {
    const int machine = static_cast<int>(m);
    moved += std::abs(before[machine] / all_before - within[machine] / all_within) / 2;
  }
  CHECK(moved < 0.15);
}

// Busy routers get a multiple of the others' traffic, and the debug log of a router lists the servers that
// it avoids.
TEST_CASE("busy routers get more traffic, and debug logs show the avoided servers") {
  Folder folder;
  ::setenv("BRASSWOOD_LOG", "debug", 1);
  const Outcome outcome =
      Play(FleetSite("[[fault]]\nkind = 'silent'\ncount = 3\nat_s = 1\nfor_s = 3\n"), {BRASSWOOD_PROGRAM},
           folder.path, {"length_s=4", "load.rate=200", "load.busy_part=0.25", "load.busy_times=8"});
  ::unsetenv("BRASSWOOD_LOG");
  const RunRecord& t = outcome.record;
  const std::vector<double> weights = RouterWeights(t.scenario);
  double busy = 0, others = 0;
  for (const TryRecord& r : t.load.tries) {
    if (r.router < 0) continue;
    (weights[static_cast<std::size_t>(r.router)] > 1 ? busy : others) += 1;
  }
  REQUIRE(std::count(weights.begin(), weights.end(), 8.0) == 6);
  CHECK(busy > others);  // 6 routers with weight 8 against 18 with weight 1: 48 to 18
  const auto avoided = ReadAvoidedShares(t);
  REQUIRE(avoided.size() == t.world.servers.size());
  double most = 0, before = 0;
  for (std::size_t m = 1; m < avoided.size(); ++m) {
    before += avoided[m][0];
    most = std::max(most, static_cast<double>(avoided[m][3]));
  }
  CHECK(before == 0);
  CHECK(most > 0.2);  // many routers avoid the unresponsive servers
}

TEST_CASE("a run is void if the emulator uses up its core or the machine has no idle time") {
  Folder folder;
  // 90 requests per second cost almost nothing, so the CPU time is replaced by fixed values. On a busy
  // machine the run may be void for other reasons too; only the messages under test are counted.
  const Outcome outcome = Play(FleetSite(""), {BRASSWOOD_FAULTY, "honest"}, folder.path);
  const auto reasons_with = [&](Duration cpu, double idle, const char* what) {
    Outcome planted = outcome;
    planted.void_because.clear();
    planted.record.world.cpu = cpu;
    CheckRunValidity(planted, {idle, 3.0});
    return std::count_if(planted.void_because.begin(), planted.void_because.end(),
                         [&](const std::string& why) { return why.find(what) != why.npos; });
  };
  CHECK(reasons_with(std::chrono::seconds(10), 1.0, "the emulator used") == 1);
  CHECK(reasons_with(std::chrono::seconds(1), 1.0, "the emulator used") == 0);
  CHECK(reasons_with(std::chrono::seconds(1), 0.001, "stood idle") == 1);
  CHECK(reasons_with(std::chrono::seconds(1), 1.0, "stood idle") == 0);
}

TEST_CASE("the spread of utilisation is computed from the recorded truth") {
  RunRecord t;
  t.start = Time(std::chrono::seconds(1000));
  t.scenario.length = std::chrono::seconds(10);
  t.world.servers.resize(3);
  t.world.servers[1].capacity.full = 1;
  t.world.servers[2].capacity.full = 3;
  const auto attempt = [&](int machine, int at_ms) {
    AttemptRecord c;
    c.server = machine;
    c.received_at = t.start + std::chrono::milliseconds(at_ms);
    c.work_s = 0.1f;
    t.world.attempts.push_back(c);
  };
  for (int at = 0; at < 10000; at += 100) {
    ClientRequest i;
    i.at = t.start + std::chrono::milliseconds(at);
    t.load.requests.push_back(i);
  }
  // In proportion to capacity: even, although one server gets three times as many attempts as the other.
  for (int at = 0; at < 10000; at += 400) {
    attempt(1, at);
    for (const int more : {0, 130, 260}) attempt(2, at + more);
  }
  SpreadFigures f = MeasureSpread(t);
  CHECK(f.busiest == Approx(1).margin(0.01));
  CHECK(f.jain == Approx(1).margin(0.001));
  CHECK(f.idle_s == 0);
  CHECK(f.herd < 4);
  // 60 attempts at the small server at once count as a herd and make its utilisation far higher than the
  // other's.
  for (int i = 0; i < 60; ++i) attempt(1, 5050);
  f = MeasureSpread(t);
  CHECK(f.busiest > 1.5);
  CHECK(f.jain < 0.8);
  CHECK(f.herd > 6);
}
