// Helpers for tests of the program over TCP on loopback: the test starts the router and acts as its
// clients, cache servers, origin and discovery. Every step waits for its event; kTimeoutMs only ends a test
// that has already failed.
#ifndef BRASSWOOD_TESTS_NET_WORLD_H_
#define BRASSWOOD_TESTS_NET_WORLD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace brasswood::testing {

constexpr int kTimeoutMs = 20000;

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)), read_(std::move(o.read_)) {}
  Fd& operator=(Fd&& o) noexcept {
    Close();
    fd_ = std::exchange(o.fd_, -1);
    read_ = std::move(o.read_);
    return *this;
  }
  ~Fd() { Close(); }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int get() const { return fd_; }
  void Write(const std::string& text) const {
    REQUIRE(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  // Reads up to and including `end`; empty if the peer closes first.
  std::string ReadUntil(const std::string& end) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTimeoutMs);
    for (;;) {
      const std::size_t at = read_.find(end);
      if (at != read_.npos) return Consume(at + end.size());
      if (!Receive()) return {};
      // Guards against a log that never ends and never contains `end`.
      if (std::chrono::steady_clock::now() > deadline)
        throw std::runtime_error("expected text never arrived; received: " + read_);
    }
  }
  // The first piece, each ended by `end`, that contains `what`.
  std::string ReadUntil(const std::string& end, const std::string& what) {
    std::string piece = ReadUntil(end);
    while (!piece.empty() && piece.find(what) == piece.npos) piece = ReadUntil(end);
    return piece;
  }
  std::string ReadLine() { return ReadUntil("\r\n"); }
  std::string ReadExactly(std::size_t n) {
    while (read_.size() < n) REQUIRE(Receive());
    return Consume(n);
  }
  bool PeerClosed() {  // whether the peer closes without sending anything before
    while (Receive()) {
    }
    return read_.empty();
  }

 private:
  std::string Consume(std::size_t n) {
    std::string out = read_.substr(0, n);
    read_.erase(0, n);
    return out;
  }
  bool Receive() {
    pollfd p{fd_, POLLIN, 0};
    if (::poll(&p, 1, kTimeoutMs) != 1) throw std::runtime_error("no data arrived; received: " + read_);
    char buffer[65536];
    const ssize_t n = ::read(fd_, buffer, sizeof buffer);
    if (n > 0) read_.append(buffer, static_cast<std::size_t>(n));
    return n > 0;
  }
  int fd_;
  std::string read_;
};

class Listener {
 public:
  // `port`: one that a closed listener has used before; 0: any free one.
  explicit Listener(int port = 0) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    REQUIRE(::bind(fd_.get(), reinterpret_cast<sockaddr*>(&at), size) == 0);
    REQUIRE(::listen(fd_.get(), 128) == 0);
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  const std::string& address() const { return address_; }
  int get() const { return fd_.get(); }
  int port() const { return std::stoi(address_.substr(address_.rfind(':') + 1)); }
  void Close() { fd_.Close(); }
  Fd Accept() const {
    pollfd p{fd_.get(), POLLIN, 0};
    if (::poll(&p, 1, kTimeoutMs) != 1) throw std::runtime_error("no connection arrived");
    return Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  }

 private:
  Fd fd_;
  std::string address_;
};

// Whether a connection to this listener arrives within 200 ms.
inline bool IsConnectedTo(const Listener& listener) {
  pollfd p{listener.get(), POLLIN, 0};
  return ::poll(&p, 1, 200) == 1;
}

// The index of the first of these listeners to receive a connection.
inline std::size_t FirstConnected(const std::vector<const Listener*>& listeners) {
  std::vector<pollfd> polled;
  for (const Listener* l : listeners) polled.push_back({l->get(), POLLIN, 0});
  if (::poll(polled.data(), polled.size(), kTimeoutMs) < 1)
    throw std::runtime_error("no connection arrived");
  for (std::size_t i = 0; i < polled.size(); ++i) {
    if (polled[i].revents != 0) return i;
  }
  return 0;
}

inline std::string ServerEntryJson(const std::string& uid, const std::string& endpoint,
                                   const std::string& state, long long boot_ms = 0,
                                   const std::string& model = "m1") {
  return R"({"uid":")" + uid + R"(","endpoint":")" + endpoint + R"(","az":"a","model":")" + model +
         R"(","pod_group":0,"state":")" + state + R"(","capacity_hint":1.0,"boot_ms":)" +
         std::to_string(boot_ms) + "}";
}

inline std::string ServerListJson(int rev, bool all, const std::string& targets) {
  return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") + R"(,"targets":[)" +
         targets + "]}";
}

inline std::string HttpResponse(const std::string& body, const std::string& status = "200 OK",
                                const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
         "\r\n" + body;
}

// Reads the head of a call to discovery, which is not answered yet.
inline std::string ReadCallHead(Fd& discovery) { return discovery.ReadUntil("\r\n\r\n"); }

struct Process {
  pid_t pid = -1;
  Fd err;
  std::string listen;         // the address for clients, or the error line of a failed start
  std::string admin_address;  // the address of the admin interface, if it has one
  std::string path;           // the configuration file
  std::string startup_log;    // the log up to the line that reports the address for clients
  Process() = default;
  Process(Process&& o) noexcept
      : pid(std::exchange(o.pid, -1)),
        err(std::move(o.err)),
        listen(std::move(o.listen)),
        admin_address(std::move(o.admin_address)),
        path(std::exchange(o.path, {})),
        startup_log(std::move(o.startup_log)) {}
  Process& operator=(Process&& o) noexcept {
    std::swap(pid, o.pid);
    std::swap(err, o.err);
    std::swap(listen, o.listen);
    std::swap(admin_address, o.admin_address);
    std::swap(path, o.path);
    std::swap(startup_log, o.startup_log);
    return *this;
  }
  void Reload(const std::string& config) const {
    std::ofstream(path, std::ios::trunc) << config;
    REQUIRE(::kill(pid, SIGHUP) == 0);
  }
  ~Process() {
    if (!path.empty()) ::unlink(path.c_str());
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  int Wait() {
    int status = 0;
    ::waitpid(std::exchange(pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
};

// Starts the program with the configuration file `path`. `more`: further environment variables,
// "NAME=value".
inline Process Launch(const std::string& path, const std::string& discovery = "",
                      const std::vector<std::string>& more = {}) {
  int err[2];
  REQUIRE(::pipe2(err, O_CLOEXEC) == 0);
  const std::string variable = "PROXY_CONFIG=" + path, start = "PROXY_DISCOVERY=" + discovery;
  Process p;
  p.path = path;
  p.pid = ::fork();
  if (p.pid == 0) {
    ::dup2(err[1], 2);
    char* const argv[] = {const_cast<char*>("brasswood"), nullptr};
    std::vector<char*> env = {const_cast<char*>(variable.c_str()), const_cast<char*>(start.c_str())};
    for (const std::string& v : more) env.push_back(const_cast<char*>(v.c_str()));
    env.push_back(nullptr);
    ::execve(BRASSWOOD_PROGRAM, argv, env.data());
    ::_exit(127);
  }
  ::close(err[1]);
  p.err = Fd(err[0]);
  return p;
}

// Reads the log until the program listens, or reports why it does not start.
inline void AwaitStart(Process& p) {
  for (std::string line = p.err.ReadUntil("\n"); !line.empty(); line = p.err.ReadUntil("\n")) {
    p.startup_log += line;
    if (const std::size_t door = line.find("operators' door on "); door != line.npos) {
      p.admin_address = line.substr(door + 19, line.size() - door - 20);
    }
    const std::size_t at = line.find("listens on ");
    if (at != line.npos) {
      p.listen = line.substr(at + 11, line.size() - at - 12);
      break;
    }
    if (line.find("configuration:") != line.npos) {
      p.listen = line;  // the reason why it does not start
      break;
    }
  }
}

inline std::string TemporaryFile() {
  char path[] = "/tmp/brasswood-test-XXXXXX";
  const int file = ::mkstemp(path);
  REQUIRE(file >= 0);
  ::close(file);
  return path;
}

inline Process Start(const std::string& config, const std::string& discovery = "",
                     const std::vector<std::string>& more = {}) {
  const std::string path = TemporaryFile();
  std::ofstream(path) << config;
  Process p = Launch(path, discovery, more);
  AwaitStart(p);
  return p;
}

inline Fd ConnectTo(const std::string& address,
                    Fd fd = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
  REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  return fd;
}

// A running router that was configured with these servers, and its discovery and origin.
struct Router {
  Listener discovery, origin;
  Process process;

  static std::string Config(const std::string& discovery, const std::string& targets, int sockets = 256,
                            int memory_mb = 192) {
    const std::string klass = R"("aim":5000000000,"give_up":10000000000,"points":1,"dedup_scope":"all",)"
                              R"("window":5000000000)";
    return R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" + discovery + R"(","seed":"1",)" +
           R"("limits":{"memory_mb":)" + std::to_string(memory_mb) + R"(,"sockets":)" +
           std::to_string(sockets) + R"(},"known":)" + ServerListJson(1, true, targets) +
           R"(,"settings":{"balancers":1,"zones":["a"],"shapes":["m1","origin"],"registry_mode":"on_request",)" +
           R"("family_info":{"mode":"aside","origin_kind":1},"classes":[{"name":"read","effect":"free",)" +
           klass + R"(},{"name":"publish","effect":"single_shot",)" + klass + R"(}],)" +
           R"("allowed":{"cancel":true,"max_attempts":3,"connect_timeout":5000000000,"conn_idle":5000000000,)" +
           R"("retry_after":true,"max_retry_after":2000000000},)" +
           R"("safety":{"drain_grace":1000000000,"ask_within":10000000000,"cold_from":0.1,)" +
           R"("ramp_time":60000000000,"fall_multiple":4,"fall":2000000000}}})";
  }
  explicit Router(const std::string& targets, int sockets = 256, int memory_mb = 192) {
    const std::string with_origin = targets + (targets.empty() ? "" : ",") +
                                    ServerEntryJson("o1", origin.address(), "in_service", 0, "origin");
    process = Start(Config(discovery.address(), with_origin, sockets, memory_mb), discovery.address());
  }
  Fd Connect() const { return ConnectTo(process.listen); }
};

inline std::string ReadCommand(const std::string& key, const std::string& id, int wait_ms = 9000) {
  return "mg " + key + " v O" + id + " Pc=read,d=" + std::to_string(wait_ms) + "\r\n";
}
inline std::string PublishCommand(const std::string& key, const std::string& id, const std::string& value) {
  return "ms " + key + " " + std::to_string(value.size()) + " O" + id + " Pc=publish,d=9000\r\n" + value +
         "\r\n";
}

}  // namespace brasswood::testing

#endif  // BRASSWOOD_TESTS_NET_WORLD_H_
