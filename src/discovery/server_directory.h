// The server directory: the one owner of what is known of the servers. Every answer of discovery, whole or
// in part, the configured list, kept state and the operators' word are merged here, and whoever needs a
// server's state, endpoint, start or the end of its grace asks here. Free of I/O.
//
// Versions order what is known; the order of arrival does not. The state of a server is that of the
// highest version that told of it, so that lists may come in any order, from any source, twice or cut
// short. `held` is the version up to which everything is known; the drains of answers that came in part
// may be newer.
//
//   a whole list, version >= held          taken: servers that it does not name are removed
//   changes from a version <= held         taken, if their own version is >= held
//   changes from a version not held        their drains and removals alone
//   a part of an answer, version > held    its drains and removals alone
//   version < held, asked before held was  nothing: a late answer
//   version < held, asked later            doubt: a source that lags, or a discovery that started anew
//
// In doubt a server that the older list says is draining or has since lost is left out as well, as long as
// one is left in service, and its newer starts count. The doubt ends with the next answer that is not older
// than `held`. Where none comes, and kRestartLists whole lists have been asked for over kRestartEvidence,
// discovery has started anew: its list is taken as the truth.
//
// A grace runs once for each drain of a server's life: it starts when the drain or removal first counts as
// told, and only newer news that puts the server in service ends it.
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

// A server as the router is to treat it.
struct Server {
  std::string uid, endpoint;  // no uid: a number that no server has
  bool origin = false;
  beechledge::Availability availability = beechledge::Availability::kRemoved;
  Time out_since{0};       // while it is not in service: from when its grace runs
  Time started{0};         // its last start
  std::uint32_t life = 0;  // counts its starts, as far as they are known
};

// What became of a list.
enum class ListVerdict : std::size_t {
  kTaken,
  kOlder,         // late: it was asked for before the version held was told
  kNoBase,        // changes from a version that is not held: drains and removals alone were taken
  kDoubted,       // older, though asked for later
  kRestartTaken,  // discovery has started anew, with lower versions
  kNotNewer,      // a part of an answer that is older than the version held, or the same
  kPartTaken,     // drains and removals of a part
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(ListVerdict::kCount)> kListVerdictNames =
    {"taken",     "older",     "changes without their base", "in doubt", "discovery started anew",
     "not newer", "part taken"};

// What a merge changed, for whoever acts on it.
struct DirectoryUpdate {
  ListVerdict verdict = ListVerdict::kTaken;
  std::vector<ServerId> named;    // told of, in the list's order; they may be as they were
  std::vector<ServerId> changed;  // in or out of service now
  std::vector<ServerId> moved;    // kept connections lead to another address or an earlier start
};

class ServerDirectory {
 public:
  static constexpr std::size_t kRestartLists = 3;
  // Whatever discovery has counts as told within this, so no source lags longer.
  static constexpr Duration kRestartEvidence = std::chrono::seconds(6);

  // `origin_kind`: of servers that are the origin; below 0: none.
  explicit ServerDirectory(int origin_kind) : origin_kind_(origin_kind) {}

  // ---- Lists ----

  // The configured or kept list: any word of discovery of the same version goes before it.
  DirectoryUpdate Remember(const ServerList& list, Time now);
  // What Merge would say of the list, changing nothing.
  ListVerdict Judge(const ServerList& list, const ListOrigin& origin) const;
  DirectoryUpdate Merge(const ServerList& list, const ListOrigin& origin);
  // Entries that came whole of an answer that did not, or not yet.
  DirectoryUpdate MergePart(const ServerList& part, const ListOrigin& origin);

  // ---- Operators ----

  // What operators say is laid over discovery's word. False: nothing has changed.
  bool Suspend(const std::string& uid);
  bool Resume(const std::string& uid);
  // A resumed server is used again, and counts as started now.
  void PutBack(const std::string& uid, Time now);
  const std::set<std::string>& suspended() const { return suspended_; }
  // Brings a server's state up to date with what operators have said.
  DirectoryUpdate Reconsider(const std::string& uid, Time now);

  // ---- What is known ----

  std::optional<ServerId> Find(const std::string& uid) const;
  std::size_t size() const { return records_.size(); }  // numbers in use and free
  const Server& At(ServerId id) const { return records_[id].server; }
  // As discovery last told it, and the list's entry as the router is to treat it.
  const ServerEntry& Told(ServerId id) const { return records_[id].told; }
  ServerEntry Effective(ServerId id) const;
  // The list that told it: its version, and whose it was.
  std::int64_t VersionOf(ServerId id) const { return records_[id].stamp.version; }
  SourceId SourceOf(ServerId id) const { return records_[id].source; }
  // May an attempt be sent to it at `now`, so long after the start of its grace at most?
  bool Serving(ServerId id, Time now, Duration grace) const;
  // The version up to which everything is known.
  std::optional<std::int64_t> held() const { return held_; }
  bool in_doubt() const { return doubt_.lists > 0; }

  bool RemovedBefore(ServerId id, Time before) const;
  bool AnyRemovedBefore(Time before) const;
  // Its number may be used again.
  void Forget(ServerId id);

 private:
  struct Stamp {
    std::int64_t version = -1;
    bool discovery = false;  // else configured or kept
  };
  struct Record {
    Server server;
    ServerEntry told;
    Stamp stamp;
    SourceId source = 0;
    bool doubted = false;  // left out for as long as the doubt lasts
    Time start_floor{0};   // a start that an older list told, which a server cannot undo
    Time removed_at{0};
  };
  // Lists older than `held` that were asked for after it was told.
  struct Doubt {
    std::size_t lists = 0;
    std::int64_t version = -1;  // the highest of them
    Time first_begun{0};
    std::set<std::string> named;  // by any of them
  };

  ServerId Place(const ServerEntry& entry);
  bool Replaces(const Record& record, const ServerEntry& entry, const Stamp& stamp) const;
  void Take(ServerId id, const ServerEntry& entry, const Stamp& stamp, SourceId source);
  void Refresh(ServerId id, Time told, DirectoryUpdate& update);
  void TakeAll(const ServerList& list, const Stamp& stamp, const ListOrigin& origin,
               DirectoryUpdate& update);
  void TakeDrains(const ServerList& list, const Stamp& stamp, const ListOrigin& origin,
                  DirectoryUpdate& update);
  void TakeDoubted(const ServerList& list, const ListOrigin& origin, DirectoryUpdate& update);
  void EndDoubt(Time now, DirectoryUpdate& update);
  bool RestartProven(const ServerList& list, const ListOrigin& origin) const;
  std::size_t InService() const;

  const int origin_kind_;
  std::vector<Record> records_;  // by ServerId
  std::vector<ServerId> unused_;
  std::unordered_map<std::string, ServerId> by_uid_;
  std::optional<std::int64_t> held_;
  Time held_confirmed_{0};  // when a list that was not older last arrived
  Time restarted_{0};       // when versions last began anew
  Doubt doubt_;
  std::set<std::string> suspended_, returning_;
  std::unordered_map<std::string, Time> put_back_;  // by uid: when operators last did so
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_SERVER_DIRECTORY_H_
