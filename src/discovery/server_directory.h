// The server directory: the single owner of the state of the servers. It merges every answer of discovery,
// complete or partial, with the configured list, the persisted state and the operators' state. All other
// code gets a server's state, endpoint, start time and grace period from here. Does no I/O.
//
// Updates are ordered by version, not by arrival. The state of a server is that of the highest version that
// mentions it, so lists may arrive in any order, from any source, twice or incomplete. `held` is the
// version up to which everything is known. Drains from partial answers may be newer.
//
//   whole list, version >= held                    applied: servers that it does not name are removed
//   changes from a version <= held                 applied if their own version is >= held
//   changes from a version not held                only their drains and removals are applied
//   part of an answer, version > held              only its drains and removals are applied
//   version < held, requested before held arrived  ignored: a late answer
//   version < held, requested later                in doubt: the source lags, or discovery restarted
//
// In doubt, a server that an older list reports as draining, or that older lists named at first and no
// longer name, is taken out of service as well, as long as one server stays in service. Newer start times
// in an older list are used. The doubt ends with the next answer that is not older than `held`. If no such
// answer arrives, and kRestartLists whole lists were requested over a period of kRestartEvidence, discovery
// has restarted: its list is applied as the current one.
//
// The grace period runs once for each drain. It starts when the router first counts as notified of the
// drain or removal, and only a newer update that puts the server in service ends it.
#ifndef BRASSWOOD_DISCOVERY_SERVER_DIRECTORY_H_
#define BRASSWOOD_DISCOVERY_SERVER_DIRECTORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "beechledge/balancer.h"
#include "discovery/server_list.h"

namespace brasswood {

using ServerId = beechledge::ServerId;

// A server as the router has to treat it.
struct Server {
  std::string uid, endpoint;  // empty uid: the id is not in use
  bool origin = false;
  beechledge::Availability availability = beechledge::Availability::kRemoved;
  Time out_since{0};              // while it is not in service: start of its grace period
  Time started{0};                // its last start
  std::uint32_t start_count = 0;  // counts its known starts
};

// The result of merging a list.
enum class ListVerdict : std::size_t {
  kApplied,
  kOlder,           // late: it was requested before the version held arrived
  kNoBase,          // changes from a version that is not held: only drains and removals were applied
  kDoubted,         // older than the version held, although requested later
  kRestartApplied,  // discovery restarted with lower versions
  kNotNewer,        // a part of an answer that is not newer than the version held
  kPartApplied,     // drains and removals of a part were applied
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(ListVerdict::kCount)> kListVerdictNames =
    {"taken",     "older",     "changes without their base", "in doubt", "discovery started anew",
     "not newer", "part taken"};

// What a merge changed. The caller has to act on it.
struct DirectoryUpdate {
  ListVerdict verdict = ListVerdict::kApplied;
  std::vector<ServerId> named;    // mentioned, in the list's order; their state may be unchanged
  std::vector<ServerId> changed;  // their availability changed
  std::vector<ServerId> moved;    // idle connections lead to an old address or to an earlier process
};

class ServerDirectory {
 public:
  static constexpr std::size_t kRestartLists = 3;
  // The router counts as notified of every change within this time, so no source may lag longer.
  static constexpr Duration kRestartEvidence = std::chrono::seconds(6);

  // `origin_kind`: the kind of servers that are the origin; below 0: none.
  explicit ServerDirectory(int origin_kind) : origin_kind_(origin_kind) {}

  // ---- Lists ----

  // Sets the configured or persisted list. An entry from discovery with the same version takes precedence.
  DirectoryUpdate SetInitialList(const ServerList& list, Time now);
  // The verdict that Merge would return for the list. Changes nothing.
  ListVerdict Classify(const ServerList& list, const ListOrigin& origin) const;
  DirectoryUpdate Merge(const ServerList& list, const ListOrigin& origin);
  // Merges the complete entries of an answer that is incomplete, or not complete yet.
  DirectoryUpdate MergePart(const ServerList& part, const ListOrigin& origin);

  // ---- Operators ----

  // The operators' state takes precedence over discovery's. Returns false if nothing changed.
  bool Suspend(const std::string& uid);
  bool Resume(const std::string& uid);
  // A resumed server is used again from now on, and counts as started now.
  void ReturnToService(const std::string& uid, Time now);
  const std::set<std::string>& suspended() const { return suspended_; }
  // Updates a server's state after an operator's change.
  DirectoryUpdate ApplyOperatorState(const std::string& uid, Time now);

  // ---- Queries ----

  std::optional<ServerId> Find(const std::string& uid) const;
  std::size_t size() const { return records_.size(); }  // ids in use and free ids
  const Server& At(ServerId id) const { return records_[id].server; }
  // The server's entry as last received, and the entry as the router has to treat it.
  const ServerEntry& Reported(ServerId id) const { return records_[id].reported; }
  ServerEntry Effective(ServerId id) const;
  // The version and the source of the list that the entry came from.
  std::int64_t VersionOf(ServerId id) const { return records_[id].stamp.version; }
  SourceId SourceOf(ServerId id) const { return records_[id].source; }
  // Whether an attempt may be sent to it at `now`: it is in service, or went out of service less than
  // `grace` ago.
  bool Serving(ServerId id, Time now, Duration grace) const;
  // The version up to which everything is known.
  std::optional<std::int64_t> held() const { return held_; }
  bool in_doubt() const { return doubt_.lists > 0; }

  bool RemovedBefore(ServerId id, Time before) const;
  bool AnyRemovedBefore(Time before) const;
  // Its id may be reused.
  void Forget(ServerId id);

 private:
  struct Stamp {
    std::int64_t version = -1;
    bool from_discovery = false;  // false: configured or persisted
  };
  struct Record {
    Server server;
    ServerEntry reported;
    Stamp stamp;
    SourceId source = 0;
    bool doubted = false;  // out of service until the doubt ends
    Time min_started{0};   // a start time from an older list: a start cannot be undone
    Time removed_at{0};
  };
  // Lists older than `held` that were requested after it arrived.
  struct Doubt {
    std::size_t lists = 0;
    std::int64_t version = -1;  // the highest of them
    Time first_begun{0};
    std::set<std::string> named;  // servers named by any of them
  };

  ServerId FindOrAdd(const ServerEntry& entry);
  bool Replaces(const Record& record, const ServerEntry& entry, const Stamp& stamp) const;
  void StoreEntry(ServerId id, const ServerEntry& entry, const Stamp& stamp, SourceId source);
  void Refresh(ServerId id, Time notified_at, DirectoryUpdate& update);
  void ApplyAll(const ServerList& list, const Stamp& stamp, const ListOrigin& origin,
                DirectoryUpdate& update);
  void ApplyDrains(const ServerList& list, const Stamp& stamp, const ListOrigin& origin,
                   DirectoryUpdate& update);
  void ApplyDoubted(const ServerList& list, const ListOrigin& origin, DirectoryUpdate& update);
  void EndDoubt(Time now, DirectoryUpdate& update);
  bool RestartConfirmed(const ServerList& list, const ListOrigin& origin) const;
  std::size_t InService() const;

  const int origin_kind_;
  std::vector<Record> records_;  // by ServerId
  std::vector<ServerId> free_ids_;
  std::unordered_map<std::string, ServerId> by_uid_;
  std::optional<std::int64_t> held_;
  Time held_confirmed_{0};  // when a list that was not older last arrived
  Time restarted_{0};       // when discovery last restarted with lower versions
  Doubt doubt_;
  std::set<std::string> suspended_, returning_;
  std::unordered_map<std::string, Time> returned_;  // by uid: when it last returned after a resume
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_SERVER_DIRECTORY_H_
