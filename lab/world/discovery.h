// Discovery: the list of machines, whole or as a watch on changes, over HTTP.
#ifndef BRASSWOOD_LAB_WORLD_DISCOVERY_H_
#define BRASSWOOD_LAB_WORLD_DISCOVERY_H_

#include <string>
#include <vector>

#include "lab/world/server.h"

namespace brasswood::lab {

class World;

enum class Listed { kInService, kTerminating, kTerminated };

class Discovery : public Server {
 public:
  Discovery(World& world, int number, int routers);
  // Lists the machine so, from now on; the world sees to lateness.
  void List(int machine, Listed state);
  // In discovery's form, as this router would be told it now.
  std::string Whole(int router) const;

 private:
  struct Entry {
    int machine = 0;
    Listed state = Listed::kInService;
    std::int64_t rev = 0;
  };
  struct Watch {
    std::uint64_t peer = 0;
    std::int64_t since = 0;
    Deadlines::Id deadline;
  };
  void OnBytes(Peer& peer) override;
  void OnGone(Peer& peer, bool reset) override;
  void Tell(Peer& peer, std::int64_t since, bool whole);
  std::string Text(int router, std::int64_t since, bool whole) const;

  World& world_;
  std::vector<Entry> entries_;
  std::vector<Watch> watches_;
  std::int64_t rev_ = 1;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_DISCOVERY_H_
