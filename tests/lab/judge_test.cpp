// The rule checker on constructed records: one case for each way to violate a rule, and a similar case that
// violates none.
#include "lab/truth/judge.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace brasswood;
using namespace brasswood::lab;
using std::chrono::milliseconds;

namespace {

constexpr Time kStart{1000000000000};
Time At(int ms) { return kStart + milliseconds(ms); }

// Two cache servers and the origin. Class 0 reads, 1 writes that never repeat, 2 keyed writes (1 s window).
struct Case {
  Truth truth;
  Case() {
    Scenario& s = truth.scenario;
    s.rules.drain_grace = milliseconds(1000);
    s.rules.answer_slack = milliseconds(20);
    s.rules.max_attempts = 3;
    s.rules.fall = milliseconds(2000);
    s.origin.fall = milliseconds(3000);
    for (const Repeats r : {Repeats::kFree, Repeats::kNever, Repeats::kKeyed}) {
      ClassPlan c;
      c.name = "c";
      c.work_ms = 10;
      c.repeats = r;
      c.write = r != Repeats::kFree;
      c.window = milliseconds(1000);
      s.classes.push_back(c);
    }
    truth.start = kStart;
    truth.world.machines.resize(3);
    truth.world.machines[0].uid = "origin";
    truth.world.machines[1].uid = "s-1";
    truth.world.machines[2].uid = "s-2";
  }
  TryRecord& Try(RequestId id, int request_class, int sent, int ended, TryEnd end) {
    Intent intent;
    intent.at = At(sent);
    intent.request_class = static_cast<std::uint8_t>(request_class);
    truth.load.intents.push_back(intent);
    TryRecord t;
    t.id = id;
    t.intent = static_cast<std::uint32_t>(truth.load.intents.size() - 1);
    t.router = 0;
    t.end = end;
    t.sent = At(sent);
    t.ended = At(ended);
    t.timeout = milliseconds(500);
    t.serial = 1;
    truth.load.tries.push_back(t);
    return truth.load.tries.back();
  }
  AttemptRecord& Attempt(RequestId id, int server, int whole, int end, Fate fate,
                         std::uint32_t serial = 1) {
    AttemptRecord c;
    c.request = id;
    c.machine = server;
    c.first = c.whole = At(whole);
    c.end = end < 0 ? Time(0) : At(end);
    c.fate = fate;
    c.serial = serial;
    truth.world.attempts.push_back(c);
    return truth.world.attempts.back();
  }
};

}  // namespace

TEST_CASE("the rule checker reports each violation, and nothing else") {
  struct Row {
    const char* what;
    std::function<void(Case&)> fill;
    int breaches;
    Rule rule;
  };
  const Row rows[] = {
      {"served in time",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         c.Attempt(1, 1, 10, 90, Fate::kHit);
       },
       0, Rule::kAnswer},
      {"answered within the slack", [](Case& c) { c.Try(1, 0, 0, 565, TryEnd::kBusy); }, 0, Rule::kAnswer},
      {"answered late", [](Case& c) { c.Try(1, 0, 0, 575, TryEnd::kBusy); }, 1, Rule::kAnswer},
      {"answered late by less than the laboratory's own lag",
       [](Case& c) {
         c.truth.world.lag = milliseconds(10);
         c.Try(1, 0, 0, 575, TryEnd::kBusy);
       },
       0, Rule::kAnswer},
      {"never answered", [](Case& c) { c.Try(1, 0, 0, 900, TryEnd::kOpen); }, 1, Rule::kAnswer},
      {"never answered by a router that was killed",
       [](Case& c) {
         c.Try(1, 0, 0, 900, TryEnd::kOpen);
         c.truth.absences.push_back({0, At(200), At(300)});
       },
       0, Rule::kAnswer},
      {"never answered, while another router was killed",
       [](Case& c) {
         c.Try(1, 0, 0, 900, TryEnd::kOpen);
         c.truth.absences.push_back({1, At(200), At(300)});
       },
       1, Rule::kAnswer},
      {"sent early in a shutdown, never answered by the router, which was killed at its end",
       [](Case& c) {
         c.Try(1, 0, 600, 1500, TryEnd::kOpen);
         c.truth.absences.push_back({0, At(1000), At(1300), Time(0), At(0)});
       },
       0, Rule::kAnswer},
      {"sent late in a shutdown, and never answered",
       [](Case& c) {
         c.Try(1, 0, 750, 1500, TryEnd::kOpen);
         c.truth.absences.push_back({0, At(1000), At(1300), Time(0), At(0)});
       },
       1, Rule::kAnswer},
      {"answered late by less than its router was suspended",
       [](Case& c) {
         c.Try(1, 0, 0, 650, TryEnd::kBusy);
         c.truth.holds.push_back({0, At(400), At(520)});
       },
       0, Rule::kAnswer},
      {"answered late, while another router was suspended",
       [](Case& c) {
         c.Try(1, 0, 0, 650, TryEnd::kBusy);
         c.truth.holds.push_back({1, At(400), At(520)});
       },
       1, Rule::kAnswer},
      {"an attempt that began shortly after its client left",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kLeft);
         c.Attempt(1, 1, 240, 300, Fate::kHit);
       },
       0, Rule::kAnswer},
      {"an attempt that began too late after its client left",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kLeft);
         c.Attempt(1, 1, 260, 300, Fate::kHit);
       },
       1, Rule::kAnswer},
      {"half of the answers without a length passed on",
       [](Case& c) {
         for (RequestId id = 1; id <= 20; ++id) {
           c.Try(id, 0, 0, 100, id % 2 == 0 ? TryEnd::kValue : TryEnd::kFailed);
           c.Attempt(id, 0, 10, 50, Fate::kServed).no_length = true;
         }
       },
       0, Rule::kAnswer},
      {"fewer than half of the answers without a length passed on",
       [](Case& c) {
         for (RequestId id = 1; id <= 20; ++id) {
           c.Try(id, 0, 0, 100, id % 3 == 0 ? TryEnd::kValue : TryEnd::kFailed);
           c.Attempt(id, 0, 10, 50, Fate::kServed).no_length = true;
         }
       },
       1, Rule::kAnswer},
      {"never sent", [](Case& c) { c.Try(1, 0, 0, 900, TryEnd::kUnreachable).sent = Time(0); }, 0,
       Rule::kAnswer},
      {"an idle connection closed, nothing sent on",
       [](Case& c) { c.Try(1, 0, 0, 5, TryEnd::kClosed).pooled = true; }, 0, Rule::kAnswer},
      {"connection closed while an attempt was open",
       [](Case& c) {
         c.Try(1, 0, 0, 5, TryEnd::kClosed).pooled = true;
         c.Attempt(1, 1, 2, 4, Fate::kClosedByRouter);
       },
       1, Rule::kAnswer},
      {"connection closed on its first command", [](Case& c) { c.Try(1, 0, 0, 5, TryEnd::kClosed); }, 1,
       Rule::kAnswer},
      {"a malformed answer", [](Case& c) { c.Try(1, 0, 0, 5, TryEnd::kBad); }, 1, Rule::kAnswer},
      {"a value that another attempt made",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         c.Attempt(1, 1, 10, 90, Fate::kHit, 2);
       },
       1, Rule::kAnswer},
      {"a value of an attempt that missed",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         c.Attempt(1, 1, 10, 90, Fate::kMiss);
       },
       1, Rule::kAnswer},

      {"a miss, then a fetch",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         c.Attempt(1, 1, 10, 20, Fate::kMiss, 9);
         c.Attempt(1, 0, 21, 90, Fate::kServed);
       },
       0, Rule::kOnce},
      {"two attempts at once",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         c.Attempt(1, 1, 10, 50, Fate::kClosedByRouter, 9);
         c.Attempt(1, 2, 49, 90, Fate::kHit);
       },
       1, Rule::kOnce},
      {"a second attempt while the first is never answered and open",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         c.Attempt(1, 1, 10, -1, Fate::kNeverAnswered, 9);
         c.Attempt(1, 2, 49, 90, Fate::kHit);
       },
       1, Rule::kOnce},
      {"a write that must not repeat, sent again after it was turned away",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryEnd::kReceipt);
         c.Attempt(1, 0, 10, 20, Fate::kTurnedAway, 9);
         c.Attempt(1, 0, 30, 90, Fate::kServed);
       },
       0, Rule::kOnce},
      {"a write that must not repeat, sent again after a reset",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryEnd::kReceipt);
         c.Attempt(1, 0, 10, 20, Fate::kReset, 9);
         c.Attempt(1, 0, 30, 90, Fate::kServed);
       },
       1, Rule::kOnce},
      {"a write that may have run, refused",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryEnd::kBusy);
         c.Attempt(1, 0, 10, 20, Fate::kReset);
       },
       1, Rule::kOnce},
      {"a write that may have run, answered as failed",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryEnd::kFailed);
         c.Attempt(1, 0, 10, 20, Fate::kReset);
       },
       0, Rule::kOnce},
      {"a write that must not repeat, sent again by its client after its connection closed",
       [](Case& c) {
         c.Try(1, 1, 0, 15, TryEnd::kClosed).pooled = true;
         c.truth.absences.push_back({0, At(14), At(500)});
         TryRecord& t = c.Try(1, 1, 20, 100, TryEnd::kReceipt);
         t.resent = true;
         t.router = 1;
         c.Attempt(1, 0, 10, 15, Fate::kClosedByRouter, 9);
         c.Attempt(1, 0, 30, 90, Fate::kServed);
       },
       0, Rule::kOnce},
      {"a keyed write sent again within its window",
       [](Case& c) {
         c.Try(1, 2, 0, 400, TryEnd::kReceipt);
         c.Attempt(1, 0, 10, 20, Fate::kReset, 9);
         c.Attempt(1, 0, 300, 390, Fate::kServed);
       },
       0, Rule::kOnce},
      {"a keyed write sent again after its window",
       [](Case& c) {
         c.Try(1, 2, 0, 400, TryEnd::kReceipt).timeout = milliseconds(5000);
         c.Attempt(1, 0, 10, 20, Fate::kReset, 9);
         c.Attempt(1, 0, 1100, 1190, Fate::kServed);
       },
       1, Rule::kOnce},
      {"more attempts than allowed",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kFailed);
         for (int i = 0; i < 4; ++i) c.Attempt(1, 1, 10 + 10 * i, 15 + 10 * i, Fate::kTurnedAway);
       },
       1, Rule::kOnce},
      {"as many attempts as allowed, and one more after its client sent the request again",
       [](Case& c) {
         c.Try(1, 0, 0, 45, TryEnd::kClosed).pooled = true;
         c.truth.absences.push_back({0, At(44), At(500)});
         TryRecord& t = c.Try(1, 0, 50, 100, TryEnd::kFailed);
         t.resent = true;
         t.router = 1;
         for (int i = 0; i < 3; ++i) c.Attempt(1, 1, 10 + 10 * i, 15 + 10 * i, Fate::kTurnedAway);
         c.Attempt(1, 1, 60, 65, Fate::kTurnedAway);
       },
       0, Rule::kOnce},
      {"more attempts than allowed after its client sent the request again",
       [](Case& c) {
         c.Try(1, 0, 0, 45, TryEnd::kClosed).pooled = true;
         c.truth.absences.push_back({0, At(44), At(500)});
         TryRecord& t = c.Try(1, 0, 50, 100, TryEnd::kFailed);
         t.resent = true;
         t.router = 1;
         c.Attempt(1, 1, 10, 15, Fate::kTurnedAway);
         for (int i = 0; i < 4; ++i) c.Attempt(1, 1, 55 + 10 * i, 60 + 10 * i, Fate::kTurnedAway);
       },
       1, Rule::kOnce},
      {"an attempt without a client's request", [](Case& c) { c.Attempt(7, 1, 10, 20, Fate::kHit); }, 1,
       Rule::kOnce},

      {"sent within the grace period after the notice",
       [](Case& c) {
         c.Try(1, 0, 900, 1000, TryEnd::kValue);
         c.Attempt(1, 1, 1040, 1050, Fate::kHit);
         c.truth.world.removal_notices.push_back({0, 1, At(0)});
       },
       0, Rule::kDrain},
      {"sent after the grace period",
       [](Case& c) {
         c.Try(1, 0, 1000, 1200, TryEnd::kValue);
         c.Attempt(1, 1, 1060, 1150, Fate::kHit);
         c.truth.world.removal_notices.push_back({0, 1, At(0)});
       },
       1, Rule::kDrain},
      {"sent by a router that was not notified",
       [](Case& c) {
         c.Try(1, 0, 1000, 1200, TryEnd::kValue);
         c.Attempt(1, 1, 1060, 1150, Fate::kHit);
         c.truth.world.removal_notices.push_back({1, 1, At(0)});
       },
       0, Rule::kDrain},

      {"the origin overloaded by cold misses",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         AttemptRecord& m = c.Attempt(1, 0, 10, 90, Fate::kServed);
         m.work_s = 1;
         m.after_cold_miss = true;
         c.truth.world.origin_fell.push_back(At(20));
       },
       1, Rule::kColdPush},
      {"the origin overloaded by other load",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryEnd::kValue);
         c.Attempt(1, 0, 10, 90, Fate::kServed).work_s = 1;
         c.truth.world.origin_fell.push_back(At(20));
       },
       0, Rule::kColdPush},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    Case c;
    c.truth.load.intents.reserve(32);
    c.truth.load.tries.reserve(32);
    row.fill(c);
    const std::vector<Breach> found = Judge(c.truth);
    CHECK(static_cast<int>(found.size()) == row.breaches);
    for (const Breach& b : found) {
      CHECK(b.rule == row.rule);
      CHECK_THAT(Story(c.truth, b), Catch::Contains(b.what));
    }
  }
}

TEST_CASE("work received before a restart is checked against the capacity at that time") {
  // A server is sent far more than a cold one sustains, in one case while it is warm and restarts only
  // later. Guards against counting that as the overload of a cold server.
  for (const bool again : {false, true}) {
    Case c;
    c.truth.scenario.rules.fall_multiple = 4;
    MachineRecord& m = c.truth.world.machines[1];
    m.capacity = {1, 0.1, At(20000), milliseconds(8000)};
    m.starts = {At(20000)};
    for (int i = 0; i < 200; ++i) {
      const RequestId id = static_cast<RequestId>(100 + i);
      const int at = (again ? 20000 : 10000) + i * 5;
      c.Try(id, 0, at, at + 3, TryEnd::kValue);
      c.Attempt(id, 1, at, at + 2, Fate::kHit).work_s = 0.1f;
    }
    const auto breaches = Judge(c.truth);
    const auto pushed = std::count_if(breaches.begin(), breaches.end(),
                                      [](const Breach& b) { return b.rule == Rule::kColdPush; });
    CHECK(pushed == (again ? 1 : 0));
  }
}

TEST_CASE("the work budget holds in any window of a cold server, and a warm server has none") {
  for (const bool cold : {true, false}) {
    Case c;
    MachineRecord& m = c.truth.world.machines[1];
    m.capacity = {1, 0.15, cold ? kStart : Time(0), milliseconds(20000)};
    c.truth.load.intents.reserve(400);
    // Capacity 0.15 to 0.2, four times that over 2 s: 1.2 to 1.6 s of work, and 0.04 s of slack.
    for (int i = 0; i < 200; ++i) {
      c.Try(static_cast<RequestId>(i + 1), 0, i * 10, i * 10 + 5, TryEnd::kBusy);
      c.Attempt(static_cast<RequestId>(i + 1), 1, i * 10, i * 10 + 5, Fate::kTurnedAway).work_s = 0.01f;
    }
    const auto found = Judge(c.truth);
    CHECK(found.size() == (cold ? 1 : 0));
    if (cold) CHECK(found[0].rule == Rule::kColdPush);
  }
}
