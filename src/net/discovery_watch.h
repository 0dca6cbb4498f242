// Calls to discovery on real connections: carries out what ListRefresher decides, and tells it what came of
// it. Lists go on to the engine; when a call goes out, and how long it may take, is not decided here.
#ifndef BRASSWOOD_NET_DISCOVERY_WATCH_H_
#define BRASSWOOD_NET_DISCOVERY_WATCH_H_

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

// What the watch has done, for the counters that operators read.
struct DiscoveryCounters {
  std::uint64_t calls = 0;        // sent
  std::uint64_t connections = 0;  // opened
  std::uint64_t partial = 0;      // answers whose entries were used before they were whole
  std::uint64_t in_vain = 0;      // calls that failed since the last answer that was taken
  std::uint64_t most_in_vain = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(CallEnd::kCount)> ended{};
};

class DiscoveryWatch : public Watch {
 public:
  // `known`: the version of the list held at the start, if any (below 0: none). `phase`: 0 to 1, differs
  // from router to router: the watches of a fleet that fall silent or break together are not opened anew
  // together.
  DiscoveryWatch(Loop& loop, Engine& engine, const Limits& limits, const SettingsRead& settings,
                 std::string address, std::int64_t known, double phase = 0);

  // The first call is answered at once, whether or not there is news: who has kept state wants to know
  // whether it still holds, and a watch says nothing until something changes. One call more.
  void AskFirst() { refresher_.AskFirst(); }

  void Follow(bool on) override;
  void FetchAll() override;

  // Goes on at this address, the whole list first. What the old one tells counts until then.
  void MoveTo(const std::string& address);

  const DiscoveryCounters& counters() const { return counters_; }
  ListState state() const { return refresher_.state(); }
  // Since the list was last known to be true; nothing before the first word of this process.
  std::optional<Duration> ListAge() const { return refresher_.Age(loop_.Now()); }

 private:
  struct Call {
    Call(DiscoveryWatch& owner, const OpenCall& action, Time now);
    DiscoveryWatch* watch = nullptr;
    CallId id = 0;
    ListOrigin origin;  // of what it brings; its times are filled in as it comes
    bool connected = false;
    bool used_in_part = false;
    Time first_byte = Time::max();  // of its answer
    BufferPtr buffer;
    HttpAnswerReader answer;
    ListReader list;
  };

  void Carry(ListActions actions);
  void Do(const OpenCall& action);
  void Do(const CloseCall& action);
  void Do(const StateChanged& action);
  void Arm();
  bool Connect(Call& call);
  void Listen(Call& call);
  void OnRead(CallId id);
  void OnEvent(CallId id, short what);
  Parsed TakeAnswer(Call& call, InputEnd input);
  void TakeEntries(Call& call);
  void TakeList(Call& call, bool keep);
  ListOrigin OriginNow(const Call& call) const;
  void Fail(CallId id, CallEnd why, const std::string& detail = {});
  void LogFailure(CallId id, SourceId source, const std::string& reason);

  Loop& loop_;
  Engine& engine_;
  const Limits& limits_;
  const Names& names_;
  const Time began_;
  const Duration drain_grace_;
  std::map<SourceId, std::string> addresses_;  // followed, moved to, or called still
  SourceId last_source_ = 0;
  ListRefresher refresher_;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  BufferPtr kept_;  // the connection of a call that was just answered, for the next one
  CallId kept_of_ = 0;
  std::vector<CallId> unconnected_;  // to be told to the refresher, once it is done
  bool lacking_ = false;             // the last call found no descriptor
  DiscoveryCounters counters_;
  Deadlines::Id deadline_;
};

// One line of counters: calls by how they ended, the list's state and its age.
std::ostream& operator<<(std::ostream& out, const DiscoveryWatch& watch);

}  // namespace brasswood

#endif  // BRASSWOOD_NET_DISCOVERY_WATCH_H_
