#include "link.h"

#include <simdjson.h>

#include <algorithm>
#include <cinttypes>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "beechledge/balancer.h"
#include "config/settings.h"

namespace beechledge::benchlink {
namespace {

namespace dom = simdjson::dom;

// Thrown for a field that is missing or of the wrong type; Feed adds the line number.
struct Expected {
  std::string what;
};

[[noreturn]] void ThrowExpected(std::string_view event, std::string_view field, std::string_view kind) {
  throw Expected{std::string(event) + " with " + std::string(field) + " as " + std::string(kind)};
}

// ---- Reading fields. An absent or null field takes its default; if it is required, this is an error. ----

std::optional<dom::element> Find(dom::object o, std::string_view name) {
  dom::element e;
  if (o.at_key(name).get(e) != simdjson::SUCCESS || e.is_null()) return std::nullopt;
  return e;
}

// An integer, also if written with a decimal point; values beyond 64 bits are clamped.
std::optional<std::int64_t> AsInt(dom::element e) {
  std::int64_t i = 0;
  std::uint64_t u = 0;
  double d = 0;
  if (e.get(i) == simdjson::SUCCESS) return i;
  if (e.get(u) == simdjson::SUCCESS) return INT64_MAX;
  if (e.get(d) == simdjson::SUCCESS && d == std::floor(d)) {
    if (d >= 9.2e18) return INT64_MAX;
    if (d <= -9.2e18) return INT64_MIN;
    return static_cast<std::int64_t>(d);
  }
  return std::nullopt;
}

std::optional<double> AsDouble(dom::element e) {
  double d = 0;
  if (e.get(d) == simdjson::SUCCESS) return d;
  return std::nullopt;
}

std::optional<std::string_view> AsText(dom::element e) {
  std::string_view s;
  if (e.get(s) == simdjson::SUCCESS) return s;
  return std::nullopt;
}

std::optional<bool> AsBool(dom::element e) {
  bool b = false;
  if (e.get(b) == simdjson::SUCCESS) return b;
  return std::nullopt;
}

// The event being read: its name, for error messages, and its fields.
struct Fields {
  std::string_view event;
  dom::object o;

  template <class T, class F>
  std::optional<T> Optional(std::string_view name, std::string_view kind, F as) const {
    const auto e = Find(o, name);
    if (!e) return std::nullopt;
    const std::optional<T> value = as(*e);
    if (!value) ThrowExpected(event, name, kind);
    return value;
  }
  template <class T, class F>
  T Required(std::string_view name, std::string_view kind, F as) const {
    const auto value = Optional<T>(name, kind, as);
    if (!value) ThrowExpected(event, name, kind);
    return *value;
  }
  std::int64_t Int(std::string_view name) const {
    return Required<std::int64_t>(name, "an integer", AsInt);
  }
  std::optional<std::int64_t> MaybeInt(std::string_view name) const {
    return Optional<std::int64_t>(name, "an integer", AsInt);
  }
  std::optional<double> MaybeDouble(std::string_view name) const {
    return Optional<double>(name, "a number", AsDouble);
  }
  std::string_view Text(std::string_view name) const {
    return Required<std::string_view>(name, "a string", AsText);
  }
  std::optional<std::string_view> MaybeText(std::string_view name) const {
    return Optional<std::string_view>(name, "a string", AsText);
  }
  bool Flag(std::string_view name) const {
    return Optional<bool>(name, "true or false", AsBool).value_or(false);
  }
  std::uint64_t Token(std::string_view name) const {
    const auto e = Find(o, name);
    std::uint64_t u = 0;
    if (!e || e->get(u) != simdjson::SUCCESS) ThrowExpected(event, name, "a whole number");
    return u;
  }
};

std::optional<Result> ReadResult(std::int64_t code) {
  switch (code) {
    case 10:
      return Result::kOk;
    case 20:
      return Result::kError;
    case 30:
      return Result::kRejected;
    case 40:
      return Result::kTimeout;
    case 50:
      return Result::kConnectFailed;
    case 60:
      return Result::kReset;
    case 70:
      return Result::kCancelled;
    case 80:
      return Result::kObsolete;
    case 90:
      return Result::kMiss;
    default:
      return std::nullopt;
  }
}

Result RequiredResult(const Fields& f) {
  const auto result = ReadResult(f.Int("reason"));
  if (!result) ThrowExpected(f.event, "reason", "a known outcome");
  return *result;
}

std::optional<LoadReport> ReadReport(const Fields& f) {
  const auto e = Find(f.o, "metrics");
  if (!e) return std::nullopt;
  dom::object o;
  if (e->get(o) != simdjson::SUCCESS) ThrowExpected(f.event, "metrics", "an object");
  LoadReport r;
  const auto get = [&](std::string_view name, std::optional<double>& to) {
    if (const auto v = Find(o, name)) to = AsDouble(*v);
  };
  get("inflight", r.inflight);
  get("queue", r.queue);
  get("util", r.util);
  get("latency_ms", r.latency_ms);
  get("qps", r.qps);
  get("eps", r.eps);
  get("x0", r.x0);
  get("x1", r.x1);
  return r;
}

// ---- Writing ----

void AppendText(std::string& out, std::string_view text) {
  out += '"';
  for (const char ch : text) {
    const auto c = static_cast<unsigned char>(ch);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += ch;
    } else if (c < 0x20) {
      char hex[8];
      std::snprintf(hex, sizeof hex, "\\u%04x", c);
      out += hex;
    } else {
      out += ch;
    }
  }
  out += '"';
}

void AppendField(std::string& out, std::string_view name, std::string_view text) {
  out += ",\"";
  out += name;
  out += "\":";
  AppendText(out, text);
}

template <class Int>
void AppendNumber(std::string& out, std::string_view name, Int value) {
  out += ",\"";
  out += name;
  out += "\":";
  out += std::to_string(value);
}

// ---- One instance: its decision module, and the maps between the bench's ids and the module's ----

struct OpenRequest {
  std::string id;
  int outstanding = 0;  // attempts without an outcome
  bool ended = false;   // its final answer is known
};

class Instance {
 public:
  Instance(const Settings& settings, std::uint64_t seed) : balancer_(settings, seed) {}

  std::size_t open_requests() const { return requests_.size(); }

  void Handle(std::int64_t who, Time now, std::string_view name, const Fields& f, std::string& reply) {
    actions_.clear();
    RequestId ended_by_event = 0;
    const std::optional<Event> event = Read(name, f, ended_by_event);
    if (!event) return;
    try {
      balancer_.Handle(now, *event, actions_);
    } catch (const std::exception& e) {
      BeginMessage(reply, "EXCEPTION", who);
      AppendField(reply, "message", e.what());
      reply += "}}\n";
      return;
    }
    for (const Action& action : actions_) std::visit([&](const auto& a) { Write(who, a, reply); }, action);
    EraseIfDone(ended_by_event);
  }

 private:
  std::optional<Event> Read(std::string_view name, const Fields& f, RequestId& request_id) {
    if (name == "ASK") return ReadAsk(f);
    if (name == "RESULT") return ReadOutcome(f, request_id);
    if (name == "FIRED") return TimerFired{f.Token("ref")};
    if (name == "BACKENDS_CHANGED") return ReadList(f);
    if (name == "CLIENT_GONE") {
      const auto it = ids_by_text_.find(std::string(f.Text("req")));
      if (it == ids_by_text_.end()) return std::nullopt;
      request_id = it->second;
      requests_.at(request_id).ended = true;
      return ClientGone{request_id};
    }
    if (name == "HEAD_RECEIVED") {
      const auto it = ids_by_text_.find(std::string(f.Text("req")));
      const FirstByte first{it == ids_by_text_.end() ? 0 : it->second, ServerIdOf(f.Text("node")),
                            static_cast<int>(f.Int("seq_no")), Duration(f.Int("duration"))};
      if (first.id == 0) return std::nullopt;
      return first;
    }
    if (name == "PONG") {
      return ProbeResult{ServerIdOf(f.Text("node")), RequiredResult(f), Duration(f.Int("duration")),
                         ReadReport(f)};
    }
    return PeerMessage{static_cast<int>(f.Int("src_peer")), std::string(f.Text("raw"))};
  }

  std::optional<Event> ReadAsk(const Fields& f) {
    NewRequest r;
    const std::string text(f.Text("req"));
    r.request_class = static_cast<int>(f.Int("band"));
    r.tenant = static_cast<int>(f.MaybeInt("org").value_or(0));
    if (const auto key = f.MaybeText("item")) r.key = std::string(*key);
    r.ttl = Duration(f.Int("ttl"));
    if (const auto hint = f.MaybeInt("predicted")) r.work_hint = Duration(*hint);
    r.size_hint = f.MaybeDouble("bytes_hint");
    r.repeat = f.Flag("repeat");
    r.write = f.Flag("update");
    if (ids_by_text_.contains(text)) return std::nullopt;  // request ids are never repeated
    r.id = ++last_id_;
    ids_by_text_.emplace(text, r.id);
    requests_.emplace(r.id, OpenRequest{text});
    return r;
  }

  std::optional<Event> ReadOutcome(const Fields& f, RequestId& request_id) {
    Outcome o;
    const std::string text(f.Text("req"));
    o.server = ServerIdOf(f.Text("node"));
    o.complete = f.Flag("complete");
    o.attempt = static_cast<int>(f.Int("seq_no"));
    o.latency = Duration(f.Int("duration"));
    o.result = RequiredResult(f);
    const std::int64_t note = f.MaybeInt("info").value_or(0);
    o.note = note >= 1 && note <= 3 ? static_cast<Note>(note) : Note::kNone;
    o.report = ReadReport(f);
    const auto it = ids_by_text_.find(text);
    if (it == ids_by_text_.end()) return std::nullopt;
    o.id = request_id = it->second;
    OpenRequest& request = requests_.at(request_id);
    if (request.outstanding > 0) --request.outstanding;
    if (o.complete) request.ended = true;
    return o;
  }

  std::optional<Event> ReadList(const Fields& f) {
    ServerList list;
    const std::string_view how = f.Text("how");
    if (how == "changes")
      list.kind = ListKind::kChanges;
    else if (how == "all")
      list.kind = ListKind::kAll;
    else if (how == "remembered")
      list.kind = ListKind::kPersisted;
    else if (how == "refused")
      list.kind = ListKind::kRefused;
    else
      ThrowExpected(f.event, "how", "changes, all, remembered or refused");
    const auto members = Find(f.o, "members");
    if (!members) {
      if (list.kind != ListKind::kRefused) ThrowExpected(f.event, "members", "an array");
      return list;
    }
    dom::array entries;
    if (members->get(entries) != simdjson::SUCCESS) ThrowExpected(f.event, "members", "an array");
    for (dom::element item : entries) {
      dom::object o;
      if (item.get(o) != simdjson::SUCCESS) ThrowExpected(f.event, "members", "an array of objects");
      const Fields m{f.event, o};
      ServerEntry e;
      e.name = m.Text("node");
      e.id = ServerIdOf(e.name);
      e.zone = static_cast<int>(m.MaybeInt("az").value_or(0));
      e.kind = static_cast<int>(m.MaybeInt("family_type").value_or(0));
      e.cell = static_cast<int>(m.MaybeInt("pod").value_or(0));
      const std::string_view state = m.Text("availability");
      if (state == "up")
        e.availability = Availability::kUp;
      else if (state == "draining")
        e.availability = Availability::kDraining;
      else if (state == "removed")
        e.availability = Availability::kRemoved;
      else
        ThrowExpected(f.event, "availability", "up, draining or removed");
      e.scale = m.MaybeDouble("scale").value_or(1);
      e.started = Time(m.MaybeInt("started_at").value_or(0));
      list.entries.push_back(std::move(e));
    }
    return list;
  }

  ServerId ServerIdOf(std::string_view name) {
    const auto [it, fresh] = servers_.emplace(std::string(name), static_cast<ServerId>(names_.size()));
    if (fresh) names_.push_back(it->first);
    return it->second;
  }

  void BeginMessage(std::string& out, std::string_view name, std::int64_t who) {
    out += "{\"";
    out += name;
    out += "\":{\"who\":";
    out += std::to_string(who);
  }

  void MarkEnded(RequestId id) {
    const auto it = requests_.find(id);
    if (it != requests_.end()) it->second.ended = true;
    EraseIfDone(id);
  }

  // Erases a request that has ended once all of its attempts have an outcome.
  void EraseIfDone(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.ended || it->second.outstanding > 0) return;
    ids_by_text_.erase(it->second.id);
    requests_.erase(it);
  }

  std::string_view Text(RequestId id) const { return requests_.at(id).id; }

  void Write(std::int64_t who, const Send& a, std::string& out) {
    BeginMessage(out, "ROUTE", who);
    OpenRequest& request = requests_.at(a.id);
    ++request.outstanding;
    AppendField(out, "req", request.id);
    AppendField(out, "node", names_.at(a.server));
    if (a.timeout.count() > 0) AppendNumber(out, "within", a.timeout.count());
    out += "}}\n";
  }
  void Write(std::int64_t who, const Refuse& a, std::string& out) {
    BeginMessage(out, "SHED", who);
    AppendField(out, "req", Text(a.id));
    if (a.retry_after.count() > 0) AppendNumber(out, "hold_off", a.retry_after.count());
    out += "}}\n";
    MarkEnded(a.id);
  }
  void Write(std::int64_t who, const Fail& a, std::string& out) {
    BeginMessage(out, "LOSE", who);
    AppendField(out, "req", Text(a.id));
    out += "}}\n";
    MarkEnded(a.id);
  }
  void Write(std::int64_t who, const Cancel& a, std::string& out) {
    BeginMessage(out, "RECALL", who);
    AppendField(out, "req", Text(a.id));
    AppendNumber(out, "seq_no", a.attempt);
    out += "}}\n";
  }
  void Write(std::int64_t who, const SetTimer& a, std::string& out) {
    BeginMessage(out, "REMIND", who);
    AppendNumber(out, "ref", a.token);
    AppendNumber(out, "time", a.at.count());
    out += "}}\n";
  }
  void Write(std::int64_t who, const Subscribe& a, std::string& out) {
    BeginMessage(out, "FOLLOW", who);
    out += a.on ? ",\"on\":true}}\n" : ",\"on\":false}}\n";
  }
  void Write(std::int64_t who, const FetchList&, std::string& out) {
    BeginMessage(out, "RESOLVE", who);
    out += "}}\n";
  }
  void Write(std::int64_t who, const Probe& a, std::string& out) {
    BeginMessage(out, "CHECK", who);
    AppendField(out, "node", names_.at(a.server));
    out += "}}\n";
  }
  void Write(std::int64_t who, const CloseIdle& a, std::string& out) {
    BeginMessage(out, "RELEASE", who);
    AppendField(out, "node", names_.at(a.server));
    out += "}}\n";
  }
  void Write(std::int64_t who, const SendToPeers& a, std::string& out) {
    BeginMessage(out, "BROADCAST_TO", who);
    AppendNumber(out, "to", a.to);
    AppendField(out, "raw", a.bytes);
    out += "}}\n";
  }
  void Write(std::int64_t who, const Log& a, std::string& out) {
    BeginMessage(out, "REMARK", who);
    AppendField(out, "message", a.text);
    out += "}}\n";
  }

  Balancer balancer_;
  Actions actions_;
  RequestId last_id_ = 0;
  std::unordered_map<std::string, RequestId> ids_by_text_;
  std::unordered_map<RequestId, OpenRequest> requests_;
  std::unordered_map<std::string, ServerId> servers_;
  std::vector<std::string> names_;
};

constexpr std::string_view kInstanceEvents[] = {
    "ASK", "RESULT", "FIRED", "BACKENDS_CHANGED", "CLIENT_GONE", "PONG", "HEAD_RECEIVED", "NEIGHBOUR_SAYS"};

}  // namespace

class Link::Impl {
 public:
  void Feed(std::string_view line, std::string& reply, std::string& notes) {
    ++line_;
    if (line.find_first_not_of(" \t\r") == line.npos) return;
    try {
      ParseLine(line, reply, notes);
    } catch (const Expected& e) {
      throw BadInput("line " + std::to_string(line_) + ": expected " + e.what);
    }
  }

  std::size_t open_requests() const {
    std::size_t n = 0;
    for (const auto& [who, instance] : instances_) n += instance.open_requests();
    return n;
  }

 private:
  void ParseLine(std::string_view line, std::string& reply, std::string& notes) {
    dom::element root;
    if (parser_.parse(line.data(), line.size()).get(root) != simdjson::SUCCESS)
      throw Expected{"a JSON value"};
    dom::object message;
    if (root.get(message) != simdjson::SUCCESS || message.size() != 1) {
      throw Expected{"an object with a single key, the message's name"};
    }
    const auto [name, body] = *message.begin();
    const bool known = name == "ATTACH" || name == "KILL" || name == "TICK" || name == "EOB" ||
                       std::find(std::begin(kInstanceEvents), std::end(kInstanceEvents), name) !=
                           std::end(kInstanceEvents);
    if (!known) {
      notes +=
          "line " + std::to_string(line_) + ": passed over an unknown event " + std::string(name) + "\n";
      return;
    }
    Fields f{name, {}};
    if (body.get(f.o) != simdjson::SUCCESS) throw Expected{std::string(name) + " with an object of fields"};
    if (name == "TICK") {
      if (in_batch_) throw Expected{"EOB before another TICK"};
      now_ = Time(f.Int("clock"));
      in_batch_ = true;
      return;
    }
    if (!in_batch_) throw Expected{"TICK before " + std::string(name)};
    if (name == "EOB") {
      in_batch_ = false;
      reply += pending_;
      reply += "{\"READY\":{}}\n";
      pending_.clear();
      return;
    }
    HandleEvent(name, f, notes);
  }

  void HandleEvent(std::string_view name, const Fields& f, std::string& notes) {
    const std::int64_t who = f.Int("who");
    if (name == "ATTACH") {
      const std::uint64_t seed = f.Token("nonce64");
      const auto options = Find(f.o, "options");
      dom::object settings;
      if (!options || options->get(settings) != simdjson::SUCCESS)
        ThrowExpected(name, "options", "an object");
      instances_.erase(who);
      instances_.try_emplace(who, brasswood::ReadSettings(simdjson::minify(settings)).module, seed);
      return;
    }
    const auto it = instances_.find(who);
    if (it == instances_.end()) {
      notes += "line " + std::to_string(line_) + ": passed over " + std::string(name) + " for instance " +
               std::to_string(who) + ", which is not attached\n";
      return;
    }
    if (name == "KILL") {
      instances_.erase(it);
      return;
    }
    it->second.Handle(who, now_, name, f, pending_);
  }

  dom::parser parser_;
  std::map<std::int64_t, Instance> instances_;
  std::string pending_;  // reply lines of the current batch
  std::uint64_t line_ = 0;
  Time now_{0};
  bool in_batch_ = false;
};

Link::Link() : impl_(std::make_unique<Impl>()) {}
Link::~Link() = default;
void Link::Feed(std::string_view line, std::string& reply, std::string& notes) {
  impl_->Feed(line, reply, notes);
}
std::size_t Link::open_requests() const { return impl_->open_requests(); }

}  // namespace beechledge::benchlink
