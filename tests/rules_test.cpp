// The four rules (answers, effects, drains, cold servers), as one instance enforces them.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "driver.h"

namespace beechledge::testing {
namespace {

TEST(Answers, EachRequestEndsByItsDeadline) {
  Driver d;
  d.SetServers(3);
  d.Submit("a", 0, milliseconds(400));
  const RequestId id = d.last_id;
  d.Advance(milliseconds(399));
  EXPECT_TRUE(d.refused.empty() && d.failed.empty());
  d.Advance(milliseconds(2));
  EXPECT_EQ(d.refused, std::vector<RequestId>{id});
}

TEST(Answers, WithoutServersARequestIsHeldUntilItEnds) {
  Driver d;
  d.List(ListKind::kPersisted, {});
  EXPECT_EQ(d.Submit("a"), -1);
  d.Advance(milliseconds(200));
  d.List(ListKind::kChanges, {Up(0)});
  EXPECT_EQ(d.sends.size(), 1u);
  d.Advance(seconds(2));
  EXPECT_EQ(d.refused.size() + d.failed.size(), 1u);
}

TEST(Answers, NothingIsSentAfterARequestHasEnded) {
  Driver d;
  d.SetServers(3);
  d.Submit("a");
  d.Feed(ClientGone{d.last_id});
  d.EndAttempt(d.last_id, 0, Result::kError);
  d.Advance(seconds(3));
  EXPECT_EQ(d.sends.size(), 1u);
  EXPECT_TRUE(d.refused.empty() && d.failed.empty());
}

TEST(Effects, AnUnsafeRequestThatMayHaveRunIsNeitherResentNorRefused) {
  for (const Result result : {Result::kError, Result::kTimeout, Result::kReset, Result::kCancelled}) {
    Driver d;
    d.SetServers(3);
    d.Submit("a", 1);
    d.EndAttempt(d.last_id, 0, result);
    d.Advance(seconds(3));
    EXPECT_EQ(d.sends.size(), 1u);
    EXPECT_TRUE(d.refused.empty());
    EXPECT_EQ(d.failed.size(), 1u);
  }
}

TEST(Effects, AnUnsafeRequestThatDidNotRunIsRetried) {
  Driver d;
  d.SetServers(3);
  d.Submit("a", 1);
  d.EndAttempt(d.last_id, 0, Result::kConnectFailed);
  ASSERT_EQ(d.sends.size(), 2u);
  EXPECT_NE(d.sends[0].send.server, d.sends[1].send.server);
}

TEST(Effects, AKeyedRequestIsRetriedOnlyInItsGroupAndWindow) {
  Settings s = PlainSettings();
  Driver d(s);
  std::vector<ServerEntry> entries;
  for (ServerId id = 0; id < 8; ++id) entries.push_back(Up(id, Time(0), static_cast<int>(id % 2)));
  d.List(ListKind::kPersisted, entries);
  for (int i = 0; i < 20; ++i) {
    const int first = d.Submit("k" + std::to_string(i), 2);
    d.EndAttempt(d.last_id, 0, Result::kReset);
    EXPECT_EQ(d.sends.back().send.server % 2, static_cast<ServerId>(first % 2));
    d.Advance(milliseconds(310));
    const std::size_t before = d.sends.size();
    d.EndAttempt(d.last_id, 1, Result::kReset);
    EXPECT_EQ(d.sends.size(), before);  // after the window
    d.Advance(seconds(2));
  }
}

TEST(Effects, NoParallelAttemptsUnlessAllowed) {
  Driver d;  // parallel_tries is off
  d.SetServers(3);
  for (int i = 0; i < 50; ++i) d.Serve("a" + std::to_string(i));
  const std::size_t before = d.sends.size();
  d.Submit("slow");
  d.Advance(milliseconds(900));
  EXPECT_EQ(d.sends.size(), before + 1);
}

TEST(Drains, ADrainingServerGetsNoRequests) {
  Driver d;
  d.SetServers(2);
  ServerEntry draining = Up(0);
  draining.availability = Availability::kDraining;
  d.List(ListKind::kChanges, {draining});
  for (int i = 0; i < 50; ++i) EXPECT_EQ(d.Serve("k" + std::to_string(i)), 1);
}

TEST(Drains, AServerMissingFromACompleteListIsRemoved) {
  Driver d;
  d.SetServers(2);
  d.List(ListKind::kAll, {Up(1)});
  for (int i = 0; i < 50; ++i) EXPECT_EQ(d.Serve("k" + std::to_string(i)), 1);
}

// One instance's sends to a cold server stay within its share of multiple x capacity x window, where the
// capacity is at least the rate that it sends to a warm server.
TEST(Cold, AColdServerStaysWithinItsBudget) {
  Driver d;
  d.SetServers(4);
  for (int i = 0; i < 2000; ++i) d.Serve("w" + std::to_string(i), milliseconds(5));
  const Time start = d.now;
  d.List(ListKind::kChanges, {Up(9, start)});
  std::vector<Time> cold;
  int warm = 0;
  while (d.now < start + seconds(20)) {
    const int to = d.Serve("c" + std::to_string(d.last_id), milliseconds(5));
    if (to == 9)
      cold.push_back(d.now);
    else if (to >= 0)
      ++warm;
  }
  const double warm_rate = warm / 4.0 / 20;
  for (const Time from : cold) {
    const double age = std::chrono::duration<double>(from - start).count();
    const double share = 0.2 + 0.8 * age / 20;
    const auto n = std::count_if(cold.begin(), cold.end(),
                                 [&](Time t) { return t >= from && t < from + milliseconds(1500); });
    EXPECT_LE(static_cast<double>(n), 3 * share * warm_rate * 1.5 + 1) << "at age " << age;
  }
  EXPECT_GT(cold.size(), 100u);  // and the cold server is used
}

TEST(Cold, AnInstanceWithoutSamplesSendsAlmostNothing) {
  Driver d;
  d.List(ListKind::kPersisted, {Up(0), Up(1), Up(2, d.now - seconds(1))});
  int cold = 0;
  for (int i = 0; i < 20; ++i) cold += d.Submit("k" + std::to_string(i)) == 2;
  EXPECT_LE(cold, 1);
}

// Invalid lists: each is handled, and no request is lost.
TEST(Lists, AStartInTheFutureCountsAsNow) {
  Driver d;
  d.SetServers(2);
  ServerEntry ahead = Up(2, d.now + seconds(3600));
  d.List(ListKind::kChanges, {ahead});
  for (int round = 0; round < 30;
       ++round) {  // warm after its ramp of 20 s, however often the list is repeated
    d.Advance(seconds(1));
    d.List(ListKind::kChanges, {ahead});
    for (int i = 0; i < 20; ++i) d.Serve("k" + std::to_string(i), milliseconds(5));
  }
  std::size_t before = 0;
  for (const auto& s : d.sends) before += s.send.server == 2;
  for (int i = 0; i < 200; ++i) d.Serve("new" + std::to_string(i), milliseconds(5));
  std::size_t after = 0;
  for (const auto& s : d.sends) after += s.send.server == 2;
  EXPECT_GT(after - before, 40u);
}

TEST(Lists, InvalidListsLoseNoRequests) {
  for (const int balancers : {-1, 0, 1, 100, INT32_MAX}) {
    Settings s = PlainSettings();
    s.balancers = balancers;
    s.list_by_request = true;
    Driver d(s);
    d.SetServers(4);
    std::mt19937_64 random(7);
    std::size_t asked = 0, served = 0;
    for (int i = 0; i < 300; ++i) {
      switch (random() % 5) {
        case 0:
          d.List(ListKind::kChanges,
                 {Up(static_cast<ServerId>(random() % 4), Time(seconds(random() % 300)))});
          break;
        case 1: {
          ServerEntry gone = Up(static_cast<ServerId>(4 + random() % 3));
          gone.availability = Availability::kRemoved;
          d.List(ListKind::kChanges, {gone});
          break;
        }
        case 2:
          d.List(ListKind::kAll, {});
          break;
        case 3:
          d.List(ListKind::kRefused, {});
          break;
        default:
          d.SetServers(4);
      }
      ++asked;
      d.Submit("k" + std::to_string(i % 9));
      d.Advance(milliseconds(20));
      d.AnswerAll();
      d.Advance(milliseconds(30));
    }
    d.Advance(seconds(3));
    d.AnswerAll();
    for (const auto& sent : d.sends) served += d.concluded.contains({sent.send.id, sent.attempt});
    EXPECT_EQ(served + d.refused.size() + d.failed.size(), asked) << balancers;
    EXPECT_GT(served, asked / 3) << balancers;
    EXPECT_LT(d.subscribed.size(), 40u) << balancers;  // and calls to discovery stay few
  }
}

// Random valid histories under several settings, checked against an independent record.
TEST(Property, RandomHistoriesKeepTheRules) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
    Settings s = PlainSettings();
    s.allowed.parallel_tries = seed % 2 == 0;
    s.balancers = seed % 3 == 0 ? 0 : 20;  // 0 is invalid, and must do no harm
    s.classes[2].group = seed % 3 == 1 ? Group::kAll : Group::kZone;
    if (seed % 5 == 0) {
      s.origin = Origin::kCacheAside;
      s.origin_kind = 1;
    }
    Driver d(s, seed);
    struct Listed {
      Availability availability = Availability::kRemoved;
    };
    std::map<ServerId, Listed> list;
    const auto entry = [&](ServerId id) {
      ServerEntry e = Up(id, pick(3) == 0 ? d.now : Time(0), static_cast<int>(id % 3));
      e.kind = id == 0 ? 1 : 0;
      e.availability = static_cast<Availability>(pick(3));
      if (pick(2) == 0) e.availability = Availability::kUp;
      return e;
    };
    struct OpenRequest {
      int request_class;
      Time deadline;
      bool ended = false;
    };
    std::map<RequestId, OpenRequest> held;
    std::map<std::pair<RequestId, int>, Result> outcomes;
    std::size_t checked = 0;
    const auto check = [&] {
      for (; checked < d.sends.size(); ++checked) {
        const Driver::Sent& sent = d.sends[checked];
        const OpenRequest& h = held.at(sent.send.id);
        EXPECT_FALSE(h.ended);
        EXPECT_LT(sent.at, h.deadline);
        EXPECT_EQ(list[sent.send.server].availability, Availability::kUp);
        EXPECT_LT(sent.attempt, s.allowed.max_attempts);
        for (int i = 0; i < sent.attempt; ++i) {
          const auto outcome = outcomes.find({sent.send.id, i});
          const bool out = outcome == outcomes.end();
          if (!s.allowed.parallel_tries) {
            EXPECT_FALSE(out);
          }
          const bool never_ran =
              !out && (outcome->second == Result::kRejected || outcome->second == Result::kMiss ||
                       outcome->second == Result::kConnectFailed);
          if (h.request_class == 1) {
            EXPECT_TRUE(never_ran);
          }
          if (h.request_class == 2 && !never_ran) {
            const auto first = std::find_if(d.sends.begin(), d.sends.end(), [&](const Driver::Sent& o) {
              return o.send.id == sent.send.id && o.attempt == i;
            });
            EXPECT_LT(sent.at - first->at, s.classes[2].window);
            if (s.classes[2].group == Group::kZone) {
              EXPECT_EQ(first->send.server % 3, sent.send.server % 3);
            }
          }
        }
      }
    };
    d.List(ListKind::kPersisted, {});
    for (int step = 0; step < 600; ++step) {
      d.Advance(milliseconds(pick(40)));
      check();
      const int what = pick(10);
      if (what == 0) {
        std::vector<ServerEntry> changed;
        for (int i = 0; i < 3; ++i) changed.push_back(entry(static_cast<ServerId>(pick(9))));
        if (pick(4) == 0) {
          std::set<ServerId> seen;
          std::erase_if(changed, [&](const ServerEntry& e) {
            return e.availability == Availability::kRemoved || !seen.insert(e.id).second;
          });
          list.clear();
          for (const auto& e : changed) list[e.id].availability = e.availability;
          d.List(ListKind::kAll, changed);
        } else {
          for (const auto& e : changed) list[e.id].availability = e.availability;
          d.List(ListKind::kChanges, changed);
        }
      } else if (what == 1 && !held.empty()) {
        auto it = held.begin();
        std::advance(it, pick(static_cast<int>(held.size())));
        it->second.ended = true;
        d.Feed(ClientGone{it->first});
      } else if (what < 6) {
        const int c = pick(3);
        const Duration ttl = milliseconds(pick(1000) - 20);
        held[d.last_id + 1] = {c, d.now + ttl};
        d.Submit("k" + std::to_string(pick(30)), c, ttl, pick(10) == 0);
      } else if (!d.sends.empty()) {
        const Driver::Sent sent = d.sends[static_cast<std::size_t>(pick(static_cast<int>(d.sends.size())))];
        const std::pair<RequestId, int> which{sent.send.id, sent.attempt};
        if (!outcomes.contains(which)) {
          static constexpr Result kResults[] = {
              Result::kOk,    Result::kOk,   Result::kError,  Result::kRejected, Result::kConnectFailed,
              Result::kReset, Result::kMiss, Result::kTimeout};
          const Result result = kResults[pick(8)];
          outcomes[which] = result;
          if (result == Result::kOk) held.at(sent.send.id).ended = true;
          d.EndAttempt(sent.send.id, sent.attempt, result);
        }
      }
      check();
    }
    d.Advance(seconds(3));
    check();
    std::map<RequestId, int> ends;
    for (const RequestId id : d.refused) ++ends[id];
    for (const RequestId id : d.failed) ++ends[id];
    for (const auto& [id, h] : held) {
      if (h.ended) {
        EXPECT_LE(ends[id], 1);
      } else {
        EXPECT_EQ(ends[id], 1) << "seed " << seed << " request " << id;
      }
    }
    for (const RequestId id : d.refused) {  // a refusal promises that a retry is safe
      for (int i = 0; i < d.attempts[id]; ++i) {
        const auto outcome = outcomes.find({id, i});
        const bool never_ran = outcome != outcomes.end() &&
                               (outcome->second == Result::kRejected || outcome->second == Result::kMiss ||
                                outcome->second == Result::kConnectFailed);
        const int c = held.at(id).request_class;
        EXPECT_TRUE(c == 0 || never_ran || (c == 2 && s.classes[2].group == Group::kAll));
      }
    }
  }
}

}  // namespace
}  // namespace beechledge::testing
