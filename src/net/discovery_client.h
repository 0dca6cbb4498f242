// Calls to discovery over TCP: executes the actions that ListRefresher decides on and reports their outcome
// to it. Server lists are passed to the engine. When a call is made and how long it may take is decided by
// ListRefresher, not here.
#ifndef BRASSWOOD_NET_DISCOVERY_CLIENT_H_
#define BRASSWOOD_NET_DISCOVERY_CLIENT_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "config/limits.h"
#include "config/settings.h"
#include "core/engine.h"
#include "discovery/list_refresher.h"
#include "net/loop.h"
#include "protocol/discovery.h"
#include "protocol/http.h"

namespace brasswood {

// The calls to discovery, as printed for operators.
struct DiscoveryCounters {
  std::uint64_t calls = 0;                 // sent
  std::uint64_t connections = 0;           // opened
  std::uint64_t partial = 0;               // answers whose entries were used before the answer was complete
  std::uint64_t consecutive_failures = 0;  // since the last answer that was accepted
  std::uint64_t max_consecutive_failures = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(CallEndReason::kCount)> ended{};
};

class DiscoveryClient : public DiscoverySource {
 public:
  // `known`: the version of the list held at the start; negative if there is none. `phase`: from 0 to 1,
  // different for each router, so that the watches of a fleet that become unresponsive or break at the same
  // time are not reopened at the same time.
  DiscoveryClient(Loop& loop, Engine& engine, const Limits& limits, const ParsedSettings& settings,
                  std::string address, std::int64_t known, double phase = 0);

  // Makes the first call one that discovery answers at once, even if nothing has changed, at the cost of
  // one more call. A router with persisted state needs to know whether it is still valid, and a watch is
  // not answered before something changes.
  void MakeFirstCallImmediate() { refresher_.MakeFirstCallImmediate(); }

  void SetWatching(bool on) override;
  void RequestWholeList() override;

  // Moves to the discovery at this address, where the whole list is requested first. Until that list
  // arrives, answers of the old address still count.
  void SwitchTo(const std::string& address);

  const DiscoveryCounters& counters() const { return counters_; }
  ListState state() const { return refresher_.state(); }
  // The time since the list was last known to be current; empty before this process received any answer.
  std::optional<Duration> ListAge() const { return refresher_.Age(loop_.Now()); }

 private:
  struct Call {
    Call(DiscoveryClient& owner, const OpenCall& action, Time now);
    DiscoveryClient* watch = nullptr;
    CallId id = 0;
    ListOrigin origin;  // of the lists that it receives; its times are filled in as they arrive
    bool connected = false;
    bool partially_used = false;
    Time first_byte_at = Time::max();  // of its answer
    BufferPtr buffer;
    HttpAnswerReader answer;
    ListReader list;
  };

  void ExecuteActions(ListActions actions);
  void Execute(const OpenCall& action);
  void Execute(const CloseCall& action);
  void Execute(const StateChanged& action);
  void SetTimer();
  bool Connect(Call& call);
  void SetCallbacks(Call& call);
  void OnRead(CallId id);
  void OnEvent(CallId id, short what);
  Parsed HandleAnswer(Call& call, InputEnd input);
  void HandleEntries(Call& call);
  void HandleList(Call& call, bool keep);
  ListOrigin CurrentOrigin(const Call& call) const;
  void Fail(CallId id, CallEndReason why, const std::string& detail = {});
  void LogFailure(CallId id, SourceId source, const std::string& reason);

  Loop& loop_;
  Engine& engine_;
  const Limits& limits_;
  const SettingNames& names_;
  const Time started_;
  const Duration drain_grace_;
  // The sources that are followed, moved to, or still have an open call.
  std::map<SourceId, std::string> addresses_;
  SourceId last_source_ = 0;
  ListRefresher refresher_;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  BufferPtr reusable_;  // the connection of the call that was just answered, for the next call
  CallId reusable_call_ = 0;
  std::vector<CallId> failed_connects_;  // reported to the refresher after its current actions
  bool connect_failing_ = false;         // the last call could not be connected
  DiscoveryCounters counters_;
  Deadlines::Id deadline_;
};

// Prints one line of counters: the state and age of the list, and the calls by how they ended.
std::ostream& operator<<(std::ostream& out, const DiscoveryClient& watch);

}  // namespace brasswood

#endif  // BRASSWOOD_NET_DISCOVERY_CLIENT_H_
