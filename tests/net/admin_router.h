// Helpers for tests of the program's admin interface.
#ifndef BRASSWOOD_TESTS_NET_ADMIN_ROUTER_H_
#define BRASSWOOD_TESTS_NET_ADMIN_ROUTER_H_

#include <string>
#include <utility>

#include "world.h"

namespace brasswood::testing {

inline std::string Call(const std::string& address, const std::string& text) {
  Fd fd = ConnectTo(address);
  fd.Write(text);
  std::string all;
  for (std::string part = fd.ReadUntil("\n"); !part.empty(); part = fd.ReadUntil("\n")) all += part;
  return all;
}
inline std::string Get(const std::string& address, const std::string& path) {
  return Call(address, "GET " + path + " HTTP/1.1\r\nHost: r\r\n\r\n");
}
inline std::string Post(const std::string& address, const std::string& path) {
  return Call(address, "POST " + path + " HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n");
}
inline int Status(const std::string& answer) {
  return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

// A router process with an admin interface, two cache servers, an origin and a discovery.
struct AdminRouter {
  Listener discovery, origin, nodes[2];
  std::string directory;  // its $TMPDIR
  Process process;
  explicit AdminRouter(std::string state_directory = {}) : directory(std::move(state_directory)) {
    if (directory.empty()) {
      char path[] = "/tmp/brasswood-door-XXXXXX";
      REQUIRE(::mkdtemp(path) != nullptr);
      directory = path;
    }
    process = StartProcess();
  }
  // Starts another process of the same router: same name and $TMPDIR, ports of its own.
  Process StartProcess() const {
    std::string config = Router::Config(
        discovery.address(), ServerEntryJson("s0", nodes[0].address(), "in_service") + "," +
                                 ServerEntryJson("s1", nodes[1].address(), "in_service") + "," +
                                 ServerEntryJson("o1", origin.address(), "in_service", 0, "origin"));
    config.insert(1, R"("admin_addr":"127.0.0.1:0",)");
    return Start(config, discovery.address(), {"TMPDIR=" + directory});
  }
  Fd Connect(const Process& p) const { return ConnectTo(p.listen); }
};

}  // namespace brasswood::testing

#endif  // BRASSWOOD_TESTS_NET_ADMIN_ROUTER_H_
