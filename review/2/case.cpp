// Case 2: besides the usual clients there are some that send hundreds of commands at once. Does the router stay
// within its memory? The stand-in for the platform kills it when it does not, as the pages say.
#include <condition_variable>

#include "../common/stand_in.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 192, kSockets = 1024;  // the largest limits of the pages
constexpr std::size_t kValue = 60000;            // bytes; 64 KiB is the limit without large values
constexpr int kBurstClients = 60;                // clients may hold a third of the descriptors: 341
constexpr int kBurstReads = 250;                 // "hundreds of commands at once"
constexpr int kUsualClients = 10;
constexpr double kOriginMs = 200;  // the origin's work for a write, kOriginSlots at a time
constexpr int kOriginSlots = 3, kOriginQueue = 100;
constexpr double kRunMs = 12000, kBurstAtMs = 3000, kBurstEveryMs = 40;

// The origin carries out kOriginSlots requests at a time; kOriginQueue more wait, others are turned away.
std::mutex g_lock;
std::condition_variable g_free;
int g_busy = 0, g_waiting = 0;

void ServeOrigin(Socket& socket) {
  HttpRequest request;
  while (ReadHttp(socket, request)) {
    {
      std::unique_lock held(g_lock);
      if (g_waiting >= kOriginQueue) {
        held.unlock();
        if (!socket.Write(HttpAnswer("", "503 Service Unavailable", "X-Turned-Away: 1\r\n"))) return;
        continue;
      }
      ++g_waiting;
      g_free.wait(held, [] { return g_busy < kOriginSlots; });
      --g_waiting;
      ++g_busy;
    }
    SleepMs(kOriginMs);
    {
      const std::lock_guard held(g_lock);
      --g_busy;
    }
    g_free.notify_one();
    RECORD("origin: %s %s is carried out for %s", request.method.c_str(), request.path.c_str(), request.id.c_str());
    if (!socket.Write(HttpAnswer("receipt-" + request.id))) return;
  }
}

// A cache server that holds every key and answers at once.
void ServeCache(Socket& socket) {
  const std::string value(kValue, 'v');
  Command command;
  while (ReadCommand(socket, command)) {
    const std::string answer = command.verb == "mn" ? "MN\r\n"
                                                    : "VA " + std::to_string(kValue) + " O" + command.id + "\r\n" +
                                                          value + "\r\n";
    if (command.verb != "mn") RECORD("cache server: mg %s O%s", command.key.c_str(), command.id.c_str());
    if (!socket.Write(answer)) return;
  }
}

std::string ReadText(const std::string& id, int key) {
  return "mg pkg" + std::to_string(key % 3000) + " v O" + id + " Pc=get-tarball,t=t1,d=2500\r\n";
}
std::string PublishText(const std::string& id, const std::string& key) {
  return "ms " + key + " 5 O" + id + " Pc=publish,t=t1,d=4000\r\nhello\r\n";
}

std::atomic<bool> g_killed{false}, g_stop{false};
std::atomic<int> g_usual_answered{0}, g_usual_lost{0}, g_burst_answered{0}, g_burst_lost{0};

// Reads one answer of any kind, whole.
bool ReadAnswer(Socket& socket, std::string& line, double until) {
  std::string value;
  if (!socket.ReadLine(line, until)) return false;
  return line.rfind("VA ", 0) != 0 || socket.ReadBytes(std::stoul(line.substr(3)) + 2, value, until);
}

// One request at a time: 24 reads, then a publish, and so on.
void UsualClient(int number, int port) {
  Socket socket;
  for (int n = 0; !g_stop; ++n) {
    if (socket.fd() < 0 && (g_killed || !socket.Connect(port))) return;
    char id[32];
    std::snprintf(id, sizeof id, "a%03x%06x", number, n);
    const bool write = n % 25 == 24;
    const double sent = Now();
    std::string line;
    RECORD("usual client %d: sends %s O%s", number, write ? "ms" : "mg", id);
    // Not taken: what could not be written, or was written when the router had been killed.
    if (!socket.Write(write ? PublishText(id, "pub" + std::to_string(number)) : ReadText(id, number * 37 + n)) || g_killed)
      return;
    if (ReadAnswer(socket, line, sent + 4600)) {
      ++g_usual_answered;
      RECORD("usual client %d: gets '%s' for %s", number, line.c_str(), id);
      SleepMs(40);
      continue;
    }
    ++g_usual_lost;
    RECORD("LOST: the usual client %d has no answer to its %s %s; its connection %s", number,
           write ? "publish" : "read", id, socket.was_reset() ? "was reset" : socket.closed() ? "has ended" : "is silent");
    socket.Close();
  }
}

// Sends a publish and hundreds of reads at once, and reads all that it is sent.
void BurstClient(int number, int port) {
  SleepUntil(kBurstAtMs + number * kBurstEveryMs);
  Socket socket;
  if (g_killed || !socket.Connect(port)) return;
  char id[32];
  std::snprintf(id, sizeof id, "b%03x%06x", number, 0xffffff);
  std::string all = PublishText(id, "new" + std::to_string(number));
  for (int n = 0; n < kBurstReads; ++n) {
    std::snprintf(id, sizeof id, "b%03x%06x", number, n);
    all += ReadText(id, number * 131 + n);
  }
  RECORD("client %d sends a publish and %d reads at once", number, kBurstReads);
  socket.Write(all);
  std::string line;
  for (int n = 0; n <= kBurstReads; ++n) {
    if (!ReadAnswer(socket, line, Now() + 10000)) {
      g_burst_lost += kBurstReads + 1 - n;
      RECORD("client %d has got %d of %d answers; its connection %s", number, n, kBurstReads + 1,
             socket.closed() ? "has ended" : "is silent");
      return;
    }
    ++g_burst_answered;
  }
  RECORD("client %d has got all answers", number);
}

double ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  Record::Get().Open(arguments[2]);
  RECORD("disruption: %s", Trouble() ? "on" : "off");
  Server origin, caches[4];
  origin.Start([](std::shared_ptr<Socket> socket) { ServeOrigin(*socket); });
  Discovery discovery;
  for (int i = 0; i < 4; ++i) {
    caches[i].Start([](std::shared_ptr<Socket> socket) { ServeCache(*socket); });
    discovery.Add({"s" + std::to_string(i + 1), caches[i].address(), i % 2 == 0 ? "a" : "b"});
  }
  discovery.Add({"o1", origin.address(), "b", "origin"});
  discovery.Start();
  Deployment deployment;
  deployment.memory_mb = kMemoryMb;
  deployment.sockets = kSockets;
  deployment.classes =
      ClassJson("get-tarball", "free", 1500, 2500) + "," + ClassJson("publish", "single_shot", 1000, 4000);
  const int port = FreePort();
  Router router;
  if (!router.Start(folder, "router",
                    deployment.Config("127.0.0.1:" + std::to_string(port), discovery.address(), discovery.Whole())) ||
      !router.AwaitReady(port)) {
    RECORD("the router is not ready");
    return 2;
  }
  std::vector<std::thread> threads;
  for (int i = 0; i < kUsualClients; ++i) threads.emplace_back([i, port] { UsualClient(i, port); });
  if (Trouble()) {
    for (int i = 0; i < kBurstClients; ++i) threads.emplace_back([i, port] { BurstClient(i, port); });
  }
  // The platform: "Over `memory_mb` the router is killed."
  double most = 0, noted = 0;
  bool crashed = false;
  while (Now() < kRunMs && !g_killed && !crashed) {
    SleepMs(10);
    crashed = router.Ended();
    const double mb = crashed ? 0 : ResidentMb(router.pid);
    most = std::max(most, mb);
    if (mb > noted + 20) RECORD("the router holds %.0f MB", noted = mb);
    if (mb <= kMemoryMb) continue;
    g_killed = true;
    ::kill(router.pid, SIGKILL);
    RECORD("RULE BROKEN: the router holds %.0f MB of %d MB; the platform kills it", mb, kMemoryMb);
  }
  g_stop = true;
  for (std::thread& thread : threads) thread.join();
  router.Kill();
  char text[300];
  std::snprintf(text, sizeof text,
                "memory at most %.0f MB of %d; killed for it: %s; usual clients: answered %d, taken and never answered "
                "%d; those with hundreds of commands: answered %d, never answered %d",
                most, kMemoryMb, g_killed ? "yes" : "no", g_usual_answered.load(), g_usual_lost.load(),
                g_burst_answered.load(), g_burst_lost.load());
  RECORD("%s", text);
  std::puts(text);
  std::fflush(stdout);
  std::_Exit(g_usual_answered < 100 ? 2 : g_killed || crashed || g_usual_lost > 0 ? 1 : 0);
}
