// Stand-ins for the review's second part of cases (review/6 to review/10): clients, cache servers, the
// origin and discovery, as the operators' protocol page describes them, and the start of the router by the
// deploy file's `run` command. Every address is on loopback, every port is chosen by the kernel. Blocking
// sockets, one thread for each connection.
#ifndef REVIEW_COMMON_2_STAND_INS_H_
#define REVIEW_COMMON_2_STAND_INS_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// ---- Time and the record ----

inline double Now() {  // seconds since the case began
  static const auto begun = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void SleepUntil(double at) { Sleep(at - Now()); }
inline long long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// record.txt: one line for each thing sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::perror(path.c_str());
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard held(lock_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex lock_;
  std::FILE* file_;
};

// A case that cannot be played: exit code 2.
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::exit(2);
}

// ---- Sockets ----

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(Socket&& o) noexcept : fd_(std::exchange(o.fd_, -1)), in_(std::move(o.in_)) {}
  Socket(const Socket&) = delete;
  ~Socket() { Close(); }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }
  bool Write(const std::string& text) const {
    std::size_t at = 0;
    while (at < text.size()) {
      const ssize_t n = ::send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Whether the peer has closed or reset the connection, or sent something unasked.
  bool Ended() const {
    pollfd p{fd_, POLLIN | POLLRDHUP, 0};
    return ::poll(&p, 1, 0) == 1 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  // Waits until `until` (0: for ever) for more input. False: the peer has closed, or the time is up.
  bool Receive(double until = 0) {
    if (until > 0) {
      pollfd p{fd_, POLLIN, 0};
      const int left = static_cast<int>((until - Now()) * 1000) + 1;
      if (left <= 0 || ::poll(&p, 1, left) != 1) return false;
    }
    char bytes[65536];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      closed_ = true;
      return false;
    }
    in_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  bool closed() const { return closed_; }
  // Reads up to `end`, which is removed.
  std::optional<std::string> ReadTo(const std::string& end, double until = 0) {
    for (;;) {
      const std::size_t at = in_.find(end);
      if (at != in_.npos) {
        std::string text = in_.substr(0, at);
        in_.erase(0, at + end.size());
        return text;
      }
      if (!Receive(until)) return std::nullopt;
    }
  }
  std::optional<std::string> ReadExactly(std::size_t n, double until = 0) {
    while (in_.size() < n) {
      if (!Receive(until)) return std::nullopt;
    }
    std::string text = in_.substr(0, n);
    in_.erase(0, n);
    return text;
  }
  bool empty() const { return in_.empty(); }
  // What has arrived and was not read yet.
  const std::string& unread() const { return in_; }

 private:
  int fd_;
  bool closed_ = false;
  std::string in_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

inline std::string Endpoint(int port) { return "127.0.0.1:" + std::to_string(port); }

// Listens on a free port and serves each connection in a thread of its own.
class Listener {
 public:
  Listener() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at = Loopback(0);
    socklen_t size = sizeof at;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd_, 256) != 0)
      CannotRun("no port to listen on");
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  void Serve(std::function<void(Socket&)> each) {
    std::thread([this, each] {
      for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([each, fd] {
          Socket socket(fd);
          each(socket);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string endpoint() const { return Endpoint(port_); }

 private:
  int fd_;
  int port_ = 0;
};

// A port that is free now. Used for the router's own addresses.
inline int FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = Loopback(0);
  socklen_t size = sizeof at;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0) CannotRun("no free port");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

inline std::unique_ptr<Socket> Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<Socket>(fd);
}

// ---- Text ----

inline std::vector<std::string> Words(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}
inline std::string Flag(const std::vector<std::string>& words, char name) {
  for (std::size_t i = 2; i < words.size(); ++i) {
    if (words[i][0] == name) return words[i].substr(1);
  }
  return {};
}
inline std::string Label(const std::string& labels, const std::string& name) {
  std::istringstream in(labels);
  for (std::string label; std::getline(in, label, ',');) {
    if (label.starts_with(name + "=")) return label.substr(name.size() + 1);
  }
  return {};
}
inline std::string Header(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == head.npos) return {};
  const std::size_t from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

// ---- Cache servers and the origin ----

// A command as a server received it.
struct Arrival {
  std::string id, key, labels, value;
  bool write = false;
  double begun = 0;    // its first byte was there
  double arrived = 0;  // its last byte was there
};

class World;

// How a server writes an answer: whole, unless a case sets another way. Returns false if the router had
// ended the connection before the answer was whole.
using Writer = std::function<bool(Socket&, const Arrival&, const std::string& answer)>;
inline bool WriteWhole(Socket& to, const Arrival&, const std::string& answer) { return to.Write(answer); }

class CacheServer {
 public:
  CacheServer(World& world, std::string uid, double work);
  const std::string& uid() const { return uid_; }
  std::string endpoint() const { return listener_.endpoint(); }
  void Store(const std::string& key, const std::string& value) {
    const std::lock_guard held(lock_);
    store_[key] = value;
  }
  void Drop(const std::string& key) {
    const std::lock_guard held(lock_);
    store_.erase(key);
  }
  // The commands that arrived so far.
  std::vector<Arrival> arrivals() {
    const std::lock_guard held(lock_);
    return arrivals_;
  }
  Writer writer = WriteWhole;

 private:
  void Serve(Socket& socket);
  World& world_;
  std::string uid_;
  double work_;
  Listener listener_;
  std::mutex lock_;
  std::map<std::string, std::string> store_;
  std::vector<Arrival> arrivals_;
};

class Origin {
 public:
  Origin(World& world, std::string uid, double work);
  const std::string& uid() const { return uid_; }
  std::string endpoint() const { return listener_.endpoint(); }
  std::vector<Arrival> arrivals() {
    const std::lock_guard held(lock_);
    return arrivals_;
  }
  // The value of a key, when its read is answered.
  std::function<std::string(const std::string& key)> value_of;
  // Called when a write is carried out, before its receipt is given.
  std::function<void(const Arrival&)> on_write;
  Writer writer = WriteWhole;

 private:
  void Serve(Socket& socket);
  World& world_;
  std::string uid_;
  double work_;
  Listener listener_;
  std::mutex lock_;
  std::vector<Arrival> arrivals_;
};

// The servers of one deployment, and the record of the case.
class World {
 public:
  explicit World(const std::string& record_path) : record(record_path) {}
  Record record;
  std::vector<std::unique_ptr<CacheServer>> servers;
  std::unique_ptr<Origin> origin;

  static std::string ValueOf(const std::string& key) { return "value-of-" + key; }
  void Missed(const std::string& id, CacheServer* server) {
    const std::lock_guard held(lock_);
    missed_[id].push_back(server);
  }
  // The origin has answered: the value is stored where it was missed.
  void StoreWhereMissed(const Arrival& a, const std::string& value) {
    std::vector<CacheServer*> at;
    {
      const std::lock_guard held(lock_);
      at = missed_[a.id];
      missed_.erase(a.id);
    }
    for (CacheServer* server : at) server->Store(a.key, value);
  }
  void DropCopies(const std::string& key) {
    for (auto& server : servers) server->Drop(key);
  }

 private:
  std::mutex lock_;
  std::map<std::string, std::vector<CacheServer*>> missed_;
};

inline CacheServer::CacheServer(World& world, std::string uid, double work)
    : world_(world), uid_(std::move(uid)), work_(work) {
  listener_.Serve([this](Socket& socket) { Serve(socket); });
}

inline void CacheServer::Serve(Socket& socket) {
  for (;;) {
    if (socket.empty() && !socket.Receive()) return;
    Arrival a;
    a.begun = Now();
    const auto line = socket.ReadTo("\r\n");
    if (!line) return;
    const std::vector<std::string> words = Words(*line);
    if (words.empty() || words[0] == "stats") {
      if (!socket.Write("ERROR\r\n")) return;
      continue;
    }
    if (words[0] == "mn") {
      if (!socket.Write("MN\r\n")) return;
      continue;
    }
    if (words.size() < 3 || (words[0] != "mg" && words[0] != "ms")) {
      socket.Write("CLIENT_ERROR\r\n");
      return;
    }
    a.key = words[1];
    a.id = Flag(words, 'O');
    a.labels = Flag(words, 'P');
    a.write = words[0] == "ms";
    if (a.write) {
      const auto value = socket.ReadExactly(std::stoul(words[2]) + 2);
      if (!value) return;
      a.value = value->substr(0, value->size() - 2);
    }
    a.arrived = Now();
    world_.record.Line("%s gets %s %s O%s P%s", uid_.c_str(), words[0].c_str(), a.key.c_str(), a.id.c_str(),
                       a.labels.c_str());
    std::string value;
    bool hit = false;
    {
      const std::lock_guard held(lock_);
      arrivals_.push_back(a);
      const auto it = store_.find(a.key);
      hit = !a.write && it != store_.end();
      if (hit) value = it->second;
    }
    if (!hit && !a.write) world_.Missed(a.id, this);
    Sleep(hit ? work_ : work_ / 10);
    const std::string answer =
        hit ? "VA " + std::to_string(value.size()) + " O" + a.id + " h1\r\n" + value + "\r\n"
            : "EN O" + a.id + " h0\r\n";
    if (!writer(socket, a, answer)) return;
  }
}

inline Origin::Origin(World& world, std::string uid, double work)
    : world_(world), uid_(std::move(uid)), work_(work) {
  listener_.Serve([this](Socket& socket) { Serve(socket); });
}

inline void Origin::Serve(Socket& socket) {
  for (;;) {
    if (socket.empty() && !socket.Receive()) return;
    Arrival a;
    a.begun = Now();
    const auto head = socket.ReadTo("\r\n\r\n");
    if (!head) return;
    const std::vector<std::string> words = Words(head->substr(0, head->find("\r\n")));
    if (words.size() < 3) return;
    if (words[1].starts_with("/-/")) {
      if (!socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) return;
      continue;
    }
    a.write = words[0] == "PUT";
    a.key = words[1].substr(1);
    a.id = Header(*head + "\r\n", "X-Txn");
    a.labels = Header(*head + "\r\n", "X-Labels");
    if (a.write) {
      const auto value = socket.ReadExactly(std::stoul(Header(*head + "\r\n", "Content-Length")));
      if (!value) return;
      a.value = *value;
    }
    a.arrived = Now();
    world_.record.Line("%s gets %s %s O%s P%s", uid_.c_str(), words[0].c_str(), a.key.c_str(), a.id.c_str(),
                       a.labels.c_str());
    Sleep(work_);
    const std::string body = a.write    ? "receipt-" + a.id
                             : value_of ? value_of(a.key)
                                        : World::ValueOf(a.key);
    if (a.write) {
      if (on_write) on_write(a);
      world_.DropCopies(a.key);
      world_.record.Line("%s runs %s O%s", uid_.c_str(), a.key.c_str(), a.id.c_str());
    } else {
      world_.StoreWhereMissed(a, body);
    }
    {
      const std::lock_guard held(lock_);
      arrivals_.push_back(a);
    }
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!writer(socket, a, answer)) return;
  }
}

// ---- Discovery ----

class Discovery {
 public:
  explicit Discovery(Record& record) : record_(record) {
    listener_.Serve([this](Socket& socket) { Serve(socket); });
  }
  std::string endpoint() const { return listener_.endpoint(); }

  void Set(const std::string& uid, const std::string& endpoint, const std::string& model,
           const std::string& state, const std::string& zone, long long boot_ms = 0) {
    const std::lock_guard held(lock_);
    ++rev_;
    targets_[uid] = {endpoint, model, state, zone, boot_ms, rev_};
    record_.Line("discovery: version %d, %s is %s", rev_, uid.c_str(), state.c_str());
    changed_.notify_all();
  }
  void SetState(const std::string& uid, const std::string& state) {
    Target t;
    {
      const std::lock_guard held(lock_);
      t = targets_.at(uid);
    }
    Set(uid, t.endpoint, t.model, state, t.zone, t.boot_ms);
  }
  // The whole list as JSON.
  std::string List() {
    const std::lock_guard held(lock_);
    return Json(-1);
  }

  // Each call waits this long for its turn.
  std::atomic<double> turn{0};
  // While positive, that many of the next watches fall silent: their connections stay open, and nothing
  // comes on them any more.
  std::atomic<int> silence{0};
  // When the last watch fell silent, and how long that watch had asked to wait. Negative: none has.
  std::atomic<double> silent_at{-1}, silent_wait{0};
  // When the last answer was written, and how long the last watch had asked to wait.
  std::atomic<double> answered_at{0}, last_wait{0};

 private:
  struct Target {
    std::string endpoint, model, state, zone;
    long long boot_ms = 0;
    int rev = 0;
  };
  std::string Json(int since) const {
    std::string out = "{\"rev\":" + std::to_string(rev_) + ",\"all\":" + (since < 0 ? "true" : "false") +
                      ",\"targets\":[";
    bool first = true;
    for (const auto& [uid, t] : targets_) {
      if (t.rev <= since || (since < 0 && t.state == "terminated")) continue;
      out += std::string(first ? "" : ",") + "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + t.endpoint +
             "\",\"az\":\"" + t.zone + "\",\"model\":\"" + t.model + "\",\"pod_group\":0,\"state\":\"" +
             t.state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(t.boot_ms) + "}";
      first = false;
    }
    return out + "]}";
  }
  void Serve(Socket& socket) {
    for (;;) {
      const auto head = socket.ReadTo("\r\n\r\n");
      if (!head) return;
      const std::string path = Words(*head)[1];
      const double asked = Now();
      int since = -1;
      double wait = 0;
      if (const auto at = path.find("since="); at != path.npos) since = std::atoi(path.c_str() + at + 6);
      if (const auto at = path.find("timeout_ms="); at != path.npos)
        wait = std::atoi(path.c_str() + at + 11) / 1000.0;
      record_.Line("discovery: call %s", path.c_str());
      if (wait > 0) last_wait = wait;
      int left = silence;
      if (wait > 0 && left > 0 && silence.compare_exchange_strong(left, left - 1)) {
        record_.Line("discovery: this watch falls silent");
        silent_wait = wait;
        silent_at = asked;
        while (socket.Receive()) {
        }
        record_.Line("discovery: the router ends the silent watch");
        return;
      }
      std::string body;
      {
        std::unique_lock held(lock_);
        while (since >= 0 && rev_ <= since && Now() < asked + wait) {
          changed_.wait_for(held, std::chrono::milliseconds(2));
        }
      }
      Sleep(turn);
      {
        const std::lock_guard held(lock_);
        body = Json(since);
      }
      if (!socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                        body)) {
        record_.Line("discovery: the call was given up by the router");
        return;
      }
      answered_at = Now();
      record_.Line("discovery: answers %s", body.substr(0, body.find(",\"targets")).c_str());
    }
  }

  Record& record_;
  Listener listener_;
  std::mutex lock_;
  std::condition_variable changed_;
  int rev_ = 40;
  std::map<std::string, Target> targets_;
};

// ---- The router ----

// A router process, started with the deploy file's `run` command from the project's root.
class Router {
 public:
  // `config`: the content of the configuration file; `folder`: where it is written, and $TMPDIR;
  // `name`: of the files; `environment`: further variables.
  Router(const std::string& root, const std::string& folder, const std::string& name,
         const std::string& config, const std::vector<std::string>& environment) {
    const char* run = std::getenv("REVIEW_RUN");
    if (run == nullptr || *run == '\0') CannotRun("REVIEW_RUN, the deploy file's run command, is not set");
    config_ = folder + "/" + name + ".json";
    log_ = folder + "/" + name + ".log";
    Write(config);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::setenv("PROXY_CONFIG", config_.c_str(), 1);
    ::setenv("TMPDIR", folder.c_str(), 1);
    for (const std::string& variable : environment) {
      const std::size_t at = variable.find('=');
      ::setenv(variable.substr(0, at).c_str(), variable.c_str() + at + 1, 1);
    }
    if (std::freopen(log_.c_str(), "w", stderr) == nullptr || ::chdir(root.c_str()) != 0) ::_exit(127);
    ::execl("/bin/sh", "sh", "-c", run, nullptr);
    ::_exit(127);
  }
  ~Router() { End(); }
  Router(const Router&) = delete;
  void Write(const std::string& config) const { std::ofstream(config_, std::ios::trunc) << config; }
  void Signal(int number) const { ::kill(pid_, number); }
  // Whether the process has ended.
  bool Ended() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
    return pid_ <= 0;
  }
  void End() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
  const std::string& log() const { return log_; }
  pid_t pid() const { return pid_; }
  // What the process holds, in KiB, as the platform sees it (VmRSS).
  long Memory() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmRSS:")) return std::atol(line.c_str() + 6);
    }
    return 0;
  }

 private:
  pid_t pid_ = -1;
  std::string config_, log_;
};

// Waits until the router answers `mn` with `MN`.
inline void AwaitReady(int port) {
  for (const double until = Now() + 15; Now() < until; Sleep(0.05)) {
    const auto socket = Connect(port);
    if (!socket || !socket->Write("mn\r\n")) continue;
    const auto line = socket->ReadTo("\r\n", Now() + 1);
    if (line && *line == "MN") return;
  }
  CannotRun("the router does not become ready");
}

// One call at the operators' door. Returns the status, or 0.
inline int OperatorCall(Record& record, int port, const std::string& method, const std::string& path) {
  const auto socket = Connect(port);
  int status = 0;
  if (socket && socket->Write(method + " " + path + " HTTP/1.1\r\nHost: operators\r\n\r\n")) {
    const auto head = socket->ReadTo("\r\n\r\n", Now() + 2);
    if (head && head->size() > 12) status = std::atoi(head->c_str() + 9);
  }
  record.Line("operator: %s %s: %d", method.c_str(), path.c_str(), status);
  return status;
}

// ---- Clients ----

inline std::string NewId() {
  static std::atomic<unsigned long long> next{0};
  char text[20];
  std::snprintf(text, sizeof text, "%06x%010llx", static_cast<unsigned>(::getpid()) & 0xffffff, ++next);
  return text;
}
inline std::string ReadCommand(const std::string& key, const std::string& id, const std::string& labels) {
  return "mg " + key + " v O" + id + " P" + labels + "\r\n";
}
inline std::string WriteCommand(const std::string& key, const std::string& id, const std::string& labels,
                                const std::string& value) {
  return "ms " + key + " " + std::to_string(value.size()) + " O" + id + " P" + labels + "\r\n" + value +
         "\r\n";
}
// Reads one answer: its first line, then "|" and the value if there is one. Empty: closed, or not whole
// by `until`.
inline std::string ReadAnswer(Socket& socket, double until) {
  const auto line = socket.ReadTo("\r\n", until);
  if (!line) return {};
  if (!line->starts_with("VA ")) return *line;
  const auto value = socket.ReadExactly(std::stoul(Words(*line)[1]) + 2, until);
  return value ? *line + "|" + value->substr(0, value->size() - 2) : std::string();
}

// What run.sh hands to a case.
struct Setup {
  std::string root, folder, record;
  bool trouble = true;
};
inline Setup ReadSetup(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 4) CannotRun("usage: CASE ROOT TEMPORARY-FOLDER RECORD-FILE");
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}
// Ends the case. `broken`: the rule was broken. The process ends without waiting for its threads.
[[noreturn]] inline void Finish(Record& record, bool broken, const std::string& verdict) {
  record.Line("%s: %s", broken ? "BROKEN" : "held", verdict.c_str());
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", verdict.c_str());
  std::fflush(stdout);
  std::_Exit(broken ? 1 : 0);
}

}  // namespace review

#endif  // REVIEW_COMMON_2_STAND_INS_H_
