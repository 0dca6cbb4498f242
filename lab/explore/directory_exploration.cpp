#include "lab/explore/directory_exploration.h"

#include <algorithm>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <vector>

#include "discovery/server_directory.h"
#include "lab/base/rng.h"
#include "lab/explore/virtual_time.h"

namespace brasswood::lab {
namespace {

using beechledge::Availability;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLength = seconds(40);
constexpr Duration kGrace = seconds(1);
constexpr Duration kRestartApplied = seconds(15);
constexpr Duration kMaxLag = seconds(3);
constexpr int kServers = 5;

using Servers = std::map<std::string, ServerEntry>;

// The directory under test, with at most one deliberate fault.
class Subject {
 public:
  explicit Subject(DirectoryFault fault) : directory_(-1), fault_(fault) {}

  void SetInitialList(const ServerList& list, Time now) { directory_.SetInitialList(list, now); }
  ListVerdict Merge(ServerList list, ListOrigin origin) {
    const std::int64_t held = directory_.held().value_or(0);
    if (fault_ == DirectoryFault::kVersionNotCompared) list.version = held + 1;
    if (fault_ == DirectoryFault::kBaseForgotten) origin.since = held;
    const std::set<std::string> drained = Drained();
    const ListVerdict verdict = directory_.Merge(list, origin).verdict;
    if (verdict == ListVerdict::kApplied) InjectFault(list, drained, origin.notified_at);
    return verdict;
  }
  void MergePart(const ServerList& part, const ListOrigin& origin) {
    const auto update = directory_.MergePart(part, origin);
    for (const ServerId id : update.changed) drained_by_parts_.insert(directory_.At(id).uid);
  }
  bool MaySend(const std::string& uid, Time now) const {
    const auto id = directory_.Find(uid);
    if (!id) return false;
    if (wrongly_restored_.contains(uid)) return true;
    const auto moved = moved_grace_.find(uid);
    if (moved != moved_grace_.end() && now - moved->second < kGrace) return true;
    return directory_.Serving(*id, now, kGrace);
  }
  bool InService(const std::string& uid) const {
    const auto id = directory_.Find(uid);
    return id && directory_.At(*id).availability == Availability::kUp;
  }
  Time Started(const std::string& uid) const { return directory_.At(directory_.Find(uid).value()).started; }
  const ServerDirectory& directory() const { return directory_; }

 private:
  std::set<std::string> Drained() const {
    std::set<std::string> drained;
    for (ServerId id = 0; id < directory_.size(); ++id) {
      if (directory_.At(id).availability == Availability::kDraining) drained.insert(directory_.At(id).uid);
    }
    return drained;
  }
  void InjectFault(const ServerList& list, const std::set<std::string>& drained, Time counts_from) {
    for (const std::string& uid : drained) {
      const bool removed = directory_.At(*directory_.Find(uid)).availability == Availability::kRemoved;
      if (fault_ == DirectoryFault::kGraceMovedByRemoval && removed) moved_grace_[uid] = counts_from;
    }
    if (fault_ != DirectoryFault::kPartUndoneByWhole) return;
    wrongly_restored_.clear();
    for (const ServerEntry& entry : list.entries) {
      const bool up = entry.availability == Availability::kUp;
      if (list.is_whole && up && drained_by_parts_.contains(entry.uid)) wrongly_restored_.insert(entry.uid);
    }
  }

  ServerDirectory directory_;
  const DirectoryFault fault_;
  std::map<std::string, Time> moved_grace_;
  std::set<std::string> drained_by_parts_, wrongly_restored_;
};

// The newest state of each server, from the answers as they were delivered.
class ExpectedStates {
 public:
  void RecordOut(const std::string& uid, std::int64_t version, Time now) {
    outs_[uid].emplace(version, now);
  }
  void RecordIn(const ServerEntry& entry, std::int64_t version) {
    auto& in = ins_[entry.uid];
    if (version >= in.first) in = {version, entry.started};
  }
  void Clear() { outs_.clear(), ins_.clear(); }
  // Since when the server's newest state has been a drain or removal; nothing if it is not.
  std::optional<Time> OutSince(const std::string& uid) const {
    const auto outs = outs_.find(uid);
    if (outs == outs_.end()) return std::nullopt;
    std::optional<Time> since;
    for (auto it = outs->second.upper_bound(InVersion(uid)); it != outs->second.end(); ++it) {
      since = std::min(since.value_or(it->second), it->second);
    }
    return since;
  }
  std::int64_t InVersion(const std::string& uid) const {
    const auto in = ins_.find(uid);
    return in == ins_.end() ? -1 : in->second.first;
  }
  Time StartedBy(const std::string& uid) const { return ins_.at(uid).second; }

 private:
  std::map<std::string, std::map<std::int64_t, Time>> outs_;
  std::map<std::string, std::pair<std::int64_t, Time>> ins_;
};

class DirectoryRun {
 public:
  DirectoryRun(std::uint64_t seed, DirectoryFault fault, std::ostream* trace)
      : rng_(MakeRng(Mix(seed * 211), Stream::kFaults)), trace_(trace), subject_(fault) {
    for (int n = 0; n < kServers; ++n) {
      ServerEntry entry;
      entry.uid = "s" + std::to_string(n);
      entry.endpoint = "127.0.0.1:" + std::to_string(1 + n);
      history_[Time(0)].servers[entry.uid] = entry;
    }
    const int sources = 1 + static_cast<int>(rng_(3));
    for (int s = 0; s < sources; ++s)
      lags_.push_back(Chance(rng_, 0.5) ? Duration(0) : Between(Duration(0), kMaxLag));
  }

  std::string Run() {
    ServerList known;
    known.version = 0;
    for (const auto& [uid, entry] : history_[Time(0)].servers) known.entries.push_back(entry);
    subject_.SetInitialList(known, Time(0));
    for (const ServerEntry& entry : known.entries) expected_.RecordIn(entry, 0);
    for (Time t = seconds(1); t < kLength; t += Between(milliseconds(300), milliseconds(4000))) {
      time_.At(t, [this] { Change(); });
    }
    if (Chance(rng_, 0.15)) time_.At(Between(seconds(5), seconds(20)), [this] { RestartDiscovery(); });
    for (Time t = milliseconds(500); t < kLength; t += Between(milliseconds(50), milliseconds(1200))) {
      time_.At(t, [this] { Ask(); });
    }
    for (Time t = milliseconds(500); t < kLength; t += milliseconds(250)) time_.At(t, [this] { Check(); });
    while (violation_.empty() && time_.PlayNext(kLength)) {
    }
    return violation_;
  }

 private:
  // Discovery's state from a certain time on.
  struct State {
    std::int64_t version = 0;
    Servers servers;
    std::map<std::string, std::int64_t> removed;  // the version that removed each one
    std::map<std::string, std::int64_t> changed;  // the version of each one's last change
  };

  Duration Between(Duration low, Duration high) {
    return low + std::chrono::duration_cast<Duration>((high - low) * Unit(rng_));
  }
  template <class... Words>
  void Trace(const Words&... words) {
    if (trace_ == nullptr) return;
    *trace_ << std::chrono::duration<double>(time_.now()).count();
    ((*trace_ << ' ' << words), ...);
    *trace_ << '\n';
  }
  const State& StateAt(Time at) const {
    return std::prev(history_.upper_bound(std::max(at, Time(0))))->second;
  }

  // ---- Discovery ----

  void Change() {
    State state = history_.rbegin()->second;
    const std::string uid = "s" + std::to_string(rng_(kServers));
    ++state.version;
    state.changed[uid] = state.version;
    const auto it = state.servers.find(uid);
    if (it == state.servers.end()) {  // it returns with the same uid and a new start time
      ServerEntry entry = history_.begin()->second.servers.at(uid);
      entry.started = time_.now();
      state.servers[uid] = entry;
      state.removed.erase(uid);
    } else if (it->second.availability == Availability::kUp) {
      it->second.availability = Availability::kDraining;
    } else if (Chance(rng_, 0.4)) {
      it->second.availability = Availability::kUp;
    } else {
      state.servers.erase(it);
      state.removed[uid] = state.version;
    }
    Trace("version", state.version, uid);
    history_[time_.now()] = std::move(state);
  }
  // Discovery continues from an older state, at every source.
  void RestartDiscovery() {
    const auto steps = static_cast<int>(2 + rng_(4));
    auto it = std::prev(history_.end());
    for (int n = 0; n < steps && it != history_.begin(); ++n) --it;
    State state = it->second;
    if (state.version == history_.rbegin()->second.version) return;
    Trace("discovery restarts at version", state.version);
    restarted_ = time_.now();
    history_[time_.now()] = std::move(state);
  }

  // ---- Answers ----

  struct Answer {
    ServerList list;
    ListOrigin origin;
    bool has_base = true;
  };
  void Ask() {
    const auto source = static_cast<SourceId>(rng_(static_cast<std::uint32_t>(lags_.size())));
    const Time begun = time_.now();
    const std::optional<std::int64_t> since =
        Chance(rng_, 0.5) ? subject_.directory().held() : std::nullopt;
    time_.At(begun + Between(Duration(0), milliseconds(200)), [this, source, begun, since] {
      const Duration lag = restarted_ ? Duration(0) : lags_[static_cast<std::size_t>(source)];
      Deliver(MakeAnswer(StateAt(time_.now() - lag), source, begun, since));
    });
  }
  Answer MakeAnswer(const State& state, SourceId source, Time begun, std::optional<std::int64_t> since) {
    Answer answer;
    answer.origin.source = source;
    answer.origin.requested_at = begun;
    answer.origin.since = since;
    answer.list.version = state.version;
    std::int64_t from = since.value_or(-1);
    const bool unrequested = !since && Chance(rng_, 0.15);  // changes although the whole list was requested
    if (unrequested)
      from = std::max<std::int64_t>(0, state.version - 1 - static_cast<std::int64_t>(rng_(2)));
    answer.has_base = !unrequested;
    answer.list.is_whole = !unrequested && (!since || *since > state.version);
    for (const auto& [uid, entry] : state.servers) {
      const auto changed = state.changed.find(uid);
      const bool is_new = changed != state.changed.end() && changed->second > from;
      if (answer.list.is_whole || is_new) answer.list.entries.push_back(entry);
    }
    for (const auto& [uid, version] : state.removed) {
      if (answer.list.is_whole || version <= from) continue;
      ServerEntry entry;
      entry.uid = uid;
      entry.availability = Availability::kRemoved;
      answer.list.entries.push_back(entry);
    }
    return answer;
  }
  void Deliver(const Answer& answer) {
    const Time whole =
        time_.now() + (Chance(rng_, 0.4) ? Between(Duration(0), milliseconds(2500)) : Duration(0));
    const bool stops = Chance(rng_, 0.15);
    if (stops || Chance(rng_, 0.3)) {
      time_.At(time_.now() + (whole - time_.now()) / 2, [this, answer] { ArriveInPart(answer); });
    }
    if (stops) return;
    time_.At(whole, [this, answer] { Arrive(answer); });
    if (Chance(rng_, 0.1))
      time_.At(whole + Between(Duration(0), seconds(3)), [this, answer] { Arrive(answer); });
  }
  void ArriveInPart(Answer answer) {
    answer.list.entries.resize(rng_(static_cast<std::uint32_t>(answer.list.entries.size()) + 1));
    answer.origin.received_at = answer.origin.notified_at = time_.now();
    const bool stale = BegunBeforeRestart(answer);
    Trace("part of version", answer.list.version, "with", answer.list.entries.size(), "entries");
    subject_.MergePart(answer.list, answer.origin);
    if (stale) return;
    for (const ServerEntry& entry : answer.list.entries) {
      if (entry.availability != Availability::kUp)
        expected_.RecordOut(entry.uid, answer.list.version, time_.now());
    }
  }
  void Arrive(Answer answer) {
    answer.origin.received_at = answer.origin.notified_at = time_.now();
    const ListVerdict verdict = subject_.Merge(answer.list, answer.origin);
    Trace(answer.list.is_whole ? "list" : "changes", "of version", answer.list.version, "asked for at",
          std::chrono::duration<double>(answer.origin.requested_at).count(), "source", answer.origin.source,
          kListVerdictNames[static_cast<std::size_t>(verdict)]);
    if (BegunBeforeRestart(answer)) return;
    if (verdict == ListVerdict::kRestartApplied) expected_.Clear();
    Record(answer);
  }
  bool BegunBeforeRestart(const Answer& answer) const {
    return restarted_ && answer.origin.requested_at < *restarted_ + milliseconds(200);
  }
  void Record(const Answer& answer) {
    std::set<std::string> named;
    for (const ServerEntry& entry : answer.list.entries) {
      named.insert(entry.uid);
      const bool up = entry.availability == Availability::kUp;
      if (!up) expected_.RecordOut(entry.uid, answer.list.version, time_.now());
      if (up && answer.has_base) expected_.RecordIn(entry, answer.list.version);
    }
    for (int n = 0; answer.list.is_whole && n < kServers; ++n) {
      const std::string uid = "s" + std::to_string(n);
      if (!named.contains(uid)) expected_.RecordOut(uid, answer.list.version, time_.now());
    }
  }

  // ---- Checks ----

  void ReportViolation(const std::string& what) {
    if (violation_.empty()) violation_ = what;
    Trace("BROKEN:", what);
  }
  void Check() {
    if (restarted_) return CheckRestart();
    for (int n = 0; n < kServers; ++n) {
      const std::string uid = "s" + std::to_string(n);
      const auto out_since = expected_.OutSince(uid);
      if (out_since && time_.now() - *out_since >= kGrace && subject_.MaySend(uid, time_.now())) {
        ReportViolation("out: " + uid + " may be sent to");
      }
      if (out_since || expected_.InVersion(uid) < 0 || subject_.directory().in_doubt()) continue;
      if (!subject_.InService(uid)) {
        ReportViolation("in: " + uid + " is left out");
      } else if (subject_.Started(uid) < expected_.StartedBy(uid)) {
        ReportViolation("start: " + uid + " has an older one");
      }
    }
  }
  void CheckRestart() {
    if (time_.now() < *restarted_ + kRestartApplied) return;
    if (subject_.directory().held().value_or(-1) > StateAt(time_.now()).version)
      ReportViolation("restart: the old versions are still held");
  }

  Rng rng_;
  std::ostream* trace_;
  Subject subject_;
  ExpectedStates expected_;
  VirtualTime time_;
  std::map<Time, State> history_{{Time(0), {}}};
  std::vector<Duration> lags_;  // by source
  std::optional<Time> restarted_;
  std::string violation_;
};

}  // namespace

std::string ExploreDirectorySeed(std::uint64_t seed, DirectoryFault fault, std::ostream* trace) {
  return DirectoryRun(seed, fault, trace).Run();
}

int ExploreDirectory(std::uint64_t first, std::uint64_t last, DirectoryFault fault, std::ostream& out) {
  int broken = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string what = ExploreDirectorySeed(seed, fault);
    if (what.empty()) continue;
    out << "seed " << seed << ": " << what << '\n';
    if (++broken == 1) ExploreDirectorySeed(seed, fault, &out);
  }
  out << last - first + 1 << " seeds, " << broken << " broken\n";
  return broken;
}

}  // namespace brasswood::lab
