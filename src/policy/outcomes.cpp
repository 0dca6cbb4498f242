// What the module learns from an outcome: about its server, its key, the origin and retries.
#include "policy/core.h"

namespace beechledge {

// Updates the key's holders, and the origin's limit if the attempt may have reached the origin.
void Balancer::Core::LearnFetchResult(const Request& r, const Attempt& a, const Outcome& e) {
  KeyTable::Entry* entry = r.keyed ? key_table_.Find(r.key) : nullptr;
  if (entry != nullptr && !DidNotRun(e.result) && e.result != Result::kCancelled) {
    // A write invalidates all copies; an error means that the copy is gone and could not be fetched again.
    const bool ok = e.result == Result::kOk, ran = ok || e.result == Result::kMalformed;
    for (Holder& h : entry->holders) {
      const bool here = h.server == a.server && h.incarnation == a.incarnation;
      if (r.write && ran) {
        h.confirmed = false;
      } else if (here && !r.write && e.result != Result::kMalformed) {
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
  if (e.result == Result::kCancelled || DidNotRun(e.result)) return;
  if (ok && e.note == Note::kHit) return;  // the server held it after all: the origin was not asked
  const Duration aim = ClassOf(r).aim;
  const double max_seconds = aim > Duration(0) ? Seconds(aim) : INFINITY;
  origin_limiter_.RecordResult(now_, took, ok, ok || e.result == Result::kMalformed, max_seconds);
}

// Learns whether retries of cancelled overdue attempts succeed. A retry of an attempt lost in transit is
// answered as quickly as any other request; a heavy request, or one to an overloaded fleet, is just as slow
// again and should not have been cancelled.
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
  // While the zone is down, failures are not the server's own: it must be usable as soon as its zone is.
  if (ZoneDown(s)) return;
  // Failures of the process before the last restart must not eject the server.
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
      // With few samples of a server its load shows only in slow answers: one that is too late to be useful
      // counts as a failure, unless the request was late already when it was sent.
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
    case Result::kMalformed:
    case Result::kReset:
      RecordHealth(s, true, false, true);
      break;
    case Result::kConnectFailed:
      RecordHealth(s, true, true);
      break;
    // Overload is not a failure. The rejected request counts as load, or the full server would look idle
    // and attract keys.
    case Result::kRejected:
      s.load.value += typical_seconds_ / Seconds(kLoadTau);
      break;
    case Result::kCancelled:
      if (a.overdue && !a.lost_in_transit)
        RecordHealth(s, true, false);  // the server has answered nothing since
      break;
    case Result::kObsolete:
      break;
  }
}

}  // namespace beechledge
