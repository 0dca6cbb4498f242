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

Parsed TakeChunks(std::string_view in, std::size_t at, std::size_t most, std::size_t& used,
                  std::string& body) {
  for (;;) {
    const std::size_t end = in.find("\r\n", at);
    if (end == in.npos) return in.size() - at > 64 ? Parsed::kBad : Parsed::kMore;
    const std::string_view head = in.substr(at, end - at);
    const auto length = WholeNumber(Trim(head.substr(0, head.find(';'))), 16);
    if (!length || *length > most - body.size()) return Parsed::kBad;
    at = end + 2;
    if (*length == 0) break;
    if (in.size() < at + *length + 2) return Parsed::kMore;
    if (in.substr(at + *length, 2) != "\r\n") return Parsed::kBad;
    body.append(in.substr(at, *length));
    at += *length + 2;
  }
  for (;;) {  // trailers, up to the empty line
    const std::size_t end = in.find("\r\n", at);
    if (end == in.npos) return in.size() - at > 4096 ? Parsed::kBad : Parsed::kMore;
    const bool last = end == at;
    at = end + 2;
    if (last) break;
  }
  used = at;
  return Parsed::kDone;
}

// A path of the key's bytes, those that a path cannot carry escaped.
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

}  // namespace

namespace {

// One head: interim ones, which have no body, are told by their status.
// With `body`, a head whose body has a stated length is taken alone: `used` ends at the body's start.
Parsed ParseHead(std::string_view in, std::size_t most_body, const Limits& limits, std::size_t& used,
                 HttpAnswer& answer, std::optional<std::uint64_t>* body = nullptr) {
  answer = {};
  const std::size_t head_end = in.substr(0, limits.http_head + 4).find("\r\n\r\n");
  if (head_end == in.npos) return in.size() >= limits.http_head + 4 ? Parsed::kBad : Parsed::kMore;
  std::string_view head = in.substr(0, head_end);
  if (!head.starts_with("HTTP/1.") || head.size() < 12 || head[8] != ' ') return Parsed::kBad;
  answer.keep = head[7] != '0';
  const auto status = WholeNumber(head.substr(9, 3));
  if (!status || *status < 100 || *status > 599) return Parsed::kBad;
  answer.status = static_cast<int>(*status);
  std::optional<std::uint64_t> length;
  bool chunked = false;
  std::size_t line_end = head.find("\r\n");
  while (line_end != head.npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    const std::string_view line = head.substr(0, line_end);
    const std::size_t colon = line.find(':');
    if (colon == line.npos || colon == 0) return Parsed::kBad;
    const std::string_view name = line.substr(0, colon), value = Trim(line.substr(colon + 1));
    if (SameName(name, "Content-Length")) {
      const auto stated = WholeNumber(value);
      if (!stated || (length && *length != *stated)) return Parsed::kBad;
      length = stated;
    } else if (SameName(name, "Transfer-Encoding")) {
      if (!SameName(value, "chunked")) return Parsed::kBad;
      chunked = true;
    } else if (SameName(name, "Connection")) {
      if (SameName(value, "close")) answer.keep = false;
      if (SameName(value, "keep-alive")) answer.keep = true;
    } else if (SameName(name, "X-Turned-Away")) {
      answer.turned_away = value == "1";
    } else if (SameName(name, "X-Pressure")) {
      answer.pressure = value;
    }
  }
  const std::size_t at = head_end + 4;
  if (answer.status < 200 || answer.status == 204 || answer.status == 304) {
    used = at;
    return Parsed::kDone;
  }
  if (chunked) return TakeChunks(in, at, most_body, used, answer.body);
  if (body != nullptr && length) {
    *body = length;
    used = at;
    return Parsed::kDone;
  }
  if (!length || *length > most_body) return Parsed::kBad;
  if (in.size() - at < *length) return Parsed::kMore;
  answer.body.assign(in.substr(at, *length));
  used = at + *length;
  return Parsed::kDone;
}

}  // namespace

// Interim answers (1xx) may stand before the answer and say nothing of it. They are passed over, but not
// without end; a change of protocols was never asked for.
Parsed ParseHttpAnswer(std::string_view in, std::size_t most_body, const Limits& limits, std::size_t& used,
                       HttpAnswer& answer) {
  std::size_t at = 0;
  for (std::size_t n = 0; n <= limits.interim; ++n) {
    std::size_t taken = 0;
    const Parsed got = ParseHead(in.substr(at), most_body, limits, taken, answer);
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

Parsed ParseHttpHead(std::string_view in, const Limits& limits, std::size_t& used, HttpAnswer& answer,
                     std::optional<std::uint64_t>& length) {
  std::size_t at = 0;
  length.reset();
  for (std::size_t n = 0; n <= limits.interim; ++n) {
    std::size_t taken = 0;
    const Parsed got = ParseHead(in.substr(at), limits.value, limits, taken, answer, &length);
    if (got != Parsed::kDone) return got;
    at += taken;
    if (answer.status == 101) return Parsed::kBad;
    if (answer.status >= 200) {
      used = at;
      return Parsed::kDone;
    }
    length.reset();
  }
  return Parsed::kBad;
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

AttemptEnd ReadOriginAnswer(HttpAnswer answer, const RequestContent& request) {
  AttemptEnd end = ReadOriginProbe(answer);
  if (end.result != Result::kOk) return end;
  // A receipt goes out as one word of a line; one that is none must not break that line.
  if (request.write && (!IsWord(answer.body) || answer.body.size() > 1024)) {
    end.result = Result::kSpoilt;
  } else {
    end.body = std::move(answer.body);
  }
  return end;
}

AttemptEnd ReadOriginProbe(const HttpAnswer& answer) {
  AttemptEnd end;
  const bool never_ran = (answer.status == 503 || answer.status == 504) && answer.turned_away;
  end.result = answer.status == 200 ? Result::kOk : never_ran ? Result::kFull : Result::kError;
  std::string_view rest = answer.pressure;
  while (!rest.empty()) {
    const std::size_t cut = rest.find(',');
    const std::string_view figure = Trim(rest.substr(0, cut));
    const std::size_t equals = figure.find('=');
    const auto value = equals == figure.npos ? std::nullopt : Figure(figure.substr(equals + 1));
    if (value) {
      if (!end.report) end.report.emplace();
      SetReport(*end.report, figure.substr(0, equals), *value);
    }
    rest.remove_prefix(cut == rest.npos ? rest.size() : cut + 1);
  }
  return end;
}

}  // namespace brasswood
