#include "core/answer_memory.h"

#include <algorithm>

#include "base/log.h"

namespace brasswood {
namespace {

std::size_t Difference(std::size_t a, std::size_t b) { return a > b ? a - b : 0; }

}  // namespace

std::size_t AnswerMemory::Free() const { return Difference(limits_.max_answer_memory, shared_); }

std::size_t AnswerMemory::SharedBytes(const AnswerBytes& bytes) const {
  return bytes.reserved + bytes.held + Difference(bytes.unsent, limits_.AnswerSize());
}

void AnswerMemory::Replace(const AnswerBytes& before, const AnswerBytes& after) {
  bytes_.reserved = bytes_.reserved - before.reserved + after.reserved;
  bytes_.held = bytes_.held - before.held + after.held;
  bytes_.unsent = bytes_.unsent - before.unsent + after.unsent;
  const std::size_t shared_before = shared_;
  shared_ = shared_ - SharedBytes(before) + SharedBytes(after);
  highest_ = std::max(highest_, bytes_.held + bytes_.unsent);
  const std::size_t low_watermark = limits_.max_answer_memory / 8 * 7;
  if (shared_ < shared_before && shared_ <= low_watermark && HasRoom() && on_room_) on_room_();
  if (highest_ < logged_) return;
  LogLine(Level::kInfo) << "highest so far: " << *this;
  logged_ = 2 * highest_;
}

std::size_t AnswerAccount::StreamRoom(bool is_next) const {
  // Less room than this counts as none, so that a value is not passed on in tiny pieces.
  constexpr std::size_t kMinPiece = 16 * 1024;
  const Limits& limits = memory_.limits_;
  const std::size_t allowance = is_next ? Difference(limits.AnswerSize(), bytes_.unsent) : 0;
  const std::size_t in_window = Difference(limits.stream_window, is_next ? bytes_.unsent : bytes_.held);
  const std::size_t room = allowance + std::min(memory_.Free(), Difference(in_window, allowance));
  return room < std::min(kMinPiece, limits.AnswerSize()) ? 0 : room;
}

std::ostream& operator<<(std::ostream& out, const AnswerMemory& memory) {
  const AnswerBytes& bytes = memory.bytes();
  return out << "answer bytes: reserved=" << bytes.reserved << " held=" << bytes.held
             << " unsent=" << bytes.unsent << " shared=" << memory.shared()
             << " highest=" << memory.highest();
}

}  // namespace brasswood
