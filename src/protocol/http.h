// The little of HTTP/1.1 that the origin and discovery speak: requests out, answers in.
#ifndef BRASSWOOD_PROTOCOL_HTTP_H_
#define BRASSWOOD_PROTOCOL_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

// One answer, interim ones before it passed over. Its body ends as RFC 9112, 6.3, has it: by its status, by
// its last chunk, at its Content-Length, or, where it states none of these, where the sender closes the
// connection in order (`end` is kClosed). Until then such an answer is kMore, and after it `keep` is false.
// kBad: not an answer, or a body of more than `most_body` bytes.
Parsed ParseHttpAnswer(std::string_view in, std::size_t most_body, const Limits& limits, InputEnd end,
                       std::size_t& used, HttpAnswer& answer);

// An answer that may stop half way: its head, and as much of its body as came. Nothing where the head is
// not whole, or what came is bad.
std::optional<HttpAnswer> ReadHttpPrefix(std::string_view in, std::size_t most_body, const Limits& limits);

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
