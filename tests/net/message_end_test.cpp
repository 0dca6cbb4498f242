// The end of an answer: one that is complete by its protocol is passed on, a truncated one never is (RFC
// 9112, 6.3 and 8).
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "world.h"

using namespace brasswood::testing;

namespace {

// Closes with a reset, as the kernel does for a process that dies.
void Reset(Fd& fd) {
  const linger reset{1, 0};
  REQUIRE(::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset) == 0);
  fd.Close();
}

}  // namespace

TEST_CASE(
    "an answer without a length is complete if its connection is closed orderly, not if it is reset") {
  SECTION("from the origin") {
    Router router("");
    Fd client = router.Connect();
    int id = 100;
    const auto ask = [&](const std::string& command) {
      client.Write(command);
      Fd origin = router.origin.Accept();
      origin.ReadUntil("\r\n\r\n");
      return origin;
    };
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n"}) {
      const std::string read = std::to_string(++id), write = std::to_string(++id);
      Fd origin = ask(ReadCommand("k", read));
      origin.Write(head + "who");
      origin.Write("le");
      origin.Close();
      CHECK(client.ReadLine() == "VA 5 O" + read + "\r\n");
      CHECK(client.ReadLine() == "whole\r\n");
      origin = ask(PublishCommand("p", write, "body"));
      origin.Write(head + "receipt-9");
      origin.Close();
      CHECK(client.ReadLine() == "HD O" + write + " creceipt-9\r\n");
    }
    const std::string truncated_answers[] = {
        "HTTP/1.1 200 OK\r\n\r\nwhole?", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nrecei",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nrecei\r\n", "HTTP/1.1 200 OK\r\n", ""};
    for (const std::string& truncated : truncated_answers) {
      INFO(truncated);
      Fd origin = ask(PublishCommand("p", std::to_string(++id), "body"));
      origin.ReadUntil("body");
      origin.Write(truncated);
      if (&truncated == &truncated_answers[0]) {
        Reset(origin);
      } else {
        origin.Close();
      }
      CHECK(client.ReadLine() == "SERVER_ERROR failed\r\n");
    }
  }
  SECTION("from discovery") {
    Listener server;
    Router router(ServerEntryJson("s1", server.address(), "in_service"));
    Fd discovery = router.discovery.Accept();
    ReadCallHead(discovery);
    discovery.Write("HTTP/1.1 200 OK\r\n\r\n" +
                    ServerListJson(2, false, ServerEntryJson("s1", server.address(), "terminating")));
    discovery.Close();
    CHECK_FALSE(router.process.err.ReadUntil("s1 at " + server.address() + " is terminating").empty());
  }
}

// Guards against a reset that is mistaken for an orderly close: the router is stopped while the connection
// is reset, and runs its deadlines before it reads.
TEST_CASE("an answer without a length that is reset while the router is stopped is not complete") {
  Router router("");
  Fd client = router.Connect();
  client.Write(PublishCommand("p", "a1", "body"));
  Fd origin = router.origin.Accept();
  origin.ReadUntil("body");
  origin.Write("HTTP/1.1 200 OK\r\n\r\nrecei");
  std::this_thread::sleep_for(
      std::chrono::milliseconds(100));  // the router reads it and waits for the rest
  REQUIRE(::kill(router.process.pid, SIGSTOP) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  Reset(origin);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));  // past the deadline for the rest
  REQUIRE(::kill(router.process.pid, SIGCONT) == 0);
  CHECK(client.ReadLine() == "SERVER_ERROR failed\r\n");
}
