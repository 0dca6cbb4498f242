// The engine's attempts: from the module's decision to the outcome, and the streamed values among them.
#include <algorithm>
#include <limits>
#include <utility>

#include "base/log.h"
#include "core/engine.h"

namespace brasswood {

using beechledge::Result;

void Engine::Execute(const beechledge::Send& a) {
  Request* request = requests_.Find(a.id);
  const Time now = now_();
  const int attempt = request == nullptr ? 0 : request->attempts++;
  const SendVerdict verdict = EvaluateAttempt(request, a.server, attempt);
  if (verdict != SendVerdict::kAllowed) {
    return HoldBack(a, attempt, request == nullptr || request->ended, verdict);
  }
  Time until = request->deadline;
  if (a.timeout > Duration(0)) until = std::min(until, now + a.timeout);
  const Time send_deadline = std::min(until, request->repeat_by);
  const AttemptId id = attempts_.Add({a.id, a.server, attempt, now, until, send_deadline, {}});
  request->in_flight.push_back(id);
  request->tried_servers.push_back(a.server);
  attempts_.Find(id)->deadline = deadlines_.Set(until, [this, id] {
    AbortAttempt(id, Result::kTimeout);
    Pump();
  });
  ++counters_.attempts_sent;
  BackEndOf(a.server).Start(id, a.server, request->content, until, send_deadline);
}

bool Engine::IsUnsafe(const Request& request) const {
  const auto of = static_cast<std::size_t>(request.request_class);
  return of < settings_.classes.size() && settings_.classes[of].effect == beechledge::Effect::kUnsafe;
}

// Only half of a drain's grace period is used: the rule counts from an attempt's first byte, and the
// process may be delayed before it sends that byte.
SendVerdict Engine::EvaluateAttempt(const Request* request, ServerId server, int attempt) const {
  SendFacts facts;
  facts.request_open = request != nullptr && !request->ended;
  facts.answer_begun = request != nullptr && request->response.committed();
  facts.server_known = server < directory_.size();
  if (!facts.request_open || !facts.server_known) return EvaluateSend(facts);
  facts.now = now_();
  facts.send_by = std::min(request->deadline, request->repeat_by);
  facts.attempts_left = attempt < limits_.max_attempts;
  facts.no_conflict = request->in_flight.empty() || settings_.allowed.parallel_tries;
  facts.repeat_safe = !request->may_have_run || !IsUnsafe(*request);
  facts.server_serving = directory_.Serving(server, facts.now, settings_.rules.drain_grace / 2);
  return EvaluateSend(facts);
}

// Records the outcome of an attempt that must not be sent: it never ran.
void Engine::HoldBack(const beechledge::Send& a, int attempt, bool complete, SendVerdict why) {
  ++counters_.sends_held_back[static_cast<std::size_t>(why)];
  ++counters_.attempts_ended[static_cast<std::size_t>(Result::kObsolete)];
  beechledge::Outcome moot;
  moot.id = a.id;
  moot.server = a.server;
  moot.attempt = attempt;
  moot.complete = complete;
  moot.result = Result::kObsolete;
  Queue(moot);
}

// Aborts an attempt. Its connection is closed here, before the module is notified and can send the request
// to another server.
void Engine::AbortAttempt(AttemptId id, Result why) {
  const Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) return;
  const bool sent_completely = BackEndOf(attempt->server).Abandon(id);
  AttemptResult end;
  // An attempt that was not sent completely cannot have run. For a write that decides between a retry and a
  // failure.
  end.result = why == Result::kTimeout && !sent_completely ? Result::kConnectFailed : why;
  FinishAttempt(id, std::move(end));
}

void Engine::AttemptEnded(AttemptId id, AttemptResult end) {
  FinishAttempt(id, std::move(end));
  Pump();
}

void Engine::FinishAttempt(AttemptId id, AttemptResult end) {
  Attempt* found = attempts_.Find(id);
  if (found == nullptr) return;
  Attempt attempt = *found;
  attempts_.Remove(id);
  deadlines_.Cancel(attempt.deadline);
  const Duration latency = now_() - attempt.sent;
  if (attempt.request == 0) {
    Queue(beechledge::ProbeResult{attempt.server, end.result, latency, end.report});
    return;
  }
  ++counters_.attempts_ended[static_cast<std::size_t>(end.result)];
  Request* request = requests_.Find(attempt.request);
  if (request == nullptr) return;
  LogLine(Level::kDebug) << "attempt " << request->content->id << '/' << attempt.number << " at "
                         << directory_.At(attempt.server).uid << ' '
                         << ResultName(static_cast<std::size_t>(end.result)) << " after "
                         << latency.count() / 1000 << " us";
  std::erase(request->in_flight, id);
  const auto of = static_cast<std::size_t>(request->request_class);
  request->may_have_run = request->may_have_run || !beechledge::DidNotRun(end.result);
  if (!beechledge::DidNotRun(end.result) && of < settings_.classes.size() &&
      settings_.classes[of].effect == beechledge::Effect::kKeyed) {
    request->repeat_by = std::min(request->repeat_by,
                                  attempt.sent + settings_.classes[of].window - limits_.transit_allowance);
  }
  const AttemptEffect effect = ApplyEffect(*request, id, end);
  beechledge::Outcome outcome;
  outcome.id = attempt.request;
  outcome.server = attempt.server;
  outcome.attempt = attempt.number;
  outcome.complete = request->ended;
  outcome.latency = latency;
  outcome.result = end.result;
  outcome.note = end.note;
  outcome.report = end.report;
  Queue(std::move(outcome));
  if (effect == AttemptEffect::kAnswers) AbortOthers(attempt.request, id, AbortScope::kNotSent);
  RemoveIfDone(attempt.request);
}

// Guards against attempts that are sent although another one owns the client's answer: a request that waits
// in an output buffer would still be written. kNotSent: those that were sent go on, because the module
// learns from their answers. Call it once the module's event about the owner is queued, so that the module
// retries none of them.
void Engine::AbortOthers(RequestId id, AttemptId owner, AbortScope scope) {
  const std::vector<AttemptId> in_flight = requests_.Find(id)->in_flight;
  for (const AttemptId other : in_flight) {
    if (other == owner || (scope == AbortScope::kNotSent && attempts_.Find(other)->sent_whole)) continue;
    AbortAttempt(other, Result::kCancelled);
  }
}

// Gives the request's client what the end of this attempt means for it. The module does not retry a request
// whose value is cut, and its client has to see that; a value that was only buffered may be retried.
AttemptEffect Engine::ApplyEffect(Request& request, AttemptId id, AttemptResult& end) {
  const AttemptEffect effect = request.response.EffectOf(id, end.result == Result::kOk);
  switch (effect) {
    case AttemptEffect::kAnswers: {
      const AnswerKind kind = request.content->write ? AnswerKind::kReceipt : AnswerKind::kValue;
      AnswerRequest(request, {kind, std::move(end.body), {}, end.streamed});
      break;
    }
    case AttemptEffect::kTruncates:
      AnswerRequest(request, {AnswerKind::kFailed, {}, {}});
      break;
    case AttemptEffect::kDropsBuffer:
      request.response.DropBuffer();
      if (!request.ended) request.front->DropStream(request.ticket);
      break;
    case AttemptEffect::kNone:
      break;
  }
  return effect;
}

bool Engine::StreamStarted(AttemptId id, std::size_t length) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr || attempt->request == 0) return false;
  const RequestId request_id = attempt->request;
  Request* request = requests_.Find(request_id);
  if (request == nullptr || request->ended || request->response.source() != 0) return false;
  const StreamMode mode = request->front->StartStream(request->ticket, length);
  if (mode == StreamMode::kRefuse) {
    LogLine(Level::kInfo) << "request " << request->content->id << " failed: its value of " << length
                          << " bytes is too large to be buffered";
    FailRequest(request_id);
    Pump();
    return false;
  }
  request->response.Start(id, mode);
  RestartStallTimer(*request, *attempt, id);
  const bool committed = request->response.committed();
  Queue(beechledge::FirstByte{request_id, attempt->server, attempt->number, now_() - attempt->sent,
                              committed});
  if (committed) AbortOthers(request_id, id, AbortScope::kAll);
  Pump();
  return true;
}

// Guards against cutting off a slow server that is still sending: the request's deadline applies to the
// first bytes, and once the client receives a value there is no other way to serve it. Only an attempt
// whose server becomes unresponsive is aborted. A value that is buffered has to be complete in time.
void Engine::RestartStallTimer(const Request& request, Attempt& attempt, AttemptId id) {
  deadlines_.Cancel(attempt.deadline);
  Time at = now_() + limits_.stream_stall_timeout;
  if (!request.response.committed()) at = std::min(at, attempt.until);
  attempt.deadline = deadlines_.Set(at, [this, id] {
    AbortAttempt(id, Result::kTimeout);
    Pump();
  });
}

void Engine::StreamChunk(AttemptId id, std::string_view bytes) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) return;
  const Request* request = requests_.Find(attempt->request);
  if (request == nullptr || request->ended || request->response.source() != id) return;
  RestartStallTimer(*request, *attempt, id);
  if (!bytes.empty()) request->front->SendChunk(request->ticket, bytes);
}

std::size_t Engine::StreamRoom(AttemptId id) const {
  const Attempt* attempt = attempts_.Find(id);
  const Request* request = attempt == nullptr ? nullptr : requests_.Find(attempt->request);
  if (request == nullptr || request->ended) return std::numeric_limits<std::size_t>::max();
  return request->front->StreamRoom(request->ticket);
}

// ---- First and last bytes of attempts ----

const Server* Engine::FindServer(ServerId id) const {
  return id < directory_.size() ? &directory_.At(id) : nullptr;
}

SendVerdict Engine::EvaluateFirstByte(AttemptId id, const std::string& endpoint) const {
  const Attempt* attempt = attempts_.Find(id);
  const Request* request = attempt == nullptr ? nullptr : requests_.Find(attempt->request);
  SendFacts facts;
  facts.request_open = request != nullptr && !request->ended;
  if (!facts.request_open) return EvaluateSend(facts);
  facts.answer_begun = request->response.OwnedByOther(id);
  facts.client_present = request->front->IsConnected(request->ticket);
  facts.now = now_();
  facts.send_by = attempt->send_deadline;
  facts.server_serving = directory_.Serving(attempt->server, facts.now, settings_.rules.drain_grace / 2);
  facts.same_endpoint = directory_.At(attempt->server).endpoint == endpoint;
  return EvaluateSend(facts);
}

// Guards against a loop where the request of a client that has gone is retried on another server at once
// and held back again.
void Engine::AttemptHeldBack(AttemptId id, SendVerdict why) {
  ++counters_.sends_held_back[static_cast<std::size_t>(why)];
  const Attempt* attempt = attempts_.Find(id);
  const Request* request = attempt == nullptr ? nullptr : requests_.Find(attempt->request);
  if (request != nullptr) {
    LogLine(Level::kDebug) << "attempt " << request->content->id << '/' << attempt->number
                           << " held back: " << kSendVerdictNames[static_cast<std::size_t>(why)];
    if (why == SendVerdict::kClientGone) ClientGone(attempt->request);
  }
  AttemptResult end;
  end.result = Result::kObsolete;
  AttemptEnded(id, std::move(end));
}

// Checks the rules on sending after the fact: the bytes were sent one event loop iteration after the guard
// allowed them, and the process may have been delayed in between.
void Engine::AttemptSent(AttemptId id) {
  ++counters_.upstream_tries;
  Attempt* attempt = attempts_.Find(id);
  const Request* request = attempt == nullptr ? nullptr : requests_.Find(attempt->request);
  if (request == nullptr) return;
  attempt->sent_whole = true;
  Invariants& invariants = counters_.invariants;
  const std::string& who = request->content->id;
  const Time now = now_();
  const Server& server = directory_.At(attempt->server);
  const Duration grace = settings_.rules.drain_grace;
  const bool serving = directory_.Serving(attempt->server, now, grace) &&
                       availability_record_.MaySend(server.uid, now, grace);
  const bool others_end = request->in_flight.size() == 1 || settings_.allowed.parallel_tries;
  const bool answer_due = !request->ended && !request->response.OwnedByOther(id);
  invariants.Expect(answer_due, Invariant::kSentForOpenRequest, who);
  invariants.Expect(now < attempt->send_deadline + Invariants::kMaxSendDelay, Invariant::kSentInTime, who);
  invariants.Expect(serving, Invariant::kSentToServingServer, who);
  invariants.Expect(others_end, Invariant::kOneAttemptAtATime, who);
  invariants.Expect(!request->may_have_run || !IsUnsafe(*request), Invariant::kNoDuplicateEffect, who);
}

}  // namespace brasswood
