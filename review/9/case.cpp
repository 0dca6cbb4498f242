// Two cache servers are taken out by hand while the router's process is replaced, one at each door: the
// second call undoes the first.
#include "../common-2/settings.h"
#include "../common-2/stand_ins.h"

using namespace review;

namespace {

constexpr double kWork = 0.015;
constexpr double kBetween = 0.1;   // between the two calls
constexpr double kGrace = 1.0;     // safety.drain_grace
constexpr double kSlack = 0.050;   // every time limit is 50 ms longer on sockets
constexpr double kMargin = 0.150;  // of this check, on top
constexpr int kClients = 20;

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = ReadSetup(argc, argv);
  World world(setup.record);
  Discovery discovery(world.record);
  for (int i = 0; i < 6; ++i) {
    world.servers.push_back(std::make_unique<CacheServer>(world, "box-" + std::to_string(i), kWork));
    discovery.Set(world.servers.back()->uid(), world.servers.back()->endpoint(), "std-6", "in_service",
                  "gikondo");
  }
  world.origin = std::make_unique<Origin>(world, "store", kWork);
  discovery.Set("store", world.origin->endpoint(), "origin", "in_service", "gikondo");
  for (int key = 0; key < 100; ++key) {
    const std::string name = "package-" + std::to_string(key);
    for (auto& server : world.servers) server->Store(name, World::ValueOf(name));
  }
  const int port = FreePort(), old_door = FreePort(), new_door = FreePort();
  const auto config = [&](int door) {
    return Config("n1", Endpoint(port), discovery.endpoint(), discovery.List(), kKigaliSettings,
                  Endpoint(door));
  };
  Router old_process(setup.root, setup.folder, "old", config(old_door), {});
  AwaitReady(port);
  std::atomic<bool> done{false};
  std::atomic<int> sent{0}, served{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      auto socket = Connect(port);
      for (int n = 0; !done; ++n) {
        if (!socket || socket->closed() || socket->Ended() || n % 20 == 19) socket = Connect(port);
        if (!socket) continue;
        const std::string id = NewId(), key = "package-" + std::to_string((7 * n + 11 * c) % 100);
        socket->Write(ReadCommand(key, id, "c=get-tarball,t=community,d=2500"));
        ++sent;
        const std::string answer = ReadAnswer(*socket, Now() + 3.1);
        if (answer.starts_with("VA ")) ++served;
        if (answer.empty()) socket.reset();
        Sleep(0.05);
      }
    });
  }
  Sleep(2);
  // The replacement: the second process starts beside the first, with the same addresses and another door.
  std::unique_ptr<Router> new_process;
  double ready = Now();
  if (setup.trouble) {
    new_process = std::make_unique<Router>(setup.root, setup.folder, "new", config(new_door),
                                           std::vector<std::string>{});
    for (const double until = Now() + 10;; Sleep(0.02)) {
      if (OperatorCall(world.record, new_door, "GET", "/v1/readyz") == 200) break;
      if (Now() > until) CannotRun("the new process does not become ready");
    }
    ready = Now();
  }
  Sleep(1);
  // The operators take out box-1 at the old door and box-2 at the new one.
  CacheServer &first = *world.servers[1], &second = *world.servers[2];
  if (OperatorCall(world.record, old_door, "POST", "/v1/cache-servers/" + first.uid() + "/suspend") / 100 !=
      2)
    CannotRun("the first call was refused");
  const double first_yes = Now();
  Sleep(kBetween);
  if (OperatorCall(world.record, setup.trouble ? new_door : old_door, "POST",
                   "/v1/cache-servers/" + second.uid() + "/suspend") /
          100 !=
      2)
    CannotRun("the second call was refused");
  const double second_yes = Now();
  // The old process gets SIGTERM within 6 s of the new one's yes, and ends.
  SleepUntil(ready + 4);
  if (setup.trouble) {
    world.record.Line("SIGTERM to the old process");
    old_process.Signal(SIGTERM);
  }
  SleepUntil(ready + 12);
  done = true;
  for (auto& client : clients) client.join();
  const auto late = [&](CacheServer& server, double yes, double& last) {
    int count = 0;
    for (const Arrival& a : server.arrivals()) {
      count += a.begun > yes + kGrace + kSlack + kMargin;
      last = std::max(last, a.begun - yes);
    }
    return count;
  };
  double first_last = 0, second_last = 0;
  const int first_late = late(first, first_yes, first_last),
            second_late = late(second, second_yes, second_last);
  char verdict[400];
  std::snprintf(
      verdict, sizeof verdict,
      "requests %d, served %d; %s got %d requests later than its grace, the last %.3f s after its yes; %s "
      "got %d, the last %.3f s after its yes; nobody put either back",
      sent.load(), served.load(), first.uid().c_str(), first_late, first_last, second.uid().c_str(),
      second_late, second_last);
  if (served < sent * 0.8) CannotRun(verdict);
  Finish(world.record, first_late + second_late > 0, verdict);
}
