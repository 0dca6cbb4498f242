// Where an answer ends: what is complete by its protocol is passed on, what was cut never is (RFC 9112, 6.3
// and 8).
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "world.h"

using namespace brasswood::testing;

namespace {

// Closes with a reset, as the system does for a process that dies.
void Reset(Fd& fd) {
  const linger hard{1, 0};
  REQUIRE(::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard) == 0);
  fd.Close();
}

}  // namespace

TEST_CASE(
    "an answer with no length ends with its connection: closed in order it is whole, reset it is not") {
  SECTION("the origin's") {
    Router router("");
    Fd client = router.Connect();
    int id = 100;
    const auto ask = [&](const std::string& command) {
      client.Write(command);
      Fd origin = router.origin.Accept();
      origin.Until("\r\n\r\n");
      return origin;
    };
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n"}) {
      const std::string read = std::to_string(++id), write = std::to_string(++id);
      Fd origin = ask(Read("k", read));
      origin.Write(head + "who");
      origin.Write("le");
      origin.Close();
      CHECK(client.Line() == "VA 5 O" + read + "\r\n");
      CHECK(client.Line() == "whole\r\n");
      origin = ask(PublishCommand("p", write, "body"));
      origin.Write(head + "receipt-9");
      origin.Close();
      CHECK(client.Line() == "HD O" + write + " creceipt-9\r\n");
    }
    const std::string cut_ones[] = {
        "HTTP/1.1 200 OK\r\n\r\nwhole?", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nrecei",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nrecei\r\n", "HTTP/1.1 200 OK\r\n", ""};
    for (const std::string& cut : cut_ones) {
      INFO(cut);
      Fd origin = ask(PublishCommand("p", std::to_string(++id), "body"));
      origin.Until("body");
      origin.Write(cut);
      if (&cut == &cut_ones[0]) {
        Reset(origin);
      } else {
        origin.Close();
      }
      CHECK(client.Line() == "SERVER_ERROR failed\r\n");
    }
  }
  SECTION("discovery's") {
    Listener node;
    Router router(Target("s1", node.address(), "in_service"));
    Fd discovery = router.discovery.Accept();
    WatchCall(discovery);
    discovery.Write("HTTP/1.1 200 OK\r\n\r\n" +
                    List(2, false, Target("s1", node.address(), "terminating")));
    discovery.Close();
    CHECK_FALSE(router.process.err.Until("s1 at " + node.address() + " is terminating").empty());
  }
}

// Guards against a reset that is taken for an orderly close: the router stands still while the answer is
// cut, and looks at its deadlines before it reads.
TEST_CASE("an answer with no length that is reset while the router stands still is not whole") {
  Router router("");
  Fd client = router.Connect();
  client.Write(PublishCommand("p", "a1", "body"));
  Fd origin = router.origin.Accept();
  origin.Until("body");
  origin.Write("HTTP/1.1 200 OK\r\n\r\nrecei");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // it is read, and the rest waited for
  REQUIRE(::kill(router.process.pid, SIGSTOP) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  Reset(origin);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));  // past the time for the rest
  REQUIRE(::kill(router.process.pid, SIGCONT) == 0);
  CHECK(client.Line() == "SERVER_ERROR failed\r\n");
}
