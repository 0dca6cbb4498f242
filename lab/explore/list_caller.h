// The interface of the state machines under exploration, which decide on calls to discovery: the router's
// own, and one with a deliberate fault that the exploration has to find.
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
  virtual void Failed(Time now, CallId id, CallEndReason why, ListActions& out) = 0;
  virtual void Wake(Time now, ListActions& out) = 0;
  virtual Time Next() const = 0;
};

struct CallerPlan {
  RefreshLimits limits;
  beechledge::Settings settings;  // balancers, agent, drain grace
  std::uint64_t seed = 0;
};

// The router's own state machine, ListRefresher.
std::unique_ptr<ListCaller> MakeRefresher(const CallerPlan& plan);

// The faulty one: it has one call open at a time, closes it after a fixed timeout, and waits as after a
// refusal before the next one. Each timeout is reasonable by itself, but their sum is unbounded.
std::unique_ptr<ListCaller> MakeChainedTimeouts(const CallerPlan& plan);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_EXPLORE_LIST_CALLER_H_
