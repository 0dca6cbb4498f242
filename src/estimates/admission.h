// Admission control of one balancer: the share of reads to admit, so that admitted reads are answered in
// time. Performs no I/O.
//
// Two signals are combined: late answers and the success rate.
//
// A queue shows as answers past their aim. While more than kMaxLateShare of the answers are late, the fleet
// is saturated: the rate of its answers is the rate to admit, less a part that lets the queue drain. Once
// fewer than kLowLateShare are late, the share rises by steps that grow. Failures are not counted here:
// they do not indicate a queue, and rejecting requests would not prevent them.
//
// Once fewer than half of the ended requests were answered at all, only twice as many are admitted as were
// answered (adaptive throttling, Site Reliability Engineering, chapter 21), because too few answers are
// left to show a queue.
#ifndef BEECHLEDGE_ESTIMATES_ADMISSION_H_
#define BEECHLEDGE_ESTIMATES_ADMISSION_H_

#include <algorithm>
#include <cmath>

#include "estimates/smoothed.h"

namespace beechledge {

class Admission {
 public:
  // A read has arrived; a request of any kind has ended, with any result.
  void RecordRead(Time now) { reads_.Add(now, kTau, 1); }
  void RecordEnd(Time now) { ends_.Add(now, kThrottleTau, 1); }
  // An admitted request was answered. `read`: it is a read with an aim; `late`: after its aim.
  void RecordAnswer(Time now, bool read, bool late) {
    answers_.Add(now, kThrottleTau, 1);
    if (!read) return;
    read_answers_.Add(now, kTau, 1);
    if (late) late_answers_.Add(now, kTau, 1);
  }
  // The share of arriving reads to admit (1: all). Adjusts it if a step is due.
  double AdmittedShare(Time now) {
    if (now - last_step_ >= kStepInterval) {
      last_step_ = now;
      const double late = late_answers_.Read(now, kTau), answers = read_answers_.Read(now, kTau);
      const double reads = std::max(1e-9, reads_.Read(now, kTau));
      // Allowance for answers that are late by chance.
      const double chance = kChance * std::sqrt(answers * kMaxLateShare * (1 - kMaxLateShare));
      if (answers >= kMinAnswers && late > kMaxLateShare * answers + chance) {
        sustained_ = std::max(answers, sustained_ * kForgetFactor);
        drain_share_ = std::max(kMinDrainShare, drain_share_ * kDrainFactor);
        share_ = std::clamp(drain_share_ * sustained_ / reads, share_ * kMaxCut, share_);
        rise_ = kFirstRise;
      } else if (late < kLowLateShare * answers + chance / 2 || answers < kMinAnswers / 4) {
        share_ = std::min(1.0, std::max(share_, sustained_ / reads) + rise_);
        rise_ = std::min(kMaxRise, rise_ * kRiseGrowth);
        drain_share_ = 1;
        sustained_ *= kForgetFactor;
      }
    }
    const double ends = ends_.Read(now, kThrottleTau);  // open requests may still be answered
    const double admitted = kThrottleRatio * answers_.Read(now, kThrottleTau) + kThrottleAllowance;
    return ends > admitted ? std::min(share_, admitted / ends) : share_;
  }

 private:
  static constexpr Duration kTau = std::chrono::milliseconds(1500);  // decay time of the counts of reads
  static constexpr Duration kStepInterval = std::chrono::milliseconds(200);
  static constexpr double kMaxLateShare = 0.2, kLowLateShare = 0.1;  // of the answers to reads
  static constexpr double kChance = 0.5;    // in standard deviations of the late count
  static constexpr double kMinAnswers = 8;  // recent answers needed before any read is rejected
  // The share of the sustained rate to admit falls with each step while a queue remains, to a minimum.
  static constexpr double kDrainFactor = 0.95, kMinDrainShare = 0.5;
  static constexpr double kForgetFactor = 0.98;  // decay of the sustained rate at each step
  static constexpr double kMaxCut = 0.8;         // smallest factor applied to the share in one step
  // The first step up, its growth from step to step, and the largest step.
  static constexpr double kFirstRise = 0.03, kRiseGrowth = 1.2, kMaxRise = 0.2;
  // Requests admitted for each answer, and in addition to that.
  static constexpr double kThrottleRatio = 2, kThrottleAllowance = 10;
  static constexpr Duration kThrottleTau = std::chrono::seconds(3);
  double share_ = 1, rise_ = kFirstRise, drain_share_ = 1;
  double sustained_ = 0;  // answers to reads (over kTau) while a queue stood: the fleet's capacity
  Time last_step_{0};
  Smoothed reads_, read_answers_, late_answers_, ends_, answers_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_ESTIMATES_ADMISSION_H_
