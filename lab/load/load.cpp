#include "lab/load/load.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <stdexcept>

#include "lab/base/plan.h"
#include "lab/load/answer.h"
#include "protocol/address.h"

namespace brasswood::lab {
namespace {

constexpr std::string_view kReadyProbe = "mn\r\n";

// A client waits this much longer than the deadline it states, so that a late answer is recorded as late.
constexpr Duration kExtraWait = std::chrono::milliseconds(400);
constexpr int kMaxUnreachable = 3;  // further tries of a request after routers that were unreachable

}  // namespace

Load::Load(const Scenario& scenario, const std::vector<std::string>& routers)
    : scenario_(scenario),
      down_until_(routers.size()),
      weights_(RouterWeights(scenario)),
      schedule_(scenario),
      rng_(MakeRng(scenario.seed, Stream::kClients)),
      idle_(std::max(static_cast<std::size_t>(scenario.load.clients), scenario.halls.size())) {
  for (const std::string& r : routers) {
    const auto at = ParseAddress(r);
    if (!at) throw std::runtime_error("not a router's address: " + r);
    routers_.push_back(*at);
  }
}

Load::~Load() = default;

void Load::Run(Time start) {
  start_ = start;
  next_ = schedule_.Next();
  if (next_) loop_.deadlines().Set(start_ + next_->at, [this] { SendDue(); });
  for (const FaultPlan& f : scenario_.faults) {
    if (f.kind != FaultKind::kFlood && f.kind != FaultKind::kCrowd) continue;
    loop_.deadlines().Set(start_ + f.at, [this, &f] { StartFlood(f); });
  }
  lag_.Start(loop_);
  Tick();
  loop_.Run();
  lag_.Stop();
  truth_.cpu = ThreadCpu();
  std::sort(lateness_.begin(), lateness_.end());
  if (!lateness_.empty()) {
    truth_.late_p999 = lateness_[lateness_.size() - 1 - lateness_.size() / 1000];
    truth_.late_max = std::max(lateness_.back(), lag_.most());
  }
}

LoadRecord Load::TakeRecord() { return std::move(truth_); }

void Load::Tick() {
  const bool over = !next_ && open_intents_ == 0 && loop_.Now() >= start_ + scenario_.length;
  if (stop_ || over) return loop_.Stop();
  loop_.deadlines().Set(loop_.Now() + std::chrono::milliseconds(20), [this] { Tick(); });
}

void Load::SendDue() {
  const Time now = loop_.Now();
  while (next_ && start_ + next_->at <= now) {
    ClientRequest client_request;
    client_request.at = start_ + next_->at;
    client_request.request_class = next_->request_class;
    client_request.tenant = next_->tenant;
    client_request.hall = next_->hall;
    truth_.requests.push_back(client_request);
    states_.push_back({*next_, 0, 0});
    lateness_.push_back(now - client_request.at);
    ++open_intents_;
    StartNextTry(static_cast<std::uint32_t>(truth_.requests.size() - 1));
    next_ = schedule_.Next();
  }
  if (next_) loop_.deadlines().Set(start_ + next_->at, [this] { SendDue(); });
}

// Sends the next try of a client request (`client_request` is its index). The first try has the request id
// from the schedule; each further one, after a failed try or an unreachable router, has an id of its own.
void Load::StartNextTry(std::uint32_t client_request) {
  ClientRequestState& state = states_[client_request];
  const int number = state.tries + state.unreachable;
  StartTry(client_request, number == 0 ? state.arrival.id : Schedule::RetryId(state.arrival.id, number),
           state.tries, false);
}

int Load::PickRouter(int hall) {
  const int first = hall * scenario_.routers.per_hall;
  const int n = std::min(scenario_.routers.per_hall, static_cast<int>(routers_.size()) - first);
  std::vector<int> up;
  double all = 0;
  for (int r = first; r < first + n; ++r) {
    if (down_until_[static_cast<std::size_t>(r)] > loop_.Now()) continue;
    up.push_back(r);
    all += weights_[static_cast<std::size_t>(r)];
  }
  if (up.empty()) return first + static_cast<int>(rng_(static_cast<std::uint32_t>(n)));
  double at = all * static_cast<double>(rng_()) / 4294967296.0;
  for (const int r : up) {
    if ((at -= weights_[static_cast<std::size_t>(r)]) < 0) return r;
  }
  return up.back();
}

void Load::StartTry(std::uint32_t client_request, RequestId id, int number, bool resent) {
  const Arrival& a = states_[client_request].arrival;
  const ClassPlan& plan = scenario_.classes[a.request_class];
  const Duration left = truth_.requests[client_request].at + plan.give_up - loop_.Now();
  TryRecord client_try;
  client_try.id = id;
  client_try.request_index = client_request;
  client_try.number = static_cast<std::uint8_t>(number);
  client_try.resent = resent;
  client_try.timeout =
      std::min(left, Duration(static_cast<std::int64_t>(static_cast<double>(plan.give_up.count()) *
                                                        scenario_.load.try_share)));
  client_try.timeout =
      std::max<Duration>(std::chrono::milliseconds(1), client_try.timeout / 1000000 * 1000000);
  truth_.tries.push_back(client_try);
  const auto try_index = static_cast<long long>(truth_.tries.size() - 1);
  Connection* connection = nullptr;
  auto& idle = idle_[a.client];
  if (!resent && !idle.empty()) {
    connection = connections_.Find(idle.back())->get();
    idle.pop_back();
    loop_.deadlines().Cancel(connection->deadline);
  }
  if (connection != nullptr) {
    connection->try_index = try_index;
    WriteTry(*connection);
    return;
  }
  const int router = PickRouter(a.hall);
  truth_.tries.back().router = static_cast<std::int16_t>(router);
  connection = Open(router, a.client, false);
  if (connection == nullptr) {  // refused at once, or this process has no file descriptor left
    truth_.tries.back().outcome = TryOutcome::kUnreachable;
    truth_.tries.back().ended = loop_.Now();
    loop_.deadlines().Set(loop_.Now(), [this, try_index] {
      RetryOrFinish(truth_.tries[static_cast<std::size_t>(try_index)]);
    });
    return;
  }
  connection->try_index = try_index;
  connection->deadline =
      loop_.deadlines().Set(loop_.Now() + client_try.timeout, [this, conn = connection->id] {
        Connection& at = **connections_.Find(conn);
        at.deadline = {};
        EndTry(at, TryOutcome::kUnreachable);
      });
}

Load::Connection* Load::Open(int router, std::uint32_t client, bool flood) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  // Clients connect from 127.0.1.x, a flood from 127.0.2.1.
  sockaddr_in from{};
  from.sin_family = AF_INET;
  const std::uint32_t last =
      flood ? 0x7f000201u : 0x7f000101u + client % static_cast<std::uint32_t>(scenario_.load.sources);
  from.sin_addr.s_addr = htonl(last);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  (void)!::bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof from);
  auto owned = std::make_unique<Connection>();
  Connection& connection = *owned;
  connection.load = this;
  connection.router = router;
  connection.client = client;
  connection.flood = flood;
  connection.buffer.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  connection.id = connections_.Add(std::move(owned));
  bufferevent_setcb(
      connection.buffer.get(),
      [](bufferevent*, void* p) {
        auto* at = static_cast<Connection*>(p);
        at->load->OnRead(*at);
      },
      nullptr,
      [](bufferevent*, short what, void* p) {
        auto* at = static_cast<Connection*>(p);
        at->load->OnEvent(*at, what);
      },
      &connection);
  bufferevent_enable(connection.buffer.get(), EV_READ | EV_WRITE);
  const std::uint64_t id = connection.id;
  const sockaddr_in& to = routers_[static_cast<std::size_t>(router)];
  // If the connection was refused at once, OnEvent may have closed and removed it already.
  const bool begun = bufferevent_socket_connect(connection.buffer.get(),
                                                reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  auto* held = connections_.Find(id);
  if (held == nullptr) return nullptr;
  if (!begun) {
    Close(id);
    return nullptr;
  }
  ++(flood ? truth_.flood_connections : truth_.connections);
  return held->get();
}

void Load::WriteTry(Connection& connection) {
  TryRecord& client_try = truth_.tries[static_cast<std::size_t>(connection.try_index)];
  const Arrival& a = states_[client_try.request_index].arrival;
  const ClassPlan& plan = scenario_.classes[a.request_class];
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(client_try.timeout).count();
  std::string labels = " O" + FormatId(client_try.id) + " Pc=" + plan.name +
                       ",t=" + scenario_.tenants[a.tenant].name + ",d=" + std::to_string(ms);
  std::string text = (plan.write ? "ms " : "mg ") + KeyName(a.key);
  if (plan.write) {
    if (plan.repeats == Repeats::kKeyed) labels += ",k=" + FormatId(a.id);
    text += " 5" + labels + "\r\nwrite\r\n";
  } else {
    text += " v" + labels + "\r\n";
  }
  client_try.router = static_cast<std::int16_t>(connection.router);
  client_try.on_reused_connection = connection.reused;
  client_try.sent = loop_.Now();
  ++sent_;
  bufferevent_write(connection.buffer.get(), text.data(), text.size());
  const Duration longest = client_try.timeout + scenario_.rules.answer_slack + kExtraWait;
  connection.deadline = loop_.deadlines().Set(client_try.sent + longest, [this, id = connection.id] {
    Connection& at = **connections_.Find(id);
    at.deadline = {};
    EndTry(at, TryOutcome::kOpen);
  });
  MaybeLeave(connection);
}

// Lets the client leave before the answer, if a fault says so: at a random moment of its wait, also right
// after its last byte.
void Load::MaybeLeave(const Connection& connection) {
  const TryRecord& client_try = truth_.tries[static_cast<std::size_t>(connection.try_index)];
  for (const FaultPlan& f : scenario_.faults) {
    if (f.kind != FaultKind::kLeave || !Active(f, client_try.sent - start_) || !Chance(rng_, f.share))
      continue;
    const double share = Unit(rng_) * Unit(rng_);
    const Time at =
        client_try.sent +
        Duration(static_cast<std::int64_t>(static_cast<double>(client_try.timeout.count()) * share));
    (*connections_.Find(connection.id))->leave_timer =
        loop_.deadlines().Set(at, [this, id = connection.id] {
          Connection& leaving = **connections_.Find(id);
          leaving.leave_timer = {};
          EndTry(leaving, TryOutcome::kLeft);
        });
    return;
  }
}

void Load::OnRead(Connection& connection) {
  if (connection.flood) {
    evbuffer* in = bufferevent_get_input(connection.buffer.get());
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  if (connection.try_index < 0) return Close(connection.id);  // data without a request
  TryRecord& client_try = truth_.tries[static_cast<std::size_t>(connection.try_index)];
  std::size_t used = 0;
  ClientAnswer answer;
  const Parsed got =
      ParseClientAnswer(ContiguousInput(connection.buffer.get()), client_try.id, used, answer);
  if (got == Parsed::kMore) return;
  if (got == Parsed::kDone) evbuffer_drain(bufferevent_get_input(connection.buffer.get()), used);
  client_try.serial = answer.serial;
  client_try.retry_after = answer.retry_after;
  EndTry(connection, got == Parsed::kDone ? answer.end : TryOutcome::kMalformed);
}

void Load::OnEvent(Connection& connection, short what) {
  if (what & BEV_EVENT_CONNECTED) {
    connection.connected = true;
    if (connection.crowd)
      bufferevent_write(connection.buffer.get(), kReadyProbe.data(), kReadyProbe.size());
    if (connection.flood) return;
    loop_.deadlines().Cancel(connection.deadline);
    return WriteTry(connection);
  }
  if (connection.flood) {
    // A connection of a flood is opened again at once when it is closed, one of a crowd after a second.
    const std::chrono::milliseconds away(connection.crowd ? 1000 : 1);
    loop_.deadlines().Set(loop_.Now() + away, [this, router = connection.router, crowd = connection.crowd] {
      OpenFloodConnection(router, crowd);
    });
    Close(connection.id);
    return;
  }
  if (connection.try_index < 0) return Close(connection.id);
  const TryRecord client_try = truth_.tries[static_cast<std::size_t>(connection.try_index)];
  const bool nothing_came = evbuffer_get_length(bufferevent_get_input(connection.buffer.get())) == 0;
  if (connection.connected && connection.reused && nothing_came && !client_try.resent) {
    // A reused connection that closed while the command was in transit: sent again on a new connection.
    TryRecord& closed_try = truth_.tries[static_cast<std::size_t>(connection.try_index)];
    closed_try.outcome = TryOutcome::kClosed;
    closed_try.ended = loop_.Now();
    ++truth_.sent_on_closing;
    Close(connection.id);
    return StartTry(client_try.request_index, client_try.id, client_try.number, true);
  }
  EndTry(connection, connection.connected ? TryOutcome::kClosed : TryOutcome::kUnreachable);
}

// Records the end of the try on this connection, and reuses or closes the connection.
void Load::EndTry(Connection& connection, TryOutcome end) {
  TryRecord& client_try = truth_.tries[static_cast<std::size_t>(connection.try_index)];
  client_try.outcome = end;
  client_try.ended = loop_.Now();
  connection.try_index = -1;
  loop_.deadlines().Cancel(connection.deadline);
  loop_.deadlines().Cancel(connection.leave_timer);
  const TryRecord done = client_try;
  const bool complete = end == TryOutcome::kValue || end == TryOutcome::kReceipt ||
                        end == TryOutcome::kBusy || end == TryOutcome::kFailed || end == TryOutcome::kError;
  if (complete && scenario_.load.pool != Pool::kDrop) {
    KeepConnection(connection);
  } else {
    if (end == TryOutcome::kUnreachable) {
      down_until_[static_cast<std::size_t>(connection.router)] = loop_.Now() + scenario_.load.notice;
    }
    Close(connection.id);
  }
  RetryOrFinish(done);
}

// After a try has ended: sends a further try, now or after a backoff, or ends the client_request.
void Load::RetryOrFinish(const TryRecord& client_try) {
  ClientRequest& client_request = truth_.requests[client_try.request_index];
  ClientRequestState& state = states_[client_try.request_index];
  const ClassPlan& plan = scenario_.classes[client_request.request_class];
  const Time now = loop_.Now();
  const bool served =
      client_try.outcome == TryOutcome::kValue || client_try.outcome == TryOutcome::kReceipt;
  const bool unreachable = client_try.outcome == TryOutcome::kUnreachable;
  bool retry = !served && client_try.outcome != TryOutcome::kLeft;
  if (plan.repeats == Repeats::kNever)
    retry = retry && (client_try.outcome == TryOutcome::kBusy || unreachable);
  if (plan.repeats == Repeats::kKeyed) retry = retry && now < client_request.at + plan.window;
  retry = retry &&
          (unreachable ? ++state.unreachable <= kMaxUnreachable : state.tries < scenario_.load.retries);
  Duration wait{0};
  if (retry && !unreachable) {
    ++state.tries;
    wait = Duration(static_cast<std::int64_t>(static_cast<double>(scenario_.load.backoff.count()) *
                                              (0.5 + Unit(rng_)) * (1 << std::min(state.tries - 1, 10))));
    if (Chance(rng_, scenario_.load.honour)) wait = std::max(wait, client_try.retry_after);
  }
  if (retry && now + wait + std::chrono::milliseconds(2) < client_request.at + plan.give_up) {
    loop_.deadlines().Set(now + wait, [this, n = client_try.request_index] { StartNextTry(n); });
    return;
  }
  client_request.done = true;
  client_request.served = served;
  client_request.ended = now;
  --open_intents_;
  served_ += served;
}

void Load::KeepConnection(Connection& connection) {
  connection.reused = true;
  connection.deadline =
      loop_.deadlines().Set(loop_.Now() + scenario_.load.client_idle, [this, id = connection.id] {
        (*connections_.Find(id))->deadline = {};
        Close(id);
      });
  // With Pool::kHoard connections stay open and are never reused.
  if (scenario_.load.pool == Pool::kKeep) idle_[connection.client].push_back(connection.id);
}

void Load::Close(std::uint64_t id) {
  auto* held = connections_.Find(id);
  if (held == nullptr) return;
  const std::unique_ptr<Connection> connection = std::move(*held);
  connections_.Remove(id);
  loop_.deadlines().Cancel(connection->deadline);
  loop_.deadlines().Cancel(connection->leave_timer);
  std::erase(idle_[connection->client], id);
}

void Load::StartFlood(const FaultPlan& fault) {
  const bool crowd = fault.kind == FaultKind::kCrowd;
  bool& on = crowd ? crowd_on_ : flood_on_;
  on = true;
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    for (int i = 0; i < static_cast<int>(fault.size); ++i) OpenFloodConnection(static_cast<int>(r), crowd);
  }
  loop_.deadlines().Set(start_ + fault.at + fault.length, [this, crowd, &on] {
    on = false;
    std::vector<std::uint64_t> all;
    connections_.Each([&](std::uint64_t id, auto& connection) {
      if (connection->flood && connection->crowd == crowd) all.push_back(id);
    });
    for (const std::uint64_t id : all) Close(id);
  });
}

void Load::OpenFloodConnection(int router, bool crowd) {
  if (crowd ? !crowd_on_ : !flood_on_) return;
  if (Connection* connection = Open(router, 0, true)) connection->crowd = crowd;
}

}  // namespace brasswood::lab
