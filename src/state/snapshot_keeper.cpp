#include "state/snapshot_keeper.h"

#include <rapidjson/document.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "config/json.h"
#include "state/atomic_file.h"

namespace brasswood {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{500};

struct FoundSnapshot {
  std::optional<Snapshot> snapshot;
  std::string why;  // why files were not used
};

FoundSnapshot FindSnapshot(const std::string& path, const std::string& router) {
  FoundSnapshot found;
  for (const std::string& name : {path, path + ".1"}) {
    std::string why;
    const auto text = ReadFile(name, kMaxSnapshotBytes, why);
    if (text) found.snapshot = DecodeSnapshot(*text, why);
    if (found.snapshot && found.snapshot->router != router) {
      found.snapshot.reset();
      why = "of another router";
    }
    if (found.snapshot) return found;
    if (!why.empty()) found.why += (found.why.empty() ? "" : "; ") + name + ": " + why;
  }
  return found;
}

}  // namespace

StateSettings ReadStateSettings(std::string_view json) {
  const auto bad = [](const std::string& what) { return std::runtime_error("state settings: " + what); };
  rapidjson::Document d;
  ReadJson(json, d);
  if (d.HasParseError() || !d.IsObject()) throw bad("not a JSON object");
  const auto* state = FindField(d, "state");
  if (state == nullptr || !state->IsObject()) throw bad("\"state\" is missing or not an object");
  StateSettings s;
  const auto number = [&](const rapidjson::Value& v, const std::string& key, double min, double max) {
    if (!v.IsNumber() || !(v.GetDouble() >= min) || !(v.GetDouble() <= max)) {
      throw bad("\"" + key + "\" is not a number from " + std::to_string(static_cast<long long>(min)) +
                " to " + std::to_string(static_cast<long long>(max)));
    }
    return v.GetDouble();
  };
  const auto span = [](double ms) { return Duration(static_cast<std::int64_t>(ms * 1e6)); };
  for (const auto& m : state->GetObject()) {
    const std::string key = m.name.GetString();
    if (key == "folder" && m.value.IsString()) {
      s.folder = m.value.GetString();
    } else if (key == "every_ms") {
      s.interval = span(number(m.value, key, 100, 3600000));
    } else if (key == "keys") {
      s.max_keys = static_cast<std::size_t>(number(m.value, key, 0, 65536));
    } else if (key == "half_ms") {
      s.half_life = span(number(m.value, key, 1, 86400000));
    } else if (key == "most_ms") {
      s.max_age = span(number(m.value, key, 1, 7 * 86400000.0));
    } else if (key == "old_ms") {
      s.old_list_age = span(number(m.value, key, 0, 86400000));
    } else {
      throw bad("\"" + key + "\" is unknown or has the wrong type");
    }
  }
  if (s.folder.empty()) throw bad("\"folder\" is missing");
  return s;
}

std::optional<StateSettings> LoadStateSettings() {
  const char* path = std::getenv("BRASSWOOD_STATE");
  if (path == nullptr || *path == '\0') return std::nullopt;
  std::ifstream in(path);
  if (!in) throw std::runtime_error(std::string("state settings: cannot read ") + path);
  return ReadStateSettings(std::string(std::istreambuf_iterator<char>(in), {}));
}

SnapshotKeeper::SnapshotKeeper(StateSettings settings, std::string router, Engine& engine,
                               Deadlines& deadlines, std::function<Time()> now)
    : settings_(std::move(settings)),
      router_(std::move(router)),
      engine_(engine),
      deadlines_(deadlines),
      now_(std::move(now)) {}

std::optional<Snapshot> SnapshotKeeper::Load() {
  auto found = std::make_shared<std::optional<FoundSnapshot>>();
  disk_.Submit("read", [found, path = Path(), router = router_]() -> DiskThread::Completion {
    auto here = std::make_shared<FoundSnapshot>(FindSnapshot(path, router));
    return [found, here] { *found = std::move(*here); };
  });
  if (!disk_.WaitUntil([&] { return found->has_value(); }, kReadTimeout)) {
    LogLine(Level::kWarn) << "kept state not read: the disk does not answer";
    return std::nullopt;
  }
  FoundSnapshot& f = **found;
  if (!f.why.empty()) LogLine(Level::kWarn) << "kept state left aside: " << f.why;
  if (!f.snapshot) return std::nullopt;
  const Duration age = now_() - f.snapshot->taken_at;
  if (SnapshotConfidence(age, settings_.half_life, settings_.max_age) <= 0) {
    LogLine(Level::kWarn) << "kept state left aside: "
                          << (age < Duration(0) ? "taken in the future" : "too old");
    // Suspensions do not expire: only an operator can end one.
    f.snapshot->list = {};
    f.snapshot->module_state = {};
  }
  LogLine(Level::kInfo) << "kept state of "
                        << std::chrono::duration_cast<std::chrono::milliseconds>(age).count()
                        << " ms ago: " << f.snapshot->list.entries.size() << " servers, "
                        << f.snapshot->module_state.keys.size() << " keys, " << f.snapshot->suspended.size()
                        << " suspended";
  return std::move(f.snapshot);
}

void SnapshotKeeper::Start() {
  deadlines_.Set(now_() + settings_.interval, [this] { Tick(); });
}

void SnapshotKeeper::Tick() {
  Start();
  disk_.RunCompletions();
  if (!disk_.IsPending("snapshot")) return Save();
  if (!std::exchange(failure_logged_, true)) {
    LogLine(Level::kWarn) << "state not kept: the disk does not answer";
  }
}

void SnapshotKeeper::Save() {
  if (!engine_.confirmed()) return;
  auto snapshot = std::make_shared<Snapshot>(engine_.ExportSnapshot(settings_.max_keys));
  snapshot->router = router_;
  snapshot->taken_at = now_();
  // Encoding is done on the disk thread too.
  disk_.Submit("snapshot", [this, snapshot, path = Path()]() -> DiskThread::Completion {
    std::string why;
    std::rename(path.c_str(), (path + ".1").c_str());  // fails if there is none yet
    const bool ok = WriteFileAtomically(path, EncodeSnapshot(*snapshot), why);
    // Logged once when writing starts to fail, and once when it works again.
    return [this, ok, why] {
      if (ok && std::exchange(failure_logged_, false)) LogLine(Level::kInfo) << "state is kept again";
      if (!ok && !std::exchange(failure_logged_, true)) LogLine(Level::kWarn) << "state not kept: " << why;
    };
  });
}

}  // namespace brasswood
