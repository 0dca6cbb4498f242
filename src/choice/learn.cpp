// What an outcome tells of its server, its key, the origin and second attempts.
#include "choice/core.h"

namespace beechledge {

// What it tells of the key's holders, and of the origin where the origin was asked.
void Balancer::Core::LearnFetchResult(const Request& r, const Attempt& a, const Outcome& e) {
  KeyTable::Entry* entry = r.keyed ? key_table_.Find(r.key) : nullptr;
  if (entry != nullptr && !NeverRan(e.result) && e.result != Result::kCancelled) {
    // A write voids the kept copies; an error says that the copy is gone and could not be fetched again.
    const bool ok = e.result == Result::kOk, ran = ok || e.result == Result::kSpoilt;
    for (Holder& h : entry->holders) {
      const bool here = h.server == a.server && h.incarnation == a.incarnation;
      if (r.write && ran) {
        h.confirmed = false;
      } else if (here && !r.write && e.result != Result::kSpoilt) {
        h.confirmed = ok;
      }
    }
  }
  if (!a.fetch) return;
  origin_limiter_.FetchEnded();
  if (entry != nullptr) entry->fetch_until = Time(-1);
  const double took = Seconds(now_ - a.sent);
  const bool ok = e.result == Result::kOk;
  if (ok) origin_limiter_.RecordServed(took);
  if (e.result == Result::kCancelled || NeverRan(e.result)) return;
  if (ok && e.note == Note::kHit) return;  // it was kept after all: not a word from the origin
  const Duration aim = ClassOf(r).aim;
  const double most = aim > Duration(0) ? Seconds(aim) : INFINITY;
  origin_limiter_.RecordResult(now_, took, ok, ok || e.result == Result::kSpoilt, most);
}

// Does another attempt help what was taken back? One that went astray is answered as quickly as any
// other; a heavy request, or one in an overloaded tier, is as slow again, and was better left where it
// was.
void Balancer::Core::LearnRetryResult(const Request& r, const Attempt& a, Result result) {
  if (&a != &r.attempts.back() || result == Result::kMiss || result == Result::kCancelled) return;
  if (std::none_of(r.attempts.begin(), r.attempts.end() - 1, [](const Attempt& o) { return o.overdue; })) {
    return;
  }
  const bool helped = result == Result::kOk && now_ <= LatestUsefulTime(r);
  retry_success_share_ += 0.1 * ((helped ? 1 : 0) - retry_success_share_);
}

void Balancer::Core::LearnServerResult(Server& s, const Request& r, const Attempt& a, const Outcome& e) {
  if (e.result == Result::kTimeout || (e.result == Result::kCancelled && a.overdue)) {
    answer_times_.AddAbandoned(now_ - a.sent);
    if (!ZoneDown(s)) LearnZoneLatency(s, 2 * (now_ - a.sent));
  }
  // In a lost hall no failure is the server's own: it is to be well again as soon as its hall is.
  if (ZoneDown(s)) return;
  // Guards against taking a server out for what its process before the last start failed.
  if (a.incarnation != s.incarnation) return;
  switch (e.result) {
    case Result::kOk:
      answers_.Add(now_, kRateTau, 1);
      admission_.RecordAnswer(now_, ClassOf(r).aim > Duration(0) && !r.write, now_ > LatestUsefulTime(r));
      answer_times_.Add(now_ - a.sent);
      LearnZoneLatency(s, now_ - a.sent);
      if (!a.fetch && !r.write && !IsOrigin(s))
        latencies_.RecordAnswer(e.server, now_, now_ - a.sent, IsCold(s));
      typical_seconds_ += 0.02 * (Seconds(now_ - a.sent) - typical_seconds_);
      // Where looks are few, load shows only how slow an answer was: one too late to be worth anything is
      // a failure, unless it was late to begin with.
      RecordHealth(
          s, SampleRate() < 1 && now_ > LatestUsefulTime(r) && now_ - a.sent > answer_times_.Quantile(0.95),
          false);
      break;
    case Result::kMiss:
      latencies_.RecordMiss(e.server, now_, now_ - a.sent, IsCold(s));
      RecordHealth(s, false, false);
      break;
    case Result::kError:
    case Result::kTimeout:
      RecordHealth(s, true, false);
      break;
    case Result::kSpoilt:
    case Result::kReset:
      RecordHealth(s, true, false, true);
      break;
    case Result::kConnectFailed:
      RecordHealth(s, true, true);
      break;
    case Result::kFull:  // overload is not ill health; what was turned away counts as load, or it would
                         // draw keys
      s.load.value += typical_seconds_ / Seconds(kLoadTau);
      break;
    case Result::kCancelled:
      if (a.overdue && !a.lost_in_transit) RecordHealth(s, true, false);  // it has answered nobody since
      break;
    case Result::kMoot:
      break;
  }
}

}  // namespace beechledge
