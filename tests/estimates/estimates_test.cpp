// Unit tests of the small classes: the origin's fetch limit, the own zone's share of keys, admission, the
// key table, the histogram of answer times, and the delays of list calls.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <vector>

#include "config/limits.h"
#include "estimates/admission.h"
#include "estimates/answer_times.h"
#include "estimates/key_table.h"
#include "estimates/origin_limiter.h"
#include "estimates/own_zone_share.h"
#include "recovery/list_call_backoff.h"

namespace beechledge::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The number of fetches that may start at once.
int FetchesAllowed(OriginLimiter& p, Time now) {
  int n = 0;
  for (; p.MayFetch(now) && n < 10000; ++n) p.FetchStarted(now);
  for (int i = 0; i < n; ++i) p.FetchEnded();
  return n;
}

TEST(OriginLimiter, TheLimitFollowsWhatTheOriginSustains) {
  OriginLimiter p;
  Time now = seconds(1);
  EXPECT_EQ(FetchesAllowed(p, now), 16);
  const auto play = [&](int fetches, double took, bool ok) {
    for (int i = 0; i < fetches; ++i) {
      now += milliseconds(200);
      int out = 0;
      for (; p.MayFetch(now); ++out) p.FetchStarted(now);  // as many as allowed
      if (out == 0) continue;
      p.FetchEnded();
      if (ok) p.RecordServed(took);
      p.RecordResult(now, took, ok, ok, 1);
      while (--out > 0) p.FetchEnded();
    }
  };
  play(100, 0.1, true);
  EXPECT_FALSE(p.NearOverload());
  play(40, 0.9, true);  // nine times the unqueued duration, but within the maximum
  EXPECT_TRUE(p.Overloaded());
  play(40, 1, false);
  EXPECT_TRUE(p.Overloaded());
  // A share of the time, but never zero: otherwise nothing would show that the origin has recovered.
  EXPECT_EQ(FetchesAllowed(p, now), 0);
  now += seconds(2);
  EXPECT_EQ(FetchesAllowed(p, now), 1);
  EXPECT_EQ(FetchesAllowed(p, now), 0);
  play(400, 0.05, true);
  EXPECT_FALSE(p.Overloaded());
  EXPECT_GT(FetchesAllowed(p, now), 4);
}

TEST(OwnZoneShare, FallsWhileTheOwnZoneIsSlowerAndRisesAfterwards) {
  OwnZoneShare h;
  Time now = seconds(1);
  const auto play = [&](int home_ms, int away_ms) {
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(50);
      h.Learn(now, i % 2 == 0, milliseconds(i % 2 == 0 ? home_ms : away_ms));
    }
  };
  play(50, 50);
  EXPECT_EQ(h.value(), 1);
  play(200, 50);
  EXPECT_LT(h.value(), 0.3);
  play(50, 50);
  EXPECT_GT(h.value(), 0.9);
}

// A fleet that answers `capacity` reads per second; further ones wait in an unbounded queue.
struct Fleet {
  Admission admission;
  double capacity = 100;
  bool sheds = true;
  Time now = seconds(100);
  double queue = 0, in = 0, served = 0;
  // Returns the share of the reads submitted in that time that was answered within half a second.
  double Play(Duration length, double asked) {
    double in_time = 0, all = 0;
    for (const Time until = now + length; now < until; now += milliseconds(10)) {
      const double share = sheds ? admission.AdmittedShare(now) : 1;
      all += asked / 100;
      for (in += asked / 100; in >= 1; in -= 1) {
        admission.RecordRead(now);
        admission.RecordEnd(now);
      }
      const bool late = queue / capacity > 0.5;
      queue += share * asked / 100;
      const double given = std::min(queue, capacity / 100);
      queue -= given;
      if (!late) in_time += given;
      for (served += given; served >= 1; served -= 1) admission.RecordAnswer(now, true, late);
    }
    return in_time / all;
  }
};

// At twice the capacity half of the reads can be in time; if all are admitted, almost none is.
TEST(Admission, AdmitsWhatIsServedWhileAQueueStandsAndAllOnceItIsGone) {
  for (const bool sheds : {false, true}) {
    Fleet f;
    f.sheds = sheds;
    EXPECT_GT(f.Play(seconds(5), 80), 0.99);
    EXPECT_EQ(f.admission.AdmittedShare(f.now), 1);
    f.Play(seconds(3), 200);
    const double in_time = f.Play(seconds(10), 200);
    EXPECT_EQ(sheds, in_time > 0.15) << in_time;
    if (!sheds) continue;
    f.Play(seconds(6), 80);
    EXPECT_EQ(f.admission.AdmittedShare(f.now), 1);
    EXPECT_GT(f.Play(seconds(5), 80), 0.99);
  }
}

TEST(Admission, AFewLateAnswersOrFailuresRejectNothing) {
  Admission a;
  Time now = seconds(100);
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(50);
    a.RecordRead(now);
    a.RecordEnd(now);
    if (i % 4 != 0)
      a.RecordAnswer(now, true, i % 10 == 0);  // a quarter fails, and a tenth of the rest is late
    EXPECT_EQ(a.AdmittedShare(now), 1);
  }
}

TEST(KeyTable, IsBoundedAndEvictsTheLeastRecentlyUsed) {
  KeyTable t;
  for (std::uint64_t key = 0; key < KeyTable::kMaxKeys; ++key)
    t.Touch(key, seconds(1)).holders.push_back({1, 0});
  t.Touch(0, seconds(2));
  t.Touch(KeyTable::kMaxKeys, seconds(2));
  EXPECT_NE(t.Find(0), nullptr);
  EXPECT_EQ(t.Find(1), nullptr);
  EXPECT_EQ(t.Find(0)->holders.size(), 1u);
  EXPECT_TRUE(t.Find(KeyTable::kMaxKeys)->holders.empty());
}

TEST(AnswerTimes, AbandonedAttemptsCountWithLaterAnswers) {
  AnswerTimes t;
  for (int i = 0; i < 100; ++i) t.Add(milliseconds(i < 50 ? 20 : 200));
  const double before = t.ChanceWithin(milliseconds(50), milliseconds(400));
  EXPECT_GT(before, 0.95);
  for (int i = 0; i < 100; ++i) t.AddAbandoned(milliseconds(1000));
  EXPECT_LT(t.ChanceWithin(milliseconds(50), milliseconds(400)), 0.6 * before);
}

// Whatever the results of earlier calls, and with one more failure after discovery is reachable again, the
// list is received within kMaxNotifyDelay.
TEST(ListCallBackoff, TheListIsReceivedInTimeHoweverManyCallsFail) {
  const brasswood::Limits limits;
  const Duration failures[] = {Duration(0), limits.discovery_connect_timeout,
                               limits.discovery_answer_timeout};
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    const auto random_share = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
    Settings s;
    s.balancers = seed % 3 == 0 ? 300 : 3;
    s.local_list_agent = seed % 5 == 0;
    ListCallBackoff calls(s);
    Time now = seconds(100), back;
    const bool swallowed = seed % 2 == 0;
    if (swallowed) {  // it stops answering a watch that has just begun, but answers others
      calls.Confirmed(now);
      back = now;
      now += limits.watch_time + limits.watch_grace;
    } else {  // it is down for a while; the call in progress when it returns still fails
      back = now + FromSeconds(20 * random_share());
      now += calls.FirstDelay(random_share());
      while (now < back) {
        now += failures[random() % 3];
        now += calls.RetryDelay(now, random_share());
      }
    }
    now += calls.RetryDelay(now += failures[0], random_share());  // one more that is refused
    EXPECT_LE(now - back, ListCallBackoff::kMaxNotifyDelay) << seed;
  }
}

TEST(ListCallBackoff, AFleetThatIsRefusedTogetherSpreadsItsCalls) {
  constexpr int kRouters = 300;
  Settings s;
  s.balancers = kRouters;
  std::mt19937_64 random(1);
  const auto random_share = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  std::vector<int> calls(100);  // in each tenth of a second
  for (int router = 0; router < kRouters; ++router) {
    ListCallBackoff own(s);
    Time now = seconds(0);
    now += own.FirstDelay(random_share());
    while (now < seconds(10)) {
      ++calls[static_cast<std::size_t>(now / milliseconds(100))];
      now += own.RetryDelay(now, random_share());
    }
  }
  EXPECT_LT(*std::max_element(calls.begin(), calls.end()), kRouters / 4);
  EXPECT_LT(std::accumulate(calls.begin(), calls.end(), 0), kRouters * 10);
}

// Discovery has capacity for only a part of the calls of a fleet that starts together, including the
// watches that follow. Every router receives its first list within kMaxNotifyDelay.
TEST(ListCallBackoff, AllRoutersReceiveTheListFromADiscoveryWithLittleCapacity) {
  struct Case {
    int routers;
    double capacity;  // calls per second
  };
  const brasswood::Limits limits;
  for (const auto& [routers, capacity] : {Case{6, 5}, {10, 8}, {24, 20}, {40, 30}, {100, 75}, {300, 200}}) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      std::mt19937_64 random(seed);
      const auto random_share = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
      Settings s;
      s.balancers = routers;
      std::vector<ListCallBackoff> own(static_cast<std::size_t>(routers), ListCallBackoff(s));
      std::vector<bool> notified(own.size()), watching(own.size());
      std::multimap<Time, std::size_t> next;  // the router that calls, or whose watch is answered
      for (std::size_t r = 0; r < own.size(); ++r) next.emplace(own[r].FirstDelay(random_share()), r);
      double left = 2;
      Time filled(0);
      std::size_t remaining = own.size();
      while (remaining > 0) {
        const auto [now, r] = *next.begin();
        next.erase(next.begin());
        if (watching[r]) own[r].Confirmed(now);  // and calls again at once, for the next watch
        watching[r] = false;
        left = std::min(std::max(1.0, capacity / 10), left + capacity * Seconds(now - filled));
        filled = now;
        if (left < 1) {
          next.emplace(now + own[r].RetryDelay(now, random_share()), r);
          continue;
        }
        left -= 1;
        remaining -= !notified[r];
        if (!notified[r]) {
          own[r].Confirmed(now);
          next.emplace(now, r);
        } else {
          watching[r] = true;
          next.emplace(now + limits.watch_time - FromSeconds(Seconds(limits.watch_spread) * random_share()),
                       r);
        }
        notified[r] = true;
        ASSERT_LE(now, ListCallBackoff::kMaxNotifyDelay) << routers << " routers, seed " << seed;
      }
    }
  }
}

TEST(ListCallBackoff, ALocalAgentIsCalledAtOnceAndAgainWithinTheDrainGrace) {
  Settings s;
  s.balancers = 300;
  s.local_list_agent = true;
  s.rules.drain_grace = milliseconds(300);
  ListCallBackoff calls(s);
  EXPECT_EQ(calls.FirstDelay(1), Duration(0));
  for (int i = 0; i < 20; ++i) EXPECT_LE(calls.RetryDelay(seconds(1 + i), 1), s.rules.drain_grace / 4);
}

}  // namespace
}  // namespace beechledge::testing
