// Which servers are thought to hold a key, from the answers this balancer has seen. Free of I/O; bounded.
#ifndef BEECHLEDGE_SIGHT_KEY_TABLE_H_
#define BEECHLEDGE_SIGHT_KEY_TABLE_H_

#include <list>
#include <unordered_map>
#include <vector>

#include "beechledge/balancer.h"

namespace beechledge {

struct Holder {
  ServerId server;
  std::uint32_t incarnation;
  bool confirmed = false;  // it has answered for this key
};

// The key table: which servers are thought to hold a key. Bounded; the least recently used key goes first.
class KeyTable {
 public:
  static constexpr std::size_t kMaxKeys = 1 << 16;  // keys remembered
  struct Entry {
    std::uint64_t key;
    std::vector<Holder> holders;
    Time last_needed{0};  // when more holders than one were last needed
    Time fetch_until{
        -1};  // single-flight: a fetch of this key is out until its outcome, or this at the latest
  };
  Entry* Find(std::uint64_t key) {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &*it->second;
  }
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

  // The most recently used first, at most so many.
  template <class F>
  void ForEach(std::size_t max, F f) const {
    for (auto it = by_recency_.begin(); it != by_recency_.end() && max > 0; ++it, --max) f(*it);
  }

 private:
  std::list<Entry> by_recency_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_KEY_TABLE_H_
