#include "protocol/http.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

#include "protocol/labels.h"
#include "protocol/meta.h"

namespace brasswood {
namespace {

using beechledge::Result;

// The maximum size in bytes of a chunk's size line with its extensions, or of a trailer line.
constexpr std::size_t kMaxChunkLine = 4096;
// The maximum number of bytes of the chunked coding for each byte of the body, beside one head's size for
// trailers and extensions. A chunk of one byte takes 5, and more with a padded size or an extension.
constexpr std::size_t kMaxFramingPerByte = 8;

// The path for a key, with the bytes that a path cannot contain percent-encoded.
std::string KeyPath(std::string_view key) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string path = "/";
  for (const char ch : key) {
    const auto c = static_cast<unsigned char>(ch);
    if (std::isalnum(c) || std::string_view("-._~:@!$&'()*+,;=").find(ch) != std::string_view::npos) {
      path += ch;
    } else {
      path += '%';
      path += kHex[c >> 4];
      path += kHex[c & 15];
    }
  }
  return path;
}

// Calls `each(member)` for each member of a comma-separated field value.
template <class F>
void EachMember(std::string_view value, F each) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    each(Trim(value.substr(0, comma)));
    value.remove_prefix(comma == value.npos ? value.size() : comma + 1);
  }
}

// Evaluates the header fields of an answer, and how the end of its body is determined.
class HeaderFields {
 public:
  explicit HeaderFields(HttpAnswer& answer) : answer_(answer) {}

  // False: the field makes the answer invalid.
  bool Apply(std::string_view name, std::string_view value) {
    if (EqualIgnoringCase(name, "Content-Length")) return ApplyLength(value);
    if (EqualIgnoringCase(name, "Transfer-Encoding")) {
      chunked_ = EqualIgnoringCase(value, "chunked");
      return chunked_;  // no other coding was requested, and none can be decoded
    }
    if (EqualIgnoringCase(name, "Connection")) {
      EachMember(value, [this](std::string_view option) {
        if (EqualIgnoringCase(option, "close")) answer_.keep_alive = false;
        if (EqualIgnoringCase(option, "keep-alive")) answer_.keep_alive = true;
      });
    } else if (EqualIgnoringCase(name, "X-Turned-Away")) {
      answer_.turned_away = value == "1";
    } else if (EqualIgnoringCase(name, "X-Pressure")) {
      answer_.pressure = value;
    }
    return true;
  }

  HttpHead Result() const {
    const bool no_body = answer_.status < 200 || answer_.status == 204 || answer_.status == 304;
    if (no_body) return {HttpBodyEnd::kNoBody, 0};
    if (chunked_) return {HttpBodyEnd::kLastChunk, 0};
    if (length_) return {HttpBodyEnd::kLength, *length_};
    return {HttpBodyEnd::kClose, 0};
  }

 private:
  // A length that is stated more than once must be the same each time (RFC 9112, 6.3).
  bool ApplyLength(std::string_view value) {
    bool valid = !value.empty();
    EachMember(value, [&](std::string_view member) {
      const auto stated = ParseUnsigned(member);
      if (!stated || (length_ && *length_ != *stated)) valid = false;
      length_ = stated;
    });
    return valid;
  }

  HttpAnswer& answer_;
  std::optional<std::uint64_t> length_;
  bool chunked_ = false;
};

// Parses one head; `used` ends after its empty line.
Parsed ParseOneHead(std::string_view in, const Limits& limits, std::size_t& used, HttpAnswer& answer,
                    HttpHead& framing) {
  answer = {};
  const std::size_t head_end = in.substr(0, limits.max_http_head + 4).find("\r\n\r\n");
  if (head_end == in.npos) return in.size() >= limits.max_http_head + 4 ? Parsed::kBad : Parsed::kMore;
  std::string_view head = in.substr(0, head_end);
  if (!head.starts_with("HTTP/1.") || head.size() < 12 || head[8] != ' ') return Parsed::kBad;
  answer.keep_alive = head[7] != '0';
  const auto status = ParseUnsigned(head.substr(9, 3));
  if (!status || *status < 100 || *status > 599) return Parsed::kBad;
  answer.status = static_cast<int>(*status);
  HeaderFields fields(answer);
  std::size_t line_end = head.find("\r\n");
  while (line_end != head.npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    const std::string_view line = head.substr(0, line_end);
    const std::size_t colon = line.find(':');
    if (colon == line.npos || colon == 0) return Parsed::kBad;
    if (!fields.Apply(line.substr(0, colon), Trim(line.substr(colon + 1)))) return Parsed::kBad;
  }
  framing = fields.Result();
  used = head_end + 4;
  return Parsed::kDone;
}

// Parses the head of the final answer. Interim answers (1xx) may precede it and are skipped, but at most
// Limits::max_interim_answers of them. Status 101 is invalid: the router never requests another protocol.
Parsed ParseFinalHead(std::string_view in, const Limits& limits, std::size_t& used, HttpAnswer& answer,
                      HttpHead& framing) {
  std::size_t at = 0;
  for (std::size_t n = 0; n <= limits.max_interim_answers; ++n) {
    std::size_t taken = 0;
    const Parsed got = ParseOneHead(in.substr(at), limits, taken, answer, framing);
    if (got != Parsed::kDone) return got;
    at += taken;
    if (answer.status == 101) return Parsed::kBad;
    if (answer.status >= 200) {
      used = at;
      return Parsed::kDone;
    }
  }
  return Parsed::kBad;
}

}  // namespace

// ---- An answer read as it arrives ----

Parsed HttpAnswerReader::Feed(std::string_view bytes) {
  while (state_ != State::kDone && state_ != State::kBad &&
         (!bytes.empty() || state_ == State::kBodyStart)) {
    switch (state_) {
      case State::kHead:
        ReadHead(bytes);
        break;
      case State::kBodyStart:
        StartBody();
        break;
      case State::kLength:
      case State::kChunk:
        ReadCounted(bytes);
        break;
      case State::kClose:
        ReadToClose(bytes);
        break;
      default:
        ReadChunkLine(bytes);
        break;
    }
  }
  surplus_ += bytes.size();
  return result();
}

Parsed HttpAnswerReader::End() {
  if (state_ == State::kClose) state_ = State::kDone;
  return result();
}

Parsed HttpAnswerReader::result() const {
  return state_ == State::kDone ? Parsed::kDone : state_ == State::kBad ? Parsed::kBad : Parsed::kMore;
}

void HttpAnswerReader::ReadHead(std::string_view& bytes) {
  const std::size_t before = line_.size();
  if (before > 0) line_.append(bytes);
  std::size_t used = 0;
  const Parsed got =
      ParseFinalHead(before > 0 ? std::string_view(line_) : bytes, limits_, used, answer_, head_);
  if (got == Parsed::kBad) state_ = State::kBad;
  if (got == Parsed::kMore && before == 0) line_ = bytes;
  bytes.remove_prefix(got == Parsed::kDone ? used - before : bytes.size());
  if (got != Parsed::kDone) return;
  line_.clear();
  state_ = State::kBodyStart;
}

void HttpAnswerReader::StartBody() {
  switch (head_.body) {
    case HttpBodyEnd::kNoBody:
      state_ = State::kDone;
      return;
    case HttpBodyEnd::kLastChunk:
      state_ = State::kChunkSize;
      return;
    case HttpBodyEnd::kLength:
      body_left_ = head_.length;
      state_ = body_left_ > max_body_ ? State::kBad : body_left_ == 0 ? State::kDone : State::kLength;
      return;
    case HttpBodyEnd::kClose:
      answer_.keep_alive = false;
      state_ = State::kClose;
  }
}

void HttpAnswerReader::ReadCounted(std::string_view& bytes) {
  const std::size_t part = static_cast<std::size_t>(std::min<std::uint64_t>(body_left_, bytes.size()));
  answer_.body.append(bytes.substr(0, part));
  bytes.remove_prefix(part);
  body_left_ -= part;
  if (body_left_ == 0) state_ = state_ == State::kChunk ? State::kChunkEnd : State::kDone;
}

void HttpAnswerReader::ReadToClose(std::string_view& bytes) {
  if (bytes.size() > max_body_ - answer_.body.size()) {
    state_ = State::kBad;
    return;
  }
  answer_.body.append(bytes);
  bytes = {};
}

// Guards against trailers, or extensions of tiny chunks, that never end: what has arrived of an answer is
// kept until it is complete.
bool HttpAnswerReader::FramingExceeded() const {
  return framing_ > limits_.max_http_head + kMaxFramingPerByte * answer_.body.size();
}

// Reads a chunk's size line, the CRLF after its data, or a trailer line.
void HttpAnswerReader::ReadChunkLine(std::string_view& bytes) {
  if (FramingExceeded()) {
    state_ = State::kBad;
    return;
  }
  const std::size_t before = line_.size();
  line_.append(bytes.substr(0, kMaxChunkLine + 2));
  const std::string_view line_end = "\r\n";
  if (state_ == State::kChunkEnd && !line_end.starts_with(std::string_view(line_).substr(0, 2))) {
    state_ = State::kBad;
    return;
  }
  const std::size_t end = line_.find(line_end);
  if (end == line_.npos) {
    if (line_.size() > kMaxChunkLine) state_ = State::kBad;
    bytes.remove_prefix(line_.size() - before);
    return;
  }
  bytes.remove_prefix(end + 2 - before);
  framing_ += end + 2;
  const std::string line = line_.substr(0, end);
  line_.clear();
  if (state_ == State::kTrailer) {
    if (line.empty()) state_ = State::kDone;
  } else if (state_ == State::kChunkEnd) {
    state_ = State::kChunkSize;
  } else {
    StartChunk(line);
  }
}

void HttpAnswerReader::StartChunk(std::string_view size_line) {
  const auto length = ParseUnsigned(Trim(size_line.substr(0, size_line.find(';'))), 16);
  if (!length || *length > max_body_ - answer_.body.size()) {
    state_ = State::kBad;
    return;
  }
  body_left_ = *length;
  state_ = body_left_ == 0 ? State::kTrailer : State::kChunk;
}

Parsed ParseHttpAnswer(std::string_view in, std::size_t max_body, const Limits& limits, InputEnd end,
                       std::size_t& used, HttpAnswer& answer) {
  HttpAnswerReader reader(max_body, limits);
  Parsed got = reader.Feed(in);
  if (got == Parsed::kMore && end == InputEnd::kClosed) got = reader.End();
  used = in.size() - reader.surplus();
  answer = reader.TakeAnswer();
  return got;
}

Parsed ParseHttpHead(std::string_view in, const Limits& limits, std::size_t& used, HttpAnswer& answer,
                     std::optional<std::uint64_t>& length) {
  HttpHead head;
  length.reset();
  const Parsed got = ParseFinalHead(in, limits, used, answer, head);
  if (got == Parsed::kDone && head.body == HttpBodyEnd::kLength) length = head.length;
  return got;
}

std::string WriteGet(std::string_view host, std::string_view path) {
  std::string out = "GET ";
  out.append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
  return out;
}

std::string WriteOriginAttempt(std::string_view host, const RequestContent& request, Duration left) {
  std::string out = request.write ? "PUT " : "GET ";
  out.append(KeyPath(request.key)).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\nX-Txn: ")
      .append(request.id)
      .append("\r\nX-Labels: ")
      .append(LabelsWithin(request.labels, left))
      .append("\r\n");
  if (request.write)
    out.append("Content-Length: ").append(std::to_string(request.value.size())).append("\r\n");
  out.append("\r\n");
  if (request.write) out.append(request.value);
  return out;
}

AttemptResult ReadOriginAnswer(HttpAnswer answer, const RequestContent& request) {
  AttemptResult end = ReadOriginProbe(answer);
  if (end.result != Result::kOk) return end;
  // A receipt is sent to the client as one word of a line: anything else would break that line.
  if (request.write && (!IsWord(answer.body) || answer.body.size() > 1024)) {
    end.result = Result::kMalformed;
  } else {
    end.body = std::move(answer.body);
  }
  return end;
}

AttemptResult ReadOriginProbe(const HttpAnswer& answer) {
  AttemptResult end;
  const bool not_run = (answer.status == 503 || answer.status == 504) && answer.turned_away;
  end.result = answer.status == 200 ? Result::kOk : not_run ? Result::kRejected : Result::kError;
  std::string_view rest = answer.pressure;
  while (!rest.empty()) {
    const std::size_t cut = rest.find(',');
    const std::string_view figure = Trim(rest.substr(0, cut));
    const std::size_t equals = figure.find('=');
    const auto value = equals == figure.npos ? std::nullopt : ParseNumber(figure.substr(equals + 1));
    if (value) {
      if (!end.report) end.report.emplace();
      SetReportField(*end.report, figure.substr(0, equals), *value);
    }
    rest.remove_prefix(cut == rest.npos ? rest.size() : cut + 1);
  }
  return end;
}

}  // namespace brasswood
