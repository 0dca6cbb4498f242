// The router's timers in one ordered structure. Timers due at the same moment run in the order in which
// they were set.
#ifndef BRASSWOOD_CORE_DEADLINES_H_
#define BRASSWOOD_CORE_DEADLINES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"

namespace brasswood {

class Deadlines {
 public:
  using Id = std::pair<Time, std::uint64_t>;  // {0, 0}: none

  Id Set(Time at, std::function<void()> run) {
    const Id id{at, ++last_sequence_};
    due_.emplace(id, std::move(run));
    if (due_.begin()->first == id && on_earlier_) on_earlier_();
    return id;
  }
  // Cancels the deadline and clears `id`. Does nothing if it has already run or was never set.
  void Cancel(Id& id) {
    due_.erase(id);
    id = {};
  }
  std::optional<Time> Next() const {
    return due_.empty() ? std::nullopt : std::optional<Time>(due_.begin()->first.first);
  }
  // Runs the deadlines due at `now`. A deadline set during this call waits for the next call, so that one
  // that sets itself again cannot block the event loop.
  void RunDue(Time now) {
    const std::uint64_t last_before = last_sequence_;
    while (!due_.empty()) {
      auto it = due_.begin();
      while (it != due_.end() && it->first.second > last_before) ++it;
      if (it == due_.end() || it->first.first > now) return;
      const auto run = std::move(it->second);
      due_.erase(it);
      run();
    }
  }
  // Sets a callback that runs whenever a new deadline becomes the earliest one.
  void OnEarlier(std::function<void()> call) { on_earlier_ = std::move(call); }

 private:
  std::map<Id, std::function<void()>> due_;
  std::uint64_t last_sequence_ = 0;
  std::function<void()> on_earlier_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_DEADLINES_H_
