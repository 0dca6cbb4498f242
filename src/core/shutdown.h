// The graceful shutdown of a router as a state machine. Does no I/O.
//
//   serving --Begin--> accepting --Limits::shutdown_accept_time--> refusing --Limits::shutdown_timeout-->
//   time up
//
// While accepting, the listener stays open and requests are served as before, because the load balancer in
// front does not know about the shutdown yet. From last_new_work() on, every request that is read is
// refused at once, because the process may be killed before it could be answered. A request accepted
// earlier keeps its whole deadline, up to time_up(). At time_up() every request that is still open is
// failed, so that each request gets a final answer.
#ifndef BRASSWOOD_CORE_SHUTDOWN_H_
#define BRASSWOOD_CORE_SHUTDOWN_H_

#include <optional>

#include "base/clock.h"
#include "config/limits.h"

namespace brasswood {

class Shutdown {
 public:
  enum class Phase { kServing, kAccepting, kRefusing, kTimeUp };

  explicit Shutdown(const Limits& limits) : limits_(limits) {}

  // The stop signal was received at `at`. Call it once.
  void Begin(Time at) { begun_ = at; }
  bool begun() const { return begun_.has_value(); }
  // Call these two only after Begin.
  Time last_new_work() const { return *begun_ + limits_.shutdown_accept_time; }
  Time time_up() const { return *begun_ + limits_.shutdown_timeout; }

  Phase At(Time now) const {
    if (!begun_) return Phase::kServing;
    if (now < last_new_work()) return Phase::kAccepting;
    return now < time_up() ? Phase::kRefusing : Phase::kTimeUp;
  }
  // Whether a request that is read now may be forwarded.
  bool AcceptsWork(Time now) const { return At(now) < Phase::kRefusing; }

 private:
  const Limits& limits_;
  std::optional<Time> begun_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_SHUTDOWN_H_
