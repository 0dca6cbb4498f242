// The admin interface: first its parser and calls without sockets, then that of the program over loopback.
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "admin/calls.h"
#include "admin/heartbeat_files.h"
#include "admin/metrics.h"
#include "admin/operator_state.h"
#include "admin_router.h"
#include "config/limits.h"
#include "protocol/admin_http.h"
#include "world.h"

using namespace brasswood;
using namespace brasswood::testing;

TEST_CASE("an admin call is parsed however it is split, and only once it is complete") {
  const std::string call =
      "POST /v1/cache-servers/s-1/suspend HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
  for (std::size_t cut = 0; cut < call.size(); ++cut) {
    std::size_t used = 0;
    AdminRequest got;
    INFO("cut at " << cut);
    CHECK(ParseAdminRequest(std::string_view(call).substr(0, cut), {}, used, got) == Parsed::kMore);
  }
  std::size_t used = 0;
  AdminRequest got;
  REQUIRE(ParseAdminRequest(call, {}, used, got) == Parsed::kDone);
  CHECK(used == call.size());
  CHECK(got.method == "POST");
  CHECK(got.path == "/v1/cache-servers/s-1/suspend");
  REQUIRE(ParseAdminRequest("GET /v1/metrics?x=1 HTTP/1.0\r\n\r\n", {}, used, got) == Parsed::kDone);
  CHECK(got.path == "/v1/metrics");
}

TEST_CASE("an invalid admin call is answered with an error status at once") {
  const struct {
    std::string text;
    int status;
  } cases[] = {
      {"\x16\x03\x01 hello", 400},                           // not HTTP at all
      {"GET\r\n\r\n", 400},                                  // no target
      {"GET /v1/readyz HTTP/2.0\r\n\r\n", 505},              // another version
      {"GET v1/readyz HTTP/1.1\r\n\r\n", 400},               // not a path
      {"GET /v1/readyz HTTP/1.1\r\nno colon\r\n\r\n", 400},  // a broken field
      {"POST /v1/router/drain HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400},
      {"POST /v1/router/drain HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", 413},
      {"POST /v1/router/drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
      {"GET /" + std::string(9000, 'a'), 431},  // an endless head
  };
  for (const auto& c : cases) {
    std::size_t used = 0;
    AdminRequest got;
    INFO(c.text.substr(0, 60));
    REQUIRE(ParseAdminRequest(c.text, {}, used, got) == Parsed::kBad);
    CHECK(got.status == c.status);
    CHECK_FALSE(got.error.empty());
  }
}

TEST_CASE("admin paths match exactly, each with its method") {
  const struct {
    const char *method, *path;
    int status;
    CallKind kind;
    const char* id;
  } cases[] = {
      {"GET", "/v1/readyz", 0, CallKind::kReady, ""},
      {"GET", "/v1/metrics", 0, CallKind::kMetrics, ""},
      {"POST", "/v1/cache-servers/s-5be2a07c/suspend", 0, CallKind::kSuspend, "s-5be2a07c"},
      {"POST", "/v1/cache-servers/s-5be2a07c/resume", 0, CallKind::kResume, "s-5be2a07c"},
      {"POST", "/v1/router/drain", 0, CallKind::kDrain, ""},
      {"POST", "/v1/router/activate", 0, CallKind::kActivate, ""},
      {"POST", "/v1/readyz", 405, CallKind::kReady, ""},
      {"GET", "/v1/router/drain", 405, CallKind::kDrain, ""},
      {"get", "/v1/readyz", 405, CallKind::kReady, ""},  // methods are case-sensitive
      {"GET", "/v1/readyz/", 404, CallKind::kReady, ""},
      {"GET", "/readyz", 404, CallKind::kReady, ""},
      {"POST", "/v1/cache-servers//suspend", 404, CallKind::kReady, ""},
      {"POST", "/v1/cache-servers/a/b/suspend", 404, CallKind::kReady, ""},
      {"POST", "/v1/cache-servers/s-1/restart", 404, CallKind::kReady, ""},
  };
  for (const auto& c : cases) {
    INFO(c.method << ' ' << c.path);
    const Route r = Resolve(c.method, c.path);
    CHECK(r.status == c.status);
    if (c.status != 404) CHECK(r.kind == c.kind);
    if (c.status == 0) CHECK(r.id == c.id);
  }
}

TEST_CASE("metrics are formatted as lines of name, value and type") {
  Metrics metrics;
  metrics.classes = {{"get-tarball", 812, 3, 1}, {"publish", 0, 0, 0}};
  metrics.upstream_tries = 900;
  metrics.in_progress = 14;
  metrics.known_cache_servers = 9;
  metrics.skipped_cache_servers = 1;
  CHECK(FormatMetrics(metrics) ==
        "router.passed.get-tarball:812|c\nrouter.dropped.get-tarball:3|c\nrouter.bad_gateway.get-tarball:1|"
        "c\n"
        "router.passed.publish:0|c\nrouter.dropped.publish:0|c\nrouter.bad_gateway.publish:0|c\n"
        "router.upstream_tries:900|c\nrouter.in_progress:14|g\nrouter.known_cache_servers:9|g\n"
        "router.skipped_cache_servers:1|g\n");
}

TEST_CASE("operator state is decoded as it was encoded, and an incomplete or foreign text is refused") {
  OperatorState state;
  state.SetSuspended("s-1", true, {"w1"});
  state.SetSuspended("s-2", true, {"w2"});
  state.SetSuspended("s-1", false, {"w2"});
  state.SetDrained(true, {"w1"});
  state.AdoptSuspended("s-3");
  const std::string text = Encode(state);
  CHECK(Decode(text) == state);
  CHECK(Decode(Encode({})) == OperatorState{});
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    INFO("cut at " << cut);
    CHECK_FALSE(Decode(text.substr(0, cut)));
  }
  CHECK_FALSE(Decode("brasswood operator state 3\nend\n"));
  OperatorState former;
  former.AdoptSuspended("s-1");
  CHECK(Decode("brasswood operator state 1\nsuspended s-1\nend\n") == former);
  for (const char* line : {"server s-1 suspended 1", "server s-1 banned 1 w", "server s-1 suspended x w",
                           "server s-1 suspended -1 w", "server s-1 suspended 18446744073709551615 w",
                           "router drained 1", "router off 1 w", ""})
    CHECK_FALSE(Decode("brasswood operator state 2\n" + std::string(line) + "\nend\n"));
  CHECK_FALSE(Decode("brasswood operator state 1\nbanned s-1\nend\n"));
  CHECK_FALSE(Decode(text + "suspended s-3\n"));
}

// ---- The admin interface of the program ----

TEST_CASE("a router without admin_addr has no admin interface") {
  Router router("");
  CHECK(router.process.admin_address.empty());
}

TEST_CASE(
    "the admin interface answers readiness, metrics after known traffic, and unknown paths and methods") {
  AdminRouter r;
  REQUIRE_FALSE(r.process.admin_address.empty());
  CHECK(Status(Get(r.process.admin_address, "/v1/readyz")) == 200);
  CHECK(Status(Get(r.process.admin_address, "/v1/nothing")) == 404);
  CHECK(Status(Post(r.process.admin_address, "/v1/metrics")) == 405);
  CHECK(Status(Call(r.process.admin_address, "BREW /v1/readyz HTTP/1.1\r\n\r\n")) == 405);
  CHECK(Status(Call(r.process.admin_address, "garbage\r\n\r\n")) == 400);
  Fd client = r.Connect(r.process);
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = r.nodes[FirstConnected({&r.nodes[0], &r.nodes[1]})].Accept();
  CHECK(attempt.ReadLine().starts_with("mg k v Oa1"));
  const std::string during = Get(r.process.admin_address, "/v1/metrics");
  CHECK(during.find("router.in_progress:1|g\n") != std::string::npos);
  CHECK(during.find("router.upstream_tries:1|c\n") != std::string::npos);
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadLine() == "VA 1 Oa1\r\n");
  CHECK(client.ReadLine() == "x\r\n");
  const std::string after = Get(r.process.admin_address, "/v1/metrics");
  CHECK(after.find("router.passed.read:1|c\n") != std::string::npos);
  CHECK(after.find("router.passed.publish:0|c\n") != std::string::npos);
  CHECK(after.find("router.in_progress:0|g\n") != std::string::npos);
  CHECK(after.find("router.known_cache_servers:2|g\n") != std::string::npos);
  CHECK(after.find("router.skipped_cache_servers:0|g\n") != std::string::npos);
  // A miss goes on to the origin: that attempt counts as an upstream try too.
  attempt.Close();  // so that the next attempt comes on a new connection, whichever cache server it goes to
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  client.Write(ReadCommand("m", "a2"));
  const std::size_t home = FirstConnected({&r.nodes[0], &r.nodes[1], &r.origin});
  REQUIRE(home < 2);  // a cache server first
  Fd missed = r.nodes[home].Accept();
  CHECK(missed.ReadLine().starts_with("mg m v Oa2"));
  missed.Write("EN Oa2\r\n");
  Fd fetch = r.origin.Accept();
  CHECK(fetch.ReadUntil("\r\n\r\n").starts_with("GET /m HTTP/1.1\r\n"));
  fetch.Write(HttpResponse("v"));
  CHECK(client.ReadLine() == "VA 1 Oa2\r\n");
  CHECK(client.ReadLine() == "v\r\n");
  CHECK(Get(r.process.admin_address, "/v1/metrics").find("router.upstream_tries:3|c\n") !=
        std::string::npos);
}

TEST_CASE("the admin interface answers while other callers send nothing or half a call") {
  AdminRouter r;
  std::vector<Fd> silent;
  for (int i = 0; i < 40; ++i) {  // more than Limits::max_admin_connections
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(r.process.admin_address.substr(r.process.admin_address.rfind(':') + 1))));
    REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    if (i % 2 == 1) fd.Write("GET /v1/rea");
    silent.push_back(std::move(fd));
  }
  CHECK(Status(Get(r.process.admin_address, "/v1/readyz")) == 200);
  // The half call is answered at its deadline, or closed for a newer one; it never stays open.
  const std::string answer = silent.back().ReadUntil("\r\n\r\n");
  CHECK((answer.empty() || Status(answer) == 400));
}

TEST_CASE("suspend and resume: unknown ids are refused, and a suspended server gets no new attempt") {
  AdminRouter r;
  CHECK(Status(Post(r.process.admin_address, "/v1/cache-servers/s-nobody/suspend")) == 404);
  CHECK(Status(Post(r.process.admin_address, "/v1/cache-servers/s-nobody/resume")) == 404);
  REQUIRE(Status(Post(r.process.admin_address, "/v1/cache-servers/s0/suspend")) == 200);
  REQUIRE(Status(Post(r.process.admin_address, "/v1/cache-servers/s0/suspend")) == 200);
  CHECK(Get(r.process.admin_address, "/v1/metrics").find("router.skipped_cache_servers:1|g\n") !=
        std::string::npos);
  // Attempts may still be sent until half of the grace period is over.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  Fd client = r.Connect(r.process);
  std::vector<Fd> attempts;  // answered only once all are sent, so that each has a connection of its own
  for (int i = 0; i < 4; ++i) {
    client.Write(ReadCommand("key" + std::to_string(i), "a" + std::to_string(i)));
    REQUIRE(FirstConnected({&r.nodes[0], &r.nodes[1]}) == 1);  // never the suspended server
    attempts.push_back(r.nodes[1].Accept());
    CHECK(attempts.back().ReadLine().starts_with("mg key" + std::to_string(i)));
  }
  for (int i = 0; i < 4; ++i) {
    const std::string id = "a" + std::to_string(i);
    attempts[static_cast<std::size_t>(i)].Write("VA 1 O" + id + "\r\nx\r\n");
    CHECK(client.ReadLine() == "VA 1 O" + id + "\r\n");
    CHECK(client.ReadLine() == "x\r\n");
  }
  // One resume undoes both suspends.
  REQUIRE(Status(Post(r.process.admin_address, "/v1/cache-servers/s0/resume")) == 200);
  CHECK(Get(r.process.admin_address, "/v1/metrics").find("router.skipped_cache_servers:0|g\n") !=
        std::string::npos);
}

TEST_CASE("a suspension survives a replacement: the new process reads it from the shared state") {
  AdminRouter r;
  REQUIRE(Status(Post(r.process.admin_address, "/v1/cache-servers/s1/suspend")) == 200);
  Process second = r.StartProcess();
  REQUIRE_FALSE(second.admin_address.empty());
  CHECK(Get(second.admin_address, "/v1/metrics").find("router.skipped_cache_servers:1|g\n") !=
        std::string::npos);
  REQUIRE(Status(Post(second.admin_address, "/v1/cache-servers/s1/resume")) == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(700));  // the old process reads the file too
  CHECK(Get(r.process.admin_address, "/v1/metrics").find("router.skipped_cache_servers:0|g\n") !=
        std::string::npos);
}

TEST_CASE(
    "draining: mn is answered with an error and idle connections close, until the router is activated") {
  AdminRouter r;
  Fd idle = r.Connect(r.process);
  idle.Write("mn\r\n");
  CHECK(idle.ReadLine() == "MN\r\n");
  Fd busy = r.Connect(r.process);
  busy.Write(ReadCommand("k", "b1"));
  Fd attempt = r.nodes[FirstConnected({&r.nodes[0], &r.nodes[1]})].Accept();
  CHECK(attempt.ReadLine().starts_with("mg k v Ob1"));
  REQUIRE(Status(Post(r.process.admin_address, "/v1/router/drain")) == 200);
  CHECK(Status(Get(r.process.admin_address, "/v1/readyz")) == 503);
  CHECK(idle.PeerClosed());            // an idle connection is closed at once
  attempt.Write("VA 1 Ob1\r\nx\r\n");  // an accepted request is answered, then its connection is closed
  CHECK(busy.ReadLine() == "VA 1 Ob1\r\n");
  CHECK(busy.ReadLine() == "x\r\n");
  CHECK(busy.PeerClosed());
  Fd probe = r.Connect(r.process);  // a new connection is still accepted
  probe.Write("mn\r\n");
  CHECK(probe.ReadLine().starts_with("SERVER_ERROR"));
  REQUIRE(Status(Post(r.process.admin_address, "/v1/router/activate")) == 200);
  CHECK(Status(Get(r.process.admin_address, "/v1/readyz")) == 200);
  Fd again = r.Connect(r.process);
  again.Write("mn\r\n");
  CHECK(again.ReadLine() == "MN\r\n");
}

// Guards against a connection that a drain never ends, because it has a command open at each moment
// (review/10).
TEST_CASE("draining: a connection that always has a command open is ended, and all it sent is answered") {
  AdminRouter r;
  // The origin's connection on which a publish was forwarded; none if that does not happen.
  const auto next_attempt = [&r](Fd& idle) -> std::optional<Fd> {
    constexpr int kWaitMs = 1500;
    pollfd from[] = {{r.origin.get(), POLLIN, 0}, {idle.get(), POLLIN, 0}};
    if (::poll(from, 2, kWaitMs) < 1) return std::nullopt;
    Fd attempt = from[1].revents != 0 ? std::move(idle) : r.origin.Accept();
    REQUIRE(attempt.ReadUntil("\r\n\r\nbody").starts_with("PUT "));
    return attempt;
  };
  Fd client = r.Connect(r.process), idle;
  int sent = 0;
  const auto send = [&] { client.Write(PublishCommand("p", "c" + std::to_string(++sent), "body")); };
  send();
  Fd attempt = *next_attempt(idle);
  REQUIRE(Status(Post(r.process.admin_address, "/v1/router/drain")) == 200);
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  // Each command is sent before the one in front of it is answered.
  bool forwarded = true;
  while (forwarded && std::chrono::steady_clock::now() < limit) {
    send();
    std::optional<Fd> next = next_attempt(idle);
    attempt.Write(HttpResponse("receipt"));
    CHECK(client.ReadLine() == "HD Oc" + std::to_string(sent - 1) + " creceipt\r\n");
    idle = std::move(attempt);
    forwarded = next.has_value();
    if (forwarded) attempt = std::move(*next);
  }
  REQUIRE_FALSE(forwarded);
  CHECK(client.ReadLine().starts_with("SERVER_ERROR busy"));
  CHECK(client.PeerClosed());
  CHECK(std::chrono::steady_clock::now() < limit);
}

TEST_CASE("two processes of one router divide its limits, and a single one has all of them") {
  Limits whole;
  whole.max_server_connections = 168;
  whole.max_clients = 168;
  whole.max_requests = 159;
  whole.max_idle_clients = 32;
  whole.max_idle_reused_clients = 84;
  CHECK(LimitsPerProcess(whole, 1).max_server_connections == 168);
  CHECK(LimitsPerProcess(whole, 0).max_clients == 168);
  const Limits half = LimitsPerProcess(whole, 2);
  CHECK(half.max_server_connections + half.max_server_connections <= whole.max_server_connections);
  CHECK(half.max_clients + half.max_clients <= whole.max_clients);
  CHECK(half.max_requests <= half.max_server_connections);
  CHECK(half.max_requests <= half.max_clients);
  CHECK(half.max_idle_clients <= half.max_clients);
  CHECK(half.max_idle_reused_clients <= half.max_clients);
  CHECK(half.max_answer_memory + half.max_answer_memory <= whole.max_answer_memory);
  CHECK(half.max_value == whole.max_value);  // sizes and times are not divided
  CHECK(half.command_timeout == whole.command_timeout);
  Limits tiny;
  tiny.max_server_connections = tiny.max_clients = 6;
  CHECK(LimitsPerProcess(tiny, 3).max_server_connections >= 4);  // the minimum
}

TEST_CASE(
    "heartbeat files count the processes of one router, and one that is not renewed no longer counts") {
  char path[] = "/tmp/brasswood-live-XXXXXX";
  REQUIRE(::mkdtemp(path) != nullptr);
  HeartbeatFiles own(path, "n1", std::chrono::milliseconds(300));
  CHECK(own.RenewAndCount() == 1);
  std::ofstream(std::string(path) + "/brasswood-n1.live.999999") << "999999\n";  // another process
  std::ofstream(std::string(path) + "/brasswood-n2.live.999998") << "999998\n";  // of another router
  CHECK(own.RenewAndCount() == 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  CHECK(own.RenewAndCount() == 1);  // the other process stopped renewing its file
}

TEST_CASE("the file of an ended process no longer counts, even if the clock was set back since") {
  char path[] = "/tmp/brasswood-live-XXXXXX";
  REQUIRE(::mkdtemp(path) != nullptr);
  HeartbeatFiles own(path, "n1", std::chrono::milliseconds(100));
  const std::string other = std::string(path) + "/brasswood-n1.live.999999";
  std::ofstream(other) << "999999\n";
  CHECK(own.RenewAndCount() == 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(own.RenewAndCount() == 1);
  const auto later = std::filesystem::file_time_type::clock::now() + std::chrono::hours(1);
  std::filesystem::last_write_time(other, later);  // as if renewed under another clock
  CHECK(own.RenewAndCount() == 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(own.RenewAndCount() == 1);
}
