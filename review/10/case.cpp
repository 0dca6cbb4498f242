// The router is drained by its operators while a client keeps more than one command open on its connection:
// the connection is never ended.
#include "../common-2/settings.h"
#include "../common-2/stand_ins.h"

using namespace review;

namespace {

constexpr double kWork = 0.180;   // of a request at a cache server (get-tarball: 150 to 260 ms)
constexpr double kEvery = 0.080;  // the client sends a command so often
constexpr double kLimit = 4.0;    // after the call, by then ...
constexpr double kRecent = 2.0;   // ... no request from this long before may be held open
constexpr double kSlack = 0.050;  // every time limit is 50 ms longer on sockets

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = ReadSetup(argc, argv);
  World world(setup.record);
  Discovery discovery(world.record);
  for (int i = 0; i < 5; ++i) {
    world.servers.push_back(std::make_unique<CacheServer>(world, "box-" + std::to_string(i), kWork));
    discovery.Set(world.servers.back()->uid(), world.servers.back()->endpoint(), "std-6", "in_service",
                  "gikondo");
  }
  world.origin = std::make_unique<Origin>(world, "store", kWork);
  discovery.Set("store", world.origin->endpoint(), "origin", "in_service", "gikondo");
  for (int key = 0; key < 50; ++key) {
    const std::string name = "package-" + std::to_string(key);
    for (auto& server : world.servers) server->Store(name, World::ValueOf(name));
  }
  const int port = FreePort(), door = FreePort();
  Router router(
      setup.root, setup.folder, "router",
      Config("n1", Endpoint(port), discovery.endpoint(), discovery.List(), kKigaliSettings, Endpoint(door)),
      {});
  AwaitReady(port);

  // The client: a command every 80 ms on one connection; the answers come in their order.
  auto socket = Connect(port);
  if (!socket) CannotRun("no connection");
  struct Command {
    std::string id;
    double sent = 0, answered = 0;
  };
  std::mutex lock;
  std::vector<Command> commands;
  std::atomic<bool> done{false};
  std::atomic<double> ended{0};  // when the client saw the connection end
  std::thread writer([&] {
    const double begun = Now();
    for (int n = 0; !done && ended == 0; ++n) {
      SleepUntil(begun + kEvery * n);
      const std::string id = NewId();
      {
        const std::lock_guard held(lock);
        commands.push_back({id, Now(), 0});
      }
      world.record.Line("the client sends O%s", id.c_str());
      if (!socket->Write(
              ReadCommand("package-" + std::to_string(7 * n % 50), id, "c=get-tarball,t=community,d=2500")))
        return;
    }
  });
  std::thread reader([&] {
    for (std::size_t n = 0;; ++n) {
      const std::string answer = ReadAnswer(*socket, 0);
      if (answer.empty()) {
        ended = Now();
        world.record.Line("the client sees the connection end");
        return;
      }
      const std::lock_guard held(lock);
      commands[n].answered = Now();
      world.record.Line("the client gets '%s'", answer.c_str());
    }
  });
  Sleep(3);
  double called = Now();
  if (setup.trouble && OperatorCall(world.record, door, "POST", "/v1/router/drain") / 100 != 2)
    CannotRun("the drain was refused");
  const double at = called + kLimit + kSlack;
  // Meanwhile the front asks ten times a second.
  int yes = 0, no = 0;
  while (Now() < at) {
    Sleep(0.1);
    const auto front = Connect(port);
    if (!front || !front->Write("mn\r\n")) continue;
    const auto line = front->ReadTo("\r\n", Now() + 0.5);
    (line && *line == "MN" ? yes : no) += 1;
  }
  const bool open = ended == 0;
  std::size_t recent = 0, answered = 0;
  {
    const std::lock_guard held(lock);
    for (const Command& c : commands) {
      if (c.sent > called + kLimit - kRecent && c.sent < called + kLimit) {
        ++recent;
        answered += c.answered > 0;
      }
    }
  }
  Sleep(2);
  done = true;
  writer.join();
  const std::size_t all = commands.size();
  Sleep(1);
  std::size_t unanswered = 0;
  {
    const std::lock_guard held(lock);
    for (const Command& c : commands) unanswered += c.answered == 0;
  }
  char verdict[400];
  std::snprintf(
      verdict, sizeof verdict,
      "%zu commands sent, %zu unanswered at the end; `mn` said yes %d times and no %d times after the "
      "call; "
      "4 s after it the client's connection was %s; of the last 2 s it carried %zu commands, %zu of them "
      "answered by then",
      all, unanswered, yes, no, open ? "still open" : "ended", recent, answered);
  reader.detach();
  if (!setup.trouble) Finish(world.record, !open || unanswered > 0 || no > 0, verdict);
  Finish(world.record, open && recent > 0, verdict);
}
