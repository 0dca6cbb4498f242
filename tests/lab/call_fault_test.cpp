// The library that makes a router's socket calls fail: its errors are those of Linux.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <string>

#include "lab/preload/call_mode.h"
#include "lab/run/mapped_file.h"
#include "site.h"

using namespace brasswood::lab;

namespace {

// The library, loaded beside the test, which calls its functions by address.
class FaultyCalls {
 public:
  FaultyCalls() {
    ::setenv("BRASSWOOD_LAB_CALL_MODE", file_.c_str(), 1);
    library_ = ::dlopen(BRASSWOOD_LAB_CALLS, RTLD_NOW | RTLD_LOCAL);
    REQUIRE(library_ != nullptr);
  }
  void Fail(std::uint32_t per_mille) { mode_->per_mille = per_mille; }
  template <class Function>
  Function Get(const char* name) const {
    return reinterpret_cast<Function>(::dlsym(library_, name));
  }

 private:
  const Folder folder_;
  const std::string file_ = folder_.path + "/calls";
  CallMode* mode_ = MapShared<CallMode>(file_);
  void* library_ = nullptr;
};

sockaddr_in Loopback() {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

}  // namespace

// Guards against a list that discovery has written and that the laboratory takes away from its router: the
// kernel reports the end of a connection only once what had arrived is read.
TEST_CASE("a connection that times out by a fault still delivers what had arrived") {
  FaultyCalls calls;
  const auto connect = calls.Get<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const auto read = calls.Get<ssize_t (*)(int, const iovec*, int)>("readv");
  sockaddr_in at = Loopback();
  socklen_t size = sizeof at;
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&at), size) == 0);
  REQUIRE(::listen(listener, 1) == 0);
  REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) == 0);
  const std::string sent(40, 'x');
  for (int round = 0; round < 50; ++round) {
    INFO("round " << round);
    calls.Fail(0);
    const int router = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(connect(router, reinterpret_cast<sockaddr*>(&at), size) == 0);
    const int peer = ::accept(listener, nullptr, nullptr);
    REQUIRE(::send(peer, sent.data(), sent.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(sent.size()));
    char buffer[64];
    REQUIRE(::recv(router, buffer, sent.size(), MSG_PEEK | MSG_WAITALL) ==
            static_cast<ssize_t>(sent.size()));  // all of it has arrived
    REQUIRE(::fcntl(router, F_SETFL, O_NONBLOCK) == 0);
    calls.Fail(1000);
    std::size_t received = 0;
    while (true) {
      const iovec part{buffer, sizeof buffer};
      const ssize_t n = read(router, &part, 1);
      if (n < 0 && (errno == EINTR || errno == EAGAIN)) continue;
      if (n < 0) {
        CHECK(errno == ETIMEDOUT);
        break;
      }
      received += static_cast<std::size_t>(n);
    }
    CHECK(received == sent.size());
    ::close(peer);
    ::close(router);
  }
  ::close(listener);
}
