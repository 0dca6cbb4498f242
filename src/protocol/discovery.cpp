#include "protocol/discovery.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "config/json.h"
#include "protocol/address.h"

namespace brasswood {
namespace {

using rapidjson::Value;

std::string Text(const Value& in, const char* name) {
  const Value* v = FindField(in, name);
  return v != nullptr && v->IsString() ? std::string(v->GetString(), v->GetStringLength()) : std::string();
}

// The index of `name` in `names`; names.size() if it is not there.
int IndexOrEnd(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string ReadEntry(const Value& in, const SettingNames& names, ServerEntry& e) {
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
  e.zone = IndexOrEnd(names.zones, Text(in, "az"));
  e.kind = IndexOrEnd(names.kinds, Text(in, "model"));
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

}  // namespace

// ---- A list read as it arrives ----

bool JsonScanner::Next(std::string_view text) {
  if (at_ >= text.size()) return false;
  last_ = text[at_++];
  if (in_string_) {
    if (escaped_) {
      escaped_ = false;
    } else if (last_ == '\\') {
      escaped_ = true;
    } else if (last_ == '"') {
      in_string_ = false;
    }
  } else if (last_ == '"') {
    in_string_ = true;
    string_start_ = at_;
  } else if (last_ == '{' || last_ == '[') {
    ++depth_;
  } else if (last_ == '}' || last_ == ']') {
    --depth_;
  }
  return true;
}

void ListReader::Feed(std::string_view json) {
  if (state_ == State::kBeforeEntries) SkipToEntries(json);
  while (state_ == State::kEntries && scanner_.Next(json)) {
    if (scanner_.in_string()) continue;
    if (scanner_.depth() < kEntriesDepth) state_ = State::kEnded;
    if (scanner_.last() == '{' && scanner_.depth() == kEntriesDepth + 1) entry_start_ = scanner_.at() - 1;
    if (scanner_.last() == '}' && scanner_.depth() == kEntriesDepth) {
      ReadCompletedEntry(json.substr(entry_start_, scanner_.at() - entry_start_));
    }
  }
}

// Scans up to and including the bracket that opens the list's entries.
void ListReader::SkipToEntries(std::string_view json) {
  while (scanner_.Next(json)) {
    if (scanner_.in_string()) continue;
    if (scanner_.last() == '"' && scanner_.depth() == 1)
      at_targets_ = scanner_.LastString(json) == "targets";
    if (scanner_.last() != '[' || scanner_.depth() != kEntriesDepth) continue;
    std::string why;
    list_ = ReadServerList(std::string(json.substr(0, scanner_.at())) + "]}", names_, limits_, why);
    state_ = at_targets_ && list_ ? State::kEntries : State::kEnded;
    if (state_ == State::kEnded) list_.reset();
    return;
  }
}

void ListReader::ReadCompletedEntry(std::string_view json) {
  rapidjson::Document document;
  ReadJson(json, document);
  ServerEntry entry;
  const bool valid = !document.HasParseError() && ReadEntry(document, names_, entry).empty();
  if (!valid || ++entries_ > limits_.max_servers) {
    state_ = State::kEnded;
    list_.reset();
    return;
  }
  list_->entries.push_back(std::move(entry));
}

std::optional<ServerList> ListReader::TakeCompletedEntries() {
  if (!list_ || list_->entries.empty()) return std::nullopt;
  return ServerList{list_->version, list_->is_whole, std::exchange(list_->entries, {})};
}

std::optional<ServerList> ReadServerList(const Value& in, const SettingNames& names, const Limits& limits,
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
  } else if (rev->GetInt64() < 0) {
    why = "rev is below 0";
  } else if (all == nullptr || !all->IsBool()) {
    why = "all is not true or false";
  } else if (targets == nullptr || !targets->IsArray()) {
    why = "targets is not a list";
  } else if (targets->Size() > limits.max_servers) {
    why = "too many servers";
  }
  if (!why.empty()) return std::nullopt;
  list.version = rev->GetInt64();
  list.is_whole = all->GetBool();
  std::set<std::string> seen;
  for (const Value& target : targets->GetArray()) {
    ServerEntry entry;
    why = ReadEntry(target, names, entry);
    if (why.empty() && list.is_whole && !seen.insert(entry.uid).second) why = entry.uid + ": named twice";
    if (!why.empty()) return std::nullopt;
    list.entries.push_back(std::move(entry));
  }
  return list;
}

std::optional<ServerList> ReadServerList(std::string_view json, const SettingNames& names,
                                         const Limits& limits, std::string& why) {
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
