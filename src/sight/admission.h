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
  void Asked(Time now) { asked_.Add(now, kTau, 1); }
  void Ended(Time now) { ended_.Add(now, kThrottleTau, 1); }
  // A request that was let in was answered. Of a read with an aim: `late` or within it.
  void Answered(Time now, bool read, bool late) {
    answered_.Add(now, kThrottleTau, 1);
    if (!read) return;
    given_.Add(now, kTau, 1);
    if (late) late_.Add(now, kTau, 1);
  }
  // The share of the reads asked for that may come in, 1: all. Takes a step where one is due.
  double Share(Time now) {
    if (now - stepped_ >= kStep) {
      stepped_ = now;
      const double late = late_.Read(now, kTau), given = given_.Read(now, kTau);
      const double asked = std::max(1e-9, asked_.Read(now, kTau));
      // Few answers are late by chance: so much more than the share it takes.
      const double chance = kChance * std::sqrt(given * kLate * (1 - kLate));
      if (given >= kLooks && late > kLate * given + chance) {
        bears_ = std::max(given, bears_ * kForget);
        part_ = std::max(kLeastPart, part_ * kDrain);
        share_ = std::clamp(part_ * bears_ / asked, share_ * kCut, share_);
        rise_ = kRise;
      } else if (late < kFew * given + chance / 2 || given < kLooks / 4) {
        share_ = std::min(1.0, std::max(share_, bears_ / asked) + rise_);
        rise_ = std::min(kMostRise, rise_ * kFaster);
        part_ = 1;
        bears_ *= kForget;
      }
    }
    const double ended = ended_.Read(now, kThrottleTau);  // what is still out may yet be answered
    const double kept = kThrottle * answered_.Read(now, kThrottleTau) + kThrottleFree;
    return ended > kept ? std::min(share_, kept / ended) : share_;
  }

 private:
  static constexpr Duration kTau = std::chrono::milliseconds(1500);  // counts of reads fade
  static constexpr Duration kStep = std::chrono::milliseconds(200);
  static constexpr double kLate = 0.2, kFew = 0.1;  // of the answers
  static constexpr double kChance = 0.5;            // standard deviations beyond that
  static constexpr double kLooks = 8;               // recent answers that it takes to turn anything away
  // Of what is given is let in: less with each step that the queue stands.
  static constexpr double kDrain = 0.95, kLeastPart = 0.5;
  static constexpr double kForget = 0.98;  // of what it was seen to give
  static constexpr double kCut = 0.8;      // of the share, at most, in one step
  static constexpr double kRise = 0.03, kFaster = 1.2, kMostRise = 0.2;  // a step up, and how it grows
  static constexpr double kThrottle = 2, kThrottleFree = 10;  // let in for each answer; and beyond that
  static constexpr Duration kThrottleTau = std::chrono::seconds(3);
  double share_ = 1, rise_ = kRise, part_ = 1;
  double bears_ = 0;  // reads given in kTau while a queue stood: all that the fleet can
  Time stepped_{0};
  Smoothed asked_, given_, late_, ended_, answered_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_SIGHT_ADMISSION_H_
