// When each request is meant to be sent, and what it asks for: drawn ahead from the seed alone, so that
// nothing a router does can shift it (an open loop).
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
  long long key = 0;  // the number that KeyName names
  RequestId id = 0;
};

class Schedule {
 public:
  // `scenario` must outlive it.
  explicit Schedule(const Scenario& scenario);
  // The next one; none once the length has passed.
  std::optional<Arrival> Next();
  // The id of a further try of the same intent.
  static RequestId Again(RequestId first, int number) {
    return Mix(first ^ static_cast<std::uint64_t>(number) << 56);
  }

 private:
  double Rate(Duration at) const;

  const Scenario& scenario_;
  Rng when_, what_;
  std::discrete_distribution<int> class_, tenant_, hall_;
  Zipf zipf_;
  std::vector<std::vector<std::uint32_t>> clients_;  // by hall
  double most_;                                      // no rate is above it
  Duration at_{0};
  std::uint64_t serial_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_LOAD_SCHEDULE_H_
