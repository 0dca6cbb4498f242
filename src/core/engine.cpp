#include "core/engine.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/log.h"

namespace brasswood {

using beechledge::Result;

namespace {

const char* NameOf(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kValue:
      return "value";
    case AnswerKind::kReceipt:
      return "receipt";
    case AnswerKind::kRefused:
      return "refused";
    case AnswerKind::kFailed:
      break;
  }
  return "failed";
}

}  // namespace

Engine::Engine(const beechledge::Settings& settings, std::uint64_t seed, const Limits& limits,
               std::function<Time()> now, Deadlines& deadlines, Counters& counters)
    : settings_(settings),
      balancer_(settings, seed),
      limits_(limits),
      now_(std::move(now)),
      deadlines_(deadlines),
      counters_(counters),
      directory_(settings.origin_kind) {
  counters_.by_class.resize(settings.classes.size());
}

void Engine::CountClass(int request_class, AnswerKind kind) {
  if (request_class < 0 || static_cast<std::size_t>(request_class) >= counters_.by_class.size()) return;
  auto& c = counters_.by_class[static_cast<std::size_t>(request_class)];
  switch (kind) {
    case AnswerKind::kValue:
    case AnswerKind::kReceipt:
      ++c.passed;
      break;
    case AnswerKind::kRefused:
      ++c.dropped;
      break;
    case AnswerKind::kFailed:
      ++c.bad_gateway;
      break;
  }
}

void Engine::Attach(BackEnd& cache_servers, BackEnd& origin, DiscoverySource& watch) {
  cache_servers_ = &cache_servers;
  origin_ = &origin;
  watch_ = &watch;
}

// ---- Events are queued: an event caused by an action reaches the module after the event that led to that
// action, and never re-enters the module. ----

void Engine::Queue(beechledge::Event event) { queue_.push_back({now_(), std::move(event)}); }

void Engine::Push(beechledge::Event event) {
  Queue(std::move(event));
  Pump();
}

void Engine::Pump() {
  if (pumping_) return;
  pumping_ = true;
  beechledge::Actions actions;
  while (!queue_.empty()) {
    const Queued next = std::move(queue_.front());
    queue_.pop_front();
    actions.clear();
    balancer_.Handle(next.at, next.event, actions);
    for (const beechledge::Action& action : actions) {
      std::visit([this](const auto& a) { Execute(a); }, action);
    }
  }
  pumping_ = false;
}

// ---- Requests ----

RequestId Engine::AcceptRequest(FrontEnd& front, std::uint64_t ticket, NewRequest request) {
  if (requests_.size() >= limits_.max_requests) {
    ++counters_.turned_away;
    CountClass(request.request_class, AnswerKind::kRefused);  // the front end refuses it
    return 0;
  }
  const Duration wait = std::clamp(request.wait, Duration(0), limits_.max_deadline);
  beechledge::NewRequest event;
  event.request_class = request.request_class;
  event.tenant = request.tenant;
  event.key = request.content->key;
  event.size_hint = request.size_hint;
  event.repeat = request.repeat;
  event.write = request.content->write;
  // The clock is read once for both deadlines: if the module's deadline were slightly later than the
  // engine's, the module would see an attempt that timed out with its request as worth another attempt.
  const Time now = now_();
  const Time arrived = request.arrived == Time(0) ? now : std::min(request.arrived, now);
  event.ttl = std::max(Duration(0), arrived + wait - now);
  request_ids_.insert(request.content->id);
  const RequestId id = requests_.Add({&front,
                                      ticket,
                                      request.request_class,
                                      std::move(request.content),
                                      now + event.ttl,
                                      0,
                                      false,
                                      {},
                                      {},
                                      {}});
  event.id = id;
  ++counters_.requests_in;
  ++open_requests_;
  queue_.push_back({now, std::move(event)});
  Pump();
  return id;
}

// The only place where a request stops being open.
void Engine::MarkEnded(Request& request) {
  request.ended = true;
  --open_requests_;
}

void Engine::AnswerRequest(Request& request, const Answer& answer) {
  if (request.ended) return;
  MarkEnded(request);
  const Duration late = now_() - request.deadline;
  counters_.invariants.Expect(request.response.committed() || late <= Invariants::kMaxAnswerDelay,
                              Invariant::kAnsweredInTime, request.content->id);
  CountClass(request.request_class, answer.kind);
  switch (answer.kind) {
    case AnswerKind::kValue:
    case AnswerKind::kReceipt:
      ++counters_.served;
      break;
    case AnswerKind::kRefused:
      ++counters_.refused;
      break;
    case AnswerKind::kFailed:
      ++counters_.failed;
      break;
  }
  LogLine(Level::kDebug) << "request " << request.content->id << ' ' << request.content->key << ' '
                         << request.content->labels << ' ' << NameOf(answer.kind)
                         << " attempts=" << request.attempts
                         << " left=" << (request.deadline - now_()).count() / 1000
                         << " us retry_after=" << answer.retry_after.count() / 1000 << " us";
  request.front->Deliver(request.ticket, answer);
}

// Nobody waits for the answer any more: attempts in flight would only keep servers busy.
void Engine::ClientGone(RequestId id) {
  Request* request = requests_.Find(id);
  if (request == nullptr || request->ended) return;
  MarkEnded(*request);
  ++counters_.gone;
  LogLine(Level::kDebug) << "request " << request->content->id
                         << " client gone, attempts=" << request->attempts
                         << " out=" << request->in_flight.size();
  const std::vector<AttemptId> in_flight = request->in_flight;
  Queue(beechledge::ClientGone{id});
  for (const AttemptId attempt : in_flight) AbortAttempt(attempt, Result::kCancelled);
  RemoveIfDone(id);
  Pump();
}

std::size_t Engine::FailAll() {
  std::vector<RequestId> open;
  requests_.Each([&](RequestId id, const Request& request) {
    if (!request.ended) open.push_back(id);
  });
  for (const RequestId id : open) FailRequest(id);
  Pump();
  return open.size();
}

// Fails an open request and aborts its attempts, whatever the module would decide.
void Engine::FailRequest(RequestId id) {
  Request& request = *requests_.Find(id);
  const std::vector<AttemptId> in_flight = request.in_flight;
  AnswerRequest(request, {AnswerKind::kFailed, {}, {}});
  Queue(beechledge::ClientGone{id});  // the module must not decide anything more for it
  for (const AttemptId attempt : in_flight) AbortAttempt(attempt, Result::kCancelled);
  RemoveIfDone(id);
}

// Removes a request once it has ended and none of its attempts is in flight.
void Engine::RemoveIfDone(RequestId id) {
  const Request* request = requests_.Find(id);
  if (request == nullptr || !request->ended || !request->in_flight.empty()) return;
  request_ids_.erase(request->content->id);
  requests_.Remove(id);
}

// ---- The module's actions ----

void Engine::Execute(const beechledge::Refuse& a) {
  AnswerFromModule(a.id, {AnswerKind::kRefused, {}, a.retry_after});
}
void Engine::Execute(const beechledge::Fail& a) { AnswerFromModule(a.id, {AnswerKind::kFailed, {}, {}}); }

// Guards against a value that is cut although its server still sends it: once the client receives it, its
// attempt owns the answer.
void Engine::AnswerFromModule(RequestId id, const Answer& answer) {
  Request* request = requests_.Find(id);
  if (request == nullptr || request->response.committed()) return;
  AnswerRequest(*request, answer);
  RemoveIfDone(id);
}
void Engine::Execute(const beechledge::Cancel& a) {
  const Request* request = requests_.Find(a.id);
  if (request == nullptr) return;
  for (const AttemptId id : request->in_flight) {
    if (attempts_.Find(id)->number == a.attempt) return AbortAttempt(id, Result::kCancelled);
  }
}
void Engine::Execute(const beechledge::SetTimer& a) {
  deadlines_.Set(a.at, [this, token = a.token] { Push(beechledge::TimerFired{token}); });
}
void Engine::Execute(const beechledge::Subscribe& a) { watch_->SetWatching(a.on); }
void Engine::Execute(const beechledge::FetchList&) { watch_->RequestWholeList(); }
void Engine::Execute(const beechledge::Probe& a) {
  if (!settings_.allowed.probes || a.server >= directory_.size()) return;
  const AttemptId id = attempts_.Add({0, a.server, 0, now_(), {}, {}, {}});
  attempts_.Find(id)->deadline = deadlines_.Set(now_() + limits_.probe_timeout, [this, id] {
    AbortAttempt(id, Result::kTimeout);
    Pump();
  });
  ++counters_.probes;
  BackEndOf(a.server).Probe(id, a.server, settings_.reports == beechledge::ReportSource::kProbe);
}
void Engine::Execute(const beechledge::CloseIdle& a) {
  if (a.server < directory_.size()) BackEndOf(a.server).CloseIdle(a.server);
}
void Engine::Execute(const beechledge::Log& a) { LogLine(Level::kInfo) << "module: " << a.text; }

}  // namespace brasswood
