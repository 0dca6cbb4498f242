// The operators' door speaks HTTP/1.1, one call per connection: the request is read here, the answer
// written here. Pure functions of bytes; the listener and its deadlines live in net/door.
#ifndef BRASSWOOD_PROTOCOL_DOOR_H_
#define BRASSWOOD_PROTOCOL_DOOR_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/parse.h"

namespace brasswood {

struct DoorCall {
  std::string method;  // as sent: methods are case-sensitive
  std::string path;    // the target without its query
  int status = 0;      // of a call that is kBad: the answer it is owed (400, 413, 431, 501, 505)
  std::string error;   // and why, in a few words
};

// Bounds of one call, in bytes. A body is read and thrown away: no call of the door takes one.
struct AdminRequestLimits {
  std::size_t head = 8 * 1024;  // request line and headers
  std::size_t body = 4 * 1024;
};

// One call from the front of `in`. kMore: not whole yet (the caller bounds the wait); kBad: `call.status`
// and `call.error` say what it is owed. `used`: the bytes of the call, body included.
Parsed ParseDoorCall(std::string_view in, const AdminRequestLimits& bounds, std::size_t& used,
                     DoorCall& call);

// A whole answer that closes the connection: status line, Content-Type, Content-Length, the body.
std::string FormatAdminAnswer(int status, std::string_view body, std::string_view type = "text/plain");

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_DOOR_H_
