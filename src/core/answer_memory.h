// The memory of answers on their way to clients, accounted in bytes. Free of I/O; used by front ends.
//
// Every connection has a private allowance of one whole answer (Limits::AnswerSize), which only the answer
// that is next in its order may use. Whatever exceeds it is drawn from a memory that all connections share
// (Limits::max_answer_memory): answers that wait for an earlier one, reservations for requests that were
// begun behind another, and unsent bytes beyond the allowance. A front end begins a request behind another
// only if a whole answer fits into the shared memory, so that
//  - answers never hold more than the shared memory plus one allowance for each connection, and
//  - the shared memory always drains: each of its bytes belongs to a connection whose next answer needs
//    none of it, or has all that it needs, or gives up waiting for it at its request's deadline.
// The second and third apply to a large value that is buffered whole (TryReserve), because commands are
// behind it.
#ifndef BRASSWOOD_CORE_ANSWER_MEMORY_H_
#define BRASSWOOD_CORE_ANSWER_MEMORY_H_

#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

#include "config/limits.h"

namespace brasswood {

// Bytes of answers, by state.
struct AnswerBytes {
  std::size_t reserved = 0;  // for answers of requests that were begun behind another and are not answered
  std::size_t held = 0;      // answers, or parts of them, that wait for an earlier one of their connection
  std::size_t unsent = 0;    // next in the order of their connection, but not yet accepted by the kernel
};

// The account of a whole process. Must outlive the accounts of its connections.
class AnswerMemory {
 public:
  explicit AnswerMemory(const Limits& limits) : limits_(limits) {}
  AnswerMemory(const AnswerMemory&) = delete;
  AnswerMemory& operator=(const AnswerMemory&) = delete;

  const AnswerBytes& bytes() const { return bytes_; }
  std::size_t shared() const { return shared_; }  // bytes in use of the shared memory
  // What is left of the shared memory, in bytes.
  std::size_t Free() const;
  // Whether another request may be begun behind an unanswered one. Values that wait to be buffered come
  // first.
  bool HasRoom() const { return Free() >= limits_.AnswerSize() + awaited_; }
  // `call` is called whenever bytes were returned and the shared memory is below its low watermark. It must
  // not change an account.
  void OnRoom(std::function<void()> call) { on_room_ = std::move(call); }
  // The highest number of bytes that answers have held and left unsent at a time.
  std::size_t highest() const { return highest_; }

 private:
  friend class AnswerAccount;
  void Replace(const AnswerBytes& before, const AnswerBytes& after);
  std::size_t SharedBytes(const AnswerBytes& bytes) const;

  const Limits& limits_;
  std::function<void()> on_room_;
  AnswerBytes bytes_;
  std::size_t shared_ = 0;
  std::size_t awaited_ = 0;  // bytes that TryReserve was asked for and had no room for
  std::size_t highest_ = 0;
  std::size_t logged_ = 1 << 20;  // the next value of highest_ that is logged
};

// Writes the bytes by state, as NAME=BYTES.
std::ostream& operator<<(std::ostream& out, const AnswerMemory& memory);

// The account of one connection. Returns everything when it is destroyed.
class AnswerAccount {
 public:
  explicit AnswerAccount(AnswerMemory& memory) : memory_(memory) {}
  AnswerAccount(const AnswerAccount&) = delete;
  AnswerAccount& operator=(const AnswerAccount&) = delete;
  ~AnswerAccount() {
    StopAwaiting();
    Set({});
  }

  const AnswerBytes& bytes() const { return bytes_; }
  // Reserves memory for the answer of a request that is begun behind another one, until it is released.
  void Reserve(std::size_t bytes) { Set({bytes_.reserved + bytes, bytes_.held, bytes_.unsent}); }
  void Release(std::size_t bytes) { Set({bytes_.reserved - bytes, bytes_.held, bytes_.unsent}); }
  // Reserves memory for a value that is buffered whole, all of it or nothing. `is_next`: whether its answer
  // is next in the order of the connection. If there is no room, such a value goes before requests that are
  // not begun yet; any other one leaves half of the memory to the answers before it.
  bool TryReserve(std::size_t bytes, bool is_next);
  // The value that TryReserve had no room for is not needed any more.
  void StopAwaiting() { memory_.awaited_ -= std::exchange(awaited_, 0); }
  void AddHeld(std::size_t bytes) { Set({bytes_.reserved, bytes_.held + bytes, bytes_.unsent}); }
  void RemoveHeld(std::size_t bytes) { Set({bytes_.reserved, bytes_.held - bytes, bytes_.unsent}); }
  void SetUnsent(std::size_t bytes) { Set({bytes_.reserved, bytes_.held, bytes}); }
  // How many bytes of a value that is streamed may be added now; 0: it pauses at its source. `is_next`:
  // whether its answer is next in the order of the connection. Then it has room as soon as its client
  // reads, whatever the others hold.
  std::size_t StreamRoom(bool is_next) const;
  // No answer is due any more; what is unsent stays.
  void DropPending() {
    StopAwaiting();
    Set({0, 0, bytes_.unsent});
  }

 private:
  void Set(const AnswerBytes& bytes) {
    memory_.Replace(bytes_, bytes);
    bytes_ = bytes;
  }

  AnswerMemory& memory_;
  AnswerBytes bytes_;
  std::size_t awaited_ = 0;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_ANSWER_MEMORY_H_
