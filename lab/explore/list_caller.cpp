#include "lab/explore/list_caller.h"

#include <algorithm>
#include <random>

namespace brasswood::lab {
namespace {

class Refresher : public ListCaller {
 public:
  explicit Refresher(const CallerPlan& plan)
      : machine_(plan.limits, beechledge::ListCalls(plan.settings), 1, plan.seed) {}
  void Follow(Time now, ListActions& out) override { machine_.Follow(now, out); }
  void Move(Time now, SourceId to, ListActions& out) override { machine_.Move(now, to, out); }
  void Connected(Time now, CallId id) override { machine_.Connected(now, id); }
  void Progress(Time now, CallId id) override { machine_.Progress(now, id); }
  void Answered(Time now, CallId id, std::int64_t version, ListActions& out) override {
    machine_.Answered(now, id, version, out);
  }
  void Failed(Time now, CallId id, CallEnd why, ListActions& out) override {
    machine_.Failed(now, id, why, out);
  }
  void Wake(Time now, ListActions& out) override { machine_.Wake(now, out); }
  Time Next() const override { return machine_.Next(); }

 private:
  ListRefresher machine_;
};

class Chained : public ListCaller {
 public:
  explicit Chained(const CallerPlan& plan)
      : limits_(plan.limits), pacing_(plan.settings), random_(plan.seed) {}
  void Follow(Time now, ListActions& out) override { Open(now, out); }
  void Move(Time now, SourceId to, ListActions& out) override {
    if (to == source_ && call_ != 0) return;
    source_ = to;
    held_.reset();
    if (call_ != 0) out.push_back(CloseCall{call_, CallEnd::kMoved});
    Open(now, out);
  }
  void Connected(Time now, CallId id) override {
    if (id == call_) due_ = now + (waits_ ? limits_.watch + limits_.watch_grace : limits_.answer);
  }
  void Progress(Time now, CallId id) override {
    if (id != call_ || begun_) return;
    begun_ = true;
    due_ = now + limits_.answer;
  }
  void Answered(Time now, CallId id, std::int64_t version, ListActions& out) override {
    if (id != call_) return;
    pacing_.Told(now);
    held_ = version;
    Open(now, out);
  }
  void Failed(Time now, CallId id, CallEnd, ListActions&) override {
    if (id == call_) GiveUp(now);
  }
  void Wake(Time now, ListActions& out) override {
    if (now < due_) return;
    if (call_ == 0) return Open(now, out);
    out.push_back(CloseCall{call_, CallEnd::kNoAnswer});
    GiveUp(now);
  }
  Time Next() const override { return due_; }

 private:
  void Open(Time now, ListActions& out) {
    waits_ = held_.has_value();
    begun_ = false;
    call_ = ++last_;
    due_ = now + limits_.connect;
    out.push_back(OpenCall{call_, source_, held_, waits_ ? limits_.watch : Duration(0), 0});
  }
  void GiveUp(Time now) {
    call_ = 0;
    due_ = now + pacing_.Again(now, std::uniform_real_distribution<double>(0, 1)(random_));
  }

  RefreshLimits limits_;
  beechledge::ListCalls pacing_;
  std::mt19937_64 random_;
  std::optional<std::int64_t> held_ = 1;
  SourceId source_ = 0;
  CallId call_ = 0, last_ = 0;
  bool waits_ = false, begun_ = false;
  Time due_{Time::max()};
};

}  // namespace

std::unique_ptr<ListCaller> MakeRefresher(const CallerPlan& plan) {
  return std::make_unique<Refresher>(plan);
}
std::unique_ptr<ListCaller> MakeChained(const CallerPlan& plan) { return std::make_unique<Chained>(plan); }

}  // namespace brasswood::lab
