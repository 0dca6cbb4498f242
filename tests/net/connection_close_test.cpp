// What is still pending when a client, a connection, a process or a time limit ends. Each critical order of
// events is forced by peers that wait, continue and reset at a defined point, not by a sleep.
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

// Waits until a connection to that address is being established (SYN_SENT), by the kernel's table.
void AwaitConnecting(const std::string& address) {
  char port[8];
  std::snprintf(port, sizeof port, ":%04X", std::stoi(address.substr(address.rfind(':') + 1)));
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTimeoutMs);
  while (std::chrono::steady_clock::now() < deadline) {
    std::ifstream table("/proc/net/tcp");
    std::string slot, local, remote, state;
    for (std::string line; std::getline(table, line);) {
      std::istringstream(line) >> slot >> local >> remote >> state;
      if (remote.ends_with(port) && state == "02") return;
    }
    std::this_thread::sleep_for(1ms);
  }
  throw std::runtime_error("no connection is being established to " + address);
}

// An answer larger than the receive buffer of SlowClient and smaller than the router's send buffer.
const std::string kUnreadAnswer = "VA 14000 Oa1\r\n" + std::string(14000, 'v') + "\r\n";

Fd SlowClient() {
  Fd client(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int small = 4096;
  REQUIRE(::setsockopt(client.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small) == 0);
  return client;
}

// Lets that client request kUnreadAnswer, so that the router has written all of it and most of it waits in
// the router's kernel. Returns the attempt's connection.
Fd SendUnreadAnswer(const Fd& client, const Listener& server) {
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  attempt.Write(kUnreadAnswer);
  pollfd answered{client.get(), POLLIN, 0};
  REQUIRE(::poll(&answered, 1, kTimeoutMs) == 1);
  return attempt;
}

// A listener whose accept queue can be filled: connections to it are then not established until Drain.
class UnacceptingListener {
 public:
  explicit UnacceptingListener(bool filled = true) {
    REQUIRE(::listen(at_.get(), 0) == 0);  // a backlog of 0 still holds one connection
    if (filled) Fill();
  }
  const std::string& address() const { return at_.address(); }
  int get() const { return at_.get(); }
  Fd Accept() const { return at_.Accept(); }
  // Whether a connection arrives within `wait_ms`.
  bool IsConnectedTo(int wait_ms) const {
    pollfd p{at_.get(), POLLIN, 0};
    return ::poll(&p, 1, wait_ms) == 1;
  }
  void Fill() { fill_ = ConnectTo(at_.address()); }
  // Empties the queue and enlarges it, so that connections are established from now on.
  void Drain() {
    ::listen(at_.get(), 16);
    at_.Accept();
  }

 private:
  Listener at_;
  Fd fill_;
};

}  // namespace

// ---- A client that closes ----

// Guards against work for a client that is gone: its close is already in the socket, behind the commands,
// when they are read.
TEST_CASE("commands of a client that has already closed are not forwarded") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits&) {});
  Fd client = router.Connect(), other = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");
  router.Freeze();
  client.Write(ReadCommand("k1", "a1") + ReadCommand("k2", "a2") + PublishCommand("p", "a3", "body"));
  client.Close();
  router.Thaw();
  other.Write(ReadCommand("k4", "a4"));
  CHECK(server.Accept().ReadLine().starts_with("mg k4 v Oa4"));  // the first to reach a server
}

// Guards against a close that is not noticed while its client is not read.
TEST_CASE("when a client closes while it is not read, its attempts are closed and no others start") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits& l) { l.max_pipeline = 1; });
  Fd client = router.Connect(), other = router.Connect();
  client.Write(ReadCommand("k1", "a1", 60000) + ReadCommand("k2", "a2", 60000) +
               ReadCommand("k3", "a3", 60000));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg k1 v Oa1"));  // the others wait behind it, unread
  client.Close();
  CHECK(attempt.PeerClosed());  // abandoned a minute before its deadline
  other.Write(ReadCommand("k4", "a4"));
  CHECK(server.Accept().ReadLine().starts_with("mg k4 v Oa4"));
}

// Guards against an idle timeout that still runs once a client has sent commands and is not read any more.
TEST_CASE("a client that waits for answers is not idle, also while it is not read") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits& l) {
        l.max_pipeline = 1;
        l.client_idle_timeout = 200ms;
      });
  Fd client = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");  // idle from now on
  client.Write(ReadCommand("k1", "a1") + ReadCommand("k2", "a2"));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg k1 v Oa1"));  // the other one waits behind it
  std::this_thread::sleep_for(400ms);                    // longer than the timeout
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadUntil("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  CHECK(attempt.ReadLine().starts_with("mg k2 v Oa2"));
  attempt.Write("VA 1 Oa2\r\ny\r\n");
  CHECK(client.ReadUntil("y\r\n") == "VA 1 Oa2\r\ny\r\n");
}

TEST_CASE("when a client keeps sending after quit and then closes, its attempts are closed") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits& l) { l.max_discarded = 1000; });
  Fd client = router.Connect();
  client.Write(ReadCommand("k1", "a1", 60000) + "quit\r\n" +
               std::string(5000, 'x'));  // more than is discarded
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg k1 v Oa1"));
  client.Write(std::string(5000, 'x'));
  client.Close();
  CHECK(attempt.PeerClosed());
}

// ---- A router that is delayed or stopped ----

// Guards against answers that are sent after their client has given up: a command that arrives while the
// process is blocked has already waited when it is read, and its deadline counts from its arrival.
TEST_CASE("a request's deadline counts from its arrival, not from when a blocked router reads it") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits&) {});
  Fd client = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");
  router.Freeze();
  client.Write(ReadCommand("k", "a1", 5000));
  std::this_thread::sleep_for(300ms);  // a longer sleep does no harm
  router.Thaw();
  Fd attempt = server.Accept();
  const std::string line = attempt.ReadLine();
  const std::size_t at = line.find(",d=");
  REQUIRE(at != line.npos);
  CHECK(std::stoi(line.substr(at + 3)) <= 5000 - 300);
}

// Guards against the same failure where the times of the loop's polls do not show the delay: the process is
// stopped while its poll waits with no deadline near.
TEST_CASE("a request's deadline counts from its arrival at an idle router that is stopped") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");
  REQUIRE(::kill(router.process.pid, SIGSTOP) == 0);
  std::this_thread::sleep_for(20ms);
  client.Write(ReadCommand("k", "a1", 5000));
  std::this_thread::sleep_for(150ms);  // a longer sleep does no harm
  REQUIRE(::kill(router.process.pid, SIGCONT) == 0);
  Fd attempt = server.Accept();
  const std::string line = attempt.ReadLine();
  const std::size_t at = line.find(",d=");
  REQUIRE(at != line.npos);
  CHECK(std::stoi(line.substr(at + 3)) <= 5000 - 120);
}

// Guards against deadlines that run before data that arrived in time was read: a poll that SIGSTOP
// interrupts returns with deadlines due and no events.
TEST_CASE("an answer that arrived in time counts even if the router was stopped past the deadline") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1", 1000));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  REQUIRE(::kill(router.process.pid, SIGSTOP) == 0);
  std::this_thread::sleep_for(50ms);
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  std::this_thread::sleep_for(1200ms);  // past the request's deadline; a longer sleep does no harm
  REQUIRE(::kill(router.process.pid, SIGCONT) == 0);
  CHECK(client.ReadLine() == "VA 1 Oa1\r\n");
}

// Guards against the same failure when the client table is full: the kernel establishes a connection before
// the router accepts it, and the command sent on it waits.
TEST_CASE("a request's deadline counts while its connection waits in the accept queue of a full router") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits& l) {
        l.max_clients = 1;
        l.evict_silent_after = 300ms;
      });
  Fd silent = router.Connect();
  std::this_thread::sleep_for(50ms);  // it is accepted, and the table is full
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1", 5000));
  Fd attempt = server.Accept();  // once the silent one is evicted
  const std::string line = attempt.ReadLine();
  const std::size_t at = line.find(",d=");
  REQUIRE(at != line.npos);
  CHECK(std::stoi(line.substr(at + 3)) <= 5000 - 200);
}

// ---- Signals and shortages during the start ----

// Guards against SIGHUP or SIGTERM being lost, or ending the process, during its start. The start is held
// up by a configuration that the router reads from a pipe.
TEST_CASE("a signal received during the start is handled once the router has started") {
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
      CHECK(ReadCallHead(watch).starts_with("GET /api/targets HTTP/1.1\r\n"));
    } else {
      CHECK_FALSE(router.err.ReadUntil(" stops; ").empty());
      CHECK(router.Wait() == 0);
    }
  }
}

// Guards against a start that fails for lack of descriptors that are available a moment later.
TEST_CASE("a router that finds no free descriptor at its start tries again, and serves") {
  const std::string path = TemporaryFile();
  ::unlink(path.c_str());
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  Process router = Launch(path);
  router.path = path;
  Fd pipe(::open(path.c_str(), O_WRONLY | O_CLOEXEC));  // once the router reads it
  ::unlink(path.c_str());
  // Two more than it holds, which the sanitizers sometimes use; it may have inherited some.
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
  std::this_thread::sleep_for(500ms);  // a longer sleep does no harm, up to some seconds
  REQUIRE(::prlimit(router.pid, RLIMIT_NOFILE, &enough, nullptr) == 0);
  AwaitStart(router);
  REQUIRE_FALSE(router.listen.empty());
  Fd client = ConnectTo(router.listen);
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");
  REQUIRE(::kill(router.pid, SIGTERM) == 0);
  CHECK(router.Wait() == 0);
}

// ---- The end of idle connections, and of the process ----

// Guards against answers that are lost because of a close: the client receives them slowly, and sends one
// more command just as its connection ends.
TEST_CASE("SIGTERM: answers waiting in the kernel arrive complete though a command crosses the close") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = SlowClient();
  client = ConnectTo(router.process.listen, std::move(client));
  Fd attempt = SendUnreadAnswer(client, server);
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  CHECK_FALSE(router.process.err.ReadUntil(" stops; ").empty());
  std::this_thread::sleep_for(100ms);  // the router ends the connection; a longer sleep does no harm
  client.Write(ReadCommand("k", "late"));
  CHECK(client.ReadUntil("v\r\n") == kUnreadAnswer);
  CHECK(client.PeerClosed());  // the late command is for the client to send again
  CHECK(router.process.Wait() == 0);
}

// Guards against an orderly exit that a second signal of a supervisor turns into death by that signal.
TEST_CASE("signals received after the router has finished do not change its exit status") {
  for (int i = 0; i < 10; ++i) {
    Process router = Start(Router::Config("127.0.0.1:1", ""));
    REQUIRE(::kill(router.pid, SIGTERM) == 0);
    CHECK_FALSE(router.err.ReadUntil(" counters: ").empty());  // its last line
    int status = 0;
    while (::waitpid(router.pid, &status, WNOHANG) == 0) {
      for (const int number : {SIGHUP, SIGTERM, SIGUSR1}) ::kill(router.pid, number);
    }
    router.pid = -1;
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
  }
}

// Guards against answers that are lost because their connection is evicted from a full table while a
// command crosses the close.
TEST_CASE("a full table: a client that has not received all of its answer is not evicted") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits& l) {
        l.max_clients = 2;
        l.evict_silent_after = l.command_timeout = l.client_idle_timeout =
            1h;  // no client is closed for being slow
      });
  Fd client = ConnectTo(router.address(), SlowClient());
  Fd attempt = SendUnreadAnswer(client, server);
  Fd other = router.Connect();
  other.Write("mn\r\n");
  CHECK(other.ReadLine() == "MN\r\n");  // its accept looked for a client to evict
  client.Write("mn\r\n");
  CHECK(client.ReadUntil("v\r\n") == kUnreadAnswer);
  CHECK(client.ReadLine() == "MN\r\n");
}

// ---- Decisions that are outdated once a connection is established ----

// Guards against repeating a keyed write after the servers that would deduplicate it have forgotten it. The
// repeat's connection is established only when the kernel retransmits its SYN, a second later.
TEST_CASE("a keyed repeat whose connection is established after its window is not written") {
  UnacceptingListener origin(false);
  Listener discovery;
  std::string config = Router::Config(discovery.address(),
                                      ServerEntryJson("o1", origin.address(), "in_service", 0, "origin"));
  config = Replaced(config, R"("name":"publish","effect":"single_shot",)",
                    R"("name":"publish","effect":"guarded",)");
  const std::size_t window = config.rfind(R"("window":5000000000)");
  config.replace(window, 19, R"("window":300000000)");
  InProcess router(config, [](Limits&) {});
  Fd client = router.Connect();
  client.Write(PublishCommand("pkg", "p1", "body"));
  Fd first = origin.Accept();
  CHECK(first.ReadUntil("\r\n\r\nbody").starts_with("PUT /pkg "));
  origin.Fill();
  first.Close();  // it may have run
  std::this_thread::sleep_for(
      400ms);  // past the window, before the SYN is retransmitted; a longer sleep does no harm
  origin.Drain();
  Fd next = origin.Accept();  // its connection is established only now
  CHECK(client.ReadLine().starts_with("SERVER_ERROR "));
  client.Write(PublishCommand("pkg2", "p2", "body"));
  CHECK(next.ReadUntil("\r\n\r\n").starts_with("PUT /pkg2 "));  // nothing of the repeat was written
}

// Guards against a second copy that starts after the answer, if the settings allow two at once: its
// connection was still being established when the first copy was answered.
TEST_CASE("a second copy whose connection is established after the final answer is not written") {
  Listener server, discovery;
  UnacceptingListener other(false);
  std::string config =
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service") + "," +
                                              ServerEntryJson("s2", other.address(), "in_service"));
  config = Replaced(config, R"("cancel":true,)", R"("cancel":true,"parallel_tries":true,)");
  InProcess router(config, [](Limits& l) { l.server_connection_idle_timeout = 50ms; });
  Fd client = router.Connect();
  std::vector<std::pair<Fd, bool>> attempts;  // true: at `server`, false: at `other`
  bool other_accepts = true;
  // The id of the next attempt, and the index of its connection in `attempts`.
  const auto next = [&] {
    for (;;) {
      std::vector<pollfd> polled = {{server.get(), POLLIN, 0},
                                    {other_accepts ? other.get() : -1, POLLIN, 0}};
      for (const auto& [fd, at_server] : attempts) polled.push_back({fd.get(), POLLIN, 0});
      if (::poll(polled.data(), polled.size(), kTimeoutMs) < 1) throw std::runtime_error("no attempt");
      for (std::size_t i = polled.size(); i-- > 2;) {
        if (polled[i].revents == 0) continue;
        const std::string line = attempts[i - 2].first.ReadLine();
        if (!line.empty()) return std::pair(line.substr(line.find(" O") + 2, 3), i - 2);
        attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(i - 2));
      }
      if (polled[0].revents != 0) attempts.emplace_back(server.Accept(), true);
      if (polled[1].revents != 0) attempts.emplace_back(other.Accept(), false);
    }
  };
  const auto answer = [&](const std::string& id, std::size_t at) {
    attempts[at].first.Write("VA 1 O" + id + "\r\nx\r\n");
  };
  // The index in `attempts` of the attempt with that id. On a slow machine a second copy of an earlier
  // request may arrive first.
  const auto await = [&](const std::string& id) {
    for (;;) {
      const auto [asked, at] = next();
      if (asked == id) return at;
      answer(asked, at);
    }
  };
  // The router sends second copies only once it knows the latency of answers, and the test needs a key
  // whose requests go to `server`.
  std::string key;
  for (int i = 0; i < 100 && (i < 40 || key.empty()); ++i) {
    const std::string id = std::to_string(100 + i);
    client.Write(ReadCommand("k" + id, id));
    const std::size_t at = await(id);
    if (attempts[at].second) key = "k" + id;
    answer(id, at);
    CHECK(client.ReadUntil("x\r\n") == "VA 1 O" + id + "\r\nx\r\n");
  }
  REQUIRE_FALSE(key.empty());
  other_accepts = false;
  other.Fill();
  std::erase_if(attempts, [](const auto& a) { return !a.second; });
  client.Write(ReadCommand(key, "999"));
  const std::size_t at = await("999");
  AwaitConnecting(other.address());  // the second copy's connection is being established
  answer("999", at);
  CHECK(client.ReadUntil("x\r\n") == "VA 1 O999\r\nx\r\n");
  other.Drain();
  CHECK_FALSE(
      other.IsConnectedTo(3500));  // it was given up: the kernel would have tried twice in this time
}

// ---- Discovery ----

// Guards against a router that never calls discovery if the settings say that lists are pushed.
TEST_CASE("a pushed list is received at once, and again as soon as its agent is back") {
  Listener server, agent;
  std::string config =
      Router::Config(agent.address(), ServerEntryJson("s1", server.address(), "in_service"));
  config = Replaced(config, R"("registry_mode":"on_request")", R"("registry_mode":"pushed")");
  config = Replaced(config, R"("balancers":1,)",
                    R"("balancers":60000,)");  // a call that is spread over the fleet would take 50 minutes
  config = Replaced(config, R"("ask_within":10000000000)", R"("ask_within":10000000000000)");
  Process process = Start(config, agent.address());
  for (int rev = 1; rev < 4; ++rev) {
    Fd watch = agent.Accept();
    CHECK(ReadCallHead(watch).starts_with("GET /api/targets?since=" + std::to_string(rev) + "&"));
    const std::string state = rev % 2 == 1 ? "terminating" : "in_service";
    watch.Write(
        HttpResponse(ServerListJson(rev + 1, false, ServerEntryJson("s1", server.address(), state))));
    CHECK_FALSE(process.err.ReadUntil("s1 at " + server.address() + " is ").empty());
    ReadCallHead(watch);  // the next call is open; the agent dies during it
  }
}

// Guards against waiting as long as for a watch when a connection to discovery is never established.
TEST_CASE("a connection to discovery that is not established is given up long before a watch would be") {
  Listener server;
  UnacceptingListener discovery;
  Process process =
      Start(Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
            discovery.address());
  CHECK_FALSE(process.err.ReadUntil("warn discovery: ").empty());
  CHECK(process.err.ReadUntil("\n").find(": no connection in time;") !=
        std::string::npos);  // not a silent watch
}

// Guards against clients that leave no descriptor for discovery: they keep their connections open and send
// nothing.
TEST_CASE("idle clients that use every descriptor while discovery is down do not block its updates") {
  constexpr rlim_t kSockets = 64;
  Listener server, discovery;
  const std::string address = discovery.address();
  discovery.Close();
  Process process = Start(
      Router::Config(address, ServerEntryJson("s1", server.address(), "in_service"), kSockets), address);
  const rlimit most{kSockets, kSockets};
  REQUIRE(::prlimit(process.pid, RLIMIT_NOFILE, &most, nullptr) == 0);
  CHECK_FALSE(process.err.ReadUntil("connection lost").empty());
  std::vector<Fd> idle;
  const std::string listen = process.listen;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(ConnectTo(listen));
    if (i % 2 == 0) continue;  // half of them send one command
    idle.back().Write("mn\r\n");
    CHECK(idle.back().ReadLine() == "MN\r\n");
  }
  const auto held = std::distance(
      std::filesystem::directory_iterator("/proc/" + std::to_string(process.pid) + "/fd"), {});
  CHECK(held < static_cast<std::ptrdiff_t>(kSockets));
  Listener back(discovery.port());
  Fd watch = back.Accept();
  CHECK(ReadCallHead(watch).starts_with("GET /api/targets?since=1&"));
  watch.Write(
      HttpResponse(ServerListJson(2, false, ServerEntryJson("s1", server.address(), "terminating"))));
  CHECK_FALSE(process.err.ReadUntil("s1 at " + server.address() + " is terminating").empty());
}

TEST_CASE("processes started together without discovery are ready within ten seconds") {
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
    ready += client.ReadLine() == "MN\r\n" && std::chrono::steady_clock::now() - begun < 10s;
  }
  CHECK(ready * 10 >= kProcesses * 9);
}

TEST_CASE("an answer of discovery that stops half way is given up long before a watch would be") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits& l) {
        l.watch_time = 1h;
        l.discovery_answer_timeout = 50ms;
      });
  Fd watch = discovery.Accept();
  ReadCallHead(watch);
  const std::string answer =
      HttpResponse(ServerListJson(2, false, ServerEntryJson("s1", server.address(), "terminating")));
  watch.Write(answer.substr(0, answer.size() / 2));
  CHECK(watch.PeerClosed());
  Fd again = discovery.Accept();
  CHECK(ReadCallHead(again).starts_with("GET /api/targets?since=1&"));
  again.Write(answer);
  CHECK(ReadCallHead(again).starts_with("GET /api/targets?since=2&"));
}

// Guards against a second full watch time before an unresponsive discovery is noticed again: the call after
// an unresponsive watch asks for an immediate answer.
TEST_CASE("the call after an unresponsive watch asks for an immediate answer and soon times out too") {
  Listener server, discovery;
  InProcess router(
      Router::Config(discovery.address(), ServerEntryJson("s1", server.address(), "in_service")),
      [](Limits& l) {
        l.watch_time = 30ms;
        l.watch_spread = 0ms;
        l.watch_grace = 30ms;
        l.discovery_answer_timeout = 50ms;
      });
  Fd watch = discovery.Accept();
  CHECK(ReadCallHead(watch).find("since=1&timeout_ms=30 ") != std::string::npos);
  Fd reopened = discovery.Accept();  // the first one was not answered
  CHECK(watch.PeerClosed());
  CHECK(ReadCallHead(reopened).find("since=1&timeout_ms=0 ") != std::string::npos);
  Fd third = discovery.Accept();  // nor was this one
  CHECK(reopened.PeerClosed());
  ReadCallHead(third);
}

// Guards against a late copy of an earlier answer, which would put a draining server back into service.
TEST_CASE("a whole list older than the one held changes nothing and is requested again") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  ReadCallHead(discovery);
  const std::string old =
      HttpResponse(ServerListJson(2, true, ServerEntryJson("s1", server.address(), "in_service")));
  discovery.Write(
      HttpResponse(ServerListJson(3, true, ServerEntryJson("s1", server.address(), "terminating"))));
  ReadCallHead(discovery);
  discovery.Write(old);
  CHECK_FALSE(router.process.err.ReadUntil("a list of version 2, older than what is held").empty());
  Fd again = router.discovery.Accept();
  CHECK(ReadCallHead(again).starts_with("GET /api/targets HTTP"));
}

TEST_CASE("bytes that discovery sends after an answer are not parsed as the next answer") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  ReadCallHead(discovery);
  discovery.Write(
      HttpResponse(ServerListJson(2, false, "")) +
      HttpResponse(ServerListJson(9, true, ServerEntryJson("s2", server.address(), "in_service"))));
  CHECK(discovery.PeerClosed());
  Fd again = router.discovery.Accept();
  CHECK(ReadCallHead(again).starts_with("GET /api/targets?since=2&"));
}
