// Latency histogram with logarithmic bins, 1.5% wide, from 10 us to 100 s. A percentile is reported as the
// upper edge of its bin; count() gives the number of samples behind it.
#ifndef BRASSWOOD_LAB_BASE_HISTOGRAM_H_
#define BRASSWOOD_LAB_BASE_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>

#include "base/clock.h"

namespace brasswood::lab {

class LatencyHistogram {
 public:
  LatencyHistogram() : bins_(boost::histogram::make_histogram(Axis(1075, 0.01, 1e5))) {}
  void Add(Duration latency) {
    bins_(static_cast<double>(latency.count()) / 1e6);
    ++count_;
  }
  std::uint64_t count() const { return count_; }
  // In milliseconds; 0 if the histogram is empty. `share` is in (0, 1].
  double Percentile(double share) const {
    if (count_ == 0) return 0;
    const auto target = static_cast<double>(count_) * share;
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
      seen += *bin;
      if (seen >= target) return bin.index() < 0 ? 0.01 : bin.bin().upper() > 1e5 ? 1e5 : bin.bin().upper();
    }
    return 1e5;
  }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(std::declval<Axis>())) bins_;
  std::uint64_t count_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_BASE_HISTOGRAM_H_
