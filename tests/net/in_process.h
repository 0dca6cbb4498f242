// The router's parts in this process, on a thread of their own, with limits of the test's choosing: an
// order of events that the program's own limits would take seconds to show, and that no limit may hide.
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
#include "net/client_front.h"
#include "net/discovery_watch.h"
#include "net/loop.h"
#include "world.h"

namespace brasswood::testing {

class InProcess {
 public:
  // `config` as the program reads it; `change` has the last word on its limits.
  InProcess(const std::string& config, const std::function<void(Limits&)>& change) {
    SetLog(quiet_, Level::kOff);
    std::promise<std::uint16_t> listens;
    auto port = listens.get_future();
    thread_ = std::thread([this, config, change, &listens] { Run(config, change, listens); });
    port_ = port.get();
  }
  ~InProcess() {
    stop_ = true;
    thread_.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  Fd Connect() const { return ConnectTo(address()); }
  // While this holds, the router's loop does nothing: all that happens meanwhile it finds in one turn.
  void Freeze() {
    frozen_ = true;
    while (!standing_) std::this_thread::yield();
  }
  void Thaw() {
    frozen_ = false;
    while (standing_) std::this_thread::yield();
  }

 private:
  void Run(const std::string& text, const std::function<void(Limits&)>& change,
           std::promise<std::uint16_t>& listens) {
    Config config = ReadConfig(text, "", "", "", "");
    change(config.limits);
    const Limits& limits = config.limits;
    Loop loop;
    Counters counters;
    Engine engine(
        config.settings.module, 1, limits, [&loop] { return loop.Now(); }, loop.deadlines(), counters);
    ConnBudget budget;
    CacheServerPool servers(loop, engine, limits, counters, budget);
    OriginClient origin(loop, engine, limits, counters, budget);
    DiscoveryWatch watch(loop, engine, limits, config.settings, config.discovery, config.known.rev);
    engine.Attach(servers, origin, watch);
    engine.Remember(config.known);
    ClientFront front(loop, engine, limits, config.settings.names, counters, config.listen);
    const std::function<void()> look = [&] {
      standing_ = true;
      while (frozen_ && !stop_) std::this_thread::yield();
      standing_ = false;
      if (stop_) return loop.Stop();
      loop.deadlines().Set(loop.Now() + std::chrono::milliseconds(2), look);
    };
    look();
    listens.set_value(front.port());
    loop.Run();
  }

  std::ostringstream quiet_;
  std::atomic<bool> stop_{false}, frozen_{false}, standing_{false};
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace brasswood::testing

#endif  // BRASSWOOD_TESTS_NET_IN_PROCESS_H_
