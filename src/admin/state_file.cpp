#include "admin/state_file.h"

#include <cstdlib>

#include "state/whole_file.h"

namespace brasswood {

std::string StateDirectory() {
  const char* dir = std::getenv("TMPDIR");
  return dir == nullptr || *dir == '\0' ? std::string("/tmp") : std::string(dir);
}

StateFile::StateFile(const std::string& directory, const std::string& name)
    : path_(directory + "/brasswood-" + (name.empty() ? std::string("router") : name) + ".operator") {}

std::optional<OperatorState> StateFile::Read(std::string& why) const {
  constexpr std::size_t kMost = 1 << 20;  // far above any real state: what is larger is not ours
  const auto text = ReadWhole(path_, kMost, why);
  if (!text) return std::nullopt;
  auto state = Decode(*text);
  if (!state) why = path_ + ": torn or of another layout";
  return state;
}

bool StateFile::Write(const OperatorState& state, std::string& why) const {
  return WriteWhole(path_, Encode(state), why);
}

}  // namespace brasswood
