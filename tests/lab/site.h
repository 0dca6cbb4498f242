// A small site for complete runs of a few seconds. Deadlines are long and time limits are extended by the
// laboratory's own lag, so that verdicts do not depend on the speed of the machine.
#ifndef BRASSWOOD_TESTS_LAB_SITE_H_
#define BRASSWOOD_TESTS_LAB_SITE_H_

#include <stdlib.h>

#include <filesystem>
#include <string>

#include "lab/report/write.h"

namespace brasswood::lab {

// A temporary folder, removed with the object.
struct Folder {
  std::string path;
  // In memory if possible, so that a disk kept busy by other processes does not affect the test.
  Folder() {
    std::string name = std::filesystem::is_directory("/dev/shm") ? "/dev/shm" : "/tmp";
    name += "/brasswood-lab-test-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
      name = "/tmp/brasswood-lab-test-XXXXXX", (void)::mkdtemp(name.data());
    path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

// A scenario with one router and three cache servers; `more` is appended to the TOML text.
inline std::string Site(const std::string& more) {
  return R"(
length_s = 3
warm_up_s = 0.5
[[class]]
name = "read"
share = 0.8
work_ms = 4
work_cv = 0
aim_ms = 2000
give_up_ms = 3000
[[class]]
name = "publish"
share = 0.2
work_ms = 4
aim_ms = 2000
give_up_ms = 3000
write = true
repeats = "never"
[[nodes]]
count = 3
cores = 2
ramp_ms = 8000
[origin]
cores = 8
work_ms = 10
fall_multiple = 0
[discovery]
late_ms = 50
[load]
rate = 60
keys = 30
clients = 6
retries = 0
late_limit_ms = 60000
[rules]
ramp_ms = 8000
)" + more;
}

constexpr int kRouters = 24;

// The same site with 24 routers and seven cache servers.
inline std::string FleetSite(const std::string& fault) {
  std::string site = Site(fault + R"(
[[nodes]]
count = 4
kind = "other"
cores = 2
ramp_ms = 8000
[routers]
per_hall = 24
)");
  site.replace(site.find("rate = 60"), 9, "rate = 90");
  site.replace(site.find("clients = 6"), 11, "clients = 48");
  return site;
}

// The share of the intended requests that were served.
inline double Served(const RunRecord& t) {
  double served = 0;
  for (const ClientRequest& i : t.load.requests) served += i.served;
  return served / static_cast<double>(t.load.requests.size());
}

inline Outcome Play(const std::string& scenario, std::vector<std::string> router, const std::string& folder,
                    const Overrides& overrides = {}) {
  RunOptions options;
  options.router = std::move(router);
  options.folder = folder;
  return RunOnce(ReadScenario(scenario, "test", overrides), options);
}

}  // namespace brasswood::lab

#endif  // BRASSWOOD_TESTS_LAB_SITE_H_
