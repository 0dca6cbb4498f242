// The server's side of the little HTTP/1.1 that routers speak to the origin and to discovery.
#ifndef BRASSWOOD_LAB_WORLD_HTTP_REQUEST_H_
#define BRASSWOOD_LAB_WORLD_HTTP_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/parse.h"

namespace brasswood::lab {

struct HttpRequest {
  std::string method, path;  // the path without its query, unescaped
  std::string query;
  std::string id, labels;  // X-Txn, X-Labels
  std::size_t body = 0;    // its length; the bytes themselves mean nothing here
};

// One request from the front of `in`. kBad: not one, or over 64 KiB of head or 1 MiB of body.
Parsed ParseHttpRequest(std::string_view in, std::size_t& used, HttpRequest& request);

// The whole number of that name in a query string, or `fallback`.
std::uint64_t QueryNumber(std::string_view query, std::string_view name, std::uint64_t fallback);

std::string HttpReply(int status, std::string_view headers, std::string_view body);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_HTTP_REQUEST_H_
