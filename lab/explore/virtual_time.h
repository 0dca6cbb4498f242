// Virtual time for the explorations, and a driver that runs a ListCaller in it.
#ifndef BRASSWOOD_LAB_EXPLORE_VIRTUAL_TIME_H_
#define BRASSWOOD_LAB_EXPLORE_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "lab/explore/list_caller.h"

namespace brasswood::lab {

// Runs events in the order of their times. Events of the same time run in the order in which they were set.
class VirtualTime {
 public:
  Time now() const { return now_; }
  void At(Time at, std::function<void()> run) {
    events_.emplace(std::pair(at, ++last_sequence_), std::move(run));
  }
  // Runs the next event. Returns false if there is none before `end`.
  bool PlayNext(Time end) {
    if (events_.empty() || events_.begin()->first.first >= end) return false;
    now_ = events_.begin()->first.first;
    const auto run = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    run();
    return true;
  }

 private:
  Time now_{0};
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t last_sequence_ = 0;
};

// Passes events to a caller and its actions to the simulated network, and wakes the caller on time.
class CallerDriver {
 public:
  struct Network {
    std::function<void(const OpenCall&)> open;
    std::function<void(const CloseCall&)> close;
  };
  using Event = std::function<void(ListCaller&, ListActions&)>;

  CallerDriver(VirtualTime& time, std::unique_ptr<ListCaller> caller, Network network)
      : time_(time), caller_(std::move(caller)), network_(std::move(network)) {}
  CallerDriver(const CallerDriver&) = delete;
  CallerDriver& operator=(const CallerDriver&) = delete;

  void Handle(const Event& event) {
    ListActions actions;
    event(*caller_, actions);
    for (const ListAction& action : actions) {
      if (const auto* open = std::get_if<OpenCall>(&action)) network_.open(*open);
      if (const auto* close = std::get_if<CloseCall>(&action)) network_.close(*close);
    }
    Arm();
  }

 private:
  void Arm() {
    const Time next = caller_->Next();
    if (next == Time::max()) return;
    const std::uint64_t timer = ++timer_;
    time_.At(std::max(next, time_.now()), [this, timer] {
      if (timer_ != timer) return;
      Handle([this](ListCaller& caller, ListActions& out) { caller.Wake(time_.now(), out); });
    });
  }

  VirtualTime& time_;
  std::unique_ptr<ListCaller> caller_;
  Network network_;
  std::uint64_t timer_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_VIRTUAL_TIME_H_
