#include "core/answer_memory.h"

#include <algorithm>

#include "base/log.h"

namespace brasswood {

std::size_t AnswerMemory::SharedBytes(const AnswerBytes& bytes) const {
  const std::size_t allowance = limits_.AnswerSize();
  return bytes.reserved + bytes.held + (bytes.unsent > allowance ? bytes.unsent - allowance : 0);
}

void AnswerMemory::Replace(const AnswerBytes& before, const AnswerBytes& after) {
  bytes_.reserved = bytes_.reserved - before.reserved + after.reserved;
  bytes_.held = bytes_.held - before.held + after.held;
  bytes_.unsent = bytes_.unsent - before.unsent + after.unsent;
  shared_ = shared_ - SharedBytes(before) + SharedBytes(after);
  highest_ = std::max(highest_, bytes_.held + bytes_.unsent);
  if (highest_ < logged_) return;
  LogLine(Level::kInfo) << "highest so far: " << *this;
  logged_ = 2 * highest_;
}

std::ostream& operator<<(std::ostream& out, const AnswerMemory& memory) {
  const AnswerBytes& bytes = memory.bytes();
  return out << "answer bytes: reserved=" << bytes.reserved << " held=" << bytes.held
             << " unsent=" << bytes.unsent << " shared=" << memory.shared()
             << " highest=" << memory.highest();
}

}  // namespace brasswood
