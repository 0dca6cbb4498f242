// Records the drains, removals and returns that discovery's answers contained, for the run-time checks. It
// is independent of the server directory, which it checks, and is fed with the answers as received. Does no
// I/O.
#ifndef BRASSWOOD_DISCOVERY_AVAILABILITY_RECORD_H_
#define BRASSWOOD_DISCOVERY_AVAILABILITY_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "discovery/server_list.h"

namespace brasswood {

class AvailabilityRecord {
 public:
  // Records an applicable list: a whole list, or changes from a version that is held.
  void RecordList(const ServerList& list, Time arrived) {
    for (const ServerEntry& entry : list.entries) RecordEntry(entry, list.version, arrived);
    if (!list.is_whole) return;
    std::set<std::string> named;
    for (const ServerEntry& entry : list.entries) named.insert(entry.uid);
    for (auto& [uid, state] : states_) {
      if (!named.contains(uid)) UpdateState(state, true, list.version, arrived);
    }
    std::erase_if(states_, [arrived](const auto& state) {
      return state.second.out_since && arrived - *state.second.out_since > kRemovedRetention;
    });
  }
  // Records entries of an incomplete answer. A return to service counts only once the answer is complete.
  void RecordPart(const ServerList& part, Time arrived) {
    for (const ServerEntry& entry : part.entries) {
      if (entry.availability != beechledge::Availability::kUp) RecordEntry(entry, part.version, arrived);
    }
  }
  // Discovery restarted with lower versions.
  void Reset() { states_.clear(); }

  // Whether a request may be sent to the server, according to the newest version that mentions it. A server
  // that no answer mentioned comes from the configured list.
  bool MaySend(const std::string& uid, Time now, Duration grace) const {
    const auto state = states_.find(uid);
    return state == states_.end() || !state->second.out_since || now - *state->second.out_since < grace;
  }

 private:
  static constexpr Duration kRemovedRetention = std::chrono::seconds(60);
  struct State {
    std::int64_t version = -1;
    std::optional<Time> out_since;  // when its drain or removal was first received
  };

  void RecordEntry(const ServerEntry& entry, std::int64_t version, Time arrived) {
    UpdateState(states_[entry.uid], entry.availability != beechledge::Availability::kUp, version, arrived);
  }
  static void UpdateState(State& state, bool out, std::int64_t version, Time arrived) {
    if (version < state.version) return;
    const bool newer = version > state.version;
    state.version = version;
    if (out) {
      state.out_since = std::min(state.out_since.value_or(arrived), arrived);
    } else if (newer) {
      state.out_since.reset();
    }
  }

  std::map<std::string, State> states_;  // by uid
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_AVAILABILITY_RECORD_H_
