// Explorations of the calls to discovery and of the server directory under random schedules, in virtual
// time.
#include <catch2/catch.hpp>
#include <sstream>

#include "lab/explore/directory_exploration.h"
#include "lab/explore/discovery_load.h"
#include "lab/explore/list_exploration.h"

using namespace brasswood::lab;

TEST_CASE("changes are held in time although up to every second call to discovery fails") {
  std::ostringstream output;
  CHECK(Explore(1, 4000, MakeRefresher, output) == 0);
  INFO(output.str());
  CHECK(output.str().starts_with("4000 seeds, 0 broken, "));
}

TEST_CASE("a chain of timeouts is found within 1000 schedules, and its trace can be reproduced") {
  std::ostringstream output, first, second;
  CHECK(Explore(1, 1000, MakeChainedTimeouts, output) > 0);
  CHECK(output.str().find("BROKEN: unheard: version ") != std::string::npos);
  ExploreSeed(7, MakeChainedTimeouts, &first);
  ExploreSeed(7, MakeChainedTimeouts, &second);
  CHECK_FALSE(first.str().empty());
  CHECK(first.str() == second.str());
}

TEST_CASE(
    "a discovery that serves calls one by one reaches the whole fleet in one round, and a change soon "
    "after") {
  using std::chrono::milliseconds;
  for (const int routers : {6, 30, 300}) {
    for (const int each : {1, 10}) {
      INFO(routers << " routers, " << each << " ms");
      const DiscoveryLoadFigures f = MeasureDiscoveryLoad({routers, milliseconds(each), 1}, MakeRefresher);
      CHECK(f.all_received > brasswood::Duration(0));
      CHECK(f.all_received <= milliseconds(each) * routers + milliseconds(10));
      CHECK(f.change_received >= brasswood::Duration(0));
      CHECK(f.change_received < milliseconds(2000));
      CHECK(f.calls_per_second < 0.6);
    }
  }
  const DiscoveryLoadFigures crowded = MeasureDiscoveryLoad({300, milliseconds(50), 1}, MakeRefresher);
  CHECK(crowded.all_received <= milliseconds(15010));
  CHECK(MeasureDiscoveryLoad({300, milliseconds(50), 1}, MakeChainedTimeouts).all_received <
        brasswood::Duration(0));
}

// Guards against a fleet that overloads a slow discovery until it refuses every call. The load comes from
// parallel calls and from calls abandoned at each new configuration. Refusals take discovery's time as
// well, and may fail calls that wait.
TEST_CASE(
    "a slow discovery that refuses calls reaches its fleet within 6 s of four configurations in a row") {
  using std::chrono::milliseconds;
  struct Case {
    int routers, each;
  };
  for (const auto& [routers, each] : {Case{6, 150}, {6, 200}, {6, 250}, {12, 100}, {24, 40}}) {
    for (const bool harder : {false, true}) {
      for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        DiscoveryLoadPlan plan;
        plan.routers = routers;
        plan.call_time = milliseconds(each);
        plan.seed = seed;
        plan.max_queue_time = milliseconds(2000);
        plan.refusal_cost = 0.1;
        plan.refusal_ends_waiting_calls = plan.old_addresses_silent = harder;
        plan.configurations = 4;
        plan.interval = milliseconds(400);
        const DiscoveryLoadFigures f = MeasureDiscoveryLoad(plan, MakeRefresher);
        INFO(routers << " routers, " << each << " ms a call, seed " << seed << ", refused " << f.refused);
        CHECK(f.all_received >= brasswood::Duration(0));
        CHECK(f.all_received < std::chrono::seconds(6));
        CHECK(f.refused < f.calls);
      }
    }
  }
}

TEST_CASE(
    "the newest version's state of each server holds, whatever the order, source or cut of the answers") {
  std::ostringstream output;
  CHECK(ExploreDirectory(1, 4000, DirectoryFault::kNone, output) == 0);
  INFO(output.str());
  CHECK(output.str() == "4000 seeds, 0 broken\n");
}

TEST_CASE("a faulty directory is found within 1000 schedules, and a trace can be reproduced") {
  for (std::size_t f = 1; f < kDirectoryFaultNames.size(); ++f) {
    INFO(kDirectoryFaultNames[f]);
    const auto fault = static_cast<DirectoryFault>(f);
    std::ostringstream output;
    CHECK(ExploreDirectory(1, 1000, fault, output) > 0);
    CHECK(output.str().find("BROKEN: ") != std::string::npos);
  }
  std::ostringstream first, second;
  ExploreDirectorySeed(7, DirectoryFault::kNone, &first);
  ExploreDirectorySeed(7, DirectoryFault::kNone, &second);
  CHECK_FALSE(first.str().empty());
  CHECK(first.str() == second.str());
}
