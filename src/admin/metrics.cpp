#include "admin/metrics.h"

namespace brasswood {
namespace {

void AppendLine(std::string& out, std::string_view name, std::uint64_t value, char type) {
  out.append("router.").append(name).append(":").append(std::to_string(value)).append("|");
  out.push_back(type);
  out.push_back('\n');
}

}  // namespace

std::string FormatMetrics(const Metrics& metrics) {
  std::string out;
  for (const ClassMetrics& request_class : metrics.classes) {
    AppendLine(out, "passed." + request_class.name, request_class.passed, 'c');
    AppendLine(out, "dropped." + request_class.name, request_class.dropped, 'c');
    AppendLine(out, "bad_gateway." + request_class.name, request_class.bad_gateway, 'c');
  }
  AppendLine(out, "upstream_tries", metrics.upstream_tries, 'c');
  AppendLine(out, "in_progress", metrics.in_progress, 'g');
  AppendLine(out, "known_cache_servers", metrics.known_cache_servers, 'g');
  AppendLine(out, "skipped_cache_servers", metrics.skipped_cache_servers, 'g');
  return out;
}

}  // namespace brasswood
