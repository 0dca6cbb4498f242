// Paired comparison: the runs of two sides come in pairs of one seed, and what counts is the difference
// within each pair.
#ifndef BRASSWOOD_LAB_REPORT_COMPARE_H_
#define BRASSWOOD_LAB_REPORT_COMPARE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace brasswood::lab {

double Median(std::vector<double> values);  // 0 of none

struct Interval {
  double low = 0, high = 0;
};
// Of the median, at 95%, by the percentile bootstrap (Efron 1979) over 4,000 resamples; the same seed gives
// the same interval. Fewer than 5 values say nothing: the interval is then without end on both sides.
Interval MedianInterval(const std::vector<double>& values, std::uint64_t seed);

struct Comparison {
  std::string name, unit;
  double a = 0, b = 0;                                  // medians
  double a_low = 0, a_high = 0, b_low = 0, b_high = 0;  // the least and the most
  double difference = 0;                                // median of B less A within pairs
  Interval interval;
  enum class Says { kNothing, kBetter, kWorse } says = Says::kNothing;  // of B
};
// `a` and `b` hold the values of the pairs in the same order.
Comparison Compare(std::string name, std::string unit, bool more_is_better, const std::vector<double>& a,
                   const std::vector<double>& b, std::uint64_t seed);

std::string Table(const std::vector<Comparison>& comparisons);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_COMPARE_H_
