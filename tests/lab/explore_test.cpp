// Calls to discovery under random schedules, in virtual time.
#include <catch2/catch.hpp>
#include <sstream>

#include "lab/explore/directory_exploration.h"
#include "lab/explore/list_exploration.h"
#include "lab/explore/list_press.h"

using namespace brasswood::lab;

TEST_CASE("whatever becomes of every second call to discovery, its news is held in time") {
  std::ostringstream said;
  CHECK(Explore(1, 4000, MakeRefresher, said) == 0);
  INFO(said.str());
  CHECK(said.str().starts_with("4000 seeds, 0 broken, "));
}

TEST_CASE(
    "a chain of time-outs is caught within a thousand schedules, with a trace that can be played again") {
  std::ostringstream said, first, second;
  CHECK(Explore(1, 1000, MakeChained, said) > 0);
  CHECK(said.str().find("BROKEN: unheard: version ") != std::string::npos);
  ExploreSeed(7, MakeChained, &first);
  ExploreSeed(7, MakeChained, &second);
  CHECK_FALSE(first.str().empty());
  CHECK(first.str() == second.str());
}

TEST_CASE("a discovery that serves calls in turn tells its whole fleet in one round, and news soon after") {
  using std::chrono::milliseconds;
  for (const int routers : {6, 30, 300}) {
    for (const int each : {1, 10}) {
      INFO(routers << " routers, " << each << " ms");
      const PressFigures f = MeasurePress({routers, milliseconds(each), 1}, MakeRefresher);
      CHECK(f.all_heard > brasswood::Duration(0));
      CHECK(f.all_heard <= milliseconds(each) * routers + milliseconds(10));
      CHECK(f.news_heard >= brasswood::Duration(0));
      CHECK(f.news_heard < milliseconds(2000));
      CHECK(f.calls_a_second < 0.6);
    }
  }
  const PressFigures crowded = MeasurePress({300, milliseconds(50), 1}, MakeRefresher);
  CHECK(crowded.all_heard <= milliseconds(15010));
  CHECK(MeasurePress({300, milliseconds(50), 1}, MakeChained).all_heard < brasswood::Duration(0));
}

// Guards against a fleet whose calls, beside others and forsaken at each new configuration, keep a slow
// discovery busy until it refuses them all; refusals cost it time as well, and may end calls that wait.
TEST_CASE("a slow discovery that refuses long waits tells its fleet after configurations in a row") {
  using std::chrono::milliseconds;
  struct Case {
    int routers, each;
  };
  for (const auto& [routers, each] : {Case{6, 150}, {6, 200}, {6, 250}, {12, 100}, {24, 40}}) {
    for (const bool harder : {false, true}) {
      for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        PressPlan plan;
        plan.routers = routers;
        plan.each = milliseconds(each);
        plan.seed = seed;
        plan.longest_line = milliseconds(2000);
        plan.refusal_cost = 0.1;
        plan.one_call_each = plan.passing_deaf = harder;
        plan.configurations = 4;
        plan.apart = milliseconds(400);
        const PressFigures f = MeasurePress(plan, MakeRefresher);
        INFO(routers << " routers, " << each << " ms a call, seed " << seed << ", refused " << f.refused);
        CHECK(f.all_heard >= brasswood::Duration(0));
        CHECK(f.all_heard < std::chrono::seconds(6));
        CHECK(f.refused < f.calls);
      }
    }
  }
}

TEST_CASE(
    "whatever the order, source or cut of discovery's answers, the newest word of each server holds") {
  std::ostringstream said;
  CHECK(ExploreDirectory(1, 4000, DirectoryFault::kNone, said) == 0);
  INFO(said.str());
  CHECK(said.str() == "4000 seeds, 0 broken\n");
}

TEST_CASE(
    "a directory built wrong is caught within a thousand schedules, with a trace that can be played "
    "again") {
  for (std::size_t f = 1; f < kDirectoryFaultNames.size(); ++f) {
    INFO(kDirectoryFaultNames[f]);
    const auto fault = static_cast<DirectoryFault>(f);
    std::ostringstream said;
    CHECK(ExploreDirectory(1, 1000, fault, said) > 0);
    CHECK(said.str().find("BROKEN: ") != std::string::npos);
  }
  std::ostringstream first, second;
  ExploreDirectorySeed(7, DirectoryFault::kNone, &first);
  ExploreDirectorySeed(7, DirectoryFault::kNone, &second);
  CHECK_FALSE(first.str().empty());
  CHECK(first.str() == second.str());
}
