#include "protocol/discovery.h"

#include <algorithm>
#include <chrono>
#include <set>

#include "config/json.h"
#include "protocol/address.h"

namespace brasswood {
namespace {

using rapidjson::Value;

std::string Text(const Value& in, const char* name) {
  const Value* v = FindField(in, name);
  return v != nullptr && v->IsString() ? std::string(v->GetString(), v->GetStringLength()) : std::string();
}

// A name's place among `names`; one that is not there gets a place of its own past them.
int Place(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string ReadEntry(const Value& in, const Names& names, ServerEntry& e) {
  if (!in.IsObject()) return "an entry is not an object";
  e.uid = Text(in, "uid");
  if (e.uid.empty()) return "an entry without uid";
  const std::string state = Text(in, "state");
  if (state == "in_service") {
    e.availability = beechledge::Availability::kUp;
  } else if (state == "terminating") {
    e.availability = beechledge::Availability::kDraining;
  } else if (state == "terminated") {
    e.availability = beechledge::Availability::kRemoved;
  } else {
    return e.uid + ": no known state";
  }
  e.endpoint = Text(in, "endpoint");
  if (e.availability != beechledge::Availability::kRemoved && !ParseAddress(e.endpoint)) {
    return e.uid + ": no address as endpoint";
  }
  e.zone = Place(names.zones, Text(in, "az"));
  e.kind = Place(names.kinds, Text(in, "model"));
  if (const Value* cell = FindField(in, "pod_group")) {
    if (!cell->IsInt()) return e.uid + ": pod_group is not a whole number";
    e.cell = cell->GetInt();
  }
  if (const Value* scale = FindField(in, "capacity_hint")) {
    if (!scale->IsNumber() || !(scale->GetDouble() >= 0)) return e.uid + ": capacity_hint is not a figure";
    e.scale = scale->GetDouble();
  }
  if (const Value* boot = FindField(in, "boot_ms")) {
    if (!boot->IsNumber() || !(boot->GetDouble() >= 0) || boot->GetDouble() > 9e12) {
      return e.uid + ": boot_ms is not a time";
    }
    e.started = std::chrono::nanoseconds(static_cast<std::int64_t>(boot->GetDouble() * 1e6));
  }
  return {};
}

// Walks over JSON text that may stop anywhere, and knows how deep each place lies and what is inside
// strings.
class JsonWalk {
 public:
  explicit JsonWalk(std::string_view text) : text_(text) {}

  // Takes one more character; false at the end of the text.
  bool Next() {
    if (at_ >= text_.size()) return false;
    const char c = text_[at_++];
    if (in_string_) {
      if (escaped_) {
        escaped_ = false;
      } else if (c == '\\') {
        escaped_ = true;
      } else if (c == '"') {
        in_string_ = false;
      }
    } else if (c == '"') {
      in_string_ = true;
      string_from_ = at_;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if (c == '}' || c == ']') {
      --depth_;
    }
    return true;
  }
  std::size_t at() const { return at_; }  // behind the last character taken
  int depth() const { return depth_; }
  bool in_string() const { return in_string_; }
  char last() const { return text_[at_ - 1]; }
  // The string that the last character has ended.
  std::string_view LastString() const { return text_.substr(string_from_, at_ - 1 - string_from_); }

 private:
  std::string_view text_;
  std::size_t at_ = 0, string_from_ = 0;
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false;
};

// Goes on to behind the bracket that opens the list's entries; false where it does not come.
bool WalkToEntries(JsonWalk& walk) {
  bool named = false;  // the last name or value at the top was that of the entries
  while (walk.Next()) {
    if (walk.last() == '"' && !walk.in_string() && walk.depth() == 1)
      named = walk.LastString() == "targets";
    if (walk.last() == '[' && !walk.in_string() && walk.depth() == 2) return named;
  }
  return false;
}

}  // namespace

std::optional<ServerList> ReadListPrefix(std::string_view json, const Names& names, const Limits& limits) {
  JsonWalk walk(json);
  if (!WalkToEntries(walk)) return std::nullopt;
  std::string why;
  auto list = ReadServerList(std::string(json.substr(0, walk.at())) + "]}", names, limits, why);
  if (!list) return std::nullopt;
  const int among_entries = walk.depth();
  std::size_t from = walk.at();
  while (list->entries.size() < limits.servers && walk.Next()) {
    if (walk.in_string()) continue;
    if (walk.depth() < among_entries) break;
    if (walk.last() == '{' && walk.depth() == among_entries + 1) from = walk.at() - 1;
    if (walk.last() != '}' || walk.depth() != among_entries) continue;
    rapidjson::Document document;
    ReadJson(json.substr(from, walk.at() - from), document);
    ServerEntry entry;
    if (document.HasParseError() || !ReadEntry(document, names, entry).empty()) return std::nullopt;
    list->entries.push_back(std::move(entry));
  }
  return list;
}

std::optional<ServerList> ReadServerList(const Value& in, const Names& names, const Limits& limits,
                                         std::string& why) {
  why.clear();
  if (!in.IsObject()) {
    why = "not an object";
    return std::nullopt;
  }
  const Value* rev = FindField(in, "rev");
  const Value* all = FindField(in, "all");
  const Value* targets = FindField(in, "targets");
  ServerList list;
  if (rev == nullptr || !rev->IsInt64()) {
    why = "no whole number as rev";
  } else if (all == nullptr || !all->IsBool()) {
    why = "all is not true or false";
  } else if (targets == nullptr || !targets->IsArray()) {
    why = "targets is not a list";
  } else if (targets->Size() > limits.servers) {
    why = "too many servers";
  }
  if (!why.empty()) return std::nullopt;
  list.rev = rev->GetInt64();
  list.all = all->GetBool();
  std::set<std::string> seen;
  for (const Value& target : targets->GetArray()) {
    ServerEntry entry;
    why = ReadEntry(target, names, entry);
    if (why.empty() && list.all && !seen.insert(entry.uid).second) why = entry.uid + ": named twice";
    if (!why.empty()) return std::nullopt;
    list.entries.push_back(std::move(entry));
  }
  return list;
}

std::optional<ServerList> ReadServerList(std::string_view json, const Names& names, const Limits& limits,
                                         std::string& why) {
  rapidjson::Document document;
  ReadJson(json, document);
  if (document.HasParseError()) {
    why = "not JSON";
    return std::nullopt;
  }
  return ReadServerList(static_cast<const Value&>(document), names, limits, why);
}

std::string ListPath(std::optional<std::int64_t> since, Duration wait) {
  if (!since) return "/api/targets";
  return "/api/targets?since=" + std::to_string(*since) + "&timeout_ms=" +
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
}

}  // namespace brasswood
