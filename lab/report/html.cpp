// Writes report.html. The page is self-contained: the plots are SVG generated here, so it opens in any
// browser and needs no script.
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "lab/report/beliefs.h"
#include "lab/report/write.h"

namespace brasswood::lab {
namespace {

std::string Escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string FormatShort(double v) {
  std::ostringstream out;
  if (v != 0 && (std::abs(v) < 0.01 || std::abs(v) >= 1e5)) {
    out << std::setprecision(2) << v;
  } else {
    out << std::setprecision(v < 10 ? 3 : 5) << v;
  }
  return out.str();
}

// The colour-blind safe palette of Okabe and Ito (2008); its colours also differ in lightness.
constexpr const char* kColours[] = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                                    "#e69f00", "#56b4e9", "#000000", "#999999"};

struct Line {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

struct Plot {
  std::string title, unit;
  std::vector<Line> lines;
  bool log = false;      // logarithmic vertical axis
  double min_top = 0;    // minimum for the top of the vertical axis
  double fixed_top = 0;  // exact top of the vertical axis, if not 0
};

class Drawing {
 public:
  Drawing(const Plot& plot, const Figures& figures, double length)
      : plot_(plot), f_(figures), length_(length) {}

  std::string Draw() {
    Scale();
    out_ << "<figure><figcaption>" << Escape(plot_.title) << " <small>(" << Escape(plot_.unit)
         << ")</small></figcaption><svg viewBox='0 0 860 " << kTop + kHeight + 40 << "' role='img'>";
    Faults();
    Axes();
    for (std::size_t i = 0; i < plot_.lines.size(); ++i) {
      out_ << "<polyline fill='none' stroke-width='1.6' stroke='" << kColours[i % 8] << "' points='";
      for (const auto& [x, y] : plot_.lines[i].points) out_ << Num(X(x)) << "," << Num(Y(y)) << " ";
      out_ << "'/>";
    }
    out_ << "</svg><p class='key'>";
    for (std::size_t i = 0; i < plot_.lines.size(); ++i) {
      out_ << "<span><i style='background:" << kColours[i % 8] << "'></i>" << Escape(plot_.lines[i].name)
           << "</span>";
    }
    out_ << "</p></figure>";
    return out_.str();
  }

 private:
  static constexpr double kLeft = 64, kRight = 848, kTop = 20, kHeight = 220;

  static std::string Num(double v) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << v;
    return out.str();
  }
  void Scale() {
    double low = 1e300, high = 0;
    for (const Line& line : plot_.lines) {
      for (const auto& [x, y] : line.points) {
        high = std::max(high, y);
        if (y > 0) low = std::min(low, y);
      }
    }
    if (plot_.log) {
      low_ = std::floor(std::log10(std::clamp(low, 1e-3, 1e6)));
      high_ = std::max(low_ + 1, std::ceil(std::log10(std::max(high, 1e-3))));
      return;
    }
    high = std::max(high, plot_.min_top);
    if (high <= 0) high = 1;
    // Four grid steps of a round size.
    double step = std::pow(10, std::floor(std::log10(high / 4)));
    for (const double times : {1.0, 2.0, 2.5, 5.0, 10.0}) {
      if (4 * step * times < high) continue;
      step *= times;
      break;
    }
    high_ = plot_.fixed_top > 0 ? plot_.fixed_top : 4 * step;
    low_ = 0;
  }
  double X(double s) const { return kLeft + (kRight - kLeft) * std::clamp(s / length_, 0.0, 1.0); }
  double Y(double v) const {
    const double at = plot_.log ? (v <= 0 ? low_ : std::log10(v)) : v;
    return kTop + kHeight * (1 - std::clamp((at - low_) / (high_ - low_), 0.0, 1.0));
  }
  void Faults() {
    int row = 0;
    for (const FaultFigures& x : f_.faults) {
      const double from = X(x.from_s), width = std::max(2.0, X(x.until_s) - from);
      out_ << "<rect x='" << Num(from) << "' y='" << kTop << "' width='" << Num(width) << "' height='"
           << kHeight << "' fill='#f2c14e' opacity='.28'/>";
      // The labels alternate between two rows above the plot; near the right edge they are right-aligned.
      const bool near_right_edge = from > kRight - 120;
      out_ << "<text class='fault' x='" << Num(near_right_edge ? from + width : from + 2) << "' y='"
           << 8 + 10 * (row++ % 2) << "'" << (near_right_edge ? " text-anchor='end'" : "") << ">"
           << Escape(x.kind) << "</text>";
    }
  }
  void Axes() {
    for (int i = 0; i <= (plot_.log ? static_cast<int>(high_ - low_) : 4); ++i) {
      const double v = plot_.log ? std::pow(10, low_ + i) : low_ + (high_ - low_) * i / 4;
      const double y = Y(v);
      out_ << "<line x1='" << kLeft << "' x2='" << kRight << "' y1='" << Num(y) << "' y2='" << Num(y)
           << "' class='grid'/><text x='" << kLeft - 6 << "' y='" << Num(y + 4) << "' text-anchor='end'>"
           << FormatShort(v) << "</text>";
    }
    const double step = length_ <= 12 ? 1 : length_ <= 30 ? 5 : length_ <= 120 ? 10 : 60;
    for (double s = 0; s <= length_ + 1e-9; s += step) {
      out_ << "<text x='" << Num(X(s)) << "' y='" << kTop + kHeight + 16 << "' text-anchor='middle'>" << s
           << "</text>";
    }
    out_ << "<text x='" << (kLeft + kRight) / 2 << "' y='" << kTop + kHeight + 24 + 8
         << "' text-anchor='middle'>seconds since the start of the load</text>";
  }

  const Plot& plot_;
  const Figures& f_;
  double length_, low_ = 0, high_ = 1;
  std::ostringstream out_;
};

template <class F>
Line Over(const Figures& f, const std::string& name, F value) {
  Line line{name, {}};
  for (const Bin& b : f.bins) line.points.emplace_back(b.at_s, value(b));
  return line;
}

// One column per second and one row per machine (machines without figures are left out). Darker means more;
// values above 1 use the colour `over_colour`.
std::string HeatMap(const std::vector<std::vector<float>>& figures, const std::string& title,
                    const std::string& about, const char* colour, const char* over_colour) {
  constexpr double kWidth = 784, kRowHeight = 9;
  std::ostringstream out;
  std::size_t rows = 0, seconds = 0;
  for (const auto& row : figures) seconds = std::max(seconds, row.size());
  if (seconds == 0) return {};
  const double column_width = kWidth / static_cast<double>(seconds);
  for (const auto& row : figures) {
    if (row.empty()) continue;
    for (std::size_t second = 0; second < seconds; ++second) {
      const double v = row[second];
      if (v <= 0) continue;
      out << "<rect x='" << 64 + column_width * static_cast<double>(second) << "' y='"
          << 4 + kRowHeight * static_cast<double>(rows) << "' width='" << column_width << "' height='"
          << kRowHeight << "' fill='" << (v > 1 ? over_colour : colour) << "' opacity='" << std::min(1.0, v)
          << "'/>";
    }
    ++rows;
  }
  std::ostringstream all;
  all << "<figure><figcaption>" << title << " <small>(" << about
      << ")</small></figcaption><svg viewBox='0 0 860 " << 12 + kRowHeight * static_cast<double>(rows)
      << "' role='img'>" << out.str() << "</svg></figure>";
  return all.str();
}

std::string NodeTable(const Figures& f) {
  double most = 0.01;
  for (const NodeFigures& n : f.nodes) most = std::max(most, n.load);
  std::ostringstream out;
  out << "<h2>Machines</h2><table><tr><th>machine</th><th>hall</th><th>attempts</th><th>load</th><th></th>"
         "<th>hits</th><th></th><th>turned away</th></tr>";
  for (const NodeFigures& n : f.nodes) {
    const double reads = static_cast<double>(n.hits + n.misses);
    const double hits = reads == 0 ? 0 : static_cast<double>(n.hits) / reads;
    const auto bar = [&](double share, const char* colour) {
      out << "<td><svg width='130' height='12'><rect width='" << std::clamp(share, 0.0, 1.0) * 130
          << "' height='12' fill='" << colour << "'/></svg></td>";
    };
    out << "<tr><td>" << Escape(n.uid) << (n.cold_start ? " (cold start)" : "") << "</td><td>"
        << Escape(n.hall) << "</td><td class='n'>" << n.attempts << "</td><td class='n'>"
        << FormatShort(std::round(n.load * 1000) / 1000) << "</td>";
    bar(n.load / most, kColours[0]);
    out << "<td class='n'>" << (reads == 0 ? "-" : FormatShort(std::round(hits * 1000) / 1000)) << "</td>";
    bar(hits, kColours[2]);
    out << "<td class='n'>" << n.turned_away << "</td></tr>";
  }
  out << "</table>";
  return out.str();
}

}  // namespace

std::string ReportHtml(const Outcome& outcome, const Figures& f) {
  const Scenario& s = outcome.record.scenario;
  const double length = static_cast<double>(s.length.count()) / 1e9;
  std::vector<Plot> plots;
  const auto share = [](const Bin& b) {
    return b.asked == 0 ? 1.0 : static_cast<double>(b.endings[0]) / static_cast<double>(b.asked);
  };
  plots.push_back({"Answered in time", "share of first tries", {Over(f, "in time", share)}, false, 0, 1});
  plots.push_back({"Latency from the intended send",
                   "ms, served requests, logarithmic",
                   {Over(f, "50th percentile", [](const Bin& b) { return b.latency.p50; }),
                    Over(f, "90th", [](const Bin& b) { return b.latency.p90; }),
                    Over(f, "99th", [](const Bin& b) { return b.latency.p99; })},
                   true});
  Plot endings{"How requests ended", "per second", {}};
  for (std::size_t e = 0; e < kEndingCount; ++e) {
    endings.lines.push_back(Over(f, std::string(kEndingNames[e]),
                                 [e](const Bin& b) { return static_cast<double>(b.endings[e]) * 2; }));
  }
  plots.push_back(std::move(endings));
  plots.push_back(
      {"Load on the origin",
       "work sent, share of capacity",
       {Over(f, "load", [](const Bin& b) { return b.origin_load; }), {"capacity", {{0, 1}, {length, 1}}}},
       false,
       1.2});
  plots.push_back(
      {"Attempts",
       "per second",
       {Over(f, "clients' tries", [](const Bin& b) { return static_cast<double>(b.tries) * 2; }),
        Over(f, "attempts at machines", [](const Bin& b) { return static_cast<double>(b.attempts) * 2; }),
        Over(f, "fetches", [](const Bin& b) { return static_cast<double>(b.fetches) * 2; })}});
  Plot cpu{"CPU of the routers", "share of a core", {}}, memory{"Memory of the routers", "MB", {}};
  for (std::size_t r = 0; r < f.routers.size(); ++r) {
    Line c{"router " + std::to_string(r), {}}, m = c;
    const Sample* last = nullptr;
    for (const Sample& sample : outcome.samples) {
      if (sample.router != static_cast<int>(r)) continue;
      const double at = static_cast<double>(sample.at.count()) / 1e9;
      m.points.emplace_back(at, sample.usage.memory_mb);
      if (last != nullptr && sample.at - last->at < std::chrono::milliseconds(900)) continue;
      if (last != nullptr) {
        const double span = static_cast<double>((sample.at - last->at).count()) / 1e9;
        c.points.emplace_back(at, std::max(0.0, sample.usage.cpu_s - last->usage.cpu_s) / span);
      }
      last = &sample;
    }
    cpu.lines.push_back(std::move(c));
    memory.lines.push_back(std::move(m));
  }
  plots.push_back(std::move(cpu));
  plots.push_back(std::move(memory));

  std::ostringstream out;
  out << "<!doctype html><html lang='en'><meta charset='utf-8'><title>" << Escape(s.name)
      << "</title><style>body{font:15px/1.45 'DejaVu "
         "Sans',system-ui,sans-serif;max-width:1000px;margin:24px auto;padding:0 "
         "16px;color:#222}figure{margin:0 0 22px}figcaption{font-weight:600}svg{width:100%;height:auto}td "
         "svg{width:130px}svg text{font-size:11px;fill:#444}svg text.fault{font-size:10px;fill:#8a6100}"
         ".grid{stroke:#ddd;stroke-width:1}.key{margin:0;font-size:13px}.key "
         "span{margin-right:16px;white-space:nowrap}"
         ".key i{display:inline-block;width:14px;height:4px;margin-right:5px;vertical-align:middle}"
         "table{border-collapse:collapse;font-size:13px;margin-bottom:20px}td,th{padding:3px "
         "9px;border-bottom:1px solid "
         "#e4e4e4;text-align:left}td.n{text-align:right;font-variant-numeric:tabular-nums}"
         "pre{background:#f6f6f6;padding:12px;white-space:pre-wrap;font-size:12px}.passed{color:#00704f}."
         "failed,"
         ".void{color:#b3400b}"
         "</style><h1>"
      << Escape(s.name) << ": <span class='" << VerdictName(DecideVerdict(outcome, f)) << "'>"
      << VerdictName(DecideVerdict(outcome, f)) << "</span></h1><p>" << Escape(s.about) << "</p><pre>"
      << Escape(Summary(outcome, f)) << "</pre>";
  for (const Plot& plot : plots) out << Drawing(plot, f, length).Draw();
  out << HeatMap(f.spread.use, "Utilisation of cache servers",
                 "one row per server, one column per second; darker is higher, red is above its capacity",
                 kColours[0], "#b3400b")
      << HeatMap(ReadAvoidedShares(outcome.record), "Avoided by routers",
                 "the same rows; darker: avoided by more routers, according to their debug logs",
                 kColours[7], kColours[7])
      << NodeTable(f);
  if (!outcome.violations.empty()) {
    out << "<h2>Violated rules</h2><pre>";
    for (std::size_t i = 0; i < outcome.violations.size() && i < 20; ++i) {
      out << Escape(DescribeViolation(outcome.record, outcome.violations[i])) << "\n";
    }
    out << "</pre>";
  }
  return out.str() + "</html>\n";
}

}  // namespace brasswood::lab
