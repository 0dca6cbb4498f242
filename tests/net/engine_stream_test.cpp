// Streamed values in the engine, without sockets: which attempt owns the answer, and what its end means.
#include <catch2/catch.hpp>
#include <vector>

#include "core/response.h"
#include "engine_fixture.h"

using namespace brasswood;
using namespace brasswood::testing;

TEST_CASE(
    "a streamed value binds its request to the attempt: there is no retry, and a value that is cut is "
    "failed") {
  Fixture w;
  w.Take(1);
  REQUIRE(w.ends.attempts.size() == 1);
  const AttemptId attempt = w.ends.attempts[0].first;
  REQUIRE(w.engine->StreamStarted(attempt, 1 << 20));
  CHECK(w.ends.opened[1] == 1u << 20);
  CHECK_FALSE(w.engine->StreamStarted(attempt, 5));  // only once
  w.engine->StreamChunk(attempt, "abc");
  CHECK(w.ends.pieces[1] == "abc");
  CHECK(w.engine->StreamRoom(attempt) == 1);
  w.engine->AttemptEnded(attempt, {Result::kReset, {}, {}, {}});  // the server closed the connection
  CHECK(w.ends.answers[1] == std::vector{AnswerKind::kFailed});
  CHECK(w.ends.attempts.size() == 1);  // no retry: part of the value was already sent
  w.Take(2);
  const AttemptId second = w.ends.attempts.back().first;
  REQUIRE(w.engine->StreamStarted(second, 100000));
  w.engine->AttemptEnded(second, {Result::kOk, {}, {}, {}, true});
  CHECK(w.ends.answers[2] == std::vector{AnswerKind::kValue});
}

TEST_CASE("a streamed value continues past its request's deadline until its server becomes unresponsive") {
  Fixture w;
  w.limits.stream_stall_timeout = 300ms;
  w.Take(1);
  const AttemptId attempt = w.ends.attempts[0].first;
  REQUIRE(w.engine->StreamStarted(attempt, 1 << 20));
  for (int i = 0; i < 10; ++i) {  // 2 s of chunks, past the request's 900 ms
    w.AdvanceTo(w.now + 200ms);
    w.engine->StreamChunk(attempt, "x");
  }
  CHECK(w.ends.answers[1].empty());
  w.AdvanceTo(w.now + 350ms);  // then silence
  CHECK(w.ends.answers[1] == std::vector{AnswerKind::kFailed});
}

namespace {

// A world in which two attempts of one request are in flight: the second is a hedge.
struct HedgeFixture : Fixture {
  HedgeFixture() : Fixture(1s, true) {
    for (std::uint64_t ticket = 100; ticket < 140; ++ticket) {
      Take(ticket);
      AdvanceTo(now + 10ms);
      engine->AttemptEnded(ends.attempts.back().first, {Result::kOk, {}, {}, "v"});
      ends.attempts.clear();
    }
    Take(1);
    AdvanceTo(now + 100ms);
    REQUIRE(ends.attempts.size() == 2);
    first = ends.attempts[0].first;
    second = ends.attempts[1].first;
  }
  AttemptId first = 0, second = 0;
};

}  // namespace

// Guards against a value that is completed or cut by an attempt that did not begin it (review/6).
TEST_CASE("once the client receives a value, only the attempt that sends it can end the answer") {
  HedgeFixture w;
  const Result result = GENERATE(Result::kOk, Result::kMiss, Result::kError, Result::kReset,
                                 Result::kRejected, Result::kConnectFailed, Result::kMalformed);
  REQUIRE(w.engine->StreamStarted(w.first, 1 << 20));
  CHECK(w.ends.abandoned == std::vector{w.second});
  CHECK_FALSE(w.MaySendFirstByte(w.second, "127.0.0.1:1"));
  w.engine->AttemptEnded(w.second, {result, {}, {}, "another value"});
  w.AdvanceTo(w.now + 500ms);
  CHECK(w.ends.attempts.size() == 2);  // nothing further was sent
  CHECK(w.ends.answers[1].empty());
  w.engine->StreamChunk(w.first, "rest");
  CHECK(w.ends.pieces[1] == "rest");
  w.engine->AttemptEnded(w.first, {Result::kOk, {}, {}, {}, true});
  CHECK(w.ends.answers[1] == std::vector{AnswerKind::kValue});
  CHECK(w.counters.invariants.violations() == 0);
}

// Guards against the same where the other attempt's end is on its way already, or the module's word.
TEST_CASE("the owner of an answer decides what an attempt's end means for the client") {
  Response response;
  CHECK(response.EffectOf(1, true) == AttemptEffect::kAnswers);
  CHECK(response.EffectOf(1, false) == AttemptEffect::kNone);
  response.Start(1, StreamMode::kBuffer);
  CHECK(response.EffectOf(2, true) == AttemptEffect::kAnswers);  // nothing of the first one was sent
  CHECK(response.EffectOf(2, false) == AttemptEffect::kNone);
  CHECK(response.EffectOf(1, false) == AttemptEffect::kDropsBuffer);
  response.DropBuffer();
  response.Start(2, StreamMode::kSend);
  for (const bool ok : {true, false}) CHECK(response.EffectOf(1, ok) == AttemptEffect::kNone);
  CHECK(response.EffectOf(2, false) == AttemptEffect::kTruncates);
  CHECK(response.EffectOf(2, true) == AttemptEffect::kAnswers);
}

TEST_CASE(
    "an attempt that was not sent yet is given up when another one answers, and one that was goes on") {
  const bool sent = GENERATE(false, true);
  HedgeFixture w;
  if (sent) w.engine->AttemptSent(w.second);
  w.engine->AttemptEnded(w.first, {Result::kOk, {}, {}, "v"});
  CHECK(w.ends.answers[1] == std::vector{AnswerKind::kValue});
  CHECK(w.ends.abandoned.size() == (sent ? 0u : 1u));
}

TEST_CASE("a value that is only buffered leaves its request to any attempt that succeeds") {
  HedgeFixture w;
  w.ends.stream_mode = StreamMode::kBuffer;
  REQUIRE(w.engine->StreamStarted(w.first, 1 << 20));
  CHECK(w.ends.abandoned.empty());
  SECTION("another one answers first") {
    w.engine->AttemptEnded(w.second, {Result::kOk, {}, {}, "v"});
    CHECK(w.ends.answers[1] == std::vector{AnswerKind::kValue});
  }
  SECTION("both fail, and it is tried again") {
    w.engine->StreamChunk(w.first, "part");
    w.engine->AttemptEnded(w.first, {Result::kReset, {}, {}, {}});
    CHECK(w.ends.pieces[1].empty());  // dropped
    w.engine->AttemptEnded(w.second, {Result::kReset, {}, {}, {}});
    REQUIRE(w.ends.attempts.size() == 3);
    w.ends.stream_mode = StreamMode::kSend;
    REQUIRE(w.engine->StreamStarted(w.ends.attempts[2].first, 1 << 20));
    w.engine->AttemptEnded(w.ends.attempts[2].first, {Result::kOk, {}, {}, {}, true});
    CHECK(w.ends.answers[1] == std::vector{AnswerKind::kValue});
  }
  w.AdvanceTo(w.now + 2s);
  CHECK(w.ends.answers[1].size() == 1);
}
