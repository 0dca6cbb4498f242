// The operator state of a router whose processes change it at the same time: merging, the file that they
// share, and two processes of the program.
#include "admin/operator_state.h"

#include <sys/file.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "admin/operator_state_file.h"
#include "admin_router.h"

using namespace brasswood;
using namespace brasswood::testing;
using namespace std::chrono_literals;

namespace {

std::string TemporaryFolder() {
  char path[] = "/tmp/brasswood-door-XXXXXX";
  REQUIRE(::mkdtemp(path) != nullptr);
  return path;
}

bool IsSuspended(const OperatorState& state, const std::string& uid) {
  const auto it = state.suspended().find(uid);
  return it != state.suspended().end() && it->second.set;
}

std::string Suspended(const Process& process) {
  const std::string metrics = Get(process.admin_address, "/v1/metrics"), name = "skipped_cache_servers:";
  const std::size_t at = metrics.find(name) + name.size();
  return metrics.substr(at, metrics.find('|', at) - at);
}

// The answer to `mn` on a new connection.
std::string Noop(const Process& process) {
  Fd client = ConnectTo(process.listen);
  client.Write("mn\r\n");
  return client.ReadLine();
}

}  // namespace

TEST_CASE(
    "operator states that are merged in any order, part and number are equal, and the newest change "
    "holds") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&random](std::size_t below) { return random() % below; };
    std::vector<OperatorState> states(3), messages;
    for (int step = 0; step < 60; ++step) {
      const std::size_t at = draw(states.size());
      // The clocks of the writers differ, and none of them orders what it has seen of the others.
      const ChangeOrigin writer{"w" + std::to_string(at), Time(draw(40))};
      if (draw(6) == 0) {
        states[at].SetDrained(draw(2) == 0, writer);
      } else {
        states[at].SetSuspended("s" + std::to_string(draw(3)), draw(2) == 0, writer);
      }
      messages.push_back(states[at]);
      if (draw(2) == 0) states[draw(states.size())].Merge(messages[draw(messages.size())]);
    }
    // A change that is made with all others in sight is newer than all of them.
    for (const OperatorState& message : messages) states[0].Merge(message);
    const bool last = draw(2) == 0;
    states[0].SetSuspended("s1", last, {"w0", Time(draw(40))});
    messages.push_back(states[0]);
    for (OperatorState& state : states) {
      std::shuffle(messages.begin(), messages.end(), random);
      for (const OperatorState& message : messages) state.Merge(message);
      CHECK(state == states[0]);
      CHECK(state.Includes(messages[0]));
      CHECK(IsSuspended(state, "s1") == last);
    }
  }
}

TEST_CASE("the number of entries for servers is bounded, and suspended ones are kept") {
  OperatorState state;
  state.SetSuspended("kept", true, {"w"});
  for (std::size_t i = 0; i < 2 * OperatorState::kMaxServers; ++i)
    state.SetSuspended("s" + std::to_string(i), false, {"w"});
  CHECK(state.suspended().size() == OperatorState::kMaxServers);
  CHECK(IsSuspended(state, "kept"));
}

// Guards against a change that was confirmed and is overwritten by another process, also by one that is
// killed while it writes.
TEST_CASE("a change is merged into the file, and the lock of a killed process does not stay") {
  const OperatorStateFile file(TemporaryFolder(), "n1");
  OperatorState first, second;
  std::string error;
  first.SetSuspended("s1", true, {"w1"});
  second.SetSuspended("s2", true, {"w2"});
  REQUIRE(file.MergeAndWrite(first, error));
  const pid_t holder = ::fork();
  if (holder == 0) {
    const int lock = ::open((file.path() + ".lock").c_str(), O_RDWR | O_CLOEXEC);
    ::flock(lock, LOCK_EX);
    for (;;) ::pause();
  }
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTimeoutMs);
  while (file.MergeAndWrite(second, error)) REQUIRE(std::chrono::steady_clock::now() < give_up);
  CHECK(error.find("another process is writing it") != std::string::npos);
  ::kill(holder, SIGKILL);
  ::waitpid(holder, nullptr, 0);
  REQUIRE(file.MergeAndWrite(second, error));
  CHECK(IsSuspended(second, "s1"));
  CHECK(file.Read(error) == second);
}

// Guards against a suspension that another process's change undoes (review/9).
TEST_CASE("suspensions at both processes of a replacement hold at both, also after one has ended") {
  AdminRouter r;
  Process second = r.StartProcess();
  REQUIRE(Status(Post(r.process.admin_address, "/v1/cache-servers/s0/suspend")) == 200);
  REQUIRE(Status(Post(second.admin_address, "/v1/cache-servers/s1/suspend")) == 200);
  std::this_thread::sleep_for(700ms);  // each reads the file several times
  CHECK(Suspended(r.process) == "2");
  CHECK(Suspended(second) == "2");
  REQUIRE(Status(Post(second.admin_address, "/v1/cache-servers/s0/resume")) == 200);
  REQUIRE(::kill(r.process.pid, SIGKILL) == 0);
  std::this_thread::sleep_for(700ms);
  CHECK(Suspended(second) == "1");
  Process third = r.StartProcess();
  CHECK(Suspended(third) == "1");
}

// Guards against a change that is undone by an older one whose process had made more changes, or has the
// greater id.
TEST_CASE("of two changes whose processes did not know of each other's, the later one holds") {
  AdminRouter r;
  Process second = r.StartProcess();
  const std::string temporary =
      r.directory + "/brasswood-n1.operator." + std::to_string(r.process.pid) + ".new";
  std::filesystem::create_directories(temporary + "/in-the-way");  // the first process cannot store
  for (const char* server : {"s1", "s0"}) {
    const std::string path = std::string("/v1/cache-servers/") + server + "/suspend";
    CHECK(Post(r.process.admin_address, path).find("not stored") != std::string::npos);
  }
  REQUIRE(Status(Post(second.admin_address, "/v1/cache-servers/s0/resume")) == 200);
  std::filesystem::remove_all(temporary);
  CHECK_FALSE(r.process.err.ReadUntil("\n", "operator state is stored again").empty());
  std::this_thread::sleep_for(700ms);  // each reads the file several times
  CHECK(Suspended(r.process) == "1");
  CHECK(Suspended(second) == "1");
}

// Guards against a yes that comes before a process that has just started knows of the change.
TEST_CASE("a suspension is known to a process that has just started when the call is answered") {
  AdminRouter r;
  std::vector<Process> processes;
  for (int i = 0; i < 5; ++i) {
    const bool suspend = i % 2 == 0;
    const std::string path = std::string("/v1/cache-servers/s0/") + (suspend ? "suspend" : "resume");
    processes.push_back(r.StartProcess());
    REQUIRE(Status(Post(r.process.admin_address, path)) == 200);
    CHECK(Suspended(processes.back()) == (suspend ? "1" : "0"));
  }
}

// Guards against a router that is drained at one of its processes and still says yes at the other one.
TEST_CASE("a drain at one process of a replacement holds at the other one, and so does its end") {
  AdminRouter r;
  Process second = r.StartProcess();
  std::this_thread::sleep_for(400ms);  // the first process knows the second one
  CHECK(Noop(second) == "MN\r\n");
  REQUIRE(Status(Post(r.process.admin_address, "/v1/router/drain")) == 200);
  CHECK(Noop(second).starts_with("SERVER_ERROR"));
  CHECK(Noop(r.process).starts_with("SERVER_ERROR"));
  CHECK(Status(Get(second.admin_address, "/v1/readyz")) == 503);
  Process third = r.StartProcess();  // beside processes that are drained
  CHECK(Noop(third).starts_with("SERVER_ERROR"));
  REQUIRE(Status(Post(second.admin_address, "/v1/router/activate")) == 200);
  CHECK(Noop(r.process) == "MN\r\n");
  CHECK(Noop(second) == "MN\r\n");
}

TEST_CASE("a router that was drained before it was killed starts active, and stays so") {
  AdminRouter r;
  REQUIRE(Status(Post(r.process.admin_address, "/v1/router/drain")) == 200);
  REQUIRE(::kill(r.process.pid, SIGKILL) == 0);
  std::this_thread::sleep_for(1500ms);  // its heartbeat is out of date
  Process second = r.StartProcess();
  CHECK(Noop(second) == "MN\r\n");
  std::this_thread::sleep_for(600ms);
  CHECK(Noop(second) == "MN\r\n");
}
