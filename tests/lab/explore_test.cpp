// Calls to discovery under random schedules, in virtual time.
#include <catch2/catch.hpp>
#include <sstream>

#include "lab/explore/list_exploration.h"

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
