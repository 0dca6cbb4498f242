#include "admin/operator_state.h"

namespace brasswood {
namespace {

constexpr std::string_view kHeader = "brasswood operator state 1";
constexpr std::string_view kSuspended = "suspended ";
constexpr std::string_view kEnd = "end";

}  // namespace

std::string Encode(const OperatorState& state) {
  std::string out(kHeader);
  out += '\n';
  for (const std::string& uid : state.suspended) out.append(kSuspended).append(uid).append("\n");
  // Guards against a file that a crash cut short while it was being written: without this line it is
  // invalid.
  out.append(kEnd).append("\n");
  return out;
}

std::optional<OperatorState> Decode(std::string_view text) {
  OperatorState state;
  bool first_line = true, ended = false;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == text.npos) return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (ended) return std::nullopt;
    if (first_line) {
      if (line != kHeader) return std::nullopt;
      first_line = false;
    } else if (line == kEnd) {
      ended = true;
    } else if (line.starts_with(kSuspended) && line.size() > kSuspended.size()) {
      const std::string_view uid = line.substr(kSuspended.size());
      for (const char c : uid) {
        if (c <= ' ' || c >= 0x7f) return std::nullopt;
      }
      state.suspended.emplace(uid);
    } else {
      return std::nullopt;
    }
  }
  if (!ended) return std::nullopt;
  return state;
}

}  // namespace brasswood
