// The program on real sockets: one test for each of the four rules, then what clients and operators see.
#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "world.h"

using namespace brasswood::testing;

namespace {

// Of a fleet so large that first calls for the list, and those after a refusal, spread over 50 minutes.
std::string LargeFleet(const std::string& discovery) {
  std::string text = Router::Config(discovery, "");
  text.replace(text.find(R"("balancers":1,)"), 14, R"("balancers":60000,)");
  text.replace(text.find(R"("ask_within":10000000000)"), 24, R"("ask_within":10000000000000)");
  return text;
}

}  // namespace

TEST_CASE("rule 1: every request is answered once, in time, also when its server says nothing") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("k", "a1", 300));
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg k v Oa1 Pc=read,d="));
  const std::string answer = client.Line();  // the node never answers
  CHECK(answer.starts_with("SERVER_ERROR "));
  CHECK(attempt.Ended());  // given up, and closed
  client.Write("mn\r\n");
  CHECK(client.Line() == "MN\r\n");  // the next answer is the next command's
}

TEST_CASE("rule 2: a publish that may have run never goes out again") {
  Router router("");
  Fd client = router.Connect();
  client.Write(PublishCommand("pkg", "p1", "body"));
  Fd first = router.origin.Accept();
  CHECK(first.Until("\r\n\r\nbody").starts_with("PUT /pkg HTTP/1.1\r\n"));
  first.Close();  // after its last byte: it may have run
  CHECK(client.Line() == "SERVER_ERROR failed\r\n");
  client.Write(PublishCommand("pkg", "p2", "body"));
  Fd second = router.origin.Accept();  // the next that reaches the origin is the next publish
  CHECK(second.Until("\r\n\r\nbody").find("X-Txn: p2\r\n") != std::string::npos);
  second.Write(Http("", "503 Busy", "X-Turned-Away: 1\r\n"));  // it never ran: once more is allowed
  CHECK(second.Until("\r\n\r\nbody").find("X-Txn: p2\r\n") != std::string::npos);
  second.Write(Http("receipt-9"));
  CHECK(client.Line() == "HD Op2 creceipt-9\r\n");
}

TEST_CASE("rule 3: a server told to drain gets nothing new") {
  Listener nodes[2];
  Router router(Target("s0", nodes[0].address(), "in_service") + "," +
                Target("s1", nodes[1].address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  CHECK(WatchCall(discovery).starts_with("GET /api/targets?since=1&timeout_ms="));
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  const std::size_t home = FirstCalled({&nodes[0], &nodes[1]});
  Fd attempt = nodes[home].Accept();
  CHECK(attempt.Line().starts_with("mg k v Oa1"));
  discovery.Write(
      Http(List(2, false, Target("s" + std::to_string(home), nodes[home].address(), "terminating"))));
  CHECK(WatchCall(discovery).starts_with("GET /api/targets?since=2&"));  // the news is in
  attempt.Write("VA 1 Oa1\r\nx\r\n");                                    // what it has, it finishes
  CHECK(client.Line() == "VA 1 Oa1\r\n");
  CHECK(client.Line() == "x\r\n");
  client.Write(Read("k", "a2"));  // the key's home drains: the other one is asked
  Fd moved = nodes[1 - home].Accept();
  CHECK(moved.Line().starts_with("mg k v Oa2"));
  moved.Write("VA 1 Oa2\r\ny\r\n");
  CHECK(client.Line() == "VA 1 Oa2\r\n");
}

TEST_CASE("rule 4: a server that has just started gets no more than its share of a flood") {
  Listener warm, cold;
  const long long now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                               std::chrono::system_clock::now().time_since_epoch())
                               .count();
  Router router(Target("s-warm", warm.address(), "in_service") + "," +
                Target("s-cold", cold.address(), "in_service", now_ms));
  // Two clients: past 24 commands without an answer one of them would be read no further.
  Fd clients[] = {router.Connect(), router.Connect()};
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    clients[i % 2].Write(Read("k" + std::to_string(i), "a" + std::to_string(i)));
  }
  std::vector<Fd> attempts;  // none is answered, so all of them are out at once
  int cold_attempts = 0;
  for (int i = 0; i < kRequests; ++i) {
    const bool is_cold = FirstCalled({&warm, &cold}) == 1;
    attempts.push_back((is_cold ? cold : warm).Accept());
    cold_attempts += is_cold;
  }
  CHECK(cold_attempts <= 4);  // by hash alone it would be about half
}

TEST_CASE("a miss goes to the origin, and the value back unchanged") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write("mg k v Oa1 Pc=read,t=acme,d=9000,later=1\r\n");
  Fd attempt = node.Accept();
  CHECK(attempt.Line().find(",later=1\r\n") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // at least: later is as good
  attempt.Write("EN Oa1\r\n");
  Fd origin = router.origin.Accept();
  const std::string asked = origin.Until("\r\n\r\n");
  CHECK(asked.starts_with("GET /k HTTP/1.1\r\n"));
  CHECK(asked.find("X-Txn: a1\r\n") != std::string::npos);
  // As they arrived, but for the time: the origin is told what is left of it.
  const std::string before = "X-Labels: c=read,t=acme,d=", after = ",later=1\r\n";
  const std::size_t at = asked.find(before), end = asked.find(after);
  REQUIRE(at != asked.npos);
  REQUIRE(end != asked.npos);
  const int left = std::stoi(asked.substr(at + before.size(), end - at - before.size()));
  CHECK(left > 0);
  CHECK(left <= 9000 - 300);
  const std::string value = "a\r\nb" + std::string(60000, 'z');
  origin.Write(Http(value));
  CHECK(client.Line() == "VA 60004 Oa1\r\n");
  CHECK(client.ReadExactly(value.size() + 2) == value + "\r\n");
}

TEST_CASE("pipelined commands begin at once and are answered in their order") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("k1", "a1") + "what\r\n" + Read("k2", "a2") + "mn\r\n");
  Fd one = node.Accept();
  Fd two = node.Accept();  // while the first is out
  if (one.Line().find("Oa1") == std::string::npos) std::swap(one, two);
  const std::string other = "VA 1 Oa2\r\n2\r\n";
  two.Write(other);
  one.Write("VA 1 Oa1\r\n1\r\n");
  CHECK(client.Line() == "VA 1 Oa1\r\n");
  CHECK(client.Line() == "1\r\n");
  CHECK(client.Line() == "ERROR\r\n");
  CHECK(client.Line() == "VA 1 Oa2\r\n");
  CHECK(client.Line() == "2\r\n");
  CHECK(client.Line() == "MN\r\n");
}

TEST_CASE("bad commands are told so and where framing is lost the connection closes") {
  Router router("");
  Fd client = router.Connect();
  client.Write("mg k v\r\nms k 999999 Oa1\r\nmn\r\n");
  CHECK(client.Line() == "CLIENT_ERROR no id\r\n");
  CHECK(client.Line() == "CLIENT_ERROR value too large\r\n");
  CHECK(client.Ended());
  Fd endless = router.Connect();
  endless.Write(std::string(10000, 'x'));
  CHECK(endless.Line() == "CLIENT_ERROR line too long\r\n");
  CHECK(router.Connect().get() >= 0);  // and the program goes on
}

// Guards against a reset that overtakes the error: all that is sent is read, and none of it kept.
TEST_CASE("a value of 60 MB is told so while it comes, and thrown away") {
  Router router("");
  Fd client = router.Connect();
  client.Write("ms k 62914560 Oa1 Pc=publish,d=9000\r\n");
  const std::string megabyte(1 << 20, 'x');
  for (int i = 0; i < 60; ++i) client.Write(megabyte);  // a reset would end this
  CHECK(client.Line() == "CLIENT_ERROR value too large\r\n");
  CHECK(client.Ended());
}

TEST_CASE("what cannot be meant is an error, and no server hears of it") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd first = router.Connect(), second = router.Connect();
  first.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  attempt.Line();
  second.Write("mg k v Oa2 Pc=nothing,d=9000\r\nmg k v Oa3 Pc=read,d=soon\r\n" + Read("k", "a1") +
               Read("k", "a4"));
  CHECK(second.Line() == "CLIENT_ERROR unknown class\r\n");
  CHECK(second.Line() == "CLIENT_ERROR bad deadline\r\n");
  CHECK(second.Line() == "CLIENT_ERROR this id is in use\r\n");
  CHECK(node.Accept().Line().starts_with("mg k v Oa4"));  // the first to reach a server
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(first.Until("x\r\n") == "VA 1 Oa1\r\nx\r\n");  // unharmed by the other of its name
}

TEST_CASE("clients that say nothing whole are closed, half a command is told so") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd silent = router.Connect(), half = router.Connect(), busy = router.Connect();
  half.Write("ms k 10 Oa1 Pc=publish,d=9000\r\nabc");
  busy.Write(Read("k", "a2"));
  Fd attempt = node.Accept();
  attempt.Line();
  CHECK(half.Line() == "CLIENT_ERROR command not ended in time\r\n");
  CHECK(half.Ended());
  CHECK(silent.Ended());
  attempt.Write("VA 1 Oa2\r\nx\r\n");  // one that is owed an answer is not silent
  CHECK(busy.Until("x\r\n") == "VA 1 Oa2\r\nx\r\n");
  CHECK(busy.Ended());  // and closed when it has rested
}

// Guards against silent connections that take every place: those who speak are served meanwhile.
TEST_CASE("a table full of silence makes way for one who speaks") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"), 40);  // 15 places
  std::vector<Fd> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(router.Connect());
  Fd client = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.Line() == "MN\r\n");
  REQUIRE(::kill(router.process.pid, SIGUSR1) == 0);
  CHECK_FALSE(router.process.err.Until(" made_way=").empty());
  CHECK(router.process.err.Until(" ") != "0 ");
}

// Guards against clients that take a new connection for each command and keep them all.
TEST_CASE("of many clients at rest the one that has rested longest is closed early") {
  Router router("", 40);  // 15 places; 8 may rest
  std::vector<Fd> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(router.Connect());
    clients.back().Write("mn\r\n");
    CHECK(clients.back().Line() == "MN\r\n");
  }
  CHECK(clients.front().Ended());
  REQUIRE(::kill(router.process.pid, SIGUSR1) == 0);
  CHECK(router.process.err.Until(" made_way=").size() > 0);
  CHECK(router.process.err.Until(" ") != "0 ");  // not for its rest being over
}

// Guards against the rule above applied to ordinary clients: a third of their connections would be closed.
TEST_CASE("clients that use their connections again may rest in greater number") {
  Router router("", 256);  // 21 may rest that were used once, 52 that came back
  std::vector<Fd> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(router.Connect());
    for (int command = 0; command < 2; ++command) {
      clients.back().Write("mn\r\n");
      CHECK(clients.back().Line() == "MN\r\n");
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));  // past their brief rest
  for (Fd& client : clients) {
    client.Write("mn\r\n");
    CHECK(client.Line() == "MN\r\n");
  }
}

TEST_CASE("a client in the middle of a command is not at rest") {
  Router router("", 40);  // 8 may rest
  std::vector<Fd> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(router.Connect());
    clients.back().Write("mn\r\n");
    CHECK(clients.back().Line() == "MN\r\n");
    if (i == 0) clients[0].Write("m");
  }
  CHECK(clients[1].Ended());  // has rested longest
  clients[0].Write("n\r\n");
  CHECK(clients[0].Line() == "MN\r\n");
}

// Guards against bytes beyond an answer, which would pass for the next one on that connection.
TEST_CASE("what is sent beyond an answer, at once or later, spoils no other attempt") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd first = node.Accept();
  first.Line();
  first.Write("VA 1 Oa1\r\nx\r\nVA 1 Oa1\r\nx\r\n");
  CHECK(client.Until("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  CHECK(first.Ended());
  client.Write(Read("k", "a2"));
  Fd second = node.Accept();
  second.Line();
  second.Write("VA 1 Oa2\r\ny\r\n");
  CHECK(client.Until("y\r\n") == "VA 1 Oa2\r\ny\r\n");
  second.Write("noise");  // while it rests
  CHECK(second.Ended());
  client.Write(Read("k", "a3"));
  Fd third = node.Accept();
  CHECK(third.Line().starts_with("mg k v Oa3"));
  third.Write("VA 1 Oa3\r\nz\r\n");
  CHECK(client.Until("z\r\n") == "VA 1 Oa3\r\nz\r\n");
}

TEST_CASE("an answer that stops half-way is given up long before its request is") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  attempt.Line();
  attempt.Write("VA 90 Oa1\r\nshort\r\n");
  CHECK(attempt.Ended());
  Fd again = node.Accept();  // it has the key
  CHECK(again.Line().starts_with("mg k v Oa1"));
  again.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.Until("x\r\n") == "VA 1 Oa1\r\nx\r\n");
}

TEST_CASE("a new server at an old address is not reached on the old one's connections") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  WatchCall(discovery);
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd old = node.Accept();
  old.Line();
  old.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.Until("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  discovery.Write(Http(List(2, true, Target("s2", node.address(), "in_service"))));
  CHECK(old.Ended());
  client.Write(Read("k", "a2"));
  Fd fresh = node.Accept();
  CHECK(fresh.Line().starts_with("mg k v Oa2"));
  fresh.Write("VA 1 Oa2\r\nx\r\n");
  CHECK(client.Until("x\r\n") == "VA 1 Oa2\r\nx\r\n");
  WatchCall(discovery);
  discovery.Write(Http(List(3, false, Target("s2", node.address(), "in_service", 1000))));  // started anew
  CHECK(fresh.Ended());
}

TEST_CASE("a server that moves is asked where it is, also when it moved during an attempt") {
  Listener before, after;
  Router router(Target("s1", before.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  WatchCall(discovery);
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd attempt = before.Accept();
  attempt.Line();
  discovery.Write(Http(List(2, false, Target("s1", after.address(), "in_service"))));
  WatchCall(discovery);
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.Until("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  client.Write(Read("k", "a2"));
  CHECK(after.Accept().Line().starts_with("mg k v Oa2"));
  CHECK(attempt.Ended());  // nothing came on the old one
}

// Guards against idle connections of one pool that shut out the other: the origin is asked although
// connections to cache servers fill the budget.
TEST_CASE("idle connections of any kind make way for an attempt") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"), 8);  // 4 connections a side, 3 requests
  Fd client = router.Connect();
  std::vector<Fd> kept;
  client.Write(Read("k0", "a0") + Read("k1", "a1") + Read("k2", "a2"));
  for (int i = 0; i < 3; ++i) kept.push_back(node.Accept());
  for (Fd& attempt : kept) {
    const std::string line = attempt.Line();
    attempt.Write("EN " + line.substr(line.find(" Oa") + 1, 3) + "\r\n");
  }
  for (int i = 0; i < 3; ++i) {  // three idle, one free: two of the three make way
    kept.push_back(router.origin.Accept());
    CHECK(kept.back().Until("\r\n\r\n").starts_with("GET /k"));
  }
  for (int i = 3; i < 6; ++i) kept[static_cast<std::size_t>(i)].Write(Http("x"));
  for (int i = 0; i < 3; ++i) CHECK(client.Until("\r\nx\r\n").starts_with("VA 1 Oa"));
}

TEST_CASE("a bad answer is a failed attempt on a closed connection, and a second one moves its request") {
  Listener nodes[2];
  Router router(Target("s0", nodes[0].address(), "in_service") + "," +
                Target("s1", nodes[1].address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  const std::size_t first = FirstCalled({&nodes[0], &nodes[1]});
  Fd attempt = nodes[first].Accept();
  attempt.Line();
  attempt.Write("VA 1 Osomebody-else\r\nx\r\n");
  CHECK(attempt.Ended());
  Fd again = nodes[first].Accept();  // it has the key, and may do better
  CHECK(again.Line().starts_with("mg k v Oa1"));
  again.Write("noise\r\n");
  Fd second = nodes[1 - first].Accept();
  CHECK(second.Line().starts_with("mg k v Oa1"));
  second.Write("VA 1 Oa1\r\ny\r\n");
  CHECK(client.Line() == "VA 1 Oa1\r\n");
}

TEST_CASE("a client that closes has its attempts closed") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  attempt.Line();
  client.Close();
  CHECK(attempt.Ended());
}

TEST_CASE("SIGTERM: what was taken is answered, idle connections close, and the exit is clean") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd idle = router.Connect(), busy = router.Connect(), fresh = router.Connect();
  idle.Write("mn\r\n");
  CHECK(idle.Line() == "MN\r\n");
  busy.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  attempt.Line();
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  CHECK(idle.Ended());
  fresh.Write("mn\r\n");  // not used before: its first command may be on its way, so it was left open
  CHECK(fresh.Line() == "MN\r\n");
  CHECK(fresh.Ended());
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(busy.Line() == "VA 1 Oa1\r\n");
  CHECK(busy.Line() == "x\r\n");
  CHECK(busy.Ended());
  const std::string log = router.process.err.Until("served=1 ");
  CHECK_FALSE(log.empty());
  CHECK(router.process.Wait() == 0);
}

TEST_CASE("SIGHUP: discovery moves at once, whole list first, and nothing open is touched") {
  Listener node, later, elsewhere;
  Router router(Target("s1", node.address(), "in_service"));
  Fd old = router.discovery.Accept();
  WatchCall(old);
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  attempt.Line();
  // Refused in one line each, and the old watch goes on.
  for (const std::string& bad : {std::string("{ not JSON"), std::string(1000000, '[')}) {
    router.process.Reload(bad);
    CHECK_FALSE(router.process.err.Until("configuration kept as it was").empty());
  }
  old.Write(Http(List(2, false, "")));
  CHECK(WatchCall(old).starts_with("GET /api/targets?since=2&"));
  // PROXY_DISCOVERY still names the old address. Its call is out, and it never answers it.
  router.process.Reload(Router::Config(elsewhere.address(), ""));
  Fd passing = elsewhere.Accept();
  CHECK(WatchCall(passing).starts_with("GET /api/targets HTTP/1.1\r\n"));
  CHECK(old.Ended());
  router.process.Reload(Router::Config(later.address(), ""));  // again, in the middle of that call
  Fd fresh = later.Accept();
  CHECK(WatchCall(fresh).starts_with("GET /api/targets HTTP/1.1\r\n"));
  fresh.Write(Http(List(3, true, Target("s1", node.address(), "in_service"))));
  CHECK(WatchCall(fresh).starts_with("GET /api/targets?since=3&"));
  CHECK(passing.Ended());
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.Until("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  Fd busy = router.Connect();
  busy.Write(Read("k", "a2"));
  attempt.Line();
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  router.process.Reload(Router::Config(elsewhere.address(), ""));  // while it stops
  attempt.Write("VA 1 Oa2\r\nx\r\n");
  CHECK(busy.Until("x\r\n") == "VA 1 Oa2\r\nx\r\n");
  CHECK(router.process.Wait() == 0);
}

// Guards against a list that grows old while a large fleet's calls are spread: a broken watch is no
// refusal.
TEST_CASE("a watch that falls silent is opened anew at once, however large the fleet") {
  Listener node, nobody, discovery;
  Process process = Start(LargeFleet(nobody.address()), nobody.address());
  process.Reload(LargeFleet(discovery.address()));
  Fd watch = discovery.Accept();
  WatchCall(watch);
  watch.Write(Http(List(7, true, Target("s1", node.address(), "in_service"))));
  CHECK(WatchCall(watch).starts_with("GET /api/targets?since=7&"));
  Fd anew = discovery.Accept();  // nothing was said on the first one
  CHECK(watch.Ended());
  CHECK(WatchCall(anew).starts_with("GET /api/targets?since=7&"));
  anew.Write(Http(List(8, false, Target("s1", node.address(), "terminating"))));
  CHECK(WatchCall(anew).starts_with("GET /api/targets?since=8&"));
  CHECK_FALSE(process.err.Until("s1 at " + node.address() + " is terminating").empty());
}

// Guards against news that discovery has written and that its connection has lost: it counts as told.
TEST_CASE("a watch whose connection breaks is opened anew at once, once, however large the fleet") {
  Listener node, nobody, discovery;
  Process process = Start(LargeFleet(nobody.address()), nobody.address());
  process.Reload(LargeFleet(discovery.address()));
  Fd watch = discovery.Accept();
  WatchCall(watch);
  const std::string list = Http(List(7, true, Target("s1", node.address(), "in_service")));
  watch.Write(list);
  for (const std::string& begun : {std::string(), list.substr(0, list.size() / 2)}) {
    WatchCall(watch);
    watch.Write(begun);
    watch.Close();
    Fd anew = discovery.Accept();
    CHECK(WatchCall(anew).starts_with("GET /api/targets?since=7&timeout_ms=0 "));
    anew.Write(list);
    watch = std::move(anew);
  }
}

// Guards against a drain unheard past its grace while connections break one after the other.
TEST_CASE("a watch is opened anew soon though the call that was to open it broke as well") {
  Listener node, nobody, discovery;
  Process process = Start(LargeFleet(nobody.address()), nobody.address());
  process.Reload(LargeFleet(discovery.address()));
  Fd watch = discovery.Accept();
  WatchCall(watch);
  watch.Write(Http(List(7, true, Target("s1", node.address(), "in_service"))));
  WatchCall(watch);
  watch.Close();
  Fd anew = discovery.Accept();
  WatchCall(anew);
  anew.Close();
  Fd again = discovery.Accept();
  CHECK(WatchCall(again).starts_with("GET /api/targets?since=7&timeout_ms=0 "));
}

// Guards against a lack of this router's own that waits like a refusal of discovery's.
TEST_CASE("a call to discovery for which there is no descriptor is made as soon as there is one") {
  Listener node, nobody, discovery;
  Process process = Start(LargeFleet(nobody.address()), nobody.address());
  process.Reload(LargeFleet(discovery.address()));
  Fd watch = discovery.Accept();
  WatchCall(watch);
  watch.Write(Http(List(7, true, Target("s1", node.address(), "in_service"))));
  WatchCall(watch);
  const rlimit none{3, 256}, enough{256, 256};
  REQUIRE(::prlimit(process.pid, RLIMIT_NOFILE, &none, nullptr) == 0);
  watch.Close();
  CHECK_FALSE(process.err.Until("cannot connect").empty());
  REQUIRE(::prlimit(process.pid, RLIMIT_NOFILE, &enough, nullptr) == 0);
  Fd anew = discovery.Accept();
  // Not put off as a refusal, after which the next call would wait for news.
  CHECK(WatchCall(anew).starts_with("GET /api/targets?since=7&timeout_ms=0 "));
}

TEST_CASE("a full table: idle clients make way, and requests past the limit are told to come back") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"), 40);  // 15 connections a side, 14 requests
  std::vector<Fd> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(router.Connect());
    clients.back().Write("mn\r\n");
    CHECK(clients.back().Line() == "MN\r\n");
  }
  CHECK(clients.front().Ended());  // idle for longest
  int number = 0;
  const auto ask = [&](Fd& s, int requests) {
    std::string all;
    for (int i = 0; i < requests; ++i, ++number) {
      all += Read("k" + std::to_string(number), "a" + std::to_string(number));
    }
    s.Write(all);
  };
  Fd* const last = &clients.back();
  ask(last[0], 5);  // no client has more than its part of the table: the fifth waits
  ask(last[-1], 4);
  ask(last[-2], 4);
  ask(last[-3], 2);
  std::vector<Fd> attempts;
  std::size_t first = 0;
  for (std::size_t i = 0; i < 14; ++i) {  // each open request has its connection
    attempts.push_back(node.Accept());
    const std::string line = attempts.back().Line();
    CHECK(line.find(" Oa4 ") == std::string::npos);
    if (line.find(" Oa0 ") != std::string::npos) first = i;
  }
  ask(last[-4], 1);
  CHECK(last[-4].Line() == "SERVER_ERROR busy 500\r\n");
  attempts[first].Write("VA 1 Oa0\r\nx\r\n");
  CHECK(last[0].Until("x\r\n") == "VA 1 Oa0\r\nx\r\n");
  CHECK(attempts[first].Line().find(" Oa4 ") != std::string::npos);
}

TEST_CASE("counters on SIGUSR1") {
  Router router("");
  Fd client = router.Connect();
  client.Write("mn\r\nwhat\r\n");
  CHECK(client.Line() == "MN\r\n");
  CHECK(client.Line() == "ERROR\r\n");
  REQUIRE(::kill(router.process.pid, SIGUSR1) == 0);
  CHECK(router.process.err.Until("clients=1 requests_in=0 turned_away=0 bad_commands=1 ").size() > 0);
  CHECK(router.process.err.Until("; now open: requests=0 clients=1 server_connections=0\n").size() > 0);
}

TEST_CASE("a bad server list is refused whole and logged, and the old one stays") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  WatchCall(discovery);
  discovery.Write(Http(List(2, true, R"({"uid":"s9","state":"dozing"})")));
  CHECK_FALSE(router.process.err.Until("server list refused").empty());
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg k v Oa1"));
}

TEST_CASE("changes older than the list that is held change nothing, and the whole list is asked for") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  WatchCall(discovery);
  discovery.Write(Http(List(0, false, Target("s1", node.address(), "terminated"))));
  CHECK_FALSE(router.process.err.Until("changes of version 0, older than what is held").empty());
  Fd again = router.discovery.Accept();
  CHECK(WatchCall(again).starts_with("GET /api/targets HTTP"));
  Fd client = router.Connect();
  client.Write(Read("k", "a1"));
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg k v Oa1"));
}

TEST_CASE("a bad configuration ends the program with one plain line") {
  Process p = Start(R"({"name":"n1","listen":"nowhere"})");
  CHECK(p.listen == "brasswood: configuration: \"listen\" is not an address and port: nowhere\n");
  CHECK(p.Wait() == 1);
  Process deep = Start(std::string(1000000, '['));  // reading it level by level would exhaust the stack
  CHECK(deep.listen.starts_with("brasswood: configuration: "));
  CHECK(deep.Wait() == 1);
}

TEST_CASE("a large value goes on to its client as it comes, and a cut one ends the connection") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("big", "a1", 3000));
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg big v Oa1"));
  const std::size_t size = 300000;  // past what is taken whole
  attempt.Write("VA " + std::to_string(size) + " Oa1\r\n" + std::string(1000, 'x'));
  CHECK(client.Line() == "VA " + std::to_string(size) + " Oa1\r\n");  // before the rest exists
  CHECK(client.ReadExactly(1000) == std::string(1000, 'x'));
  for (std::size_t sent = 1000; sent < size; sent += 49900) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));  // slower in all than the request's time
    attempt.Write(std::string(std::min<std::size_t>(49900, size - sent), 'y'));
  }
  attempt.Write("\r\n");
  CHECK(client.ReadExactly(size - 1000 + 2) == std::string(size - 1000, 'y') + "\r\n");
  client.Write("mn\r\n");
  CHECK(client.Line() == "MN\r\n");  // the connection goes on
}

TEST_CASE("a large value that its node breaks off ends its client's connection where it stops") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(Read("big2", "a2", 3000));
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg big2 v Oa2"));
  attempt.Write("VA 300000 Oa2\r\n" + std::string(5000, 'z'));
  CHECK(client.Line() == "VA 300000 Oa2\r\n");
  CHECK(client.ReadExactly(5000) == std::string(5000, 'z'));
  attempt.Close();  // no second answer follows: the client can tell that the value is not whole
  CHECK(client.Ended());
}
