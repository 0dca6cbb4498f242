#include "protocol/meta.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "protocol/labels.h"

namespace brasswood {
namespace {

using beechledge::Note;
using beechledge::Result;

// Parses a line of at most `max_length` bytes, which is returned without its CRLF; `used` includes the
// CRLF. A bare LF does not end a line.
Parsed ParseLine(std::string_view in, std::size_t max_length, std::string_view& line, std::size_t& used) {
  const std::size_t end = in.substr(0, max_length + 2).find("\r\n");
  if (end == in.npos) return in.size() > max_length + 1 ? Parsed::kBad : Parsed::kMore;
  line = in.substr(0, end);
  used = end + 2;
  return Parsed::kDone;
}

// Parses the data block of `length` bytes that begins at `at`, and its CRLF.
Parsed ParseBlock(std::string_view in, std::size_t at, std::size_t length, std::string& to,
                  std::size_t& used) {
  if (in.size() < at + length + 2) return Parsed::kMore;
  if (in.substr(at + length, 2) != "\r\n") return Parsed::kBad;
  to.assign(in.substr(at, length));
  used = at + length + 2;
  return Parsed::kDone;
}

constexpr std::size_t kMaxLabels = 64;  // per command; no client sends more

int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// Parses the flags of a request's command: O and P are used, others are ignored. A flag that is repeated
// must have the same value each time, because it is not known which of two ids or label lists the client
// means.
void ParseFlags(std::string_view rest, Command& c) {
  bool id = false, labels = false;
  const auto set = [&c](std::string_view value, std::string& to, bool& was_set) {
    if (was_set && to != value) c.error = "flags that disagree";
    to = value;
    was_set = true;
  };
  while (!rest.empty()) {
    const std::string_view flag = NextWord(rest);
    if (flag.empty()) continue;
    if (!IsWord(flag)) c.error = "bad flag";
    if (flag[0] == 'O') set(flag.substr(1), c.content.id, id);
    if (flag[0] == 'P') set(flag.substr(1), c.content.labels, labels);
  }
  if (c.content.id.empty() && c.error.empty()) c.error = "no id";
}

void CheckKey(const Limits& limits, Command& c) {
  if (!IsWord(c.content.key) || c.content.key.size() > limits.max_key) c.error = "bad key";
}

}  // namespace

Parsed ParseCommand(std::string_view in, const Limits& limits, std::size_t& used, Command& c) {
  c = {};
  std::string_view line;
  const Parsed got = ParseLine(in, limits.max_line, line, used);
  if (got == Parsed::kBad) c.error = "line too long";
  if (got != Parsed::kDone) return got;
  std::string_view rest = line;
  const std::string_view verb = NextWord(rest);
  if (verb == "mn" || verb == "quit") {
    c.verb = verb == "mn" ? Verb::kNoop : Verb::kQuit;
  } else if (verb == "mg") {
    c.verb = Verb::kRequest;
    c.content.key = NextWord(rest);
    CheckKey(limits, c);
    ParseFlags(rest, c);
  } else if (verb == "ms") {
    c.verb = Verb::kRequest;
    c.content.write = true;
    c.content.key = NextWord(rest);
    const auto length = ParseUnsigned(NextWord(rest));
    if (!length ||
        *length > limits.max_value) {  // where the next command begins is unknown, or too far away
      c.error = length ? "value too large" : "bad length";
      return Parsed::kBad;
    }
    CheckKey(limits, c);
    ParseFlags(rest, c);
    const Parsed block = ParseBlock(in, used, *length, c.content.value, used);
    if (block == Parsed::kBad) c.error = "bad data chunk";
    if (block != Parsed::kDone) return block;
  }
  if (!c.error.empty()) c.verb = Verb::kMalformed;
  return Parsed::kDone;
}

// Guards against executing a request that its client cannot have meant. A server would refuse such a
// command or close the connection, which would look like a fault of the server and use up attempts of other
// requests.
std::string BuildRequest(RequestContent content, const SettingNames& names, const Limits& limits,
                         NewRequest& request) {
  request = {};
  request.wait = limits.default_deadline;
  std::string error;
  std::vector<std::pair<std::string_view, std::string_view>> seen;
  EachLabel(content.labels, [&](std::string_view name, std::string_view value) {
    for (const auto& [earlier_name, earlier_value] : seen) {
      if (earlier_name == name && earlier_value != value) error = "labels that disagree";
    }
    if (seen.size() < kMaxLabels) {
      seen.emplace_back(name, value);
    } else {
      error = "too many labels";
    }
    if (name == "c") request.request_class = IndexOf(names.classes, value);
    if (name == "t") request.tenant = std::max(0, IndexOf(names.tenants, value));
    if (name == "r") request.repeat = value == "1";
    if (name == "size")
      request.size_hint = ParseNumber(value);  // only a hint: without it the request is still executed
    if (name == "d") {
      const auto ms = ParseUnsigned(value);
      const auto max_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(limits.max_deadline).count();
      if (!ms) error = "bad deadline";
      request.wait = std::chrono::milliseconds(
          std::min<std::uint64_t>(ms.value_or(0), static_cast<std::uint64_t>(max_ms)));
    }
  });
  if (error.empty() && request.request_class < 0) error = "unknown class";
  request.content = std::make_shared<const RequestContent>(std::move(content));
  return error;
}

// The bytes of a value's answer beside its id and the value: "VA ", a length of up to 20 digits, " O" and
// two CRLF.
constexpr std::size_t kMaxValueFraming = 3 + 20 + 2 + 4;

void AppendAnswer(std::string& out, std::string_view id, const Answer& answer, const Limits& limits) {
  switch (answer.kind) {
    case AnswerKind::kValue:
      // Guards against an allocation that doubles with the last bytes: large answers may wait in memory.
      out.reserve(out.size() + id.size() + answer.body.size() + kMaxValueFraming);
      out.append("VA ").append(std::to_string(answer.body.size())).append(" O").append(id);
      out.append("\r\n").append(answer.body);
      break;
    case AnswerKind::kReceipt:
      out.append("HD O").append(id).append(" c").append(answer.body);
      break;
    case AnswerKind::kRefused: {
      out.append("SERVER_ERROR busy");
      const Duration wait = std::min(answer.retry_after, limits.max_retry_after);
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
      if (ms > 0) out.append(" ").append(std::to_string(ms));
      break;
    }
    case AnswerKind::kFailed:
      out.append("SERVER_ERROR failed");
      break;
  }
  out.append("\r\n");
}

std::string WriteAttempt(const RequestContent& request, Duration left) {
  const std::string labels = LabelsWithin(request.labels, left);
  std::string out = request.write ? "ms " + request.key + " " + std::to_string(request.value.size())
                                  : "mg " + request.key + " v";
  out.append(" O").append(request.id);
  if (!labels.empty()) out.append(" P").append(labels);
  out.append("\r\n");
  if (request.write) out.append(request.value).append("\r\n");
  return out;
}

namespace {

// `max_value`: the length of the largest value accepted; `head_only`: stop after a VA line.
Parsed ParseReply(std::string_view in, const RequestContent& request, const Limits& limits,
                  std::size_t max_value, bool head_only, std::size_t& used, AttemptResult& end,
                  std::optional<std::uint64_t>& value) {
  end = {};
  value.reset();
  std::string_view rest;
  const Parsed got = ParseLine(in, limits.max_line, rest, used);
  if (got != Parsed::kDone) return got;
  const std::string_view head = NextWord(rest);
  if (head == "SERVER_ERROR") {
    if (rest == "busy" || rest.starts_with("busy ")) {
      end.result = Result::kRejected;
    } else {
      end.result = Result::kError;
    }
    return Parsed::kDone;
  }
  std::optional<std::uint64_t> length;
  if (head == "VA") {
    length = ParseUnsigned(NextWord(rest));
    if (!length || *length > max_value) return Parsed::kBad;
  } else if (head != "HD" && head != "EN") {
    return Parsed::kBad;
  }
  std::string_view id, receipt;
  bool hit = false, miss = false, fetching = false;
  while (!rest.empty()) {
    const std::string_view flag = NextWord(rest);
    if (flag.starts_with('O')) id = flag.substr(1);
    if (flag.starts_with('c')) receipt = flag.substr(1);
    hit |= flag == "h1";
    miss |= flag == "h0";
    fetching |= flag == "Z";
  }
  if (id != request.id) return Parsed::kBad;  // the answer to another request
  end.note = hit ? Note::kHit : miss ? (fetching ? Note::kMissFetching : Note::kMiss) : Note::kNone;
  if (head == "EN") {
    end.result = Result::kMiss;
    return Parsed::kDone;
  }
  if ((head == "HD") != request.write) return Parsed::kBad;
  end.result = Result::kOk;
  if (head == "VA" && head_only) {
    value = length;
    return Parsed::kDone;
  }
  if (head == "VA") return ParseBlock(in, used, *length, end.body, used);
  end.body = receipt;
  return receipt.empty() ? Parsed::kBad : Parsed::kDone;
}

}  // namespace

Parsed ParseAttemptReply(std::string_view in, const RequestContent& request, const Limits& limits,
                         std::size_t& used, AttemptResult& end) {
  std::optional<std::uint64_t> unused;
  return ParseReply(in, request, limits, limits.max_value, false, used, end, unused);
}

Parsed ParseAttemptHead(std::string_view in, const RequestContent& request, const Limits& limits,
                        std::size_t& used, AttemptResult& end, std::optional<std::uint64_t>& length) {
  return ParseReply(in, request, limits, limits.max_streamed_value, true, used, end, length);
}

void SetReportField(beechledge::LoadReport& r, std::string_view name, double value) {
  const std::pair<std::string_view, std::optional<double>*> fields[] = {
      {"inflight", &r.inflight}, {"queue", &r.queue}, {"util", &r.util}, {"latency_ms", &r.latency_ms},
      {"qps", &r.qps},           {"eps", &r.eps},     {"x0", &r.x0},     {"x1", &r.x1}};
  for (const auto& [known, field] : fields) {
    if (name == known) *field = value;
  }
}

Parsed ParseProbeReply(std::string_view in, bool load, const Limits& limits, std::size_t& used,
                       AttemptResult& end) {
  end = {};
  std::string_view line;
  std::size_t at = 0, n = 0;
  const Parsed got = ParseLine(in, limits.max_line, line, at);
  used = at;
  if (got != Parsed::kDone) return got;
  if (line.starts_with("SERVER_ERROR")) {
    end.result = line.find("busy") == line.npos ? Result::kError : Result::kRejected;
    return Parsed::kDone;
  }
  end.result = Result::kOk;
  if (!load) return line == "MN" ? Parsed::kDone : Parsed::kBad;
  for (at = 0; at <= limits.max_line; at += n) {
    const Parsed next = ParseLine(in.substr(at), limits.max_line, line, n);
    if (next != Parsed::kDone) return next;
    used = at + n;
    if (line == "END") return Parsed::kDone;
    if (NextWord(line) != "STAT") return Parsed::kBad;
    const std::string_view name = NextWord(line);
    const auto value = ParseNumber(line);
    if (!value) continue;  // an unreadable number counts as not stated
    if (!end.report) end.report.emplace();
    SetReportField(*end.report, name, *value);
  }
  return Parsed::kBad;
}

}  // namespace brasswood
