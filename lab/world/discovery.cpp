#include "lab/world/discovery.h"

#include <algorithm>

#include "lab/world/world.h"

namespace brasswood::lab {
namespace {

constexpr std::string_view kStates[] = {"in_service", "terminating", "terminated"};

}  // namespace

Discovery::Discovery(World& world, int number, int routers)
    : Server(world.loop(), number, routers), world_(world) {}

std::string Discovery::Text(int router, std::int64_t since, bool whole) const {
  std::string out =
      R"({"rev":)" + std::to_string(rev_) + R"(,"all":)" + (whole ? "true" : "false") + R"(,"targets":[)";
  bool first = true;
  for (const Entry& e : entries_) {
    if (whole ? e.state == Listed::kTerminated : e.rev <= since) continue;
    const MachineRecord& m = world_.truth().machines[static_cast<std::size_t>(e.machine)];
    const auto boot = std::chrono::duration_cast<std::chrono::milliseconds>(m.capacity.started).count();
    out += first ? "" : ",";
    first = false;
    out += R"({"uid":")" + m.uid + R"(","endpoint":")" + world_.EndpointOf(e.machine, router) +
           R"(","az":")" + world_.scenario().halls[static_cast<std::size_t>(m.hall)] + R"(","model":")" +
           m.kind + R"(","pod_group":0,"state":")" +
           std::string(kStates[static_cast<std::size_t>(e.state)]) + R"(","capacity_hint":)" +
           std::to_string(m.capacity.full) + R"(,"boot_ms":)" + std::to_string(boot) + "}";
  }
  return out + "]}";
}

std::string Discovery::Whole(int router) const { return Text(router, 0, true); }

void Discovery::List(int machine, Listed state) {
  ++rev_;
  const auto it =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& e) { return e.machine == machine; });
  Entry& entry = it == entries_.end() ? entries_.emplace_back() : *it;
  entry = {machine, state, rev_};
  std::vector<Watch> watches;
  watches.swap(watches_);
  for (Watch& w : watches) {
    loop().deadlines().Drop(w.deadline);
    if (Peer* peer = FindPeer(w.peer)) Tell(*peer, w.since, false);
  }
}

void Discovery::Tell(Peer& peer, std::int64_t since, bool whole) {
  Write(peer, HttpReply(200, "", Text(peer.router, since, whole)));
  for (const Entry& e : entries_) {
    if (e.state == Listed::kInService || (!whole && e.rev <= since)) continue;
    world_.truth().told.push_back({peer.router, e.machine, loop().Now()});
  }
}

void Discovery::OnBytes(Peer& peer) {
  const std::uint64_t id = peer.id;
  HttpRequest request;
  while (TakeRequest(id, request)) {
    if (request.path != "/api/targets") {
      Write(peer, HttpReply(404, "", ""));
      continue;
    }
    constexpr auto kNone = static_cast<std::uint64_t>(-1);
    const std::uint64_t since = QueryNumber(request.query, "since", kNone);
    if (since == kNone || static_cast<std::int64_t>(since) > rev_) {
      Tell(peer, 0, true);
    } else if (static_cast<std::int64_t>(since) < rev_) {
      Tell(peer, static_cast<std::int64_t>(since), false);
    } else {
      const std::uint64_t wait =
          std::min<std::uint64_t>(60000, QueryNumber(request.query, "timeout_ms", 0));
      Watch watch{id, static_cast<std::int64_t>(since), {}};
      watch.deadline = loop().deadlines().Set(loop().Now() + std::chrono::milliseconds(wait), [this, id] {
        const auto it =
            std::find_if(watches_.begin(), watches_.end(), [id](const Watch& w) { return w.peer == id; });
        if (it == watches_.end()) return;
        const std::int64_t since_then = it->since;
        watches_.erase(it);
        if (Peer* at = FindPeer(id)) Tell(*at, since_then, false);
      });
      watches_.push_back(watch);
    }
  }
}

void Discovery::OnGone(Peer& peer, bool) {
  std::erase_if(watches_, [&](Watch& w) {
    if (w.peer != peer.id) return false;
    loop().deadlines().Drop(w.deadline);
    return true;
  });
}

}  // namespace brasswood::lab
