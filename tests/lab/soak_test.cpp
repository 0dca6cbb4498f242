// A short soak: about a minute of random faults on a few routers, with fixed seeds.
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
  std::ostringstream output;
  const Exit exit = RunSoak(plan, study, {{BRASSWOOD_PROGRAM}, {}}, output);
  INFO(output.str());
  CHECK(exit != Exit::kFailed);
  CHECK(exit != Exit::kPartial);
  CHECK(output.str().find(" failed, ") != std::string::npos);  // the final summary line was printed
}

// Guards against a pause after each failed accept, which delayed the requests on connections that waited in
// the accept queue.
TEST_CASE("requests on new connections are answered in time while 30% of the socket calls fail") {
  const Folder folder;
  const std::string site = R"(
length_s = 4
warm_up_s = 0.5
[[class]]
name = "read"
work_ms = 2
work_cv = 0
aim_ms = 500
give_up_ms = 1000
[[nodes]]
count = 6
cores = 8
ramp_ms = 8000
[origin]
cores = 16
work_ms = 10
fall_multiple = 0
[load]
rate = 400
keys = 30
clients = 6
retries = 0
pool = "drop"
late_limit_ms = 60000
[[fault]]
kind = "calls"
part = 1
share = 0.3
at_s = 0.5
for_s = 3
)";
  const Outcome outcome = Play(site, {BRASSWOOD_PROGRAM}, folder.path);
  for (const std::string& trouble : outcome.troubles) FAIL_CHECK(trouble);
  CHECK(outcome.violations.size() == 0);
  CHECK(Served(outcome.record) > 0.7);
}
