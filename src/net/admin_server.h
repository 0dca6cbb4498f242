// The admin interface for operators: an HTTP/1.1 listener on the router's event loop, with one request per
// connection. Guards against callers that send nothing, or an incomplete request, and stay connected: each
// connection has one deadline, counted from its accept, after which it is answered 400 and closed, and the
// number of connections is bounded, with the oldest closed for a new one. Nothing here waits for a server
// or a client's request, so an answer is sent within the deadline whatever the data path does.
#ifndef BRASSWOOD_NET_ADMIN_SERVER_H_
#define BRASSWOOD_NET_ADMIN_SERVER_H_

#include <event2/listener.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "admin/calls.h"
#include "config/limits.h"
#include "core/slots.h"
#include "net/loop.h"
#include "protocol/admin_http.h"

namespace brasswood {

class AdminServer {
 public:
  // Starts to listen on `address`; throws if that fails. `router` must outlive this object.
  AdminServer(Loop& loop, const Limits& limits, const std::string& address, Operations& router);
  ~AdminServer();

  std::uint16_t port() const;
  std::size_t open() const { return callers_.size(); }

 private:
  struct Caller {
    AdminServer* door = nullptr;
    std::uint64_t id = 0;
    BufferPtr buffer;
    bool answered = false;  // its answer is decided on; further input is read and discarded
    std::list<std::uint64_t>::iterator position;  // in order_
    Deadlines::Id deadline;
  };

  void Accept(evutil_socket_t fd);
  void OnRead(Caller& caller);
  void Respond(Caller& caller, int status, const std::string& body, const std::string& type);
  void OnWritten(Caller& caller);
  void OnTimeout(std::uint64_t id);
  void Close(std::uint64_t id);

  Loop& loop_;
  const Limits& limits_;
  Operations& router_;
  AdminRequestLimits bounds_;
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
  Slots<std::unique_ptr<Caller>> callers_;
  std::list<std::uint64_t> order_;  // by time of accept, the oldest first
};

}  // namespace brasswood

#endif  // BRASSWOOD_NET_ADMIN_SERVER_H_
