// beechledge_benchlink: runs the balancer instances of one process on the bench's line protocol, reading
// events from standard input and writing actions to standard output.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "link.h"

namespace {

bool WriteAll(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

int Run() {
  beechledge::benchlink::Link link;
  std::vector<char> buffer(1 << 20);
  std::string line, reply, notes;
  const auto feed = [&](std::string_view text) {
    link.Feed(text, reply, notes);
    if (!notes.empty()) {
      WriteAll(STDERR_FILENO, notes);
      notes.clear();
    }
    const bool ok = reply.empty() || WriteAll(STDOUT_FILENO, reply);
    reply.clear();
    return ok;
  };
  for (;;) {
    const ssize_t n = ::read(STDIN_FILENO, buffer.data(), buffer.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return 1;
    if (n == 0) break;
    std::string_view rest(buffer.data(), static_cast<std::size_t>(n));
    for (std::size_t end; (end = rest.find('\n')) != rest.npos; rest.remove_prefix(end + 1)) {
      bool ok = true;
      if (line.empty()) {
        ok = feed(rest.substr(0, end));
      } else {
        line.append(rest.substr(0, end));
        ok = feed(line);
        line.clear();
      }
      if (!ok) return 1;
    }
    line.append(rest);
  }
  if (!line.empty() && !feed(line)) return 1;
  return 0;
}

}  // namespace

int main() {
  try {
    return Run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 1;
  }
}
