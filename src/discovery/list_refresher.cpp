#include "discovery/list_refresher.h"

#include <algorithm>
#include <utility>

namespace brasswood {
namespace {

using std::chrono::milliseconds;

// The gap between one call and the next one beside it, while the first may still be answered.
constexpr Duration kMinGap = std::chrono::seconds(1);
constexpr Duration kMaxGap = std::chrono::seconds(3);
constexpr Duration kMaxFirstGap = milliseconds(1500);
constexpr Duration kOverloadedGap = milliseconds(2200);  // after calls were refused recently
constexpr Duration kOverloadedFor = std::chrono::seconds(10);
constexpr Duration kPromptAnswer = milliseconds(500);  // a faster answer: discovery has capacity
constexpr int kEarlyCalls = 5;                         // the gap doubles with each call from this one on

// The gaps and the limit on connecting for an agent that serves only this router. The values in use are
// fractions of a drain's grace period, within these bounds.
constexpr Duration kAgentMinGap = milliseconds(25);
constexpr Duration kAgentMaxGap = milliseconds(750);
constexpr Duration kAgentMaxConnect = milliseconds(400);

// Bounds of the pause in an answer after which another call is opened, a fraction of a drain's grace
// period.
constexpr Duration kMinStall = milliseconds(50);
constexpr Duration kMaxStall = milliseconds(250);

// The oldest call may wait this many times the limit on a stalled answer: a service that serves calls in a
// queue answers the oldest one first.
constexpr int kMaxWaitFactor = 20;

// If discovery serves many routers and is slow, each watch is held longer, by the time that a call has been
// taking but at most kMaxWatchExtension, because each watch costs discovery a call. The router also waits
// longer before a watch counts as silent, at most kMaxWatchLateness: a watch that waits in a queue is not
// silent.
constexpr Duration kMaxWatchExtension = std::chrono::seconds(1);
constexpr Duration kMaxWatchLateness = std::chrono::seconds(2);

// A call to discovery that broke, stalled or brought an unusable answer is followed by another one soon,
// but each such quick retry takes a token from a bucket; without a token the router waits longer. This
// bounds the calls of one router if discovery breaks each of them at once. The constants are the size of
// the bucket (the burst) and its refill rate. An agent (a local process to which discovery pushes lists)
// serves only this router, so more retries are allowed there.
constexpr double kQuickRetryBurst = 4, kQuickRetriesPerSecond = 0.4;
constexpr double kAgentQuickRetryBurst = 8, kAgentQuickRetriesPerSecond = 2;

// If this process has no free file descriptor, its call does not reach discovery, so trying again soon
// costs discovery nothing. After this many such failures in a row the usual longer delays apply.
constexpr int kMaxDescriptorRetries = 20;
constexpr Duration kDescriptorRetryDelay = milliseconds(50);

}  // namespace

ListRefresher::ListRefresher(const RefreshLimits& limits, const beechledge::ListCallBackoff& pacing,
                             std::optional<std::int64_t> held, std::uint64_t seed)
    : limits_(limits),
      pacing_(pacing),
      random_(seed),
      version_(held),
      quick_retries_(limits.agent ? kAgentQuickRetryBurst : kQuickRetryBurst) {}

// ---- Events ----

void ListRefresher::Follow(Time now, ListActions& out) {
  if (following_) return;
  following_ = true;
  // A list that an agent has counts as received from the start of the process on, so the agent is asked for
  // it instead of waiting for a change.
  const bool watch = version_.has_value() && !ask_first_ && !limits_.agent;
  if (!watch) {
    RequireRefresh(now, Duration(0));
    return Step(now, CallEndReason::kAnswered, out);
  }
  Open(now, target_, watch, 0, out);
  calls_.back().during_refresh = true;  // changes since the list held may have been sent long ago
}

void ListRefresher::RequestWholeList(Time now, ListActions& out) {
  following_ = true;
  version_.reset();
  CloseIf([this](const Call& call) { return call.source == target_; }, CallEndReason::kReplaced, out);
  RequireRefresh(now, Duration(0));
  Step(now, CallEndReason::kReplaced, out);
}

// Guards against waiting for the old service to fail, and against receiving nothing until the new one
// answers: lists from either are used. The last configuration applies, and a call that is already open to
// its address stays open.
void ListRefresher::Move(Time now, SourceId to, ListActions& out) {
  following_ = true;
  if (to == target_) {
    // An agent is asked in any case, because it serves no other router.
    if (!AnyCallToTarget() || limits_.agent) RequireRefresh(now, Duration(0));
    return Step(now, CallEndReason::kMoved, out);
  }
  target_ = to;
  if (!moving() && Watching()) {
    CloseAllButTarget(CallEndReason::kMoved, out);
    refresh_needed_ = false;
    return Step(now, CallEndReason::kMoved, out);
  }
  LimitIntermediateCalls(out);
  pacing_.SourceChanged();
  const Duration wait = WaitAfterMove(now);
  refresh_needed_ = false;
  RequireRefresh(now, wait);
  Step(now, CallEndReason::kMoved, out);
}

// The time until the first call to the new address. Guards against several configurations in a row that
// each abandon a call and so keep a slow discovery busy: a call that waits in discovery's queue, and the
// wait after a refusal, delay the call to the new address too. Both are counted from when they began, so
// that further configurations do not postpone the call.
Duration ListRefresher::WaitAfterMove(Time now) const {
  if (limits_.agent) return Duration(0);
  Time first = refresh_needed_ ? std::min(next_open_, now + kMaxFirstGap) : now;
  const auto oldest =
      std::find_if(calls_.begin(), calls_.end(), [](const Call& c) { return c.wait == Duration(0); });
  if (oldest != calls_.end()) first = std::max(first, oldest->opened + kMaxFirstGap);
  return std::max(Duration(0), first - now);
}

void ListRefresher::Connected(Time, CallId id) {
  if (Call* call = Find(id)) call->connected = true;
}

void ListRefresher::Progress(Time now, CallId id) {
  Call* call = Find(id);
  if (call == nullptr) return;
  if (!call->first_byte) call->first_byte = now;
  call->last_byte = now;
  call->stall_noted = false;
}

bool ListRefresher::Answered(Time now, CallId id, std::int64_t version, ListActions& out) {
  const Call* found = Find(id);
  if (found == nullptr) return false;
  const Call call = *found;
  std::erase_if(calls_, [id](const Call& c) { return c.id == id; });
  const Duration took = now - call.opened;
  if (took < kPromptAnswer && call.wait == Duration(0)) overloaded_until_ = Time(0);
  if (call.wait == Duration(0)) {
    answer_time_ = std::max(took, answer_time_ * 3 / 4);
  } else if (took < call.wait + limits_.watch_grace / 2) {
    answer_time_ /= 2;
  }
  last_list_ = now;
  version_ = version;
  if (call.source == target_) {
    pacing_.Confirmed(now);
    current_ = target_;
    CloseAllButTarget(CallEndReason::kMoved, out);
    CloseIf([](const Call&) { return true; }, CallEndReason::kReplaced, out);
    refresh_needed_ = ask_first_ = false;
    next_open_ = Time::max();
    unanswered_ = descriptor_failures_ = 0;
  }
  if (call.source == target_ || call.source == current_) Open(now, call.source, true, id, out);
  if (moving() && !AnyCallToTarget()) RequireRefresh(now, Duration(0));
  Step(now, CallEndReason::kAnswered, out);
  return true;
}

void ListRefresher::Failed(Time now, CallId id, CallEndReason why, ListActions& out) {
  const Call* found = Find(id);
  if (found == nullptr) return;
  const SourceId source = found->source;
  std::erase_if(calls_, [id](const Call& c) { return c.id == id; });
  const bool out_of_step = why == CallEndReason::kOlderList || why == CallEndReason::kNoBase;
  if (out_of_step && source == current_) version_.reset();
  if (why == CallEndReason::kRefused) overloaded_until_ = now + kOverloadedFor;
  if (source == target_ || (moving() && !AnyCallToTarget())) AfterFailure(now, why);
  Step(now, why, out);
}

void ListRefresher::Wake(Time now, ListActions& out) {
  const CallEndReason why = CheckLimits(now, out);
  Step(now, why, out);
}

// ---- Queries ----

Time ListRefresher::Next() const {
  Time next = refresh_needed_ ? next_open_ : Time::max();
  for (const Call& call : calls_) next = std::min(next, DeadlineOf(call));
  return next;
}

bool ListRefresher::AnswerIsFresh(CallId id) const {
  const Call* call = Find(id);
  return call != nullptr && !call->during_refresh && !call->suspect;
}

std::optional<Duration> ListRefresher::Age(Time now) const {
  return last_list_ ? std::optional<Duration>(now - *last_list_) : std::nullopt;
}

// ---- Calls ----

ListRefresher::Call* ListRefresher::Find(CallId id) {
  const auto it = std::find_if(calls_.begin(), calls_.end(), [id](const Call& c) { return c.id == id; });
  return it == calls_.end() ? nullptr : &*it;
}
const ListRefresher::Call* ListRefresher::Find(CallId id) const {
  return const_cast<ListRefresher*>(this)->Find(id);
}

// Whether a watch of the target is open that is not suspect.
bool ListRefresher::Watching() const {
  return std::any_of(calls_.begin(), calls_.end(), [this](const Call& c) {
    return c.source == target_ && c.wait > Duration(0) && !c.suspect;
  });
}

bool ListRefresher::AnyCallToTarget() const { return HasCallTo(target_); }

bool ListRefresher::HasCallTo(SourceId source) const {
  return std::any_of(calls_.begin(), calls_.end(), [source](const Call& c) { return c.source == source; });
}

void ListRefresher::Open(Time now, SourceId source, bool watch, CallId reuse, ListActions& out) {
  Call call;
  call.id = ++last_id_;
  call.source = source;
  call.whole = source != current_ || !version_;
  call.wait = watch && !call.whole ? limits_.watch + AnswerTimeUpTo(kMaxWatchExtension) : Duration(0);
  call.opened = now;
  call.during_refresh = !watch;
  calls_.push_back(call);
  out.push_back(OpenCall{call.id, source, call.whole ? std::nullopt : version_, call.wait, reuse});
}

void ListRefresher::Close(CallId id, CallEndReason why, ListActions& out) {
  std::erase_if(calls_, [id](const Call& c) { return c.id == id; });
  out.push_back(CloseCall{id, why});
}

// `closes` is called once for each call, the oldest first.
template <class Predicate>
void ListRefresher::CloseIf(Predicate closes, CallEndReason why, ListActions& out) {
  const std::vector<Call> before = calls_;
  for (const Call& call : before) {
    if (closes(call)) Close(call.id, why, out);
  }
}

// Closes all calls except those to the target.
void ListRefresher::CloseAllButTarget(CallEndReason why, ListActions& out) {
  CloseIf([this](const Call& call) { return call.source != target_; }, why, out);
}

// Closes the excess calls to addresses configured in between. Those that have waited longest stay open.
void ListRefresher::LimitIntermediateCalls(ListActions& out) {
  std::size_t intermediate = 0;
  const auto in_excess = [&](const Call& call) {
    return call.source != target_ && call.source != current_ && ++intermediate > kMaxIntermediateCalls;
  };
  CloseIf(in_excess, CallEndReason::kMoved, out);
}

// Makes room for another call to the target. The oldest call stays open; of the others, the one that has
// waited longest is closed.
void ListRefresher::MakeRoomForCall(ListActions& out) {
  std::vector<CallId> ids;
  for (const Call& call : calls_) {
    if (call.source == target_) ids.push_back(call.id);
  }
  if (ids.size() >= kMaxCalls) Close(ids[1], CallEndReason::kReplaced, out);
}

// ---- When the next call is opened ----

// The watch cannot be relied on: a call that is answered at once is opened after `wait` at the latest.
void ListRefresher::RequireRefresh(Time now, Duration wait) {
  if (!refresh_needed_) {
    refresh_needed_ = true;
    unanswered_ = 0;
    next_open_ = Time::max();
  }
  next_open_ = std::min(next_open_, now + wait);
}

// The gap between this call and the next one beside it. If discovery has been slow, the gap is at least 1.5
// times the time that it takes for a call, up to the largest gap.
Duration ListRefresher::NextGap(Time now) {
  const Duration grace = limits_.drain_grace;
  const Duration slow_answer = answer_time_ * 3 / 2;
  if (limits_.agent) {
    const Duration max = std::clamp<Duration>(grace * 3 / 4, kAgentMinGap, kAgentMaxGap);
    Duration gap = std::clamp<Duration>(grace / 4, kAgentMinGap, max);
    for (int i = 1; i < unanswered_ && gap < max; ++i) gap *= 2;
    return std::min(max, std::max(gap, slow_answer));
  }
  Duration gap = std::max(kMinGap, pacing_.spread());
  if (unanswered_ <= 1) gap = std::min(gap, kMaxFirstGap);
  for (int i = kEarlyCalls; i <= unanswered_ && gap < kMaxGap; ++i) gap *= 2;
  if (now < overloaded_until_) gap = std::max(gap, kOverloadedGap);
  gap = std::min(kMaxGap, std::max(gap, slow_answer));
  return std::chrono::duration_cast<Duration>(gap * (0.8 + 0.2 * RandomUnit()));
}

Duration ListRefresher::ConnectLimit() const {
  if (!limits_.agent) return limits_.connect;
  const Duration soon = std::clamp<Duration>(limits_.drain_grace / 2, kAgentMinGap, kAgentMaxConnect);
  return std::min(limits_.connect, soon);
}

// The time that a call has been taking, at most `max`; 0 for an agent that serves only this router.
Duration ListRefresher::AnswerTimeUpTo(Duration max) const {
  return limits_.agent ? Duration(0) : std::min(answer_time_, max);
}

Duration ListRefresher::StallLimit() const {
  return std::clamp<Duration>(limits_.drain_grace / 5, kMinStall, kMaxStall);
}

// Takes a token for a quick retry. Guards against retrying in a tight loop if the service breaks each call
// at once.
bool ListRefresher::TakeQuickRetry(Time now) {
  const double burst = limits_.agent ? kAgentQuickRetryBurst : kQuickRetryBurst;
  const double rate = limits_.agent ? kAgentQuickRetriesPerSecond : kQuickRetriesPerSecond;
  const double gained = rate * std::chrono::duration<double>(now - quick_retries_refilled_).count();
  quick_retries_ = std::min(burst, quick_retries_ + gained);
  quick_retries_refilled_ = now;
  if (quick_retries_ < 1) return false;
  quick_retries_ -= 1;
  return true;
}

// Guards against a change that discovery wrote and that was lost in transit, since the router counts as
// notified of it: after a broken call the next call is opened soon. After a refusal, discovery lacks
// capacity or is down, and the waits of ListCallBackoff spread the next calls over the fleet.
void ListRefresher::AfterFailure(Time now, CallEndReason why) {
  const bool first = !refresh_needed_;
  const bool unanswered = why == CallEndReason::kConnectTime || why == CallEndReason::kNoAnswer;
  if (!unanswered && unanswered_ > 0) --unanswered_;
  if (why == CallEndReason::kNoDescriptor && ++descriptor_failures_ <= kMaxDescriptorRetries) {
    RequireRefresh(now, kDescriptorRetryDelay);
    next_open_ = now + kDescriptorRetryDelay;
    return;
  }
  descriptor_failures_ = 0;
  switch (why) {
    case CallEndReason::kSilent:
      return RequireRefresh(now, Duration(0));
    case CallEndReason::kConnectTime:
    case CallEndReason::kNoAnswer:
      return RequireRefresh(now, first ? Duration(0) : next_open_ - now);
    case CallEndReason::kBroken:
    case CallEndReason::kBadAnswer:
    case CallEndReason::kNoBase:
    case CallEndReason::kStalled:
      if (TakeQuickRetry(now)) {
        const Duration quick =
            std::chrono::duration_cast<Duration>(limits_.drain_grace / 8 * (0.5 + RandomUnit()));
        return RequireRefresh(now,
                              first ? std::min(limits_.reopen_offset, limits_.drain_grace / 4) : quick);
      }
      return BackOff(now);
    case CallEndReason::kOlderList:
      // The source is working, but lags behind the others or was restarted. More calls in quick succession
      // do not change that.
      RequireRefresh(now, first ? limits_.drain_grace / 4 : Duration(0));
      if (!first) next_open_ = now + NextGap(now);
      return;
    default:
      return BackOff(now);
  }
}

// An open call already has a place in discovery's queue. More calls would take places from other routers.
void ListRefresher::BackOff(Time now) {
  const Duration again = pacing_.RetryDelay(now, RandomUnit());
  RequireRefresh(now, Duration(0));
  next_open_ = now + (AnyCallToTarget() && !limits_.agent ? std::max(again, NextGap(now)) : again);
}

// ---- Limits ----

Time ListRefresher::DeadlineOf(const Call& call) const {
  const Time last = call.opened + call.wait + kMaxWaitFactor * limits_.answer;
  if (!call.connected) return call.opened + ConnectLimit();
  if (!call.first_byte) {
    return call.wait > Duration(0)
               ? call.opened + call.wait + limits_.watch_grace + AnswerTimeUpTo(kMaxWatchLateness)
               : last;
  }
  Time next = std::min(last, *call.last_byte + limits_.answer);
  if (!call.stall_noted) next = std::min(next, *call.last_byte + StallLimit());
  if (!call.suspect) next = std::min(next, *call.first_byte + limits_.answer);
  return next;
}

CallEndReason ListRefresher::CheckLimits(Time now, ListActions& out) {
  CallEndReason last = CallEndReason::kAnswered;
  const std::vector<Call> before = calls_;
  for (const Call& call : before) {
    if (DeadlineOf(call) > now) continue;
    if (call.first_byte) CheckAnswering(now, call.id);
    const Call* still = Find(call.id);
    if (still == nullptr || DeadlineOf(*still) > now) continue;
    last = !call.connected           ? CallEndReason::kConnectTime
           : call.first_byte         ? CallEndReason::kStalled
           : call.wait > Duration(0) ? CallEndReason::kSilent
                                     : CallEndReason::kNoAnswer;
    Close(call.id, last, out);
    if (call.source == target_) AfterFailure(now, last);
  }
  return last;
}

// An answer that has started shows that there may be a change. If it stops, or takes long, another call is
// opened beside it.
void ListRefresher::CheckAnswering(Time now, CallId id) {
  Call& call = *Find(id);
  const bool stopped = !call.stall_noted && now - *call.last_byte >= StallLimit();
  const bool takes_long = !call.suspect && now - *call.first_byte >= limits_.answer;
  if (!stopped && !takes_long) return;
  call.stall_noted = call.stall_noted || stopped;
  const bool first = !std::exchange(call.suspect, true);
  if (!first || call.source != target_) return;
  if (TakeQuickRetry(now)) {
    RequireRefresh(now, Duration(0));
  } else if (!refresh_needed_) {
    RequireRefresh(now, NextGap(now));
  }
}

// ---- The state ----

void ListRefresher::Step(Time now, CallEndReason why, ListActions& out) {
  if (following_ && refresh_needed_ && now >= next_open_) {
    MakeRoomForCall(out);
    Open(now, target_, false, 0, out);
    ++unanswered_;
    next_open_ = now + NextGap(now);
  }
  const ListState to = !last_list_                      ? ListState::kNoList
                       : !refresh_needed_ && Watching() ? ListState::kFollowing
                       : AnyCallToTarget()              ? ListState::kRefreshing
                                                        : ListState::kBackingOff;
  if (to == state_) return;
  out.push_back(StateChanged{state_, to, why});
  state_ = to;
}

}  // namespace brasswood
