// How soon the router receives a drain if discovery is slow, stops in the middle of an answer, does not
// answer or changes its address.
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

std::string WithPushedLists(const std::string& config) {
  return Replaced(config, R"("registry_mode":"on_request")", R"("registry_mode":"pushed")");
}

double SecondsSince(SteadyTime from) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

// Whether the router logs within `timeout` that the server drains.
bool LogsDrain(Process& process, const std::string& uid, std::chrono::seconds timeout = 8s) {
  const SteadyTime from = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - from < timeout) {
    std::string line;
    try {
      line = process.err.ReadUntil("\n");
    } catch (const std::runtime_error&) {  // no log line for a long time
      return false;
    }
    if (line.empty()) return false;
    if (line.find("server " + uid + " at ") != line.npos && line.find(" is terminating") != line.npos)
      return true;
  }
  return false;
}

// How a fake discovery handles calls.
struct CallHandling {
  std::chrono::milliseconds call_time{0};  // time from a call to its answer
  bool one_at_a_time = false;              // serves one call after the other; false: all concurrently
  std::size_t unanswered = 0;              // number of first calls that get no answer
};

// A discovery that answers every call with the same list.
class SlowDiscovery {
 public:
  explicit SlowDiscovery(const CallHandling& handling)
      : handling_(handling), thread_([this] { Serve(); }) {}
  ~SlowDiscovery() {
    stop_ = true;
    thread_.join();
  }
  const std::string& address() const { return listener_.address(); }
  void SetAnswer(const std::string& answer) {
    const std::lock_guard lock(lock_);
    answer_ = answer;
    answer_set_ = true;
  }

 private:
  struct Caller {
    int fd;
    std::string in;
    SteadyTime due{};
    bool waits = false;          // waits for its answer
    bool held = false;           // gets no answer
    bool received_list = false;  // has received the list
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
    if (calls_++ < handling_.unanswered) {
      caller.held = true;
      return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    caller.waits = true;
    caller.due = (handling_.one_at_a_time ? std::max(now, free_) : now) + handling_.call_time;
    free_ = caller.due;  // it processes each call, even if the router has closed it
  }
  void Answer() {
    const std::lock_guard lock(lock_);
    if (!answer_set_) return;
    const SteadyTime now = std::chrono::steady_clock::now();
    for (Caller& caller : callers_) {
      if (!caller.waits || caller.due > now) continue;
      if (caller.received_list) continue;  // a watch: there is no change
      caller.waits = false;
      caller.received_list = true;
      ::send(caller.fd, answer_.data(), answer_.size(), MSG_NOSIGNAL);
    }
  }

  Listener listener_;
  const CallHandling handling_;
  std::size_t calls_ = 0;
  SteadyTime free_{};
  std::vector<Caller> callers_;
  std::mutex lock_;
  std::string answer_;
  bool answer_set_ = false;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// A discovery that serves calls one after the other, a quarter of a second each, and refuses at once a call
// that would wait for more than two seconds. A refusal also fails the waiting calls of the same router and
// takes a tenth of the time of a call. Calls that their routers have closed are processed like all others.
// Each router reaches it at addresses of its own.
class CrowdedDiscovery {
 public:
  static constexpr std::size_t kAddresses = 4;

  CrowdedDiscovery(std::size_t routers, std::string answer)
      : listeners_(routers * kAddresses), answer_(std::move(answer)), thread_([this] { Serve(); }) {}
  ~CrowdedDiscovery() {
    stop_ = true;
    thread_.join();
  }
  const std::string& AddressOf(std::size_t router, std::size_t address) const {
    return listeners_[router * kAddresses + address].address();
  }

 private:
  enum class Call { kNone, kWaits, kHeld };
  struct Caller {
    std::size_t router = 0;
    Fd fd;
    std::string in;
    Call call = Call::kNone;
    SteadyTime due{};
  };
  static constexpr std::chrono::milliseconds kCallTime{250}, kMaxQueueTime{2000};

  void Serve() {
    while (!stop_) {
      std::vector<pollfd> polled;
      for (const Listener& listener : listeners_) polled.push_back({listener.get(), POLLIN, 0});
      for (const Caller& caller : callers_) polled.push_back({caller.fd.get(), POLLIN, 0});
      ::poll(polled.data(), polled.size(), 5);
      const std::size_t callers = callers_.size();
      for (std::size_t i = 0; i < listeners_.size(); ++i) {
        if (polled[i].revents != 0) callers_.push_back({i / kAddresses, listeners_[i].Accept()});
      }
      for (std::size_t i = 0; i < callers; ++i) {
        if (polled[listeners_.size() + i].revents != 0) ReadFrom(callers_[i]);
      }
      std::erase_if(callers_, [](const Caller& caller) { return caller.fd.get() < 0; });
      for (Caller& caller : callers_) AnswerDue(caller);
    }
  }
  void ReadFrom(Caller& caller) {
    char bytes[4096];
    const ssize_t n = ::read(caller.fd.get(), bytes, sizeof bytes);
    if (n <= 0) return caller.fd.Close();
    caller.in.append(bytes, static_cast<std::size_t>(n));
    if (caller.in.find("\r\n\r\n") == std::string::npos) return;
    const SteadyTime now = std::chrono::steady_clock::now();
    free_ = std::max(free_, now);
    if (free_ - now > kMaxQueueTime) return RefuseAll(caller);
    free_ += kCallTime;
    caller.due = free_;
    caller.call = Call::kWaits;
  }
  void RefuseAll(Caller& refused) {
    free_ += kCallTime / 10;
    refused.call = Call::kWaits;
    for (Caller& caller : callers_) {
      if (caller.router == refused.router && caller.call == Call::kWaits)
        Send(caller, HttpResponse("", "503 Service Unavailable"));
    }
  }
  void AnswerDue(Caller& caller) {
    if (caller.call != Call::kWaits || std::chrono::steady_clock::now() < caller.due) return;
    if (caller.in.find("since=2&timeout_ms=") == std::string::npos) return Send(caller, answer_);
    caller.call = Call::kHeld;  // there is no change
  }
  void Send(Caller& caller, const std::string& text) {
    ::send(caller.fd.get(), text.data(), text.size(), MSG_NOSIGNAL);
    caller.in.clear();
    caller.call = Call::kNone;
  }

  std::vector<Listener> listeners_;
  const std::string answer_;
  std::vector<Caller> callers_;
  SteadyTime free_{};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace

// Guards against a change that waits behind a stalled answer for longer than the grace period of a drain.
TEST_CASE(
    "after an answer with a drain that stops in the middle the rest is received within the grace period") {
  Listener node, other;
  Router router(ServerEntryJson("s1", node.address(), "in_service") + "," +
                ServerEntryJson("s2", other.address(), "in_service"));
  Fd watch = router.discovery.Accept();
  ReadCallHead(watch);
  const std::string whole =
      HttpResponse(ServerListJson(2, false,
                                  ServerEntryJson("s1", node.address(), "terminating") + "," +
                                      ServerEntryJson("s2", other.address(), "terminating")));
  const std::size_t second = whole.find(R"({"uid":"s2")");
  watch.Write(whole.substr(0, second + 20));  // s1's entry is whole, s2's is not; the connection stays open
  const SteadyTime written = std::chrono::steady_clock::now();
  Fd beside = router.discovery.Accept();
  CHECK(ReadCallHead(beside).starts_with("GET /api/targets?since=1&timeout_ms=0 "));
  CHECK(SecondsSince(written) < 0.8);
  CHECK(LogsDrain(router.process, "s1"));  // from the part that arrived
  beside.Write(whole);
  CHECK(LogsDrain(router.process, "s2"));
  CHECK(ReadCallHead(beside).starts_with("GET /api/targets?since=2&"));
}

// Guards against a chain of timeouts, after each of which the call goes to the end of discovery's queue.
TEST_CASE("after SIGHUP a drain is received, however slowly discovery handles the calls") {
  Listener node, nobody;
  const std::string drains =
      HttpResponse(ServerListJson(2, true, ServerEntryJson("s1", node.address(), "terminating")));
  const std::string known = ServerEntryJson("s1", node.address(), "in_service");
  const auto config = [&](const std::string& discovery, bool pushed) {
    const std::string text = Router::Config(discovery, known);
    return pushed ? WithPushedLists(text) : text;
  };
  for (const bool pushed : {false, true}) {
    DYNAMIC_SECTION("each answer takes 2.2 s, lists are " << (pushed ? "pushed" : "asked for")) {
      SlowDiscovery slow({.call_time = 2200ms});
      slow.SetAnswer(drains);
      Process process = Start(config(nobody.address(), pushed), nobody.address());
      process.Reload(config(slow.address(), pushed));
      const SteadyTime moved = std::chrono::steady_clock::now();
      CHECK(LogsDrain(process, "s1"));
      CHECK(SecondsSince(moved) < 5);
    }
  }
  SECTION("the first four calls are left unanswered, lists are pushed") {
    SlowDiscovery silent({.unanswered = 4});
    silent.SetAnswer(drains);
    Process process = Start(config(nobody.address(), true), nobody.address());
    process.Reload(config(silent.address(), true));
    const SteadyTime moved = std::chrono::steady_clock::now();
    CHECK(LogsDrain(process, "s1"));
    CHECK(SecondsSince(moved) < 4.5);  // what the agent has counts as received 4 s after SIGHUP
  }
  SECTION("calls of eight routers are served one by one, 0.3 s each, with SIGHUP three times in a row") {
    constexpr int kRouters = 8;
    SlowDiscovery queueing({.call_time = 300ms, .one_at_a_time = true});
    queueing.SetAnswer(drains);
    const auto fleet = [&](const std::string& discovery) {
      return Replaced(config(discovery, false), R"("balancers":1,)", R"("balancers":8,)");
    };
    std::vector<Process> processes;
    for (int i = 0; i < kRouters; ++i)
      processes.push_back(Start(fleet(nobody.address()), nobody.address()));
    for (int again = 0; again < 3; ++again) {
      for (Process& process : processes) process.Reload(fleet(queueing.address()));
      std::this_thread::sleep_for(100ms);
    }
    const SteadyTime moved = std::chrono::steady_clock::now();
    for (Process& process : processes) CHECK(LogsDrain(process, "s1"));
    CHECK(SecondsSince(moved) < 6);
  }
}

// Guards against receiving no changes from a new configuration on until its discovery answers.
TEST_CASE("after SIGHUP the old watch's changes are applied until the new address has sent its list") {
  Listener node, elsewhere, later;
  Router router(ServerEntryJson("s1", node.address(), "in_service"));
  Fd old = router.discovery.Accept();
  ReadCallHead(old);
  router.process.Reload(Router::Config(elsewhere.address(), ""));
  Fd intermediate = elsewhere.Accept();
  ReadCallHead(intermediate);  // gets no answer
  old.Write(HttpResponse(ServerListJson(2, false, ServerEntryJson("s1", node.address(), "terminating"))));
  CHECK(LogsDrain(router.process, "s1"));
  CHECK(ReadCallHead(old).starts_with("GET /api/targets?since=2&"));
  // A call to an address configured in between may wait in that discovery's queue: its answer is used too.
  router.process.Reload(Router::Config(later.address(), ""));
  Fd fresh = later.Accept();
  CHECK(ReadCallHead(fresh).starts_with("GET /api/targets HTTP/1.1\r\n"));
  const std::string back_in_service = ServerEntryJson("s1", node.address(), "in_service");
  intermediate.Write(HttpResponse(ServerListJson(
      3, true, back_in_service + "," + ServerEntryJson("s2", node.address(), "terminating"))));
  CHECK(LogsDrain(router.process, "s2"));
  fresh.Write(HttpResponse(ServerListJson(4, true, back_in_service)));
  CHECK(ReadCallHead(fresh).starts_with("GET /api/targets?since=4&"));
  CHECK(old.PeerClosed());
  CHECK(intermediate.PeerClosed());
  router.process.Reload(Router::Config(elsewhere.address(), ""));  // to another address and back
  Fd there = elsewhere.Accept();
  ReadCallHead(there);
  router.process.Reload(Router::Config(later.address(), ""));
  CHECK(there.PeerClosed());
  fresh.Write(HttpResponse(ServerListJson(5, false, ServerEntryJson("s1", node.address(), "terminating"))));
  CHECK(ReadCallHead(fresh).starts_with("GET /api/targets?since=5&"));  // the same watch stayed open
}

// Guards against a fleet that overloads a slow discovery until it refuses every call: with parallel calls
// beside calls that wait in its queue, calls abandoned at each new configuration, and repeats of refused
// calls.
TEST_CASE("six routers of a slow discovery receive a drain within 6 s of four configurations in a row") {
  constexpr std::size_t kRouters = 6;
  Listener node, nobody;
  CrowdedDiscovery crowded(kRouters, HttpResponse(ServerListJson(
                                         2, true, ServerEntryJson("s1", node.address(), "terminating"))));
  const auto config = [&](const std::string& discovery) {
    return Replaced(Router::Config(discovery, ServerEntryJson("s1", node.address(), "in_service")),
                    R"("balancers":1,)", R"("balancers":6,)");
  };
  std::vector<Process> processes;
  for (std::size_t i = 0; i < kRouters; ++i)
    processes.push_back(Start(config(nobody.address()), nobody.address()));
  for (std::size_t again = 0; again < CrowdedDiscovery::kAddresses; ++again) {
    if (again > 0) std::this_thread::sleep_for(400ms);
    for (std::size_t i = 0; i < kRouters; ++i) processes[i].Reload(config(crowded.AddressOf(i, again)));
  }
  const SteadyTime configured = std::chrono::steady_clock::now();
  for (Process& process : processes) CHECK(LogsDrain(process, "s1", 20s));
  CHECK(SecondsSince(configured) < 6);
}

// Guards against a drain that is undone by an older list that arrives later.
TEST_CASE("after SIGHUP a list created before a drain was received does not undo the drain") {
  Listener draining, serving, moved_to;
  const std::string other = "," + ServerEntryJson("s2", serving.address(), "in_service");
  const std::string in_service = ServerEntryJson("s1", draining.address(), "in_service") + other;
  Router router(in_service);
  Fd old_watch = router.discovery.Accept();
  ReadCallHead(old_watch);
  router.process.Reload(Router::Config(moved_to.address(), ""));
  Fd call = moved_to.Accept();
  ReadCallHead(call);  // its list is created now, and sent later
  old_watch.Write(
      HttpResponse(ServerListJson(2, false, ServerEntryJson("s1", draining.address(), "terminating"))));
  CHECK(LogsDrain(router.process, "s1"));
  call.Write(HttpResponse(ServerListJson(1, true, in_service)));
  Fd next = moved_to.Accept();  // the router calls again
  ReadCallHead(next);
  std::this_thread::sleep_for(1100ms);  // the grace period is over
  Fd client = router.Connect();
  const auto read_keys = [&](const std::string& round) {
    for (int i = 0; i < 40; ++i) {
      const std::string key = round + std::to_string(i);
      client.Write(ReadCommand(key, key, 400));
    }
  };
  const auto gets_attempts = [&] {
    pollfd polled{draining.get(), POLLIN, 0};
    return ::poll(&polled, 1, 1000) == 1;
  };
  read_keys("a");
  CHECK_FALSE(gets_attempts());
  // A newer list is applied at once, although it undoes the drain.
  next.Write(HttpResponse(ServerListJson(3, true, in_service)));
  ReadCallHead(next);
  read_keys("b");
  CHECK(gets_attempts());
}

// Guards against a change that waits for the end of a slow answer that neither stalls nor completes.
TEST_CASE("a drain early in a slow answer is applied once its entry's last byte has arrived") {
  Listener node;
  Router router(ServerEntryJson("s1", node.address(), "in_service"));
  Fd watch = router.discovery.Accept();
  ReadCallHead(watch);
  std::string entries = ServerEntryJson("s1", node.address(), "terminating");
  const std::size_t first = entries.size();
  for (int i = 0; i < 30; ++i) {
    entries += "," + ServerEntryJson("t" + std::to_string(i), node.address(), "in_service");
  }
  const std::string answer = HttpResponse(ServerListJson(2, false, entries));
  const std::size_t drain_end = answer.find(entries) + first;
  watch.Write(answer.substr(0, drain_end));
  const SteadyTime written = std::chrono::steady_clock::now();
  std::atomic<bool> drain_logged{false};
  std::thread rest([&] {
    const std::size_t piece = (answer.size() - drain_end) / 40;
    for (std::size_t at = drain_end; at < answer.size() && !drain_logged; at += piece) {
      std::this_thread::sleep_for(40ms);
      const std::string part = answer.substr(at, piece);
      ::send(watch.get(), part.data(), part.size(), MSG_NOSIGNAL);
    }
  });
  const bool drains = LogsDrain(router.process, "s1");
  const double after = SecondsSince(written);
  drain_logged = true;
  rest.join();
  CHECK(drains);
  CHECK(after < 0.15);  // a router may be delayed this long
}
