// The rule checker on constructed records: one case for each way to violate a rule, and a similar case that
// violates none.
#include "lab/truth/rule_checker.h"

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
  RunRecord truth;
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
    truth.world.servers.resize(3);
    truth.world.servers[0].uid = "origin";
    truth.world.servers[1].uid = "s-1";
    truth.world.servers[2].uid = "s-2";
  }
  TryRecord& Try(RequestId id, int request_class, int sent, int ended, TryOutcome end) {
    ClientRequest client_request;
    client_request.at = At(sent);
    client_request.request_class = static_cast<std::uint8_t>(request_class);
    truth.load.requests.push_back(client_request);
    TryRecord t;
    t.id = id;
    t.request_index = static_cast<std::uint32_t>(truth.load.requests.size() - 1);
    t.router = 0;
    t.outcome = end;
    t.sent = At(sent);
    t.ended = At(ended);
    t.timeout = milliseconds(500);
    t.serial = 1;
    truth.load.tries.push_back(t);
    return truth.load.tries.back();
  }
  AttemptRecord& Attempt(RequestId id, int server, int whole, int end, AttemptOutcome outcome,
                         std::uint32_t serial = 1) {
    AttemptRecord c;
    c.request = id;
    c.server = server;
    c.first_byte_at = c.received_at = At(whole);
    c.ended_at = end < 0 ? Time(0) : At(end);
    c.outcome = outcome;
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
    int violations;
    Rule rule;
  };
  const Row rows[] = {
      {"served in time",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         c.Attempt(1, 1, 10, 90, AttemptOutcome::kHit);
       },
       0, Rule::kAnswer},
      {"answered within the slack", [](Case& c) { c.Try(1, 0, 0, 565, TryOutcome::kBusy); }, 0,
       Rule::kAnswer},
      {"answered late", [](Case& c) { c.Try(1, 0, 0, 575, TryOutcome::kBusy); }, 1, Rule::kAnswer},
      {"answered late by less than the laboratory's own lag",
       [](Case& c) {
         c.truth.world.max_lag = milliseconds(10);
         c.Try(1, 0, 0, 575, TryOutcome::kBusy);
       },
       0, Rule::kAnswer},
      {"never answered", [](Case& c) { c.Try(1, 0, 0, 900, TryOutcome::kOpen); }, 1, Rule::kAnswer},
      {"never answered by a router that was killed",
       [](Case& c) {
         c.Try(1, 0, 0, 900, TryOutcome::kOpen);
         c.truth.outages.push_back({0, At(200), At(300)});
       },
       0, Rule::kAnswer},
      {"never answered, while another router was killed",
       [](Case& c) {
         c.Try(1, 0, 0, 900, TryOutcome::kOpen);
         c.truth.outages.push_back({1, At(200), At(300)});
       },
       1, Rule::kAnswer},
      {"sent early in a shutdown, never answered by the router, which was killed at its end",
       [](Case& c) {
         c.Try(1, 0, 600, 1500, TryOutcome::kOpen);
         c.truth.outages.push_back({0, At(1000), At(1300), Time(0), At(0)});
       },
       0, Rule::kAnswer},
      {"sent late in a shutdown, and never answered",
       [](Case& c) {
         c.Try(1, 0, 750, 1500, TryOutcome::kOpen);
         c.truth.outages.push_back({0, At(1000), At(1300), Time(0), At(0)});
       },
       1, Rule::kAnswer},
      {"answered late by less than its router was suspended",
       [](Case& c) {
         c.Try(1, 0, 0, 650, TryOutcome::kBusy);
         c.truth.pauses.push_back({0, At(400), At(520)});
       },
       0, Rule::kAnswer},
      {"answered late, while another router was suspended",
       [](Case& c) {
         c.Try(1, 0, 0, 650, TryOutcome::kBusy);
         c.truth.pauses.push_back({1, At(400), At(520)});
       },
       1, Rule::kAnswer},
      {"an attempt that began shortly after its client left",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kLeft);
         c.Attempt(1, 1, 240, 300, AttemptOutcome::kHit);
       },
       0, Rule::kAnswer},
      {"an attempt that began too late after its client left",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kLeft);
         c.Attempt(1, 1, 260, 300, AttemptOutcome::kHit);
       },
       1, Rule::kAnswer},
      {"half of the answers without a length passed on",
       [](Case& c) {
         for (RequestId id = 1; id <= 20; ++id) {
           c.Try(id, 0, 0, 100, id % 2 == 0 ? TryOutcome::kValue : TryOutcome::kFailed);
           c.Attempt(id, 0, 10, 50, AttemptOutcome::kServed).no_length = true;
         }
       },
       0, Rule::kAnswer},
      {"fewer than half of the answers without a length passed on",
       [](Case& c) {
         for (RequestId id = 1; id <= 20; ++id) {
           c.Try(id, 0, 0, 100, id % 3 == 0 ? TryOutcome::kValue : TryOutcome::kFailed);
           c.Attempt(id, 0, 10, 50, AttemptOutcome::kServed).no_length = true;
         }
       },
       1, Rule::kAnswer},
      {"never sent", [](Case& c) { c.Try(1, 0, 0, 900, TryOutcome::kUnreachable).sent = Time(0); }, 0,
       Rule::kAnswer},
      {"an idle connection closed, nothing sent on",
       [](Case& c) { c.Try(1, 0, 0, 5, TryOutcome::kClosed).on_reused_connection = true; }, 0,
       Rule::kAnswer},
      {"connection closed while an attempt was open",
       [](Case& c) {
         c.Try(1, 0, 0, 5, TryOutcome::kClosed).on_reused_connection = true;
         c.Attempt(1, 1, 2, 4, AttemptOutcome::kClosedByRouter);
       },
       1, Rule::kAnswer},
      {"connection closed on its first command", [](Case& c) { c.Try(1, 0, 0, 5, TryOutcome::kClosed); }, 1,
       Rule::kAnswer},
      {"a malformed answer", [](Case& c) { c.Try(1, 0, 0, 5, TryOutcome::kMalformed); }, 1, Rule::kAnswer},
      {"a value that another attempt made",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         c.Attempt(1, 1, 10, 90, AttemptOutcome::kHit, 2);
       },
       1, Rule::kAnswer},
      {"a value of an attempt that missed",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         c.Attempt(1, 1, 10, 90, AttemptOutcome::kMiss);
       },
       1, Rule::kAnswer},

      {"a miss, then a fetch",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         c.Attempt(1, 1, 10, 20, AttemptOutcome::kMiss, 9);
         c.Attempt(1, 0, 21, 90, AttemptOutcome::kServed);
       },
       0, Rule::kOnce},
      {"two attempts at once",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         c.Attempt(1, 1, 10, 50, AttemptOutcome::kClosedByRouter, 9);
         c.Attempt(1, 2, 49, 90, AttemptOutcome::kHit);
       },
       1, Rule::kOnce},
      {"a second attempt while the first is never answered and open",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         c.Attempt(1, 1, 10, -1, AttemptOutcome::kNeverAnswered, 9);
         c.Attempt(1, 2, 49, 90, AttemptOutcome::kHit);
       },
       1, Rule::kOnce},
      {"a write that must not repeat, sent again after it was turned away",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryOutcome::kReceipt);
         c.Attempt(1, 0, 10, 20, AttemptOutcome::kTurnedAway, 9);
         c.Attempt(1, 0, 30, 90, AttemptOutcome::kServed);
       },
       0, Rule::kOnce},
      {"a write that must not repeat, sent again after a reset",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryOutcome::kReceipt);
         c.Attempt(1, 0, 10, 20, AttemptOutcome::kReset, 9);
         c.Attempt(1, 0, 30, 90, AttemptOutcome::kServed);
       },
       1, Rule::kOnce},
      {"a write that may have run, refused",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryOutcome::kBusy);
         c.Attempt(1, 0, 10, 20, AttemptOutcome::kReset);
       },
       1, Rule::kOnce},
      {"a write that may have run, answered as failed",
       [](Case& c) {
         c.Try(1, 1, 0, 100, TryOutcome::kFailed);
         c.Attempt(1, 0, 10, 20, AttemptOutcome::kReset);
       },
       0, Rule::kOnce},
      {"a write that must not repeat, sent again by its client after its connection closed",
       [](Case& c) {
         c.Try(1, 1, 0, 15, TryOutcome::kClosed).on_reused_connection = true;
         c.truth.outages.push_back({0, At(14), At(500)});
         TryRecord& t = c.Try(1, 1, 20, 100, TryOutcome::kReceipt);
         t.resent = true;
         t.router = 1;
         c.Attempt(1, 0, 10, 15, AttemptOutcome::kClosedByRouter, 9);
         c.Attempt(1, 0, 30, 90, AttemptOutcome::kServed);
       },
       0, Rule::kOnce},
      {"a keyed write sent again within its window",
       [](Case& c) {
         c.Try(1, 2, 0, 400, TryOutcome::kReceipt);
         c.Attempt(1, 0, 10, 20, AttemptOutcome::kReset, 9);
         c.Attempt(1, 0, 300, 390, AttemptOutcome::kServed);
       },
       0, Rule::kOnce},
      {"a keyed write sent again after its window",
       [](Case& c) {
         c.Try(1, 2, 0, 400, TryOutcome::kReceipt).timeout = milliseconds(5000);
         c.Attempt(1, 0, 10, 20, AttemptOutcome::kReset, 9);
         c.Attempt(1, 0, 1100, 1190, AttemptOutcome::kServed);
       },
       1, Rule::kOnce},
      {"more attempts than allowed",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kFailed);
         for (int i = 0; i < 4; ++i) c.Attempt(1, 1, 10 + 10 * i, 15 + 10 * i, AttemptOutcome::kTurnedAway);
       },
       1, Rule::kOnce},
      {"as many attempts as allowed, and one more after its client sent the request again",
       [](Case& c) {
         c.Try(1, 0, 0, 45, TryOutcome::kClosed).on_reused_connection = true;
         c.truth.outages.push_back({0, At(44), At(500)});
         TryRecord& t = c.Try(1, 0, 50, 100, TryOutcome::kFailed);
         t.resent = true;
         t.router = 1;
         for (int i = 0; i < 3; ++i) c.Attempt(1, 1, 10 + 10 * i, 15 + 10 * i, AttemptOutcome::kTurnedAway);
         c.Attempt(1, 1, 60, 65, AttemptOutcome::kTurnedAway);
       },
       0, Rule::kOnce},
      {"more attempts than allowed after its client sent the request again",
       [](Case& c) {
         c.Try(1, 0, 0, 45, TryOutcome::kClosed).on_reused_connection = true;
         c.truth.outages.push_back({0, At(44), At(500)});
         TryRecord& t = c.Try(1, 0, 50, 100, TryOutcome::kFailed);
         t.resent = true;
         t.router = 1;
         c.Attempt(1, 1, 10, 15, AttemptOutcome::kTurnedAway);
         for (int i = 0; i < 4; ++i) c.Attempt(1, 1, 55 + 10 * i, 60 + 10 * i, AttemptOutcome::kTurnedAway);
       },
       1, Rule::kOnce},
      {"an attempt without a client's request",
       [](Case& c) { c.Attempt(7, 1, 10, 20, AttemptOutcome::kHit); }, 1, Rule::kOnce},

      {"sent within the grace period after the notice",
       [](Case& c) {
         c.Try(1, 0, 900, 1000, TryOutcome::kValue);
         c.Attempt(1, 1, 1040, 1050, AttemptOutcome::kHit);
         c.truth.world.removal_notices.push_back({0, 1, At(0)});
       },
       0, Rule::kDrain},
      {"sent after the grace period",
       [](Case& c) {
         c.Try(1, 0, 1000, 1200, TryOutcome::kValue);
         c.Attempt(1, 1, 1060, 1150, AttemptOutcome::kHit);
         c.truth.world.removal_notices.push_back({0, 1, At(0)});
       },
       1, Rule::kDrain},
      {"sent by a router that was not notified",
       [](Case& c) {
         c.Try(1, 0, 1000, 1200, TryOutcome::kValue);
         c.Attempt(1, 1, 1060, 1150, AttemptOutcome::kHit);
         c.truth.world.removal_notices.push_back({1, 1, At(0)});
       },
       0, Rule::kDrain},

      {"the origin overloaded by cold misses",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         AttemptRecord& m = c.Attempt(1, 0, 10, 90, AttemptOutcome::kServed);
         m.work_s = 1;
         m.after_cold_miss = true;
         c.truth.world.origin_overloads.push_back(At(20));
       },
       1, Rule::kColdOverload},
      {"the origin overloaded by other load",
       [](Case& c) {
         c.Try(1, 0, 0, 100, TryOutcome::kValue);
         c.Attempt(1, 0, 10, 90, AttemptOutcome::kServed).work_s = 1;
         c.truth.world.origin_overloads.push_back(At(20));
       },
       0, Rule::kColdOverload},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    Case c;
    c.truth.load.requests.reserve(32);
    c.truth.load.tries.reserve(32);
    row.fill(c);
    const std::vector<Violation> found = CheckRules(c.truth);
    CHECK(static_cast<int>(found.size()) == row.violations);
    for (const Violation& b : found) {
      CHECK(b.rule == row.rule);
      CHECK_THAT(DescribeViolation(c.truth, b), Catch::Contains(b.what));
    }
  }
}

TEST_CASE("work received before a restart is checked against the capacity at that time") {
  // A server is sent far more than a cold one sustains, in one case while it is warm and restarts only
  // later. Guards against counting that as the overload of a cold server.
  for (const bool again : {false, true}) {
    Case c;
    c.truth.scenario.rules.fall_multiple = 4;
    ServerRecord& m = c.truth.world.servers[1];
    m.capacity = {1, 0.1, At(20000), milliseconds(8000)};
    m.restarts = {At(20000)};
    for (int i = 0; i < 200; ++i) {
      const RequestId id = static_cast<RequestId>(100 + i);
      const int at = (again ? 20000 : 10000) + i * 5;
      c.Try(id, 0, at, at + 3, TryOutcome::kValue);
      c.Attempt(id, 1, at, at + 2, AttemptOutcome::kHit).work_s = 0.1f;
    }
    const auto violations = CheckRules(c.truth);
    const auto pushed = std::count_if(violations.begin(), violations.end(),
                                      [](const Violation& b) { return b.rule == Rule::kColdOverload; });
    CHECK(pushed == (again ? 1 : 0));
  }
}

TEST_CASE("the work budget holds in any window of a cold server, and a warm server has none") {
  for (const bool cold : {true, false}) {
    Case c;
    ServerRecord& m = c.truth.world.servers[1];
    m.capacity = {1, 0.15, cold ? kStart : Time(0), milliseconds(20000)};
    c.truth.load.requests.reserve(400);
    // Capacity 0.15 to 0.2, four times that over 2 s: 1.2 to 1.6 s of work, and 0.04 s of slack.
    for (int i = 0; i < 200; ++i) {
      c.Try(static_cast<RequestId>(i + 1), 0, i * 10, i * 10 + 5, TryOutcome::kBusy);
      c.Attempt(static_cast<RequestId>(i + 1), 1, i * 10, i * 10 + 5, AttemptOutcome::kTurnedAway).work_s =
          0.01f;
    }
    const auto found = CheckRules(c.truth);
    CHECK(found.size() == (cold ? 1 : 0));
    if (cold) CHECK(found[0].rule == Rule::kColdOverload);
  }
}
