// The calls of the admin interface: their paths and their answers. Independent of sockets and of HTTP
// framing (protocol/admin_http parses and writes that); the router is called through Operations.
#ifndef BRASSWOOD_ADMIN_CALLS_H_
#define BRASSWOOD_ADMIN_CALLS_H_

#include <functional>
#include <string>
#include <string_view>

namespace brasswood {

enum class CallKind { kReady, kMetrics, kSuspend, kResume, kDrain, kActivate };

// The call that a request asks for, or why there is none.
struct Route {
  int status = 0;  // 0: found; else 404 (no such path) or 405 (the path takes another method)
  CallKind kind = CallKind::kReady;
  std::string id;     // for kSuspend and kResume: the cache server's
  std::string allow;  // for 405: the method that the path takes
};

// Finds the call for a request. Paths must match exactly: /v1/readyz and /v1/metrics (GET),
// /v1/cache-servers/ID/suspend and .../resume, /v1/router/drain and /v1/router/activate (POST). An ID is
// one path segment of printable characters.
Route Resolve(std::string_view method, std::string_view path);

// What the admin interface can ask of the router. Every function returns at once: none waits for a server,
// a request or a disk.
class Operations {
 public:
  virtual ~Operations() = default;
  virtual bool Ready() const = 0;  // whether the router is ready to serve
  virtual std::string MetricsText() const = 0;
  // Both return false if no cache server with that id is known.
  virtual bool Suspend(const std::string& id) = 0;
  virtual bool Resume(const std::string& id) = 0;
  // Calls `callback` with an empty text once the latest change is stored, or else within
  // Limits::state_disk_timeout with the reason why it is held in memory only (a restart of the process
  // would lose it). Never calls it before returning.
  virtual void WhenStored(std::function<void(const std::string& error)> callback) = 0;
  // Closes client connections once they are idle and reports not ready, until Activate.
  virtual void Drain() = 0;
  virtual void Activate() = 0;
};

struct CallAnswer {
  int status = 200;
  std::string body;
  std::string type = "text/plain";
  // The call changed stored state: the answer is sent once WhenStored has reported whether it was stored.
  bool wait_until_stored = false;
};

// Adds to an answer's body that its change could not be stored because of `error`, unless that is empty.
std::string WithStoreError(const std::string& body, const std::string& error);

// Executes a call and returns its answer. `method` and `path` are as received.
CallAnswer AnswerCall(std::string_view method, std::string_view path, Operations& router);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_CALLS_H_
