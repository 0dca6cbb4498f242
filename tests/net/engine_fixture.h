// The engine with the real decision module and fake front ends, back ends and discovery, for tests without
// sockets. Time is the test's own.
#ifndef BRASSWOOD_TESTS_NET_ENGINE_FIXTURE_H_
#define BRASSWOOD_TESTS_NET_ENGINE_FIXTURE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/counters.h"
#include "base/log.h"
#include "core/deadlines.h"
#include "core/engine.h"

namespace brasswood::testing {

using beechledge::Result;
using namespace std::chrono_literals;

struct FakeEnds : FrontEnd, BackEnd, DiscoverySource {
  void Deliver(std::uint64_t ticket, const Answer& answer) override {
    answers[ticket].push_back(answer.kind);
  }
  StreamMode StartStream(std::uint64_t ticket, std::size_t length) override {
    opened[ticket] = length;
    return stream_mode;
  }
  void DropStream(std::uint64_t ticket) override { pieces.erase(ticket); }
  void SendChunk(std::uint64_t ticket, std::string_view bytes) override { pieces[ticket].append(bytes); }
  bool IsConnected(std::uint64_t ticket) const override { return !gone.contains(ticket); }
  std::size_t StreamRoom(std::uint64_t ticket) override { return pieces.contains(ticket) ? 1 : 0; }
  void Start(AttemptId attempt, ServerId to, std::shared_ptr<const RequestContent>, Time,
             Time by) override {
    attempts.push_back({attempt, to});
    send_deadlines.push_back(by);
    if (fail_at_once) engine->AttemptEnded(attempt, {Result::kConnectFailed, {}, {}, {}});
  }
  void Probe(AttemptId, ServerId, bool) override {}
  bool Abandon(AttemptId attempt) override {
    abandoned.push_back(attempt);
    return sent_completely;
  }
  void CloseIdle(ServerId) override {}
  void Forget(ServerId server) override { forgotten.push_back(server); }
  void SetWatching(bool) override {}
  void RequestWholeList() override {}

  Engine* engine = nullptr;
  std::set<std::uint64_t> gone;
  bool fail_at_once = false, sent_completely = true;
  StreamMode stream_mode = StreamMode::kSend;
  std::map<std::uint64_t, std::vector<AnswerKind>> answers;
  std::map<std::uint64_t, std::size_t> opened;
  std::map<std::uint64_t, std::string> pieces;
  std::vector<std::pair<AttemptId, ServerId>> attempts;
  std::vector<Time> send_deadlines;
  std::vector<AttemptId> abandoned;
  std::vector<ServerId> forgotten;
};

struct Fixture {
  explicit Fixture(Duration window = 1s, bool parallel_tries = false) {
    SetLog(quiet, Level::kOff);
    beechledge::RequestClass safe, unsafe, keyed;
    safe.aim = safe.deadline = unsafe.aim = unsafe.deadline = 1s;
    safe.effect = beechledge::Effect::kSafe;
    keyed = safe;
    keyed.effect = beechledge::Effect::kKeyed;
    keyed.group = beechledge::Group::kAll;
    keyed.window = window;
    settings.classes = {safe, unsafe, keyed};
    settings.allowed.max_attempts = 3;
    settings.allowed.cancel = true;
    settings.allowed.parallel_tries = parallel_tries;
    settings.rules.drain_grace = 1s;
    limits.max_attempts = 3;
    limits.max_requests = 4;
    engine.emplace(
        settings, 1, limits, [this] { return now += tick; }, deadlines, counters);
    ends.engine = &*engine;
    engine->Attach(ends, ends, ends);
    ServerList list;
    list.version = 1;
    for (const char* uid : {"s1", "s2"}) {
      ServerEntry e;
      e.uid = uid;
      e.endpoint = "127.0.0.1:1";
      list.entries.push_back(e);
    }
    engine->SetInitialList(list);
  }
  ListOrigin Origin() const {
    ListOrigin origin;
    origin.since = engine->directory().held();
    origin.requested_at = origin.received_at = origin.notified_at = now;
    return origin;
  }
  // A list from discovery. Its version is the next one unless the list states one.
  void Receive(ServerList list) {
    if (list.version < 0) list.version = engine->directory().held().value_or(0) + 1;
    engine->ListReceived(list, Origin());
  }
  bool MaySendFirstByte(AttemptId attempt, const std::string& endpoint) const {
    return engine->EvaluateFirstByte(attempt, endpoint) == SendVerdict::kAllowed;
  }
  RequestId Take(std::uint64_t ticket, int request_class = 0, const std::string& key = "k") {
    NewRequest request;
    request.content = std::make_shared<const RequestContent>(RequestContent{"i", key, "", "", false});
    request.request_class = request_class;
    request.wait = 900ms;
    return engine->AcceptRequest(ends, ticket, request);
  }
  void AdvanceTo(Time t) {
    while (deadlines.Next() && *deadlines.Next() <= t) {
      now = std::max(now, *deadlines.Next());
      deadlines.RunDue(now);
    }
    now = std::max(now, t);
  }

  std::ostringstream quiet;
  beechledge::Settings settings;
  Limits limits;
  Time now = 100s, tick{0};
  Deadlines deadlines;
  Counters counters;
  FakeEnds ends;
  std::optional<Engine> engine;
};

}  // namespace brasswood::testing

#endif  // BRASSWOOD_TESTS_NET_ENGINE_FIXTURE_H_
