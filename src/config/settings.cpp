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

const Value kNull;

// The readers below return `fallback`, or an empty value, if the field is missing or of another type.

const Value& Field(const Value& in, const char* name) {
  if (!in.IsObject()) return kNull;
  const auto member = in.FindMember(name);
  return member == in.MemberEnd() ? kNull : member->value;
}

// Integers out of range are clamped.
std::int64_t Int64Field(const Value& in, const char* name, std::int64_t fallback) {
  const Value& v = Field(in, name);
  if (v.IsInt64()) return v.GetInt64();
  if (v.IsUint64()) return INT64_MAX;
  if (v.IsDouble() && v.GetDouble() == std::floor(v.GetDouble())) {  // an integer such as 5.0
    const double d = v.GetDouble();
    return d >= 9.2e18 ? INT64_MAX : d <= -9.2e18 ? INT64_MIN : static_cast<std::int64_t>(d);
  }
  return fallback;
}
int Int32Field(const Value& in, const char* name, int fallback) {
  return static_cast<int>(std::clamp<std::int64_t>(Int64Field(in, name, fallback), INT32_MIN, INT32_MAX));
}
double DoubleField(const Value& in, const char* name, double fallback) {
  const Value& v = Field(in, name);
  return v.IsNumber() ? v.GetDouble() : fallback;
}
bool BoolField(const Value& in, const char* name, bool fallback) {
  const Value& v = Field(in, name);
  return v.IsBool() ? v.GetBool() : fallback;
}
std::string_view StringField(const Value& in, const char* name) {
  const Value& v = Field(in, name);
  return v.IsString() ? std::string_view(v.GetString(), v.GetStringLength()) : std::string_view();
}
// Durations are given in nanoseconds.
Duration DurationField(const Value& in, const char* name, Duration fallback) {
  return Duration(Int64Field(in, name, fallback.count()));
}
std::vector<std::string> StringsField(const Value& in, const char* name) {
  std::vector<std::string> out;
  const Value& v = Field(in, name);
  if (!v.IsArray()) return out;
  for (const Value& item : v.GetArray()) {
    out.push_back(item.IsString() ? std::string(item.GetString(), item.GetStringLength()) : std::string());
  }
  return out;
}

RequestClass ReadClass(const Value& in) {
  RequestClass result;
  result.aim = DurationField(in, "aim", result.aim);
  result.deadline = DurationField(in, "give_up", result.deadline);
  result.aim_stretch = DoubleField(in, "aim_stretch", 0);
  result.worth = DoubleField(in, "points", result.worth);
  result.late_worth = DoubleField(in, "late_value", 0);
  const std::string_view effect = StringField(in, "effect");
  result.effect = effect == "free" ? Effect::kSafe : effect == "guarded" ? Effect::kKeyed : Effect::kUnsafe;
  const std::string_view group = StringField(in, "dedup_scope");
  result.group = group == "all" ? Group::kAll : group == "zone" ? Group::kZone : Group::kCell;
  result.window = DurationField(in, "window", result.window);
  result.stream = BoolField(in, "stream", false);
  return result;
}

}  // namespace

ParsedSettings ReadSettings(const Value& in) {
  using namespace beechledge;
  ParsedSettings result;
  Settings& settings = result.module;
  settings.balancers = Int32Field(in, "balancers", settings.balancers);
  settings.me = Int32Field(in, "me", settings.me);
  settings.zone = Int32Field(in, "locality", settings.zone);
  result.names.zones = StringsField(in, "zones");
  result.names.kinds = StringsField(in, "shapes");
  if (Field(in, "zones").IsArray()) settings.zones = static_cast<int>(result.names.zones.size());
  if (const Value& classes = Field(in, "classes"); classes.IsArray()) {
    for (const Value& item : classes.GetArray()) {
      settings.classes.push_back(ReadClass(item));
      result.names.classes.emplace_back(StringField(item, "name"));
    }
  }
  if (const Value& tenants = Field(in, "tenants"); tenants.IsArray()) {
    for (const Value& item : tenants.GetArray()) {
      settings.tenants.push_back(
          {DoubleField(item, "portion", 1), DoubleField(item, "allowance_per_s", 0)});
      result.names.tenants.emplace_back(StringField(item, "name"));
    }
  }
  settings.over_share_worth = DoubleField(in, "over_share_worth", settings.over_share_worth);
  settings.worth_by_work = StringField(in, "worth_by") == "work";
  settings.list_by_request = StringField(in, "registry_mode") == "on_request";
  const Value& info = Field(in, "family_info");
  settings.origin = StringField(info, "mode") == "aside" ? Origin::kCacheAside : Origin::kReadThrough;
  settings.origin_kind = Int32Field(info, "origin_kind", -1);
  settings.origin_overload_multiple = DoubleField(info, "origin_fall_multiple", 0);
  settings.origin_overload_window = DurationField(info, "origin_fall", settings.origin_overload_window);
  const std::string_view source = StringField(Field(in, "telemetry"), "source");
  settings.reports = source == "answers" ? ReportSource::kAnswers
                     : source == "probe" ? ReportSource::kProbe
                                         : ReportSource::kNone;
  const std::string_view weights = StringField(in, "weights");
  settings.weights = weights == "nominal" ? Weights::kNominal
                     : weights == "rough" ? Weights::kRough
                     : weights == "live"  ? Weights::kLive
                                          : Weights::kNone;
  settings.mark_retries = BoolField(Field(in, "callers"), "marks_retry", false);
  const Value& allowed = Field(in, "allowed");
  settings.allowed.cancel = BoolField(allowed, "cancel", false);
  settings.allowed.probes = BoolField(allowed, "probes", false);
  settings.allowed.peers = BoolField(allowed, "peers", false);
  settings.allowed.parallel_tries = BoolField(allowed, "parallel_tries", false);
  settings.allowed.retry_after = BoolField(allowed, "retry_after", false);
  settings.allowed.max_attempts = Int32Field(allowed, "max_attempts", settings.allowed.max_attempts);
  settings.allowed.max_open = Int32Field(allowed, "open_cap", settings.allowed.max_open);
  settings.allowed.max_retry_after = DurationField(allowed, "max_retry_after", Duration(0));
  settings.allowed.connect_timeout = DurationField(allowed, "connect_timeout", Duration(0));
  result.conn_idle = DurationField(allowed, "conn_idle", Duration(0));
  const Value& safety = Field(in, "safety");
  settings.rules.answer_slack = DurationField(safety, "answer_slack", settings.rules.answer_slack);
  settings.rules.ask_within = DurationField(safety, "ask_within", settings.rules.ask_within);
  settings.rules.drain_grace = DurationField(safety, "drain_grace", settings.rules.drain_grace);
  settings.rules.cold_start_share = DoubleField(safety, "cold_from", settings.rules.cold_start_share);
  settings.rules.ramp = DurationField(safety, "ramp_time", settings.rules.ramp);
  settings.rules.overload_multiple = DoubleField(safety, "fall_multiple", settings.rules.overload_multiple);
  settings.rules.overload_window = DurationField(safety, "fall", settings.rules.overload_window);
  const Value& fees = Field(in, "fees");
  settings.prices.cross_zone = DoubleField(fees, "cross_zone", 0);
  settings.prices.waste = DoubleField(fees, "waste", 0);
  settings.prices.origin = DoubleField(fees, "origin", 0);
  settings.prices.probe = DoubleField(fees, "probe", 0);
  settings.prices.late_fail = DoubleField(fees, "late_fail", 0);
  settings.prices.handshake = DoubleField(fees, "handshake", 0);
  settings.tick = DurationField(in, "round", settings.tick);
  return result;
}

ParsedSettings ReadSettings(std::string_view json) {
  rapidjson::Document document;
  ReadJson(json, document);
  return ReadSettings(document.HasParseError() ? kNull : static_cast<const Value&>(document));
}

}  // namespace brasswood
