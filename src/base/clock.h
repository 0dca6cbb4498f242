// The clock of the whole program: Unix time, read once at the start and advanced by the steady clock. It
// can be compared with the boot times in the server list, and it never steps back.
#ifndef BRASSWOOD_BASE_CLOCK_H_
#define BRASSWOOD_BASE_CLOCK_H_

#include <chrono>

namespace brasswood {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since the Unix epoch

class Clock {
 public:
  Clock()
      : offset_(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
                SteadyNow()) {}
  Time Now() const { return offset_ + SteadyNow(); }

 private:
  static Duration SteadyNow() {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  }
  Duration offset_;  // Unix time minus steady time, at construction
};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_CLOCK_H_
