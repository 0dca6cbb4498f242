// What one balancer can tell of the servers' capacity from its own few answers: how long each takes against
// the others, leaning on servers of its kind and hall where it is met seldom; and the weight to give it.
//
// A server's time to an answer grows with its load and shrinks with its capacity, so a share of the traffic
// that falls as the time grows brings unequal servers towards even use without anyone naming their size
// (proportional feedback on the logarithm). What the list states of their size is the start of it.
//
// Free of I/O; times come from the host. Bounded: one record a server, at most kMostGroups groups of like
// servers, further ones share the last. Estimates shrink towards their group by evidence, as in empirical
// Bayes estimates of many means from few looks (James and Stein).
#ifndef BEECHLEDGE_SIGHT_PACES_H_
#define BEECHLEDGE_SIGHT_PACES_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "beechledge/balancer.h"
#include "beechledge/kept.h"
#include "sight/smoothed.h"

namespace beechledge {

class ServerLatencies {
 public:
  // A server has come, or another one under its number, or it has begun again: what was learnt of the one
  // before is forgotten; what was learnt of its kind stays. `size`: as the list states it; 0 or less, or
  // not a number: not stated.
  void Add(ServerId id, int kind, int zone, double size);
  // It has left the list: it counts in no mean. What it had learnt stays for its return by Resize, a gap in
  // the list rather than another start.
  void Remove(ServerId id);
  // The list states this size, perhaps another than before: its weight follows by steps.
  void SetSize(ServerId id, double size);

  // An answer that the server made itself took so long (or one was waited for in vain for half of it). Of a
  // cold server only it is told, not its kind.
  void RecordAnswer(ServerId id, Time now, Duration took, bool cold);

  // A miss: no measure of its work, but as slow as an answer it tells of a queue.
  void RecordMiss(ServerId id, Time now, Duration took, bool cold);

  // The natural logarithm of its time over the fleet's, as far as the evidence goes; 0: nothing known.
  double RelativeLatency(ServerId id, Time now) const;
  // The same of all cold servers together, and how many recent answers that rests on: each balancer of a
  // large fleet meets one of them too seldom to know it.
  double ColdRelativeLatency(Time now) const;
  double ColdSamples(Time now) const { return cold_latency_.samples.Read(now, kTau); }
  // How many recent answers of its own it rests on (old ones fade).
  double Samples(ServerId id, Time now) const;

  // What is learnt of one server, to be kept over a restart; and taken up again, beside what is known: its
  // looks count for `faith` of what they did.
  Kept::Server Export(ServerId id, Time now) const;
  void Restore(const Kept::Server& kept, Time now, double confidence);

  // Each server's weight, 1 on average over those placed, between kLeast and kMost of it; it moves by small
  // steps, one each kStep of time, and only for a difference that is worth moving keys for.
  double Weight(ServerId id) const { return id < servers_.size() ? servers_[id].weight : 1; }
  // Takes a step if one is due. True: some weight has changed.
  bool AdjustWeights(Time now);

  static constexpr double kMinWeight = 0.25, kMaxWeight = 4;
  static constexpr std::size_t kMaxGroups = 64;
  static constexpr Duration kTau = std::chrono::seconds(30);  // answers fade

 private:
  struct MeanLatency {  // of answers, old ones fading: their number and the sum of their logarithms
    Smoothed samples, sum;
    void Add(Time now, double log_time);
    double Mean(Time now, double prior, double prior_samples) const;
  };
  struct Group {  // servers of one kind in one hall
    MeanLatency latency;
    double learned_offset = 0;  // what its servers' weights came to beside their stated sizes, on average
  };
  struct Server {
    bool active = false;
    std::size_t group = 0;
    double log_size = 0;  // as stated; meaningless unless `stated`
    bool size_listed = false;
    double log_weight = 0, weight = 1;
    MeanLatency latency;
  };
  std::size_t GroupOf(int kind, int zone);
  double FleetMean(Time now) const;  // the mean logarithm
  double RelativeSize(const Server& s) const;
  double TargetLogWeight(ServerId id, Time now) const;  // the logarithm of its weight
  void SetListedSize(Server& s, double size);
  void ClearListedSize(Server& s);

  std::vector<Server> servers_;
  std::map<std::pair<int, int>, std::size_t> group_numbers_;
  std::vector<Group> groups_;                 // by number
  MeanLatency fleet_latency_, cold_latency_;  // all warm servers; all cold ones
  double log_size_sum_ = 0;                   // the sum of those stated
  int size_count_ = 0;
  Time last_step_{0};
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_PACES_H_
