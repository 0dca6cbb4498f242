// Large values whose HTTP answer states no length in its head (chunked, or ended by the close): the router
// gives each of them up in the middle.
#include "../common-2/settings.h"
#include "../common-2/stand_ins.h"

using namespace review;

namespace {

constexpr double kWork = 0.020;
constexpr std::size_t kSize = 300 * 1024;  // bytes of a value (at most 4 MiB)
constexpr int kRounds = 40;

std::string Value(const std::string& key) {
  std::string value;
  while (value.size() < kSize) value += "[" + key + "]";
  value.resize(kSize);
  return value;
}

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = ReadSetup(argc, argv);
  World world(setup.record);
  std::mutex lock;
  int begun = 0;
  std::set<std::string> cut;  // requests whose answer the router cut off
  Discovery discovery(world.record);
  for (int i = 0; i < 5; ++i) {
    world.servers.push_back(std::make_unique<CacheServer>(world, "box-" + std::to_string(i), kWork));
    discovery.Set(world.servers.back()->uid(), world.servers.back()->endpoint(), "std-6", "in_service",
                  "gikondo");
  }
  world.origin = std::make_unique<Origin>(world, "store", kWork);
  world.origin->value_of = [](const std::string& key) { return Value(key); };
  // With the trouble, every second answer is chunked, and the others state no length and end with an
  // orderly close; without it, all state their length.
  world.origin->writer = [&](Socket& to, const Arrival& a, const std::string& answer) {
    int number = 0;
    {
      const std::lock_guard held(lock);
      number = begun++;
    }
    const std::string body = answer.substr(answer.find("\r\n\r\n") + 4);
    const bool chunked = number % 2 == 0;
    const std::string head = !setup.trouble ? answer.substr(0, answer.size() - body.size())
                             : chunked      ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    bool whole = to.Write(head);
    for (std::size_t at = 0; at < body.size() && whole; at += 16384) {
      const std::string piece = body.substr(at, 16384);
      char size[24];
      std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
      whole = !to.Ended() && to.Write(setup.trouble && chunked ? size + piece + "\r\n" : piece);
      Sleep(0.001);
    }
    if (whole && setup.trouble && chunked) whole = !to.Ended() && to.Write("0\r\n\r\n");
    if (!whole) {
      const std::lock_guard held(lock);
      cut.insert(a.id);
      world.record.Line("the router ended the connection in the middle of the answer to O%s", a.id.c_str());
    }
    return whole && (!setup.trouble || chunked);  // false: the origin closes
  };
  discovery.Set("store", world.origin->endpoint(), "origin", "in_service", "gikondo");
  const int port = FreePort();
  Router router(setup.root, setup.folder, "router",
                Config("n1", Endpoint(port), discovery.endpoint(), discovery.List(), kKigaliSettings), {});
  AwaitReady(port);
  int served = 0, unanswered = 0;
  std::set<std::string> unserved;
  for (int round = 0; round < kRounds; ++round) {
    auto socket = Connect(port);
    if (!socket) CannotRun("no connection");
    const std::string id = NewId(), key = "package-large-" + std::to_string(round);
    world.record.Line("a client reads %s as O%s", key.c_str(), id.c_str());
    socket->Write(ReadCommand(key, id, "c=get-tarball,t=community,d=2500"));
    const std::string answer = ReadAnswer(*socket, Now() + 3.1);
    world.record.Line("O%s gets '%s', %zu bytes", id.c_str(),
                      answer.substr(0, std::min<std::size_t>(answer.find('|'), 80)).c_str(), answer.size());
    if (answer.starts_with("VA ") && answer.ends_with("|" + Value(key))) {
      ++served;
    } else {
      unserved.insert(id);
    }
    unanswered += answer.empty();
    Sleep(0.3);
  }
  Sleep(0.3);
  const std::lock_guard held(lock);
  const auto lost = std::count_if(unserved.begin(), unserved.end(),
                                  [&](const std::string& id) { return cut.contains(id); });
  char verdict[300];
  std::snprintf(verdict, sizeof verdict,
                "%d reads of large values, served %d, never answered %d; answers begun by the origin %d; "
                "requests whose "
                "answer was cut off by the router and that were not served: %ld",
                kRounds, served, unanswered, begun, static_cast<long>(lost));
  if (begun == 0) CannotRun(verdict);
  Finish(world.record, lost > 0, verdict);
}
