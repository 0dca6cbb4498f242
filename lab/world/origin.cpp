#include "lab/world/origin.h"

#include "lab/world/world.h"
#include "protocol/labels.h"

namespace brasswood::lab {

Origin::Origin(World& world, const OriginPlan& plan)
    : BackendServer(world, kOrigin, plan.cores, 1, plan.waiting),
      plan_(plan),
      meter_(plan.fall_multiple, plan.fall, 0) {}

void Origin::Stop(Duration length) {
  const Time until = loop().Now() + length;
  if (until <= down_until_) return;
  down_until_ = until;
  SetLinks(Link::kRefused);
  loop().deadlines().Set(until, [this, until] {
    if (down_until_ == until) SetLinks(Link::kUp);
  });
}

void Origin::OnData(Peer& peer) {
  const std::uint64_t id = peer.id;
  HttpRequest request;
  while (TakeRequest(id, request)) {
    if (request.path.starts_with("/-/")) {  // a probe
      if (!faults().hang) Write(peer, HttpReply(200, "", ""));
      continue;
    }
    const bool write = request.method == "PUT";
    const RequestId asked = ParseId(request.id);
    Rng rng(Mix(asked ^ world_.scenario().seed), static_cast<std::uint64_t>(Stream::kContents));
    const double work =
        LogNormal(rng, plan_.work_ms, plan_.work_cv) / 1000 * (write ? plan_.write_times : 1);
    const std::size_t record = RecordAttempt(peer, asked, work, write);
    AttemptRecord& attempt_record = world_.record().attempts[record];
    attempt_record.after_cold_miss = !write && world_.MissedAtColdServer(asked);
    Pending pending;
    pending.request_class = world_.ClassOf(request.labels);
    EachLabel(request.labels, [&](std::string_view name, std::string_view value) {
      if (name == "k") pending.write_key = value;
    });
    const Time now = loop().Now();
    // Its capacity is one second of work each second on each core.
    const bool overloaded = meter_.Add(now, work, plan_.cores) > 1;
    const std::string key = request.path.substr(1);
    pending_.emplace(record, std::move(pending));
    if (!faults().hang && !Enqueue(peer, record, work, key)) {
      pending_.erase(record);
      FinishAttempt(peer, record, AttemptOutcome::kTurnedAway, HttpReply(503, "X-Turned-Away: 1\r\n", ""));
    }
    if (overloaded && down_until_ <= now) {
      server_record().overloaded = true;
      world_.record().origin_overloads.push_back(now);
      return Stop(plan_.down);
    }
  }
}

// Writes an answer. While the fault is on, a share of the answers state no length: half of these are
// complete and end with an orderly close, the others are truncated by a reset.
void Origin::Reply(Peer& peer, std::size_t record, const std::string& body) {
  if (!Chance(rng_, faults().no_length)) {
    return FinishAttempt(peer, record, AttemptOutcome::kServed, HttpReply(200, "", body));
  }
  const bool complete = Chance(rng_, 0.5);
  const std::uint64_t id = peer.id;
  const std::string text = "HTTP/1.1 200 OK\r\n\r\n" + (complete ? body : body.substr(0, body.size() / 2));
  FinishAttempt(peer, record, complete ? AttemptOutcome::kServed : AttemptOutcome::kMalformed, text);
  AttemptRecord& attempt_record = world_.record().attempts[record];
  attempt_record.no_length = complete && attempt_record.outcome == AttemptOutcome::kServed;
  EndWhenWritten(id, complete);
}

void Origin::EndWhenWritten(std::uint64_t id, bool in_order) {
  loop().deadlines().Set(loop().Now() + std::chrono::milliseconds(2), [this, id, in_order] {
    Peer* peer = FindPeer(id);
    if (peer == nullptr) return;
    if (!in_order) return Close(*peer, true);
    if (evbuffer_get_length(bufferevent_get_output(peer->buffer.get())) != 0)
      return EndWhenWritten(id, true);
    ::shutdown(bufferevent_getfd(peer->buffer.get()), SHUT_WR);
  });
}

void Origin::OnWorkDone(Peer& peer, const Attempt& attempt) {
  AttemptRecord& attempt_record = world_.record().attempts[attempt.record];
  const Pending pending = std::move(pending_[attempt.record]);
  pending_.erase(attempt.record);
  if (!attempt_record.write) {
    world_.StoreFetched(attempt_record.request, attempt.key);
    const std::string value =
        MakeValue(attempt_record.request, attempt_record.serial, SizeOf(world_.scenario(), attempt.key));
    return Reply(peer, attempt.record, value);
  }
  const ClassPlan& plan = world_.scenario().classes[pending.request_class];
  const Time now = loop().Now();
  bool repeat = false;
  if (plan.repeats == Repeats::kKeyed && !pending.write_key.empty()) {
    const auto [it, fresh] = applied_keyed_.emplace(pending.write_key, now);
    repeat = !fresh && now - it->second <= plan.window;
    if (!repeat) it->second = now;
  }
  if (!repeat) {
    attempt_record.applied = true;
    world_.DropCopies(attempt.key);
  }
  Reply(peer, attempt.record, "r" + std::to_string(attempt_record.serial));
}

}  // namespace brasswood::lab
