// What cache servers and the origin have in common: they receive attempts, process them on a limited number
// of cores, answer in order, cancel an attempt when its connection closes, and record each attempt.
#ifndef BRASSWOOD_LAB_WORLD_BACKEND_SERVER_H_
#define BRASSWOOD_LAB_WORLD_BACKEND_SERVER_H_

#include <string>
#include <unordered_map>

#include "lab/base/plan.h"
#include "lab/truth/overload_meter.h"
#include "lab/truth/truth.h"
#include "lab/world/server.h"
#include "lab/world/work_queue.h"

namespace brasswood::lab {

class World;

// Injected faults of a server.
struct InjectedFaults {
  bool hang = false;     // accepts requests and answers none
  double speed = 1;      // relative to its normal speed
  double reset = 0;      // share of its answers that are replaced by a reset of the connection
  double half = 0;       // share that stop half-way
  double garbage = 0;    // share that are replaced by garbage
  double no_length = 0;  // origin only: share that state no length
};

class BackendServer : public Server {
 public:
  BackendServer(World& world, int number, int cores, double core_speed, int waiting);

  InjectedFaults& faults() { return faults_; }
  int number() const { return number_; }
  // Changes how many cores it has from now on; at least one.
  void SetCores(int cores);
  // If the router has closed this connection, closes it here too and records the end of its attempts.
  void CheckClosed(std::uint64_t peer);

 protected:
  struct Attempt {  // being processed or queued
    std::uint64_t peer = 0;
    std::size_t record = 0;
    double work_s = 0;
    std::string key;
    Deadlines::Id deadline;
  };
  ServerRecord& server_record();
  // Records an attempt that has been received completely.
  std::size_t RecordAttempt(Peer& peer, RequestId id, double work_s, bool write);
  // Processes the attempt on a core, now or once one is free; false if the queue is full.
  bool Enqueue(Peer& peer, std::size_t record, double work_s, std::string key);
  void FinishAttempt(Peer& peer, std::size_t record, AttemptOutcome outcome, std::string text);
  // The work of the attempt is done: writes its answer.
  virtual void OnWorkDone(Peer& peer, const Attempt& attempt) = 0;
  void OnClosed(Peer& peer, bool reset) override;
  // The value that a server makes for an attempt. It contains the request's id and a serial number, so no
  // two attempts have the same value.
  std::string MakeValue(RequestId id, std::uint32_t serial, std::size_t size) const;

  World& world_;
  InjectedFaults faults_;
  Rng rng_;

 private:
  void StartWork(WorkQueue::Token token);
  void FinishWork(WorkQueue::Token token);

  int number_;
  double core_speed_;
  WorkQueue work_queue_;
  Slots<Attempt> attempts_;
  std::unordered_map<std::size_t, WorkQueue::Token> active_by_record_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_BACKEND_SERVER_H_
