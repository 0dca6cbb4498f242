// Tuning constants of the decision module: those of the LARD paper, then this project's. None is fitted to
// a particular deployment.
#ifndef BEECHLEDGE_POLICY_TUNING_H_
#define BEECHLEDGE_POLICY_TUNING_H_

#include "beechledge/balancer.h"

namespace beechledge {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Server choice ----
// L_idle, L_overload and MissCost of the LARD paper, on the paper's load scale.
inline constexpr double kLIdle = 30;
inline constexpr double kLOverload = 130;
inline constexpr double kMissCost = 50;
// The place of a server of mean load on that scale: at L_idle.
inline constexpr double kMeanLoad = 30;
// Smoothing of in-flight counts: long enough for several answers, short enough to show one incident.
inline constexpr Duration kLoadTau = seconds(1);
// Smoothing of this instance's own rates.
inline constexpr Duration kRateTau = seconds(5);
// A key with more holders than it needs loses one of them after this time.
inline constexpr Duration kHolderIdleTime = seconds(10);
// Load reports older than this are ignored.
inline constexpr Duration kReportMaxAge = seconds(3);
// A load above the mean is discounted by kLoadEvidence / (recent sends + kLoadEvidence), since few sends
// cannot distinguish it from chance; kChanceAllowance is the largest part of the load scale allowed for
// chance.
inline constexpr double kLoadEvidence = 8, kChanceAllowance = 6;
// A key moves to a server whose rendezvous rank is lower than its holders' by this share, provided that the
// holders are slower by this much (logarithm of the latency ratio).
inline constexpr double kRelocationGain = 0.15, kRelocationSlower = 0.1;
// Salt of the hash that decides which keys stay in the own zone.
inline constexpr std::uint64_t kOwnZoneSalt = 0x5851f42d4c957f2dULL;

// ---- Cold servers ----
// Share of the stated limit of a cold server that is used; the rest is margin for misses, skew, chance and
// unequal servers. The larger share applies once at least kColdSamples of the server's own answers show
// that it is lightly loaded: their mean log latency is less than kColdLightLoad above the fleet's.
inline constexpr double kColdMargin = 0.4, kColdMarginLightLoad = 0.75;
inline constexpr double kColdSamples = 10, kColdLightLoad = 0.3;
// Averaging time of the rate that warm servers sustain.
inline constexpr Duration kSustainedTau = seconds(20);

// ---- Outlier ejection ----
inline constexpr double kHealthStep = 0.2;  // weight of one outcome in a server's failure share
inline constexpr double kEjectShare = 0.5;  // ejected above this failure share, if well above its peers
inline constexpr int kEjectStreak = 3;      // or after this many failures without a success
inline constexpr double kMaxEjectedShare = 0.4;    // of the listed servers
inline constexpr Duration kEjectMin = seconds(1);  // first ejection; doubles each time up to kEjectMax
inline constexpr Duration kEjectMax = seconds(8);
// An ejection lasts at least for the time of this many samples of a server, and the cap is at least four
// times that.
inline constexpr double kEjectSamples = 1;

// ---- Unresponsive servers and overdue attempts ----
// No server counts as unresponsive and no attempt as overdue before this share of the aim, or, without an
// aim, before kMinPatienceNoAim: longer than a pause of a healthy server, short enough to leave time for a
// retry.
inline constexpr double kMinPatienceShare = 0.25;
inline constexpr Duration kMinPatienceNoAim = milliseconds(400);
// With fewer requests outstanding, silence may be due to a single slow request.
inline constexpr int kUnresponsiveAttempts = 3;
// Interval of the checks for unresponsive servers and overdue attempts.
inline constexpr Duration kWatchInterval = milliseconds(25);
// An attempt at the origin is overdue after this many times the 99th percentile of answer times.
inline constexpr double kOriginPatience = 3;
// An attempt is overdue once a retry is likelier to be in time by this probability.
inline constexpr double kRetryMinGain = 0.4;

// ---- Retries, holds and connections ----
// Retry budget: tokens earned per request, and the size of the bucket.
inline constexpr double kRetryBudget = 0.2;
inline constexpr double kRetryBurst = 10;
// After a refused connection, idle connections to that server are closed for this time.
inline constexpr Duration kCloseIdleTime = seconds(5);
// Interval at which held requests are tried again.
inline constexpr Duration kHoldRetryInterval = milliseconds(25);

}  // namespace beechledge

#endif  // BEECHLEDGE_POLICY_TUNING_H_
