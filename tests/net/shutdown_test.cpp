// The end of the process: a stated last moment at which work is forwarded, everything later refused, and a
// bound on the whole.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "world.h"

using namespace brasswood::testing;
using namespace std::chrono_literals;

namespace {

// Does anybody connect to this listener within a while?
bool Called(const Listener& listener) {
  pollfd p{listener.get(), POLLIN, 0};
  return ::poll(&p, 1, 200) == 1;
}

}  // namespace

// Guards against work begun for a process that is about to be killed: connections that are owed an answer,
// and those that have not spoken yet, stay open past the listener.
TEST_CASE("SIGTERM: a command read after the last moment for new work is refused and reaches no server") {
  Listener node;
  Router router(Target("s1", node.address(), "in_service"));
  Fd owed = router.Connect(), fresh = router.Connect();
  owed.Write(Read("k1", "a1"));
  Fd attempt = node.Accept();
  CHECK(attempt.Line().starts_with("mg k1 v Oa1"));  // and is never answered
  const auto begun = std::chrono::steady_clock::now();
  REQUIRE(::kill(router.process.pid, SIGTERM) == 0);
  CHECK_FALSE(router.process.err.Until(" stops; ").empty());
  std::this_thread::sleep_for(800ms);  // past the last moment; longer is as good
  owed.Write(Read("k2", "a2") + PublishCommand("p", "a3", "body"));
  fresh.Write(Read("k4", "a4"));
  CHECK(fresh.Line().starts_with("SERVER_ERROR busy"));
  CHECK(fresh.Ended());
  CHECK_FALSE(Called(node));
  CHECK_FALSE(Called(router.origin));
  // What was taken in time is answered before the process may be killed, long before its own time is up.
  CHECK(owed.Line().starts_with("SERVER_ERROR "));
  CHECK(owed.Line().starts_with("SERVER_ERROR busy"));
  CHECK(owed.Line().starts_with("SERVER_ERROR busy"));
  CHECK(owed.Ended());
  CHECK(router.process.err.Until("\n", " counters: ").find(" violations=0\n") != std::string::npos);
  CHECK(router.process.Wait() == 0);
  CHECK(std::chrono::steady_clock::now() - begun < 6s);
}
