// The origin: slow, shared, over HTTP. It takes writes, drops the kept copies of what they change, stores
// what it served at the nodes that had missed, and stops for a while when it is sent far too much.
#ifndef BRASSWOOD_LAB_WORLD_ORIGIN_H_
#define BRASSWOOD_LAB_WORLD_ORIGIN_H_

#include "lab/world/machine.h"

namespace brasswood::lab {

class Origin : public Machine {
 public:
  Origin(World& world, const OriginPlan& plan);
  // Stops as a process that is gone, and comes back after `length`.
  void Stop(Duration length);

 private:
  void OnBytes(Peer& peer) override;
  void Reply(Peer& peer, std::size_t record, const std::string& body);
  void EndWhenWritten(std::uint64_t peer, bool in_order);
  void Worked(Peer& peer, const Attempt& attempt) override;

  OriginPlan plan_;
  PushMeter meter_;
  Time down_until_{0};
  struct Pending {
    std::string write_key;
    std::size_t request_class = 0;
  };
  std::unordered_map<std::size_t, Pending> pending_;     // by record
  std::unordered_map<std::string, Time> applied_keyed_;  // write keys, and when they took effect
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_ORIGIN_H_
