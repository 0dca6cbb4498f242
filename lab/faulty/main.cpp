// Routers that each break one rule, to show that the rule checker detects it. They share a minimal router:
// one thread for each client, blocking sockets, and a cache server chosen by the hash of the key. The first
// argument names the fault; "honest" breaks no rule.
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

#include "config/config.h"
#include "lab/truth/truth.h"
#include "protocol/address.h"
#include "protocol/discovery.h"
#include "protocol/http.h"
#include "protocol/labels.h"
#include "protocol/meta.h"

namespace {

using namespace brasswood;
using beechledge::Availability;
using beechledge::Result;

enum class Fault {
  kHonest,
  kDoubleWrite,   // a write that must not repeat is sent again after its receipt
  kLostAnswer,    // some connections are closed without an answer
  kLateAnswer,    // some answers are sent after the deadline
  kForeignValue,  // some values are invented by the router
  kLateDrain,     // the first change of the server list is ignored, and the list never read again
  kColdOverload,  // all reads go to the cache server that started last
  kTwoAtOnce,     // reads go to two cache servers at the same time
  kRefusedRun     // writes that ran are refused as not run
};
constexpr std::string_view kFaultModes[] = {"honest",      "double-write",  "lost-answer",
                                            "late-answer", "foreign-value", "late-drain",
                                            "cold-push",   "two-at-once",   "refused-run"};

constexpr int kReadTimeoutMs = 10000;

class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (fd_ >= 0) ::close(fd_);
  }
  bool Connect(const std::string& endpoint) {
    const auto at = ParseAddress(endpoint);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    return at && ::connect(fd_, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) == 0;
  }
  void Write(const std::string& text) const { (void)!::send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // Reads until `parse` has a complete message; false if the other side closes or sends nothing for
  // kReadTimeoutMs.
  bool Read(const std::function<Parsed(std::string_view, std::size_t&)>& parse) {
    for (;;) {
      std::size_t used = 0;
      const Parsed got = parse(in_, used);
      if (got == Parsed::kBad) return false;
      if (got == Parsed::kDone) {
        in_.erase(0, used);
        return true;
      }
      pollfd p{fd_, POLLIN, 0};
      char bytes[16384];
      const ssize_t n = ::poll(&p, 1, kReadTimeoutMs) == 1 ? ::recv(fd_, bytes, sizeof bytes, 0) : 0;
      if (n <= 0) return false;
      in_.append(bytes, static_cast<std::size_t>(n));
    }
  }

 private:
  int fd_ = -1;
  std::string in_;
};

class FaultyRouter {
 public:
  FaultyRouter(Config config, Fault fault)
      : config_(std::move(config)), fault_(fault), list_(config_.known) {}

  void Serve() {
    std::thread([this] { PollDiscovery(); }).detach();
    const sockaddr_in at = *ParseAddress(config_.listen);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(listener, 512) != 0) {
      std::cerr << "cannot listen\n";
      std::exit(1);
    }
    for (;;) {
      const int fd = ::accept(listener, nullptr, nullptr);
      if (fd >= 0) std::thread([this, fd] { ServeClient(fd); }).detach();
    }
  }

 private:
  void PollDiscovery() {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      if (fault_ == Fault::kLateDrain && ListChanged()) continue;
      Socket s(-1);
      if (!s.Connect(config_.discovery)) continue;
      s.Write(WriteGet(config_.discovery, ListPath(std::nullopt, Duration(0))));
      HttpAnswer answer;
      if (!s.Read([&](std::string_view in, std::size_t& used) {
            return ParseHttpAnswer(in, config_.limits.max_list, config_.limits, InputEnd::kOpen, used,
                                   answer);
          })) {
        continue;
      }
      std::string why;
      const auto list = ReadServerList(answer.body, config_.settings.names, config_.limits, why);
      const std::lock_guard lock(lock_);
      if (!list) continue;
      const bool changed = list->entries.size() != list_.entries.size() || list->version != list_.version;
      list_changed_ = list_changed_ || changed;
      // With kLateDrain the router has received the change, but goes on with the earlier list.
      if (fault_ != Fault::kLateDrain) list_ = *list;
    }
  }
  bool ListChanged() {
    const std::lock_guard lock(lock_);
    return list_changed_;
  }

  bool IsOrigin(const ServerEntry& e) const { return e.kind == config_.settings.module.origin_kind; }

  std::string Origin() {
    const std::lock_guard lock(lock_);
    for (const ServerEntry& e : list_.entries) {
      if (IsOrigin(e)) return e.endpoint;
    }
    return {};
  }

  // Up to two cache servers for the key, in the order in which they are asked.
  std::vector<std::string> CacheServersFor(const std::string& key) {
    const std::lock_guard lock(lock_);
    std::vector<const ServerEntry*> in_service;
    for (const ServerEntry& e : list_.entries) {
      if (!IsOrigin(e) && e.availability == Availability::kUp) in_service.push_back(&e);
    }
    if (in_service.empty()) return {};
    if (fault_ == Fault::kColdOverload) {
      const auto last =
          std::max_element(in_service.begin(), in_service.end(),
                           [](const auto* a, const auto* b) { return a->started < b->started; });
      return {(*last)->endpoint};
    }
    const std::size_t n = std::hash<std::string>()(key) % in_service.size();
    return {in_service[n]->endpoint, in_service[(n + 1) % in_service.size()]->endpoint};
  }

  AttemptResult ReadCacheAnswer(Socket& s, const RequestContent& request) {
    AttemptResult end;
    if (!s.Read([&](std::string_view in, std::size_t& used) {
          return ParseAttemptReply(in, request, config_.limits, used, end);
        })) {
      end.result = Result::kReset;
    }
    return end;
  }

  AttemptResult AskOrigin(const RequestContent& request) {
    Socket s(-1);
    AttemptResult end;
    end.result = Result::kReset;
    const std::string origin = Origin();
    if (!s.Connect(origin)) return end;
    s.Write(WriteOriginAttempt(origin, request, std::chrono::seconds(1)));
    HttpAnswer answer;
    if (s.Read([&](std::string_view in, std::size_t& used) {
          return ParseHttpAnswer(in, config_.limits.max_value, config_.limits, InputEnd::kOpen, used,
                                 answer);
        })) {
      end = ReadOriginAnswer(std::move(answer), request);
    }
    return end;
  }

  Answer Execute(const RequestContent& request) {
    AttemptResult end;
    end.result = Result::kMiss;
    if (!request.write) {
      const std::vector<std::string> servers = CacheServersFor(request.key);
      Socket first(-1), second(-1);
      bool first_sent = !servers.empty() && first.Connect(servers[0]);
      if (first_sent) first.Write(WriteAttempt(request, std::chrono::seconds(1)));
      if (fault_ == Fault::kTwoAtOnce && servers.size() > 1 && second.Connect(servers[1])) {
        second.Write(WriteAttempt(request, std::chrono::seconds(1)));
        if (first_sent) end = ReadCacheAnswer(first, request);
        if (end.result != Result::kOk) end = ReadCacheAnswer(second, request);
      } else if (first_sent) {
        end = ReadCacheAnswer(first, request);
      }
    }
    if (end.result != Result::kOk) end = AskOrigin(request);
    const bool unkeyed_write = request.write && request.labels.find(",k=") == request.labels.npos;
    if (fault_ == Fault::kDoubleWrite && unkeyed_write) end = AskOrigin(request);
    if (fault_ == Fault::kRefusedRun && unkeyed_write) return {AnswerKind::kRefused, {}, {}};
    if (end.result != Result::kOk) return {AnswerKind::kFailed, {}, {}};
    return {request.write ? AnswerKind::kReceipt : AnswerKind::kValue, std::move(end.body), {}};
  }

  void ServeClient(int fd) {
    Socket client(fd);
    for (;;) {
      Command command;
      if (!client.Read([&](std::string_view in, std::size_t& used) {
            return ParseCommand(in, config_.limits, used, command);
          })) {
        return;
      }
      if (command.verb != Verb::kRequest) {
        client.Write("MN\r\n");
        continue;
      }
      Answer answer = Execute(command.content);
      const bool faulty = ++count_ % 10 == 0;
      if (fault_ == Fault::kLostAnswer && faulty) return;
      if (fault_ == Fault::kForeignValue && faulty && answer.kind == AnswerKind::kValue) {
        // Well formed and marked like the value of a server, but made by none.
        answer.body = command.content.id + ":4000000000:vv";
      }
      if (fault_ == Fault::kLateAnswer && faulty) {
        std::uint64_t ms = 0;
        EachLabel(command.content.labels, [&](std::string_view name, std::string_view value) {
          if (name == "d") ms = ParseUnsigned(value).value_or(0);
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(ms + 250));
      }
      std::string text;
      AppendAnswer(text, command.content.id, answer, config_.limits);
      client.Write(text);
    }
  }

  const Config config_;
  const Fault fault_;
  std::mutex lock_;
  ServerList list_;
  bool list_changed_ = false;
  std::atomic<std::uint64_t> count_{0};
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { ::_exit(0); });
  const std::string_view requested = argc > 1 ? argv[1] : "honest";
  for (std::size_t m = 0; m < std::size(kFaultModes); ++m) {
    if (kFaultModes[m] == requested) FaultyRouter(LoadConfig(), static_cast<Fault>(m)).Serve();
  }
  std::cerr << "unknown fault: " << requested << "\n";
  return 2;
}
