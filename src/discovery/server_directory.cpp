#include "discovery/server_directory.h"

#include <algorithm>
#include <tuple>

namespace brasswood {

using beechledge::Availability;

// ---- Lists ----

DirectoryUpdate ServerDirectory::SetInitialList(const ServerList& list, Time now) {
  DirectoryUpdate update;
  ListOrigin origin;
  origin.notified_at = now;
  ApplyAll(list, {list.version, false}, origin, update);
  if (list.version >= 0) held_ = list.version;
  return update;
}

ListVerdict ServerDirectory::Classify(const ServerList& list, const ListOrigin& origin) const {
  if (origin.requested_at < restarted_) return ListVerdict::kOlder;
  if (held_ && list.version < *held_) {
    if (origin.requested_at <= held_confirmed_) return ListVerdict::kOlder;
    return RestartConfirmed(list, origin) ? ListVerdict::kRestartApplied : ListVerdict::kDoubted;
  }
  const bool has_base = list.is_whole || (origin.since && held_ && *origin.since <= *held_);
  return has_base ? ListVerdict::kApplied : ListVerdict::kNoBase;
}

DirectoryUpdate ServerDirectory::Merge(const ServerList& list, const ListOrigin& origin) {
  DirectoryUpdate update;
  update.verdict = Classify(list, origin);
  switch (update.verdict) {
    case ListVerdict::kOlder:
      return update;
    case ListVerdict::kDoubted:
      ApplyDoubted(list, origin, update);
      return update;
    case ListVerdict::kNoBase:
      ApplyDrains(list, {list.version, true}, origin, update);
      return update;
    case ListVerdict::kRestartApplied:
      restarted_ = origin.received_at;
      for (Record& record : records_) {
        record.stamp = {};
        record.min_started = std::max(record.min_started, record.reported.started);
      }
      break;
    default:
      break;
  }
  held_ = list.version;
  held_confirmed_ = std::max(held_confirmed_, origin.received_at);
  ApplyAll(list, {list.version, true}, origin, update);
  EndDoubt(origin.notified_at, update);
  return update;
}

DirectoryUpdate ServerDirectory::MergePart(const ServerList& part, const ListOrigin& origin) {
  DirectoryUpdate update;
  // Guards against a late copy of an earlier answer: its drains may have ended since.
  if (origin.requested_at < restarted_ || (held_ && part.version <= *held_)) {
    update.verdict = ListVerdict::kNotNewer;
    return update;
  }
  update.verdict = ListVerdict::kPartApplied;
  ApplyDrains(part, {part.version, true}, origin, update);
  return update;
}

// Applies a whole list, or changes whose base version is held.
void ServerDirectory::ApplyAll(const ServerList& list, const Stamp& stamp, const ListOrigin& origin,
                               DirectoryUpdate& update) {
  std::vector<bool> named(records_.size());
  for (const ServerEntry& entry : list.entries) {
    const ServerId id = FindOrAdd(entry);
    if (id >= named.size()) named.resize(id + 1);
    named[id] = true;
    if (Replaces(records_[id], entry, stamp)) StoreEntry(id, entry, stamp, origin.source);
    Refresh(id, origin.notified_at, update);
    update.named.push_back(id);
  }
  if (!list.is_whole) return;
  for (ServerId id = 0; id < records_.size(); ++id) {
    Record& record = records_[id];
    if (named[id] || record.server.uid.empty() || record.stamp.version > stamp.version) continue;
    record.reported.availability = Availability::kRemoved;
    record.stamp = stamp;
    Refresh(id, origin.notified_at, update);
  }
}

// Applies only drains and removals: taking a server out of service breaks no rule, whatever the rest of the
// answer contains.
void ServerDirectory::ApplyDrains(const ServerList& list, const Stamp& stamp, const ListOrigin& origin,
                                  DirectoryUpdate& update) {
  for (const ServerEntry& entry : list.entries) {
    const auto known = by_uid_.find(entry.uid);
    if (known == by_uid_.end() || entry.availability == Availability::kUp) continue;
    if (!Replaces(records_[known->second], entry, stamp)) continue;
    StoreEntry(known->second, entry, stamp, origin.source);
    Refresh(known->second, origin.notified_at, update);
    update.named.push_back(known->second);
  }
}

// Whether the entry with this stamp replaces the one held. A version should have one content only; if two
// lists of the same version differ, the safer entry is used (removed before draining before in service),
// then the one with the later start, whichever arrived first.
bool ServerDirectory::Replaces(const Record& record, const ServerEntry& entry, const Stamp& stamp) const {
  const auto order = [](const Stamp& s) { return std::tuple(s.version, s.from_discovery); };
  if (record.server.uid.empty() || order(stamp) != order(record.stamp)) {
    return record.server.uid.empty() || order(stamp) > order(record.stamp);
  }
  const auto rank = [](const ServerEntry& e) {
    return std::tuple(e.availability, e.started, e.endpoint, e.scale, e.zone, e.kind, e.cell);
  };
  return rank(entry) >= rank(record.reported);
}

ServerId ServerDirectory::FindOrAdd(const ServerEntry& entry) {
  const bool reuse = !free_ids_.empty();
  const auto [it, fresh] =
      by_uid_.emplace(entry.uid, reuse ? free_ids_.back() : static_cast<ServerId>(records_.size()));
  if (fresh && reuse) {
    free_ids_.pop_back();
  } else if (fresh) {
    records_.emplace_back();
  }
  return it->second;
}

void ServerDirectory::StoreEntry(ServerId id, const ServerEntry& entry, const Stamp& stamp,
                                 SourceId source) {
  Record& record = records_[id];
  record.reported = entry;
  record.stamp = stamp;
  record.source = source;
}

// ---- The state of a server ----

ServerEntry ServerDirectory::Effective(ServerId id) const {
  const Record& record = records_[id];
  ServerEntry entry = record.reported;
  const bool out_of_service =
      record.doubted || suspended_.contains(entry.uid) || returning_.contains(entry.uid);
  if (out_of_service && entry.availability == Availability::kUp)
    entry.availability = Availability::kDraining;
  entry.started = std::max(entry.started, record.min_started);
  // Guards against a restart that discovery does not report, or reports late: the server's contents are
  // lost, and the module has to treat it as cold from the resume on.
  if (const auto it = returned_.find(entry.uid); it != returned_.end())
    entry.started = std::max(entry.started, it->second);
  return entry;
}

// `notified_at`: the time from which the router counts as notified of the update that caused this.
void ServerDirectory::Refresh(ServerId id, Time notified_at, DirectoryUpdate& update) {
  Record& record = records_[id];
  Server& server = record.server;
  const ServerEntry entry = Effective(id);
  const bool fresh = server.uid.empty();
  const bool was_in = !fresh && server.availability == Availability::kUp;
  const bool is_in = entry.availability == Availability::kUp;
  if (!fresh && (server.endpoint != entry.endpoint || server.started != entry.started)) {
    update.moved.push_back(id);
  }
  if (fresh || server.availability != entry.availability) update.changed.push_back(id);
  if (fresh || server.started != entry.started) ++server.start_count;
  if (!is_in) server.out_since = was_in || fresh ? notified_at : std::min(server.out_since, notified_at);
  if (entry.availability == Availability::kRemoved &&
      (fresh || server.availability != Availability::kRemoved)) {
    record.removed_at = notified_at;
  }
  server.uid = entry.uid;
  server.endpoint = entry.endpoint;
  server.started = entry.started;
  // Set only once: an attempt must end at the back end where it started.
  if (fresh) server.origin = origin_kind_ >= 0 && entry.kind == origin_kind_;
  server.availability = entry.availability;
}

bool ServerDirectory::Serving(ServerId id, Time now, Duration grace) const {
  const Server& server = records_[id].server;
  return server.availability == Availability::kUp || now - server.out_since < grace;
}

std::optional<ServerId> ServerDirectory::Find(const std::string& uid) const {
  const auto it = by_uid_.find(uid);
  return it == by_uid_.end() ? std::nullopt : std::optional<ServerId>(it->second);
}

// ---- Doubt ----

std::size_t ServerDirectory::InService() const {
  return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [](const Record& r) {
    return r.server.availability == Availability::kUp && !r.server.origin;
  }));
}

// A list without any server in service is no evidence of a restart: if it were applied, there would be no
// server left to send requests to.
bool ServerDirectory::RestartConfirmed(const ServerList& list, const ListOrigin& origin) const {
  const bool serves = std::any_of(list.entries.begin(), list.entries.end(), [](const ServerEntry& entry) {
    return entry.availability == Availability::kUp;
  });
  return list.is_whole && serves && doubt_.lists + 1 >= kRestartLists &&
         origin.requested_at - doubt_.first_begun >= kRestartEvidence;
}

// Guards against missing a drain that a restarted discovery sends with a version below the one held.
void ServerDirectory::ApplyDoubted(const ServerList& list, const ListOrigin& origin,
                                   DirectoryUpdate& update) {
  if (!list.is_whole) return;  // changes from an unknown state
  if (doubt_.lists++ == 0) doubt_.first_begun = origin.requested_at;
  const bool newest = list.version >= doubt_.version;
  doubt_.version = std::max(doubt_.version, list.version);
  std::set<std::string> in_service, named;
  for (const ServerEntry& entry : list.entries) {
    named.insert(entry.uid);
    if (entry.availability == Availability::kUp) in_service.insert(entry.uid);
    if (const auto known = Find(entry.uid)) {
      records_[*known].min_started = std::max(records_[*known].min_started, entry.started);
    }
  }
  std::size_t in_service_left = InService();
  for (ServerId id = 0; id < records_.size(); ++id) {
    Record& record = records_[id];
    const std::string& uid = record.server.uid;
    if (uid.empty() || record.server.origin) continue;
    // A list that lags does not name new servers. If an earlier list in this doubt named the server and
    // this one does not, the server was removed.
    const bool mentioned = named.contains(uid) || doubt_.named.contains(uid);
    const bool serves = record.server.availability == Availability::kUp;
    if (mentioned && !in_service.contains(uid) && (!serves || in_service_left > 1)) {
      record.doubted = true;
      in_service_left -= serves;
    }
    if (newest && in_service.contains(uid)) record.doubted = false;
    Refresh(id, origin.notified_at, update);
    update.named.push_back(id);
  }
  doubt_.named.merge(named);
}

void ServerDirectory::EndDoubt(Time now, DirectoryUpdate& update) {
  if (!in_doubt()) return;
  doubt_ = {};
  for (ServerId id = 0; id < records_.size(); ++id) {
    if (!records_[id].doubted) continue;
    records_[id].doubted = false;
    Refresh(id, now, update);
    update.named.push_back(id);
  }
}

// ---- Operators ----

bool ServerDirectory::Suspend(const std::string& uid) {
  if (!suspended_.insert(uid).second) return false;
  returning_.erase(uid);
  return true;
}

bool ServerDirectory::Resume(const std::string& uid) {
  if (suspended_.erase(uid) == 0) return false;
  returning_.insert(uid);
  return true;
}

void ServerDirectory::ReturnToService(const std::string& uid, Time now) {
  returning_.erase(uid);
  returned_[uid] = now;
}

DirectoryUpdate ServerDirectory::ApplyOperatorState(const std::string& uid, Time now) {
  DirectoryUpdate update;
  const auto id = Find(uid);
  if (!id) return update;
  Refresh(*id, now, update);
  update.named.push_back(*id);
  return update;
}

// ---- Removed servers ----

bool ServerDirectory::RemovedBefore(ServerId id, Time before) const {
  const Record& record = records_[id];
  return !record.server.uid.empty() && record.server.availability == Availability::kRemoved &&
         record.removed_at <= before;
}

bool ServerDirectory::AnyRemovedBefore(Time before) const {
  for (ServerId id = 0; id < records_.size(); ++id) {
    if (RemovedBefore(id, before)) return true;
  }
  return false;
}

void ServerDirectory::Forget(ServerId id) {
  by_uid_.erase(records_[id].server.uid);
  returned_.erase(records_[id].server.uid);
  records_[id] = {};
  free_ids_.push_back(id);
}

}  // namespace brasswood
