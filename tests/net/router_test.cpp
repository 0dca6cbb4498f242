// The program over TCP: one test for each of the four rules, then the behaviour that clients and operators
// see.
#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "world.h"

using namespace brasswood::testing;

namespace {

// A configuration for a fleet so large that the first calls for the list, and those after a refusal, are
// spread over 50 minutes.
std::string LargeFleetConfig(const std::string& discovery) {
  std::string text = Router::Config(discovery, "");
  text.replace(text.find(R"("balancers":1,)"), 14, R"("balancers":60000,)");
  text.replace(text.find(R"("ask_within":10000000000)"), 24, R"("ask_within":10000000000000)");
  return text;
}

}  // namespace

TEST_CASE("rule 1: every request is answered once and in time, even if its server never answers") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1", 300));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg k v Oa1 Pc=read,d="));
  const std::string answer = client.ReadLine();  // the server never answers
  CHECK(answer.starts_with("SERVER_ERROR "));
  CHECK(attempt.PeerClosed());  // abandoned and closed
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");  // the next answer belongs to the next command
}

TEST_CASE("rule 2: a publish that may have run is never sent again") {
  Router router("");
  Fd client = router.Connect();
  client.Write(PublishCommand("pkg", "p1", "body"));
  Fd first = router.origin.Accept();
  CHECK(first.ReadUntil("\r\n\r\nbody").starts_with("PUT /pkg HTTP/1.1\r\n"));
  first.Close();  // the last byte was sent: it may have run
  CHECK(client.ReadLine() == "SERVER_ERROR failed\r\n");
  client.Write(PublishCommand("pkg", "p2", "body"));
  Fd second = router.origin.Accept();  // the next request at the origin is the next publish
  CHECK(second.ReadUntil("\r\n\r\nbody").find("X-Txn: p2\r\n") != std::string::npos);
  second.Write(HttpResponse("", "503 Busy", "X-Turned-Away: 1\r\n"));  // it did not run: a retry is allowed
  CHECK(second.ReadUntil("\r\n\r\nbody").find("X-Txn: p2\r\n") != std::string::npos);
  second.Write(HttpResponse("receipt-9"));
  CHECK(client.ReadLine() == "HD Op2 creceipt-9\r\n");
}

TEST_CASE("rule 3: a draining server receives no new requests") {
  Listener servers[2];
  Router router(ServerEntryJson("s0", servers[0].address(), "in_service") + "," +
                ServerEntryJson("s1", servers[1].address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  CHECK(ReadCallHead(discovery).starts_with("GET /api/targets?since=1&timeout_ms="));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  const std::size_t home = FirstConnected({&servers[0], &servers[1]});
  Fd attempt = servers[home].Accept();
  CHECK(attempt.ReadLine().starts_with("mg k v Oa1"));
  discovery.Write(HttpResponse(ServerListJson(
      2, false, ServerEntryJson("s" + std::to_string(home), servers[home].address(), "terminating"))));
  CHECK(ReadCallHead(discovery).starts_with("GET /api/targets?since=2&"));  // the update was received
  attempt.Write("VA 1 Oa1\r\nx\r\n");  // it completes the request it has
  CHECK(client.ReadLine() == "VA 1 Oa1\r\n");
  CHECK(client.ReadLine() == "x\r\n");
  client.Write(ReadCommand("k", "a2"));  // the key's home is draining: the other server is used
  Fd moved = servers[1 - home].Accept();
  CHECK(moved.ReadLine().starts_with("mg k v Oa2"));
  moved.Write("VA 1 Oa2\r\ny\r\n");
  CHECK(client.ReadLine() == "VA 1 Oa2\r\n");
}

TEST_CASE("rule 4: a server that has just started receives no more than its share of many requests") {
  Listener warm, cold;
  const long long now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                               std::chrono::system_clock::now().time_since_epoch())
                               .count();
  Router router(ServerEntryJson("s-warm", warm.address(), "in_service") + "," +
                ServerEntryJson("s-cold", cold.address(), "in_service", now_ms));
  // Two clients, because a client with 24 unanswered commands is not read any further.
  Fd clients[] = {router.Connect(), router.Connect()};
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    clients[i % 2].Write(ReadCommand("k" + std::to_string(i), "a" + std::to_string(i)));
  }
  std::vector<Fd> attempts;  // none is answered, so all of them are open at once
  int cold_attempts = 0;
  for (int i = 0; i < kRequests; ++i) {
    const bool is_cold = FirstConnected({&warm, &cold}) == 1;
    attempts.push_back((is_cold ? cold : warm).Accept());
    cold_attempts += is_cold;
  }
  CHECK(cold_attempts <= 4);  // the hash alone would give it about half
}

TEST_CASE("a miss is fetched from the origin, and the value is returned unchanged") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write("mg k v Oa1 Pc=read,t=acme,d=9000,later=1\r\n");
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().find(",later=1\r\n") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // a longer sleep does no harm
  attempt.Write("EN Oa1\r\n");
  Fd origin = router.origin.Accept();
  const std::string asked = origin.ReadUntil("\r\n\r\n");
  CHECK(asked.starts_with("GET /k HTTP/1.1\r\n"));
  CHECK(asked.find("X-Txn: a1\r\n") != std::string::npos);
  // The labels are unchanged, except that `d` is the time that is left.
  const std::string before = "X-Labels: c=read,t=acme,d=", after = ",later=1\r\n";
  const std::size_t at = asked.find(before), end = asked.find(after);
  REQUIRE(at != asked.npos);
  REQUIRE(end != asked.npos);
  const int left = std::stoi(asked.substr(at + before.size(), end - at - before.size()));
  CHECK(left > 0);
  CHECK(left <= 9000 - 300);
  const std::string value = "a\r\nb" + std::string(60000, 'z');
  origin.Write(HttpResponse(value));
  CHECK(client.ReadLine() == "VA 60004 Oa1\r\n");
  CHECK(client.ReadExactly(value.size() + 2) == value + "\r\n");
}

TEST_CASE("pipelined commands start at once and are answered in order") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k1", "a1") + "what\r\n" + ReadCommand("k2", "a2") + "mn\r\n");
  Fd one = server.Accept();
  Fd two = server.Accept();  // while the first is open
  if (one.ReadLine().find("Oa1") == std::string::npos) std::swap(one, two);
  const std::string other = "VA 1 Oa2\r\n2\r\n";
  two.Write(other);
  one.Write("VA 1 Oa1\r\n1\r\n");
  CHECK(client.ReadLine() == "VA 1 Oa1\r\n");
  CHECK(client.ReadLine() == "1\r\n");
  CHECK(client.ReadLine() == "ERROR\r\n");
  CHECK(client.ReadLine() == "VA 1 Oa2\r\n");
  CHECK(client.ReadLine() == "2\r\n");
  CHECK(client.ReadLine() == "MN\r\n");
}

TEST_CASE("bad commands are answered with an error, and the connection closes if framing is lost") {
  Router router("");
  Fd client = router.Connect();
  client.Write("mg k v\r\nms k 999999 Oa1\r\nmn\r\n");
  CHECK(client.ReadLine() == "CLIENT_ERROR no id\r\n");
  CHECK(client.ReadLine() == "CLIENT_ERROR value too large\r\n");
  CHECK(client.PeerClosed());
  Fd endless = router.Connect();
  endless.Write(std::string(10000, 'x'));
  CHECK(endless.ReadLine() == "CLIENT_ERROR line too long\r\n");
  CHECK(router.Connect().get() >= 0);  // the program still runs
}

// Guards against a reset that overtakes the error message: all input is read and discarded.
TEST_CASE("a value of 60 MB is refused while it arrives, and discarded") {
  Router router("");
  Fd client = router.Connect();
  client.Write("ms k 62914560 Oa1 Pc=publish,d=9000\r\n");
  const std::string megabyte(1 << 20, 'x');
  for (int i = 0; i < 60; ++i) client.Write(megabyte);  // a reset would make this fail
  CHECK(client.ReadLine() == "CLIENT_ERROR value too large\r\n");
  CHECK(client.PeerClosed());
}

TEST_CASE("requests that cannot be meant are refused and not forwarded") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd first = router.Connect(), second = router.Connect();
  first.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  second.Write("mg k v Oa2 Pc=nothing,d=9000\r\nmg k v Oa3 Pc=read,d=soon\r\n" + ReadCommand("k", "a1") +
               ReadCommand("k", "a4"));
  CHECK(second.ReadLine() == "CLIENT_ERROR unknown class\r\n");
  CHECK(second.ReadLine() == "CLIENT_ERROR bad deadline\r\n");
  CHECK(second.ReadLine() == "CLIENT_ERROR this id is in use\r\n");
  CHECK(server.Accept().ReadLine().starts_with("mg k v Oa4"));  // the first to reach a server
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(first.ReadUntil("x\r\n") == "VA 1 Oa1\r\nx\r\n");  // not affected by the other request with its id
}

TEST_CASE("clients that send no complete command in time are closed, after an error if one was begun") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd silent = router.Connect(), half = router.Connect(), busy = router.Connect();
  half.Write("ms k 10 Oa1 Pc=publish,d=9000\r\nabc");
  busy.Write(ReadCommand("k", "a2"));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  CHECK(half.ReadLine() == "CLIENT_ERROR command not ended in time\r\n");
  CHECK(half.PeerClosed());
  CHECK(silent.PeerClosed());
  attempt.Write("VA 1 Oa2\r\nx\r\n");  // a client that waits for an answer is not silent
  CHECK(busy.ReadUntil("x\r\n") == "VA 1 Oa2\r\nx\r\n");
  CHECK(busy.PeerClosed());  // closed after its idle time
}

// Guards against silent connections that fill the table: clients that send commands are still served.
TEST_CASE("silent clients are evicted from a full table for one that sends a command") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"), 40);  // 15 places
  std::vector<Fd> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(router.Connect());
  Fd client = router.Connect();
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");
  REQUIRE(::kill(router.process.pid, SIGUSR1) == 0);
  CHECK_FALSE(router.process.err.ReadUntil(" made_way=").empty());
  CHECK(router.process.err.ReadUntil(" ") != "0 ");
}

// Guards against clients that open a new connection for each command and keep them all.
TEST_CASE("if many clients are idle, the longest idle one is closed early") {
  Router router("", 40);  // 15 places; 8 may be idle
  std::vector<Fd> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(router.Connect());
    clients.back().Write("mn\r\n");
    CHECK(clients.back().ReadLine() == "MN\r\n");
  }
  CHECK(clients.front().PeerClosed());
  REQUIRE(::kill(router.process.pid, SIGUSR1) == 0);
  CHECK(router.process.err.ReadUntil(" made_way=").size() > 0);
  CHECK(router.process.err.ReadUntil(" ") != "0 ");  // evicted, not closed after its idle time
}

// Guards against the rule above being applied to ordinary clients: a third of their connections would be
// closed.
TEST_CASE("more clients may be idle if they reuse their connections") {
  Router router("", 256);  // 21 may be idle that were used once, 52 that were reused
  std::vector<Fd> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(router.Connect());
    for (int command = 0; command < 2; ++command) {
      clients.back().Write("mn\r\n");
      CHECK(clients.back().ReadLine() == "MN\r\n");
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));  // past Limits::min_client_idle
  for (Fd& client : clients) {
    client.Write("mn\r\n");
    CHECK(client.ReadLine() == "MN\r\n");
  }
}

TEST_CASE("a client in the middle of a command is not idle") {
  Router router("", 40);  // 8 may be idle
  std::vector<Fd> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(router.Connect());
    clients.back().Write("mn\r\n");
    CHECK(clients.back().ReadLine() == "MN\r\n");
    if (i == 0) clients[0].Write("m");
  }
  CHECK(clients[1].PeerClosed());  // idle for longest
  clients[0].Write("n\r\n");
  CHECK(clients[0].ReadLine() == "MN\r\n");
}

// Guards against bytes after an answer, which would be parsed as the next answer on that connection.
TEST_CASE("bytes sent after an answer, at once or later, affect no other attempt") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd first = server.Accept();
  first.ReadLine();
  first.Write("VA 1 Oa1\r\nx\r\nVA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadUntil("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  CHECK(first.PeerClosed());
  client.Write(ReadCommand("k", "a2"));
  Fd second = server.Accept();
  second.ReadLine();
  second.Write("VA 1 Oa2\r\ny\r\n");
  CHECK(client.ReadUntil("y\r\n") == "VA 1 Oa2\r\ny\r\n");
  second.Write("noise");  // while it is idle
  CHECK(second.PeerClosed());
  client.Write(ReadCommand("k", "a3"));
  Fd third = server.Accept();
  CHECK(third.ReadLine().starts_with("mg k v Oa3"));
  third.Write("VA 1 Oa3\r\nz\r\n");
  CHECK(client.ReadUntil("z\r\n") == "VA 1 Oa3\r\nz\r\n");
}

TEST_CASE("an answer that stops half-way is given up long before the request's deadline") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  attempt.Write("VA 90 Oa1\r\nshort\r\n");
  CHECK(attempt.PeerClosed());
  Fd again = server.Accept();  // it is the key's home
  CHECK(again.ReadLine().starts_with("mg k v Oa1"));
  again.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadUntil("x\r\n") == "VA 1 Oa1\r\nx\r\n");
}

TEST_CASE("a new server at a known address is not reached over the old server's connections") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  ReadCallHead(discovery);
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd old = server.Accept();
  old.ReadLine();
  old.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadUntil("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  discovery.Write(
      HttpResponse(ServerListJson(2, true, ServerEntryJson("s2", server.address(), "in_service"))));
  CHECK(old.PeerClosed());
  client.Write(ReadCommand("k", "a2"));
  Fd fresh = server.Accept();
  CHECK(fresh.ReadLine().starts_with("mg k v Oa2"));
  fresh.Write("VA 1 Oa2\r\nx\r\n");
  CHECK(client.ReadUntil("x\r\n") == "VA 1 Oa2\r\nx\r\n");
  ReadCallHead(discovery);
  discovery.Write(HttpResponse(
      ServerListJson(3, false, ServerEntryJson("s2", server.address(), "in_service", 1000))));  // restarted
  CHECK(fresh.PeerClosed());
}

TEST_CASE("a server that moves is reached at its new address, even if it moved during an attempt") {
  Listener before, after;
  Router router(ServerEntryJson("s1", before.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  ReadCallHead(discovery);
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = before.Accept();
  attempt.ReadLine();
  discovery.Write(
      HttpResponse(ServerListJson(2, false, ServerEntryJson("s1", after.address(), "in_service"))));
  ReadCallHead(discovery);
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadUntil("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  client.Write(ReadCommand("k", "a2"));
  CHECK(after.Accept().ReadLine().starts_with("mg k v Oa2"));
  CHECK(attempt.PeerClosed());  // nothing was sent on the old connection
}

// Guards against idle connections of one pool that lock out the other: the origin is reached although
// connections to cache servers fill the budget.
TEST_CASE("idle connections of any pool are closed for an attempt") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"),
                8);  // 4 connections a side, 3 requests
  Fd client = router.Connect();
  std::vector<Fd> kept;
  client.Write(ReadCommand("k0", "a0") + ReadCommand("k1", "a1") + ReadCommand("k2", "a2"));
  for (int i = 0; i < 3; ++i) kept.push_back(server.Accept());
  for (Fd& attempt : kept) {
    const std::string line = attempt.ReadLine();
    attempt.Write("EN " + line.substr(line.find(" Oa") + 1, 3) + "\r\n");
  }
  for (int i = 0; i < 3; ++i) {  // three idle, one free: two of the three are closed
    kept.push_back(router.origin.Accept());
    CHECK(kept.back().ReadUntil("\r\n\r\n").starts_with("GET /k"));
  }
  for (int i = 3; i < 6; ++i) kept[static_cast<std::size_t>(i)].Write(HttpResponse("x"));
  for (int i = 0; i < 3; ++i) CHECK(client.ReadUntil("\r\nx\r\n").starts_with("VA 1 Oa"));
}

TEST_CASE("a bad answer fails its attempt and closes the connection, and a second one moves the request") {
  Listener servers[2];
  Router router(ServerEntryJson("s0", servers[0].address(), "in_service") + "," +
                ServerEntryJson("s1", servers[1].address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  const std::size_t first = FirstConnected({&servers[0], &servers[1]});
  Fd attempt = servers[first].Accept();
  attempt.ReadLine();
  attempt.Write("VA 1 Osomebody-else\r\nx\r\n");
  CHECK(attempt.PeerClosed());
  Fd again = servers[first].Accept();  // the key's home is tried once more
  CHECK(again.ReadLine().starts_with("mg k v Oa1"));
  again.Write("noise\r\n");
  Fd second = servers[1 - first].Accept();
  CHECK(second.ReadLine().starts_with("mg k v Oa1"));
  second.Write("VA 1 Oa1\r\ny\r\n");
  CHECK(client.ReadLine() == "VA 1 Oa1\r\n");
}

TEST_CASE("when a client closes, its attempts are closed") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  client.Close();
  CHECK(attempt.PeerClosed());
}

TEST_CASE("SIGTERM: accepted requests are answered, idle connections close, and the exit status is 0") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd idle = router.Connect(), busy = router.Connect(), fresh = router.Connect();
  idle.Write("mn\r\n");
  CHECK(idle.ReadLine() == "MN\r\n");
  busy.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  CHECK(idle.PeerClosed());
  fresh.Write("mn\r\n");  // not used before: kept open, because its first command may be in transit
  CHECK(fresh.ReadLine() == "MN\r\n");
  CHECK(fresh.PeerClosed());
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(busy.ReadLine() == "VA 1 Oa1\r\n");
  CHECK(busy.ReadLine() == "x\r\n");
  CHECK(busy.PeerClosed());
  const std::string log = router.process.err.ReadUntil("served=1 ");
  CHECK_FALSE(log.empty());
  CHECK(router.process.Wait() == 0);
}

TEST_CASE("SIGHUP: discovery moves at once with a request for the whole list, and open requests continue") {
  Listener server, later, elsewhere;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd old = router.discovery.Accept();
  ReadCallHead(old);
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  attempt.ReadLine();
  // Each is refused with one log line, and the old watch continues.
  for (const std::string& bad : {std::string("{ not JSON"), std::string(1000000, '[')}) {
    router.process.Reload(bad);
    CHECK_FALSE(router.process.err.ReadUntil("configuration kept as it was").empty());
  }
  old.Write(HttpResponse(ServerListJson(2, false, "")));
  CHECK(ReadCallHead(old).starts_with("GET /api/targets?since=2&"));
  // PROXY_DISCOVERY still names the old address. The call to the new one is never answered.
  router.process.Reload(Router::Config(elsewhere.address(), ""));
  Fd passing = elsewhere.Accept();
  CHECK(ReadCallHead(passing).starts_with("GET /api/targets HTTP/1.1\r\n"));
  CHECK(old.PeerClosed());
  router.process.Reload(Router::Config(later.address(), ""));  // again, during that call
  Fd fresh = later.Accept();
  CHECK(ReadCallHead(fresh).starts_with("GET /api/targets HTTP/1.1\r\n"));
  fresh.Write(HttpResponse(ServerListJson(3, true, ServerEntryJson("s1", server.address(), "in_service"))));
  CHECK(ReadCallHead(fresh).starts_with("GET /api/targets?since=3&"));
  CHECK(passing.PeerClosed());
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadUntil("x\r\n") == "VA 1 Oa1\r\nx\r\n");
  Fd busy = router.Connect();
  busy.Write(ReadCommand("k", "a2"));
  attempt.ReadLine();
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  router.process.Reload(Router::Config(elsewhere.address(), ""));  // during the shutdown
  attempt.Write("VA 1 Oa2\r\nx\r\n");
  CHECK(busy.ReadUntil("x\r\n") == "VA 1 Oa2\r\nx\r\n");
  CHECK(router.process.Wait() == 0);
}

// Guards against an outdated list because the calls of a large fleet are spread: a watch that times out
// must not wait like a refused one.
TEST_CASE("a watch that becomes unresponsive is reopened at once, however large the fleet") {
  Listener server, unused, discovery;
  Process process = Start(LargeFleetConfig(unused.address()), unused.address());
  process.Reload(LargeFleetConfig(discovery.address()));
  Fd watch = discovery.Accept();
  ReadCallHead(watch);
  watch.Write(HttpResponse(ServerListJson(7, true, ServerEntryJson("s1", server.address(), "in_service"))));
  CHECK(ReadCallHead(watch).starts_with("GET /api/targets?since=7&"));
  Fd reopened = discovery.Accept();  // the first one was not answered
  CHECK(watch.PeerClosed());
  CHECK(ReadCallHead(reopened).starts_with("GET /api/targets?since=7&"));
  reopened.Write(
      HttpResponse(ServerListJson(8, false, ServerEntryJson("s1", server.address(), "terminating"))));
  CHECK(ReadCallHead(reopened).starts_with("GET /api/targets?since=8&"));
  CHECK_FALSE(process.err.ReadUntil("s1 at " + server.address() + " is terminating").empty());
}

// Guards against an update that discovery has written and its connection has lost: discovery counts it as
// sent.
TEST_CASE("a watch whose connection breaks is reopened once and at once, however large the fleet") {
  Listener server, unused, discovery;
  Process process = Start(LargeFleetConfig(unused.address()), unused.address());
  process.Reload(LargeFleetConfig(discovery.address()));
  Fd watch = discovery.Accept();
  ReadCallHead(watch);
  const std::string list =
      HttpResponse(ServerListJson(7, true, ServerEntryJson("s1", server.address(), "in_service")));
  watch.Write(list);
  for (const std::string& begun : {std::string(), list.substr(0, list.size() / 2)}) {
    ReadCallHead(watch);
    watch.Write(begun);
    watch.Close();
    Fd reopened = discovery.Accept();
    CHECK(ReadCallHead(reopened).starts_with("GET /api/targets?since=7&timeout_ms=0 "));
    reopened.Write(list);
    watch = std::move(reopened);
  }
}

// Guards against a drain that is not received within its grace period while one connection after another
// breaks.
TEST_CASE("a watch is reopened soon even if the call that was to reopen it broke as well") {
  Listener server, unused, discovery;
  Process process = Start(LargeFleetConfig(unused.address()), unused.address());
  process.Reload(LargeFleetConfig(discovery.address()));
  Fd watch = discovery.Accept();
  ReadCallHead(watch);
  watch.Write(HttpResponse(ServerListJson(7, true, ServerEntryJson("s1", server.address(), "in_service"))));
  ReadCallHead(watch);
  watch.Close();
  Fd reopened = discovery.Accept();
  ReadCallHead(reopened);
  reopened.Close();
  Fd again = discovery.Accept();
  CHECK(ReadCallHead(again).starts_with("GET /api/targets?since=7&timeout_ms=0 "));
}

// Guards against a shortage of this router that is handled like a refusal by discovery, with a long wait.
TEST_CASE("a call to discovery that lacks a descriptor is made as soon as one is available") {
  Listener server, unused, discovery;
  Process process = Start(LargeFleetConfig(unused.address()), unused.address());
  process.Reload(LargeFleetConfig(discovery.address()));
  Fd watch = discovery.Accept();
  ReadCallHead(watch);
  watch.Write(HttpResponse(ServerListJson(7, true, ServerEntryJson("s1", server.address(), "in_service"))));
  ReadCallHead(watch);
  const rlimit none{3, 256}, enough{256, 256};
  REQUIRE(::prlimit(process.pid, RLIMIT_NOFILE, &none, nullptr) == 0);
  watch.Close();
  CHECK_FALSE(process.err.ReadUntil("cannot connect").empty());
  REQUIRE(::prlimit(process.pid, RLIMIT_NOFILE, &enough, nullptr) == 0);
  Fd reopened = discovery.Accept();
  // Not delayed like a refusal, after which the next call would be a watch that waits for changes.
  CHECK(ReadCallHead(reopened).starts_with("GET /api/targets?since=7&timeout_ms=0 "));
}

TEST_CASE(
    "a full table: idle clients are evicted, and requests beyond the limit are refused with a delay") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"),
                40);  // 15 connections a side, 14 requests
  std::vector<Fd> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(router.Connect());
    clients.back().Write("mn\r\n");
    CHECK(clients.back().ReadLine() == "MN\r\n");
  }
  CHECK(clients.front().PeerClosed());  // idle for longest
  int number = 0;
  const auto ask = [&](Fd& s, int requests) {
    std::string all;
    for (int i = 0; i < requests; ++i, ++number) {
      all += ReadCommand("k" + std::to_string(number), "a" + std::to_string(number));
    }
    s.Write(all);
  };
  Fd* const last = &clients.back();
  ask(last[0], 5);  // four requests per client are open at most: the fifth waits
  ask(last[-1], 4);
  ask(last[-2], 4);
  ask(last[-3], 2);
  std::vector<Fd> attempts;
  std::size_t first = 0;
  for (std::size_t i = 0; i < 14; ++i) {  // each open request has its connection
    attempts.push_back(server.Accept());
    const std::string line = attempts.back().ReadLine();
    CHECK(line.find(" Oa4 ") == std::string::npos);
    if (line.find(" Oa0 ") != std::string::npos) first = i;
  }
  ask(last[-4], 1);
  CHECK(last[-4].ReadLine() == "SERVER_ERROR busy 500\r\n");
  attempts[first].Write("VA 1 Oa0\r\nx\r\n");
  CHECK(last[0].ReadUntil("x\r\n") == "VA 1 Oa0\r\nx\r\n");
  CHECK(attempts[first].ReadLine().find(" Oa4 ") != std::string::npos);
}

TEST_CASE("counters on SIGUSR1") {
  Router router("");
  Fd client = router.Connect();
  client.Write("mn\r\nwhat\r\n");
  CHECK(client.ReadLine() == "MN\r\n");
  CHECK(client.ReadLine() == "ERROR\r\n");
  REQUIRE(::kill(router.process.pid, SIGUSR1) == 0);
  CHECK(router.process.err.ReadUntil("clients=1 requests_in=0 turned_away=0 bad_commands=1 ").size() > 0);
  CHECK(router.process.err.ReadUntil("; now open: requests=0 clients=1 server_connections=0\n").size() > 0);
  CHECK(router.process.err.ReadUntil("answer bytes: reserved=0 held=0 unsent=0 shared=0 highest=").size() >
        0);
}

TEST_CASE("a bad server list is refused as a whole and logged, and the old one stays in use") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  ReadCallHead(discovery);
  discovery.Write(HttpResponse(ServerListJson(2, true, R"({"uid":"s9","state":"dozing"})")));
  CHECK_FALSE(router.process.err.ReadUntil("server list refused").empty());
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg k v Oa1"));
}

TEST_CASE("changes older than the held list have no effect, and the whole list is requested") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd discovery = router.discovery.Accept();
  ReadCallHead(discovery);
  discovery.Write(
      HttpResponse(ServerListJson(0, false, ServerEntryJson("s1", server.address(), "terminated"))));
  CHECK_FALSE(router.process.err.ReadUntil("changes of version 0, older than what is held").empty());
  Fd again = router.discovery.Accept();
  CHECK(ReadCallHead(again).starts_with("GET /api/targets HTTP"));
  Fd client = router.Connect();
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg k v Oa1"));
}

TEST_CASE("a bad configuration ends the program with one line of output") {
  Process p = Start(R"({"name":"n1","listen":"nowhere"})");
  CHECK(p.listen == "brasswood: configuration: \"listen\" is not an address and port: nowhere\n");
  CHECK(p.Wait() == 1);
  Process deep = Start(std::string(1000000, '['));  // recursive parsing would exhaust the stack
  CHECK(deep.listen.starts_with("brasswood: configuration: "));
  CHECK(deep.Wait() == 1);
}

TEST_CASE("a large value is streamed to its client, even if that takes longer than the request's time") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("big", "a1", 3000));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg big v Oa1"));
  const std::size_t size = 300000;  // more than Limits::max_value, so it is streamed
  attempt.Write("VA " + std::to_string(size) + " Oa1\r\n" + std::string(1000, 'x'));
  CHECK(client.ReadLine() == "VA " + std::to_string(size) + " Oa1\r\n");  // before the rest is sent
  CHECK(client.ReadExactly(1000) == std::string(1000, 'x'));
  for (std::size_t sent = 1000; sent < size; sent += 49900) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));  // longer in total than the request's time
    attempt.Write(std::string(std::min<std::size_t>(49900, size - sent), 'y'));
  }
  attempt.Write("\r\n");
  CHECK(client.ReadExactly(size - 1000 + 2) == std::string(size - 1000, 'y') + "\r\n");
  client.Write("mn\r\n");
  CHECK(client.ReadLine() == "MN\r\n");  // the connection stays usable
}

TEST_CASE("if a server breaks off a large value, its client's connection ends where the value stops") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd client = router.Connect();
  client.Write(ReadCommand("big2", "a2", 3000));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg big2 v Oa2"));
  attempt.Write("VA 300000 Oa2\r\n" + std::string(5000, 'z'));
  CHECK(client.ReadLine() == "VA 300000 Oa2\r\n");
  CHECK(client.ReadExactly(5000) == std::string(5000, 'z'));
  attempt.Close();  // no second answer follows: the client can tell that the value is incomplete
  CHECK(client.PeerClosed());
}
