// The one owner of the server list's age: which calls to discovery are out, when another is opened, when
// one is closed. A state machine free of I/O: it is fed with facts, each with its time, and answers with
// actions that the caller carries out in their order. It does not know what a list holds.
//
//   unheard    --a list-->                          following   (a watch is up, and nothing speaks against
//   it) following  --silent, stalled, broken, moved-->  refreshing  (calls that are answered at once are
//   out) following  --refused-->                         backing off (no call is out until a wait is over)
//   refreshing --refused, nothing else out-->       backing off
//   refreshing, backing off --a list-->             following
//
// The bound on the list's age is a budget, not a chain of time-outs. From the moment at which something
// speaks against the watch, calls go out at instants that are counted from that moment, whatever becomes of
// those before: a call that may still be answered is left alone, and another is opened beside it. The
// oldest call stays to its end, so that a slow discovery, or one that serves calls in turn, answers it in
// its turn; of the others, the one that has waited longer makes way once kMostCalls are out.
//
// After a move to another address (a new configuration) the calls to the old one go on, and so do a few to
// addresses that were named in between: a slow discovery has them in its line, and what they tell counts.
// They end when the new address has told its whole list.
#ifndef BRASSWOOD_DISCOVERY_LIST_REFRESHER_H_
#define BRASSWOOD_DISCOVERY_LIST_REFRESHER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "discovery/server_list.h"
#include "recovery/list_calls.h"

namespace brasswood {

using CallId = std::uint64_t;

// What is known of the list, as the header's diagram has it.
enum class ListState : std::size_t { kUnheard, kFollowing, kRefreshing, kBackingOff, kCount };
inline constexpr std::array<const char*, static_cast<std::size_t>(ListState::kCount)> kListStateNames = {
    "unheard", "following", "refreshing", "backing off"};

// Why a call ended, or why the list's state changed.
enum class CallEnd : std::size_t {
  kAnswered,      // with a list that was taken
  kRefused,       // 503 and other answers that are no list
  kBroken,        // its connection ended under it
  kBadAnswer,     // not HTTP, not JSON, or not a list
  kOlderList,     // a list older than the one held
  kNoBase,        // changes from a version that is not held
  kNotConnected,  // its connection was refused
  kConnectTime,   // its connection did not come up in time
  kNoDescriptor,  // this process had no connection to make
  kSilent,        // a watch whose wait is over by the grace, and no byte came
  kStalled,       // an answer that began and went on no more
  kNoAnswer,      // no byte came, for as long as the oldest call may wait
  kMadeWay,       // another call was answered, or needed its place
  kMoved,         // a new configuration names another address
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(CallEnd::kCount)> kCallEndNames = {
    "answered",
    "refused",
    "connection lost",
    "a bad answer",
    "an older list",
    "changes without their base",
    "connection lost before it was up",
    "no connection in time",
    "cannot connect",
    "the watch fell silent",
    "an answer that stops half way",
    "no answer in time",
    "made way",
    "moved"};

// ---- Actions ----

struct OpenCall {
  CallId id = 0;
  SourceId source = 0;
  std::optional<std::int64_t> since;  // none: the whole list
  Duration wait{0};                   // how long discovery may hold the call; 0: it answers at once
  CallId reuse = 0;                   // the call whose connection it goes out on, if that still stands
};
struct CloseCall {
  CallId id = 0;
  CallEnd why = CallEnd::kMadeWay;
};
struct StateChanged {
  ListState from = ListState::kUnheard, to = ListState::kUnheard;
  CallEnd why = CallEnd::kAnswered;
};
using ListAction = std::variant<OpenCall, CloseCall, StateChanged>;
using ListActions = std::vector<ListAction>;

// What bounds the calls. All but `watch` follow from the deployment's settings and Limits.
struct RefreshLimits {
  Duration watch{0};        // discovery may hold a watch this long
  Duration watch_grace{0};  // and this long beyond it: then it is silent
  Duration connect{0};      // a connection comes up within this
  Duration answer{0};       // an answer that has begun and stopped is given up after this
  Duration drain_grace{0};  // a drain has to be heard of within this, from its writing
  Duration apart{0};        // this router's own part of the time over which broken watches are reopened
  bool agent = false;       // lists are pushed to an agent that serves this router alone
};

class ListRefresher {
 public:
  static constexpr std::size_t kMostCalls = 3;    // out at once to one source
  static constexpr std::size_t kMostPassing = 3;  // to all sources that were named in between

  // `held`: the version of the list held at the start, if any. `pacing`: waits after refusals.
  ListRefresher(const RefreshLimits& limits, const beechledge::ListCalls& pacing,
                std::optional<std::int64_t> held, std::uint64_t seed);

  // ---- Facts ----

  // Begins, if it has not begun yet.
  void Follow(Time now, ListActions& out);
  // The first call is answered at once, whether or not there is news.
  void AskFirst() { ask_first_ = true; }
  // The list is to come whole, at once.
  void AskWhole(Time now, ListActions& out);
  // A new configuration names this source, which may be the one that is followed already.
  void Move(Time now, SourceId to, ListActions& out);
  void Connected(Time now, CallId id);
  // Bytes of the call's answer came, and it is not whole yet.
  void Progress(Time now, CallId id);
  // The call's answer came whole, and its list was taken; `version`: up to which everything is known now.
  // False: the call had ended before.
  bool Answered(Time now, CallId id, std::int64_t version, ListActions& out);
  // The call has ended without a list; its connection is gone.
  void Failed(Time now, CallId id, CallEnd why, ListActions& out);
  // Its time has come (see Next), or may have.
  void Wake(Time now, ListActions& out);

  // ---- What it knows ----

  // When Wake is to be called at the latest.
  Time Next() const;
  // May the call's answer have been written only when it came? Only then has a drain that it tells of its
  // grace still before it.
  bool Undisturbed(CallId id) const;
  ListState state() const { return state_; }
  bool moving() const { return target_ != current_; }
  SourceId current() const { return current_; }
  SourceId target() const { return target_; }
  // Is any call to this source out?
  bool Calls(SourceId source) const;
  // Since the list was last known to be true; nothing before the first word of this process.
  std::optional<Duration> Age(Time now) const;

 private:
  struct Call {
    CallId id = 0;
    SourceId source = 0;
    bool whole = false;  // asks for the whole list
    Duration wait{0};
    Time opened{0};
    bool connected = false;
    std::optional<Time> first_byte, last_byte;  // of its answer
    bool stall_noted = false;                   // that nothing has come since last_byte
    bool suspect = false;                       // its answer stalled: others go out beside it
    bool disturbed = false;                     // opened after something had spoken against the watch
  };

  Call* Find(CallId id);
  const Call* Find(CallId id) const;
  bool Watching() const;
  bool AnyOut() const;
  Time LimitOf(const Call& call) const;
  void Open(Time now, SourceId source, bool watch, CallId reuse, ListActions& out);
  void Close(CallId id, CallEnd why, ListActions& out);
  template <class Predicate>
  void CloseIf(Predicate closes, CallEnd why, ListActions& out);
  void CloseOthers(CallEnd why, ListActions& out);
  void BoundPassing(ListActions& out);
  void MakeRoom(ListActions& out);
  void Disturb(Time now, Duration wait);
  void AfterFailure(Time now, CallEnd why);
  void BackOff(Time now);
  CallEnd CheckLimits(Time now, ListActions& out);
  void CheckAnswering(Time now, CallId id);
  void Step(Time now, CallEnd why, ListActions& out);
  Duration Gap(Time now);
  Duration WaitAfterMove(Time now) const;
  Duration ConnectLimit() const;
  Duration StallLimit() const;
  Duration Usual(Duration most) const;
  bool TakeHaste(Time now);
  double Any() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const RefreshLimits limits_;
  beechledge::ListCalls pacing_;
  std::mt19937_64 random_;
  std::optional<std::int64_t> version_;  // of the list held, as the current source counts
  SourceId current_ = 0, target_ = 0;
  bool following_ = false, ask_first_ = false;
  std::vector<Call> calls_;  // in the order of their opening
  CallId last_id_ = 0;
  ListState state_ = ListState::kUnheard;
  bool disturbed_ = false;       // something speaks against the watch; calls go out until a list comes
  Time next_open_{Time::max()};  // while disturbed
  Time crowded_until_{0};        // discovery has refused calls of late
  int unanswered_ = 0;           // calls opened since the last word that were not refused
  int lacks_ = 0;                // calls in a row for which there was no descriptor
  double haste_ = 0;             // quick repeats that are left
  Time haste_filled_{0};
  Duration usual_{0};          // how long discovery has been taking for a call that it answers at once
  std::optional<Time> heard_;  // the last word
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_LIST_REFRESHER_H_
