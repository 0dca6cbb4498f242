// A large value is cut by a reset at its cache server: a publish behind it on the client's connection,
// which has been carried out, is never answered.
#include "../common-2/settings.h"
#include "../common-2/stand_ins.h"

using namespace review;

namespace {

constexpr double kWork = 0.020;
constexpr std::size_t kSize = 1 << 20;  // bytes of a value (at most 4 MiB)
constexpr int kRounds = 20;

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
  Discovery discovery(world.record);
  // Large values leave in pieces over half a second. With the trouble the connection is reset half way.
  const Writer writer = [&](Socket& to, const Arrival& a, const std::string& answer) {
    if (answer.size() < kSize) return to.Write(answer);
    const std::size_t piece = answer.size() / 25 + 1;
    for (std::size_t at = 0; at < answer.size(); at += piece) {
      if (at > 0) Sleep(0.02);
      if (setup.trouble && at > answer.size() / 2) {
        world.record.Line("the connection is reset in the middle of the answer to O%s", a.id.c_str());
        const linger off{1, 0};
        ::setsockopt(to.fd(), SOL_SOCKET, SO_LINGER, &off, sizeof off);
        return false;
      }
      if (!to.Write(answer.substr(at, piece))) return false;
    }
    return true;
  };
  for (int i = 0; i < 5; ++i) {
    world.servers.push_back(std::make_unique<CacheServer>(world, "box-" + std::to_string(i), kWork));
    world.servers.back()->writer = writer;
    discovery.Set(world.servers.back()->uid(), world.servers.back()->endpoint(), "std-6", "in_service",
                  "gikondo");
  }
  world.origin = std::make_unique<Origin>(world, "store", 0.05);
  discovery.Set("store", world.origin->endpoint(), "origin", "in_service", "gikondo");
  for (int round = 0; round < kRounds; ++round) {
    const std::string key = "package-large-" + std::to_string(round);
    for (auto& server : world.servers) server->Store(key, Value(key));
  }
  const int port = FreePort();
  Router router(setup.root, setup.folder, "router",
                Config("n1", Endpoint(port), discovery.endpoint(), discovery.List(), kKigaliSettings), {});
  AwaitReady(port);
  int values = 0, cut = 0, receipts = 0;
  std::set<std::string> unanswered;
  for (int round = 0; round < kRounds; ++round) {
    auto socket = Connect(port);
    if (!socket) CannotRun("no connection");
    const std::string read = NewId(), publish = NewId(), key = "package-large-" + std::to_string(round);
    world.record.Line("a client sends a read of %s as O%s and a publish as O%s", key.c_str(), read.c_str(),
                      publish.c_str());
    socket->Write(
        ReadCommand(key, read, "c=get-tarball,t=community,d=2500") +
        WriteCommand("package-new-" + std::to_string(round), publish, "c=publish,t=community,d=4000", "x"));
    const double until = Now() + 4.6;
    const std::string first = ReadAnswer(*socket, until);
    const std::string second = first.empty() ? std::string() : ReadAnswer(*socket, until);
    (first.starts_with("VA ") ? values : cut) += 1;
    receipts += second.starts_with("HD O" + publish);
    if (second.empty() && socket->closed()) unanswered.insert(publish);
    world.record.Line("the read brings %zu bytes%s; the publish '%s'%s", first.size(),
                      first.empty() ? ", cut" : "", second.c_str(), socket->closed() ? ", closed" : "");
    Sleep(0.2);
  }
  int carried_out = 0;
  for (const Arrival& a : world.origin->arrivals()) carried_out += a.write && unanswered.contains(a.id);
  char verdict[300];
  std::snprintf(
      verdict, sizeof verdict,
      "%d rounds: values whole %d, cut or failed %d, receipts %d; publishes never answered %zu, of these "
      "carried out by the origin %d",
      kRounds, values, cut, receipts, unanswered.size(), carried_out);
  Finish(world.record, !unanswered.empty(), verdict);
}
