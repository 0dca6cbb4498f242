// Every deadline of the router, in one ordered structure: those due at one moment run in the order in which
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
    const Id id{at, ++last_};
    due_.emplace(id, std::move(run));
    if (due_.begin()->first == id && on_earlier_) on_earlier_();
    return id;
  }
  // Takes the deadline back and forgets its id; one that has run or was never set is passed over.
  void Drop(Id& id) {
    due_.erase(id);
    id = {};
  }
  std::optional<Time> Next() const {
    return due_.empty() ? std::nullopt : std::optional<Time>(due_.begin()->first.first);
  }
  // Runs what is due at `now`. What is set meanwhile waits for the next call, so that a deadline that sets
  // itself again cannot hold the loop.
  void Run(Time now) {
    const std::uint64_t until = last_;
    while (!due_.empty()) {
      auto it = due_.begin();
      while (it != due_.end() && it->first.second > until) ++it;
      if (it == due_.end() || it->first.first > now) return;
      const auto run = std::move(it->second);
      due_.erase(it);
      run();
    }
  }
  // Called whenever the earliest deadline moves forward.
  void OnEarlier(std::function<void()> call) { on_earlier_ = std::move(call); }

 private:
  std::map<Id, std::function<void()>> due_;
  std::uint64_t last_ = 0;
  std::function<void()> on_earlier_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_DEADLINES_H_
