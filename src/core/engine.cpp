#include "core/engine.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

#include "base/log.h"

namespace brasswood {

using beechledge::Availability;
using beechledge::ListKind;
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

// Replaces server ids by those in `to`, and removes servers and holders that are not in it.
void RemapServers(beechledge::LearnedState& learnt, const std::unordered_map<ServerId, ServerId>& to) {
  std::erase_if(learnt.servers, [&](beechledge::LearnedState::Server& s) {
    const auto it = to.find(s.id);
    if (it != to.end()) s.id = it->second;
    return it == to.end();
  });
  std::erase_if(learnt.keys, [&](beechledge::LearnedState::Key& key) {
    std::vector<ServerId> holders;
    for (const ServerId id : key.holders) {
      if (const auto it = to.find(id); it != to.end()) holders.push_back(it->second);
    }
    key.holders = std::move(holders);
    return key.holders.empty();
  });
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
                                      0,
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
  counters_.invariants.Expect(request.streaming != 0 || late <= Invariants::kMaxAnswerDelay,
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
  for (const RequestId id : open) {
    Request& request = *requests_.Find(id);
    const std::vector<AttemptId> in_flight = request.in_flight;
    AnswerRequest(request, {AnswerKind::kFailed, {}, {}});
    Queue(beechledge::ClientGone{id});  // the module must not decide anything more for it
    for (const AttemptId attempt : in_flight) AbortAttempt(attempt, Result::kCancelled);
    RemoveIfDone(id);
  }
  Pump();
  return open.size();
}

// Removes a request once it has ended and none of its attempts is in flight.
void Engine::RemoveIfDone(RequestId id) {
  const Request* request = requests_.Find(id);
  if (request == nullptr || !request->ended || !request->in_flight.empty()) return;
  request_ids_.erase(request->content->id);
  requests_.Remove(id);
}

// ---- Attempts ----

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
  const AttemptId id = attempts_.Add({a.id, a.server, attempt, now, send_deadline, {}});
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
  if (end.result == Result::kOk) {
    AnswerRequest(
        *request,
        {request->content->write ? AnswerKind::kReceipt : AnswerKind::kValue, std::move(end.body), {}});
  } else if (request->streaming == id) {
    // The value was started but not completed: the module does not retry such a request, and its client has
    // to see that the value is cut.
    AnswerRequest(*request, {AnswerKind::kFailed, {}, {}});
  }
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
  RemoveIfDone(attempt.request);
}

bool Engine::StreamStarted(AttemptId id, std::size_t length) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr || attempt->request == 0) return false;
  Request* request = requests_.Find(attempt->request);
  if (request == nullptr || request->ended || request->streaming != 0) return false;
  request->streaming = id;
  RestartStallTimer(*attempt, id);
  request->front->StartStream(request->ticket, length);
  Push(beechledge::FirstByte{attempt->request, attempt->server, attempt->number, now_() - attempt->sent});
  return true;
}

// Guards against cutting off a slow server that is still sending: the request's deadline applies to the
// first bytes, and once a value has started there is no other way to serve it. Only an attempt whose server
// becomes unresponsive is aborted.
void Engine::RestartStallTimer(Attempt& attempt, AttemptId id) {
  deadlines_.Cancel(attempt.deadline);
  attempt.deadline = deadlines_.Set(now_() + limits_.stream_stall_timeout, [this, id] {
    AbortAttempt(id, Result::kTimeout);
    Pump();
  });
}

void Engine::StreamChunk(AttemptId id, std::string_view bytes) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr) return;
  const Request* request = requests_.Find(attempt->request);
  if (request == nullptr || request->ended || request->streaming != id) return;
  RestartStallTimer(*attempt, id);
  if (!bytes.empty()) request->front->SendChunk(request->ticket, bytes);
}

std::size_t Engine::StreamRoom(AttemptId id) const {
  const Attempt* attempt = attempts_.Find(id);
  const Request* request = attempt == nullptr ? nullptr : requests_.Find(attempt->request);
  if (request == nullptr || request->ended) return std::numeric_limits<std::size_t>::max();
  return request->front->StreamRoom(request->ticket);
}

// ---- The module's other actions ----

void Engine::Execute(const beechledge::Refuse& a) {
  if (Request* request = requests_.Find(a.id))
    AnswerRequest(*request, {AnswerKind::kRefused, {}, a.retry_after});
  RemoveIfDone(a.id);
}
void Engine::Execute(const beechledge::Fail& a) {
  if (Request* request = requests_.Find(a.id)) AnswerRequest(*request, {AnswerKind::kFailed, {}, {}});
  RemoveIfDone(a.id);
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
  const AttemptId id = attempts_.Add({0, a.server, 0, now_(), {}, {}});
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

// ---- Servers ----

const Server* Engine::FindServer(ServerId id) const {
  return id < directory_.size() ? &directory_.At(id) : nullptr;
}

SendVerdict Engine::EvaluateFirstByte(AttemptId id, const std::string& endpoint) const {
  const Attempt* attempt = attempts_.Find(id);
  const Request* request = attempt == nullptr ? nullptr : requests_.Find(attempt->request);
  SendFacts facts;
  facts.request_open = request != nullptr && !request->ended;
  if (!facts.request_open) return EvaluateSend(facts);
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
  const Attempt* attempt = attempts_.Find(id);
  const Request* request = attempt == nullptr ? nullptr : requests_.Find(attempt->request);
  if (request == nullptr) return;
  Invariants& invariants = counters_.invariants;
  const std::string& who = request->content->id;
  const Time now = now_();
  const Server& server = directory_.At(attempt->server);
  const Duration grace = settings_.rules.drain_grace;
  const bool serving = directory_.Serving(attempt->server, now, grace) &&
                       availability_record_.MaySend(server.uid, now, grace);
  const bool others_end = request->in_flight.size() == 1 || settings_.allowed.parallel_tries;
  invariants.Expect(!request->ended, Invariant::kSentForOpenRequest, who);
  invariants.Expect(now < attempt->send_deadline + Invariants::kMaxSendDelay, Invariant::kSentInTime, who);
  invariants.Expect(serving, Invariant::kSentToServingServer, who);
  invariants.Expect(others_end, Invariant::kOneAttemptAtATime, who);
  invariants.Expect(!request->may_have_run || !IsUnsafe(*request), Invariant::kNoDuplicateEffect, who);
}

void Engine::SetInitialList(const ServerList& known, bool old) {
  Apply(directory_.SetInitialList(known, now_()), ListKind::kPersisted, old);
  ready_ = true;
  LogLine(Level::kInfo) << "list of version " << known.version << " loaded at the start, "
                        << known.entries.size() << " servers";
  if (IsLogged(Level::kDebug)) LogAvoidedServers();
}

// Logs the servers that the module avoids, twice a second, so that a test can compare them with the servers
// that are really faulty.
void Engine::LogAvoidedServers() {
  LogLine line(Level::kDebug);
  line << "avoids:";
  for (ServerId id = 0; id < directory_.size(); ++id) {
    if (balancer_.IsAvoided(id)) line << ' ' << directory_.At(id).uid;
  }
  deadlines_.Set(now_() + std::chrono::milliseconds(500), [this] { LogAvoidedServers(); });
}

void Engine::ListReceived(const ServerList& list, const ListOrigin& origin) {
  ++counters_.lists;
  const DirectoryUpdate update = directory_.Merge(list, origin);
  LogVerdict(update, list, origin);
  if (update.verdict == ListVerdict::kRestartApplied) availability_record_.Reset();
  const bool whole =
      update.verdict == ListVerdict::kApplied || update.verdict == ListVerdict::kRestartApplied;
  if (whole) {
    availability_record_.RecordList(list, origin.received_at);
  } else if (update.verdict == ListVerdict::kNoBase) {
    availability_record_.RecordPart(list, origin.received_at);
  }
  if (!whole && update.named.empty()) return;
  Apply(update, whole && list.is_whole ? ListKind::kAll : ListKind::kChanges);
  if (!whole) return;
  confirmed_ = true;
  ApplySnapshot();
}

// An incomplete answer may have been in transit for a long time: its drains have no grace period left.
void Engine::PartialListReceived(const ServerList& part, const ListOrigin& origin) {
  availability_record_.RecordPart(part, origin.received_at);
  ListOrigin late = origin;
  late.notified_at = std::min(origin.notified_at, now_() - settings_.rules.drain_grace / 2);
  const DirectoryUpdate update = directory_.MergePart(part, late);
  if (!update.named.empty()) Apply(update, ListKind::kChanges);
}

void Engine::ListCallFailed() { ++counters_.lists_refused; }

void Engine::LogVerdict(const DirectoryUpdate& update, const ServerList& list,
                        const ListOrigin& origin) const {
  if (update.verdict == ListVerdict::kApplied) return;
  LogLine(Level::kInfo) << "list of version " << list.version << " from source " << origin.source
                        << ", call " << origin.call << ": "
                        << kListVerdictNames[static_cast<std::size_t>(update.verdict)] << "; asked for "
                        << (now_() - origin.requested_at).count() / 1000000
                        << " ms ago, version held: " << directory_.held().value_or(-1);
}

void Engine::LogChange(ServerId id) const {
  const Server& server = directory_.At(id);
  LogLine(Level::kInfo) << "server " << server.uid << " at " << server.endpoint << " is "
                        << (server.availability == Availability::kUp         ? "in service"
                            : server.availability == Availability::kDraining ? "terminating"
                                                                             : "terminated")
                        << ", version " << directory_.VersionOf(id) << " of source "
                        << directory_.SourceOf(id);
}

beechledge::ServerEntry Engine::EntryFor(ServerId id) const {
  const ServerEntry entry = directory_.Effective(id);
  beechledge::ServerEntry e;
  e.id = id;
  e.name = entry.uid;
  e.zone = entry.zone;
  e.kind = entry.kind;
  e.cell = entry.cell;
  e.availability = entry.availability;
  e.scale = entry.scale;
  e.started = entry.started;
  return e;
}

void Engine::Apply(const DirectoryUpdate& update, ListKind kind, bool old) {
  // Idle connections lead to the server's old address or to its previous process.
  for (const ServerId id : update.moved) BackEndOf(id).CloseIdle(id);
  for (const ServerId id : update.changed) LogChange(id);
  beechledge::ServerList list;
  list.kind = kind;
  list.stale = old;
  if (kind == ListKind::kChanges) {
    for (const ServerId id : update.named) list.entries.push_back(EntryFor(id));
  }
  for (ServerId id = 0; id < directory_.size(); ++id) {
    const bool removed = directory_.At(id).availability == Availability::kRemoved;
    if (removed) BackEndOf(id).CloseIdle(id);
    if (!removed && kind != ListKind::kChanges) list.entries.push_back(EntryFor(id));
  }
  Push(std::move(list));
  ForgetRemovedServers();
}

// ---- State preserved over a restart ----

Snapshot Engine::ExportSnapshot(std::size_t max_keys) const {
  Snapshot s;
  s.list.version = directory_.held().value_or(-1);
  s.suspended = directory_.suspended();
  std::unordered_map<ServerId, ServerId> indexes;
  for (ServerId id = 0; id < directory_.size(); ++id) {
    const Server& server = directory_.At(id);
    if (server.uid.empty() || server.availability == Availability::kRemoved) continue;
    indexes[id] = static_cast<ServerId>(s.list.entries.size());
    s.list.entries.push_back(directory_.Reported(id));
  }
  s.module_state = balancer_.ExportState(now_(), max_keys);
  RemapServers(s.module_state, indexes);
  return s;
}

void Engine::RestoreSnapshot(Snapshot snapshot, double confidence) {
  pending_snapshot_ = std::move(snapshot);
  snapshot_confidence_ = confidence;
  // The snapshot is applied to the list that is already loaded. In a large fleet the first call to
  // discovery may take seconds. Guards against running without the snapshot until then: keys that had moved
  // would go back to their earlier servers and evict other keys there.
  if (directory_.size() > 0) ApplySnapshot();
}

void Engine::ApplySnapshot() {
  if (!pending_snapshot_) return;
  std::unordered_map<ServerId, ServerId> ids;  // by index in the snapshot's list
  const auto& entries = pending_snapshot_->list.entries;
  for (ServerId index = 0; index < entries.size(); ++index) {
    const auto id = directory_.Find(entries[index].uid);
    if (!id || directory_.At(*id).availability != Availability::kUp) continue;
    // A restarted server has other contents, and perhaps another size.
    if (directory_.Reported(*id).started != entries[index].started) continue;
    ids[index] = *id;
  }
  RemapServers(pending_snapshot_->module_state, ids);
  balancer_.RestoreState(now_(), pending_snapshot_->module_state, snapshot_confidence_);
  LogLine(Level::kInfo) << "kept state taken up for " << ids.size() << " of " << entries.size()
                        << " servers";
  pending_snapshot_.reset();
}

// ---- Operators ----

bool Engine::Suspend(const std::string& uid, bool any) {
  if (!directory_.Find(uid) && !any) return false;
  if (!directory_.Suspend(uid)) return true;
  if (const auto back = resume_timers_.find(uid); back != resume_timers_.end()) {
    deadlines_.Cancel(back->second);
    resume_timers_.erase(back);
  }
  LogLine(Level::kInfo) << "server " << uid << " suspended by hand";
  ApplyOperatorState(uid);
  return true;
}

bool Engine::Resume(const std::string& uid, bool any) {
  if (!directory_.Find(uid) && !any && !suspended().contains(uid)) return false;
  if (!directory_.Resume(uid)) return true;
  LogLine(Level::kInfo) << "server " << uid << " resumed by hand; it counts as started now";
  // Guards against requests that reach the server before the operator receives the confirmation: until then
  // the server stays out of service.
  resume_timers_[uid] =
      deadlines_.Set(now_() + limits_.resume_delay, [this, uid] { ReturnToService(uid); });
  return true;
}

void Engine::ReturnToService(const std::string& uid) {
  resume_timers_.erase(uid);
  directory_.ReturnToService(uid, now_());
  ApplyOperatorState(uid);
}

void Engine::ApplyOperatorState(const std::string& uid) {
  const DirectoryUpdate update = directory_.ApplyOperatorState(uid, now_());
  if (!update.named.empty()) Apply(update, ListKind::kChanges);
}

Engine::ServerCounts Engine::CountServers() const {
  ServerCounts c;
  for (ServerId id = 0; id < directory_.size(); ++id) {
    const Server& server = directory_.At(id);
    if (server.uid.empty() || server.origin || server.availability == Availability::kRemoved) continue;
    ++c.known;
    c.skipped += suspended().contains(server.uid);
  }
  c.skipped += balancer_.AvoidedCount();
  return c;
}

// Guards against tables that only grow: if servers are replaced all day, the removed ones would stay in
// memory and in every loop over servers. A server is forgotten, and its id becomes free, once it was
// removed Limits::forget_removed_after ago and no request, attempt or probe in the tables refers to it.
void Engine::ForgetRemovedServers() {
  const Time before = now_() - limits_.forget_removed_after;
  if (!directory_.AnyRemovedBefore(before)) return;
  std::vector<bool> referred(directory_.size());
  requests_.Each([&](RequestId, const Request& request) {
    for (const ServerId id : request.tried_servers) referred[id] = true;
  });
  attempts_.Each([&](AttemptId, const Attempt& attempt) { referred[attempt.server] = true; });
  for (ServerId id = 0; id < directory_.size(); ++id) {
    if (referred[id] || !directory_.RemovedBefore(id, before)) continue;
    BackEndOf(id).Forget(id);
    directory_.Forget(id);
  }
}

}  // namespace brasswood
