// The store of a cache server: keys with their sizes, evicted in least-recently-used order.
#ifndef BRASSWOOD_LAB_WORLD_KEY_STORE_H_
#define BRASSWOOD_LAB_WORLD_KEY_STORE_H_

#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace brasswood::lab {

class KeyStore {
 public:
  explicit KeyStore(double bytes) : limit_(bytes) {}
  // Whether the key is stored; marks it as most recently used.
  bool Use(const std::string& key) {
    const auto it = index_.find(key);
    if (it == index_.end()) return false;
    order_.splice(order_.begin(), order_, it->second);
    return true;
  }
  void Put(const std::string& key, double bytes) {
    Drop(key);
    order_.push_front({key, bytes});
    index_.emplace(key, order_.begin());
    used_ += bytes;
    while (used_ > limit_ && !order_.empty()) Drop(std::string(order_.back().key));
  }
  void Drop(const std::string& key) {
    const auto it = index_.find(key);
    if (it == index_.end()) return;
    used_ -= it->second->bytes;
    order_.erase(it->second);
    index_.erase(it);
  }
  void Clear() {
    order_.clear();
    index_.clear();
    used_ = 0;
  }
  std::size_t size() const { return index_.size(); }
  double bytes() const { return used_; }

 private:
  struct Entry {
    std::string key;
    double bytes = 0;
  };
  double limit_, used_ = 0;
  std::list<Entry> order_;  // most recently used first
  std::unordered_map<std::string, std::list<Entry>::iterator> index_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_KEY_STORE_H_
