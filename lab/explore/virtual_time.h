// Virtual time for the explorations, and a machine that decides on calls to discovery, driven by it.
#ifndef BRASSWOOD_LAB_EXPLORE_VIRTUAL_TIME_H_
#define BRASSWOOD_LAB_EXPLORE_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "lab/explore/list_caller.h"

namespace brasswood::lab {

// Events in the order of their times, those of one moment in the order in which they were set.
class VirtualTime {
 public:
  Time now() const { return now_; }
  void At(Time at, std::function<void()> run) { events_.emplace(std::pair(at, ++last_), std::move(run)); }
  // Plays the next event; false where there is none before `end`.
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
  std::uint64_t last_ = 0;
};

// Hands facts to a machine, its actions on calls to whoever plays the network, and wakes it in time.
class CallerDriver {
 public:
  struct Network {
    std::function<void(const OpenCall&)> open;
    std::function<void(const CloseCall&)> close;
  };
  using Fact = std::function<void(ListCaller&, ListActions&)>;

  CallerDriver(VirtualTime& time, std::unique_ptr<ListCaller> caller, Network network)
      : time_(time), caller_(std::move(caller)), network_(std::move(network)) {}
  CallerDriver(const CallerDriver&) = delete;
  CallerDriver& operator=(const CallerDriver&) = delete;

  void Tell(const Fact& fact) {
    ListActions actions;
    fact(*caller_, actions);
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
      Tell([this](ListCaller& caller, ListActions& out) { caller.Wake(time_.now(), out); });
    });
  }

  VirtualTime& time_;
  std::unique_ptr<ListCaller> caller_;
  Network network_;
  std::uint64_t timer_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_VIRTUAL_TIME_H_
