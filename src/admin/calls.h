// The calls of the operators' door: which path means what, and the answer each is owed. Knows no socket
// and no HTTP framing (protocol/door reads and writes that); the router is reached through Operations.
#ifndef BRASSWOOD_ADMIN_CALLS_H_
#define BRASSWOOD_ADMIN_CALLS_H_

#include <functional>
#include <string>
#include <string_view>

namespace brasswood {

enum class CallKind { kReady, kMetrics, kSuspend, kResume, kDrain, kActivate };

struct Route {
  int status = 0;  // 0: routed; else 404 (no such path) or 405 (the path takes another method)
  CallKind kind = CallKind::kReady;
  std::string id;     // of a cache server, for kSuspend and kResume
  std::string allow;  // of a 405: the method that the path takes
};

// Exact paths: /v1/readyz and /v1/metrics (GET), /v1/cache-servers/ID/suspend and .../resume,
// /v1/router/drain and /v1/router/activate (POST). An ID is one path segment of printable characters.
Route Resolve(std::string_view method, std::string_view path);

// What the door may ask of the router. Every call returns at once: none waits on a server, a request
// or a disk.
class Operations {
 public:
  virtual ~Operations() = default;
  virtual bool Ready() const = 0;
  virtual std::string Figures() const = 0;
  // False: no cache server of that id is known.
  virtual bool Suspend(const std::string& id) = 0;
  virtual bool Resume(const std::string& id) = 0;
  // Calls `then` once what was said last is stored, with nothing, or else soon with why it is held in
  // memory only (a restart of the process would lose it). Never from inside this call.
  virtual void WhenKept(std::function<void(const std::string& why)> then) = 0;
  virtual void Drain() = 0;
  virtual void Activate() = 0;
};

struct CallAnswer {
  int status = 200;
  std::string body;
  std::string type = "text/plain";
  // The call changed what is to be kept: its answer goes out after WhenKept, with what that says.
  bool kept = false;
};

// The answer's body where what was said could not be stored.
std::string HeldOnly(const std::string& body, const std::string& why);

// The answer to a call that parsed; `method` and `path` as sent.
CallAnswer AnswerCall(std::string_view method, std::string_view path, Operations& router);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_CALLS_H_
