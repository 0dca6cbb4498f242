#include "core/answer_memory.h"

#include <algorithm>

#include "base/log.h"

namespace brasswood {
namespace {

// Connections that wait for room go on once this part of the shared memory is free, so that they do not go
// on and pause again for each answer.
constexpr std::size_t kResumeAtFreePart = 8;
// Less room than this, in bytes, counts as none, so that a value is not streamed in tiny pieces.
constexpr std::size_t kMinStreamPiece = 16 * 1024;

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
  const bool below_watermark = Free() >= limits_.max_answer_memory / kResumeAtFreePart;
  if (shared_ < shared_before && below_watermark && HasRoom() && on_room_) on_room_();
  if (highest_ < logged_) return;
  LogLine(Level::kInfo) << "highest so far: " << *this;
  logged_ = 2 * highest_;
}

bool AnswerAccount::TryReserve(std::size_t bytes, bool is_next) {
  StopAwaiting();
  const std::size_t kept_free = is_next ? 0 : memory_.limits_.max_answer_memory / 2;
  if (memory_.Free() >= bytes + kept_free) {
    Reserve(bytes);
    return true;
  }
  if (is_next) {
    awaited_ = bytes;
    memory_.awaited_ += bytes;
  }
  return false;
}

std::size_t AnswerAccount::StreamRoom(bool is_next) const {
  const Limits& limits = memory_.limits_;
  const std::size_t allowance = is_next ? Difference(limits.AnswerSize(), bytes_.unsent) : 0;
  const std::size_t in_window = Difference(limits.stream_window, is_next ? bytes_.unsent : bytes_.held);
  const std::size_t room = allowance + std::min(memory_.Free(), Difference(in_window, allowance));
  return room < std::min(kMinStreamPiece, limits.AnswerSize()) ? 0 : room;
}

std::ostream& operator<<(std::ostream& out, const AnswerMemory& memory) {
  const AnswerBytes& bytes = memory.bytes();
  return out << "answer bytes: reserved=" << bytes.reserved << " held=" << bytes.held
             << " unsent=" << bytes.unsent << " shared=" << memory.shared()
             << " highest=" << memory.highest();
}

}  // namespace brasswood
