// Paired comparison: the runs of two sides form pairs with the same seed, and the differences within the
// pairs are evaluated.
#ifndef BRASSWOOD_LAB_REPORT_COMPARE_H_
#define BRASSWOOD_LAB_REPORT_COMPARE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace brasswood::lab {

double Median(std::vector<double> values);  // 0 if empty

struct Interval {
  double low = 0, high = 0;
};
// The 95% confidence interval of the median, by the percentile bootstrap (Efron 1979) with 4,000 resamples;
// the same seed gives the same interval. Fewer than 5 values are not enough for a statement: the interval
// is then infinite on both sides.
Interval MedianInterval(const std::vector<double>& values, std::uint64_t seed);

struct Comparison {
  std::string name, unit;
  double a = 0, b = 0;                                  // medians
  double a_low = 0, a_high = 0, b_low = 0, b_high = 0;  // minimum and maximum
  double difference = 0;                                // median of B - A within pairs
  Interval interval;
  enum class Says { kNothing, kBetter, kWorse } says = Says::kNothing;  // about B
};
// `a` and `b` hold the values of the pairs, in the same order.
Comparison Compare(std::string name, std::string unit, bool more_is_better, const std::vector<double>& a,
                   const std::vector<double>& b, std::uint64_t seed);

// Formats the comparisons as a text table.
std::string Table(const std::vector<Comparison>& comparisons);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_COMPARE_H_
