// The single owner of the server list's age: decides which calls to discovery are open, when another one is
// opened and when one is closed. A state machine without I/O: it is fed with events, each with its time,
// and returns actions that the caller executes in order. It does not look into a list. Its states:
//
//   unheard       no list received yet
//   following     a watch (a long poll) is open, and there is no sign that it is broken
//   refreshing    calls that discovery answers at once are open
//   backing off   no call is open until a wait is over
//
// and its transitions:
//
//   unheard -> following: a list is received
//   following -> refreshing: the watch is silent, stalled or broken, or the address changed
//   following -> backing off: a call was refused
//   refreshing -> backing off: a call was refused and no other call is open
//   refreshing -> following: a list is received
//   backing off -> following: a list is received
//
// The bound on the list's age is a time budget, not a chain of timeouts. From the first sign that the watch
// is broken, calls are opened at times counted from that moment, whatever the result of the earlier ones. A
// call that may still be answered is left open, and another one is opened beside it. The oldest call stays
// open to its end, so that a slow discovery, or one that serves calls in a queue, can answer it in its
// turn. Of the others, the one that has waited longest is closed when kMaxCalls are open.
//
// After a change to another address (a new configuration) the calls to the old address stay open, and so do
// a few calls to addresses configured in between: a slow discovery already has them in its queue, and lists
// that they return are used. They are closed once the new address has returned its whole list.
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
#include "recovery/list_call_backoff.h"

namespace brasswood {

using CallId = std::uint64_t;

// The state of the list, as described at the head of this file.
enum class ListState : std::size_t { kNoList, kFollowing, kRefreshing, kBackingOff, kCount };
inline constexpr std::array<const char*, static_cast<std::size_t>(ListState::kCount)> kListStateNames = {
    "unheard", "following", "refreshing", "backing off"};

// Why a call ended, or why the list's state changed.
enum class CallEndReason : std::size_t {
  kAnswered,      // with a list that was accepted
  kRefused,       // 503, or another answer that is not a list
  kBroken,        // its connection was closed before the answer was complete
  kBadAnswer,     // not HTTP, not JSON, or not a list
  kOlderList,     // a list older than the one held
  kNoBase,        // changes from a version that is not held
  kNotConnected,  // its connection was refused
  kConnectTime,   // its connection was not established in time
  kNoDescriptor,  // this process could not open a connection
  kSilent,        // a watch: no byte arrived within its wait and the grace after it
  kStalled,       // an answer that started and did not continue
  kNoAnswer,      // no byte arrived within the longest time that a call may wait
  kReplaced,      // another call was answered or replaced it
  kMoved,         // a new configuration names another address
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(CallEndReason::kCount)>
    kCallEndReasonNames = {"answered",
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
  CallId reuse = 0;  // an earlier call whose connection is used if it is still open; 0: none
};
struct CloseCall {
  CallId id = 0;
  CallEndReason reason = CallEndReason::kReplaced;
};
struct StateChanged {
  ListState from = ListState::kNoList, to = ListState::kNoList;
  CallEndReason reason = CallEndReason::kAnswered;
};
using ListAction = std::variant<OpenCall, CloseCall, StateChanged>;
using ListActions = std::vector<ListAction>;

// Limits on the calls, taken from the deployment's settings and from Limits.
struct RefreshLimits {
  Duration watch{0};          // how long discovery may hold a watch
  Duration watch_grace{0};    // extra time after that before the watch counts as silent
  Duration connect{0};        // time limit for establishing a connection
  Duration answer{0};         // an answer that started and then stopped is abandoned after this
  Duration drain_grace{0};    // a drain has to be received within this after discovery wrote it
  Duration reopen_offset{0};  // this router's offset in the time over which a fleet reopens broken watches
  bool agent = false;         // lists are pushed to an agent that serves only this router
};

class ListRefresher {
 public:
  static constexpr std::size_t kMaxCalls = 3;  // open at the same time to one source
  // Open at the same time to all sources that were configured between the current one and the target.
  static constexpr std::size_t kMaxIntermediateCalls = 3;

  // `held`: the version of the list held at the start, if any. `pacing`: computes the waits after refusals.
  ListRefresher(const RefreshLimits& limits, const beechledge::ListCallBackoff& pacing,
                std::optional<std::int64_t> held, std::uint64_t seed);

  // ---- Events ----

  // Starts following the list. Does nothing if it was started before.
  void Follow(Time now, ListActions& out);
  // Makes the first call one that discovery answers at once, whether or not anything has changed.
  void MakeFirstCallImmediate() { ask_first_ = true; }
  // Requests the whole list at once.
  void RequestWholeList(Time now, ListActions& out);
  // A new configuration names this source. It may be the one that is already followed.
  void Move(Time now, SourceId to, ListActions& out);
  void Connected(Time now, CallId id);
  // Bytes of the call's answer arrived, and it is not complete yet.
  void Progress(Time now, CallId id);
  // The call's answer is complete and its list was accepted. `version`: the version up to which everything
  // is known now. Returns false if the call had already ended.
  bool Answered(Time now, CallId id, std::int64_t version, ListActions& out);
  // The call ended without a list, and its connection is closed.
  void Failed(Time now, CallId id, CallEndReason why, ListActions& out);
  // Handles what is due at `now` (see Next). May be called early.
  void Wake(Time now, ListActions& out);

  // ---- Queries ----

  // The latest time at which Wake has to be called.
  Time Next() const;
  // Whether the call's answer was probably written just before it arrived. Only then does a drain in it
  // still have its whole grace period left.
  bool AnswerIsFresh(CallId id) const;
  ListState state() const { return state_; }
  bool moving() const { return target_ != current_; }
  SourceId current() const { return current_; }
  SourceId target() const { return target_; }
  // Whether any call to this source is open.
  bool HasCallTo(SourceId source) const;
  // The time since the list was last confirmed. None before the first list that this process receives.
  std::optional<Duration> Age(Time now) const;

 private:
  struct Call {
    CallId id = 0;
    SourceId source = 0;
    bool whole = false;  // requests the whole list
    Duration wait{0};
    Time opened{0};
    bool connected = false;
    std::optional<Time> first_byte, last_byte;  // of its answer
    bool stall_noted = false;                   // a pause after last_byte was already handled
    bool suspect = false;         // its answer stalled or takes long: others are opened beside it
    bool during_refresh = false;  // opened while a refresh was needed
  };

  Call* Find(CallId id);
  const Call* Find(CallId id) const;
  bool Watching() const;
  bool AnyCallToTarget() const;
  Time DeadlineOf(const Call& call) const;
  void Open(Time now, SourceId source, bool watch, CallId reuse, ListActions& out);
  void Close(CallId id, CallEndReason why, ListActions& out);
  template <class Predicate>
  void CloseIf(Predicate closes, CallEndReason why, ListActions& out);
  void CloseAllButTarget(CallEndReason why, ListActions& out);
  void LimitIntermediateCalls(ListActions& out);
  void MakeRoomForCall(ListActions& out);
  void RequireRefresh(Time now, Duration wait);
  void AfterFailure(Time now, CallEndReason why);
  void BackOff(Time now);
  CallEndReason CheckLimits(Time now, ListActions& out);
  void CheckAnswering(Time now, CallId id);
  void Step(Time now, CallEndReason why, ListActions& out);
  Duration NextGap(Time now);
  Duration WaitAfterMove(Time now) const;
  Duration ConnectLimit() const;
  Duration StallLimit() const;
  Duration AnswerTimeUpTo(Duration max) const;
  bool TakeQuickRetry(Time now);
  double RandomUnit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const RefreshLimits limits_;
  beechledge::ListCallBackoff pacing_;
  std::mt19937_64 random_;
  std::optional<std::int64_t> version_;  // of the list held, in the current source's numbering
  SourceId current_ = 0, target_ = 0;
  bool following_ = false, ask_first_ = false;
  std::vector<Call> calls_;  // open calls, the oldest first
  CallId last_id_ = 0;
  ListState state_ = ListState::kNoList;
  bool refresh_needed_ = false;  // the watch cannot be relied on: calls are opened until a list is received
  Time next_open_{Time::max()};  // when the next call is opened, while a refresh is needed
  Time overloaded_until_{0};     // discovery has refused a call recently
  int unanswered_ = 0;           // calls opened since the last list that were not refused
  int descriptor_failures_ = 0;  // calls in a row for which this process had no descriptor
  double quick_retries_ = 0;     // quick retries left
  Time quick_retries_refilled_{0};
  Duration answer_time_{0};  // estimate of the time discovery takes for a call that it answers at once
  std::optional<Time> last_list_;  // when the last list was received
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_LIST_REFRESHER_H_
