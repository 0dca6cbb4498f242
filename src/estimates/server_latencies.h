// Estimates each server's latency relative to the fleet from the answers that one balancer sees, and
// derives a weight for each server from it.
//
// A server's latency grows with its load and shrinks with its capacity. Weights that fall as the latency
// grows therefore bring servers of unequal capacity towards equal utilization without configured sizes
// (proportional feedback on the logarithm). Sizes stated in the server list are the starting point.
//
// A server with few samples borrows from its group (servers of its kind in its zone) and the group from the
// fleet: estimates shrink towards the group's mean by evidence, as in empirical Bayes estimation of many
// means from few samples (James and Stein).
//
// Performs no I/O; the caller passes the time. Bounded: one record for each server and at most kMaxGroups
// groups; further kinds and zones share the last group.
#ifndef BEECHLEDGE_ESTIMATES_SERVER_LATENCIES_H_
#define BEECHLEDGE_ESTIMATES_SERVER_LATENCIES_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "beechledge/balancer.h"
#include "beechledge/learned_state.h"
#include "estimates/smoothed.h"

namespace beechledge {

class ServerLatencies {
 public:
  // Adds a server that is new, has restarted, or replaces another one under the same id. What was learned
  // about its predecessor is discarded; what was learned about its group stays. `size` is the size stated
  // in the list; zero, negative or NaN: not stated.
  void Add(ServerId id, int kind, int zone, double size);
  // The server has left the list and no longer counts in the mean of sizes. Its estimate is kept, in case
  // it returns without a restart (SetSize).
  void Remove(ServerId id);
  // Sets the size stated in the list; the weight follows in steps.
  void SetSize(ServerId id, double size);

  // The server itself answered after `took` (or `took` is twice the time that an answer was awaited in
  // vain). A cold server's answers do not count for its group.
  void RecordAnswer(ServerId id, Time now, Duration took, bool cold);

  // The server answered with a miss. A quick miss does not measure its work, but one as slow as an answer
  // indicates a queue.
  void RecordMiss(ServerId id, Time now, Duration took, bool cold);

  // Natural logarithm of the server's latency over the fleet's, shrunk by evidence; 0: nothing known.
  double RelativeLatency(ServerId id, Time now) const;
  // The same for all cold servers together, and the number of recent answers behind it: in a large fleet
  // each balancer has too few samples of a single cold server.
  double ColdRelativeLatency(Time now) const;
  double ColdSamples(Time now) const { return cold_latency_.samples.Read(now, kTau); }
  // The number of the server's own recent answers (old ones decay).
  double Samples(ServerId id, Time now) const;

  // Exports what was learned about one server, and restores it in addition to what is known: its samples
  // are scaled by `confidence`.
  LearnedState::Server Export(ServerId id, Time now) const;
  void Restore(const LearnedState::Server& kept, Time now, double confidence);

  // The server's weight, about 1 on average, between kMinWeight and kMaxWeight. It changes in small steps,
  // one per kStepInterval, and only for a difference that is worth moving keys for.
  double Weight(ServerId id) const { return id < servers_.size() ? servers_[id].weight : 1; }
  // Adjusts the weights if a step is due. Returns true if a weight has changed.
  bool AdjustWeights(Time now);

  static constexpr double kMinWeight = 0.25, kMaxWeight = 4;
  static constexpr std::size_t kMaxGroups = 64;
  static constexpr Duration kTau = std::chrono::seconds(30);  // decay time of samples

 private:
  struct MeanLatency {  // decaying number of answers, and the sum of the logarithms of their latencies
    Smoothed samples, sum;
    void Add(Time now, double log_time);
    double Mean(Time now, double prior, double prior_samples) const;
  };
  struct Group {  // servers of one kind in one zone
    MeanLatency latency;
    double learned_offset = 0;  // mean of (log weight - log relative size) over its servers
  };
  struct Server {
    bool active = false;
    std::size_t group = 0;
    double log_size = 0;  // valid if `size_listed`
    bool size_listed = false;
    double log_weight = 0, weight = 1;
    MeanLatency latency;
  };
  std::size_t GroupOf(int kind, int zone);
  double FleetMean(Time now) const;  // mean logarithm of the latency
  double RelativeSize(const Server& s) const;
  double TargetLogWeight(ServerId id, Time now) const;
  void SetListedSize(Server& s, double size);
  void ClearListedSize(Server& s);

  std::vector<Server> servers_;
  std::map<std::pair<int, int>, std::size_t> group_numbers_;
  std::vector<Group> groups_;                 // by group number
  MeanLatency fleet_latency_, cold_latency_;  // of all warm servers; of all cold servers
  double log_size_sum_ = 0;                   // sum of the logarithms of the stated sizes
  int size_count_ = 0;
  Time last_step_{0};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_SERVER_LATENCIES_H_
