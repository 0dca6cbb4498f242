// The emulated origin, reached over HTTP. It applies writes and drops the cache servers' copies of the keys
// they change, stores each value it serves at the cache servers that missed it, and stops for a while when
// it is overloaded.
#ifndef BRASSWOOD_LAB_WORLD_ORIGIN_H_
#define BRASSWOOD_LAB_WORLD_ORIGIN_H_

#include "lab/world/backend_server.h"

namespace brasswood::lab {

class Origin : public BackendServer {
 public:
  Origin(World& world, const OriginPlan& plan);
  // Behaves like a process that has ended, and starts again after `length`.
  void Stop(Duration length);

 private:
  void OnData(Peer& peer) override;
  void Reply(Peer& peer, std::size_t record, const std::string& body);
  void EndWhenWritten(std::uint64_t peer, bool in_order);
  void OnWorkDone(Peer& peer, const Attempt& attempt) override;

  OriginPlan plan_;
  OverloadMeter meter_;
  Time down_until_{0};
  struct Pending {
    std::string write_key;
    std::size_t request_class = 0;
  };
  std::unordered_map<std::size_t, Pending> pending_;     // by index of the attempt's record
  std::unordered_map<std::string, Time> applied_keyed_;  // when each write key was applied
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_ORIGIN_H_
