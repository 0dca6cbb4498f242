#include "admin/calls.h"

namespace brasswood {
namespace {

bool IsServerId(std::string_view id) {
  if (id.empty() || id.size() > 256) return false;
  for (const char c : id) {
    if (c <= ' ' || c >= 0x7f || c == '/') return false;
  }
  return true;
}

Route MakeRoute(std::string_view method, std::string_view allowed, CallKind kind, std::string id = {}) {
  Route route;
  route.kind = kind;
  route.id = std::move(id);
  if (method != allowed) {
    route.status = 405;
    route.allow = std::string(allowed);
  }
  return route;
}

}  // namespace

Route Resolve(std::string_view method, std::string_view path) {
  if (path == "/v1/readyz") return MakeRoute(method, "GET", CallKind::kReady);
  if (path == "/v1/metrics") return MakeRoute(method, "GET", CallKind::kMetrics);
  if (path == "/v1/router/drain") return MakeRoute(method, "POST", CallKind::kDrain);
  if (path == "/v1/router/activate") return MakeRoute(method, "POST", CallKind::kActivate);
  constexpr std::string_view kServers = "/v1/cache-servers/";
  if (path.starts_with(kServers)) {
    std::string_view rest = path.substr(kServers.size());
    const std::size_t slash = rest.find('/');
    if (slash != rest.npos && IsServerId(rest.substr(0, slash))) {
      const std::string id(rest.substr(0, slash));
      const std::string_view action = rest.substr(slash + 1);
      if (action == "suspend") return MakeRoute(method, "POST", CallKind::kSuspend, id);
      if (action == "resume") return MakeRoute(method, "POST", CallKind::kResume, id);
    }
  }
  Route not_found;
  not_found.status = 404;
  return not_found;
}

// Whether stored or not, the change is in effect.
std::string WithStoreError(const std::string& body, const std::string& error) {
  if (error.empty()) return body;
  return body.substr(0, body.find('\n')) + "; held in memory only, not stored: " + error + "\n";
}

CallAnswer AnswerCall(std::string_view method, std::string_view path, Operations& router) {
  const Route route = Resolve(method, path);
  if (route.status == 404) return {404, "no such call\n"};
  if (route.status == 405) return {405, "this call takes " + route.allow + "\n"};
  switch (route.kind) {
    case CallKind::kReady:
      return router.Ready() ? CallAnswer{200, "ready\n"} : CallAnswer{503, "not ready\n"};
    case CallKind::kMetrics:
      return {200, router.MetricsText()};
    case CallKind::kSuspend:
      if (!router.Suspend(route.id)) return {404, "no cache server " + route.id + "\n"};
      return {200, "suspended " + route.id + "\n", "text/plain", true};
    case CallKind::kResume:
      if (!router.Resume(route.id)) return {404, "no cache server " + route.id + "\n"};
      return {200, "resumed " + route.id + "\n", "text/plain", true};
    case CallKind::kDrain:
      router.Drain();
      return {200, "draining\n", "text/plain", true};
    case CallKind::kActivate:
      router.Activate();
      return {200, "active\n", "text/plain", true};
  }
  return {500, "\n"};
}

}  // namespace brasswood
