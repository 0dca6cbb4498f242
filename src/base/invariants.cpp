#include "base/invariants.h"

#include "base/log.h"

namespace brasswood {

void Invariants::Violated(Invariant what, std::string_view id) {
  ++counts_[static_cast<std::size_t>(what)];
  if (++all_ > kMostLines) return;
  LogLine(Level::kError) << "invariant violated: " << kInvariantNames[static_cast<std::size_t>(what)] << ' '
                         << id;
}

std::ostream& operator<<(std::ostream& out, const Invariants& invariants) {
  out << " violations=" << invariants.violations();
  for (std::size_t i = 0; i < kInvariantNames.size(); ++i) {
    const std::uint64_t n = invariants.violations(static_cast<Invariant>(i));
    if (n > 0) out << " violated_" << kInvariantNames[i] << '=' << n;
  }
  return out;
}

}  // namespace brasswood
