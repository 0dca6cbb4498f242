// Tuning constants: the paper's own, then ours. None is fitted to a deployment.
#ifndef BEECHLEDGE_CHOICE_TUNING_H_
#define BEECHLEDGE_CHOICE_TUNING_H_

#include "beechledge/balancer.h"

namespace beechledge {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr double kLIdle = 30;  // the paper's L_idle, L_overload and MissCost, on the paper's scale
inline constexpr double kLOverload = 130;
inline constexpr double kMissCost = 50;
inline constexpr double kMeanLoad = 30;  // where a server of mean load stands on that scale: at L_idle
inline constexpr Duration kLoadTau =
    seconds(1);  // smoothing of in-flight counts: several answers, one trouble
inline constexpr Duration kRateTau = seconds(5);  // smoothing of this instance's own rate
inline constexpr Duration kHolderIdleTime =
    seconds(10);  // a set with more holders than it needs loses one after this
inline constexpr Duration kReportMaxAge = seconds(3);  // a report older than this counts for nothing
// Of the cold budget: room for misses, skew, chance and unequal servers. The larger part goes to a server
// whose own answers, at least kColdLooks of them, show that it is at ease with the smaller.
inline constexpr double kColdMargin = 0.4, kColdMarginLightLoad = 0.75;
inline constexpr double kColdSamples = 10,
                        kColdLightLoad = 0.3;  // the logarithm of its time over the fleet's
inline constexpr double kHealthStep = 0.2;     // weight of one outcome in a server's failure share
inline constexpr double kEjectShare = 0.5;  // ejected from this failure share on, if well above its peers
inline constexpr int kEjectStreak = 3;      // or after so many failures without a success
inline constexpr double kMaxEjectedShare = 0.4;    // at most this share of the listed servers is ejected
inline constexpr Duration kEjectMin = seconds(1);  // first ejection; doubles up to kEjectMost
inline constexpr Duration kEjectMax = seconds(8);
// A load above the mean counts as far as so many sends of the last seconds can tell it from chance.
inline constexpr double kLoadEvidence = 8, kChanceAllowance = 6;  // and past so much of the scale
// A key moves to a server that stands so much before its holders in its order, if they are slower by so
// much (of the logarithm of the times).
inline constexpr double kRelocationGain = 0.15, kRelocationSlower = 0.1;
inline constexpr double kEjectSamples =
    1;  // an ejection outlasts so many looks at the server, four times that at most
inline constexpr std::uint64_t kOwnZoneSalt = 0x5851f42d4c957f2dULL;
// No server is silent and no attempt overdue before this share of an aim, and no server later than the time
// beside it for want of evidence: longer than a pause of a sound server, short enough for another attempt.
inline constexpr double kMinPatienceShare = 0.25;
inline constexpr Duration kMinPatienceNoAim = milliseconds(400);
inline constexpr int kUnresponsiveAttempts =
    3;  // requests out from which on silence tells of the server, not of one request
inline constexpr Duration kWatchInterval =
    milliseconds(25);  // how often silence and overdue attempts are looked for
inline constexpr double kOriginPatience =
    3;  // a fetch is overdue after this many times the slowest usual answer
inline constexpr double kRetryMinGain =
    0.4;  // an attempt is overdue once another is likelier in time by this much
inline constexpr double kRetryBudget =
    0.2;  // further attempts per request, on average; a burst of kRetryBurst at most
inline constexpr double kRetryBurst = 10;
inline constexpr Duration kSustainedTau = seconds(20);
inline constexpr Duration kCloseIdleTime =
    seconds(5);  // after a refused connection idle ones at that server are given back this long
inline constexpr Duration kHoldRetryInterval = milliseconds(25);  // how often held requests are tried again

}  // namespace beechledge

#endif  // BEECHLEDGE_CHOICE_TUNING_H_
