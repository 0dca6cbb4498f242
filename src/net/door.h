// The operators' door: an HTTP/1.1 listener, one call per connection, on the router's own loop. Guards
// against callers that send nothing or half a call and stay: each connection has one deadline from its
// accept, after which it is answered 400 and closed, and the table of connections is bounded, the oldest
// making way for a new one. Nothing here waits on a server or a request, so an answer is due within the
// deadline whatever the data path does.
#ifndef BRASSWOOD_NET_DOOR_H_
#define BRASSWOOD_NET_DOOR_H_

#include <event2/listener.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "admin/calls.h"
#include "config/limits.h"
#include "core/slots.h"
#include "net/loop.h"
#include "protocol/door.h"

namespace brasswood {

class Door {
 public:
  // Listens on `address` from now on; throws where it cannot. `router` outlives the door.
  Door(Loop& loop, const Limits& limits, const std::string& address, Operations& router);
  ~Door();

  std::uint16_t port() const;
  std::size_t open() const { return callers_.size(); }

 private:
  struct Caller {
    Door* door = nullptr;
    std::uint64_t id = 0;
    BufferPtr buffer;
    bool answered = false;  // its answer is written; what still comes is read and thrown away
    std::list<std::uint64_t>::iterator place;
    Deadlines::Id deadline;
  };

  void Accept(evutil_socket_t fd);
  void Read(Caller& c);
  void Respond(Caller& c, int status, const std::string& body, const std::string& type);
  void Written(Caller& c);
  void Expire(std::uint64_t id);
  void Close(std::uint64_t id);

  Loop& loop_;
  const Limits& limits_;
  Operations& router_;
  AdminRequestLimits bounds_;
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
  Slots<std::unique_ptr<Caller>> callers_;
  std::list<std::uint64_t> order_;  // by accept, the oldest first
};

}  // namespace brasswood

#endif  // BRASSWOOD_NET_DOOR_H_
