#include "lab/base/scenario.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <numeric>
#include <sstream>

#include "lab/base/toml_reader.h"

namespace brasswood::lab {
namespace {

Duration Ms(double ms) { return Duration(static_cast<std::int64_t>(ms * 1e6)); }
Duration Seconds(double s) { return Ms(s * 1000); }

constexpr double kHourSeconds = 3600;

int ReadHall(TomlReader& in, std::string_view key, const Scenario& s, int fallback) {
  const std::string name = in.Text(key, fallback < 0 ? "" : s.halls[static_cast<std::size_t>(fallback)]);
  if (name.empty()) return fallback;
  const auto it = std::find(s.halls.begin(), s.halls.end(), name);
  if (it == s.halls.end()) {
    in.Complain(key, "'" + name + "' is not among the halls");
    return fallback;
  }
  return static_cast<int>(it - s.halls.begin());
}

void ReadClass(TomlReader& in, Scenario& s) {
  ClassPlan c;
  c.name = in.Text("name", "class" + std::to_string(s.classes.size()));
  c.share = in.Number("share", c.share, 0, 1e6);
  c.work_ms = in.Number("work_ms", c.work_ms, 0, 60000);
  c.work_cv = in.Number("work_cv", c.work_cv, 0, 10);
  c.aim = Ms(in.Number("aim_ms", 500, 1, 60000));
  c.give_up = Ms(in.Number("give_up_ms", 1500, 1, 60000));
  c.worth = in.Number("worth", 1, 0, 1e6);
  c.repeats = static_cast<Repeats>(in.Word("repeats", "free", {"free", "keyed", "never"}));
  c.window = Ms(in.Number("window_ms", 7500, 1, 600000));
  c.write = in.Flag("write", false);
  if (c.give_up < c.aim) in.Complain("give_up_ms", "is less than aim_ms");
  if (!c.write && c.repeats != Repeats::kFree)
    in.Complain("repeats", "only a write may be other than free");
  s.classes.push_back(c);
}

void ReadNodes(TomlReader& in, Scenario& s) {
  NodePlan n;
  n.kind = in.Text("kind", "node");
  n.hall = ReadHall(in, "hall", s, 0);
  n.count = in.Whole("count", n.count, 1, 1024);
  n.cores = in.Whole("cores", n.cores, 1, 256);
  n.speed = in.Number("speed", n.speed, 0.01, 100);
  n.waiting = in.Whole("waiting", n.waiting, 0, 1000000);
  n.memory_mb = in.Number("memory_mb", n.memory_mb, 0.01, 65536);
  n.connections = in.Whole("connections", n.connections, 1, 1000000);
  n.handshake_ms = in.Number("handshake_ms", n.handshake_ms, 0, 1000);
  n.cold_from = in.Number("cold_from", n.cold_from, 0.01, 1);
  n.ramp = Ms(in.Number("ramp_ms", 10000, 0, 600000));
  s.nodes.push_back(n);
}

void ReadFault(TomlReader& in, Scenario& s) {
  FaultPlan f;
  const std::vector<std::string_view> names(std::begin(kFaultNames), std::end(kFaultNames));
  if (!in.Has("kind")) in.Complain("kind", "is missing");
  f.kind = static_cast<FaultKind>(in.Word("kind", "hang", names));
  f.at = Seconds(in.Number("at_s", 0, 0, kHourSeconds));
  f.length = Seconds(in.Number("for_s", 1, 0, kHourSeconds));
  f.part = in.Number("part", 0, 0, 1);
  f.count = in.Whole("count", 0, 0, 10000);
  f.hall = ReadHall(in, "hall", s, -1);
  f.size = in.Number("size", 1, 0, 100000);
  f.share = in.Number("share", 1, 0, 1);
  f.batch = in.Number("batch", 0.1, 0.001, 1);
  f.drain = Ms(in.Number("drain_ms", 1500, 0, 600000));
  f.origin = in.Flag("origin", false);
  f.router_part = in.Number("router_part", 1, 0, 1);
  f.back_only = in.Word("way", "both", {"both", "back"}) == 1;
  f.delay = Ms(in.Number("delay_ms", 0, 0, 60000));
  f.jitter = Ms(in.Number("jitter_ms", 0, 0, 60000));
  f.term = in.Word("signal", "kill", {"kill", "term"}) == 1;
  f.down = Ms(in.Number("down_ms", 1000, 0, 600000));
  f.every = Ms(in.Number("every_ms", 5000, 1, 600000));
  f.kept = static_cast<KeptAs>(in.Word("kept", "kept", {std::begin(kKeptNames), std::end(kKeptNames)}));
  f.known =
      static_cast<KnownAs>(in.Word("known", "fresh", {std::begin(kKnownNames), std::end(kKnownNames)}));
  f.age = Seconds(in.Number("age_s", 0, 0, kHourSeconds));
  f.disk =
      static_cast<DiskMode>(in.Word("disk", "full", {std::begin(kDiskNames), std::end(kDiskNames)}) + 1);
  f.hold = Ms(in.Number("hold_ms", 100, 1, 150));
  f.step = Seconds(in.Number("step_s", 0, -kHourSeconds, kHourSeconds));
  const bool link =
      f.kind == FaultKind::kLinkCut || f.kind == FaultKind::kLinkSlow || f.kind == FaultKind::kLinkLossy;
  const bool on_nodes = (f.kind <= FaultKind::kReplace && !f.origin) || link ||
                        f.kind == FaultKind::kMachineDrop || f.kind == FaultKind::kCapacityDrop;
  if (f.back_only && f.kind != FaultKind::kLinkCut)
    in.Complain("way", "is valid only with kind = \"link_cut\"");
  if (f.kind == FaultKind::kLinkSlow && f.delay + f.jitter <= Duration(0)) {
    in.Complain("delay_ms", "is missing: the delay of answers is required");
  }
  const bool timed_calls = f.kind == FaultKind::kListSlow || f.kind == FaultKind::kListQueue ||
                           f.kind == FaultKind::kListLate || f.kind == FaultKind::kListPieces ||
                           f.kind == FaultKind::kListLag;
  if (timed_calls && f.delay <= Duration(0)) {
    in.Complain("delay_ms", "is missing: how long discovery takes for a call");
  }
  if (f.kind == FaultKind::kPartition && (f.size < 2 || f.size > 16)) {
    in.Complain("size", "must be between 2 and 16 groups");
  }
  const bool on_routers = f.kind == FaultKind::kKill || f.kind == FaultKind::kRestart ||
                          f.kind == FaultKind::kDisk || f.kind == FaultKind::kHeldUp ||
                          f.kind == FaultKind::kCalls || f.kind == FaultKind::kClock ||
                          f.kind == FaultKind::kReload;
  if (f.kind == FaultKind::kClock && f.step == Duration(0)) {
    in.Complain("step_s", "is missing: the error of the clock is required");
  }
  if ((f.kind == FaultKind::kDisk || f.kept != KeptAs::kKept) && !s.routers.state) {
    in.Complain("kind", "needs [routers] state = true");
  }
  if ((on_nodes || on_routers) && f.part <= 0 && f.count <= 0) {
    in.Complain("part", "is missing: give a part (a share) or a count of machines");
  }
  if (f.part > 0 && f.count > 0) in.Complain("count", "contradicts part: give only one of them");
  if (f.origin && f.kind != FaultKind::kSlow) in.Complain("origin", "is valid only with kind = \"slow\"");
  if (f.kind == FaultKind::kHallCut && f.hall < 0)
    in.Complain("hall", "is missing: the hall to cut off is required");
  if (f.at >= s.length) in.Complain("at_s", "lies behind the end of the run");
  s.faults.push_back(f);
}

void ReadLoad(TomlReader& in, Scenario& s) {
  LoadPlan& l = s.load;
  l.rate = in.Number("rate", l.rate, 0.1, 1e6);
  l.steady = in.Word("arrivals", "poisson", {"poisson", "steady"}) == 1;
  l.hall_share = in.Numbers("hall_share", std::vector<double>(s.halls.size(), 1.0), 0, 1e6);
  if (l.hall_share.size() != s.halls.size()) in.Complain("hall_share", "must have one entry for each hall");
  if (std::accumulate(l.hall_share.begin(), l.hall_share.end(), 0.0) <= 0) {
    in.Complain("hall_share", "must not be 0 for all halls");
  }
  l.keys = in.Whole("keys", l.keys, 1, 10000000);
  l.zipf = in.Number("zipf", l.zipf, 0, 4);
  l.zipf_offset = in.Number("zipf_offset", l.zipf_offset, 0, 1e6);
  l.drift = in.Number("drift_per_s", 0, 0, 1e6);
  l.size_bytes = in.Number("size_bytes", l.size_bytes, 64, 60000);
  l.size_cv = in.Number("size_cv", l.size_cv, 0, 10);
  l.clients = in.Whole("clients", l.clients, 1, 100000);
  l.sources = in.Whole("sources", l.sources, 1, 200);
  l.pool = static_cast<Pool>(in.Word("pool", "keep", {"keep", "drop", "hoard"}));
  l.client_idle = Ms(in.Number("client_idle_ms", 3000, 1, 600000));
  l.retries = in.Whole("retries", l.retries, 0, 20);
  l.backoff = Ms(in.Number("backoff_ms", 50, 0, 60000));
  l.honour = in.Number("honour", l.honour, 0, 1);
  l.try_share = in.Number("try_share", l.try_share, 0.05, 1);
  l.notice = Ms(in.Number("notice_ms", 1000, 1, 60000));
  l.busy_part = in.Number("busy_part", l.busy_part, 0, 1);
  l.busy_times = in.Number("busy_times", l.busy_times, 1, 1000);
  l.late_limit = Ms(in.Number("late_limit_ms", 20, 0.01, 60000));
}

void ReadRules(TomlReader& in, Scenario& s) {
  RulePlan& r = s.rules;
  r.drain_grace = Ms(in.Number("drain_grace_ms", 1000, 0, 60000));
  r.answer_slack = Ms(in.Number("answer_slack_ms", 20, 0, 60000));
  r.cold_from = in.Number("cold_from", r.cold_from, 0.01, 1);
  r.ramp = Ms(in.Number("ramp_ms", 10000, 0, 600000));
  r.fall_multiple = in.Number("fall_multiple", r.fall_multiple, 0, 1000);
  r.fall = Ms(in.Number("fall_ms", 2000, 1, 60000));
  r.max_attempts = in.Whole("max_attempts", r.max_attempts, 1, 100);
  r.max_retry_after = Ms(in.Number("max_retry_after_ms", 2000, 0, 60000));
  r.cross_price = in.Number("cross_price", r.cross_price, 0, 10);
  for (const NodePlan& n : s.nodes) {
    if (n.cold_from < r.cold_from)
      in.Complain("cold_from", "is greater than cold_from of the nodes of kind " + n.kind);
    if (n.ramp > r.ramp) in.Complain("ramp_ms", "is less than ramp_ms of the nodes of kind " + n.kind);
  }
}

Scenario Read(const toml::table& table, Problems& problems) {
  Scenario s;
  TomlReader in(&table, "", problems);
  s.name = in.Text("name", "unnamed");
  s.about = in.Text("about", "");
  s.seed = static_cast<std::uint64_t>(in.Whole("seed", 1, 0, 2147483647));
  s.length = Seconds(in.Number("length_s", 20, 0.5, kHourSeconds));
  s.warm_up = Seconds(in.Number("warm_up_s", 3, 0, kHourSeconds));
  if (s.warm_up >= s.length) in.Complain("warm_up_s", "is not less than length_s");
  s.halls = in.Texts("halls", {"hall"});
  if (s.halls.empty() || s.halls.size() > 8) {
    in.Complain("halls", "must name between 1 and 8 halls");
    s.halls = {"hall"};
  }
  in.EachTable("class", [&](TomlReader& t) { ReadClass(t, s); });
  if (s.classes.empty()) in.Complain("class", "is missing: at least one [[class]] is required");
  in.EachTable("tenant", [&](TomlReader& t) {
    TenantPlan p;
    p.name = t.Text("name", "tenant" + std::to_string(s.tenants.size()));
    p.share = t.Number("share", 1, 0, 1e6);
    s.tenants.push_back(p);
  });
  if (s.tenants.empty()) s.tenants.push_back({"all", 1});
  in.EachTable("nodes", [&](TomlReader& t) { ReadNodes(t, s); });
  if (s.nodes.empty()) in.Complain("nodes", "is missing: at least one [[nodes]] is required");
  TomlReader origin = in.Table("origin");
  OriginPlan& o = s.origin;
  o.cores = origin.Whole("cores", o.cores, 1, 1024);
  o.work_ms = origin.Number("work_ms", o.work_ms, 0, 60000);
  o.write_times = origin.Number("write_times", o.write_times, 0, 100);
  o.work_cv = origin.Number("work_cv", o.work_cv, 0, 10);
  o.waiting = origin.Whole("waiting", o.waiting, 0, 1000000);
  o.fall_multiple = origin.Number("fall_multiple", o.fall_multiple, 0, 1000);
  o.fall = Ms(origin.Number("fall_ms", 3000, 1, 60000));
  o.down = Ms(origin.Number("down_ms", 4000, 1, 60000));
  origin.Finish();
  TomlReader discovery = in.Table("discovery");
  s.discovery.late = Ms(discovery.Number("late_ms", 300, 0, 60000));
  s.discovery.calls = discovery.Number("calls_per_s", 0, 0, 1e6);
  s.discovery.pushed = discovery.Flag("pushed", false);
  s.discovery.states_size = discovery.Word("weights", "nominal", {"none", "nominal"}) == 1;
  discovery.Finish();
  TomlReader routers = in.Table("routers");
  s.routers.per_hall = routers.Whole("per_hall", s.routers.per_hall, 1, 512);
  if (s.halls.size() * static_cast<std::size_t>(s.routers.per_hall) > 512) {
    routers.Complain("per_hall", "makes more than 512 routers in all");
  }
  s.routers.memory_mb = routers.Number("memory_mb", s.routers.memory_mb, 16, 65536);
  s.routers.state = routers.Flag("state", false);
  s.routers.state_every = Ms(routers.Number("state_every_ms", 2000, 100, 600000));
  s.routers.sockets = routers.Whole("sockets", s.routers.sockets, 64, 1000000);
  routers.Finish();
  TomlReader load = in.Table("load");
  ReadLoad(load, s);
  load.Finish();
  in.EachTable("fault", [&](TomlReader& t) { ReadFault(t, s); });
  TomlReader rules = in.Table("rules");
  ReadRules(rules, s);
  rules.Finish();
  TomlReader expect = in.Table("expect");
  s.expect.in_time = expect.Number("in_time", 0, 0, 1);
  s.expect.recovered_s = expect.Number("recovered_s", 0, 0, kHourSeconds);
  expect.Finish();
  in.Finish();
  return s;
}

// Applies a change of the form "a.b=value" to the table. This guards against a misspelt key, with which a
// study would compare two identical scenarios: the changed table goes through the same checks as a file, so
// an unknown key is an error.
void Override(toml::table& table, const std::string& change) {
  const std::size_t equals = change.find('=');
  if (equals == change.npos || equals == 0) {
    throw BadScenario("'" + change + "' is not of the form key=value");
  }
  toml::table value;
  try {
    value = toml::parse("value = " + change.substr(equals + 1));
  } catch (const toml::parse_error& e) {
    throw BadScenario("'" + change + "': " + std::string(e.description()));
  }
  toml::table* at = &table;
  std::string path = change.substr(0, equals);
  for (std::size_t dot = path.find('.'); dot != path.npos; dot = path.find('.')) {
    const std::string head = path.substr(0, dot);
    path.erase(0, dot + 1);
    toml::node* next = at->get(head);
    // After the name of an array of tables comes an index into it.
    if (next != nullptr && next->is_array_of_tables()) {
      const std::size_t end = std::min(path.find('.'), path.size());
      const std::size_t n = std::strtoul(path.substr(0, end).c_str(), nullptr, 10);
      if (n >= next->as_array()->size()) throw BadScenario("'" + change + "': there are not so many");
      next = next->as_array()->get(n);
      path.erase(0, std::min(end + 1, path.size()));
    }
    if (next == nullptr) next = &at->insert(head, toml::table{}).first->second;
    if (!next->is_table()) throw BadScenario("'" + change + "': " + head + " is not a table");
    at = next->as_table();
  }
  at->insert_or_assign(path, *value.get("value"));
}

// Merges `over` into `under`. Values of `over` take precedence; tables are merged recursively, all other
// values are replaced as a whole.
void Merge(toml::table& under, toml::table&& over) {
  for (auto&& [key, node] : over) {
    toml::table* both = under.get(key) == nullptr ? nullptr : under.get(key)->as_table();
    if (both != nullptr && node.is_table()) {
      Merge(*both, std::move(*node.as_table()));
      continue;
    }
    // Moved, not copied: a copy would lose its line number, which error messages need.
    node.visit([&, name = std::string(key.str())](auto&& value) {
      under.insert_or_assign(name, std::move(value));
    });
  }
}

constexpr int kMaxBaseDepth = 4;

toml::table Parse(std::string_view text, const std::string& file, int depth) {
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    std::ostringstream line;
    line << file << ":" << e.source().begin.line << ":" << e.source().begin.column << ": "
         << e.description();
    throw BadScenario(line.str());
  }
  const auto base = table["base"].value<std::string>();
  if (!base) return table;
  if (depth == kMaxBaseDepth) throw BadScenario(file + ": base: the chain of base files is too long");
  const std::string path = (std::filesystem::path(file).parent_path() / *base).string();
  std::ifstream in(path);
  if (!in) throw BadScenario(file + ": base: " + path + " cannot be read");
  toml::table under = Parse(std::string(std::istreambuf_iterator<char>(in), {}), path, depth + 1);
  table.erase("base");
  Merge(under, std::move(table));
  return under;
}

}  // namespace

Scenario ReadScenario(std::string_view text, const std::string& file, const Overrides& overrides) {
  Problems problems;
  problems.file = file;
  toml::table table = Parse(text, file, 0);
  for (const std::string& change : overrides) Override(table, change);
  Scenario s = Read(table, problems);
  if (problems.lines.empty()) return s;
  std::string all;
  for (const std::string& line : problems.lines) all += (all.empty() ? "" : "\n") + line;
  throw BadScenario(all);
}

Scenario LoadScenario(const std::string& file, const Overrides& overrides) {
  std::ifstream in(file);
  if (!in) throw BadScenario(file + ": cannot be read");
  return ReadScenario(std::string(std::istreambuf_iterator<char>(in), {}), file, overrides);
}

}  // namespace brasswood::lab
