// A scripted clock and host for tests of the module: passes it events and records its actions.
#ifndef BEECHLEDGE_TESTS_DRIVER_H_
#define BEECHLEDGE_TESTS_DRIVER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beechledge/balancer.h"
#include "beechledge/learned_state.h"

namespace beechledge::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline Settings PlainSettings() {
  Settings s;
  RequestClass safe;
  safe.aim = milliseconds(250);
  safe.deadline = seconds(1);
  safe.effect = Effect::kSafe;
  RequestClass unsafe = safe;
  unsafe.effect = Effect::kUnsafe;
  RequestClass keyed = safe;
  keyed.effect = Effect::kKeyed;
  keyed.group = Group::kZone;
  keyed.window = milliseconds(300);
  s.classes = {safe, unsafe, keyed};
  s.allowed.max_attempts = 4;
  s.allowed.cancel = true;
  s.rules.drain_grace = milliseconds(500);
  s.rules.cold_start_share = 0.2;
  s.rules.ramp = seconds(20);
  s.rules.overload_multiple = 3;
  s.rules.overload_window = milliseconds(1500);
  s.rules.answer_slack = milliseconds(20);
  return s;
}

inline ServerEntry Up(ServerId id, Time started = Time(0), int zone = 0) {
  ServerEntry e;
  e.id = id;
  e.name = "server-" + std::to_string(id);
  e.started = started;
  e.zone = zone;
  e.cell = zone;
  return e;
}

class Driver {
 public:
  explicit Driver(Settings settings = PlainSettings(), std::uint64_t seed = 1)
      : balancer_(settings, seed) {}

  // Advances the clock, firing the timers that become due.
  void AdvanceTo(Time t) {
    while (!timers_.empty() && timers_.begin()->first <= t) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      Feed(TimerFired{token});
    }
    now = std::max(now, t);
  }
  void Advance(Duration d) { AdvanceTo(now + d); }

  void Feed(const Event& e) {
    Actions out;
    balancer_.Handle(now, e, out);
    for (const Action& a : out) {
      if (const auto* send = std::get_if<Send>(&a)) {
        sends.push_back({*send, now, attempts[send->id]++});
      } else if (const auto* refuse = std::get_if<Refuse>(&a)) {
        refused.push_back(refuse->id);
        refused_at.push_back(now);
        retry_after.push_back(refuse->retry_after);
      } else if (const auto* fail = std::get_if<Fail>(&a)) {
        failed.push_back(fail->id);
      } else if (const auto* timer = std::get_if<SetTimer>(&a)) {
        timers_.emplace(timer->at, timer->token);
      } else if (const auto* sub = std::get_if<Subscribe>(&a)) {
        if (sub->on) subscribed.push_back(now);
      } else if (const auto* cancel = std::get_if<Cancel>(&a)) {
        cancelled.emplace_back(cancel->id, cancel->attempt);
      } else if (const auto* close = std::get_if<CloseIdle>(&a)) {
        closed.push_back(close->server);
      }
    }
  }

  LearnedState ExportState(std::size_t max_keys = 1000) const {
    return balancer_.ExportState(now, max_keys);
  }
  bool IsAvoided(ServerId server) const { return balancer_.IsAvoided(server); }
  void RestoreState(const LearnedState& kept, double confidence = 1) {
    balancer_.RestoreState(now, kept, confidence);
  }

  void List(ListKind kind, std::vector<ServerEntry> entries) { Feed(ServerList{kind, std::move(entries)}); }
  void SetServers(ServerId n) {
    std::vector<ServerEntry> entries;
    for (ServerId id = 0; id < n; ++id) entries.push_back(Up(id));
    List(ListKind::kPersisted, entries);
  }

  // Submits a request and returns the server that it was sent to at once; -1: none.
  int Submit(const std::string& key, int request_class = 0, Duration ttl = seconds(1), bool write = false) {
    NewRequest r;
    r.id = ++last_id;
    r.request_class = request_class;
    r.key = key;
    r.ttl = ttl;
    r.write = write;
    const std::size_t before = sends.size();
    Feed(r);
    return sends.size() > before ? static_cast<int>(sends.back().send.server) : -1;
  }
  void EndAttempt(RequestId id, int attempt, Result result, Duration latency = milliseconds(20)) {
    for (const Sent& s : sends) {
      if (s.send.id == id && s.attempt == attempt) {
        Outcome o;
        o.id = id;
        o.server = s.send.server;
        o.attempt = attempt;
        o.result = result;
        o.complete = result == Result::kOk;
        o.latency = latency;
        concluded.insert({id, attempt});
        Feed(o);
        return;
      }
    }
  }
  // Ends all outstanding attempts.
  void AnswerAll(Result result = Result::kOk) {
    for (std::size_t i = 0; i < sends.size(); ++i) {
      const auto [id, attempt] = std::pair(sends[i].send.id, sends[i].attempt);
      if (!concluded.contains({id, attempt})) EndAttempt(id, attempt, result);
    }
  }
  // One request from its arrival to its answer.
  int Serve(const std::string& key, Duration takes = milliseconds(20)) {
    const int server = Submit(key);
    const RequestId id = last_id;
    Advance(takes);
    EndAttempt(id, 0, Result::kOk, takes);
    return server;
  }

  struct Sent {
    Send send;
    Time at;
    int attempt;
  };
  Time now{seconds(100)};
  RequestId last_id = 0;
  std::vector<Sent> sends;
  std::map<RequestId, int> attempts;
  std::set<std::pair<RequestId, int>> concluded;
  std::vector<RequestId> refused, failed;
  std::vector<Time> refused_at, subscribed;
  std::vector<Duration> retry_after;
  std::vector<std::pair<RequestId, int>> cancelled;
  std::vector<ServerId> closed;  // servers whose idle connections were closed

 private:
  Balancer balancer_;
  std::multimap<Time, std::uint64_t> timers_;
};

}  // namespace beechledge::testing

#endif  // BEECHLEDGE_TESTS_DRIVER_H_
