#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "net/startup.h"

namespace brasswood {

namespace {

event_base* MakeBase(bool precise) {
  event_config* config = event_config_new();
  if (precise) event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

}  // namespace

Loop::Loop(bool precise) : base_(MakeBase(precise)) {
  if (!base_) throw StartError("cannot create an event loop", errno);
  timer_.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* self) {
        auto* loop = static_cast<Loop*>(self);
        loop->RecordPollReturn();
        loop->RunDeadlines();
      },
      this));
  if (!timer_) throw StartError("cannot create a timer", ENOMEM);
  deadlines_.OnEarlier([this] { ArmTimer(); });
}

// Runs one iteration at a time, so that the time at which each poll begins is known.
void Loop::Run() {
  while (!stopped_) {
    polls_.PollStarted(Now(), deadlines_.Next());
    if (event_base_loop(base_.get(), EVLOOP_ONCE) != 0) return;
  }
}

// libevent caches the time at which its poll returned, on its own clock, so only the time elapsed since
// then is used. The clamp guards against a step of the wall clock, which libevent's clock follows, between
// the two readings.
Time Loop::PollReturned() {
  timeval cached{}, current{};
  event_base_gettimeofday_cached(base_.get(), &cached);
  event_base_update_cache_time(base_.get());
  event_base_gettimeofday_cached(base_.get(), &current);
  const Duration since = std::chrono::seconds(current.tv_sec - cached.tv_sec) +
                         std::chrono::microseconds(current.tv_usec - cached.tv_usec);
  const Time now = Now();
  return now - std::clamp(since, Duration(0), std::max(Duration(0), now - polls_.started()));
}

// Guards against deadlines that act on outdated state: if the process was stopped, answers and closes may
// be unread, and a poll that SIGSTOP interrupted reports none of them. Overdue deadlines are therefore
// deferred by one iteration, in which everything readable is read first.
void Loop::RunDeadlines() {
  constexpr std::chrono::milliseconds kOverdue(10);
  const auto next = deadlines_.Next();
  const bool overdue = next && Now() - *next > kOverdue;
  if (overdue && !std::exchange(deferred_, true)) {
    const timeval immediately{};
    event_add(timer_.get(), &immediately);
    return;
  }
  deferred_ = false;
  deadlines_.RunDue(Now());
  ArmTimer();
}

void Loop::ArmTimer() {
  const auto next = deadlines_.Next();
  if (!next) return;
  // Rounded up, so that the timer never fires before its deadline and causes a busy loop.
  const auto us = std::max<std::int64_t>(0, ((*next - Now()).count() + 999) / 1000);
  const timeval wait{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
  event_add(timer_.get(), &wait);
}

void Loop::OnSignal(int number, std::function<void()> call) {
  auto signal = std::make_unique<Signal>();
  signal->loop = this;
  signal->call = std::move(call);
  signal->event.reset(evsignal_new(
      base_.get(), number,
      [](evutil_socket_t, short, void* s) {
        static_cast<Signal*>(s)->loop->RecordPollReturn();
        static_cast<Signal*>(s)->call();
      },
      signal.get()));
  if (!signal->event || event_add(signal->event.get(), nullptr) != 0) {
    throw StartError("cannot install a signal handler", errno);
  }
  signals_.push_back(std::move(signal));
}

}  // namespace brasswood
