#include "admin/operator_state_file.h"

#include <cstdlib>

#include "state/atomic_file.h"

namespace brasswood {

std::string StateDirectory() {
  const char* directory = std::getenv("TMPDIR");
  return directory == nullptr || *directory == '\0' ? std::string("/tmp") : std::string(directory);
}

OperatorStateFile::OperatorStateFile(const std::string& directory, const std::string& name)
    : path_(directory + "/brasswood-" + (name.empty() ? std::string("router") : name) + ".operator") {}

std::optional<OperatorState> OperatorStateFile::Read(std::string& error) const {
  constexpr std::size_t kMaxBytes = 1 << 20;  // far above any real state; a larger file is not ours
  const auto text = ReadFile(path_, kMaxBytes, error);
  if (!text) return std::nullopt;
  auto state = Decode(*text);
  if (!state) error = path_ + ": torn or of another layout";
  return state;
}

bool OperatorStateFile::Write(const OperatorState& state, std::string& error) const {
  return WriteFileAtomically(path_, Encode(state), error);
}

}  // namespace brasswood
