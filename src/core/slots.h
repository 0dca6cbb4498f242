// A slot map. An id combines a slot index with the slot's generation, so that an id whose record was
// removed finds nothing instead of the next record in the same slot. Ids are never 0 and never reused.
#ifndef BRASSWOOD_CORE_SLOTS_H_
#define BRASSWOOD_CORE_SLOTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace brasswood {

template <class T>
class Slots {
 public:
  using Id = std::uint64_t;

  Id Add(T value) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t number = free_.back();
    free_.pop_back();
    Slot& slot = slots_[number];
    slot.value.emplace(std::move(value));
    ++size_;
    return Id{slot.generation} << 32 | number;
  }
  // The pointer is valid until the next Add.
  T* Find(Id id) {
    const auto number = static_cast<std::uint32_t>(id);
    if (number >= slots_.size()) return nullptr;
    Slot& slot = slots_[number];
    return slot.value && slot.generation == id >> 32 ? &*slot.value : nullptr;
  }
  const T* Find(Id id) const { return const_cast<Slots*>(this)->Find(id); }
  bool Remove(Id id) {
    if (Find(id) == nullptr) return false;
    const auto number = static_cast<std::uint32_t>(id);
    Slot& slot = slots_[number];
    slot.value.reset();
    if (++slot.generation != 0) free_.push_back(number);  // a slot whose generations ran out is not reused
    --size_;
    return true;
  }
  template <class F>
  void Each(F each) {
    for (std::size_t n = 0; n < slots_.size(); ++n) {
      if (slots_[n].value) each(Id{slots_[n].generation} << 32 | n, *slots_[n].value);
    }
  }
  std::size_t size() const { return size_; }

 private:
  struct Slot {
    std::uint32_t generation = 1;
    std::optional<T> value;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::size_t size_ = 0;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_SLOTS_H_
