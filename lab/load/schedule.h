// Decides when each request is to be sent and what it asks for. It depends on the scenario and its seed
// alone, so that nothing that a router does can change it (an open loop).
#ifndef BRASSWOOD_LAB_LOAD_SCHEDULE_H_
#define BRASSWOOD_LAB_LOAD_SCHEDULE_H_

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/base/rng.h"
#include "lab/base/scenario.h"
#include "lab/truth/truth.h"

namespace brasswood::lab {

struct Arrival {
  Duration at{0};  // from the start
  std::uint8_t request_class = 0, tenant = 0, hall = 0;
  std::uint32_t client = 0;
  long long key = 0;  // its number; KeyName makes the key's name of it
  RequestId id = 0;
};

class Schedule {
 public:
  // `scenario` must outlive it.
  explicit Schedule(const Scenario& scenario);
  // The next arrival; none after the end of the scenario.
  std::optional<Arrival> Next();
  // The id of a further try of the same client_request.
  static RequestId RetryId(RequestId first, int number) {
    return Mix(first ^ static_cast<std::uint64_t>(number) << 56);
  }

 private:
  double Rate(Duration at) const;

  const Scenario& scenario_;
  Rng arrival_rng_, content_rng_;
  std::discrete_distribution<int> class_, tenant_, hall_;
  Zipf zipf_;
  std::vector<std::vector<std::uint32_t>> clients_;  // by zone
  double max_rate_;                                  // upper bound of Rate
  Duration at_{0};
  std::uint64_t serial_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_LOAD_SCHEDULE_H_
