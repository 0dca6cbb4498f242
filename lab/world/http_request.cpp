#include "lab/world/http_request.h"

#include <strings.h>

namespace brasswood::lab {
namespace {

std::string Unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto code =
        text[i] == '%' && i + 2 < text.size() ? ParseUnsigned(text.substr(i + 1, 2), 16) : std::nullopt;
    out += code ? static_cast<char>(*code) : text[i];
    if (code) i += 2;
  }
  return out;
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

Parsed ParseHttpRequest(std::string_view in, std::size_t& used, HttpRequest& request) {
  request = {};
  const std::size_t end = in.find("\r\n\r\n");
  if (end == in.npos) return in.size() > (64u << 10) ? Parsed::kBad : Parsed::kMore;
  std::string_view head = in.substr(0, end);
  std::size_t line_end = head.find("\r\n");
  std::string_view line = head.substr(0, line_end);
  request.method = NextWord(line);
  const std::string_view target = NextWord(line);
  if (!line.starts_with("HTTP/1.1") || !target.starts_with('/')) return Parsed::kBad;
  const std::size_t mark = target.find('?');
  request.path = Unescape(target.substr(0, mark));
  if (mark != target.npos) request.query = target.substr(mark + 1);
  while (line_end != head.npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    const std::string_view field = head.substr(0, line_end);
    const std::size_t colon = field.find(':');
    if (colon == field.npos) return Parsed::kBad;
    std::string_view value = field.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    const std::string_view name = field.substr(0, colon);
    if (EqualIgnoringCase(name, "X-Txn")) request.id = value;
    if (EqualIgnoringCase(name, "X-Labels")) request.labels = value;
    if (EqualIgnoringCase(name, "Content-Length")) {
      const auto length = ParseUnsigned(value);
      if (!length || *length > (1u << 20)) return Parsed::kBad;
      request.body = *length;
    }
  }
  used = end + 4 + request.body;
  return in.size() < used ? Parsed::kMore : Parsed::kDone;
}

std::uint64_t QueryNumber(std::string_view query, std::string_view name, std::uint64_t fallback) {
  while (!query.empty()) {
    const std::size_t amp = query.find('&');
    const std::string_view part = query.substr(0, amp);
    if (part.starts_with(name) && part.size() > name.size() && part[name.size()] == '=') {
      return ParseUnsigned(part.substr(name.size() + 1)).value_or(fallback);
    }
    query.remove_prefix(amp == query.npos ? query.size() : amp + 1);
  }
  return fallback;
}

std::string HttpReply(int status, std::string_view headers, std::string_view body) {
  const std::string_view reason = status == 200 ? "OK" : status == 503 ? "Busy" : "Error";
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason).append("\r\nContent-Length: ").append(std::to_string(body.size())).append("\r\n");
  out.append(headers).append("\r\n").append(body);
  return out;
}

}  // namespace brasswood::lab
