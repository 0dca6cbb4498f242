// Large values of answers, which an AttemptPool streams to their clients as they arrive.
#include <algorithm>
#include <string>
#include <utility>

#include "net/attempt_pool.h"

namespace brasswood {

using beechledge::Result;

// Starts streaming a large value to the client instead of buffering it: otherwise a slow server that writes
// in small pieces would keep the client waiting for the whole value, and memory would hold all of it. Only
// the head is made contiguous here, not what follows it. Returns true if the answer is being streamed or
// has ended the attempt.
bool AttemptPool::TryStartStreaming(Connection& connection) {
  evbuffer* in = bufferevent_get_input(connection.buffer.get());
  const std::size_t have = evbuffer_get_length(in);
  const std::size_t head_size = std::min(have, limits_.max_http_head + limits_.max_line + 8);
  const std::string_view front(
      reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(head_size))), head_size);
  std::size_t used = 0, trailer = 0;
  AttemptResult head;
  std::optional<std::uint64_t> length;
  bool keep = true;
  const Parsed got = ParseHead(front, connection.operation, used, head, length, trailer, keep);
  if (got != Parsed::kDone || !length || *length <= limits_.max_value) return false;  // read it whole
  evbuffer_drain(in, used);
  loop_.deadlines().Cancel(connection.deadline);
  connection.streaming = true;
  connection.value_left = *length;
  connection.trailer = trailer;
  connection.keep = keep;
  connection.streamed_end = std::move(head);
  const AttemptId attempt = connection.operation.attempt;
  if (!engine_.StreamStarted(attempt, static_cast<std::size_t>(*length))) {
    if (busy_.contains(attempt)) CloseWithResult(connection, Result::kCancelled);
    return true;
  }
  if (busy_.contains(attempt)) StreamValue(connection);
  return true;
}

void AttemptPool::StreamValue(Connection& connection) {
  constexpr std::size_t kPiece = 64 * 1024;
  const AttemptId attempt = connection.operation.attempt;
  evbuffer* in = bufferevent_get_input(connection.buffer.get());
  std::string piece;
  while (connection.value_left > 0 && evbuffer_get_length(in) > 0) {
    const std::size_t room = engine_.StreamRoom(attempt);
    if (room == 0) return PauseForBackpressure(connection);
    const auto n = static_cast<std::size_t>(
        std::min<std::uint64_t>({connection.value_left, evbuffer_get_length(in), room, kPiece}));
    piece.resize(n);
    evbuffer_remove(in, piece.data(), n);
    connection.value_left -= n;
    engine_.StreamChunk(attempt, piece);
    if (!busy_.contains(attempt)) return;  // abandoned meanwhile, and its connection closed
  }
  if (connection.value_left > 0 || evbuffer_get_length(in) < connection.trailer) return;
  if (connection.trailer > 0) {
    const std::string_view end(
        reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(connection.trailer))),
        connection.trailer);
    if (end != std::string_view("\r\n").substr(0, connection.trailer))
      return CloseWithResult(connection, Result::kMalformed);
    evbuffer_drain(in, connection.trailer);
  }
  FinishStreaming(connection);
}

void AttemptPool::FinishStreaming(Connection& connection) {
  const AttemptId attempt = connection.operation.attempt;
  AttemptResult end = std::move(connection.streamed_end);
  end.result = Result::kOk;
  end.streamed = true;
  connection.streaming = false;
  Release(connection, connection.keep);
  engine_.AttemptEnded(attempt, std::move(end));
}

// Guards against a client that receives a value more slowly than the server sends it: while its client's
// answers have no room for more of the value, the server's connection is not read, so that TCP flow control
// holds the server back. The room is checked again every 5 ms.
void AttemptPool::PauseForBackpressure(Connection& connection) {
  bufferevent_disable(connection.buffer.get(), EV_READ);
  loop_.deadlines().Cancel(connection.deadline);
  connection.deadline =
      loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(5), [this, it = connection.self] {
        it->deadline = {};
        engine_.StreamChunk(it->operation.attempt, {});
        if (engine_.StreamRoom(it->operation.attempt) == 0) return PauseForBackpressure(*it);
        bufferevent_enable(it->buffer.get(), EV_READ);
        StreamValue(*it);
      });
}

}  // namespace brasswood
