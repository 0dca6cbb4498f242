// The graceful shutdown: requests are forwarded up to a fixed moment and refused afterwards, and the time
// of the whole shutdown is bounded.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "core/connection_end.h"
#include "world.h"

using namespace brasswood;
using namespace brasswood::testing;
using namespace std::chrono_literals;

// Guards against starting work in a process that is about to be killed: connections that wait for an
// answer, and those that have not sent a command yet, stay open after the listener is closed.
TEST_CASE("SIGTERM: a command read after the last moment for new work is refused and reaches no server") {
  Listener server;
  Router router(ServerEntryJson("s1", server.address(), "in_service"));
  Fd waiting = router.Connect(), fresh = router.Connect();
  waiting.Write(ReadCommand("k1", "a1"));
  Fd attempt = server.Accept();
  CHECK(attempt.ReadLine().starts_with("mg k1 v Oa1"));  // never answered
  const auto begun = std::chrono::steady_clock::now();
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  CHECK_FALSE(router.process.err.ReadUntil(" stops; ").empty());
  std::this_thread::sleep_for(800ms);  // past the last moment for new work; a longer sleep does no harm
  waiting.Write(ReadCommand("k2", "a2") + PublishCommand("p", "a3", "body"));
  fresh.Write(ReadCommand("k4", "a4"));
  CHECK(fresh.ReadLine().starts_with("SERVER_ERROR busy"));
  CHECK(fresh.PeerClosed());
  CHECK_FALSE(IsConnectedTo(server));
  CHECK_FALSE(IsConnectedTo(router.origin));
  // A request accepted in time is answered before the process may be killed, long before its own deadline.
  CHECK(waiting.ReadLine().starts_with("SERVER_ERROR "));
  CHECK(waiting.ReadLine().starts_with("SERVER_ERROR busy"));
  CHECK(waiting.ReadLine().starts_with("SERVER_ERROR busy"));
  CHECK(waiting.PeerClosed());
  CHECK(router.process.err.ReadUntil("\n", " counters: ").find(" violations=0\n") != std::string::npos);
  CHECK(router.process.Wait() == 0);
  CHECK(std::chrono::steady_clock::now() - begun < 6s);
}

// Guards against connections that are still in use 4 s after a drain of the router, when operators expect
// them to be gone.
TEST_CASE("a drain refuses new work after its first moments, and bounds the time of what it forwards") {
  const Limits limits;
  Drain drain(limits);
  const ConnectionState fresh{}, used{50s, false}, busy{50s, true}, late{102s, true};
  CHECK(drain.Admit(busy, 100s) == Admission::kForward);
  drain.Begin(100s);
  const Time last = 100s + limits.drain_accept_time;
  CHECK(drain.Admit(used, last - 1ms) == Admission::kForward);
  CHECK(drain.Admit(busy, last) == Admission::kRefuse);
  CHECK(drain.Admit(used, last) == Admission::kEnd);
  const ConnectionState crossing{50s, false, true};
  CHECK(drain.Admit(crossing, last) == Admission::kRefuse);
  CHECK(drain.Admit(crossing, last + limits.crossing_refuse_time) == Admission::kEnd);
  // What the router itself kept unread is refused as reading resumes, in the end only once more.
  const ConnectionState waited{50s, false, true, last, 120s}, again{50s, false, true, 102s, 103s};
  CHECK(drain.Admit(waited, 120s) == Admission::kRefuse);
  CHECK(drain.Admit(waited, 120s + limits.crossing_refuse_time) == Admission::kEnd);
  CHECK(drain.Admit(again, 103s) == Admission::kRefuse);
  CHECK(drain.Admit(again, last + limits.held_back_refuse_time) == Admission::kEnd);
  CHECK(last + limits.held_back_refuse_time < 104s);
  CHECK(drain.Admit(fresh, 110s) == Admission::kForward);  // the first command of a new connection
  CHECK(drain.Admit(late, last) == Admission::kForward);
  CHECK(drain.Admit(late, 103s) == Admission::kRefuse);
  CHECK(drain.AnswerBy(busy.first_command_at) < 104s);
  drain.End();
  CHECK(drain.Admit(busy, 110s) == Admission::kForward);
}
