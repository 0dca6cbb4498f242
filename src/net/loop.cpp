#include "net/loop.h"

#include <algorithm>
#include <stdexcept>

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
  if (!base_) throw std::runtime_error("cannot make an event loop");
  timer_.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* self) {
        auto* loop = static_cast<Loop*>(self);
        loop->deadlines_.Run(loop->Now());
        loop->Arm();
      },
      this));
  if (!timer_) throw std::runtime_error("cannot make a timer");
  deadlines_.OnEarlier([this] { Arm(); });
}

void Loop::Arm() {
  const auto next = deadlines_.Next();
  if (!next) return;
  // Rounded up, so that the timer never fires short of its deadline and spins.
  const auto us = std::max<std::int64_t>(0, ((*next - Now()).count() + 999) / 1000);
  const timeval wait{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
  event_add(timer_.get(), &wait);
}

void Loop::OnSignal(int number, std::function<void()> call) {
  auto signal = std::make_unique<Signal>();
  signal->call = std::move(call);
  signal->event.reset(evsignal_new(
      base_.get(), number, [](evutil_socket_t, short, void* s) { static_cast<Signal*>(s)->call(); },
      signal.get()));
  event_add(signal->event.get(), nullptr);
  signals_.push_back(std::move(signal));
}

}  // namespace brasswood
