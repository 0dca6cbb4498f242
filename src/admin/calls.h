// The calls of the operators' door: which path means what, and the answer each is owed. Knows no socket
// and no HTTP framing (protocol/door reads and writes that); the router is reached through Operations.
#ifndef BRASSWOOD_ADMIN_CALLS_H_
#define BRASSWOOD_ADMIN_CALLS_H_

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

// What the door may ask of the router. Every call returns at once: none waits on a machine or a job.
class Operations {
 public:
  virtual ~Operations() = default;
  virtual bool Ready() const = 0;
  virtual std::string Figures() const = 0;
  // False: no cache server of that id is known.
  virtual bool Suspend(const std::string& id) = 0;
  virtual bool Resume(const std::string& id) = 0;
  // Empty; or why what was said last is held in memory only: a restart of the process would lose it.
  virtual std::string Unkept() const = 0;
  virtual void Drain() = 0;
  virtual void Activate() = 0;
};

struct CallAnswer {
  int status = 200;
  std::string body;
  std::string type = "text/plain";
};

// The answer to a call that parsed; `method` and `path` as sent.
CallAnswer AnswerCall(std::string_view method, std::string_view path, Operations& router);

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_CALLS_H_
