// Discovery is slow, a watch falls silent, and a cache server begins to drain: the router goes on sending
// to it after the time from which it counts as told.
#include "../common-2/settings.h"
#include "../common-2/stand_ins.h"

using namespace review;

namespace {

constexpr double kWork = 0.020;
constexpr double kTurn = 1.8;       // a call waits so long for its turn at discovery
constexpr double kToldAfter = 6.0;  // the silence: told 6 s after the watch fell silent ...
constexpr double kAfterWait = 2.0;  // ... or 2 s after its wait is over, if that is later
constexpr double kGrace = 1.0;      // safety.drain_grace
constexpr double kSlack = 0.050;    // every time limit is 50 ms longer on sockets
constexpr double kMargin = 0.150;   // of this check, on top
constexpr int kClients = 5;

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
  if (setup.trouble) discovery.turn = kTurn;
  const int port = FreePort();
  Router router(setup.root, setup.folder, "router",
                Config("n1", Endpoint(port), discovery.endpoint(), discovery.List(), kKigaliSettings), {});
  AwaitReady(port);

  std::atomic<bool> done{false};
  std::atomic<int> sent{0}, served{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      auto socket = Connect(port);
      const double begun = Now();
      for (int n = 0; !done; ++n) {
        SleepUntil(begun + 0.05 * n + 0.01 * c);  // 100 requests a second in all
        if (!socket || socket->closed() || socket->Ended()) socket = Connect(port);
        if (!socket) continue;
        const std::string id = NewId(), key = "package-" + std::to_string((7 * n + 11 * c) % 50);
        socket->Write(ReadCommand(key, id, "c=get-tarball,t=community,d=2500"));
        ++sent;
        const std::string answer = ReadAnswer(*socket, Now() + 3.1);
        if (answer.starts_with("VA ")) ++served;
        if (answer.empty()) socket.reset();
      }
    });
  }
  // Ordinary service for a while: the router has its list and watches.
  Sleep(16);
  if (sent < 500 || served < sent * 0.9) CannotRun("no ordinary service before the disruption");
  CacheServer& drained = *world.servers[2];
  double told = 0;
  if (setup.trouble) {
    discovery.silence = 1;  // the next watch falls silent
    for (const double until = Now() + 15; discovery.silent_at < 0 && Now() < until;) Sleep(0.005);
    if (discovery.silent_at < 0) CannotRun("no watch came");
    Sleep(0.2);
    discovery.SetState(drained.uid(), "terminating");
    told = discovery.silent_at + std::max(kToldAfter, discovery.silent_wait + kAfterWait) + kSlack;
  } else {
    discovery.SetState(drained.uid(), "terminating");
    Sleep(0.1);
    told = discovery.answered_at;  // written to the router
  }
  const double limit = told + kGrace + kSlack + kMargin;
  SleepUntil(limit + 6);
  done = true;
  for (auto& client : clients) client.join();

  int before = 0, after = 0;
  double last = 0;
  for (const Arrival& a : drained.arrivals()) {
    (a.begun > limit ? after : before) += 1;
    last = std::max(last, a.begun);
  }
  char verdict[400];
  std::snprintf(
      verdict, sizeof verdict,
      "requests %d, served %d; the watch fell silent at %.3f (its wait: %.3f s), told at the latest at "
      "%.3f, new work allowed until %.3f; the draining server got %d requests by then and %d later, the "
      "last %.3f s after that time",
      sent.load(), served.load(), discovery.silent_at.load(), discovery.silent_wait.load(), told,
      told + kGrace + kSlack, before, after, last - told - kGrace - kSlack);
  Finish(world.record, after > 0, verdict);
}
