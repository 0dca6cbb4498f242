// Persisted state: its text format against every kind of damage, how its age lowers the confidence in it,
// and a router that restarts from it.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "recovery/startup.h"
#include "state/atomic_file.h"
#include "state/snapshot.h"
#include "state/snapshot_keeper.h"
#include "world.h"

using namespace brasswood;
using namespace brasswood::testing;
using namespace std::chrono_literals;
using beechledge::Availability;
using beechledge::ListKind;
using beechledge::Startup;

namespace {

Snapshot Sample() {
  Snapshot s;
  s.router = "n1";
  s.taken_at = 1000s;
  s.list.version = 41;
  s.list.entries = {{"s-1", "127.0.0.1:11", 0, 1, 2, Availability::kUp, 1.5, 900s},
                    {"s-2", "127.0.0.1:12", 1, 0, 0, Availability::kDraining, 1, 0s}};
  s.suspended = {"s-2"};
  s.module_state.servers = {{0, 12.5, -3.25, 0.5, 700ms}, {1, 3, -2, 0, 0s}};
  s.module_state.origin = {12, 0.06, 0.08};
  for (std::uint64_t key = 1; key < 50; ++key)
    s.module_state.keys.push_back({key * 0x9e3779b97f4a7c15u, {key % 2 == 0}});
  return s;
}

struct StateFolder {
  std::string path, settings;
  StateFolder() {
    char name[] = "/tmp/brasswood-state-XXXXXX";
    REQUIRE(::mkdtemp(name) != nullptr);
    path = name;
    settings = path + "/state.json";
    std::ofstream(settings) << R"({"state":{"folder":")" + path + R"(","every_ms":100}})";
  }
  ~StateFolder() { std::filesystem::remove_all(path); }
  std::string file() const { return path + "/n1.state"; }
  // Waits for a snapshot whose list has at least version `rev`.
  Snapshot Await(std::int64_t rev) const {
    for (;;) {
      std::string why;
      const auto text = ReadFile(file(), kMaxSnapshotBytes, why);
      const auto got = text ? DecodeSnapshot(*text, why) : std::nullopt;
      if (got && got->list.version >= rev) return *got;
      ::usleep(10000);
    }
  }
};

}  // namespace

TEST_CASE("a snapshot is decoded as it was encoded") {
  const Snapshot s = Sample();
  std::string why;
  const auto back = DecodeSnapshot(EncodeSnapshot(s), why);
  REQUIRE(back);
  CHECK(EncodeSnapshot(*back) == EncodeSnapshot(s));
  CHECK(back->list.entries[1].availability == Availability::kDraining);
  CHECK(back->module_state.servers[0].ejection_left == 700ms);
  CHECK(back->module_state.keys[3].holders == s.module_state.keys[3].holders);
}

TEST_CASE("a snapshot that is incomplete, changed or in another format is refused") {
  const std::string text = EncodeSnapshot(Sample());
  std::string why;
  for (std::size_t n = 0; n < text.size(); ++n) {
    INFO("cut at " << n);
    CHECK_FALSE(DecodeSnapshot(text.substr(0, n), why));
    std::string changed = text;
    changed[n] = static_cast<char>(changed[n] ^ 1);
    CHECK_FALSE(DecodeSnapshot(changed, why));
  }
  CHECK_FALSE(DecodeSnapshot(text + "x", why));
  std::string newer = text;
  newer.replace(newer.find("state 1"), 7, "state 2");
  CHECK_FALSE(DecodeSnapshot(newer, why));
  CHECK(why == "of another layout");
  // The checksum is right, but the snapshot refers to servers that it does not list.
  Snapshot invalid = Sample();
  invalid.module_state.servers[0].id = 7;
  CHECK_FALSE(DecodeSnapshot(EncodeSnapshot(invalid), why));
  invalid = Sample();
  invalid.module_state.keys[0].holders = {99};
  CHECK_FALSE(DecodeSnapshot(EncodeSnapshot(invalid), why));
}

TEST_CASE("the confidence in learnt state falls with its age") {
  CHECK(SnapshotConfidence(0s, 300s, 3600s) == 1);
  CHECK(SnapshotConfidence(300s, 300s, 3600s) == Approx(0.5));
  CHECK(SnapshotConfidence(3601s, 300s, 3600s) == 0);
  CHECK(SnapshotConfidence(-1s, 300s, 3600s) == 0);
}

TEST_CASE("state settings: an error is reported as one line") {
  CHECK(ReadStateSettings(R"({"state":{"folder":"/x","keys":16}})").max_keys == 16);
  for (const char* bad :
       {"", "[]", "{}", R"({"state":{}})", R"({"state":{"folder":1}})",
        R"({"state":{"folder":"/x","every_ms":1}})", R"({"state":{"folder":"/x","other":1}})"}) {
    INFO(bad);
    CHECK_THROWS_WITH(ReadStateSettings(bad), Catch::StartsWith("state settings: "));
  }
}

TEST_CASE("servers of an old list get one attempt at a time until discovery or an answer confirms them") {
  Startup s;
  CHECK(s.phase() == Startup::Phase::kNoList);
  s.ListReceived(ListKind::kPersisted, true);
  CHECK(s.phase() == Startup::Phase::kPersisted);
  CHECK(s.MayTry(0, false));
  CHECK_FALSE(s.MayTry(1, false));
  CHECK(s.MayTry(5, true));
  s.ListReceived(ListKind::kRefused, false);
  CHECK_FALSE(s.MayTry(1, false));
  s.ListReceived(ListKind::kAll, false);
  CHECK(s.MayTry(1, false));
  s.ListReceived(ListKind::kPersisted, true);  // a confirmation is not taken back
  CHECK(s.MayTry(1, false));
  Startup fresh;
  fresh.ListReceived(ListKind::kPersisted, false);
  CHECK(fresh.MayTry(1, false));
}

TEST_CASE("a router restarts from its snapshot, suspensions included, while discovery does not answer") {
  StateFolder state;
  Listener discovery, silent, node, other;
  const std::string list = ServerEntryJson("s1", node.address(), "in_service") + "," +
                           ServerEntryJson("s2", other.address(), "in_service");
  {
    Process first = Start(Router::Config(discovery.address(), list), discovery.address(),
                          {"BRASSWOOD_STATE=" + state.settings});
    Fd watch = discovery.Accept();
    ReadCallHead(watch);
    watch.Write(HttpResponse(ServerListJson(7, true, list)));
    ReadCallHead(watch);
    const Snapshot stored = state.Await(7);
    CHECK(stored.list.entries.size() == 2);
    REQUIRE(::kill(first.pid, SIGKILL) == 0);
  }
  // As if an operator had suspended s2 just before the process ended.
  Snapshot suspended = state.Await(7);
  suspended.suspended = {"s2"};
  std::string why;
  REQUIRE(WriteFileAtomically(state.file(), EncodeSnapshot(suspended), why));
  Process restarted =
      Start(Router::Config(silent.address(), ""), silent.address(), {"BRASSWOOD_STATE=" + state.settings});
  Fd client(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(
      static_cast<std::uint16_t>(std::stoi(restarted.listen.substr(restarted.listen.rfind(':') + 1))));
  REQUIRE(::connect(client.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "a" + std::to_string(i);
    client.Write(ReadCommand("key" + std::to_string(i), id));
    REQUIRE(FirstConnected({&node, &other}) == 0);  // never the suspended server
    Fd attempt = node.Accept();
    CHECK(attempt.ReadLine().starts_with("mg key" + std::to_string(i)));
    attempt.Write("VA 1 O" + id + "\r\nx\r\n");
    CHECK(client.ReadLine() == "VA 1 O" + id + "\r\n");
    CHECK(client.ReadLine() == "x\r\n");
  }
  // Discovery has not confirmed its list, so it does not overwrite the snapshot.
  CHECK(state.Await(7).suspended == std::set<std::string>{"s2"});
}

TEST_CASE("a snapshot of another router, incomplete or from the future is not used, and the older one is") {
  StateFolder state;
  Listener discovery, node;
  Snapshot s = Sample();
  s.taken_at = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
  // Starts a router with the two generations of its snapshot file. Whether its log contains `expected`.
  const auto logs = [&](const std::string& newer, const std::string& older, const std::string& expected) {
    std::ofstream(state.file(), std::ios::trunc) << newer;
    std::ofstream(state.file() + ".1", std::ios::trunc) << older;
    const Process p = Start(Router::Config(discovery.address(), ""), discovery.address(),
                            {"BRASSWOOD_STATE=" + state.settings});
    return p.startup_log.find(expected) != std::string::npos && !p.listen.empty();
  };
  const std::string valid = EncodeSnapshot(s);
  s.router = "n2";
  const std::string other_routers = EncodeSnapshot(s);
  s.router = "n1";
  s.taken_at += 1h;
  const std::string future = EncodeSnapshot(s);
  CHECK(logs(other_routers, "", "of another router"));
  CHECK(logs(other_routers, valid, "2 servers, 49 keys, 1 suspended"));
  CHECK(logs(valid.substr(0, valid.size() / 2), valid, "2 servers, 49 keys"));
  CHECK(logs(valid.substr(0, valid.size() / 2), "", "torn"));
  CHECK(logs(future, "", "in the future"));
  CHECK(logs("", "", "torn"));
}

// Hidden: run by name. Measures how long it takes to encode, decode and copy a snapshot, for the figures in
// docs/COMING_BACK.md.
TEST_CASE("the cost of a snapshot", "[.measure]") {
  for (const std::size_t keys : {std::size_t{8192}, std::size_t{65536}}) {
    Snapshot s = Sample();
    for (int i = 2; i < 200; ++i) {
      s.list.entries.push_back(
          {"s-" + std::to_string(i), "127.0.0.1:12", 0, 0, 0, Availability::kUp, 1, 0s});
    }
    s.module_state.keys.clear();
    for (std::uint64_t k = 0; k < keys; ++k) {
      s.module_state.keys.push_back(
          {k * 0x9e3779b97f4a7c15u, {static_cast<beechledge::ServerId>(k % 200)}});
    }
    const auto now = [] { return std::chrono::steady_clock::now(); };
    const auto ms = [](auto d) { return std::chrono::duration<double, std::milli>(d).count(); };
    auto at = now();
    const std::string text = EncodeSnapshot(s);
    const double encode = ms(now() - at);
    at = now();
    std::string why;
    REQUIRE(DecodeSnapshot(text, why));
    const double decode = ms(now() - at);
    at = now();
    const Snapshot copy = s;
    const double copied = ms(now() - at);
    std::printf("%zu keys: %zu bytes, encoded in %.1f ms, decoded in %.1f ms, copied in %.1f ms\n", keys,
                text.size(), encode, decode, copied);
    CHECK(copy.module_state.keys.size() == keys);
  }
}
