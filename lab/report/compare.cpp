#include "lab/report/compare.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <sstream>

#include "lab/base/rng.h"

namespace brasswood::lab {

double Median(std::vector<double> v) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  const std::size_t middle = v.size() / 2;
  return v.size() % 2 == 1 ? v[middle] : (v[middle - 1] + v[middle]) / 2;
}

Interval MedianInterval(const std::vector<double>& values, std::uint64_t seed) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  if (values.size() < 5) return {-kInfinity, kInfinity};
  constexpr std::size_t kResamples = 4000;
  Rng rng = MakeRng(seed, Stream::kBootstrap);
  std::vector<double> medians(kResamples), sample(values.size());
  for (double& median : medians) {
    for (double& v : sample) v = values[rng(static_cast<std::uint32_t>(values.size()))];
    median = Median(sample);
  }
  std::sort(medians.begin(), medians.end());
  return {medians[kResamples * 25 / 1000], medians[kResamples * 975 / 1000 - 1]};
}

Comparison Compare(std::string name, std::string unit, bool more_is_better, const std::vector<double>& a,
                   const std::vector<double>& b, std::uint64_t seed) {
  Comparison c;
  c.name = std::move(name);
  c.unit = std::move(unit);
  if (a.empty() || a.size() != b.size()) return c;
  std::vector<double> differences;
  for (std::size_t i = 0; i < a.size(); ++i) differences.push_back(b[i] - a[i]);
  c.a = Median(a);
  c.b = Median(b);
  c.a_low = *std::min_element(a.begin(), a.end());
  c.a_high = *std::max_element(a.begin(), a.end());
  c.b_low = *std::min_element(b.begin(), b.end());
  c.b_high = *std::max_element(b.begin(), b.end());
  c.difference = Median(differences);
  c.interval = MedianInterval(differences, seed);
  if (c.interval.low > 0) c.says = more_is_better ? Comparison::Says::kBetter : Comparison::Says::kWorse;
  if (c.interval.high < 0) c.says = more_is_better ? Comparison::Says::kWorse : Comparison::Says::kBetter;
  return c;
}

std::string Table(const std::vector<Comparison>& all) {
  std::ostringstream out;
  out << std::setprecision(4);
  out << std::left << std::setw(36) << "figure" << std::setw(30) << "A: median (min to max)"
      << std::setw(30) << "B: median (min to max)" << std::setw(32) << "B - A, 95% interval"
      << "says\n";
  for (const Comparison& c : all) {
    std::ostringstream a, b, d;
    a << std::setprecision(4) << c.a << " (" << c.a_low << " to " << c.a_high << ")";
    b << std::setprecision(4) << c.b << " (" << c.b_low << " to " << c.b_high << ")";
    d << std::setprecision(3) << c.difference << " [" << c.interval.low << ", " << c.interval.high << "]";
    out << std::setw(36) << (c.unit.empty() ? c.name : c.name + " (" + c.unit + ")") << std::setw(30)
        << a.str() << std::setw(30) << b.str() << std::setw(32) << d.str()
        << (c.says == Comparison::Says::kNothing  ? "no difference shown"
            : c.says == Comparison::Says::kBetter ? "B is better"
                                                  : "B is worse")
        << "\n";
  }
  return out.str();
}

}  // namespace brasswood::lab
