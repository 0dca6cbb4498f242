// Relative latencies and weights of servers, learned from few answers: the class alone, and in the module.
#include "estimates/server_latencies.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>

#include "driver.h"

namespace beechledge::testing {
namespace {

TEST(ServerLatencies, AServerWithFewSamplesUsesItsKindsLatency) {
  ServerLatencies p;
  for (ServerId id = 0; id < 8; ++id) p.Add(id, id < 4 ? 1 : 2, 0, 0);
  Time now = seconds(100);
  for (int i = 0; i < 40; ++i) {
    for (ServerId id : {0u, 1u, 2u}) p.RecordAnswer(id, now, milliseconds(90), false);
    for (ServerId id : {4u, 5u, 6u, 7u}) p.RecordAnswer(id, now, milliseconds(30), false);
    now += milliseconds(100);
  }
  // Server 3 has not answered yet, so its kind's latency is used.
  EXPECT_EQ(p.Samples(3, now), 0);
  EXPECT_GT(p.RelativeLatency(3, now), 0.25);
  EXPECT_LT(p.RelativeLatency(5, now), -0.25);
  // One slow answer of a server is little evidence: the latency of its kind still dominates.
  p.Add(7, 2, 0, 0);
  p.RecordAnswer(7, now, milliseconds(300), false);
  EXPECT_LT(p.RelativeLatency(7, now), 0.1);
}

TEST(ServerLatencies, WeightsMoveInSmallStepsAndIgnoreChanceDifferences) {
  ServerLatencies p;
  for (ServerId id = 0; id < 4; ++id) p.Add(id, static_cast<int>(id), 0, 0);
  Time now = seconds(100);
  double before = 1;
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    p.RecordAnswer(0, now, milliseconds(120), false);
    for (ServerId id : {1u, 2u, 3u}) p.RecordAnswer(id, now, milliseconds(i % 2 ? 38 : 42), false);
    p.AdjustWeights(now);
    EXPECT_GT(p.Weight(0), 0.9 * before) << "more than one step";
    before = p.Weight(0);
  }
  EXPECT_LT(p.Weight(0), 0.7);
  EXPECT_EQ(p.Weight(1), p.Weight(2)) << "differences by chance must not move weights";
  // Once it is as fast as the others its weight recovers.
  for (int i = 0; i < 1800; ++i, now += milliseconds(100)) {
    for (ServerId id : {0u, 1u, 2u, 3u}) p.RecordAnswer(id, now, milliseconds(40), false);
    p.AdjustWeights(now);
  }
  EXPECT_GT(p.Weight(0), 0.8);
}

TEST(ServerLatencies, StatedSizesSetInitialWeightsWithinBounds) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  struct Row {
    double size, least, most;
  } rows[] = {{0, 0.9, 1.1},
              {-3, 0.9, 1.1},
              {nan, 0.9, 1.1},
              {1e300, 2, ServerLatencies::kMaxWeight},
              {2, 1.3, 2.0}};
  for (const Row& row : rows) {
    ServerLatencies p;
    for (ServerId id = 0; id < 6; ++id) p.Add(id, 0, 0, 1);
    p.Add(6, 1, 0, row.size);
    EXPECT_GE(p.Weight(6), row.least) << row.size;
    EXPECT_LE(p.Weight(6), row.most) << row.size;
    EXPECT_GE(p.Weight(0), ServerLatencies::kMinWeight) << row.size;
    EXPECT_TRUE(std::isfinite(p.Weight(0)));
  }
  // If the stated size changes with every list, the weight still moves by one step at a time.
  ServerLatencies p;
  for (ServerId id = 0; id < 6; ++id) p.Add(id, 0, 0, 1);
  Time now = seconds(100);
  for (int i = 0; i < 50; ++i, now += seconds(1)) {
    const double before = p.Weight(0);
    p.SetSize(0, i % 2 ? 1e-9 : 1e9);
    p.AdjustWeights(now);
    EXPECT_LT(std::abs(std::log(p.Weight(0) / before)), 0.11);
  }
}

TEST(ServerLatencies, TheNumberOfGroupsIsBounded) {
  ServerLatencies p;
  Time now = seconds(100);
  for (int kind = 0; kind < 4096; ++kind) {
    p.Add(static_cast<ServerId>(kind), kind, kind % 3, 1);
    p.RecordAnswer(static_cast<ServerId>(kind), now, milliseconds(40), false);
  }
  for (ServerId id = 0; id < 4096; ++id) EXPECT_NEAR(p.RelativeLatency(id, now), 0, 1e-6);
  p.AdjustWeights(now + seconds(1));
}

TEST(ServerLatencies, AReplacedServerStartsWithoutItsPredecessorsSamples) {
  ServerLatencies p;
  for (ServerId id = 0; id < 3; ++id) p.Add(id, 0, 0, 0);
  Time now = seconds(100);
  for (int i = 0; i < 50; ++i) {
    p.RecordAnswer(0, now, milliseconds(400), false);
    for (ServerId id : {1u, 2u}) p.RecordAnswer(id, now, milliseconds(40), false);
  }
  const double slow = p.RelativeLatency(0, now);
  p.Add(0, 0, 0, 0);
  EXPECT_LT(p.RelativeLatency(0, now), 0.7 * slow);
  EXPECT_EQ(p.Samples(0, now), 0);
}

// Four warm servers answer in 200 ms and a cold one in `cold_takes`. Returns what the cold one was sent
// between 3 s and 8 s of its ramp, as a share of what it may be sent (overload_multiple times its present
// capacity).
double ColdShare(Duration cold_takes) {
  Settings settings = PlainSettings();
  settings.origin = Origin::kCacheAside;
  settings.origin_kind = 7;
  Driver d(settings);
  d.SetServers(4);
  std::multimap<Time, RequestId> due;
  const auto serve = [&](Time until, auto&& sent) {
    while (d.now < until) {
      const int to = d.Submit("k" + std::to_string(d.last_id));
      if (to >= 0) due.emplace(d.now + (to == 9 ? cold_takes : Duration(milliseconds(200))), d.last_id);
      sent(to);
      d.Advance(milliseconds(5));
      while (!due.empty() && due.begin()->first <= d.now) {
        d.EndAttempt(due.begin()->second, d.attempts[due.begin()->second] - 1, Result::kOk);
        due.erase(due.begin());
      }
    }
  };
  serve(d.now + seconds(8), [](int) {});
  const Time start = d.now;
  d.List(ListKind::kChanges, {Up(9, start)});
  int cold = 0;
  double allowed = 0;
  serve(start + seconds(8), [&](int to) {
    const double age = std::chrono::duration<double>(d.now - start).count();
    if (age < 3) return;
    cold += to == 9;
    if (to != 9) allowed += 3 * (0.2 + 0.8 * age / 20) / 4;
  });
  return cold / allowed;
}

// Guards against lightly loaded cold servers beside overloaded warm ones (in a fleet that has lost
// servers), and against sending more to a cold one whose slow answers show that it is loaded.
TEST(ServerLatencies, ALightlyLoadedColdServerGetsMoreAndASlowOneDoesNot) {
  const double lightly_loaded = ColdShare(milliseconds(100)), slow = ColdShare(milliseconds(400));
  EXPECT_GT(lightly_loaded, 0.6);
  EXPECT_LT(slow, 0.45);
}

// Submits requests at a constant rate, each answered after its server's time. Returns the count by server.
std::map<int, int> Sent(Driver& d, int keys, Duration length, const std::map<int, Duration>& takes,
                        Duration every = milliseconds(4)) {
  std::map<int, int> sent;
  std::multimap<Time, RequestId> due;
  const Time until = d.now + length;
  for (int i = 0; d.now < until; ++i) {
    const int to = d.Submit("key" + std::to_string(i * 7919 % keys));
    if (to >= 0) {
      ++sent[to];
      due.emplace(d.now + takes.at(to), d.last_id);
    }
    d.Advance(every);
    while (!due.empty() && due.begin()->first <= d.now) {
      d.EndAttempt(due.begin()->second, d.attempts[due.begin()->second] - 1, Result::kOk);
      due.erase(due.begin());
    }
  }
  d.AnswerAll();
  return sent;
}
Settings AsideSettings(int balancers) {
  Settings s = PlainSettings();
  s.origin = Origin::kCacheAside;
  s.origin_kind = 7;
  s.balancers = balancers;
  return s;
}
ServerEntry OfKind(ServerId id, int kind) {
  ServerEntry e = Up(id);
  e.kind = kind;
  return e;
}

// Eight servers, four of each kind. If `unlike`, the first kind takes twice as long.
std::pair<std::vector<ServerEntry>, std::map<int, Duration>> TwoKinds(bool unlike) {
  std::pair<std::vector<ServerEntry>, std::map<int, Duration>> all;
  for (ServerId id = 0; id < 8; ++id) {
    all.first.push_back(OfKind(id, id < 4 ? 1 : 2));
    all.second[static_cast<int>(id)] = milliseconds(unlike && id < 4 ? 60 : 30);
  }
  return all;
}
// The share of requests sent to the first kind.
double FirstKind(const std::map<int, int>& sent) {
  int part = 0, all = 0;
  for (const auto& [server, n] : sent) {
    all += n;
    part += server < 4 ? n : 0;
  }
  return static_cast<double>(part) / all;
}

// Guards against unequal servers that all get the same load: mapped keys leave slow servers, a few at a
// time, and stay if all servers answer alike.
TEST(Weights, KeysLeaveSlowServersAndStayIfAllAnswerAlike) {
  for (const bool unlike : {false, true}) {
    Driver d(AsideSettings(300));
    const auto [list, takes] = TwoKinds(unlike);
    d.List(ListKind::kPersisted, list);
    const double before = FirstKind(Sent(d, 400, seconds(2), takes));
    double last = before;
    for (int i = 0; i < 12; ++i) {
      const double now = FirstKind(Sent(d, 400, seconds(2), takes));
      EXPECT_LT(std::abs(now - last), 0.2) << "too many keys moved at once";
      last = now;
    }
    if (unlike) {
      EXPECT_LT(last, 0.65 * before);
    } else {
      EXPECT_NEAR(last, before, 0.02);
    }
  }
}

// Guards against a changed size that takes effect only at the server's next start: a server that grows must
// get more of the new keys within seconds. Also guards against a removed server still counting in the mean
// of sizes.
TEST(Weights, AChangedSizeIsFollowedAndARemovedServersSizeIsForgotten) {
  Settings settings = AsideSettings(300);
  settings.weights = Weights::kNominal;
  Driver d(settings);
  std::vector<ServerEntry> list;
  std::map<int, Duration> takes;
  for (ServerId id = 0; id < 4; ++id) {
    list.push_back(Up(id));
    takes[static_cast<int>(id)] = milliseconds(30);
  }
  const auto part = [&](int first_key) {  // share of new keys placed at server 0
    std::map<int, int> sent;
    for (int i = 0; i < 400; ++i) ++sent[d.Serve("k" + std::to_string(first_key + i), milliseconds(30))];
    return sent[0] / 400.0;
  };
  d.List(ListKind::kAll, list);
  EXPECT_NEAR(part(0), 0.25, 0.08);
  list[0].scale = 4;
  d.List(ListKind::kAll, list);
  part(1000);
  EXPECT_GT(part(2000), 0.4);
  // A huge server is added and removed: then the four are compared with their own mean again.
  ServerEntry giant = Up(4);
  giant.scale = 1e6;
  d.List(ListKind::kChanges, {giant});
  giant.availability = Availability::kRemoved;
  d.List(ListKind::kChanges, {giant});
  part(3000);
  const double alone = part(4000);
  EXPECT_GT(alone, 0.4);
  EXPECT_LT(alone, 0.7);
}

// Guards against half a minute of equal weights after each restart: the weights of unequal servers and the
// holders of moved keys apply from the first request on. Invalid numbers change nothing.
TEST(Restore, WeightsAndHoldersAreRestored) {
  const auto [list, takes] = TwoKinds(true);
  Driver first(AsideSettings(300));
  first.List(ListKind::kPersisted, list);
  Sent(first, 400, seconds(24), takes);
  const double learned = FirstKind(Sent(first, 400, seconds(2), takes));
  const LearnedState kept = first.ExportState();
  EXPECT_EQ(kept.servers.size(), 8u);
  EXPECT_EQ(kept.keys.size(), 400u);
  EXPECT_EQ(first.ExportState(10).keys.size(), 10u);
  Driver blank(AsideSettings(300)), again(AsideSettings(300)), wild(AsideSettings(300));
  for (Driver* d : {&blank, &again, &wild}) d->List(ListKind::kPersisted, list);
  again.RestoreState(kept);
  LearnedState nonsense = kept;
  for (LearnedState::Server& s : nonsense.servers) {
    s.samples = -1e300;
    s.log_latency = 1e300;
    s.log_weight = NAN;
  }
  nonsense.servers.push_back({4000000, 1, 1, 1, seconds(1)});
  nonsense.keys = {{7, {4000000}}};
  nonsense.origin = {NAN, -1, 1e300};
  wild.RestoreState(nonsense);
  const double without = FirstKind(Sent(blank, 400, seconds(1), takes));
  EXPECT_NEAR(FirstKind(Sent(again, 400, seconds(1), takes)), learned, 0.05);
  EXPECT_GT(without, learned + 0.1);
  EXPECT_NEAR(FirstKind(Sent(wild, 400, seconds(1), takes)), without, 0.02);
}

// A restored ejection lasts for its remaining time and is followed by a single trial.
TEST(Restore, AnEjectedServerGetsASingleTrial) {
  Driver first(AsideSettings(2)), again(AsideSettings(2));
  for (Driver* d : {&first, &again}) d->SetServers(4);
  for (int i = 0; i < 400; ++i) {
    const int to = first.Submit("k" + std::to_string(i % 20));
    const RequestId id = first.last_id;
    first.Advance(milliseconds(5));
    if (to >= 0) first.EndAttempt(id, 0, to == 2 ? Result::kConnectFailed : Result::kOk);
  }
  const LearnedState kept = first.ExportState();
  const auto avoided =
      std::count_if(kept.servers.begin(), kept.servers.end(),
                    [](const LearnedState::Server& s) { return s.ejection_left > Duration(0); });
  ASSERT_EQ(avoided, 1);
  again.now = first.now;
  again.RestoreState(kept);
  int there = 0;
  for (int i = 0; i < 40; ++i) there += again.Submit("n" + std::to_string(i)) == 2;
  EXPECT_EQ(there, 0);
  again.AnswerAll();
  again.Advance(seconds(10));
  for (int i = 0; i < 40; ++i) there += again.Submit("m" + std::to_string(i)) == 2;
  EXPECT_EQ(there, 1);
}

// At one router of 300, a single outstanding request must not make a server look full: mapped and new keys
// mostly go to the same server as at a router without one. (Without weighing the evidence more than two in
// five went elsewhere.)
TEST(Weights, OneOutstandingRequestAtOneRouterOfHundredsMovesFewKeys) {
  Driver d(AsideSettings(300)), idle(AsideSettings(300));
  for (Driver* at : {&d, &idle}) {
    at->SetServers(24);
    for (int i = 0; i < 100; ++i) {
      at->Serve("k" + std::to_string(i % 20), milliseconds(40));
      at->Advance(milliseconds(400));
    }
  }
  int there = 0, moved = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string key = i % 2 ? "new" + std::to_string(i) : "k" + std::to_string(i % 20);
    const int home = idle.Serve(key, milliseconds(40));
    idle.Advance(milliseconds(1000));
    // One request is outstanding at that server.
    int out = -1;
    for (int n = 0; n < 60 && out != home; ++n) out = d.Submit("out" + std::to_string(n * 31 + i), 0);
    d.Advance(milliseconds(40));
    if (out != home) {
      d.AnswerAll();
      d.Advance(milliseconds(1000));
      continue;
    }
    for (std::size_t s = 0; s + 1 < d.sends.size(); ++s) d.EndAttempt(d.sends[s].send.id, 0, Result::kOk);
    d.Advance(milliseconds(60));
    moved += d.Submit(key) != home;
    ++there;
    d.AnswerAll();
    d.Advance(milliseconds(1000));
    d.sends.clear();
  }
  EXPECT_GT(there, 200);
  EXPECT_LT(3 * moved, there);
}

// Guards against a self-sustaining overload: if almost nothing is served, most reads are refused at once,
// and all are admitted again soon after the servers answer.
TEST(Admission, ReadsFarBeyondCapacityAreRefusedAtOnceAndAdmittedAgainSoon) {
  Driver d(AsideSettings(2));
  d.SetServers(4);
  const auto ask = [&](Duration length, int answer_one_in) {
    std::pair<int, int> refused_of{0, 0};
    const Time until = d.now + length;
    for (int i = 0; d.now < until; ++i) {
      const std::size_t before = d.refused.size();
      const int to = d.Submit("k" + std::to_string(i % 50));
      refused_of.first += to < 0 && d.refused.size() > before;
      ++refused_of.second;
      const RequestId id = d.last_id;
      d.Advance(milliseconds(5));
      if (to >= 0 && i % answer_one_in == 0) d.EndAttempt(id, 0, Result::kOk);
    }
    return static_cast<double>(refused_of.first) / refused_of.second;
  };
  EXPECT_EQ(ask(seconds(10), 1), 0);
  ask(seconds(4), 20);
  EXPECT_GT(ask(seconds(4), 20), 0.5);
  ask(seconds(4), 1);
  EXPECT_LT(ask(seconds(4), 1), 0.05);
}

// Guards against cold servers left idle just when they are needed: the answers of the current second (after
// a lull, or while warm servers are overloaded) do not show what a server sustains.
TEST(Cold, TheBudgetFollowsTheRateThatWarmServersSustain) {
  Driver d(AsideSettings(2));
  d.SetServers(4);
  std::map<int, Duration> takes;
  for (int s = 0; s < 10; ++s) takes[s] = milliseconds(20);
  Sent(d, 200, seconds(20), takes);
  d.Advance(seconds(8));
  d.List(ListKind::kChanges, {Up(9, d.now - seconds(10))});
  const auto sent = Sent(d, 1 << 20, milliseconds(1500), takes);  // keys without a holder
  EXPECT_GT(sent.contains(9) ? sent.at(9) : 0, 42);
}

}  // namespace
}  // namespace beechledge::testing
