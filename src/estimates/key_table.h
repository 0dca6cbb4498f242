// Which servers are believed to hold a key, from the answers this balancer has seen. Performs no I/O.
#ifndef BEECHLEDGE_ESTIMATES_KEY_TABLE_H_
#define BEECHLEDGE_ESTIMATES_KEY_TABLE_H_

#include <list>
#include <unordered_map>
#include <vector>

#include "beechledge/balancer.h"

namespace beechledge {

struct Holder {
  ServerId server;
  std::uint32_t incarnation;  // of the server when it got the key; a restart empties it
  bool confirmed = false;     // it has answered a request for this key
};

// Maps keys to their holders, for at most kMaxKeys keys; the least recently used key is evicted first.
class KeyTable {
 public:
  static constexpr std::size_t kMaxKeys = 1 << 16;
  struct Entry {
    std::uint64_t key;
    std::vector<Holder> holders;
    Time last_needed{0};  // when more than one holder was last needed
    // Single-flight: a fetch of this key is in progress until its outcome, or until this time at the
    // latest.
    Time fetch_until{-1};
  };
  Entry* Find(std::uint64_t key) {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &*it->second;
  }
  // Finds or adds the entry and makes it the most recently used.
  Entry& Touch(std::uint64_t key, Time now) {
    const auto it = index_.find(key);
    if (it != index_.end()) {
      by_recency_.splice(by_recency_.begin(), by_recency_, it->second);
      return by_recency_.front();
    }
    if (index_.size() >= kMaxKeys) {
      index_.erase(by_recency_.back().key);
      by_recency_.pop_back();
    }
    by_recency_.push_front({key, {}, now, Time(-1)});
    index_.emplace(key, by_recency_.begin());
    return by_recency_.front();
  }

  // Calls `f` for at most `max` entries, most recently used first.
  template <class F>
  void ForEach(std::size_t max, F f) const {
    for (auto it = by_recency_.begin(); it != by_recency_.end() && max > 0; ++it, --max) f(*it);
  }

 private:
  std::list<Entry> by_recency_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_KEY_TABLE_H_
