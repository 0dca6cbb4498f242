// The load: clients that send what the schedule says when it says so, whether or not earlier answers have
// come, and that retry and keep connections as real ones do. It runs on a loop and a thread of its own.
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
  // The routers' addresses, hall by hall; they need not listen yet.
  Load(const Scenario& scenario, const std::vector<std::string>& routers);
  ~Load();

  // Sends from `start` on until the scenario's length has passed and every intent has ended, or Stop. To be
  // called on a thread of its own.
  void Run(Time start);
  // From any thread: sends nothing more; Run returns soon, and what was open by then is left open.
  void Stop() { stop_ = true; }
  // From any thread.
  std::uint64_t sent() const { return sent_; }
  std::uint64_t served() const { return served_; }
  // After Run. A try that Stop cut off has no end, and no time of it.
  LoadTruth TakeTruth();

 private:
  struct Connection {
    Load* load = nullptr;
    std::uint64_t id = 0;
    int router = 0;
    std::uint32_t client = 0;
    BufferPtr buffer;
    bool up = false;
    bool used = false;      // has carried a try that was answered
    long long record = -1;  // the try that it carries; -1: none
    Deadlines::Id deadline;
    Deadlines::Id leaves;  // its client closes it before the answer
    bool flood = false;
    bool crowd = false;  // of those: it asks once whether the router is ready
  };
  struct Work {  // an intent under way
    Arrival arrival;
    int tries = 0, unreached = 0;
  };

  void SendDue();
  void Begin(std::uint32_t intent);
  void Put(std::uint32_t intent, RequestId id, int number, bool resent);
  Connection* Open(int router, std::uint32_t client, bool flood);
  void OpenIdle(int router, bool crowd);
  int PickRouter(int hall);
  void WriteTry(Connection& c);
  void MayLeave(const Connection& c);
  void OnRead(Connection& c);
  void OnEvent(Connection& c, short what);
  void Finish(Connection& c, TryEnd end);
  void Settle(const TryRecord& t);
  void Rest(Connection& c);
  void Close(std::uint64_t id);
  void Flood(const FaultPlan& fault);
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
  LoadTruth truth_;
  std::vector<Work> works_;  // by intent
  std::vector<Duration> lateness_;
  Slots<std::unique_ptr<Connection>> connections_;
  std::vector<std::vector<std::uint64_t>> idle_;  // by client; the most recent last
  std::size_t open_intents_ = 0;
  bool flooding_ = false;
  bool crowding_ = false;
  LagMeter lag_;
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> sent_{0}, served_{0};
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_LOAD_LOAD_H_
