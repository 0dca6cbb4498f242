#include "protocol/admin_http.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace brasswood {
namespace {

bool IsToken(std::string_view text) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return std::isalnum(c) || kTokenSymbols.find(static_cast<char>(c)) != kTokenSymbols.npos;
  });
}

Parsed Bad(AdminRequest& call, int status, const char* error) {
  call.status = status;
  call.error = error;
  return Parsed::kBad;
}

const char* Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Unknown";
  }
}

}  // namespace

Parsed ParseAdminRequest(std::string_view in, const AdminRequestLimits& bounds, std::size_t& used,
                         AdminRequest& call) {
  call = {};
  // Accepts callers that send empty lines first, which RFC 9112 allows a server to skip.
  std::size_t start = 0;
  while (in.substr(start, 2) == "\r\n") start += 2;
  const std::string_view rest = in.substr(start);
  const std::size_t head_end = rest.substr(0, bounds.head + 4).find("\r\n\r\n");
  if (head_end == rest.npos) {
    if (rest.size() >= bounds.head + 4) return Bad(call, 431, "head too large");
    const std::size_t first = rest.find("\r\n");
    // A line that cannot become a valid request line is refused at once, not at the deadline.
    const std::string_view line = rest.substr(0, first == rest.npos ? rest.size() : first);
    if (!line.empty() && !IsToken(line.substr(0, std::min(line.find(' '), line.size())))) {
      return Bad(call, 400, "not a request line");
    }
    return Parsed::kMore;
  }
  std::string_view head = rest.substr(0, head_end);
  const std::size_t line_end = std::min(head.find("\r\n"), head.size());
  std::string_view line = head.substr(0, line_end);
  const std::string_view method = NextWord(line);
  const std::string_view target = NextWord(line);
  const std::string_view version = line;
  if (!IsToken(method) || target.empty() || !IsWord(target)) return Bad(call, 400, "not a request line");
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return version.starts_with("HTTP/") ? Bad(call, 505, "only HTTP/1.1") : Bad(call, 400, "no version");
  }
  if (target.front() != '/') return Bad(call, 400, "the target is not a path");
  std::optional<std::uint64_t> length;
  head.remove_prefix(line_end);
  while (!head.empty()) {
    head.remove_prefix(2);  // the CRLF before the field
    const std::size_t end = std::min(head.find("\r\n"), head.size());
    const std::string_view field = head.substr(0, end);
    head.remove_prefix(end);
    const std::size_t colon = field.find(':');
    if (colon == field.npos || !IsToken(field.substr(0, colon))) return Bad(call, 400, "bad header field");
    const std::string_view name = field.substr(0, colon), value = Trim(field.substr(colon + 1));
    if (EqualIgnoringCase(name, "Content-Length")) {
      const auto stated = ParseUnsigned(value);
      if (!stated || (length && *length != *stated)) return Bad(call, 400, "bad Content-Length");
      length = stated;
    } else if (EqualIgnoringCase(name, "Transfer-Encoding")) {
      return Bad(call, 501, "no transfer coding is taken");
    }
  }
  const std::size_t body = length.value_or(0);
  if (body > bounds.body) return Bad(call, 413, "body too large");
  const std::size_t at = start + head_end + 4;
  if (in.size() - at < body) return Parsed::kMore;
  used = at + body;
  call.method = std::string(method);
  call.path = std::string(target.substr(0, target.find('?')));
  return Parsed::kDone;
}

std::string FormatAdminAnswer(int status, std::string_view body, std::string_view type) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + Reason(status);
  out.append("\r\nContent-Type: ").append(type);
  out.append("\r\nContent-Length: ").append(std::to_string(body.size()));
  out.append("\r\nConnection: close\r\n\r\n").append(body);
  return out;
}

}  // namespace brasswood
