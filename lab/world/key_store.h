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
  explicit KeyStore(double bytes) : most_(bytes) {}
  // Whether the key is stored; marks it as most recently used.
  bool Use(const std::string& key) {
    const auto it = places_.find(key);
    if (it == places_.end()) return false;
    order_.splice(order_.begin(), order_, it->second);
    return true;
  }
  void Put(const std::string& key, double bytes) {
    Drop(key);
    order_.push_front({key, bytes});
    places_.emplace(key, order_.begin());
    held_ += bytes;
    while (held_ > most_ && !order_.empty()) Drop(std::string(order_.back().key));
  }
  void Drop(const std::string& key) {
    const auto it = places_.find(key);
    if (it == places_.end()) return;
    held_ -= it->second->bytes;
    order_.erase(it->second);
    places_.erase(it);
  }
  void Clear() {
    order_.clear();
    places_.clear();
    held_ = 0;
  }
  std::size_t size() const { return places_.size(); }
  double bytes() const { return held_; }

 private:
  struct Entry {
    std::string key;
    double bytes = 0;
  };
  double most_, held_ = 0;
  std::list<Entry> order_;  // most recently used first
  std::unordered_map<std::string, std::list<Entry>::iterator> places_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_KEY_STORE_H_
