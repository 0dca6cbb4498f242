// The soak in short: a minute of drawn faults over a handful of routers, the same ones each time.
#include "lab/run/soak.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <sstream>

#include "site.h"

using namespace brasswood::lab;

TEST_CASE("a short soak with trouble of discovery, signals in series and a crowd keeps every rule") {
  const Folder folder;
  SoakPlan plan;
  plan.first = 901;
  plan.last = 905;
  plan.least_routers = 4;
  plan.most_routers = 8;
  plan.length_s = 11;
  Study study;
  study.folder = folder.path;
  std::ostringstream said;
  const Exit exit = RunSoak(plan, study, {{BRASSWOOD_PROGRAM}, {}}, said);
  INFO(said.str());
  CHECK(exit != Exit::kFailed);
  CHECK(exit != Exit::kPartial);
  CHECK(said.str().find(" failed, ") != std::string::npos);  // it came to its end
}
