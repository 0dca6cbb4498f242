#include "lab/report/beliefs.h"

#include <fstream>
#include <sstream>
#include <unordered_map>

namespace brasswood::lab {

std::vector<std::vector<float>> ReadAvoidedShares(const RunRecord& t) {
  const auto seconds = static_cast<std::size_t>(t.scenario.length / std::chrono::seconds(1));
  std::unordered_map<std::string, std::size_t> machines;
  for (std::size_t m = 0; m < t.world.servers.size(); ++m) machines[t.world.servers[m].uid] = m;
  std::vector<std::vector<float>> avoided(t.world.servers.size(), std::vector<float>(seconds));
  std::vector<float> reports(seconds);  // log lines of that second, over all routers
  bool found_report = false;
  const double start = static_cast<double>(t.start.count()) / 1e9;
  for (const std::string& log : t.router_logs) {
    std::ifstream in(log);
    for (std::string line; std::getline(in, line);) {
      const std::size_t at = line.find(" debug avoids:");
      if (at == line.npos) continue;
      const double since = std::strtod(line.c_str(), nullptr) - start;
      if (since < 0 || since >= static_cast<double>(seconds)) continue;
      const auto second = static_cast<std::size_t>(since);
      found_report = true;
      reports[second] += 1;
      std::istringstream uids(line.substr(at + 14));
      for (std::string uid; uids >> uid;) {
        const auto machine = machines.find(uid);
        if (machine != machines.end()) avoided[machine->second][second] += 1;
      }
    }
  }
  if (!found_report) return {};
  for (auto& row : avoided) {
    for (std::size_t s = 0; s < seconds; ++s) {
      if (reports[s] > 0) row[s] /= reports[s];
    }
  }
  avoided[kOrigin].clear();
  return avoided;
}

}  // namespace brasswood::lab
