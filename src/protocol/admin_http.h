// HTTP/1.1 as the admin interface uses it, with one request per connection: parses requests and formats
// answers. Pure functions of bytes; the listener and its deadlines are in net/admin_server.
#ifndef BRASSWOOD_PROTOCOL_ADMIN_HTTP_H_
#define BRASSWOOD_PROTOCOL_ADMIN_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/parse.h"

namespace brasswood {

struct AdminRequest {
  std::string method;  // as sent: methods are case-sensitive
  std::string path;    // the target without its query
  int status = 0;      // of a kBad request: the status to answer with (400, 413, 431, 501, 505)
  std::string error;   // of a kBad request: the reason, in a few words
};

// Size limits of one request, in bytes. A body is read and discarded: no request of the interface uses one.
struct AdminRequestLimits {
  std::size_t head = 8 * 1024;  // request line and headers
  std::size_t body = 4 * 1024;
};

// Parses one request at the front of `in`. kMore: not complete yet (the caller limits the wait). kBad:
// `call.status` and `call.error` hold the answer to send. `used`: the size of the request with its body.
Parsed ParseAdminRequest(std::string_view in, const AdminRequestLimits& bounds, std::size_t& used,
                         AdminRequest& call);

// Formats a complete answer after which the connection is closed: status line, header fields and body.
std::string FormatAdminAnswer(int status, std::string_view body, std::string_view type = "text/plain");

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_ADMIN_HTTP_H_
