#include "lab/world/backend_server.h"

#include "lab/world/world.h"

namespace brasswood::lab {

BackendServer::BackendServer(World& world, int number, int cores, double core_speed, int waiting)
    : Server(world.loop(), world.routers(),
             Mix(world.scenario().seed * 8191 + static_cast<std::uint64_t>(number))),
      world_(world),
      rng_(
          MakeRng(Mix(world.scenario().seed * 4099 + static_cast<std::uint64_t>(number)), Stream::kFaults)),
      number_(number),
      core_speed_(core_speed),
      work_queue_(cores, waiting) {}

void BackendServer::SetCores(int cores) {
  work_queue_.SetCores(std::max(1, cores));
  while (const auto next = work_queue_.StartNext()) StartWork(*next);
}

ServerRecord& BackendServer::server_record() {
  return world_.record().servers[static_cast<std::size_t>(number_)];
}

std::size_t BackendServer::RecordAttempt(Peer& peer, RequestId id, double work_s, bool write) {
  world_.OnAttempt(id, *this, peer.id);
  AttemptRecord attempt_record;
  attempt_record.request = id;
  attempt_record.server = number_;
  attempt_record.router = peer.router;
  attempt_record.first_byte_at = peer.first_byte;
  attempt_record.received_at = loop().Now();
  attempt_record.write = write;
  attempt_record.work_s = static_cast<float>(work_s);
  attempt_record.serial = world_.NextSerial();
  world_.record().attempts.push_back(attempt_record);
  const std::size_t record = world_.record().attempts.size() - 1;
  peer.pending.push_back({record, false, {}});
  if (faults_.hang) world_.record().attempts[record].outcome = AttemptOutcome::kNeverAnswered;
  return record;
}

bool BackendServer::Enqueue(Peer& peer, std::size_t record, double work_s, std::string key) {
  const WorkQueue::Token token = attempts_.Add({peer.id, record, work_s, std::move(key), {}});
  active_by_record_.emplace(record, token);
  switch (work_queue_.Submit(token)) {
    case WorkQueue::Admission::kStarted:
      StartWork(token);
      return true;
    case WorkQueue::Admission::kQueued:
      return true;
    case WorkQueue::Admission::kFull:
      break;
  }
  active_by_record_.erase(record);
  attempts_.Remove(token);
  return false;
}

void BackendServer::StartWork(WorkQueue::Token token) {
  Attempt& attempt = *attempts_.Find(token);
  const Capacity& capacity = server_record().capacity;
  const Time now = loop().Now();
  const double speed = core_speed_ * faults_.speed * capacity.At(now) / capacity.full;
  const auto takes = Duration(static_cast<std::int64_t>(attempt.work_s / std::max(speed, 1e-6) * 1e9));
  // Below the resolution of a timer.
  if (takes < std::chrono::microseconds(20)) return FinishWork(token);
  attempt.deadline = loop().deadlines().Set(now + takes, [this, token] { FinishWork(token); });
}

void BackendServer::FinishWork(WorkQueue::Token token) {
  const Attempt attempt = *attempts_.Find(token);
  attempts_.Remove(token);
  active_by_record_.erase(attempt.record);
  if (const auto next = work_queue_.Finish(token)) StartWork(*next);
  if (Peer* peer = FindPeer(attempt.peer)) OnWorkDone(*peer, attempt);
}

void BackendServer::FinishAttempt(Peer& peer, std::size_t record, AttemptOutcome outcome,
                                  std::string text) {
  AttemptRecord& attempt_record = world_.record().attempts[record];
  if (attempt_record.outcome == AttemptOutcome::kNeverAnswered) return;
  const double draw = Unit(rng_);
  if (draw < faults_.reset) {
    attempt_record.outcome = AttemptOutcome::kReset;
    attempt_record.ended_at = loop().Now();
    return Close(peer, true);
  }
  attempt_record.ended_at = loop().Now();
  if (draw < faults_.reset + faults_.half) {
    attempt_record.outcome = AttemptOutcome::kMalformed;
    QueueAnswer(peer, record, text.substr(0, text.size() / 2));
  } else if (draw < faults_.reset + faults_.half + faults_.garbage) {
    attempt_record.outcome = AttemptOutcome::kMalformed;
    QueueAnswer(peer, record, "\x01\x7f?? noise " + std::to_string(rng_()) + "\r\n");
  } else {
    attempt_record.outcome = outcome;
    QueueAnswer(peer, record, std::move(text));
  }
}

void BackendServer::OnClosed(Peer& peer, bool reset) {
  if (number_ != kOrigin) world_.record().links.push_back({number_, peer.router, loop().Now(), false});
  for (const PendingAnswer& e : peer.pending) {
    AttemptRecord& attempt_record = world_.record().attempts[e.attempt];
    if (attempt_record.ended_at == Time(0)) attempt_record.ended_at = loop().Now();
    if (attempt_record.outcome == AttemptOutcome::kOpen)
      attempt_record.outcome = reset ? AttemptOutcome::kReset : AttemptOutcome::kClosedByRouter;
    const auto it = active_by_record_.find(e.attempt);
    if (it == active_by_record_.end()) continue;
    // The work is cancelled, as nobody waits for its result any more.
    const WorkQueue::Token token = it->second;
    loop().deadlines().Cancel(attempts_.Find(token)->deadline);
    attempts_.Remove(token);
    active_by_record_.erase(it);
    if (const auto next = work_queue_.Finish(token)) StartWork(*next);
  }
}

void BackendServer::CheckClosed(std::uint64_t id) {
  Peer* peer = FindPeer(id);
  if (peer != nullptr && ClosedByRouter(*peer)) Close(*peer, false);
}

std::string BackendServer::MakeValue(RequestId id, std::uint32_t serial, std::size_t size) const {
  std::string value = FormatId(id) + ":" + std::to_string(serial) + ":";
  if (value.size() < size) value.append(size - value.size(), 'v');
  return value;
}

}  // namespace brasswood::lab
