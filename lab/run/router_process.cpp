#include "lab/run/router_process.h"

#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "lab/base/rng.h"
#include "lab/run/mapped_file.h"
#include "lab/run/router_config.h"
#include "protocol/address.h"
#include "state/atomic_file.h"
#include "state/snapshot.h"

namespace brasswood::lab {
namespace {

// Binds a socket to a free port without listening and keeps it open, which reserves the port for this
// router while the laboratory runs. Guards against two laboratories on one machine whose routers share a
// port and accept each other's clients.
int ReservePort(const std::string& host, std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = *ParseAddress(host + ":0");
  socklen_t size = sizeof at;
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&at), size) != 0) {
    throw std::runtime_error("cannot reserve a port for a router: " + std::string(std::strerror(errno)));
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  address = host + ":" + std::to_string(ntohs(at.sin_port));
  return fd;
}

bool HasFault(const Scenario& scenario, std::initializer_list<FaultKind> kinds) {
  return std::any_of(scenario.faults.begin(), scenario.faults.end(), [&](const FaultPlan& f) {
    return std::find(kinds.begin(), kinds.end(), f.kind) != kinds.end();
  });
}

}  // namespace

RouterProcess::RouterProcess(const Scenario& scenario, int number, std::vector<std::string> command,
                             std::string folder)
    : scenario_(scenario), number_(number), command_(std::move(command)), folder_(std::move(folder)) {
  reserved_ = ReservePort(
      "127.0." + std::to_string(3 + number / 250) + "." + std::to_string(1 + number % 250), listen_);
  ::unlink(log().c_str());
  if (HasFault(scenario, {FaultKind::kCalls, FaultKind::kClock})) {
    call_mode_ = MapShared<CallMode>(log() + ".calls");
  }
  if (!scenario.routers.state) return;
  std::filesystem::remove_all(state_folder());
  std::filesystem::create_directories(state_folder());
  const auto every =
      std::chrono::duration_cast<std::chrono::milliseconds>(scenario.routers.state_every).count();
  std::ofstream(state_folder() + ".json", std::ios::trunc)
      << R"({"state":{"folder":")" << std::filesystem::absolute(state_folder()).string()
      << R"(","every_ms":)" << every << "}}";
  disk_mode_ = MapShared<int>(state_folder() + ".disk");
}

void RouterProcess::SetDiskMode(DiskMode mode) {
  if (disk_mode_ != nullptr) std::atomic_ref<int>(*disk_mode_).store(static_cast<int>(mode));
}

void RouterProcess::SetCallFailures(std::uint32_t per_mille) {
  if (call_mode_ != nullptr) call_mode_->per_mille = per_mille;
}
void RouterProcess::SetClockOffset(Duration offset) {
  if (call_mode_ != nullptr) call_mode_->wall_step_ns = offset.count();
}

void RouterProcess::SaveStateForLater() {
  std::error_code ignored;  // there may be no state file yet
  std::filesystem::copy_file(state_file(), state_file() + ".aside",
                             std::filesystem::copy_options::overwrite_existing, ignored);
}

void RouterProcess::PrepareState(KeptAs kept, const std::string& other_state_file) {
  if (!scenario_.routers.state || kept == KeptAs::kKept) return;
  std::string why;
  const auto file = ReadFile(state_file(), kMaxSnapshotBytes, why);
  const auto saved = ReadFile(state_file() + ".aside", kMaxSnapshotBytes, why);
  const auto other = ReadFile(other_state_file, kMaxSnapshotBytes, why);
  const std::string text = file.value_or("");
  std::filesystem::remove(state_file() + ".1");
  std::filesystem::remove(state_file());
  Rng rng = MakeRng(Mix(scenario_.seed * 151 + static_cast<std::uint64_t>(number_)), Stream::kFaults);
  std::string content;
  switch (kept) {
    case KeptAs::kKept:
    case KeptAs::kNone:
      return;
    case KeptAs::kTorn:
      content = text.substr(0, text.empty() ? 0 : rng(static_cast<std::uint32_t>(text.size())));
      break;
    case KeptAs::kNewer:
      content = text;
      if (const std::size_t at = content.find(" 1 "); at != content.npos) content.replace(at, 3, " 999 ");
      break;
    case KeptAs::kFuture: {
      auto snapshot = DecodeSnapshot(text, why);
      if (!snapshot) return;
      snapshot->taken_at += std::chrono::hours(1);
      content = EncodeSnapshot(*snapshot);
      break;
    }
    case KeptAs::kOthers:
      content = other.value_or("");
      break;
    case KeptAs::kOld:
      content = saved.value_or("");
      break;
  }
  std::ofstream(state_file(), std::ios::trunc | std::ios::binary) << content;
}

RouterProcess::~RouterProcess() {
  Kill();
  if (disk_mode_ != nullptr) ::munmap(disk_mode_, sizeof(int));
  if (call_mode_ != nullptr) ::munmap(call_mode_, sizeof(CallMode));
  ::close(reserved_);
}

void RouterProcess::Start(const std::string& discovery, const std::string& known) {
  const std::string path = WriteConfiguration(discovery, known);
  known_ = known;
  ++starts_;
  std::vector<char*> argv;
  for (std::string& word : command_) argv.push_back(word.data());
  argv.push_back(nullptr);
  std::vector<std::string> environment;
  for (char** e = environ; *e != nullptr; ++e) {
    if (std::strncmp(*e, "PROXY_", 6) != 0) environment.emplace_back(*e);
  }
  environment.push_back("PROXY_CONFIG=" + path);
  if (scenario_.routers.state) environment.push_back("BRASSWOOD_STATE=" + state_folder() + ".json");
  std::string preload;
  if (HasFault(scenario_, {FaultKind::kDisk})) {
    preload = BRASSWOOD_LAB_DISK;
    environment.push_back("BRASSWOOD_LAB_DISK_FOLDER=" +
                          std::filesystem::absolute(state_folder()).string());
    environment.push_back("BRASSWOOD_LAB_DISK_MODE=" + state_folder() + ".disk");
  }
  if (call_mode_ != nullptr) {
    preload += (preload.empty() ? "" : ":") + std::string(BRASSWOOD_LAB_CALLS);
    environment.push_back("BRASSWOOD_LAB_CALL_MODE=" + log() + ".calls");
    const auto drawn = Mix(scenario_.seed * 157 + static_cast<std::uint64_t>(number_ * 64 + starts_));
    environment.push_back("BRASSWOOD_LAB_CALL_SEED=" + std::to_string(drawn));
  }
  if (!preload.empty()) {
    environment.push_back("LD_PRELOAD=" + preload);
    // The address sanitizer requires that it is the first library; with a preload it is the second.
    const char* options = std::getenv("ASAN_OPTIONS");
    environment.push_back("ASAN_OPTIONS=" + (options == nullptr ? "" : std::string(options) + ":") +
                          "verify_asan_link_order=0");
  }
  std::vector<char*> env;
  for (std::string& e : environment) env.push_back(e.data());
  env.push_back(nullptr);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, 2, log().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&file_actions, 2, 1);
  // In its own process group: an interrupt at the terminal must reach only the laboratory, which then stops
  // its routers itself.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
  const int error = ::posix_spawnp(&pid_, argv[0], &file_actions, &attributes, argv.data(), env.data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&file_actions);
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error("cannot start " + command_[0] + ": " + std::strerror(error));
  }
}

bool RouterProcess::Ready(Duration timeout) const {
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < until) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = *ParseAddress(listen_);
    char answer[4] = {};
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
        ::send(fd, "mn\r\n", 4, MSG_NOSIGNAL) == 4) {
      pollfd p{fd, POLLIN, 0};
      if (::poll(&p, 1, 500) == 1) (void)!::recv(fd, answer, sizeof answer, 0);
    }
    ::close(fd);
    if (std::memcmp(answer, "MN\r\n", 4) == 0) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

std::optional<int> RouterProcess::Reap(int flags) {
  if (pid_ <= 0) return std::nullopt;
  int status = 0;
  rusage usage{};
  if (::wait4(pid_, &status, flags, &usage) != pid_) return std::nullopt;
  pid_ = -1;
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  cpu_s_ += seconds(usage.ru_utime) + seconds(usage.ru_stime);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void RouterProcess::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  Reap(0);
}

void RouterProcess::Pause() {
  if (pid_ > 0) ::kill(pid_, SIGSTOP);
}

void RouterProcess::Resume() {
  if (pid_ > 0) ::kill(pid_, SIGCONT);
}

// Replaces the file atomically: the router may be reading the previous one.
std::string RouterProcess::WriteConfiguration(const std::string& discovery,
                                              const std::string& known) const {
  const std::string path = folder_ + "/router-" + std::to_string(number_) + ".json";
  const auto process = static_cast<std::uint64_t>(number_ * 64 + starts_);
  std::ofstream(path + ".new", std::ios::trunc)
      << FormatRouterConfig(scenario_, {number_, process, listen_, discovery, known});
  std::filesystem::rename(path + ".new", path);
  return path;
}

void RouterProcess::Reload(const std::string& discovery) {
  if (pid_ <= 0) return;
  WriteConfiguration(discovery, known_);
  ::kill(pid_, SIGHUP);
}

void RouterProcess::Terminate() {
  if (pid_ > 0) ::kill(pid_, SIGTERM);
}

std::optional<int> RouterProcess::PollExitCode() { return Reap(WNOHANG); }

std::optional<int> RouterProcess::Wait(Duration timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (pid_ > 0) {
    if (const auto code = Reap(WNOHANG)) return code;
    if (std::chrono::steady_clock::now() >= until) return std::nullopt;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return std::nullopt;
}

std::optional<Usage> RouterProcess::SampleUsage() const {
  if (pid_ <= 0) return std::nullopt;
  const std::string proc = "/proc/" + std::to_string(pid_);
  std::ifstream in(proc + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  const std::size_t close = text.rfind(')');
  if (close == text.npos) return std::nullopt;
  std::istringstream fields(text.substr(close + 2));
  std::vector<std::string> f;
  for (std::string word; fields >> word;) f.push_back(word);
  if (f.size() < 22) return std::nullopt;  // f starts at field 3 (state) of proc(5)
  Usage u;
  u.cpu_s = (std::stod(f[11]) + std::stod(f[12])) / static_cast<double>(::sysconf(_SC_CLK_TCK)) + cpu_s_;
  u.memory_mb = std::stod(f[21]) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
  if (DIR* dir = ::opendir((proc + "/fd").c_str())) {
    while (::readdir(dir) != nullptr) ++u.descriptors;
    ::closedir(dir);
    u.descriptors -= 2;
  }
  return u;
}

}  // namespace brasswood::lab
