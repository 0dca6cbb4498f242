#include "admin/state_file.h"

#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace brasswood {

std::string StateDirectory() {
  const char* dir = std::getenv("TMPDIR");
  return dir == nullptr || *dir == '\0' ? std::string("/tmp") : std::string(dir);
}

StateFile::StateFile(const std::string& directory, const std::string& name)
    : path_(directory + "/brasswood-" + (name.empty() ? std::string("router") : name) + ".operator") {}

std::optional<OperatorState> StateFile::Read(std::string& why) const {
  why.clear();
  std::ifstream file(path_, std::ios::binary);
  if (!file) {
    if (errno != ENOENT) why = path_ + ": " + std::strerror(errno);
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  constexpr std::size_t kMost = 1 << 20;  // far above any real state: what is larger is not ours
  if (text.str().size() > kMost) {
    why = path_ + ": too large to be operator state";
    return std::nullopt;
  }
  auto state = Decode(text.str());
  if (!state) why = path_ + ": torn or of another layout";
  return state;
}

bool StateFile::Write(const OperatorState& state, std::string& why) const {
  const std::string side = path_ + "." + std::to_string(::getpid()) + ".new";
  {
    std::ofstream file(side, std::ios::binary | std::ios::trunc);
    file << Encode(state);
    file.close();  // a full disk may say so only here
    if (!file) {
      why = side + ": " + std::strerror(errno);
      std::remove(side.c_str());
      return false;
    }
  }
  if (std::rename(side.c_str(), path_.c_str()) != 0) {
    why = path_ + ": " + std::strerror(errno);
    std::remove(side.c_str());
    return false;
  }
  return true;
}

}  // namespace brasswood
