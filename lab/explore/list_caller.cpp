#include "lab/explore/list_caller.h"

#include <algorithm>
#include <random>

namespace brasswood::lab {
namespace {

class Refresher : public ListCaller {
 public:
  explicit Refresher(const CallerPlan& plan)
      : refresher_(plan.limits, beechledge::ListCallBackoff(plan.settings), 1, plan.seed) {}
  void Follow(Time now, ListActions& out) override { refresher_.Follow(now, out); }
  void Move(Time now, SourceId to, ListActions& out) override { refresher_.Move(now, to, out); }
  void Connected(Time now, CallId id) override { refresher_.Connected(now, id); }
  void Progress(Time now, CallId id) override { refresher_.Progress(now, id); }
  void Answered(Time now, CallId id, std::int64_t version, ListActions& out) override {
    refresher_.Answered(now, id, version, out);
  }
  void Failed(Time now, CallId id, CallEndReason why, ListActions& out) override {
    refresher_.Failed(now, id, why, out);
  }
  void Wake(Time now, ListActions& out) override { refresher_.Wake(now, out); }
  Time Next() const override { return refresher_.Next(); }

 private:
  ListRefresher refresher_;
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
    if (call_ != 0) out.push_back(CloseCall{call_, CallEndReason::kMoved});
    Open(now, out);
  }
  void Connected(Time now, CallId id) override {
    if (id == call_) deadline_ = now + (watching_ ? limits_.watch + limits_.watch_grace : limits_.answer);
  }
  void Progress(Time now, CallId id) override {
    if (id != call_ || answer_begun_) return;
    answer_begun_ = true;
    deadline_ = now + limits_.answer;
  }
  void Answered(Time now, CallId id, std::int64_t version, ListActions& out) override {
    if (id != call_) return;
    pacing_.Confirmed(now);
    held_ = version;
    Open(now, out);
  }
  void Failed(Time now, CallId id, CallEndReason, ListActions&) override {
    if (id == call_) FailCall(now);
  }
  void Wake(Time now, ListActions& out) override {
    if (now < deadline_) return;
    if (call_ == 0) return Open(now, out);
    out.push_back(CloseCall{call_, CallEndReason::kNoAnswer});
    FailCall(now);
  }
  Time Next() const override { return deadline_; }

 private:
  void Open(Time now, ListActions& out) {
    watching_ = held_.has_value();
    answer_begun_ = false;
    call_ = ++last_;
    deadline_ = now + limits_.connect;
    out.push_back(OpenCall{call_, source_, held_, watching_ ? limits_.watch : Duration(0), 0});
  }
  void FailCall(Time now) {
    call_ = 0;
    deadline_ = now + pacing_.RetryDelay(now, std::uniform_real_distribution<double>(0, 1)(random_));
  }

  RefreshLimits limits_;
  beechledge::ListCallBackoff pacing_;
  std::mt19937_64 random_;
  std::optional<std::int64_t> held_ = 1;
  SourceId source_ = 0;
  CallId call_ = 0, last_ = 0;
  bool watching_ = false, answer_begun_ = false;
  Time deadline_{Time::max()};
};

}  // namespace

std::unique_ptr<ListCaller> MakeRefresher(const CallerPlan& plan) {
  return std::make_unique<Refresher>(plan);
}
std::unique_ptr<ListCaller> MakeChainedTimeouts(const CallerPlan& plan) {
  return std::make_unique<Chained>(plan);
}

}  // namespace brasswood::lab
