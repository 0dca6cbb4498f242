// The router before a discovery that is slow, stops half way, says nothing or moves: how soon it hears of a
// server that drains.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "world.h"

using namespace brasswood::testing;
using namespace std::chrono_literals;

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

std::string Replaced(std::string text, const std::string& what, const std::string& with) {
  const std::size_t at = text.find(what);
  REQUIRE(at != text.npos);
  return text.replace(at, what.size(), with);
}

std::string Pushed(const std::string& config) {
  return Replaced(config, R"("registry_mode":"on_request")", R"("registry_mode":"pushed")");
}

double SecondsSince(SteadyTime from) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

// Does the log say so within `patience`?
bool HearsOfDrain(Process& process, const std::string& uid, std::chrono::seconds patience = 8s) {
  const SteadyTime from = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - from < patience) {
    std::string line;
    try {
      line = process.err.Until("\n");
    } catch (const std::runtime_error&) {  // nothing was logged for long
      return false;
    }
    if (line.empty()) return false;
    if (line.find("server " + uid + " at ") != line.npos && line.find(" is terminating") != line.npos)
      return true;
  }
  return false;
}

// A discovery that answers every call with one list, `take` after it came; in turn, or each by itself.
class SlowDiscovery {
 public:
  SlowDiscovery(std::chrono::milliseconds take, bool in_turn, std::size_t unanswered = 0)
      : take_(take), in_turn_(in_turn), unanswered_(unanswered), thread_([this] { Serve(); }) {}
  ~SlowDiscovery() {
    stop_ = true;
    thread_.join();
  }
  const std::string& address() const { return listener_.address(); }
  void Tell(const std::string& answer) {
    const std::lock_guard lock(lock_);
    answer_ = answer;
    told_ = true;
  }

 private:
  struct Caller {
    int fd;
    std::string in;
    SteadyTime due{};
    bool waits = false;  // for its answer
    bool held = false;   // left without one
    bool was_told = false;
  };
  void Serve() {
    while (!stop_) {
      std::vector<pollfd> polled = {{listener_.get(), POLLIN, 0}};
      for (const Caller& caller : callers_) {
        polled.push_back({caller.waits || caller.held ? -1 : caller.fd, POLLIN, 0});
      }
      ::poll(polled.data(), polled.size(), 5);
      for (std::size_t i = 0; i < callers_.size(); ++i) {
        if (polled[i + 1].revents != 0) ReadFrom(callers_[i]);
      }
      if (polled[0].revents != 0) {
        const int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
        callers_.push_back({fd, {}});
      }
      Answer();
    }
    for (const Caller& caller : callers_) ::close(caller.fd);
  }
  void ReadFrom(Caller& caller) {
    char bytes[4096];
    const ssize_t n = ::read(caller.fd, bytes, sizeof bytes);
    if (n <= 0) {
      caller.held = true;
      return;
    }
    caller.in.append(bytes, static_cast<std::size_t>(n));
    if (caller.in.find("\r\n\r\n") == std::string::npos) return;
    caller.in.clear();
    if (calls_++ < unanswered_) {
      caller.held = true;
      return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    caller.waits = true;
    caller.due = (in_turn_ ? std::max(now, free_) : now) + take_;
    free_ = caller.due;  // it works on each call, forsaken or not
  }
  void Answer() {
    const std::lock_guard lock(lock_);
    if (!told_) return;
    const SteadyTime now = std::chrono::steady_clock::now();
    for (Caller& caller : callers_) {
      if (!caller.waits || caller.due > now) continue;
      if (caller.was_told) continue;  // a watch: nothing is new
      caller.waits = false;
      caller.was_told = true;
      ::send(caller.fd, answer_.data(), answer_.size(), MSG_NOSIGNAL);
    }
  }

  Listener listener_;
  const std::chrono::milliseconds take_;
  const bool in_turn_;
  const std::size_t unanswered_;
  std::size_t calls_ = 0;
  SteadyTime free_{};
  std::vector<Caller> callers_;
  std::mutex lock_;
  std::string answer_;
  bool told_ = false;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace

// Guards against news that waits behind a dead answer for longer than a drain's grace.
TEST_CASE("an answer that tells of a drain and stops half way is made up for within the grace") {
  Listener node, other;
  Router router(Target("s1", node.address(), "in_service") + "," +
                Target("s2", other.address(), "in_service"));
  Fd watch = router.discovery.Accept();
  WatchCall(watch);
  const std::string whole = Http(List(
      2, false,
      Target("s1", node.address(), "terminating") + "," + Target("s2", other.address(), "terminating")));
  const std::size_t second = whole.find(R"({"uid":"s2")");
  watch.Write(whole.substr(0, second + 20));  // s1's entry is whole, s2's is not; the connection stays open
  const SteadyTime written = std::chrono::steady_clock::now();
  Fd beside = router.discovery.Accept();
  CHECK(WatchCall(beside).starts_with("GET /api/targets?since=1&timeout_ms=0 "));
  CHECK(SecondsSince(written) < 0.8);
  CHECK(HearsOfDrain(router.process, "s1"));  // from the part that came
  beside.Write(whole);
  CHECK(HearsOfDrain(router.process, "s2"));
  CHECK(WatchCall(beside).starts_with("GET /api/targets?since=2&"));
}

// Guards against a chain of time-outs, each of which begins again behind all others.
TEST_CASE("after SIGHUP a drain is heard of, however discovery takes the calls") {
  Listener node, nobody;
  const std::string drains = Http(List(2, true, Target("s1", node.address(), "terminating")));
  const std::string known = Target("s1", node.address(), "in_service");
  const auto config = [&](const std::string& discovery, bool pushed) {
    const std::string text = Router::Config(discovery, known);
    return pushed ? Pushed(text) : text;
  };
  for (const bool pushed : {false, true}) {
    DYNAMIC_SECTION("each answer takes 2.2 s, lists are " << (pushed ? "pushed" : "asked for")) {
      SlowDiscovery slow(2200ms, false);
      slow.Tell(drains);
      Process process = Start(config(nobody.address(), pushed), nobody.address());
      process.Reload(config(slow.address(), pushed));
      const SteadyTime moved = std::chrono::steady_clock::now();
      CHECK(HearsOfDrain(process, "s1"));
      CHECK(SecondsSince(moved) < 5);
    }
  }
  SECTION("the first four calls are left unanswered, lists are pushed") {
    SlowDiscovery deaf(0ms, false, 4);
    deaf.Tell(drains);
    Process process = Start(config(nobody.address(), true), nobody.address());
    process.Reload(config(deaf.address(), true));
    const SteadyTime moved = std::chrono::steady_clock::now();
    CHECK(HearsOfDrain(process, "s1"));
    CHECK(SecondsSince(moved) < 4.5);  // what the agent has counts 4 s after SIGHUP
  }
  SECTION("calls of eight routers are served in turn, 0.3 s each, with SIGHUP three times in a row") {
    constexpr int kRouters = 8;
    SlowDiscovery in_turn(300ms, true);
    in_turn.Tell(drains);
    const auto fleet = [&](const std::string& discovery) {
      return Replaced(config(discovery, false), R"("balancers":1,)", R"("balancers":8,)");
    };
    std::vector<Process> processes;
    for (int i = 0; i < kRouters; ++i)
      processes.push_back(Start(fleet(nobody.address()), nobody.address()));
    for (int again = 0; again < 3; ++again) {
      for (Process& process : processes) process.Reload(fleet(in_turn.address()));
      std::this_thread::sleep_for(100ms);
    }
    const SteadyTime moved = std::chrono::steady_clock::now();
    for (Process& process : processes) CHECK(HearsOfDrain(process, "s1"));
    CHECK(SecondsSince(moved) < 6);
  }
}

// Guards against hearing nothing from a new configuration on until its discovery answers.
TEST_CASE("after SIGHUP the old watch's news counts until the new address has told its list") {
  Listener node, elsewhere, later;
  Router router(Target("s1", node.address(), "in_service"));
  Fd old = router.discovery.Accept();
  WatchCall(old);
  router.process.Reload(Router::Config(elsewhere.address(), ""));
  Fd passing = elsewhere.Accept();
  WatchCall(passing);  // and no answer
  old.Write(Http(List(2, false, Target("s1", node.address(), "terminating"))));
  CHECK(HearsOfDrain(router.process, "s1"));
  CHECK(WatchCall(old).starts_with("GET /api/targets?since=2&"));
  router.process.Reload(Router::Config(later.address(), ""));
  CHECK(passing.Ended());
  Fd fresh = later.Accept();
  CHECK(WatchCall(fresh).starts_with("GET /api/targets HTTP/1.1\r\n"));
  fresh.Write(Http(List(1, true, Target("s1", node.address(), "in_service"))));
  CHECK(WatchCall(fresh).starts_with("GET /api/targets?since=1&"));
  CHECK(old.Ended());
  router.process.Reload(Router::Config(elsewhere.address(), ""));  // there and back again
  Fd there = elsewhere.Accept();
  WatchCall(there);
  router.process.Reload(Router::Config(later.address(), ""));
  CHECK(there.Ended());
  fresh.Write(Http(List(2, false, Target("s1", node.address(), "terminating"))));
  CHECK(WatchCall(fresh).starts_with("GET /api/targets?since=2&"));  // the same watch went on
}
