// An emulated cache server: stores values by key, answers reads of stored keys with a value and every other
// request with a miss.
#ifndef BRASSWOOD_LAB_WORLD_CACHE_SERVER_H_
#define BRASSWOOD_LAB_WORLD_CACHE_SERVER_H_

#include "core/interfaces.h"
#include "lab/world/backend_server.h"
#include "lab/world/key_store.h"

namespace brasswood::lab {

class CacheServer : public BackendServer {
 public:
  CacheServer(World& world, int number, const NodePlan& plan);
  KeyStore& store() { return store_; }
  const NodePlan& plan() const { return plan_; }
  // Starts its process again at the same addresses, cold and with an empty store.
  void Restart();
  bool alive() const { return alive_; }
  void Kill();
  // From now on it rejects every request as busy.
  void RejectAll() { rejecting_ = true; }

 private:
  void OnConnected(Peer& peer) override;
  void OnData(Peer& peer) override;
  void OnWorkDone(Peer& peer, const Attempt& attempt) override;
  void HandleRequest(Peer& peer, const RequestContent& request);

  NodePlan plan_;
  KeyStore store_;
  OverloadMeter meter_;
  bool alive_ = true, rejecting_ = false;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_CACHE_SERVER_H_
