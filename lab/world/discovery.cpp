#include "lab/world/discovery.h"

#include <algorithm>

#include "lab/world/world.h"

namespace brasswood::lab {
namespace {

constexpr std::size_t kPieces = 20;  // pieces of an answer that is written slowly
constexpr std::string_view kStates[] = {"in_service", "terminating", "terminated"};

}  // namespace

Discovery::Discovery(World& world, int routers)
    : Server(world.loop(), routers, world.scenario().seed),
      world_(world),
      rng_(MakeRng(Mix(world.scenario().seed * 191), Stream::kFaults)) {}

std::string Discovery::FormatList(const std::vector<ListLine>& lines, std::int64_t rev, std::int64_t since,
                                  bool full_list, int router) {
  std::string out = R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (full_list ? "true" : "false") +
                    R"(,"targets":[)";
  bool first = true;
  for (const ListLine& line : lines) {
    if (full_list ? line.terminated : line.rev <= since) continue;
    out += first ? "" : ",";
    first = false;
    out += line.before;
    out += EndpointOf(line.port, router);
    out += line.after;
  }
  return out + "]}";
}

void Discovery::SetState(int server, ServiceState state) {
  const Time now = loop().Now();
  visible_at_ = std::max(visible_at_, now + faults_.update_lag);
  if (visible_at_ <= now) return ApplyState(server, state);
  loop().deadlines().Set(visible_at_, [this, server, state] { ApplyState(server, state); });
}

void Discovery::ApplyState(int server, ServiceState state) {
  ++rev_;
  const auto it =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& e) { return e.server == server; });
  const auto n = static_cast<std::size_t>(it - entries_.begin());
  if (it == entries_.end()) {
    entries_.emplace_back();
    lines_.emplace_back();
  }
  entries_[n] = {server, state, rev_};
  const ServerRecord& server_record = world_.record().servers[static_cast<std::size_t>(server)];
  const auto boot =
      std::chrono::duration_cast<std::chrono::milliseconds>(server_record.capacity.started).count();
  lines_[n] = {
      rev_, state == ServiceState::kTerminated, world_.PortOf(server),
      R"({"uid":")" + server_record.uid + R"(","endpoint":")",
      R"(","az":")" + world_.scenario().halls[static_cast<std::size_t>(server_record.hall)] +
          R"(","model":")" + server_record.kind + R"(","pod_group":0,"state":")" +
          std::string(kStates[static_cast<std::size_t>(state)]) + R"(","capacity_hint":)" +
          std::to_string(world_.scenario().discovery.states_size ? server_record.capacity.full : 1.0) +
          R"(,"boot_ms":)" + std::to_string(boot) + "}"};
  // All waiting callers are answered now; the text of a change differs only in the endpoints.
  std::vector<Watch> watches;
  watches.swap(watches_);
  for (Watch& w : watches) {
    loop().deadlines().Cancel(w.deadline);
    if (Peer* peer = FindPeer(w.peer)) SendList(*peer, w.since, false);
  }
}

// Whether the call rate limit admits a call: so many a second, with bursts of up to a tenth of that.
bool Discovery::AdmitCall() {
  const double rate = world_.scenario().discovery.calls;
  if (rate <= 0) return true;
  const Time now = loop().Now();
  const double gained = rate * std::chrono::duration<double>(now - tokens_filled_).count();
  call_tokens_ = std::min(std::max(1.0, rate / 10), call_tokens_ + gained);
  tokens_filled_ = now;
  if (call_tokens_ < 1) return false;
  call_tokens_ -= 1;
  return true;
}

void Discovery::SendList(Peer& peer, std::int64_t since, bool full_list) {
  if (!full_list && Chance(rng_, faults_.stale)) {
    return Write(
        peer,
        HttpReply(200, "", R"({"rev":)" + std::to_string(since - 1) + R"(,"all":true,"targets":[]})"));
  }
  const std::string text = HttpReply(200, "", ListFor(peer.router, since, full_list));
  if (faults_.answer_delay > Duration(0)) {
    loop().deadlines().Set(loop().Now() + faults_.answer_delay,
                           [this, id = peer.id, since, full_list, text] {
                             if (Peer* at = FindPeer(id)) WriteList(*at, since, full_list, text);
                           });
    return;
  }
  if (faults_.write_time > Duration(0)) return WriteList(peer, since, full_list, text);
  const bool reset = Chance(rng_, faults_.reset), half = reset || Chance(rng_, faults_.truncated);
  const std::string_view written = std::string_view(text).substr(0, half ? text.size() / 2 : text.size());
  if (!half) world_.record().lists.push_back({peer.router, loop().Now(), false});
  Write(peer, written);
  RecordNotices(peer, since, full_list, written);
  if (reset) {
    loop().deadlines().Set(loop().Now() + std::chrono::milliseconds(1), [this, id = peer.id] {
      if (Peer* at = FindPeer(id)) Close(*at, true);
    });
  }
}

void Discovery::WriteList(Peer& peer, std::int64_t since, bool full_list, const std::string& text) {
  world_.record().lists.push_back({peer.router, loop().Now(), false});
  if (faults_.write_time > Duration(0)) {
    return WriteNextPiece({peer.id, since, full_list, text, 0}, faults_.write_time / kPieces);
  }
  Write(peer, text);
  RecordNotices(peer, since, full_list, text);
}

void Discovery::WriteNextPiece(Outgoing out, Duration interval) {
  Peer* const peer = FindPeer(out.peer);
  if (peer == nullptr) return;
  const std::string piece = out.text.substr(out.written, out.text.size() / kPieces + 1);
  out.written += piece.size();
  Write(*peer, piece);
  RecordNotices(*peer, out.since, out.full_list, std::string_view(out.text).substr(0, out.written));
  if (out.written >= out.text.size()) return;
  loop().deadlines().Set(loop().Now() + interval, [this, out, interval] { WriteNextPiece(out, interval); });
}

void Discovery::RecordNotices(const Peer& peer, std::int64_t since, bool full_list,
                              std::string_view written) {
  for (std::size_t n = 0; n < entries_.size(); ++n) {
    const Entry& e = entries_[n];
    if (e.state == ServiceState::kInService || (!full_list && e.rev <= since)) continue;
    const std::string entry = lines_[n].before + EndpointOf(lines_[n].port, peer.router) + lines_[n].after;
    if (written.find(entry) == written.npos) continue;
    world_.record().removal_notices.push_back({peer.router, e.server, loop().Now(), false});
  }
}

void Discovery::OnData(Peer& peer) {
  const std::uint64_t id = peer.id;
  HttpRequest request;
  while (TakeRequest(id, request)) {
    if (request.path != "/api/targets") {
      Write(peer, HttpReply(404, "", ""));
      continue;
    }
    if (!AdmitCall() || Chance(rng_, faults_.busy)) {
      world_.record().lists.push_back({peer.router, loop().Now(), true});
      Write(peer, HttpReply(503, "", ""));
      continue;
    }
    if (Chance(rng_, faults_.unanswered)) continue;
    ScheduleCall(id, request);
  }
}

void Discovery::ScheduleCall(std::uint64_t id, const HttpRequest& request) {
  if (faults_.call_time == Duration(0)) return Serve(id, request);
  const Time from = faults_.one_at_a_time ? std::max(earlier_calls_served_, loop().Now()) : loop().Now();
  const Time served = from + faults_.call_time;
  if (faults_.one_at_a_time) earlier_calls_served_ = served;
  loop().deadlines().Set(served, [this, id, request] { Serve(id, request); });
}

void Discovery::Serve(std::uint64_t id, const HttpRequest& request) {
  Peer* const caller = FindPeer(id);
  if (caller == nullptr) return;
  Peer& peer = *caller;
  constexpr auto kNone = static_cast<std::uint64_t>(-1);
  const std::uint64_t since = QueryNumber(request.query, "since", kNone);
  if (since == kNone || static_cast<std::int64_t>(since) > rev_) {
    SendList(peer, 0, true);
  } else if (static_cast<std::int64_t>(since) < rev_) {
    SendList(peer, static_cast<std::int64_t>(since), false);
  } else {
    const std::uint64_t wait = std::min<std::uint64_t>(60000, QueryNumber(request.query, "timeout_ms", 0));
    Watch watch{id, static_cast<std::int64_t>(since), {}};
    watch.deadline = loop().deadlines().Set(loop().Now() + std::chrono::milliseconds(wait), [this, id] {
      const auto it =
          std::find_if(watches_.begin(), watches_.end(), [id](const Watch& w) { return w.peer == id; });
      if (it == watches_.end()) return;
      const std::int64_t since_then = it->since;
      watches_.erase(it);
      if (Peer* at = FindPeer(id)) SendList(*at, since_then, false);
    });
    watches_.push_back(watch);
  }
}

void Discovery::OnClosed(Peer& peer, bool) {
  std::erase_if(watches_, [&](Watch& w) {
    if (w.peer != peer.id) return false;
    loop().deadlines().Cancel(w.deadline);
    return true;
  });
}

}  // namespace brasswood::lab
