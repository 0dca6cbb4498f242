// What the exploration plays: a machine that decides on calls to discovery. The router's own, and one built
// wrong on purpose, which the exploration has to catch.
#ifndef BRASSWOOD_LAB_EXPLORE_LIST_CALLER_H_
#define BRASSWOOD_LAB_EXPLORE_LIST_CALLER_H_

#include <memory>

#include "discovery/list_refresher.h"

namespace brasswood::lab {

class ListCaller {
 public:
  virtual ~ListCaller() = default;
  virtual void Follow(Time now, ListActions& out) = 0;
  virtual void Move(Time now, SourceId to, ListActions& out) = 0;
  virtual void Connected(Time now, CallId id) = 0;
  virtual void Progress(Time now, CallId id) = 0;
  virtual void Answered(Time now, CallId id, std::int64_t version, ListActions& out) = 0;
  virtual void Failed(Time now, CallId id, CallEnd why, ListActions& out) = 0;
  virtual void Wake(Time now, ListActions& out) = 0;
  virtual Time Next() const = 0;
};

struct CallerPlan {
  RefreshLimits limits;
  beechledge::Settings settings;  // balancers, agent, drain grace
  std::uint64_t seed = 0;
};

// The router's own.
std::unique_ptr<ListCaller> MakeRefresher(const CallerPlan& plan);

// One call at a time: it is given up when a fixed time is over, closed before the next one opens, and the
// next one waits as after a refusal. Each time-out is reasonable, and their sum is bounded by nothing.
std::unique_ptr<ListCaller> MakeChained(const CallerPlan& plan);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_LIST_CALLER_H_
