// The memory of answers that wait for their clients: its account, and the program with clients that send
// many commands at once.
#include "core/answer_memory.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "in_process.h"
#include "world.h"

using namespace brasswood;
using namespace brasswood::testing;

// Of the address sanitizer, which replaces the allocator that mallinfo2 describes; null without it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes() __attribute__((weak));

namespace {

constexpr std::size_t kMemoryMb = 32;
constexpr std::size_t kSockets = 256;
// The share of the memory for answers that wait (config/config.cpp).
constexpr std::size_t kAnswerMemory = kMemoryMb * 1024 * 1024 * 14 / 100;
constexpr std::size_t kValueSize = 60000;

// A cache server that holds every key, with values of one size, and answers at once.
class ValueServer {
 public:
  explicit ValueServer(std::size_t value_size) : value_(value_size, 'v') {
    thread_ = std::thread([this] { Run(); });
  }
  ~ValueServer() {
    stop_ = true;
    thread_.join();
  }
  std::string entry() const { return ServerEntryJson("s1", listener_.address(), "in_service"); }
  std::size_t answered() const { return answered_; }
  // The number of answers once no more commands arrive for some time.
  std::size_t AnsweredAtRest() const {
    constexpr std::chrono::milliseconds kQuiet(500);
    std::size_t before = answered_ + 1;
    while (std::exchange(before, answered_) != answered_) std::this_thread::sleep_for(kQuiet);
    return before;
  }

 private:
  struct Connection {
    int fd;
    std::string input, output;
  };
  void Run() {
    std::vector<Connection> connections;
    while (!stop_) {
      std::vector<pollfd> polled{{listener_.get(), POLLIN, 0}};
      for (const Connection& c : connections)
        polled.push_back({c.fd, static_cast<short>(c.output.empty() ? POLLIN : POLLIN | POLLOUT), 0});
      ::poll(polled.data(), polled.size(), 20);
      for (std::size_t i = connections.size(); i > 0; --i) {
        if (polled[i].revents == 0 || Serve(connections[i - 1])) continue;
        ::close(connections[i - 1].fd);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i) - 1);
      }
      if (polled[0].revents != 0)
        connections.push_back(
            {::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC), {}, {}});
    }
    for (const Connection& c : connections) ::close(c.fd);
  }
  // Returns false once the peer has closed.
  bool Serve(Connection& c) {
    char buffer[4096];
    const ssize_t n = ::recv(c.fd, buffer, sizeof buffer, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN)) return false;
    if (n > 0) c.input.append(buffer, static_cast<std::size_t>(n));
    for (std::size_t end; (end = c.input.find("\r\n")) != std::string::npos; c.input.erase(0, end + 2)) {
      const std::size_t id = c.input.find(" O") + 1;
      c.output += "VA " + std::to_string(value_.size()) + " " +
                  c.input.substr(id, c.input.find(' ', id) - id) + "\r\n" + value_ + "\r\n";
      ++answered_;
    }
    const ssize_t sent = ::send(c.fd, c.output.data(), c.output.size(), MSG_NOSIGNAL);
    if (sent > 0) c.output.erase(0, static_cast<std::size_t>(sent));
    return true;
  }

  const std::string value_;
  Listener listener_;
  std::atomic<std::size_t> answered_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// A publish, whose answer all others wait for, and reads behind it, sent at once.
void SendPublishAndReads(const Fd& client, const std::string& name, int reads) {
  std::string commands = PublishCommand("new" + name, "p" + name, "hello");
  for (int i = 0; i < reads; ++i) {
    const std::string id = name + "r" + std::to_string(i);
    commands += ReadCommand("k" + id, id);
  }
  client.Write(commands);
}

void ExpectValues(Fd& client, const std::string& name, int reads, std::size_t size) {
  for (int i = 0; i < reads; ++i) {
    const std::string id = name + "r" + std::to_string(i);
    REQUIRE(client.ReadLine() == "VA " + std::to_string(size) + " O" + id + "\r\n");
    client.ReadExactly(size + 2);
  }
}

// Waits for a publish at the origin and leaves it unanswered.
Fd AcceptPublish(const Router& router) {
  Fd origin = router.origin.Accept();
  REQUIRE(origin.ReadUntil("\r\n\r\nhello").starts_with("PUT "));
  return origin;
}

// The bytes that this process has allocated on the heap.
std::size_t AllocatedBytes() {
  if (__sanitizer_get_current_allocated_bytes != nullptr) return __sanitizer_get_current_allocated_bytes();
  return ::mallinfo2().uordblks;
}

// The bytes of answers that wait for an earlier one, as the router logs them.
std::size_t HeldBytes(Router& router) {
  REQUIRE(::kill(router.process.pid, SIGUSR1) == 0);
  const std::string line = router.process.err.ReadUntil("\n", "info answer bytes: ");
  const std::string name = " held=";
  return std::stoul(line.substr(line.find(name) + name.size()));
}

}  // namespace

// Guards against answers that wait for an earlier one without any bound on their bytes (review/2: clients
// with hundreds of commands at once took the router over its memory).
TEST_CASE("answers that wait for an earlier one stay within their share of the memory") {
  constexpr int kClients = 20, kReads = 60;
  ValueServer server(kValueSize);
  Router router(server.entry(), kSockets, kMemoryMb);
  std::vector<Fd> clients, publishes;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(router.Connect());
    SendPublishAndReads(clients.back(), "c" + std::to_string(i), kReads);
    publishes.push_back(AcceptPublish(router));
  }
  // Nothing can be sent yet, so that the router holds every value that it has received.
  const std::size_t received = server.AnsweredAtRest() * kValueSize;
  CHECK(received <= kAnswerMemory);
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTimeoutMs);
  while (HeldBytes(router) < received) REQUIRE(std::chrono::steady_clock::now() < give_up);
  // The first answer of a connection needs none of this memory.
  Fd usual = router.Connect();
  usual.Write(ReadCommand("k", "u1"));
  CHECK(usual.ReadLine() == "VA " + std::to_string(kValueSize) + " Ou1\r\n");
  for (Fd& publish : publishes) publish.Write(HttpResponse("receipt"));
  for (int i = 0; i < kClients; ++i) {
    const std::string name = "c" + std::to_string(i);
    CHECK(clients[static_cast<std::size_t>(i)].ReadLine() == "HD Op" + name + " creceipt\r\n");
    ExpectValues(clients[static_cast<std::size_t>(i)], name, kReads, kValueSize);
  }
}

// Guards against memory of waiting answers that is on no account: each kept its request's id, which may be
// as long as a line.
TEST_CASE("an answer that waits holds little more than its own bytes") {
  constexpr std::size_t kClients = 10, kReads = 90, kIdSize = 3800;
  constexpr std::size_t kMaxBytesPerAnswer = 1024;  // a refusal takes some 20 bytes, with its bookkeeping
  Listener discovery, origin;
  InProcess router(Router::Config(discovery.address(),
                                  ServerEntryJson("o1", origin.address(), "in_service", 0, "origin")),
                   [](Limits& limits) {
                     limits.max_pipeline = kReads + 1;
                     limits.max_requests = kClients;  // all but the publishes are refused
                   });
  std::vector<Fd> clients, publishes;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(router.Connect());
    SendPublishAndReads(clients.back(), "c" + std::to_string(i), 0);
    publishes.push_back(origin.Accept());
    REQUIRE(publishes.back().ReadUntil("\r\n\r\nhello").starts_with("PUT "));
  }
  const std::size_t before = AllocatedBytes();
  for (std::size_t i = 0; i < kClients; ++i) {
    std::string commands;
    for (std::size_t n = 0; n < kReads; ++n)
      commands += ReadCommand("k", std::string(kIdSize, 'i') + std::to_string(i * kReads + n));
    clients[i].Write(commands);
  }
  // In each turn of the event loop every client is read once, 16 KiB at most.
  Fd other = router.Connect();
  for (std::size_t read = 0; read < 2 * kReads * kIdSize; read += 16 * 1024) {
    other.Write("mn\r\n");
    REQUIRE(other.ReadLine() == "MN\r\n");
  }
  CHECK(AllocatedBytes() <= before + kClients * kReads * kMaxBytesPerAnswer);
  for (std::size_t i = 0; i < kClients; ++i) {
    publishes[i].Write(HttpResponse("receipt"));
    CHECK(clients[i].ReadLine() == "HD Opc" + std::to_string(i) + " creceipt\r\n");
    for (std::size_t n = 0; n < kReads; ++n)
      REQUIRE(clients[i].ReadLine().starts_with("SERVER_ERROR busy"));
  }
}

// Guards against a connection that stops for good because later streamed values use the room that the first
// one waits for.
TEST_CASE("values that are streamed at once on one connection are all sent, in order") {
  constexpr int kReads = 9;
  constexpr std::size_t kStreamedSize = 100 * 1024;
  ValueServer server(kStreamedSize);
  Router router(server.entry(), kSockets, kMemoryMb);
  Fd client = router.Connect();
  SendPublishAndReads(client, "c", kReads);
  Fd publish = AcceptPublish(router);
  server.AnsweredAtRest();
  publish.Write(HttpResponse("receipt"));
  CHECK(client.ReadLine() == "HD Opc creceipt\r\n");
  ExpectValues(client, "c", kReads, kStreamedSize);
}

namespace {

struct Answering {  // a request that was begun
  std::size_t reserved = 0, held = 0, left = 0;
  bool streamed = false;
};

// One connection, used as a front end uses it: answers arrive in any order and are sent in theirs.
struct Connection {
  explicit Connection(AnswerMemory& memory) : account(memory) {}
  bool MayBegin(const AnswerMemory& memory) const {
    return (due.empty() && account.bytes().unsent == 0) || memory.HasRoom();
  }
  void Begin(std::size_t size, const Limits& limits) {
    const bool next = due.empty() && account.bytes().unsent == 0;
    due.push_back({next ? 0 : limits.AnswerSize(), 0, size, size > limits.max_value});
    account.Reserve(due.back().reserved);
  }
  // Receives what there is room for of the answer at `index`; returns whether it received anything.
  bool Receive(std::size_t index) {
    Answering& answer = due[index];
    account.Release(std::exchange(answer.reserved, 0));
    const std::size_t room = answer.streamed ? account.StreamRoom(index == 0) : answer.left;
    const std::size_t bytes = std::min(room, answer.left);
    answer.left -= bytes;
    answer.held += bytes;
    account.AddHeld(bytes);
    SendInOrder();
    return bytes > 0;
  }
  void SendInOrder() {
    while (!due.empty()) {
      const std::size_t bytes = std::exchange(due.front().held, 0);
      account.RemoveHeld(bytes);
      account.SetUnsent(account.bytes().unsent + bytes);
      if (due.front().left > 0) return;
      due.pop_front();
    }
  }
  void Read(std::size_t bytes) {
    account.SetUnsent(account.bytes().unsent - std::min(bytes, account.bytes().unsent));
  }

  AnswerAccount account;
  std::deque<Answering> due;
};

}  // namespace

// Guards against a bound on waiting answers that is exceeded in some order of events, or that stops a
// connection whose client reads.
TEST_CASE("the memory for answers is never exceeded, always drains, and is returned") {
  constexpr std::size_t kConnections = 12;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&random](std::size_t below) { return random() % below; };
    Limits limits;
    limits.max_answer_memory = limits.AnswerSize() * (1 + draw(10));
    AnswerMemory memory(limits);
    std::vector<std::unique_ptr<Connection>> connections;
    for (std::size_t i = 0; i < kConnections; ++i)
      connections.push_back(std::make_unique<Connection>(memory));
    for (int step = 0; step < 2000; ++step) {
      std::unique_ptr<Connection>& c = connections[draw(kConnections)];
      switch (draw(8)) {
        case 0:
        case 1:
        case 2:
          if (c->MayBegin(memory)) c->Begin(1 + draw(draw(4) == 0 ? 500000 : limits.max_value), limits);
          break;
        case 3:
        case 4:
        case 5:
          if (!c->due.empty()) c->Receive(draw(c->due.size()));
          break;
        case 6:
          c->Read(draw(200000));
          break;
        case 7:
          if (draw(20) == 0) c = std::make_unique<Connection>(memory);  // its client has gone
          break;
      }
      REQUIRE(memory.shared() <= limits.max_answer_memory);
      REQUIRE(memory.bytes().held + memory.bytes().unsent <=
              limits.max_answer_memory + kConnections * limits.AnswerSize());
    }
    // Every client that reads gets all of its answers, and no other has to read for that.
    for (const auto& c : connections) {
      while (!c->due.empty()) {
        c->Read(c->account.bytes().unsent);
        REQUIRE(c->Receive(0));
      }
      c->Read(c->account.bytes().unsent);
    }
    CHECK(memory.shared() == 0);
    CHECK(memory.bytes().reserved + memory.bytes().held + memory.bytes().unsent == 0);
  }
}

// Guards against clients that read nothing of large values and together hold more than the memory has,
// although each stays within the window of one.
TEST_CASE("streamed values that are not read share the memory, and one that is read goes on") {
  constexpr std::size_t kConnections = 85;
  Limits limits;
  limits.max_answer_memory = kAnswerMemory;
  AnswerMemory memory(limits);
  std::vector<std::unique_ptr<AnswerAccount>> accounts;
  for (std::size_t i = 0; i < kConnections; ++i) {
    accounts.push_back(std::make_unique<AnswerAccount>(memory));
    while (const std::size_t room = accounts.back()->StreamRoom(true))
      accounts.back()->SetUnsent(accounts.back()->bytes().unsent + room);
    CHECK(accounts.back()->bytes().unsent <= limits.stream_window);
  }
  CHECK(memory.bytes().unsent <= kAnswerMemory + kConnections * limits.AnswerSize());
  CHECK(accounts.back()->StreamRoom(true) == 0);
  accounts.back()->SetUnsent(0);
  CHECK(accounts.back()->StreamRoom(true) > 0);
}

// Guards against buffered values that wait for each other's memory: each is reserved whole or not at all.
TEST_CASE("a value that waits to be buffered is reserved whole, before requests that are not begun yet") {
  Limits limits;
  limits.max_answer_memory = 10 * limits.AnswerSize();
  AnswerMemory memory(limits);
  AnswerAccount first(memory), later(memory), other(memory);
  CHECK_FALSE(later.TryReserve(6 * limits.AnswerSize(), false));  // half is left to the answers before it
  CHECK(memory.HasRoom());
  other.Reserve(5 * limits.AnswerSize());
  CHECK_FALSE(first.TryReserve(6 * limits.AnswerSize(), true));
  CHECK_FALSE(memory.HasRoom());
  other.Release(limits.AnswerSize());
  CHECK(first.TryReserve(6 * limits.AnswerSize(), true));
  CHECK(memory.shared() == limits.max_answer_memory);
  first.Release(6 * limits.AnswerSize());
  CHECK(memory.HasRoom());
  CHECK_FALSE(first.TryReserve(7 * limits.AnswerSize(), true));
  first.DropPending();
  CHECK(memory.HasRoom());
}
