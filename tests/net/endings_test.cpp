// What is still owed when something ends: each bad order is forced by peers that hold, release and reset at
// a named point, never by a sleep.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "in_process.h"

using namespace brasswood;
using namespace brasswood::testing;
using namespace std::chrono_literals;

namespace {

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != text.npos);
  return text.replace(at, from.size(), to);
}

// Until somebody's connection to that address is coming up, as the kernel's table says.
void AwaitDial(const std::string& address) {
  char port[8];
  std::snprintf(port, sizeof port, ":%04X", std::stoi(address.substr(address.rfind(':') + 1)));
  const auto patience = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTimeoutMs);
  while (std::chrono::steady_clock::now() < patience) {
    std::ifstream table("/proc/net/tcp");
    std::string slot, local, remote, state;
    for (std::string line; std::getline(table, line);) {
      std::istringstream(line) >> slot >> local >> remote >> state;
      if (remote.ends_with(port) && state == "02") return;
    }
    std::this_thread::sleep_for(1ms);
  }
  throw std::runtime_error("nobody connects to " + address);
}

// Of a client that takes little at a time: more than its side holds, less than the router's.
const std::string kAnswerThatWaits = "VA 14000 Oa1\r\n" + std::string(14000, 'v') + "\r\n";

Fd SlowClient() {
  Fd client(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int small = 4096;
  REQUIRE(::setsockopt(client.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small) == 0);
  return client;
}

// Asked for by that client, it has left the router's program and waits in the router's kernel. Returns the
// attempt's connection.
Fd AnswerThatWaits(const Fd& client, const Listener& node) {
  client.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  attempt.Line();
  attempt.Write(kAnswerThatWaits);
  pollfd answered{client.get(), POLLIN, 0};
  REQUIRE(::poll(&answered, 1, kTimeoutMs) == 1);
  return attempt;
}

// A listener whose queue is full: connections to it never come up until it accepts.
class Deaf {
 public:
  explicit Deaf(bool now = true) {
    REQUIRE(::listen(at_.get(), 0) == 0);  // a queue of none takes one
    if (now) Fill();
  }
  const std::string& address() const { return at_.address(); }
  int get() const { return at_.get(); }
  Fd Accept() const { return at_.Accept(); }
  void Fill() { fill_ = ConnectTo(at_.address()); }
  // From now on it hears: what filled its queue goes.
  void Drain() {
    ::listen(at_.get(), 16);
    at_.Accept();
  }

 private:
  Listener at_;
  Fd fill_;
};

}  // namespace

// ---- A client that goes ----

// Guards against work for nobody: the close stands right behind the commands as they are read.
TEST_CASE("commands whose client has closed behind them reach no server") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits&) {});
  Fd client = router.Connect(), other = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.Line() == "MN\r\n");
  router.Freeze();
  client.Write(Read("k1", "a1") + Read("k2", "a2") + PublishCommand("p", "a3", "body"));
  client.Close();
  router.Thaw();
  other.Write(Read("k4", "a4"));
  CHECK(node.Accept().Line().starts_with("mg k4 v Oa4"));  // the first to reach a server
}

// Guards against a close that goes unseen while its client is not read.
TEST_CASE("a client that goes while it is not read has its attempts closed, and none begun") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits& l) { l.pipeline = 1; });
  Fd client = router.Connect(), other = router.Connect();
  client.Write(Read("k1", "a1", 60000) + Read("k2", "a2", 60000) + Read("k3", "a3", 60000));
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg k1 v Oa1"));  // the others wait behind it, unread
  client.Close();
  CHECK(attempt.Ended());  // it is given up a minute before its time
  other.Write(Read("k4", "a4"));
  CHECK(node.Accept().Line().starts_with("mg k4 v Oa4"));
}

TEST_CASE("a client that sends on past its last answer and goes has its attempts closed") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits& l) { l.discard = 1000; });
  Fd client = router.Connect();
  client.Write(Read("k1", "a1", 60000) + "quit\r\n" + std::string(5000, 'x'));  // more than is thrown away
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg k1 v Oa1"));
  client.Write(std::string(5000, 'x'));
  client.Close();
  CHECK(attempt.Ended());
}

// ---- A router that is held up ----

// Guards against answers that come after their client has gone: what arrives while the process stands still
// has waited by the time it is read, and its time runs from its arrival.
TEST_CASE("a request's time counts from its arrival, not from when a held-up router reads it") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits&) {});
  Fd client = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.Line() == "MN\r\n");
  router.Freeze();
  client.Write(Read("k", "a1", 5000));
  std::this_thread::sleep_for(300ms);  // longer is as good
  router.Thaw();
  Fd attempt = node.Accept();
  const std::string line = attempt.Line();
  const std::size_t at = line.find(",d=");
  REQUIRE(at != line.npos);
  CHECK(std::stoi(line.substr(at + 3)) <= 5000 - 300);
}

// Guards against the same where the loop itself cannot tell: it waits with no deadline near, and is
// stopped.
TEST_CASE(
    "a request's time counts from its arrival at a router that is stopped while it has nothing to do") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.Line() == "MN\r\n");
  REQUIRE(::kill(router.process.pid, SIGSTOP) == 0);
  std::this_thread::sleep_for(20ms);
  client.Write(Read("k", "a1", 5000));
  std::this_thread::sleep_for(150ms);  // longer is as good
  REQUIRE(::kill(router.process.pid, SIGCONT) == 0);
  Fd attempt = node.Accept();
  const std::string line = attempt.Line();
  const std::size_t at = line.find(",d=");
  REQUIRE(at != line.npos);
  CHECK(std::stoi(line.substr(at + 3)) <= 5000 - 120);
}

// Guards against deadlines that act before what came in time has been read: a poll that a stop interrupts
// returns with deadlines due and nothing else.
TEST_CASE("an answer that came in time counts though its router stood still past the request's time") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("k", "a1", 1000));
  Fd attempt = node.Accept();
  attempt.Line();
  REQUIRE(::kill(router.process.pid, SIGSTOP) == 0);
  std::this_thread::sleep_for(50ms);
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  std::this_thread::sleep_for(1200ms);  // past the request's time; longer is as good
  REQUIRE(::kill(router.process.pid, SIGCONT) == 0);
  CHECK(client.Line() == "VA 1 Oa1\r\n");
}

// Guards against the same in front of a full table: a connection that is not accepted yet is taken all the
// same, and what it brought waits.
TEST_CASE("a request's time runs while its connection waits for a router that is full") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits& l) {
                     l.clients = 1;
                     l.hurry = 300ms;
                   });
  Fd silent = router.Connect();
  std::this_thread::sleep_for(50ms);  // it is in, and there is room for no other
  Fd client = router.Connect();
  client.Write(Read("k", "a1", 5000));
  Fd attempt = node.Accept();  // once the silent one has made way
  const std::string line = attempt.Line();
  const std::size_t at = line.find(",d=");
  REQUIRE(at != line.npos);
  CHECK(std::stoi(line.substr(at + 3)) <= 5000 - 200);
}

// ---- The start of a process, while signals come ----

// Guards against a process that a new configuration, or its planned end, meets in the middle of its start:
// it is held there, reading its configuration from a pipe.
TEST_CASE("a signal that comes while the router still starts is answered once it has started") {
  for (const int number : {SIGHUP, SIGTERM}) {
    INFO("signal " << number);
    Listener before, after;
    const std::string path = TemporaryFile();
    ::unlink(path.c_str());
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    Process router = Launch(path);
    router.path = path;
    Fd pipe(::open(path.c_str(), O_WRONLY | O_CLOEXEC));  // once the router reads it
    ::unlink(path.c_str());
    std::ofstream(path) << Router::Config(after.address(), "");
    REQUIRE(::kill(router.pid, number) == 0);
    const std::string config = Router::Config(before.address(), "");
    REQUIRE(::write(pipe.get(), config.data(), config.size()) == static_cast<ssize_t>(config.size()));
    pipe.Close();
    AwaitStart(router);
    REQUIRE_FALSE(router.listen.empty());
    if (number == SIGHUP) {
      Fd watch = after.Accept();  // the configuration was read again, and its discovery is called
      CHECK(WatchCall(watch).starts_with("GET /api/targets HTTP/1.1\r\n"));
    } else {
      CHECK_FALSE(router.err.Until(" stops; ").empty());
      CHECK(router.Wait() == 0);
    }
  }
}

// Guards against a start that is refused for want of descriptors that are there a moment later.
TEST_CASE("a router that finds no descriptor as it starts tries again, and serves") {
  const std::string path = TemporaryFile();
  ::unlink(path.c_str());
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  Process router = Launch(path);
  router.path = path;
  Fd pipe(::open(path.c_str(), O_WRONLY | O_CLOEXEC));  // once the router reads it
  ::unlink(path.c_str());
  // Two beyond those it holds, which the sanitizers take at times; it may have inherited some.
  rlim_t held = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(router.pid) + "/fd")) {
    held = std::max(held, static_cast<rlim_t>(std::stoul(entry.path().filename().string())) + 1);
  }
  const rlimit few{held + 2, 256}, enough{256, 256};
  REQUIRE(::prlimit(router.pid, RLIMIT_NOFILE, &few, nullptr) == 0);
  const std::string config = Router::Config("127.0.0.1:1", "");
  REQUIRE(::write(pipe.get(), config.data(), config.size()) == static_cast<ssize_t>(config.size()));
  pipe.Close();
  std::this_thread::sleep_for(500ms);  // longer is as good, up to some seconds
  REQUIRE(::prlimit(router.pid, RLIMIT_NOFILE, &enough, nullptr) == 0);
  AwaitStart(router);
  REQUIRE_FALSE(router.listen.empty());
  Fd client = ConnectTo(router.listen);
  client.Write("mn\r\n");
  CHECK(client.Line() == "MN\r\n");
  REQUIRE(::kill(router.pid, SIGTERM) == 0);
  CHECK(router.Wait() == 0);
}

// ---- The end of a connection at rest, and of the process ----

// Guards against answers that are lost behind a close: the client is slow to take them, and sends one
// command more just as its connection ends.
TEST_CASE("SIGTERM: answers that wait in the kernel arrive whole though a command crosses the close") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = SlowClient();
  client = ConnectTo(router.process.listen, std::move(client));
  Fd attempt = AnswerThatWaits(client, node);
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  CHECK_FALSE(router.process.err.Until(" stops; ").empty());
  std::this_thread::sleep_for(100ms);  // the router ends the connection; later is as good
  client.Write(Read("k", "late"));
  CHECK(client.Until("v\r\n") == kAnswerThatWaits);
  CHECK(client.Ended());  // and the late one is its client's to send again
  CHECK(router.process.Wait() == 0);
}

// Guards against an end in order that a supervisor's second word turns into a kill.
TEST_CASE("signals that come once the router has done its work change nothing of its exit") {
  for (int i = 0; i < 10; ++i) {
    Process router = Start(Router::Config("127.0.0.1:1", ""));
    REQUIRE(::kill(router.pid, SIGTERM) == 0);
    CHECK_FALSE(router.err.Until(" counters: ").empty());  // its last line
    int status = 0;
    while (::waitpid(router.pid, &status, WNOHANG) == 0) {
      for (const int number : {SIGHUP, SIGTERM, SIGUSR1}) ::kill(router.pid, number);
    }
    router.pid = -1;
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
  }
}

// Guards against answers that are lost as their connection makes way in a full table, for a command that
// crosses the close.
TEST_CASE("a full table: a client that has not taken its answer yet does not make way") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits& l) {
                     l.clients = 2;
                     l.hurry = l.speak = l.rest = 1h;  // nobody goes for being slow
                   });
  Fd client = ConnectTo(router.address(), SlowClient());
  Fd attempt = AnswerThatWaits(client, node);
  Fd other = router.Connect();
  other.Write("mn\r\n");
  CHECK(other.Line() == "MN\r\n");  // room was looked for as it was let in
  client.Write("mn\r\n");
  CHECK(client.Until("v\r\n") == kAnswerThatWaits);
  CHECK(client.Line() == "MN\r\n");
}

// ---- What was decided before a connection came up ----

// Guards against a keyed write that goes out again after those who would drop it have forgotten it. Its
// repeat's connection comes up only once the kernel asks again, a second later.
TEST_CASE("a keyed repeat whose connection comes up after its window is not written") {
  Deaf origin(false);
  Listener discovery;
  std::string config =
      Router::Config(discovery.address(), Target("o1", origin.address(), "in_service", 0, "origin"));
  config = Replaced(config, R"("name":"publish","effect":"single_shot",)",
                    R"("name":"publish","effect":"guarded",)");
  const std::size_t window = config.rfind(R"("window":5000000000)");
  config.replace(window, 19, R"("window":300000000)");
  InProcess router(config, [](Limits&) {});
  Fd client = router.Connect();
  client.Write(PublishCommand("pkg", "p1", "body"));
  Fd first = origin.Accept();
  CHECK(first.Until("\r\n\r\nbody").starts_with("PUT /pkg "));
  origin.Fill();
  first.Close();  // it may have run
  std::this_thread::sleep_for(
      400ms);  // past the window, and short of the kernel's next try; longer is as good
  origin.Drain();
  Fd next = origin.Accept();  // its connection comes up only now
  CHECK(client.Line().starts_with("SERVER_ERROR "));
  client.Write(PublishCommand("pkg2", "p2", "body"));
  CHECK(next.Until("\r\n\r\n").starts_with("PUT /pkg2 "));  // nothing of the other was written
}

// Guards against a second copy that begins after the answer, where settings allow two at once: its
// connection was still coming up when the first one was answered.
TEST_CASE("a second copy whose connection comes up after the final answer is not written") {
  Listener node, discovery;
  Deaf other(false);
  std::string config =
      Router::Config(discovery.address(), Target("s1", node.address(), "in_service") + "," +
                                              Target("s2", other.address(), "in_service"));
  config = Replaced(config, R"("cancel":true,)", R"("cancel":true,"parallel_tries":true,)");
  InProcess router(config, [](Limits& l) { l.idle = 50ms; });
  Fd client = router.Connect();
  std::vector<std::pair<Fd, bool>> attempts;  // at the node, or at the other
  bool hears = true;                          // the other
  // The next attempt's id, and where its connection stands in `attempts`.
  const auto next = [&] {
    for (;;) {
      std::vector<pollfd> polled = {{node.get(), POLLIN, 0}, {hears ? other.get() : -1, POLLIN, 0}};
      for (const auto& [fd, at_node] : attempts) polled.push_back({fd.get(), POLLIN, 0});
      if (::poll(polled.data(), polled.size(), kTimeoutMs) < 1) throw std::runtime_error("no attempt");
      for (std::size_t i = polled.size(); i-- > 2;) {
        if (polled[i].revents == 0) continue;
        const std::string line = attempts[i - 2].first.Line();
        if (!line.empty()) return std::pair(line.substr(line.find(" O") + 2, 3), i - 2);
        attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(i - 2));
      }
      if (polled[0].revents != 0) attempts.emplace_back(node.Accept(), true);
      if (polled[1].revents != 0) attempts.emplace_back(other.Accept(), false);
    }
  };
  const auto answer = [&](const std::string& id, std::size_t at) {
    attempts[at].first.Write("VA 1 O" + id + "\r\nx\r\n");
  };
  // Where the attempt of that id stands. On a slow machine a second copy of an earlier one may come first.
  const auto await = [&](const std::string& id) {
    for (;;) {
      const auto [asked, at] = next();
      if (asked == id) return at;
      answer(asked, at);
    }
  };
  // What answers take has to be known before there are second copies; and a key has to be at the node.
  std::string key;
  for (int i = 0; i < 100 && (i < 40 || key.empty()); ++i) {
    const std::string id = std::to_string(100 + i);
    client.Write(Read("k" + id, id));
    const std::size_t at = await(id);
    if (attempts[at].second) key = "k" + id;
    answer(id, at);
    CHECK(client.Until("x\r\n") == "VA 1 O" + id + "\r\nx\r\n");
  }
  REQUIRE_FALSE(key.empty());
  hears = false;
  other.Fill();
  std::erase_if(attempts, [](const auto& a) { return !a.second; });
  client.Write(Read(key, "999"));
  const std::size_t at = await("999");
  AwaitDial(other.address());  // the second copy's connection is on its way
  answer("999", at);
  CHECK(client.Until("x\r\n") == "VA 1 O999\r\nx\r\n");
  other.Drain();
  Fd late = other.Accept();
  CHECK(late.Ended());  // nothing was written on it
}

// ---- Discovery ----

// Guards against one customer's settings in another's router: where lists are pushed nobody ever called.
TEST_CASE("a list that is pushed is heard at once, and again as soon as its agent is back") {
  Listener node, agent;
  std::string config = Router::Config(agent.address(), Target("s1", node.address(), "in_service"));
  config = Replaced(config, R"("registry_mode":"on_request")", R"("registry_mode":"pushed")");
  config = Replaced(config, R"("balancers":1,)",
                    R"("balancers":60000,)");  // a spread call would take 50 minutes
  config = Replaced(config, R"("ask_within":10000000000)", R"("ask_within":10000000000000)");
  Process process = Start(config, agent.address());
  for (int rev = 1; rev < 4; ++rev) {
    Fd watch = agent.Accept();
    CHECK(WatchCall(watch).starts_with("GET /api/targets?since=" + std::to_string(rev) + "&"));
    const std::string state = rev % 2 == 1 ? "terminating" : "in_service";
    watch.Write(Http(List(rev + 1, false, Target("s1", node.address(), state))));
    CHECK_FALSE(process.err.Until("s1 at " + node.address() + " is ").empty());
    WatchCall(watch);  // the next one is out; the agent dies under it
  }
}

// Guards against the time of a whole watch for a connection to discovery that never comes up.
TEST_CASE("a connection to discovery that never comes up is given up long before a watch would be") {
  Listener node;
  Deaf discovery;
  Process process = Start(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                          discovery.address());
  CHECK_FALSE(process.err.Until("warn discovery: ").empty());
  CHECK(process.err.Until("\n").find(": no connection in time;") !=
        std::string::npos);  // not a silent watch
}

// Guards against clients that leave discovery no descriptor: they hold what they are given, and say
// nothing.
TEST_CASE("idle clients that take every descriptor while discovery is down do not keep its news out") {
  constexpr rlim_t kSockets = 64;
  Listener node, discovery;
  const std::string address = discovery.address();
  discovery.Close();
  Process process =
      Start(Router::Config(address, Target("s1", node.address(), "in_service"), kSockets), address);
  const rlimit most{kSockets, kSockets};
  REQUIRE(::prlimit(process.pid, RLIMIT_NOFILE, &most, nullptr) == 0);
  CHECK_FALSE(process.err.Until("connection lost").empty());
  std::vector<Fd> idle;
  const std::string listen = process.listen;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(ConnectTo(listen));
    if (i % 2 == 0) continue;  // half of them speak once
    idle.back().Write("mn\r\n");
    CHECK(idle.back().Line() == "MN\r\n");
  }
  const auto held = std::distance(
      std::filesystem::directory_iterator("/proc/" + std::to_string(process.pid) + "/fd"), {});
  CHECK(held < static_cast<std::ptrdiff_t>(kSockets));
  Listener back(discovery.port());
  Fd watch = back.Accept();
  CHECK(WatchCall(watch).starts_with("GET /api/targets?since=1&"));
  watch.Write(Http(List(2, false, Target("s1", node.address(), "terminating"))));
  CHECK_FALSE(process.err.Until("s1 at " + node.address() + " is terminating").empty());
}

TEST_CASE("processes that begin together, without discovery, are ready within ten seconds") {
  Listener discovery;
  discovery.Close();
  constexpr int kProcesses = 16;
  std::vector<Process> processes;
  int ready = 0;
  for (int i = 0; i < kProcesses; ++i) {
    const auto begun = std::chrono::steady_clock::now();
    processes.push_back(Start(Router::Config(discovery.address(), "", 256), discovery.address()));
    Fd client = ConnectTo(processes.back().listen);
    client.Write("mn\r\n");
    ready += client.Line() == "MN\r\n" && std::chrono::steady_clock::now() - begun < 10s;
  }
  CHECK(ready * 10 >= kProcesses * 9);
}

TEST_CASE("an answer of discovery that stops half way costs no whole watch") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits& l) {
                     l.watch = 1h;
                     l.call_answer = 50ms;
                   });
  Fd watch = discovery.Accept();
  WatchCall(watch);
  const std::string answer = Http(List(2, false, Target("s1", node.address(), "terminating")));
  watch.Write(answer.substr(0, answer.size() / 2));
  CHECK(watch.Ended());
  Fd again = discovery.Accept();
  CHECK(WatchCall(again).starts_with("GET /api/targets?since=1&"));
  again.Write(answer);
  CHECK(WatchCall(again).starts_with("GET /api/targets?since=2&"));
}

// Guards against silence that is found twice over: the call after it shows at once whether it is heard.
TEST_CASE("the call that opens a silent watch anew does not wait, and a second silence is soon found") {
  Listener node, discovery;
  InProcess router(Router::Config(discovery.address(), Target("s1", node.address(), "in_service")),
                   [](Limits& l) {
                     l.watch = 30ms;
                     l.watch_spread = 0ms;
                     l.call_grace = 30ms;
                     l.call_answer = 50ms;
                   });
  Fd watch = discovery.Accept();
  CHECK(WatchCall(watch).find("since=1&timeout_ms=30 ") != std::string::npos);
  Fd anew = discovery.Accept();  // nothing was said on the first
  CHECK(watch.Ended());
  CHECK(WatchCall(anew).find("since=1&timeout_ms=0 ") != std::string::npos);
  Fd third = discovery.Accept();  // nor on this one
  CHECK(anew.Ended());
  WatchCall(third);
}

// Guards against a late copy of an earlier answer: it would put a server that drains back into service.
TEST_CASE("a whole list that is older than the one held changes nothing and is asked for once more") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  WatchCall(discovery);
  const std::string old = Http(List(2, true, Target("s1", node.address(), "in_service")));
  discovery.Write(Http(List(3, true, Target("s1", node.address(), "terminating"))));
  WatchCall(discovery);
  discovery.Write(old);
  CHECK_FALSE(router.process.err.Until("a list of version 2, older than what is held").empty());
  Fd again = router.discovery.Accept();
  CHECK(WatchCall(again).starts_with("GET /api/targets HTTP"));
}

TEST_CASE("what discovery sends beyond an answer is not taken for the next one") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  WatchCall(discovery);
  discovery.Write(Http(List(2, false, "")) +
                  Http(List(9, true, Target("s2", node.address(), "in_service"))));
  CHECK(discovery.Ended());
  Fd again = router.discovery.Accept();
  CHECK(WatchCall(again).starts_with("GET /api/targets?since=2&"));
}
