// The little of HTTP/1.1 that the origin and discovery speak: requests out, answers in.
#ifndef BRASSWOOD_PROTOCOL_HTTP_H_
#define BRASSWOOD_PROTOCOL_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/limits.h"
#include "core/ends.h"
#include "protocol/parse.h"

namespace brasswood {

struct HttpAnswer {
  int status = 0;
  bool keep = true;          // the connection may be used again
  bool turned_away = false;  // X-Turned-Away: 1
  std::string pressure;      // X-Pressure
  std::string body;
};

// How the end of an answer's body is known.
enum class HttpBodyEnd { kAtHead, kLastChunk, kLength, kClose };

struct HttpHead {
  HttpBodyEnd body = HttpBodyEnd::kClose;
  std::uint64_t length = 0;  // of kLength
};

// Reads one answer as its bytes come, each of them once; interim answers before it are passed over. The end
// of its body is known as ParseHttpAnswer says.
class HttpAnswerReader {
 public:
  HttpAnswerReader(std::size_t most_body, const Limits& limits) : most_body_(most_body), limits_(limits) {}

  Parsed Feed(std::string_view bytes);
  // The sender has closed the connection in order.
  Parsed End();
  // The answer as far as it has come; of its status nothing is known before its head is whole (0).
  const HttpAnswer& answer() const { return answer_; }
  bool head_read() const { return state_ != State::kHead; }
  HttpAnswer TakeAnswer() { return std::move(answer_); }
  // Bytes that came behind the answer's end.
  std::size_t surplus() const { return surplus_; }

 private:
  enum class State {
    kHead,
    kBodyBegins,
    kLength,
    kClose,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailer,
    kDone,
    kBad
  };

  Parsed result() const;
  void TakeHead(std::string_view& bytes);
  void BeginBody();
  void TakeCounted(std::string_view& bytes);
  void TakeToClose(std::string_view& bytes);
  void TakeChunkLine(std::string_view& bytes);
  void BeginChunk(std::string_view size_line);

  std::size_t most_body_;
  const Limits& limits_;
  State state_ = State::kHead;
  HttpHead head_;
  HttpAnswer answer_;
  std::string line_;        // of the head or of a chunk, as far as it has come
  std::uint64_t left_ = 0;  // of the body or of a chunk
  std::size_t surplus_ = 0;
};

// One answer, interim ones before it passed over. Its body ends as RFC 9112, 6.3, has it: by its status, by
// its last chunk, at its Content-Length, or, where it states none of these, where the sender closes the
// connection in order (`end` is kClosed). Until then such an answer is kMore, and after it `keep` is false.
// kBad: not an answer, or a body of more than `most_body` bytes.
Parsed ParseHttpAnswer(std::string_view in, std::size_t most_body, const Limits& limits, InputEnd end,
                       std::size_t& used, HttpAnswer& answer);

// The head alone of an answer, interim ones passed over; `used` ends where its body begins. `length` has
// the body's Content-Length, if the body ends there; otherwise it is empty and ParseHttpAnswer finds the
// end.
Parsed ParseHttpHead(std::string_view in, const Limits& limits, std::size_t& used, HttpAnswer& answer,
                     std::optional<std::uint64_t>& length);

std::string WriteGet(std::string_view host, std::string_view path);

// An attempt as the origin takes it. `left`: how long the router will wait, which takes the place of `d`.
std::string WriteOriginAttempt(std::string_view host, const RequestContent& request, Duration left);

// What the origin's answer to an attempt, or to a probe, says of it.
AttemptEnd ReadOriginAnswer(HttpAnswer answer, const RequestContent& request);
AttemptEnd ReadOriginProbe(const HttpAnswer& answer);

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_HTTP_H_
