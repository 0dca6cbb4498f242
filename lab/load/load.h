// The load generator: clients that send each request at its scheduled time, whether or not earlier answers
// have arrived (an open loop), and that retry and reuse connections as real clients do. It runs its own
// event loop on its own thread.
#ifndef BRASSWOOD_LAB_LOAD_LOAD_H_
#define BRASSWOOD_LAB_LOAD_LOAD_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "core/slots.h"
#include "lab/base/lag_meter.h"
#include "lab/load/schedule.h"
#include "lab/truth/truth.h"
#include "net/loop.h"

namespace brasswood::lab {

class Load {
 public:
  // `routers`: their addresses, zone by zone; they need not listen yet.
  Load(const Scenario& scenario, const std::vector<std::string>& routers);
  ~Load();

  // Sends from `start` on until the scenario's length has passed and every client_request has ended, or
  // Stop. To be called on a thread of its own.
  void Run(Time start);
  // From any thread: nothing more is sent, and Run returns soon. Requests that are open then stay open.
  void Stop() { stop_ = true; }
  // From any thread.
  std::uint64_t sent() const { return sent_; }
  std::uint64_t served() const { return served_; }
  // After Run. A try that Stop interrupted has the end kOpen and no end time.
  LoadRecord TakeRecord();

 private:
  struct Connection {
    Load* load = nullptr;
    std::uint64_t id = 0;
    int router = 0;
    std::uint32_t client = 0;
    BufferPtr buffer;
    bool connected = false;    // established
    bool reused = false;       // a try on it has been answered
    long long try_index = -1;  // index of the open try in LoadRecord::tries; -1: none
    Deadlines::Id deadline;
    Deadlines::Id leave_timer;  // when its client closes it before the answer
    bool flood = false;         // opened by a flood or crowd fault: carries no request
    bool crowd = false;         // with `flood`: asks once whether the router is ready
  };
  struct ClientRequestState {  // the state of an client_request
    Arrival arrival;
    int tries = 0, unreachable = 0;
  };

  void SendDue();
  void StartNextTry(std::uint32_t client_request);
  void StartTry(std::uint32_t client_request, RequestId id, int number, bool resent);
  Connection* Open(int router, std::uint32_t client, bool flood);
  void OpenFloodConnection(int router, bool crowd);
  int PickRouter(int hall);
  void WriteTry(Connection& connection);
  void MaybeLeave(const Connection& connection);
  void OnRead(Connection& connection);
  void OnEvent(Connection& connection, short what);
  void EndTry(Connection& connection, TryOutcome end);
  void RetryOrFinish(const TryRecord& client_try);
  void KeepConnection(Connection& connection);
  void Close(std::uint64_t id);
  void StartFlood(const FaultPlan& fault);
  void Tick();

  const Scenario& scenario_;
  std::vector<sockaddr_in> routers_;
  std::vector<Time> down_until_;
  std::vector<double> weights_;  // by router
  Loop loop_{true};
  Schedule schedule_;
  Rng rng_;
  Time start_{0};
  std::optional<Arrival> next_;
  LoadRecord truth_;
  std::vector<ClientRequestState> states_;  // by client_request
  std::vector<Duration> lateness_;
  Slots<std::unique_ptr<Connection>> connections_;
  std::vector<std::vector<std::uint64_t>> idle_;  // connections by client; the most recently used last
  std::size_t open_intents_ = 0;
  bool flood_on_ = false;
  bool crowd_on_ = false;
  LagMeter lag_;
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> sent_{0}, served_{0};
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_LOAD_LOAD_H_
