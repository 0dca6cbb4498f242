#include "state/snapshot.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <zlib.h>

#include <cmath>
#include <cstdio>

namespace brasswood {
namespace {

using beechledge::Availability;
using beechledge::LearnedState;
using Value = rapidjson::Value;

unsigned long Checksum(std::string_view text) {
  return ::crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size()));
}

std::string Header(std::string_view body) {
  char line[80];
  std::snprintf(line, sizeof line, "brasswood state %d %zu %08lx\n", kSnapshotLayout, body.size(),
                Checksum(body));
  return line;
}

// Reads fields of a JSON array by index. Sets `ok` to false, for good, if one is missing or has a wrong
// type.
struct Row {
  const Value& row;
  bool& ok;
  const Value* At(rapidjson::SizeType i) {
    if (!row.IsArray() || i >= row.Size()) ok = false;
    return ok ? &row[i] : nullptr;
  }
  double Number(rapidjson::SizeType i) {
    const Value* v = At(i);
    if (v == nullptr || !v->IsNumber() || !std::isfinite(v->GetDouble())) ok = false;
    return ok ? v->GetDouble() : 0;
  }
  std::int64_t Integer(rapidjson::SizeType i) {
    const Value* v = At(i);
    if (v == nullptr || !v->IsInt64()) ok = false;
    return ok ? v->GetInt64() : 0;
  }
  std::string Text(rapidjson::SizeType i) {
    const Value* v = At(i);
    if (v == nullptr || !v->IsString()) ok = false;
    return ok ? std::string(v->GetString(), v->GetStringLength()) : std::string();
  }
};

}  // namespace

std::string EncodeSnapshot(const Snapshot& s) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> w(text);
  const auto str = [&](const std::string& v) {
    w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
  };
  w.StartObject();
  w.Key("router"), str(s.router);
  w.Key("taken"), w.Int64(s.taken_at.count());
  w.Key("rev"), w.Int64(s.list.version);
  w.Key("list"), w.StartArray();
  for (const ServerEntry& e : s.list.entries) {
    w.StartArray();
    str(e.uid), str(e.endpoint);
    w.Int(e.zone), w.Int(e.kind), w.Int(e.cell), w.Int(static_cast<int>(e.availability));
    w.Double(std::isfinite(e.scale) ? e.scale : 0), w.Int64(e.started.count());
    w.EndArray();
  }
  w.EndArray();
  w.Key("suspended"), w.StartArray();
  for (const std::string& uid : s.suspended) str(uid);
  w.EndArray();
  w.Key("servers"), w.StartArray();
  for (const LearnedState::Server& k : s.module_state.servers) {
    w.StartArray();
    w.Uint(k.id), w.Double(k.samples), w.Double(k.log_latency), w.Double(k.log_weight),
        w.Int64(k.ejection_left.count());
    w.EndArray();
  }
  w.EndArray();
  w.Key("origin"), w.StartArray();
  w.Double(s.module_state.origin.max_fetches), w.Double(s.module_state.origin.base_seconds),
      w.Double(s.module_state.origin.usual_seconds);
  w.EndArray();
  w.Key("keys"), w.StartArray();
  for (const LearnedState::Key& k : s.module_state.keys) {
    w.StartArray();
    w.Uint64(k.key);
    for (const beechledge::ServerId id : k.holders) w.Uint(id);
    w.EndArray();
  }
  w.EndArray();
  w.EndObject();
  const std::string_view body(text.GetString(), text.GetSize());
  return Header(body).append(body);
}

std::optional<Snapshot> DecodeSnapshot(std::string_view text, std::string& why) {
  const auto refuse = [&](const char* what) {
    why = what;
    return std::nullopt;
  };
  int layout = 0;
  const std::size_t line = text.find('\n');
  const std::string head(text.substr(0, std::min<std::size_t>(line, 80)));
  if (line == text.npos || std::sscanf(head.c_str(), "brasswood state %d", &layout) != 1) {
    return refuse("torn, or not a snapshot");
  }
  if (layout != kSnapshotLayout) return refuse("of another layout");
  const std::string_view body = text.substr(line + 1);
  if (Header(body) != text.substr(0, line + 1)) return refuse("torn");
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  for (const char* key : {"router", "taken", "rev", "list", "suspended", "servers", "origin", "keys"}) {
    if (d.HasParseError() || !d.IsObject() || !d.HasMember(key)) return refuse("invalid content");
  }
  for (const char* key : {"list", "suspended", "servers", "origin", "keys"}) {
    if (!d[key].IsArray()) return refuse("invalid content");
  }
  if (!d["router"].IsString() || !d["taken"].IsInt64() || !d["rev"].IsInt64())
    return refuse("invalid content");
  Snapshot s;
  bool ok = true;
  s.router = d["router"].GetString();
  s.taken_at = Time(d["taken"].GetInt64());
  s.list.version = d["rev"].GetInt64();
  for (const Value& v : d["list"].GetArray()) {
    Row r{v, ok};
    ServerEntry e;
    e.uid = r.Text(0);
    e.endpoint = r.Text(1);
    e.zone = static_cast<int>(r.Integer(2));
    e.kind = static_cast<int>(r.Integer(3));
    e.cell = static_cast<int>(r.Integer(4));
    const std::int64_t availability = r.Integer(5);
    ok = ok && availability >= 0 && availability <= static_cast<int>(Availability::kRemoved);
    e.availability = static_cast<Availability>(availability);
    e.scale = r.Number(6);
    e.started = Time(r.Integer(7));
    s.list.entries.push_back(std::move(e));
  }
  const std::size_t servers = s.list.entries.size();
  for (const Value& v : d["suspended"].GetArray()) {
    if (!v.IsString()) ok = false;
    if (ok) s.suspended.insert(v.GetString());
  }
  for (const Value& v : d["servers"].GetArray()) {
    Row r{v, ok};
    LearnedState::Server k;
    k.id = static_cast<beechledge::ServerId>(r.Integer(0));
    k.samples = r.Number(1);
    k.log_latency = r.Number(2);
    k.log_weight = r.Number(3);
    k.ejection_left = Duration(r.Integer(4));
    ok = ok && k.id < servers;
    s.module_state.servers.push_back(k);
  }
  Row origin{d["origin"], ok};
  s.module_state.origin = {origin.Number(0), origin.Number(1), origin.Number(2)};
  for (const Value& v : d["keys"].GetArray()) {
    if (!v.IsArray() || v.Empty() || !v[0].IsUint64()) ok = false;
    if (!ok) break;
    LearnedState::Key k{v[0].GetUint64(), {}};
    for (rapidjson::SizeType i = 1; i < v.Size(); ++i) {
      ok = ok && v[i].IsUint() && v[i].GetUint() < servers;
      if (ok) k.holders.push_back(v[i].GetUint());
    }
    s.module_state.keys.push_back(std::move(k));
  }
  if (!ok) return refuse("invalid content");
  return s;
}

double SnapshotConfidence(Duration age, Duration half_life, Duration max_age) {
  if (age < Duration(0) || age > max_age) return 0;
  return std::exp2(-std::chrono::duration<double>(age).count() /
                   std::chrono::duration<double>(half_life).count());
}

}  // namespace brasswood
