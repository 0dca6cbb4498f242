#include "config/settings.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "config/json.h"

namespace brasswood {
namespace {

using beechledge::Duration;
using beechledge::Effect;
using beechledge::Group;
using beechledge::RequestClass;
using rapidjson::Value;

const Value kNothing;

const Value& Sub(const Value& in, const char* name) {
  if (!in.IsObject()) return kNothing;
  const auto m = in.FindMember(name);
  return m == in.MemberEnd() ? kNothing : m->value;
}

std::int64_t Int(const Value& in, const char* name, std::int64_t fallback) {
  const Value& v = Sub(in, name);
  if (v.IsInt64()) return v.GetInt64();
  if (v.IsUint64()) return INT64_MAX;
  if (v.IsDouble() && v.GetDouble() == std::floor(v.GetDouble())) {  // a whole number written with a point
    const double d = v.GetDouble();
    return d >= 9.2e18 ? INT64_MAX : d <= -9.2e18 ? INT64_MIN : static_cast<std::int64_t>(d);
  }
  return fallback;
}
int Small(const Value& in, const char* name, int fallback) {
  return static_cast<int>(std::clamp<std::int64_t>(Int(in, name, fallback), INT32_MIN, INT32_MAX));
}
double Double(const Value& in, const char* name, double fallback) {
  const Value& v = Sub(in, name);
  return v.IsNumber() ? v.GetDouble() : fallback;
}
bool Flag(const Value& in, const char* name, bool fallback) {
  const Value& v = Sub(in, name);
  return v.IsBool() ? v.GetBool() : fallback;
}
std::string_view Text(const Value& in, const char* name) {
  const Value& v = Sub(in, name);
  return v.IsString() ? std::string_view(v.GetString(), v.GetStringLength()) : std::string_view();
}
Duration Span(const Value& in, const char* name, Duration fallback) {
  return Duration(Int(in, name, fallback.count()));
}
std::vector<std::string> Texts(const Value& in, const char* name) {
  std::vector<std::string> out;
  const Value& v = Sub(in, name);
  if (!v.IsArray()) return out;
  for (const Value& item : v.GetArray()) {
    out.push_back(item.IsString() ? std::string(item.GetString(), item.GetStringLength()) : std::string());
  }
  return out;
}

RequestClass ReadClass(const Value& c) {
  RequestClass k;
  k.aim = Span(c, "aim", k.aim);
  k.deadline = Span(c, "give_up", k.deadline);
  k.aim_stretch = Double(c, "aim_stretch", 0);
  k.worth = Double(c, "points", k.worth);
  k.late_worth = Double(c, "late_value", 0);
  const std::string_view effect = Text(c, "effect");
  k.effect = effect == "free" ? Effect::kSafe : effect == "guarded" ? Effect::kKeyed : Effect::kUnsafe;
  const std::string_view group = Text(c, "dedup_scope");
  k.group = group == "all" ? Group::kAll : group == "zone" ? Group::kZone : Group::kCell;
  k.window = Span(c, "window", k.window);
  k.stream = Flag(c, "stream", false);
  return k;
}

}  // namespace

SettingsRead ReadSettings(const Value& in) {
  using namespace beechledge;
  SettingsRead read;
  Settings& s = read.module;
  s.balancers = Small(in, "balancers", s.balancers);
  s.me = Small(in, "me", s.me);
  s.zone = Small(in, "locality", s.zone);
  read.names.zones = Texts(in, "zones");
  read.names.kinds = Texts(in, "shapes");
  if (Sub(in, "zones").IsArray()) s.zones = static_cast<int>(read.names.zones.size());
  if (const Value& classes = Sub(in, "classes"); classes.IsArray()) {
    for (const Value& c : classes.GetArray()) {
      s.classes.push_back(ReadClass(c));
      read.names.classes.emplace_back(Text(c, "name"));
    }
  }
  if (const Value& tenants = Sub(in, "tenants"); tenants.IsArray()) {
    for (const Value& t : tenants.GetArray()) {
      s.tenants.push_back({Double(t, "portion", 1), Double(t, "allowance_per_s", 0)});
      read.names.tenants.emplace_back(Text(t, "name"));
    }
  }
  s.over_share_worth = Double(in, "over_share_worth", s.over_share_worth);
  s.worth_by_work = Text(in, "worth_by") == "work";
  s.list_must_be_asked = Text(in, "registry_mode") == "on_request";
  const Value& info = Sub(in, "family_info");
  s.origin = Text(info, "mode") == "aside" ? Origin::kAside : Origin::kThrough;
  s.origin_kind = Small(info, "origin_kind", -1);
  s.origin_fall_multiple = Double(info, "origin_fall_multiple", 0);
  s.origin_fall = Span(info, "origin_fall", s.origin_fall);
  const std::string_view source = Text(Sub(in, "telemetry"), "source");
  s.reports = source == "answers" ? ReportSource::kAnswers
              : source == "probe" ? ReportSource::kProbe
                                  : ReportSource::kNone;
  const std::string_view weights = Text(in, "weights");
  s.weights = weights == "nominal" ? Weights::kNominal
              : weights == "rough" ? Weights::kRough
              : weights == "live"  ? Weights::kLive
                                   : Weights::kNone;
  s.retry_marked = Flag(Sub(in, "callers"), "marks_retry", false);
  const Value& a = Sub(in, "allowed");
  s.allowed.cancel = Flag(a, "cancel", false);
  s.allowed.probes = Flag(a, "probes", false);
  s.allowed.peers = Flag(a, "peers", false);
  s.allowed.parallel_tries = Flag(a, "parallel_tries", false);
  s.allowed.retry_after = Flag(a, "retry_after", false);
  s.allowed.max_attempts = Small(a, "max_attempts", s.allowed.max_attempts);
  s.allowed.max_open = Small(a, "open_cap", s.allowed.max_open);
  s.allowed.max_retry_after = Span(a, "max_retry_after", Duration(0));
  s.allowed.connect_timeout = Span(a, "connect_timeout", Duration(0));
  read.conn_idle = Span(a, "conn_idle", Duration(0));
  const Value& r = Sub(in, "safety");
  s.rules.answer_slack = Span(r, "answer_slack", s.rules.answer_slack);
  s.rules.ask_within = Span(r, "ask_within", s.rules.ask_within);
  s.rules.drain_grace = Span(r, "drain_grace", s.rules.drain_grace);
  s.rules.cold_from = Double(r, "cold_from", s.rules.cold_from);
  s.rules.ramp = Span(r, "ramp_time", s.rules.ramp);
  s.rules.fall_multiple = Double(r, "fall_multiple", s.rules.fall_multiple);
  s.rules.fall = Span(r, "fall", s.rules.fall);
  const Value& p = Sub(in, "fees");
  s.prices.cross_zone = Double(p, "cross_zone", 0);
  s.prices.waste = Double(p, "waste", 0);
  s.prices.origin = Double(p, "origin", 0);
  s.prices.probe = Double(p, "probe", 0);
  s.prices.late_fail = Double(p, "late_fail", 0);
  s.prices.handshake = Double(p, "handshake", 0);
  s.tick = Span(in, "round", s.tick);
  return read;
}

SettingsRead ReadSettings(std::string_view json) {
  rapidjson::Document document;
  ReadJson(json, document);
  return ReadSettings(document.HasParseError() ? kNothing : static_cast<const Value&>(document));
}

}  // namespace brasswood
