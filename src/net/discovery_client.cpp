#include "net/discovery_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "protocol/address.h"
#include "protocol/discovery.h"
#include "protocol/http.h"

namespace brasswood {
namespace {

RefreshLimits LimitsFor(const Limits& limits, const beechledge::Settings& settings, double phase) {
  const auto part = [phase](Duration whole) { return std::chrono::duration_cast<Duration>(phase * whole); };
  RefreshLimits refresh;
  // Spread by router: otherwise the watches of routers that started together would be answered, and would
  // time out, at the same time.
  refresh.watch = limits.watch_time - part(limits.watch_spread);
  refresh.watch_grace = limits.watch_grace;
  refresh.connect = limits.discovery_connect_timeout;
  refresh.answer = limits.discovery_answer_timeout;
  refresh.drain_grace = settings.rules.drain_grace;
  refresh.reopen_offset = settings.local_list_agent ? Duration(0) : part(limits.watch_spread / 2);
  refresh.agent = settings.local_list_agent;
  return refresh;
}

std::optional<std::int64_t> VersionHeld(std::int64_t known) {
  return known >= 0 ? std::optional<std::int64_t>(known) : std::nullopt;
}

// -1: there is none.
std::int64_t AgeInMs(std::optional<Duration> age) {
  return age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1;
}

const char* NameOf(CallEndReason why) { return kCallEndReasonNames[static_cast<std::size_t>(why)]; }

}  // namespace

DiscoveryClient::Call::Call(DiscoveryClient& owner, const OpenCall& action, Time now)
    : watch(&owner),
      id(action.id),
      answer(owner.limits_.max_list, owner.limits_),
      list(owner.names_, owner.limits_) {
  origin.source = action.source;
  origin.call = action.id;
  origin.since = action.since;
  origin.requested_at = now;
}

DiscoveryClient::DiscoveryClient(Loop& loop, Engine& engine, const Limits& limits,
                                 const ParsedSettings& settings, std::string address, std::int64_t known,
                                 double phase)
    : loop_(loop),
      engine_(engine),
      limits_(limits),
      names_(settings.names),
      started_(loop.Now()),
      drain_grace_(settings.module.rules.drain_grace),
      addresses_{{0, std::move(address)}},
      refresher_(LimitsFor(limits, settings.module, phase), beechledge::ListCallBackoff(settings.module),
                 VersionHeld(known), static_cast<std::uint64_t>(phase * 1e9)) {}

// Like all calls of the engine to its back ends, these must not call the engine back before they return.
void DiscoveryClient::SetWatching(bool on) {
  if (!on) return;
  ListActions actions;
  refresher_.Follow(loop_.Now(), actions);
  ExecuteActions(actions);
}

void DiscoveryClient::RequestWholeList() {
  ListActions actions;
  refresher_.RequestWholeList(loop_.Now(), actions);
  ExecuteActions(actions);
}

void DiscoveryClient::SwitchTo(const std::string& address) {
  const auto known = std::find_if(addresses_.begin(), addresses_.end(),
                                  [&](const auto& source) { return source.second == address; });
  const SourceId source = known == addresses_.end() ? ++last_source_ : known->first;
  addresses_[source] = address;
  ListActions actions;
  refresher_.Move(loop_.Now(), source, actions);
  ExecuteActions(actions);
  std::erase_if(addresses_, [this](const auto& named) {
    const SourceId source_of = named.first;
    return source_of != refresher_.current() && source_of != refresher_.target() &&
           !refresher_.HasCallTo(source_of);
  });
}

// ---- Actions ----

void DiscoveryClient::ExecuteActions(ListActions actions) {
  while (!actions.empty()) {
    for (const ListAction& action : std::exchange(actions, {})) {
      std::visit([this](const auto& a) { Execute(a); }, action);
    }
    for (const CallId id : std::exchange(failed_connects_, {})) {
      ++counters_.ended[static_cast<std::size_t>(CallEndReason::kNoDescriptor)];
      refresher_.Failed(loop_.Now(), id, CallEndReason::kNoDescriptor, actions);
    }
  }
  reusable_.reset();
  SetTimer();
}

void DiscoveryClient::Execute(const OpenCall& action) {
  auto call = std::make_unique<Call>(*this, action, loop_.Now());
  if (action.reuse != 0 && action.reuse == reusable_call_ && reusable_) {
    call->buffer = std::move(reusable_);
    call->connected = true;
    SetCallbacks(*call);
    refresher_.Connected(loop_.Now(), action.id);
  } else if (!Connect(*call)) {
    if (!std::exchange(connect_failing_, true))
      LogLine(Level::kWarn) << "discovery: cannot connect, tried again";
    failed_connects_.push_back(action.id);
    return;
  }
  connect_failing_ = false;
  ++counters_.calls;
  const std::string& address = addresses_.at(action.source);
  const std::string path = ListPath(action.since, action.wait);
  LogLine(Level::kDebug) << "discovery: call " << action.id << " to " << address << ": " << path;
  const std::string text = WriteGet(address, path);
  bufferevent_write(call->buffer.get(), text.data(), text.size());
  calls_[action.id] = std::move(call);
}

void DiscoveryClient::Execute(const CloseCall& action) {
  ++counters_.ended[static_cast<std::size_t>(action.reason)];
  const auto call = calls_.find(action.id);
  if (call == calls_.end()) return;
  const SourceId source = call->second->origin.source;
  calls_.erase(call);
  if (action.reason == CallEndReason::kReplaced || action.reason == CallEndReason::kMoved) {
    LogLine(Level::kDebug) << "discovery: call " << action.id << ' ' << NameOf(action.reason);
  } else {
    LogFailure(action.id, source, NameOf(action.reason));
  }
}

void DiscoveryClient::Execute(const StateChanged& action) {
  const auto age = ListAge();
  LogLine line(Level::kInfo);
  line << "discovery: list " << kListStateNames[static_cast<std::size_t>(action.from)] << " -> "
       << kListStateNames[static_cast<std::size_t>(action.to)] << " (" << NameOf(action.reason) << ")";
  if (age) line << ", age " << AgeInMs(age) << " ms";
}

void DiscoveryClient::SetTimer() {
  loop_.deadlines().Cancel(deadline_);
  const Time next = refresher_.Next();
  if (next == Time::max()) return;
  deadline_ = loop_.deadlines().Set(next, [this] {
    deadline_ = {};
    ListActions actions;
    refresher_.Wake(loop_.Now(), actions);
    ExecuteActions(actions);
  });
}

// ---- Connections ----

// Returns false if no connection can be attempted now (no descriptor, no route).
bool DiscoveryClient::Connect(Call& call) {
  const auto to = ParseAddress(addresses_.at(call.origin.source));
  call.buffer.reset(
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!to || !call.buffer) return false;
  bufferevent* const buffer = call.buffer.get();
  SetCallbacks(call);
  bufferevent_setwatermark(buffer, EV_READ, 0, limits_.max_list + limits_.max_http_head);
  bufferevent_enable(buffer, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(buffer, reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0)
    return false;
  ++counters_.connections;
  const int on = 1;
  setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return true;
}

void DiscoveryClient::SetCallbacks(Call& call) {
  bufferevent_setcb(
      call.buffer.get(),
      [](bufferevent*, void* at) {
        const Call& c = *static_cast<Call*>(at);
        c.watch->OnRead(c.id);
      },
      nullptr,
      [](bufferevent*, short what, void* at) {
        const Call& c = *static_cast<Call*>(at);
        c.watch->OnEvent(c.id, what);
      },
      &call);
}

void DiscoveryClient::OnRead(CallId id) {
  Call& call = *calls_.at(id);
  // A deferred callback of the previous call on the same connection finds no input.
  if (evbuffer_get_length(bufferevent_get_input(call.buffer.get())) == 0) return;
  call.first_byte_at = std::min(call.first_byte_at, loop_.EarliestArrival());
  if (HandleAnswer(call, InputEnd::kOpen) != Parsed::kMore) return;
  refresher_.Progress(loop_.Now(), id);
  SetTimer();
}

void DiscoveryClient::OnEvent(CallId id, short what) {
  if (what & BEV_EVENT_CONNECTED) {
    refresher_.Connected(loop_.Now(), id);
    calls_.at(id)->connected = true;
    return SetTimer();
  }
  // An orderly close ends an answer that states no length.
  if ((what & BEV_EVENT_EOF) && HandleAnswer(*calls_.at(id), InputEnd::kClosed) != Parsed::kMore) return;
  const bool connected = calls_.at(id)->connected;
  Fail(id, connected ? CallEndReason::kBroken : CallEndReason::kNotConnected);
}

// ---- Answers ----

// kMore: the answer is not complete yet. Otherwise the call has ended, successfully or not.
Parsed DiscoveryClient::HandleAnswer(Call& call, InputEnd input) {
  evbuffer* const in = bufferevent_get_input(call.buffer.get());
  Parsed got = call.answer.Feed(ContiguousInput(call.buffer.get()));
  evbuffer_drain(in, evbuffer_get_length(in));
  if (got == Parsed::kMore && input == InputEnd::kClosed) got = call.answer.End();
  if (got == Parsed::kMore) {
    HandleEntries(call);
  } else if (got == Parsed::kBad) {
    Fail(call.id, CallEndReason::kBadAnswer);
  } else {
    // Guards against bytes after an answer, which would be parsed as the start of the next one.
    const bool keep =
        call.answer.answer().keep_alive && input != InputEnd::kClosed && call.answer.surplus() == 0;
    HandleList(call, keep);
  }
  return got;
}

// The source and the times of the data just received for this call. The whole answer may have been written
// when its first byte was, so that time counts. If the answer may have been written long before it arrived,
// it is dated back by half the drain's grace period, so that a drain in it has no grace left.
ListOrigin DiscoveryClient::CurrentOrigin(const Call& call) const {
  ListOrigin origin = call.origin;
  origin.received_at = loop_.EarliestArrival();
  origin.notified_at = refresher_.AnswerIsFresh(call.id) ? std::min(origin.received_at, call.first_byte_at)
                                                         : loop_.Now() - drain_grace_ / 2;
  return origin;
}

// Applies the list entries (one for each server) that have been received completely, before the answer is
// complete. Guards against a drain, by which a server leaves service, that is applied late because the
// rest of the answer arrives slowly: meanwhile the router would continue to send requests to that server.
void DiscoveryClient::HandleEntries(Call& call) {
  if (call.answer.answer().status != 200) return;
  call.list.Feed(call.answer.answer().body);
  const auto part = call.list.TakeCompletedEntries();
  if (!part) return;
  counters_.partial += !std::exchange(call.partially_used, true);
  engine_.PartialListReceived(*part, CurrentOrigin(call));
}

void DiscoveryClient::HandleList(Call& call, bool keep) {
  const CallId id = call.id;
  const HttpAnswer answer = call.answer.TakeAnswer();
  if (answer.status != 200)
    return Fail(id, CallEndReason::kRefused, "status " + std::to_string(answer.status));
  std::string why;
  const auto list = ReadServerList(answer.body, names_, limits_, why);
  if (!list) return Fail(id, CallEndReason::kBadAnswer, "server list refused: " + why);
  const ListOrigin origin = CurrentOrigin(call);
  const ListVerdict verdict = engine_.directory().Classify(*list, origin);
  if (verdict != ListVerdict::kApplied && verdict != ListVerdict::kRestartApplied) {
    const std::string received =
        (list->is_whole ? "a list of version " : "changes of version ") + std::to_string(list->version);
    if (verdict == ListVerdict::kNoBase) {
      Fail(id, CallEndReason::kNoBase, received + ", asked for from a version that is not held");
    } else {
      Fail(id, CallEndReason::kOlderList, received + ", older than what is held");
    }
    engine_.ListReceived(*list, origin);
    return;
  }
  ++counters_.ended[static_cast<std::size_t>(CallEndReason::kAnswered)];
  counters_.consecutive_failures = 0;
  if (keep) reusable_ = std::move(call.buffer);
  reusable_call_ = id;
  calls_.erase(id);
  ListActions actions;
  refresher_.Answered(loop_.Now(), id, list->version, actions);
  // The next call is sent before the engine applies the list: a watch stays open without a gap only if it
  // is called again at once.
  ExecuteActions(actions);
  engine_.ListReceived(*list, origin);
}

void DiscoveryClient::Fail(CallId id, CallEndReason why, const std::string& detail) {
  const SourceId source = calls_.at(id)->origin.source;
  ++counters_.ended[static_cast<std::size_t>(why)];
  calls_.erase(id);
  LogFailure(id, source, detail.empty() ? NameOf(why) : detail);
  engine_.ListCallFailed();
  ListActions actions;
  refresher_.Failed(loop_.Now(), id, why, actions);
  ExecuteActions(actions);
}

void DiscoveryClient::LogFailure(CallId id, SourceId source, const std::string& reason) {
  counters_.max_consecutive_failures =
      std::max(counters_.max_consecutive_failures, ++counters_.consecutive_failures);
  const auto age = ListAge();
  LogLine(Level::kWarn) << "discovery: call " << id << " to " << addresses_.at(source) << ": " << reason
                        << "; failed calls in a row: " << counters_.consecutive_failures << ", no news for "
                        << AgeInMs(age ? *age : loop_.Now() - started_)
                        << " ms, other calls out: " << calls_.size();
}

std::ostream& operator<<(std::ostream& out, const DiscoveryClient& watch) {
  const DiscoveryCounters& c = watch.counters();
  out << "discovery: state=" << kListStateNames[static_cast<std::size_t>(watch.state())]
      << " list_age_ms=" << AgeInMs(watch.ListAge()) << " calls=" << c.calls
      << " connections=" << c.connections << " partial=" << c.partial
      << " most_failed_in_a_row=" << c.max_consecutive_failures;
  for (std::size_t i = 0; i < c.ended.size(); ++i) {
    std::string name = kCallEndReasonNames[i];
    std::replace(name.begin(), name.end(), ' ', '_');
    out << ' ' << name << '=' << c.ended[i];
  }
  return out;
}

}  // namespace brasswood
