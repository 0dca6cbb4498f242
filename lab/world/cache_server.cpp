#include "lab/world/cache_server.h"

#include "lab/world/world.h"
#include "protocol/meta.h"

namespace brasswood::lab {
namespace {

constexpr double kMissShare = 0.05;  // cost of a miss, as a share of the read's work
constexpr double kMegabyte = 1 << 20;
const Limits kLimits;

}  // namespace

CacheServer::CacheServer(World& world, int number, const NodePlan& plan)
    : BackendServer(world, number, plan.cores, plan.speed, plan.waiting),
      plan_(plan),
      store_(plan.memory_mb * kMegabyte),
      meter_(world.scenario().rules.fall_multiple, world.scenario().rules.fall, 0.2) {}

void CacheServer::Restart() {
  store_.Clear();
  ServerRecord& self = server_record();
  if (self.restarts.empty()) self.first_started = self.capacity.started;
  self.capacity.started = loop().Now();
  self.restarts.push_back(self.capacity.started);
  self.overloaded = false;
  meter_ = OverloadMeter(world_.scenario().rules.fall_multiple, world_.scenario().rules.fall, 0.2);
  server_record().stopped_at = Time(0);
  alive_ = true;
  SetLinks(Link::kUp);
}

void CacheServer::Kill() {
  alive_ = false;
  server_record().stopped_at = loop().Now();
  SetLinks(Link::kRefused);
}

void CacheServer::OnConnected(Peer& peer) {
  world_.record().links.push_back({number(), peer.router, loop().Now(), true});
  peer.over_limit = peers() > static_cast<std::size_t>(plan_.connections);
}

void CacheServer::OnData(Peer& peer) {
  const std::uint64_t id = peer.id;
  // Handling a command may close connections, including this one, hence the check.
  while (FindPeer(id) != nullptr) {
    std::size_t used = 0;
    Command command;
    const Parsed got = ParseCommand(ContiguousInput(peer.buffer.get()), kLimits, used, command);
    if (got == Parsed::kMore) return;
    if (got == Parsed::kBad) return Close(peer, false);
    evbuffer_drain(bufferevent_get_input(peer.buffer.get()), used);
    if (command.verb == Verb::kRequest) {
      HandleRequest(peer, command.content);
    } else if (faults().hang) {
      continue;
    } else if (command.verb == Verb::kNoop) {
      Write(peer, rejecting_ ? "SERVER_ERROR busy\r\n" : "MN\r\n");
    } else {
      Write(peer, "ERROR\r\n");
    }
  }
}

void CacheServer::HandleRequest(Peer& peer, const RequestContent& request) {
  const std::size_t request_class = world_.ClassOf(request.labels);
  const RequestId id = ParseId(request.id);
  const bool stored = !request.write && store_.Use(request.key);
  double work =
      WorkOf(world_.scenario(), request_class, id, world_.SinceStart()) * (stored ? 1 : kMissShare);
  if (std::exchange(peer.fresh, false)) work += plan_.handshake_ms / 1000;
  const std::size_t record = RecordAttempt(peer, id, work, request.write);
  if (faults().hang) return;
  ServerRecord& self = server_record();
  const Time now = loop().Now();
  if (self.capacity.IsCold(now) && meter_.Add(now, work, self.capacity.At(now)) > 1) self.overloaded = true;
  const bool refused = rejecting_ || self.overloaded || peer.over_limit;
  if (refused || !Enqueue(peer, record, work, stored ? request.key : std::string())) {
    FinishAttempt(peer, record, AttemptOutcome::kTurnedAway, "SERVER_ERROR busy\r\n");
  }
}

void CacheServer::OnWorkDone(Peer& peer, const Attempt& attempt) {
  const AttemptRecord& attempt_record = world_.record().attempts[attempt.record];
  const std::string id = FormatId(attempt_record.request);
  if (attempt.key.empty()) {
    world_.RecordMiss(attempt_record.request, number());
    return FinishAttempt(peer, attempt.record, AttemptOutcome::kMiss, "EN O" + id + "\r\n");
  }
  const std::string value =
      MakeValue(attempt_record.request, attempt_record.serial, SizeOf(world_.scenario(), attempt.key));
  FinishAttempt(peer, attempt.record, AttemptOutcome::kHit,
                "VA " + std::to_string(value.size()) + " O" + id + "\r\n" + value + "\r\n");
}

}  // namespace brasswood::lab
