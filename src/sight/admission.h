// How much of what is asked one balancer lets in, so that what is let in is answered in time. Free of I/O.
//
// Two measures. A queue that makes answers late shows as answers past their aim: while more than kLate of
// them are, the fleet gives all it can, and what it gives is the measure of what to let in, less a part for
// the queue to go. Once fewer than kFew are late, more is let in, by steps that grow as long as that lasts.
// Failures are no measure of a queue and do not count: turning away would not help against them. And once
// fewer than half of what ended was answered at all, only twice as much is let in as was answered (adaptive
// throttling, Site Reliability Engineering, chapter 21): then no answers are left to tell of a queue.
#ifndef BEECHLEDGE_SIGHT_ADMISSION_H_
#define BEECHLEDGE_SIGHT_ADMISSION_H_

#include <algorithm>
#include <cmath>

#include "sight/smoothed.h"

namespace beechledge {

class Admission {
 public:
  // A read is asked for; a request of any kind has ended, however it did.
  void RecordRead(Time now) { reads_.Add(now, kTau, 1); }
  void RecordEnd(Time now) { ends_.Add(now, kThrottleTau, 1); }
  // A request that was let in was answered. Of a read with an aim: `late` or within it.
  void RecordAnswer(Time now, bool read, bool late) {
    answers_.Add(now, kThrottleTau, 1);
    if (!read) return;
    read_answers_.Add(now, kTau, 1);
    if (late) late_answers_.Add(now, kTau, 1);
  }
  // The share of the reads asked for that may come in, 1: all. Takes a step where one is due.
  double AdmittedShare(Time now) {
    if (now - last_step_ >= kStepInterval) {
      last_step_ = now;
      const double late = late_answers_.Read(now, kTau), answers = read_answers_.Read(now, kTau);
      const double reads = std::max(1e-9, reads_.Read(now, kTau));
      // Few answers are late by chance: so much more than the share it takes.
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
    const double ends = ends_.Read(now, kThrottleTau);  // what is still out may yet be answered
    const double admitted = kThrottleRatio * answers_.Read(now, kThrottleTau) + kThrottleAllowance;
    return ends > admitted ? std::min(share_, admitted / ends) : share_;
  }

 private:
  static constexpr Duration kTau = std::chrono::milliseconds(1500);  // counts of reads fade
  static constexpr Duration kStepInterval = std::chrono::milliseconds(200);
  static constexpr double kMaxLateShare = 0.2, kLowLateShare = 0.1;  // of the answers
  static constexpr double kChance = 0.5;                             // standard deviations beyond that
  static constexpr double kMinAnswers = 8;  // recent answers that it takes to turn anything away
  // Of what is given is let in: less with each step that the queue stands.
  static constexpr double kDrainFactor = 0.95, kMinDrainShare = 0.5;
  static constexpr double kForgetFactor = 0.98;  // of what it was seen to give
  static constexpr double kMaxCut = 0.8;         // of the share, at most, in one step
  static constexpr double kFirstRise = 0.03, kRiseGrowth = 1.2,
                          kMaxRise = 0.2;  // a step up, and how it grows
  static constexpr double kThrottleRatio = 2,
                          kThrottleAllowance = 10;  // let in for each answer; and beyond that
  static constexpr Duration kThrottleTau = std::chrono::seconds(3);
  double share_ = 1, rise_ = kFirstRise, drain_share_ = 1;
  double sustained_ = 0;  // reads given in kTau while a queue stood: all that the fleet can
  Time last_step_{0};
  Smoothed reads_, read_answers_, late_answers_, ends_, answers_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_ADMISSION_H_
