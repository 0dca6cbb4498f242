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
  static constexpr std::size_t kMost = 1 << 16;  // keys remembered
  struct Entry {
    std::uint64_t key;
    std::vector<Holder> holders;
    Time busy_at{0};  // when more holders than one were last needed
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
      order_.splice(order_.begin(), order_, it->second);
      return order_.front();
    }
    if (index_.size() >= kMost) {
      index_.erase(order_.back().key);
      order_.pop_back();
    }
    order_.push_front({key, {}, now, Time(-1)});
    index_.emplace(key, order_.begin());
    return order_.front();
  }

  // The most recently used first, at most so many.
  template <class F>
  void Each(std::size_t most, F f) const {
    for (auto it = order_.begin(); it != order_.end() && most > 0; ++it, --most) f(*it);
  }

 private:
  std::list<Entry> order_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_KEY_TABLE_H_
