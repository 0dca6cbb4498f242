#include "lab/report/write.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <cstdio>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace brasswood::lab {
namespace {

constexpr std::size_t kMaxStories = 50;

using Writer = rapidjson::PrettyWriter<rapidjson::StringBuffer>;

class JsonWriter {
 public:
  explicit JsonWriter(Writer& w) : w_(w) {}
  void Put(const char* key, double v) {
    w_.Key(key);
    w_.Double(v);
  }
  void Put(const char* key, std::uint64_t v) {
    w_.Key(key);
    w_.Uint64(v);
  }
  void Put(const char* key, bool v) {
    w_.Key(key);
    w_.Bool(v);
  }
  void Put(const char* key, const std::string& v) {
    w_.Key(key);
    w_.String(v.c_str());
  }
  template <class F>
  void Object(const char* key, F fill) {
    if (key != nullptr) w_.Key(key);
    w_.StartObject();
    fill();
    w_.EndObject();
  }
  template <class Items, class F>
  void Array(const char* key, const Items& items, F each) {
    w_.Key(key);
    w_.StartArray();
    for (const auto& item : items) Object(nullptr, [&] { each(item); });
    w_.EndArray();
  }
  void Texts(const char* key, const std::vector<std::string>& texts) {
    w_.Key(key);
    w_.StartArray();
    for (const std::string& t : texts) w_.String(t.c_str());
    w_.EndArray();
  }

 private:
  Writer& w_;
};

void PutEndings(JsonWriter& j, const std::uint64_t (&endings)[kEndingCount]) {
  j.Object("endings", [&] {
    for (std::size_t i = 0; i < kEndingCount; ++i) j.Put(std::string(kEndingNames[i]).c_str(), endings[i]);
  });
}

void PutLatency(JsonWriter& j, const LatencyFigures& l) {
  j.Object("latency_ms", [&] {
    j.Put("count", l.count);
    j.Put("p50", l.p50);
    j.Put("p90", l.p90);
    j.Put("p99", l.p99);
    j.Put("p999", l.p999);
  });
}

void PutClass(JsonWriter& j, const ClassFigures& c) {
  j.Put("name", c.name);
  j.Put("asked", c.asked);
  PutEndings(j, c.endings);
  PutLatency(j, c.latency);
}

}  // namespace

std::vector<std::string> UnmetExpectations(const Outcome& outcome, const Figures& f) {
  const ExpectPlan& e = outcome.record.scenario.expect;
  std::vector<std::string> all;
  std::ostringstream text;
  text << std::setprecision(4);
  if (f.all.in_time() < e.in_time) {
    text << "in time " << f.all.in_time() << ", expected at least " << e.in_time;
    all.push_back(text.str());
  }
  for (const FaultFigures& fault : f.faults) {
    if (e.recovered_s <= 0 || (fault.recovered_after_s >= 0 && fault.recovered_after_s <= e.recovered_s))
      continue;
    all.push_back(fault.kind + ": not recovered within " + std::to_string(e.recovered_s) +
                  " s after its end");
  }
  return all;
}

Verdict DecideVerdict(const Outcome& outcome, const Figures& figures) {
  if (!outcome.violations.empty() || !outcome.troubles.empty()) return Verdict::kFailed;
  if (outcome.partial) return Verdict::kPartial;
  if (!outcome.void_because.empty()) return Verdict::kVoid;
  return UnmetExpectations(outcome, figures).empty() ? Verdict::kPassed : Verdict::kFailed;
}

std::string_view VerdictName(Verdict verdict) {
  static constexpr std::string_view kNames[] = {"passed", "failed", "void", "partial"};
  return kNames[static_cast<std::size_t>(verdict)];
}

std::string ResultJson(const Outcome& outcome, const Figures& f) {
  rapidjson::StringBuffer text;
  Writer w(text);
  w.SetIndent(' ', 1);
  JsonWriter j(w);
  const Scenario& s = outcome.record.scenario;
  j.Object(nullptr, [&] {
    j.Put("version", std::uint64_t{kResultVersion});
    j.Put("scenario", s.name);
    j.Put("seed", s.seed);
    j.Put("verdict", std::string(VerdictName(DecideVerdict(outcome, f))));
    j.Texts("void_because", outcome.void_because);
    j.Texts("troubles", outcome.troubles);
    j.Texts("unmet", UnmetExpectations(outcome, f));
    j.Array("breaches", outcome.violations, [&](const Violation& b) {
      j.Put("rule", std::string(kRuleNames[static_cast<std::size_t>(b.rule)]));
      j.Put("request", FormatId(b.request));
      j.Put("at_s", static_cast<double>((b.at - outcome.record.start).count()) / 1e9);
      j.Put("what", b.what);
    });
    j.Put("length_s", f.length_s);
    j.Object("metrics", [&] {
      for (const Metric& m : Metrics(f)) j.Put(m.name.c_str(), m.value);
    });
    j.Object("all", [&] { PutClass(j, f.all); });
    j.Array("classes", f.classes, [&](const ClassFigures& c) { PutClass(j, c); });
    j.Array("tenants", f.tenants, [&](const ClassFigures& c) { PutClass(j, c); });
    j.Array("halls", f.halls, [&](const ClassFigures& c) { PutClass(j, c); });
    j.Array("faults", f.faults, [&](const FaultFigures& x) {
      j.Put("kind", x.kind);
      j.Put("from_s", x.from_s);
      j.Put("until_s", x.until_s);
      j.Put("before", x.before);
      j.Put("lowest", x.lowest);
      j.Put("recovered_s", x.recovered_s);
      j.Put("recovered_after_s", x.recovered_after_s);
      j.Put("lost", x.lost);
      j.Put("extra_fetches", x.extra_fetches);
      j.Object("service", [&] {
        j.Put("full_s", x.service.full);
        for (std::size_t i = 0; i < kServiceNameCount; ++i) {
          j.Put((std::string(kServiceNames[i]) + "_s").c_str(), x.service.back[i]);
        }
        j.Put("slowest_router_s", x.service.slowest_router);
        j.Put("lists_per_s", x.service.lists_per_s);
        j.Put("connections_busiest", x.service.connections);
        j.Put("fetches_out", static_cast<std::uint64_t>(x.service.fetches_out));
        j.Put("again_per_s", x.service.again_per_s);
      });
    });
    j.Array("nodes", f.nodes, [&](const NodeFigures& n) {
      j.Put("uid", n.uid);
      j.Put("hall", n.hall);
      j.Put("cold_start", n.cold_start);
      j.Put("attempts", n.attempts);
      j.Put("hits", n.hits);
      j.Put("misses", n.misses);
      j.Put("turned_away", n.turned_away);
      j.Put("load", n.load);
    });
    j.Object("spread", [&] {
      j.Put("busiest", f.spread.busiest);
      j.Put("idlest", f.spread.idlest);
      j.Put("variation", f.spread.variation);
      j.Put("jain", f.spread.jain);
      j.Put("idle_s", f.spread.idle_s);
      j.Put("herd", f.spread.herd);
    });
    j.Array("routers", f.routers, [&](const RouterFigures& r) {
      j.Put("cpu_share", r.cpu_share);
      j.Put("memory_mb", r.memory_mb);
      j.Put("descriptors", static_cast<std::uint64_t>(r.descriptors));
    });
    j.Array("bins", f.bins, [&](const Bin& b) {
      j.Put("at_s", b.at_s);
      j.Put("asked", b.asked);
      PutEndings(j, b.endings);
      PutLatency(j, b.latency);
      j.Put("origin_load", b.origin_load);
      j.Put("fetches", b.fetches);
      j.Put("attempts", b.attempts);
      j.Put("tries", b.tries);
    });
    j.Object("laboratory", [&] {
      const RunRecord& t = outcome.record;
      j.Put("schedule_late_p999_ms", static_cast<double>(t.load.late_p999.count()) / 1e6);
      j.Put("schedule_late_max_ms", static_cast<double>(t.load.late_max.count()) / 1e6);
      j.Put("emulator_lag_max_ms", static_cast<double>(t.world.max_lag.count()) / 1e6);
      j.Put("routers_ready_s", f.ready_s);
      j.Put("emulator_late", t.world.late_ticks);
      j.Put("emulator_cpu_s", static_cast<double>(t.world.cpu.count()) / 1e9);
      j.Put("load_cpu_s", static_cast<double>(t.load.cpu.count()) / 1e9);
      j.Put("connections", t.load.connections);
      j.Put("flood_connections", t.load.flood_connections);
    });
  });
  return text.GetString();
}

std::string Summary(const Outcome& outcome, const Figures& f) {
  std::ostringstream out;
  out << std::fixed;
  const Scenario& s = outcome.record.scenario;
  out << s.name << ": " << VerdictName(DecideVerdict(outcome, f)) << "\n";
  for (const std::string& why : outcome.void_because) out << "  void: " << why << "\n";
  for (const std::string& what : outcome.troubles) out << "  trouble: " << what << "\n";
  for (const std::string& what : UnmetExpectations(outcome, f)) out << "  unmet: " << what << "\n";
  out << std::setprecision(1) << "  " << f.asked << " requests in " << f.length_s << " s\n";
  out << std::left << std::setw(20) << "  class" << std::right << std::setw(8) << "asked";
  for (const auto name : kEndingNames) out << std::setw(12) << name;
  out << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(12) << "p99.9 ms"
      << "\n";
  const auto row = [&](const ClassFigures& c) {
    out << "  " << std::left << std::setw(18) << c.name << std::right << std::setw(8) << c.asked;
    for (const std::uint64_t n : c.endings) {
      out << std::setw(11) << std::setprecision(2)
          << (c.asked == 0 ? 0 : 100 * static_cast<double>(n) / static_cast<double>(c.asked)) << "%";
    }
    out << std::setprecision(1) << std::setw(10) << c.latency.p50 << std::setw(10) << c.latency.p99
        << std::setw(12) << c.latency.p999 << "\n";
  };
  for (const ClassFigures& c : f.classes) row(c);
  row(f.all);
  out << std::setprecision(3) << "  hits " << f.hit_share << ", attempts per request "
      << f.attempts_per_request << ", tries per request " << f.tries_per_request << ", fetches per request "
      << f.fetches_per_request << ", to other zones " << f.cross_zone_share
      << "\n  connections per request " << f.connections_per_request
      << ", on connections closed while idle " << f.closed_idle_share << "\n"
      << "  origin load at most " << f.origin_peak << " of its capacity, failed " << f.origin_falls
      << " times; router CPU " << std::setprecision(0) << f.cpu_us_per_request << " us per request\n";
  out << std::setprecision(2) << "  utilisation of cache servers: busiest " << f.spread.busiest
      << ", idlest " << f.spread.idlest << " of the mean, variation " << std::setprecision(3)
      << f.spread.variation << ", Jain " << f.spread.jain << ", idle while another is busy "
      << std::setprecision(0) << f.spread.idle_s << " s, herd " << std::setprecision(1) << f.spread.herd
      << "\n"
      << "  laboratory: " << f.routers.size() << " routers ready in " << std::setprecision(2) << f.ready_s
      << " s, emulator " << static_cast<double>(outcome.record.world.cpu.count()) / 1e9 << " s and load "
      << static_cast<double>(outcome.record.load.cpu.count()) / 1e9
      << " s of their cores, emulator at most " << FormatMs(outcome.record.world.max_lag) << " late\n";
  for (const FaultFigures& x : f.faults) {
    out << "  " << x.kind << " from " << x.from_s << " to " << x.until_s << " s: in time " << x.before
        << " before, " << x.lowest << " in the worst second; ";
    if (x.recovered_s < 0) {
      out << "not recovered";
    } else {
      out << "recovered " << x.recovered_s << " s after its start, " << x.recovered_after_s
          << " s after its end";
    }
    out << "; lost " << x.lost << " requests, " << x.extra_fetches << " extra fetches\n    full service ";
    const auto put_seconds = [&](double after) {
      if (after < 0) {
        out << "never";
      } else {
        out << after << " s";
      }
    };
    put_seconds(x.service.full);
    out << " after its end (";
    for (std::size_t i = 0; i < kServiceNameCount; ++i) {
      out << (i == 0 ? "" : ", ") << kServiceNames[i] << ' ';
      put_seconds(x.service.back[i]);
    }
    out << "), slowest router " << x.service.slowest_router << " s; at most " << x.service.lists_per_s
        << " list calls and " << x.service.again_per_s << " repeated attempts per second, "
        << x.service.fetches_out << " concurrent fetches, new connections of the busiest server "
        << x.service.connections << " of the mean\n";
  }
  out << "  rules: ";
  if (outcome.violations.empty()) {
    out << "all kept\n";
  } else {
    out << outcome.violations.size() << " violations; the first:\n"
        << DescribeViolation(outcome.record, outcome.violations[0]);
  }
  return out.str();
}

namespace {

void WriteFile(const std::string& path, const std::string& text) {
  {
    std::ofstream out(path + ".part", std::ios::trunc | std::ios::binary);
    out << text;
    if (!out.flush()) throw std::runtime_error(path + ": cannot be written");
  }
  if (std::rename((path + ".part").c_str(), path.c_str()) != 0) {
    throw std::runtime_error(path + ": cannot be written");
  }
}

}  // namespace

void WriteAll(const std::string& folder, const Outcome& outcome, const Figures& figures) {
  WriteFile(folder + "/result.json", ResultJson(outcome, figures));
  WriteFile(folder + "/report.html", ReportHtml(outcome, figures));
  WriteFile(folder + "/summary.txt", Summary(outcome, figures));
  if (outcome.violations.empty()) return;
  std::string stories;
  for (std::size_t i = 0; i < outcome.violations.size() && i < kMaxStories; ++i) {
    stories += DescribeViolation(outcome.record, outcome.violations[i]) + "\n";
  }
  WriteFile(folder + "/stories.txt", stories);
}

}  // namespace brasswood::lab
