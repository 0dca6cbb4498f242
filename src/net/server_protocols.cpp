// The protocols of the two kinds of servers: memcache meta to cache servers, HTTP to the origin.
#include <string>
#include <utility>

#include "net/attempt_pool.h"
#include "protocol/http.h"
#include "protocol/meta.h"

namespace brasswood {

std::string CacheServerPool::Format(const Operation& operation, const Server&, Duration left) const {
  if (!operation.request) return operation.load ? "stats load\r\n" : "mn\r\n";
  return WriteAttempt(*operation.request, left);
}

Parsed CacheServerPool::ParseHead(std::string_view in, const Operation& operation, std::size_t& used,
                                  AttemptResult& end, std::optional<std::uint64_t>& length,
                                  std::size_t& trailer, bool&) const {
  trailer = 2;
  return ParseAttemptHead(in, *operation.request, limits(), used, end, length);
}

Parsed CacheServerPool::Parse(std::string_view in, const Operation& operation, InputEnd, std::size_t& used,
                              AttemptResult& end, bool&) const {
  if (!operation.request) return ParseProbeReply(in, operation.load, limits(), used, end);
  return ParseAttemptReply(in, *operation.request, limits(), used, end);
}

std::string OriginClient::Format(const Operation& operation, const Server& server, Duration left) const {
  if (!operation.request) return WriteGet(server.endpoint, operation.load ? "/-/load" : "/-/healthy");
  return WriteOriginAttempt(server.endpoint, *operation.request, left);
}

Parsed OriginClient::ParseHead(std::string_view in, const Operation&, std::size_t& used, AttemptResult& end,
                               std::optional<std::uint64_t>& length, std::size_t& trailer,
                               bool& keep) const {
  HttpAnswer answer;
  trailer = 0;
  const Parsed got = ParseHttpHead(in, limits(), used, answer, length);
  if (got != Parsed::kDone) return got;
  if (answer.status != 200) length.reset();  // only a value is streamed
  keep = answer.keep_alive;
  end = ReadOriginProbe(answer);
  return got;
}

Parsed OriginClient::Parse(std::string_view in, const Operation& operation, InputEnd input,
                           std::size_t& used, AttemptResult& end, bool& keep) const {
  HttpAnswer answer;
  const Parsed got = ParseHttpAnswer(in, limits().max_value, limits(), input, used, answer);
  if (got != Parsed::kDone) return got;
  keep = answer.keep_alive;
  end =
      operation.request ? ReadOriginAnswer(std::move(answer), *operation.request) : ReadOriginProbe(answer);
  return got;
}

}  // namespace brasswood
