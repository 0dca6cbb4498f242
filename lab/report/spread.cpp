#include "lab/report/spread.h"

#include <algorithm>
#include <cmath>

namespace brasswood::lab {
namespace {

constexpr int kTenthsPerSecond = 10;
constexpr double kIdle = 0.05, kBusy = 0.8;  // utilisation
constexpr double kMinExpected = 0.2;         // with fewer expected attempts the ratio is not meaningful

}  // namespace

SpreadFigures MeasureSpread(const RunRecord& t) {
  SpreadFigures f;
  const Scenario& s = t.scenario;
  const auto seconds = static_cast<std::size_t>(s.length / std::chrono::seconds(1));
  const auto first = static_cast<std::size_t>(s.warm_up / std::chrono::seconds(1));
  const std::size_t machines = t.world.servers.size();
  std::vector<std::vector<float>> count(machines, std::vector<float>(seconds * kTenthsPerSecond));
  std::vector<float> asked(seconds * kTenthsPerSecond);
  for (const ClientRequest& i : t.load.requests) {
    const auto tenth = static_cast<std::size_t>((i.at - t.start) / std::chrono::milliseconds(100));
    if (i.at >= t.start && tenth < asked.size()) ++asked[tenth];
  }
  std::vector<double> work(machines);
  f.use.assign(machines, std::vector<float>(seconds));
  f.use[kOrigin].clear();
  for (const AttemptRecord& c : t.world.attempts) {
    if (c.server == kOrigin || c.received_at < t.start) continue;
    const auto tenth = static_cast<std::size_t>((c.received_at - t.start) / std::chrono::milliseconds(100));
    if (tenth >= seconds * kTenthsPerSecond) continue;
    const auto m = static_cast<std::size_t>(c.server);
    f.use[m][tenth / kTenthsPerSecond] += c.work_s / static_cast<float>(t.world.servers[m].capacity.full);
    ++count[m][tenth];
    if (tenth / kTenthsPerSecond >= first) work[m] += c.work_s;
  }
  // Only servers that were running for the whole counted run: for others the mean utilisation is not
  // comparable.
  const Time from = t.start + s.warm_up, until = t.start + s.length;
  double total = 0, squares = 0, capacity = 0;
  std::vector<double> uses;
  for (std::size_t m = 1; m < machines; ++m) {
    const ServerRecord& r = t.world.servers[m];
    if (r.capacity.started > from || (r.stopped_at != Time(0) && r.stopped_at < until)) continue;
    const double use = work[m] / (r.capacity.full * static_cast<double>(seconds - first));
    uses.push_back(use);
    total += use * r.capacity.full;
    squares += use * use * r.capacity.full;
    capacity += r.capacity.full;
  }
  if (total > 0) {
    const double mean = total / capacity;
    f.busiest = *std::max_element(uses.begin(), uses.end()) / mean;
    f.idlest = *std::min_element(uses.begin(), uses.end()) / mean;
    f.variation = std::sqrt(std::max(0.0, squares / capacity - mean * mean)) / mean;
    f.jain = total * total / (capacity * squares);
  }
  std::vector<double> excess;
  for (std::size_t second = first; second < seconds; ++second) {
    bool busy = false;
    int idle = 0;
    for (std::size_t m = 1; m < machines; ++m) {
      const ServerRecord& r = t.world.servers[m];
      const Time at = t.start + std::chrono::seconds(second);
      if (r.capacity.started > at || (r.stopped_at != Time(0) && r.stopped_at < at)) continue;
      busy |= f.use[m][second] > kBusy;
      idle += f.use[m][second] < kIdle;
      double server_attempts = 0, all_requests = 0;
      for (std::size_t i = second * kTenthsPerSecond; i < (second + 1) * kTenthsPerSecond; ++i) {
        server_attempts += count[m][i];
        all_requests += asked[i];
      }
      for (std::size_t i = second * kTenthsPerSecond;
           all_requests > 0 && i < (second + 1) * kTenthsPerSecond; ++i) {
        const double expected = server_attempts / all_requests * asked[i];
        if (expected >= kMinExpected) excess.push_back((count[m][i] - expected) / std::sqrt(expected));
      }
    }
    if (busy) f.idle_s += idle;
  }
  if (!excess.empty()) {
    const auto at =
        excess.begin() + static_cast<std::ptrdiff_t>(0.999 * static_cast<double>(excess.size()));
    std::nth_element(excess.begin(), at, excess.end());
    f.herd = *at;
  }
  return f;
}

}  // namespace brasswood::lab
