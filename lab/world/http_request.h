// The server side of the subset of HTTP/1.1 that routers use with the origin and with discovery.
#ifndef BRASSWOOD_LAB_WORLD_HTTP_REQUEST_H_
#define BRASSWOOD_LAB_WORLD_HTTP_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/parse.h"

namespace brasswood::lab {

struct HttpRequest {
  std::string method, path;  // the path without its query, percent-decoded
  std::string query;
  std::string id, labels;  // X-Txn, X-Labels
  std::size_t body = 0;    // length of the body; its bytes are ignored
};

// Parses one request at the front of `in`. kBad: malformed, or more than 64 KiB of head or 1 MiB of body.
Parsed ParseHttpRequest(std::string_view in, std::size_t& used, HttpRequest& request);

// The value of a parameter of a query string; `fallback` if it is missing or no whole number.
std::uint64_t QueryNumber(std::string_view query, std::string_view name, std::uint64_t fallback);

std::string HttpReply(int status, std::string_view headers, std::string_view body);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_HTTP_REQUEST_H_
