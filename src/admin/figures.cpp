#include "admin/figures.h"

namespace brasswood {
namespace {

void Line(std::string& out, std::string_view name, std::uint64_t value, char type) {
  out.append("router.").append(name).append(":").append(std::to_string(value)).append("|");
  out.push_back(type);
  out.push_back('\n');
}

}  // namespace

std::string Render(const Figures& f) {
  std::string out;
  for (const ClassFigures& c : f.classes) {
    Line(out, "passed." + c.name, c.passed, 'c');
    Line(out, "dropped." + c.name, c.dropped, 'c');
    Line(out, "bad_gateway." + c.name, c.bad_gateway, 'c');
  }
  Line(out, "upstream_tries", f.upstream_tries, 'c');
  Line(out, "in_progress", f.in_progress, 'g');
  Line(out, "known_cache_servers", f.known_cache_servers, 'g');
  Line(out, "skipped_cache_servers", f.skipped_cache_servers, 'g');
  return out;
}

}  // namespace brasswood
