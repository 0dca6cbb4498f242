#include "net/discovery_watch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "base/log.h"
#include "protocol/address.h"
#include "protocol/discovery.h"
#include "protocol/http.h"

namespace brasswood {

DiscoveryWatch::DiscoveryWatch(Loop& loop, Engine& engine, const Limits& limits, const Names& names,
                               std::string address, std::int64_t known, double phase)
    : loop_(loop),
      engine_(engine),
      limits_(limits),
      names_(names),
      address_(std::move(address)),
      phase_(phase) {
  if (known >= 0) rev_ = known;
}

// Like every other call of the engine's, these answer later, never from inside.
void DiscoveryWatch::Follow(bool on) {
  following_ = on;
  if (on && !calling_) Call();
}
void DiscoveryWatch::FetchAll() {
  fetch_ = true;
  if (calling_) {  // the watch makes way: its answer would be part of the whole list anyway
    buffer_.reset();
    calling_ = false;
  }
  Call();
}

// Guards against waiting for the old service to fail: what the new one tells counts as told within seconds,
// whatever call is out. Versions are the old service's own, so the whole list comes first. Where no watch
// was up (the module is about to ask again) this begins one, and the module's own asking finds it begun.
void DiscoveryWatch::MoveTo(const std::string& address) {
  if (address == address_ && calling_) return;
  address_ = address;
  buffer_.reset();
  rev_.reset();
  anew_ = false;
  following_ = true;
  Call();
}

// A call that need not wait shows at once whether discovery hears this router: the first one after silence,
// or of a process with kept state.
bool DiscoveryWatch::Waits() const { return !fetch_ && rev_.has_value() && !ask_first_ && !anew_; }

// Routers that began together would be answered, and found forsaken, together.
Duration DiscoveryWatch::Wait() const {
  return Waits() ? limits_.watch - std::chrono::duration_cast<Duration>(phase_ * limits_.watch_spread)
                 : Duration(0);
}

void DiscoveryWatch::Call() {
  calling_ = true;
  begun_ = false;
  if (buffer_) {
    AwaitAnswer();
  } else {
    Connect();
  }
  if (!buffer_) return CallAgainSoon();
  lacks_ = 0;
  const std::string text = WriteGet(address_, ListPath(fetch_ ? std::nullopt : rev_, Wait()));
  bufferevent_write(buffer_.get(), text.data(), text.size());
}

// Guards against news unheard for a lack of this router's own (no descriptor, no route for a moment):
// unlike a refusal it costs discovery nothing to try again, and nothing is to be spread. A lack that lasts
// is told to the module like a refusal, later, and not from inside its own action.
void DiscoveryWatch::CallAgainSoon() {
  constexpr int kMostLacks = 20;
  constexpr std::chrono::milliseconds kPause(50);
  if (++lacks_ > kMostLacks) {
    lacks_ = 0;
    return Await(Duration(0), "cannot connect");
  }
  if (lacks_ == 1) LogLine(Level::kWarn) << "discovery: cannot connect, tried again";
  After(kPause, [this] { Call(); });
}

// Runs `then` after that time, in place of whatever the call waited for.
void DiscoveryWatch::After(Duration wait, std::function<void()> then) {
  loop_.deadlines().Drop(deadline_);
  deadline_ = loop_.deadlines().Set(loop_.Now() + wait, [this, run = std::move(then)] {
    deadline_ = {};
    run();
  });
}

void DiscoveryWatch::Await(Duration most, const char* what) {
  After(most, [this, what] { Refuse(what); });
}

// Its own limit: a discovery that has fallen silent keeps the connection open and never answers.
void DiscoveryWatch::AwaitAnswer() {
  if (!Waits()) return Await(limits_.call_answer, "no answer in time");
  After(Wait() + limits_.call_grace, [this] { Silent(); });
}

void DiscoveryWatch::Connect() {
  const auto to = ParseAddress(address_);
  buffer_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!to || !buffer_) return;
  bufferevent_setcb(
      buffer_.get(), [](bufferevent*, void* self) { static_cast<DiscoveryWatch*>(self)->OnRead(); },
      nullptr,
      [](bufferevent*, short what, void* self) {
        auto* watch = static_cast<DiscoveryWatch*>(self);
        if (what & BEV_EVENT_CONNECTED) return watch->AwaitAnswer();
        // An orderly close ends an answer that states no length.
        if ((what & BEV_EVENT_EOF) && watch->TakeAnswer(InputEnd::kClosed) != Parsed::kMore) return;
        watch->Lost("connection lost");
      },
      this);
  bufferevent_setwatermark(buffer_.get(), EV_READ, 0, limits_.list + limits_.http_head);
  bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(buffer_.get(), reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0) {
    buffer_.reset();
    return;
  }
  // Guards against a connection that never comes up costing the time of a whole watch.
  Await(limits_.call_up, "no connection in time");
  const int on = 1;
  setsockopt(bufferevent_getfd(buffer_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void DiscoveryWatch::OnRead() {
  if (TakeAnswer(InputEnd::kOpen) != Parsed::kMore) return;
  // Guards against an answer that stops half way: once begun, it is whole soon.
  if (std::exchange(begun_, true)) return;
  After(limits_.call_answer, [this] { Lost("an answer that stops half way"); });
}

// kMore: it is not whole yet, and nothing has changed. Otherwise the call has ended, in one way or another.
Parsed DiscoveryWatch::TakeAnswer(InputEnd input) {
  std::size_t used = 0;
  HttpAnswer answer;
  const Parsed got = ParseHttpAnswer(Gathered(buffer_.get()), limits_.list, limits_, input, used, answer);
  if (got == Parsed::kMore) return got;
  if (got == Parsed::kBad || !calling_) {
    Refuse("a bad answer");
    return got;
  }
  TakeList(std::move(answer), used, input);
  return got;
}

void DiscoveryWatch::TakeList(HttpAnswer answer, std::size_t used, InputEnd input) {
  const Time arrived = loop_.Arrived();
  evbuffer* in = bufferevent_get_input(buffer_.get());
  evbuffer_drain(in, used);
  // Guards against what comes beyond an answer, which would pass for the start of the next one.
  if (!answer.keep || input == InputEnd::kClosed || evbuffer_get_length(in) != 0) buffer_.reset();
  if (answer.status != 200) return Refuse("status " + std::to_string(answer.status));
  std::string why;
  const auto list = ReadServerList(answer.body, names_, limits_, why);
  if (!list) return Refuse("server list refused: " + why);
  // What is older than the list held, where only newer was asked for, does not fit it: a late copy of an
  // earlier answer, or a discovery that has started anew on old state. The whole list is asked for, as the
  // module asks again.
  if (!fetch_ && rev_ && list->rev < *rev_) {
    rev_.reset();
    return Refuse((list->all ? "a list of version " : "changes of version ") + std::to_string(list->rev) +
                  ", older than what is held");
  }
  loop_.deadlines().Drop(deadline_);
  calling_ = false;
  fetch_ = anew_ = ask_first_ = false;
  rev_ = list->rev;
  // The next call goes out before the module sees the news: a watch is kept up only by calling at once.
  if (following_) Call();
  engine_.Told(*list, arrived);
}

// Guards against a list that grows old for nothing: a watch that says no word any more is broken, and what
// it misses binds all the same, so it is opened anew at once. A refusal is another thing: there discovery
// is short of room, and the module spreads the next calls. So is silence twice in a row: the call that
// opens it anew does not wait.
void DiscoveryWatch::Silent() {
  LogLine(Level::kWarn) << "discovery: the watch fell silent, opened anew";
  buffer_.reset();
  anew_ = true;
  Call();
}

// Guards against news that is lost on its way: what discovery has written counts as told. A watch that
// broke is opened anew at once, each router's a little apart, as discovery may have lost them all. Where
// that call fails, too, it is a refusal like others.
void DiscoveryWatch::Lost(const char* why) {
  if (!calling_ || !Waits()) return Refuse(why);
  LogLine(Level::kWarn) << "discovery: " << why << ", the watch is opened anew";
  buffer_.reset();
  anew_ = true;
  const auto apart = std::chrono::duration_cast<Duration>(phase_ * limits_.watch_spread / 2);
  After(apart, [this] { Call(); });
}

void DiscoveryWatch::Refuse(const std::string& why) {
  LogLine(Level::kWarn) << "discovery: " << why;
  loop_.deadlines().Drop(deadline_);
  buffer_.reset();
  const bool asked = std::exchange(calling_, false);
  fetch_ = anew_ = false;
  following_ = false;  // the module asks again when it sees fit
  if (asked) engine_.ListRefused();
}

}  // namespace brasswood
