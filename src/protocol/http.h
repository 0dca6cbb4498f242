// The part of HTTP/1.1 that the router uses as a client of the origin and of discovery: formats requests
// and parses answers.
#ifndef BRASSWOOD_PROTOCOL_HTTP_H_
#define BRASSWOOD_PROTOCOL_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/limits.h"
#include "core/interfaces.h"
#include "protocol/parse.h"

namespace brasswood {

struct HttpAnswer {
  int status = 0;
  bool keep_alive = true;    // the connection may be reused
  bool turned_away = false;  // X-Turned-Away: 1
  std::string pressure;      // X-Pressure
  std::string body;
};

// How the end of an answer's body is determined: there is no body, by the last chunk, by Content-Length, or
// by the close of the connection.
enum class HttpBodyEnd { kNoBody, kLastChunk, kLength, kClose };

struct HttpHead {
  HttpBodyEnd body = HttpBodyEnd::kClose;
  std::uint64_t length = 0;  // of kLength
};

// Reads one answer as its bytes arrive, each byte once; interim answers before it are skipped. The end of
// its body is determined as for ParseHttpAnswer.
class HttpAnswerReader {
 public:
  HttpAnswerReader(std::size_t max_body, const Limits& limits) : max_body_(max_body), limits_(limits) {}

  Parsed Feed(std::string_view bytes);
  // To be called when the sender has closed the connection in an orderly way.
  Parsed End();
  // The answer as far as it has arrived; its status is 0 until the head is complete.
  const HttpAnswer& answer() const { return answer_; }
  bool head_read() const { return state_ != State::kHead; }
  HttpAnswer TakeAnswer() { return std::move(answer_); }
  // The number of bytes received after the end of the answer.
  std::size_t surplus() const { return surplus_; }

 private:
  enum class State {
    kHead,
    kBodyStart,
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
  void ReadHead(std::string_view& bytes);
  void StartBody();
  void ReadCounted(std::string_view& bytes);
  void ReadToClose(std::string_view& bytes);
  void ReadChunkLine(std::string_view& bytes);
  bool FramingExceeded() const;
  void StartChunk(std::string_view size_line);

  std::size_t max_body_;
  const Limits& limits_;
  State state_ = State::kHead;
  HttpHead head_;
  HttpAnswer answer_;
  std::string line_;             // the head, or a line of the chunked coding, as far as it has arrived
  std::uint64_t body_left_ = 0;  // bytes of the body or of the chunk still to be received
  std::size_t framing_ = 0;      // bytes of the chunked coding that are not part of the body
  std::size_t surplus_ = 0;
};

// Parses one answer; interim answers before it are skipped. The end of its body is determined by RFC 9112,
// 6.3: by its status, by its last chunk, by its Content-Length, or otherwise by an orderly close of the
// connection (`end` is kClosed). Until that close such an answer is kMore, and after it `keep_alive` is
// false. kBad: not an answer, or a body of more than `max_body` bytes.
Parsed ParseHttpAnswer(std::string_view in, std::size_t max_body, const Limits& limits, InputEnd end,
                       std::size_t& used, HttpAnswer& answer);

// Parses only the head of an answer; interim answers are skipped, and `used` ends where its body begins.
// `length` is the Content-Length if that determines the end of the body; otherwise it is empty, and
// ParseHttpAnswer finds the end.
Parsed ParseHttpHead(std::string_view in, const Limits& limits, std::size_t& used, HttpAnswer& answer,
                     std::optional<std::uint64_t>& length);

// Formats a GET request.
std::string WriteGet(std::string_view host, std::string_view path);

// Formats an attempt for the origin. `left`: how long the router will wait, which replaces the label `d`.
std::string WriteOriginAttempt(std::string_view host, const RequestContent& request, Duration left);

// The outcome of an attempt, or of a probe, by the origin's answer to it.
AttemptResult ReadOriginAnswer(HttpAnswer answer, const RequestContent& request);
AttemptResult ReadOriginProbe(const HttpAnswer& answer);

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_HTTP_H_
