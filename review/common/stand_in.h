// What the cases of this review share: sockets, a record, a stand-in for discovery, and a router that is
// started with the run command of the deploy file. One thread for each connection; all on loopback.
#ifndef REVIEW_COMMON_STAND_IN_H_
#define REVIEW_COMMON_STAND_IN_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::duration<double, std::milli>;
inline const Clock::time_point kStart = Clock::now();
inline double Now() { return Ms(Clock::now() - kStart).count(); }  // ms since this program started
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(Ms(ms));
}
inline void SleepUntil(double at) { SleepMs(at - Now()); }

// The record of what was sent, answered and run. One line each, with the time in ms.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard held(lock_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%10.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex lock_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline void NoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// A connected socket with a read buffer.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Ends the connection with a reset.
  void Reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  bool Connect(int port, int receive_buffer = 0) {
    Close();
    in_.clear();
    closed_ = reset_ = false;
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
      Close();
      return false;
    }
    NoDelay(fd_);
    return true;
  }
  bool Write(std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  // Whether there is something to read (or the end) within `ms`.
  bool Readable(double ms) const {
    pollfd p{fd_, POLLIN, 0};
    timespec wait{};
    if (ms > 0) {
      wait.tv_sec = static_cast<time_t>(ms / 1000);
      wait.tv_nsec = static_cast<long>((ms - static_cast<double>(wait.tv_sec) * 1000) * 1e6);
    }
    return ::ppoll(&p, 1, &wait, nullptr) > 0;
  }
  // Reads once; false at the end, after a reset, or if nothing comes until `until`.
  bool Receive(double until) {
    if (!Readable(until - Now())) return false;
    char bytes[65536];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n > 0) {
      in_.append(bytes, static_cast<std::size_t>(n));
      return true;
    }
    closed_ = true;
    reset_ = n < 0;
    return false;
  }
  // One line without its CRLF.
  bool ReadLine(std::string& line, double until) {
    for (;;) {
      const std::size_t end = in_.find("\r\n");
      if (end != in_.npos) {
        line = in_.substr(0, end);
        in_.erase(0, end + 2);
        return true;
      }
      if (!Receive(until)) return false;
    }
  }
  bool ReadBytes(std::size_t n, std::string& to, double until) {
    while (in_.size() < n) {
      if (!Receive(until)) return false;
    }
    to = in_.substr(0, n);
    in_.erase(0, n);
    return true;
  }
  std::size_t buffered() const { return in_.size(); }
  bool closed() const { return closed_; }
  bool was_reset() const { return reset_; }

 private:
  int fd_;
  std::string in_;
  bool closed_ = false, reset_ = false;
};

constexpr double kLong = 100000;  // ms: longer than any case runs

// Listens on a free loopback port and gives each connection a thread.
class Server {
 public:
  using Serve = std::function<void(std::shared_ptr<Socket>)>;
  Server() {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd_, 512) != 0) std::_Exit(2);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  void Start(Serve serve) {
    std::thread([this, serve] {
      for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        NoDelay(fd);
        std::thread([serve, fd] { serve(std::make_shared<Socket>(fd)); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int fd_ = -1, port_ = 0;
};

// The value of `name` in the P list of a command line, or of X-Labels.
inline std::string Label(const std::string& labels, const std::string& name) {
  std::stringstream in(labels);
  std::string item;
  while (std::getline(in, item, ',')) {
    if (item.rfind(name + "=", 0) == 0) return item.substr(name.size() + 1);
  }
  return {};
}

// A memcache meta command as a cache server reads it.
struct Command {
  std::string line, verb, key, id, labels, value;
};
inline bool ReadCommand(Socket& socket, Command& command, double until = kLong) {
  command = {};
  if (!socket.ReadLine(command.line, until)) return false;
  std::stringstream words(command.line);
  words >> command.verb >> command.key;
  std::string word;
  std::size_t length = 0;
  if (command.verb == "ms") words >> length;
  while (words >> word) {
    if (word[0] == 'O') command.id = word.substr(1);
    if (word[0] == 'P') command.labels = word.substr(1);
  }
  if (command.verb != "ms") return true;
  if (!socket.ReadBytes(length + 2, command.value, until)) return false;
  command.value.resize(length);
  return true;
}

// A request over HTTP as the origin or discovery reads it.
struct HttpRequest {
  std::string method, path, id, labels, body;
};
inline bool ReadHttp(Socket& socket, HttpRequest& request, double until = kLong) {
  request = {};
  std::string line;
  if (!socket.ReadLine(line, until)) return false;
  std::stringstream words(line);
  words >> request.method >> request.path;
  std::size_t length = 0;
  while (socket.ReadLine(line, until)) {
    if (line.empty()) return length == 0 || socket.ReadBytes(length, request.body, until);
    if (line.rfind("X-Txn: ", 0) == 0) request.id = line.substr(7);
    if (line.rfind("X-Labels: ", 0) == 0) request.labels = line.substr(10);
    if (line.rfind("Content-Length: ", 0) == 0) length = std::stoul(line.substr(16));
  }
  return false;
}
inline std::string HttpAnswer(const std::string& body, const std::string& status = "200 OK",
                              const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
         "\r\n" + body;
}

// One entry of discovery's list.
struct Entry {
  std::string uid, endpoint, az = "a", model = "node", state = "in_service";
  long long boot_ms = 0;
  std::string Json() const {
    return R"({"uid":")" + uid + R"(","endpoint":")" + endpoint + R"(","az":")" + az + R"(","model":")" +
           model + R"(","pod_group":0,"state":")" + state + R"(","capacity_hint":1.0,"boot_ms":)" +
           std::to_string(boot_ms) + "}";
  }
};

// Discovery: whole lists, watches, changes. `queue_ms`: how long each call waits its turn.
class Discovery {
 public:
  std::atomic<double> queue_ms{0};
  // Called when a call has been read; true: this call's connection falls silent from now on.
  std::function<bool(const std::string& path)> falls_silent = [](const std::string&) { return false; };
  // Called when an answer has been written.
  std::function<void(const std::string& path, long long rev)> answered = [](const std::string&, long long) {};

  void Add(const Entry& entry) {
    const std::lock_guard held(lock_);
    entries_[entry.uid] = entry;
    changed_[entry.uid] = rev_;
  }
  void SetState(const std::string& uid, const std::string& state) {
    const std::lock_guard held(lock_);
    entries_[uid].state = state;
    changed_[uid] = ++rev_;
    RECORD("discovery: %s is %s, rev %lld", uid.c_str(), state.c_str(), rev_);
  }
  std::string Whole() {
    const std::lock_guard held(lock_);
    return List(-1, true);
  }
  void Start() {
    server_.Start([this](std::shared_ptr<Socket> socket) { Serve(*socket); });
  }
  std::string address() const { return server_.address(); }
  int port() const { return server_.port(); }

 private:
  std::string List(long long since, bool all) const {
    std::string targets;
    for (const auto& [uid, entry] : entries_) {
      if (!all && changed_.at(uid) <= since) continue;
      if (all && entry.state == "terminated") continue;
      targets += (targets.empty() ? "" : ",") + entry.Json();
    }
    return R"({"rev":)" + std::to_string(rev_) + R"(,"all":)" + (all ? "true" : "false") + R"(,"targets":[)" +
           targets + "]}";
  }
  void Serve(Socket& socket) {
    HttpRequest request;
    while (ReadHttp(socket, request)) {
      RECORD("discovery: call %s", request.path.c_str());
      if (falls_silent(request.path)) {
        RECORD("discovery: the connection of this call falls silent");
        while (socket.Receive(kLong)) {
        }
        RECORD("discovery: the silent call was given up");
        return;
      }
      SleepMs(queue_ms);
      const std::size_t since_at = request.path.find("since="), wait_at = request.path.find("timeout_ms=");
      std::string list;
      long long rev = 0;
      if (since_at == request.path.npos) {
        const std::lock_guard held(lock_);
        list = List(-1, true);
        rev = rev_;
      } else {
        const long long since = std::atoll(request.path.c_str() + since_at + 6);
        const double wait = wait_at == request.path.npos ? 0 : std::atof(request.path.c_str() + wait_at + 11);
        const double until = Now() + wait;
        for (;;) {
          {
            const std::lock_guard held(lock_);
            if (rev_ > since || Now() >= until) {
              list = List(since, false);
              rev = rev_;
              break;
            }
          }
          if (socket.Readable(5)) break;  // the caller has gone
        }
        if (list.empty()) return;
      }
      if (!socket.Write(HttpAnswer(list))) return;
      RECORD("discovery: answered %s with rev %lld", request.path.c_str(), rev);
      answered(request.path, rev);
    }
  }

  mutable std::mutex lock_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, long long> changed_;
  long long rev_ = 1;
  Server server_;
};

// The settings of a small deployment; the classes and figures are those that the case gives.
struct Deployment {
  std::string classes;  // the array's members
  std::string grace_ns = "1000000000", idle_ns = "5000000000", handshake = "0";
  int memory_mb = 192, sockets = 1024, balancers = 2;
  std::string Config(const std::string& listen, const std::string& discovery, const std::string& known,
                     const std::string& more = "") const {
    return R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery + R"(",)" + more +
           R"("seed":"5d0c1b2f9e3a4411","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) +
           R"(,"sockets":)" + std::to_string(sockets) + R"(},"known":)" + known +
           R"(,"settings":{"balancers":)" + std::to_string(balancers) +
           R"(,"me":0,"locality":0,"zones":["a","b"],"shapes":["node","origin"],"layer":0,"layers":["cache"],)"
           R"("kind_of_service":"cache","registry_mode":"on_request","weights":"nominal","worth_by":"request",)"
           R"("family_info":{"mode":"aside","origin_kind":1,"origin_fall":3000000000,"origin_fall_multiple":2.5},)"
           R"("telemetry":{"source":"none","columns":[]},"callers":{"marks_retry":false},)"
           R"("tenants":[{"name":"t1","portion":1.0,"allowance_per_s":200}],)"
           R"("allowed":{"cancel":true,"probes":true,"peers":false,"parallel_tries":false,"retry_after":true,)"
           R"("max_attempts":5,"open_cap":20000,"streams_per_conn":100,"max_retry_after":2000000000,)"
           R"("connect_timeout":200000000,"conn_idle":)" +
           idle_ns + R"(},"fees":{"cross_zone":0.13,"handshake":)" + handshake +
           R"(},"safety":{"answer_slack":20000000,"ask_within":10000000000,"cold_from":0.12,"drain_grace":)" +
           grace_ns +
           R"(,"fall":2000000000,"fall_multiple":4.0,"ramp_time":24000000000},"classes":[)" + classes + "]}}";
  }
};
inline std::string ClassJson(const std::string& name, const std::string& effect, int aim_ms, int give_up_ms,
                             int window_ms = 5000) {
  const auto ns = [](int ms) { return std::to_string(ms) + "000000"; };
  return R"({"name":")" + name + R"(","effect":")" + effect + R"(","dedup_scope":"all","aim":)" + ns(aim_ms) +
         R"(,"give_up":)" + ns(give_up_ms) + R"(,"window":)" + ns(window_ms) +
         R"(,"late_value":0.0,"points":3.0,"stream":false})";
}

// A free loopback port for the router to listen on.
inline int FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0) std::_Exit(2);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

// The router process, started by the deploy file's run command ($RUN) from the repository's root. It is
// killed when this program ends.
class Router {
 public:
  pid_t pid = -1;
  int port = 0;

  ~Router() { Kill(); }
  // `folder`: the temporary folder, which is also the router's $TMPDIR.
  bool Start(const std::string& folder, const std::string& name, const std::string& config,
             const std::vector<std::pair<std::string, std::string>>& environment = {}) {
    const char* run = std::getenv("RUN");
    if (run == nullptr) return false;
    const std::string file = folder + "/" + name + ".json", log = folder + "/" + name + ".log";
    std::ofstream(file) << config;
    const pid_t parent = ::getpid();
    pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      ::setenv("PROXY_CONFIG", file.c_str(), 1);
      ::setenv("TMPDIR", folder.c_str(), 1);
      for (const auto& [variable, value] : environment) ::setenv(variable.c_str(), value.c_str(), 1);
      if (std::freopen(log.c_str(), "w", stderr) == nullptr) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run, nullptr);
      ::_exit(127);
    }
    return pid > 0;
  }
  // Waits until `mn` is answered with MN.
  bool AwaitReady(int listen_port, double limit_ms = 10000) {
    port = listen_port;
    const double until = Now() + limit_ms;
    while (Now() < until) {
      Socket probe;
      std::string line;
      if (probe.Connect(port) && probe.Write("mn\r\n") && probe.ReadLine(line, Now() + 500) && line == "MN")
        return true;
      SleepMs(50);
    }
    return false;
  }
  // Whether the process has ended.
  bool Ended() {
    if (pid <= 0) return true;
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return false;
    pid = -1;
    return true;
  }
  void Kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    pid = -1;
  }
};

}  // namespace review

#endif  // REVIEW_COMMON_STAND_IN_H_
