// One clock for the whole program: Unix time, read once at the start and carried on by the steady clock, so
// that it compares with the boot times in the server list and yet never steps back.
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
                Steady()) {}
  Time Now() const { return offset_ + Steady(); }

 private:
  static Duration Steady() {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  }
  Duration offset_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_CLOCK_H_
