// The implementation of Balancer: one class, implemented by concern in the files of this folder.
//   load.cpp              load estimates and the budgets of cold servers
//   health.cpp            outlier detection, ejection and zone outages
//   overdue_attempts.cpp  unresponsive servers and overdue attempts
//   choose.cpp            server choice (LARD)
//   send_rules.cpp        the rules that every send passes, admission, and the end of requests
//   attempts.cpp          the life of a request: sends, holds, outcomes, timers
//   outcomes.cpp          what outcomes teach about servers, keys, the origin and retries
//   server_list.cpp       the server list
#ifndef BEECHLEDGE_POLICY_CORE_H_
#define BEECHLEDGE_POLICY_CORE_H_

#include <cmath>
#include <random>
#include <unordered_map>
#include <utility>

#include "base/stable_hash.h"
#include "beechledge/learned_state.h"
#include "estimates/admission.h"
#include "estimates/answer_times.h"
#include "estimates/key_table.h"
#include "estimates/origin_limiter.h"
#include "estimates/own_zone_share.h"
#include "estimates/server_latencies.h"
#include "estimates/zone_health.h"
#include "policy/records.h"
#include "policy/tuning.h"
#include "recovery/list_call_backoff.h"
#include "recovery/startup.h"

namespace beechledge {

using namespace policy;

class Balancer::Core {
 public:
  Core(const Settings& settings, std::uint64_t seed);
  void Handle(Time now, const Event& event, Actions& out);
  LearnedState ExportState(Time now, std::size_t max_keys) const;
  void RestoreState(Time now, const LearnedState& state, double confidence);
  bool IsAvoided(ServerId id) const;
  std::size_t AvoidedCount() const;

 private:
  // ---- Load: the smoothed in-flight count, and this instance's share of reported load ----
  double RawLoad(const Server& s) const;
  void ApplyReport(Server& s, const LoadReport& report);
  void AdjustInflight(Server& s, int change);

  // ---- Cold servers: a token bucket for each, without coordination between instances ----
  bool IsCold(const Server& s) const {
    return s.started > Time(0) && now_ - s.started < settings_.rules.ramp;
  }
  double SampleRate() const;
  // The rate that a warm server has been seen to sustain: the higher of the current rate and its recent
  // average. Overloaded warm servers answer few requests; with the current rate alone the budgets of cold
  // servers would fall with it and leave them idle just when they are needed.
  double SustainedRate() const {
    return std::max(SampleRate(), sustained_answers_.Read(now_, kSustainedTau, SampleRate()));
  }
  double RampFraction(const Server& s) const;
  // The rate that a cold server may be sent, relative to that of a warm one.
  double ColdBudget(const Server& s) const {
    return kColdMargin * settings_.rules.overload_multiple * RampFraction(s);
  }
  void RefillColdTokens(Server& s) const;
  bool HasColdToken(Server& s) const;

  // ---- Health: a server's outcomes compared with those of its peers ----
  void RecordHealth(Server& s, bool failed, bool connect_failed, bool lost_in_transit = false);
  void Eject(Server& s);
  // The minimum time to wait for an answer. It scales with the aim: a fixed time exceeded the whole aim of
  // fast classes.
  static Duration MinPatience(Duration aim) {
    return aim > Duration(0) ? FromSeconds(kMinPatienceShare * Seconds(aim)) : kMinPatienceNoAim;
  }
  void EjectUnresponsive();
  double RemainingRetryBudget() const;
  void CancelAttemptsAt(ServerId id);
  void CancelOverdue();
  Time LatestUsefulTime(const Request& r) const;

  // ---- Zones: the outage of a whole zone is distinguished from failures of single servers ----
  bool ZoneDown(const Server& s) const { return !IsOrigin(s) && zones_.Down(s.zone); }
  void RecordZoneResult(Server& s, bool answered);
  bool Healthy(const Server& s) const;

  // ---- The LARD choice ----
  bool IsOrigin(const Server& s) const {
    return settings_.origin == Origin::kCacheAside && settings_.origin_kind >= 0 &&
           s.kind == settings_.origin_kind;
  }
  static double CostBalancing(double load);
  static double CostLocality(bool mapped) { return mapped ? 1 : kMissCost; }
  static double CostReplacement(double load, bool mapped);
  static const Holder* FindHolder(const KeyTable::Entry* entry, ServerId id, const Server& s);
  bool PrefersOwnZone(std::uint64_t key) const;
  void LearnZoneLatency(const Server& s, Duration took) {
    if (!IsOrigin(s)) own_zone_share_.Learn(now_, s.zone == settings_.zone, took);
  }
  static double RendezvousRank(std::uint64_t key, const Server& s);
  int RelocationTarget(const Request& r, const KeyTable::Entry* entry, bool own_zone) const;
  double EvidenceWeightedLoad(const Server& s, double load) const;
  int Choose(const Request& r, bool allow_ejected);
  void AddHolder(KeyTable::Entry& entry, ServerId id);

  // ---- The gate: every send passes here, and all rules are enforced here ----
  const RequestClass& ClassOf(const Request& r) const;
  bool Allowed(const Request& r, ServerId id) const;
  bool TrySend(Request& r, ServerId id, bool fetch);
  bool MayRefuse(const Request& r) const;
  bool ShouldShed(const Request& r);
  Duration RetryAfter(const Request& r);
  Duration MaxHoldTime(const Request& r) const;
  void MarkEnded(Request& r) {
    if (!std::exchange(r.ended, true)) admission_.RecordEnd(now_);
  }
  void EndRequest(Request& r);

  // ---- Attempts ----
  void Dispatch(Request& r);
  bool MayFetch(const KeyTable::Entry* entry) const;
  bool HeldFetchReady(const Request& r);
  bool SendTo(Request& r, ServerId id);
  bool SendToOrigin(Request& r);
  void Hold(Request& r);
  void ReleaseHeld();
  void SetRequestTimer(TimerKind kind, RequestId id, Time at);
  void EraseIfDone(std::unordered_map<RequestId, Request>::iterator it) {
    if (it->second.ended && it->second.outstanding == 0) requests_.erase(it);
  }
  void HandleEvent(const NewRequest& e);
  void HandleEvent(const ClientGone& e);
  void HandleEvent(const Outcome& e);
  void LearnFetchResult(const Request& r, const Attempt& a, const Outcome& e);
  void LearnRetryResult(const Request& r, const Attempt& a, Result result);
  void LearnServerResult(Server& s, const Request& r, const Attempt& a, const Outcome& e);
  void RetryOrEnd(Request& r, Result result);
  void HandleEvent(const FirstByte& e);
  void HandleEvent(const ProbeResult& e);
  void HandleEvent(const PeerMessage&) {}
  void HandleEvent(const TimerFired& e);

  // ---- The server list ----
  void HandleEvent(const ServerList& e);
  void ApplyEntry(const ServerEntry& entry);
  double ListedSize(const ServerEntry& entry) const;
  void RebuildUpServers();
  void ScheduleListCall(Duration wait);
  void SubscribeToList();
  double Uniform() { return ToUnitInterval(random_()); }

  Settings settings_;
  std::mt19937_64 random_;
  Time now_{0}, first_event_{0};
  Actions* out_ = nullptr;
  std::vector<Server> servers_;        // by ServerId
  std::vector<ServerId> up_servers_;   // those listed as up
  std::vector<double> loads_, ranks_;  // scratch of Choose; a rank is valid where the load is not negative
  ZoneHealth zones_;
  Duration longest_aim_{0};
  double mean_worth_ = 0;  // of recent reads; 0: none yet
  int warm_servers_ = 1;
  std::size_t origin_count_ = 0;
  double fleet_failure_share_ = 0;
  bool holder_busy_ = false;  // in the last choice a holder's load was L_idle or more
  ServerLatencies latencies_;
  KeyTable key_table_;
  std::unordered_map<RequestId, Request> requests_;
  std::vector<RequestId> held_requests_;
  std::unordered_map<std::uint64_t, std::pair<TimerKind, RequestId>> timers_;
  std::uint64_t last_token_ = 0;
  AnswerTimes answer_times_;
  double typical_seconds_ = 0.05;  // smoothed latency of answers
  double retry_tokens_ = kRetryBurst;
  OwnZoneShare own_zone_share_;
  double retry_success_share_ =
      0.9;  // share of cancelled overdue attempts whose retry was answered in time
  Admission admission_;
  Smoothed sustained_answers_;  // average of SampleRate over kSustainedTau
  Smoothed answers_;            // decaying count of answers; divided by kRateTau it is a rate
  OriginLimiter origin_limiter_;
  Startup startup_;
  ListCallBackoff list_calls_;
  bool list_received_ = false, subscribed_ = false, held_timer_set_ = false, watch_timer_set_ = false;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_POLICY_CORE_H_
