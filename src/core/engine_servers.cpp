// The engine's knowledge of servers: lists from discovery, the state preserved over a restart, and what
// operators change.
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/log.h"
#include "core/engine.h"

namespace brasswood {

using beechledge::Availability;
using beechledge::ListKind;

namespace {

// Replaces server ids by those in `to`, and removes servers and holders that are not in it.
void RemapServers(beechledge::LearnedState& learnt, const std::unordered_map<ServerId, ServerId>& to) {
  std::erase_if(learnt.servers, [&](beechledge::LearnedState::Server& s) {
    const auto it = to.find(s.id);
    if (it != to.end()) s.id = it->second;
    return it == to.end();
  });
  std::erase_if(learnt.keys, [&](beechledge::LearnedState::Key& key) {
    std::vector<ServerId> holders;
    for (const ServerId id : key.holders) {
      if (const auto it = to.find(id); it != to.end()) holders.push_back(it->second);
    }
    key.holders = std::move(holders);
    return key.holders.empty();
  });
}

}  // namespace

// ---- Lists from discovery ----

void Engine::SetInitialList(const ServerList& known, bool old) {
  Apply(directory_.SetInitialList(known, now_()), ListKind::kPersisted, old);
  ready_ = true;
  LogLine(Level::kInfo) << "list of version " << known.version << " loaded at the start, "
                        << known.entries.size() << " servers";
  if (IsLogged(Level::kDebug)) LogAvoidedServers();
}

// Logs the servers that the module avoids, twice a second, so that a test can compare them with the servers
// that are really faulty.
void Engine::LogAvoidedServers() {
  LogLine line(Level::kDebug);
  line << "avoids:";
  for (ServerId id = 0; id < directory_.size(); ++id) {
    if (balancer_.IsAvoided(id)) line << ' ' << directory_.At(id).uid;
  }
  deadlines_.Set(now_() + std::chrono::milliseconds(500), [this] { LogAvoidedServers(); });
}

void Engine::ListReceived(const ServerList& list, const ListOrigin& origin) {
  ++counters_.lists;
  const DirectoryUpdate update = directory_.Merge(list, origin);
  LogVerdict(update, list, origin);
  if (update.verdict == ListVerdict::kRestartApplied) availability_record_.Reset();
  const bool whole =
      update.verdict == ListVerdict::kApplied || update.verdict == ListVerdict::kRestartApplied;
  if (whole) {
    availability_record_.RecordList(list, origin.received_at);
  } else if (update.verdict == ListVerdict::kNoBase) {
    availability_record_.RecordPart(list, origin.received_at);
  }
  if (!whole && update.named.empty()) return;
  Apply(update, whole && list.is_whole ? ListKind::kAll : ListKind::kChanges);
  if (!whole) return;
  confirmed_ = true;
  ApplySnapshot();
}

// An incomplete answer may have been in transit for a long time: its drains have no grace period left.
void Engine::PartialListReceived(const ServerList& part, const ListOrigin& origin) {
  availability_record_.RecordPart(part, origin.received_at);
  ListOrigin late = origin;
  late.notified_at = std::min(origin.notified_at, now_() - settings_.rules.drain_grace / 2);
  const DirectoryUpdate update = directory_.MergePart(part, late);
  if (!update.named.empty()) Apply(update, ListKind::kChanges);
}

void Engine::ListCallFailed() { ++counters_.lists_refused; }

void Engine::LogVerdict(const DirectoryUpdate& update, const ServerList& list,
                        const ListOrigin& origin) const {
  if (update.verdict == ListVerdict::kApplied) return;
  LogLine(Level::kInfo) << "list of version " << list.version << " from source " << origin.source
                        << ", call " << origin.call << ": "
                        << kListVerdictNames[static_cast<std::size_t>(update.verdict)] << "; asked for "
                        << (now_() - origin.requested_at).count() / 1000000
                        << " ms ago, version held: " << directory_.held().value_or(-1);
}

void Engine::LogChange(ServerId id) const {
  const Server& server = directory_.At(id);
  LogLine(Level::kInfo) << "server " << server.uid << " at " << server.endpoint << " is "
                        << (server.availability == Availability::kUp         ? "in service"
                            : server.availability == Availability::kDraining ? "terminating"
                                                                             : "terminated")
                        << ", version " << directory_.VersionOf(id) << " of source "
                        << directory_.SourceOf(id);
}

beechledge::ServerEntry Engine::EntryFor(ServerId id) const {
  const ServerEntry entry = directory_.Effective(id);
  beechledge::ServerEntry e;
  e.id = id;
  e.name = entry.uid;
  e.zone = entry.zone;
  e.kind = entry.kind;
  e.cell = entry.cell;
  e.availability = entry.availability;
  e.scale = entry.scale;
  e.started = entry.started;
  return e;
}

void Engine::Apply(const DirectoryUpdate& update, ListKind kind, bool old) {
  // Idle connections lead to the server's old address or to its previous process.
  for (const ServerId id : update.moved) BackEndOf(id).CloseIdle(id);
  for (const ServerId id : update.changed) LogChange(id);
  beechledge::ServerList list;
  list.kind = kind;
  list.stale = old;
  if (kind == ListKind::kChanges) {
    for (const ServerId id : update.named) list.entries.push_back(EntryFor(id));
  }
  for (ServerId id = 0; id < directory_.size(); ++id) {
    const bool removed = directory_.At(id).availability == Availability::kRemoved;
    if (removed) BackEndOf(id).CloseIdle(id);
    if (!removed && kind != ListKind::kChanges) list.entries.push_back(EntryFor(id));
  }
  Push(std::move(list));
  ForgetRemovedServers();
}

// ---- State preserved over a restart ----

Snapshot Engine::ExportSnapshot(std::size_t max_keys) const {
  Snapshot s;
  s.list.version = directory_.held().value_or(-1);
  s.suspended = directory_.suspended();
  std::unordered_map<ServerId, ServerId> indexes;
  for (ServerId id = 0; id < directory_.size(); ++id) {
    const Server& server = directory_.At(id);
    if (server.uid.empty() || server.availability == Availability::kRemoved) continue;
    indexes[id] = static_cast<ServerId>(s.list.entries.size());
    s.list.entries.push_back(directory_.Reported(id));
  }
  s.module_state = balancer_.ExportState(now_(), max_keys);
  RemapServers(s.module_state, indexes);
  return s;
}

void Engine::RestoreSnapshot(Snapshot snapshot, double confidence) {
  pending_snapshot_ = std::move(snapshot);
  snapshot_confidence_ = confidence;
  // The snapshot is applied to the list that is already loaded. In a large fleet the first call to
  // discovery may take seconds. Guards against running without the snapshot until then: keys that had moved
  // would go back to their earlier servers and evict other keys there.
  if (directory_.size() > 0) ApplySnapshot();
}

void Engine::ApplySnapshot() {
  if (!pending_snapshot_) return;
  std::unordered_map<ServerId, ServerId> ids;  // by index in the snapshot's list
  const auto& entries = pending_snapshot_->list.entries;
  for (ServerId index = 0; index < entries.size(); ++index) {
    const auto id = directory_.Find(entries[index].uid);
    if (!id || directory_.At(*id).availability != Availability::kUp) continue;
    // A restarted server has other contents, and perhaps another size.
    if (directory_.Reported(*id).started != entries[index].started) continue;
    ids[index] = *id;
  }
  RemapServers(pending_snapshot_->module_state, ids);
  balancer_.RestoreState(now_(), pending_snapshot_->module_state, snapshot_confidence_);
  LogLine(Level::kInfo) << "kept state taken up for " << ids.size() << " of " << entries.size()
                        << " servers";
  pending_snapshot_.reset();
}

// ---- Operators ----

bool Engine::Suspend(const std::string& uid, bool any) {
  if (!directory_.Find(uid) && !any) return false;
  if (!directory_.Suspend(uid)) return true;
  if (const auto back = resume_timers_.find(uid); back != resume_timers_.end()) {
    deadlines_.Cancel(back->second);
    resume_timers_.erase(back);
  }
  LogLine(Level::kInfo) << "server " << uid << " suspended by hand";
  ApplyOperatorState(uid);
  return true;
}

bool Engine::Resume(const std::string& uid, bool any) {
  if (!directory_.Find(uid) && !any && !suspended().contains(uid)) return false;
  if (!directory_.Resume(uid)) return true;
  LogLine(Level::kInfo) << "server " << uid << " resumed by hand; it counts as started now";
  // Guards against requests that reach the server before the operator receives the confirmation: until then
  // the server stays out of service.
  resume_timers_[uid] =
      deadlines_.Set(now_() + limits_.resume_delay, [this, uid] { ReturnToService(uid); });
  return true;
}

void Engine::ReturnToService(const std::string& uid) {
  resume_timers_.erase(uid);
  directory_.ReturnToService(uid, now_());
  ApplyOperatorState(uid);
}

void Engine::ApplyOperatorState(const std::string& uid) {
  const DirectoryUpdate update = directory_.ApplyOperatorState(uid, now_());
  if (!update.named.empty()) Apply(update, ListKind::kChanges);
}

Engine::ServerCounts Engine::CountServers() const {
  ServerCounts c;
  for (ServerId id = 0; id < directory_.size(); ++id) {
    const Server& server = directory_.At(id);
    if (server.uid.empty() || server.origin || server.availability == Availability::kRemoved) continue;
    ++c.known;
    c.skipped += suspended().contains(server.uid);
  }
  c.skipped += balancer_.AvoidedCount();
  return c;
}

// Guards against tables that only grow: if servers are replaced all day, the removed ones would stay in
// memory and in every loop over servers. A server is forgotten, and its id becomes free, once it was
// removed Limits::forget_removed_after ago and no request, attempt or probe in the tables refers to it.
void Engine::ForgetRemovedServers() {
  const Time before = now_() - limits_.forget_removed_after;
  if (!directory_.AnyRemovedBefore(before)) return;
  std::vector<bool> referred(directory_.size());
  requests_.Each([&](RequestId, const Request& request) {
    for (const ServerId id : request.tried_servers) referred[id] = true;
  });
  attempts_.Each([&](AttemptId, const Attempt& attempt) { referred[attempt.server] = true; });
  for (ServerId id = 0; id < directory_.size(); ++id) {
    if (referred[id] || !directory_.RemovedBefore(id, before)) continue;
    BackEndOf(id).Forget(id);
    directory_.Forget(id);
  }
}

}  // namespace brasswood
