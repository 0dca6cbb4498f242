#include "base/invariants.h"

#include "base/log.h"

namespace brasswood {

void Invariants::RecordViolation(Invariant invariant, std::string_view id) {
  ++counts_[static_cast<std::size_t>(invariant)];
  if (++total_ > kMaxLoggedViolations) return;
  LogLine(Level::kError) << "invariant violated: " << kInvariantNames[static_cast<std::size_t>(invariant)]
                         << ' ' << id;
}

std::ostream& operator<<(std::ostream& out, const Invariants& invariants) {
  out << " violations=" << invariants.violations();
  for (std::size_t i = 0; i < kInvariantNames.size(); ++i) {
    const std::uint64_t count = invariants.violations(static_cast<Invariant>(i));
    if (count > 0) out << " violated_" << kInvariantNames[i] << '=' << count;
  }
  return out;
}

}  // namespace brasswood
