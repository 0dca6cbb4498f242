#include "discovery/list_refresher.h"

#include <algorithm>
#include <utility>

namespace brasswood {
namespace {

using std::chrono::milliseconds;

// From one call to the next one beside it, while the first may still be answered.
constexpr Duration kLeastGap = std::chrono::seconds(1);
constexpr Duration kMostGap = std::chrono::seconds(3);
constexpr Duration kMostFirstGap = milliseconds(1500);
constexpr Duration kCrowdedGap = milliseconds(2200);  // where calls have been refused of late
constexpr Duration kCrowdedFor = std::chrono::seconds(10);
constexpr Duration kPrompt = milliseconds(500);  // an answer within this is that of a service at ease
constexpr int kEarlyCalls = 5;                   // after these the gap doubles

// The same before an agent that serves this router alone, as parts of a drain's grace.
constexpr Duration kAgentLeastGap = milliseconds(25);
constexpr Duration kAgentMostGap = milliseconds(750);
constexpr Duration kAgentMostConnect = milliseconds(400);

// A pause in an answer that has begun, as part of a drain's grace.
constexpr Duration kLeastStall = milliseconds(50);
constexpr Duration kMostStall = milliseconds(250);

// The oldest call may wait so many times the limit on a stalled answer: before a service that takes calls
// in turn it is the one that comes first.
constexpr int kPatience = 20;

// Where discovery serves many and has been slow, a watch is held longer, by what a call has been taking and
// at most this: each costs it a call. And its end is waited for longer: a watch that waits in a queue is
// not silent.
constexpr Duration kMostLonger = std::chrono::seconds(1);
constexpr Duration kMostLate = std::chrono::seconds(2);

// Quick repeats after a break, in a burst and for each second.
constexpr double kHasteBurst = 4, kHastePerSecond = 0.4;
constexpr double kAgentHasteBurst = 8, kAgentHastePerSecond = 2;

// A lack of this process's own (a descriptor) costs discovery nothing to try again.
constexpr int kMostLacks = 20;
constexpr Duration kLackPause = milliseconds(50);

}  // namespace

ListRefresher::ListRefresher(const RefreshLimits& limits, const beechledge::ListCalls& pacing,
                             std::optional<std::int64_t> held, std::uint64_t seed)
    : limits_(limits),
      pacing_(pacing),
      random_(seed),
      version_(held),
      haste_(limits.agent ? kAgentHasteBurst : kHasteBurst) {}

// ---- Facts ----

void ListRefresher::Follow(Time now, ListActions& out) {
  if (following_) return;
  following_ = true;
  // What an agent has counts from the first moment of a process, so it is asked, and not waited for.
  const bool watch = version_.has_value() && !ask_first_ && !limits_.agent;
  if (!watch) {
    Disturb(now, Duration(0));
    return Step(now, CallEnd::kAnswered, out);
  }
  Open(now, target_, watch, 0, out);
  calls_.back().disturbed = true;  // the list held may be older than what has been told
}

void ListRefresher::AskWhole(Time now, ListActions& out) {
  following_ = true;
  version_.reset();
  CloseIf([this](const Call& call) { return call.source == target_; }, CallEnd::kMadeWay, out);
  Disturb(now, Duration(0));
  Step(now, CallEnd::kMadeWay, out);
}

// Guards against waiting for the old service to fail, and against hearing nothing until the new one
// answers: what either tells counts. The last configuration holds, and a call that is out to it already
// goes on.
void ListRefresher::Move(Time now, SourceId to, ListActions& out) {
  following_ = true;
  if (to == target_) {
    // The agent beside this router is asked all the same: nobody else waits for it.
    if (!AnyOut() || limits_.agent) Disturb(now, Duration(0));
    return Step(now, CallEnd::kMoved, out);
  }
  target_ = to;
  if (!moving() && Watching()) {
    CloseOthers(CallEnd::kMoved, out);
    disturbed_ = false;
    return Step(now, CallEnd::kMoved, out);
  }
  BoundPassing(out);
  pacing_.Forget();
  const Duration wait = WaitAfterMove(now);
  disturbed_ = false;
  Disturb(now, wait);
  Step(now, CallEnd::kMoved, out);
}

// Until the first call to the new address. Guards against calls forsaken by each of several configurations
// in a row, which keep a slow discovery busy: one that waits in its line, and the wait after a refusal,
// hold for the new address as well. Both are counted from where they began, so that no further
// configuration puts the call off.
Duration ListRefresher::WaitAfterMove(Time now) const {
  if (limits_.agent) return Duration(0);
  Time first = disturbed_ ? std::min(next_open_, now + kMostFirstGap) : now;
  const auto oldest =
      std::find_if(calls_.begin(), calls_.end(), [](const Call& c) { return c.wait == Duration(0); });
  if (oldest != calls_.end()) first = std::max(first, oldest->opened + kMostFirstGap);
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
  if (took < kPrompt && call.wait == Duration(0)) crowded_until_ = Time(0);
  if (call.wait == Duration(0)) {
    usual_ = std::max(took, usual_ * 3 / 4);
  } else if (took < call.wait + limits_.watch_grace / 2) {
    usual_ /= 2;
  }
  heard_ = now;
  version_ = version;
  if (call.source == target_) {
    pacing_.Told(now);
    current_ = target_;
    CloseOthers(CallEnd::kMoved, out);
    CloseIf([](const Call&) { return true; }, CallEnd::kMadeWay, out);
    disturbed_ = ask_first_ = false;
    next_open_ = Time::max();
    unanswered_ = lacks_ = 0;
  }
  if (call.source == target_ || call.source == current_) Open(now, call.source, true, id, out);
  if (moving() && !AnyOut()) Disturb(now, Duration(0));
  Step(now, CallEnd::kAnswered, out);
  return true;
}

void ListRefresher::Failed(Time now, CallId id, CallEnd why, ListActions& out) {
  const Call* found = Find(id);
  if (found == nullptr) return;
  const SourceId source = found->source;
  std::erase_if(calls_, [id](const Call& c) { return c.id == id; });
  const bool out_of_step = why == CallEnd::kOlderList || why == CallEnd::kNoBase;
  if (out_of_step && source == current_) version_.reset();
  if (why == CallEnd::kRefused) crowded_until_ = now + kCrowdedFor;
  if (source == target_ || (moving() && !AnyOut())) AfterFailure(now, why);
  Step(now, why, out);
}

void ListRefresher::Wake(Time now, ListActions& out) {
  const CallEnd why = CheckLimits(now, out);
  Step(now, why, out);
}

// ---- What it knows ----

Time ListRefresher::Next() const {
  Time next = disturbed_ ? next_open_ : Time::max();
  for (const Call& call : calls_) next = std::min(next, LimitOf(call));
  return next;
}

bool ListRefresher::Undisturbed(CallId id) const {
  const Call* call = Find(id);
  return call != nullptr && !call->disturbed && !call->suspect;
}

std::optional<Duration> ListRefresher::Age(Time now) const {
  return heard_ ? std::optional<Duration>(now - *heard_) : std::nullopt;
}

// ---- Calls ----

ListRefresher::Call* ListRefresher::Find(CallId id) {
  const auto it = std::find_if(calls_.begin(), calls_.end(), [id](const Call& c) { return c.id == id; });
  return it == calls_.end() ? nullptr : &*it;
}
const ListRefresher::Call* ListRefresher::Find(CallId id) const {
  return const_cast<ListRefresher*>(this)->Find(id);
}

// Is a watch up that nothing speaks against?
bool ListRefresher::Watching() const {
  return std::any_of(calls_.begin(), calls_.end(), [this](const Call& c) {
    return c.source == target_ && c.wait > Duration(0) && !c.suspect;
  });
}

bool ListRefresher::AnyOut() const { return Calls(target_); }

bool ListRefresher::Calls(SourceId source) const {
  return std::any_of(calls_.begin(), calls_.end(), [source](const Call& c) { return c.source == source; });
}

void ListRefresher::Open(Time now, SourceId source, bool watch, CallId reuse, ListActions& out) {
  Call call;
  call.id = ++last_id_;
  call.source = source;
  call.whole = source != current_ || !version_;
  call.wait = watch && !call.whole ? limits_.watch + Usual(kMostLonger) : Duration(0);
  call.opened = now;
  call.disturbed = !watch;
  calls_.push_back(call);
  out.push_back(OpenCall{call.id, source, call.whole ? std::nullopt : version_, call.wait, reuse});
}

void ListRefresher::Close(CallId id, CallEnd why, ListActions& out) {
  std::erase_if(calls_, [id](const Call& c) { return c.id == id; });
  out.push_back(CloseCall{id, why});
}

// `closes` is asked once of each call, the oldest first.
template <class Predicate>
void ListRefresher::CloseIf(Predicate closes, CallEnd why, ListActions& out) {
  const std::vector<Call> before = calls_;
  for (const Call& call : before) {
    if (closes(call)) Close(call.id, why, out);
  }
}

// All calls but those to the target.
void ListRefresher::CloseOthers(CallEnd why, ListActions& out) {
  CloseIf([this](const Call& call) { return call.source != target_; }, why, out);
}

// Of the calls to addresses named in between those stay that have waited longest.
void ListRefresher::BoundPassing(ListActions& out) {
  std::size_t passing = 0;
  const auto in_excess = [&](const Call& call) {
    return call.source != target_ && call.source != current_ && ++passing > kMostPassing;
  };
  CloseIf(in_excess, CallEnd::kMoved, out);
}

// Of the calls to the target the oldest stays, and of the others the one that has waited longer goes.
void ListRefresher::MakeRoom(ListActions& out) {
  std::vector<CallId> ids;
  for (const Call& call : calls_) {
    if (call.source == target_) ids.push_back(call.id);
  }
  if (ids.size() >= kMostCalls) Close(ids[1], CallEnd::kMadeWay, out);
}

// ---- When the next call goes out ----

// Something speaks against the watch: a call that is answered at once goes out so much later.
void ListRefresher::Disturb(Time now, Duration wait) {
  if (!disturbed_) {
    disturbed_ = true;
    unanswered_ = 0;
    next_open_ = Time::max();
  }
  next_open_ = std::min(next_open_, now + wait);
}

// From this call to the next one beside it. Discovery that has been slow is given the time it takes.
Duration ListRefresher::Gap(Time now) {
  const Duration grace = limits_.drain_grace;
  const Duration patient = usual_ * 3 / 2;
  if (limits_.agent) {
    const Duration most = std::clamp<Duration>(grace * 3 / 4, kAgentLeastGap, kAgentMostGap);
    Duration gap = std::clamp<Duration>(grace / 4, kAgentLeastGap, most);
    for (int i = 1; i < unanswered_ && gap < most; ++i) gap *= 2;
    return std::min(most, std::max(gap, patient));
  }
  Duration gap = std::max(kLeastGap, pacing_.spread());
  if (unanswered_ <= 1) gap = std::min(gap, kMostFirstGap);
  for (int i = kEarlyCalls; i <= unanswered_ && gap < kMostGap; ++i) gap *= 2;
  if (now < crowded_until_) gap = std::max(gap, kCrowdedGap);
  gap = std::min(kMostGap, std::max(gap, patient));
  return std::chrono::duration_cast<Duration>(gap * (0.8 + 0.2 * Any()));
}

Duration ListRefresher::ConnectLimit() const {
  if (!limits_.agent) return limits_.connect;
  const Duration soon = std::clamp<Duration>(limits_.drain_grace / 2, kAgentLeastGap, kAgentMostConnect);
  return std::min(limits_.connect, soon);
}

// What a call has been taking, at most this; nothing of it where an agent serves this router alone.
Duration ListRefresher::Usual(Duration most) const {
  return limits_.agent ? Duration(0) : std::min(usual_, most);
}

Duration ListRefresher::StallLimit() const {
  return std::clamp<Duration>(limits_.drain_grace / 5, kLeastStall, kMostStall);
}

// Guards against a service that breaks each call at once: quick repeats are few.
bool ListRefresher::TakeHaste(Time now) {
  const double burst = limits_.agent ? kAgentHasteBurst : kHasteBurst;
  const double rate = limits_.agent ? kAgentHastePerSecond : kHastePerSecond;
  const double gained = rate * std::chrono::duration<double>(now - haste_filled_).count();
  haste_ = std::min(burst, haste_ + gained);
  haste_filled_ = now;
  if (haste_ < 1) return false;
  haste_ -= 1;
  return true;
}

// Guards against news that was written and lost on its way, which counts as told: after a break the next
// call goes out soon. A refusal is another thing: discovery is short of room, or down, and the waits of
// ListCalls spread the next calls over the fleet.
void ListRefresher::AfterFailure(Time now, CallEnd why) {
  const bool first = !disturbed_;
  const bool unanswered = why == CallEnd::kConnectTime || why == CallEnd::kNoAnswer;
  if (!unanswered && unanswered_ > 0) --unanswered_;
  if (why == CallEnd::kNoDescriptor && ++lacks_ <= kMostLacks) {
    Disturb(now, kLackPause);
    next_open_ = now + kLackPause;
    return;
  }
  lacks_ = 0;
  switch (why) {
    case CallEnd::kSilent:
      return Disturb(now, Duration(0));
    case CallEnd::kConnectTime:
    case CallEnd::kNoAnswer:
      return Disturb(now, first ? Duration(0) : next_open_ - now);
    case CallEnd::kBroken:
    case CallEnd::kBadAnswer:
    case CallEnd::kNoBase:
    case CallEnd::kStalled:
      if (TakeHaste(now)) {
        const Duration quick =
            std::chrono::duration_cast<Duration>(limits_.drain_grace / 8 * (0.5 + Any()));
        return Disturb(now, first ? std::min(limits_.apart, limits_.drain_grace / 4) : quick);
      }
      return BackOff(now);
    case CallEnd::kOlderList:
      // The source is at work, and behind the others or begun anew: more calls in a row change neither.
      Disturb(now, first ? limits_.drain_grace / 4 : Duration(0));
      if (!first) next_open_ = now + Gap(now);
      return;
    default:
      return BackOff(now);
  }
}

// A call that still waits has its place in discovery's line; more of them would take that of others.
void ListRefresher::BackOff(Time now) {
  const Duration again = pacing_.Again(now, Any());
  Disturb(now, Duration(0));
  next_open_ = now + (AnyOut() && !limits_.agent ? std::max(again, Gap(now)) : again);
}

// ---- Limits ----

Time ListRefresher::LimitOf(const Call& call) const {
  const Time last = call.opened + call.wait + kPatience * limits_.answer;
  if (!call.connected) return call.opened + ConnectLimit();
  if (!call.first_byte) {
    return call.wait > Duration(0) ? call.opened + call.wait + limits_.watch_grace + Usual(kMostLate)
                                   : last;
  }
  Time next = std::min(last, *call.last_byte + limits_.answer);
  if (!call.stall_noted) next = std::min(next, *call.last_byte + StallLimit());
  if (!call.suspect) next = std::min(next, *call.first_byte + limits_.answer);
  return next;
}

CallEnd ListRefresher::CheckLimits(Time now, ListActions& out) {
  CallEnd last = CallEnd::kAnswered;
  const std::vector<Call> before = calls_;
  for (const Call& call : before) {
    if (LimitOf(call) > now) continue;
    if (call.first_byte) CheckAnswering(now, call.id);
    const Call* still = Find(call.id);
    if (still == nullptr || LimitOf(*still) > now) continue;
    last = !call.connected           ? CallEnd::kConnectTime
           : call.first_byte         ? CallEnd::kStalled
           : call.wait > Duration(0) ? CallEnd::kSilent
                                     : CallEnd::kNoAnswer;
    Close(call.id, last, out);
    if (call.source == target_) AfterFailure(now, last);
  }
  return last;
}

// An answer that has begun tells that there may be news. Where it stops, or goes on for long, another call
// goes out beside it.
void ListRefresher::CheckAnswering(Time now, CallId id) {
  Call& call = *Find(id);
  const bool stopped = !call.stall_noted && now - *call.last_byte >= StallLimit();
  const bool long_at_it = !call.suspect && now - *call.first_byte >= limits_.answer;
  if (!stopped && !long_at_it) return;
  call.stall_noted = call.stall_noted || stopped;
  const bool first = !std::exchange(call.suspect, true);
  if (!first || call.source != target_) return;
  if (TakeHaste(now)) {
    Disturb(now, Duration(0));
  } else if (!disturbed_) {
    Disturb(now, Gap(now));
  }
}

// ---- The state ----

void ListRefresher::Step(Time now, CallEnd why, ListActions& out) {
  if (following_ && disturbed_ && now >= next_open_) {
    MakeRoom(out);
    Open(now, target_, false, 0, out);
    ++unanswered_;
    next_open_ = now + Gap(now);
  }
  const ListState to = !heard_                     ? ListState::kUnheard
                       : !disturbed_ && Watching() ? ListState::kFollowing
                       : AnyOut()                  ? ListState::kRefreshing
                                                   : ListState::kBackingOff;
  if (to == state_) return;
  out.push_back(StateChanged{state_, to, why});
  state_ = to;
}

}  // namespace brasswood
