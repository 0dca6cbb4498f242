// Where two attempts at once are allowed: a second attempt's answer ends a value that the first attempt is
// still passing on. The client gets a value that nobody made.
#include "../common-2/settings.h"
#include "../common-2/stand_ins.h"

using namespace review;

namespace {

constexpr double kWork = 0.150;           // of a read at a cache server (get-tarball: 150 to 260 ms)
constexpr double kLarge = 0.280;          // of a large value: larger objects take more work
constexpr double kOrigin = 0.150;         // of the origin, a read or a write (publish: 120 to 220 ms)
constexpr std::size_t kOld = 400 * 1024;  // bytes of a value before it is published anew (at most 4 MiB)
constexpr std::size_t kNew = 40 * 1024;   // and after
constexpr int kRounds = 12;
constexpr double kPiece = 0.010;  // a large value is written in small pieces, this far apart

std::string Value(const std::string& key, const std::string& version, std::size_t size) {
  std::string text = "[" + key + " " + version + "]", value;
  while (value.size() < size) value += text;
  value.resize(size);
  return value;
}

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = ReadSetup(argc, argv);
  World world(setup.record);
  Discovery discovery(world.record);
  // A large value takes more work. With the trouble it leaves in small pieces, without it whole.
  const Writer writer = [&](Socket& to, const Arrival& a, const std::string& answer) {
    if (answer.size() < 100000) return to.Write(answer);
    Sleep(kLarge - kWork);
    if (!setup.trouble) return to.Write(answer);
    for (std::size_t at = 0; at < answer.size(); at += 8192) {
      if (at > 0) Sleep(kPiece);
      if (!to.Write(answer.substr(at, 8192))) return false;
    }
    world.record.Line("a cache server has written O%s whole", a.id.c_str());
    return true;
  };
  for (int i = 0; i < 5; ++i) {
    world.servers.push_back(std::make_unique<CacheServer>(world, "box-" + std::to_string(i), kWork));
    world.servers.back()->writer = writer;
    discovery.Set(world.servers.back()->uid(), world.servers.back()->endpoint(), "std-6", "in_service",
                  "gikondo");
  }
  world.origin = std::make_unique<Origin>(world, "store", kOrigin);
  std::mutex lock;
  std::set<std::string> published;
  world.origin->value_of = [&](const std::string& key) {
    const std::lock_guard held(lock);
    if (!key.starts_with("package-large-")) return World::ValueOf(key);
    return published.contains(key) ? Value(key, "new", kNew) : Value(key, "old", kOld);
  };
  world.origin->on_write = [&](const Arrival& a) {
    const std::lock_guard held(lock);
    published.insert(a.key);
  };
  discovery.Set("store", world.origin->endpoint(), "origin", "in_service", "gikondo");
  for (int key = 0; key < 50; ++key) {
    const std::string name = "package-" + std::to_string(key);
    for (auto& server : world.servers) server->Store(name, world.ValueOf(name));
  }
  const int port = FreePort();
  std::string settings = kKigaliSettings;
  const std::string off = "\"parallel_tries\":false";
  settings.replace(settings.find(off), off.size(), "\"parallel_tries\":true");
  Router router(setup.root, setup.folder, "router",
                Config("n1", Endpoint(port), discovery.endpoint(), discovery.List(), settings), {});
  AwaitReady(port);
  // Ordinary reads, all the time.
  std::atomic<bool> done{false};
  std::atomic<int> reads{0}, served{0};
  std::vector<std::thread> threads;
  for (int c = 0; c < 8; ++c) {
    threads.emplace_back([&, c] {
      auto socket = Connect(port);
      for (int n = 0; !done; ++n) {
        const std::string id = NewId(), key = "package-" + std::to_string((7 * n + 11 * c) % 50);
        if (!socket || socket->closed() || socket->Ended()) socket = Connect(port);
        if (!socket) continue;
        socket->Write(ReadCommand(key, id, "c=get-versions,t=community,d=3000"));
        ++reads;
        const std::string answer = ReadAnswer(*socket, Now() + 3.6);
        if (answer.ends_with("|" + World::ValueOf(key))) ++served;
        if (answer.empty()) socket.reset();
        Sleep(0.06);
      }
    });
  }
  Sleep(3);
  int whole = 0, failed = 0, closed = 0, wrong = 0, swallowed = 0, late = 0;
  std::string example = "none";
  for (int round = 0; round < kRounds; ++round) {
    const std::string key = "package-large-" + std::to_string(round);
    const std::string before = Value(key, "old", kOld), after = Value(key, "new", kNew);
    const std::string labels = "c=get-tarball,t=community,d=2500";
    // A first read: the cache server that the router chooses lacks the key and gets it from the origin.
    auto reader = Connect(port);
    if (!reader) CannotRun("no connection");
    reader->Write(ReadCommand(key, NewId(), labels));
    if (!ReadAnswer(*reader, Now() + 3.1).ends_with(before)) {
      ++failed;
      continue;
    }
    Sleep(0.05);
    // It is read again, and published anew in the meantime.
    const std::string id = NewId(), next = NewId();
    world.record.Line("a client reads %s as O%s", key.c_str(), id.c_str());
    const double sent = Now();
    reader->Write(ReadCommand(key, id, labels));
    std::thread publisher([&] {
      Sleep(0.02);
      auto socket = Connect(port);
      if (!socket) return;
      socket->Write(WriteCommand(key, NewId(), "c=publish,t=community,d=4000", "x"));
      ReadAnswer(*socket, Now() + 4.6);
    });
    // A second read on the same connection, behind the first one.
    Sleep(0.3);
    reader->Write(ReadCommand("package-1", next, labels));
    const std::string answer = ReadAnswer(*reader, sent + 2.0);
    publisher.join();
    if (answer.empty()) {
      // Neither a whole value nor an error within its time. The client can tell only if the connection
      // ends.
      const std::string& got = reader->unread();
      if (reader->closed()) {
        ++closed;
      } else {
        std::size_t same = 0;
        while (same < got.size() && same < before.size() && got[same] == before[same]) ++same;
        // A value may take its time once it has begun; bytes that nobody made for it may not come.
        if (same == got.size()) {
          ++late;
          continue;
        }
        ++wrong;
        swallowed += got.find("O" + next) != got.npos;
        std::string rest = got.substr(same, 60);
        std::replace(rest.begin(), rest.end(), '\r', ' ');
        std::replace(rest.begin(), rest.end(), '\n', ' ');
        example = std::to_string(same) + " bytes of the old value, then '" + rest + "'";
        world.record.Line("O%s: a value of %zu bytes was begun, and the connection is open; %s", id.c_str(),
                          before.size(), example.c_str());
      }
      continue;
    }
    const std::string value = answer.substr(std::min(answer.size(), answer.find('|') + 1));
    const bool right = value == before || value == after;
    world.record.Line("O%s: %s, %zu bytes", id.c_str(),
                      right ? "a value that was made for it" : "another answer", value.size());
    if (!answer.starts_with("VA ")) {
      ++failed;
    } else {
      (right ? whole : wrong) += 1;
    }
  }
  done = true;
  for (auto& t : threads) t.join();
  char verdict[500];
  std::snprintf(verdict, sizeof verdict,
                "ordinary reads %d, served %d; %d reads of large values: whole %d, failed %d, closed %d, "
                "not whole yet %d, wrong "
                "%d; in %d of these the next request's answer was sent as part of the value; e.g. %s",
                reads.load(), served.load(), kRounds, whole, failed, closed, late, wrong, swallowed,
                example.c_str());
  if (whole + wrong + closed < kRounds / 2) CannotRun(verdict);
  Finish(world.record, wrong > 0, verdict);
}
