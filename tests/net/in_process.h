// Runs the components of the router in the test process, on a thread of their own and with limits that the
// test chooses. With the program's own limits some orders of events would take seconds to occur, or would
// be prevented by a limit.
#ifndef BRASSWOOD_TESTS_NET_IN_PROCESS_H_
#define BRASSWOOD_TESTS_NET_IN_PROCESS_H_

#include <atomic>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

#include "base/log.h"
#include "config/config.h"
#include "core/engine.h"
#include "net/attempt_pool.h"
#include "net/client_front_end.h"
#include "net/discovery_client.h"
#include "net/loop.h"
#include "world.h"

namespace brasswood::testing {

class InProcess {
 public:
  // `config`: as read by the program; `change` adjusts the limits that follow from it.
  InProcess(const std::string& config, const std::function<void(Limits&)>& change) {
    SetLog(log_, Level::kOff);
    std::promise<std::uint16_t> listening;
    auto port = listening.get_future();
    thread_ = std::thread([this, config, change, &listening] { Run(config, change, listening); });
    port_ = port.get();
  }
  ~InProcess() {
    stop_ = true;
    thread_.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  Fd Connect() const { return ConnectTo(address()); }
  // Blocks the router's event loop until Thaw: it then finds all that happened meanwhile in one iteration.
  void Freeze() {
    frozen_ = true;
    while (!blocked_) std::this_thread::yield();
  }
  void Thaw() {
    frozen_ = false;
    while (blocked_) std::this_thread::yield();
  }

 private:
  void Run(const std::string& text, const std::function<void(Limits&)>& change,
           std::promise<std::uint16_t>& listening) {
    Config config = ReadConfig(text, "", "", "", "");
    change(config.limits);
    const Limits& limits = config.limits;
    Loop loop;
    Counters counters;
    Engine engine(
        config.settings.module, 1, limits, [&loop] { return loop.Now(); }, loop.deadlines(), counters);
    ConnectionBudget budget;
    CacheServerPool servers(loop, engine, limits, counters, budget);
    OriginClient origin(loop, engine, limits, counters, budget);
    DiscoveryClient watch(loop, engine, limits, config.settings, config.discovery, config.known.version);
    engine.Attach(servers, origin, watch);
    engine.SetInitialList(config.known);
    ClientFrontEnd front(loop, engine, limits, config.settings.names, counters, config.listen);
    const std::function<void()> poll_control = [&] {
      blocked_ = true;
      while (frozen_ && !stop_) std::this_thread::yield();
      blocked_ = false;
      if (stop_) return loop.Stop();
      loop.deadlines().Set(loop.Now() + std::chrono::milliseconds(2), poll_control);
    };
    poll_control();
    listening.set_value(front.port());
    loop.Run();
  }

  std::ostringstream log_;
  std::atomic<bool> stop_{false}, frozen_{false}, blocked_{false};
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace brasswood::testing

#endif  // BRASSWOOD_TESTS_NET_IN_PROCESS_H_
