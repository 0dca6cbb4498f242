// What a run leaves: result.json for programs, report.html and a short text for people.
#ifndef BRASSWOOD_LAB_REPORT_WRITE_H_
#define BRASSWOOD_LAB_REPORT_WRITE_H_

#include <string>

#include "lab/report/figures.h"

namespace brasswood::lab {

// The version of result.json. It grows when a field changes its meaning or goes; docs/LAB.md has the
// fields.
constexpr int kResultVersion = 1;

enum class Verdict { kPassed, kFailed, kVoid, kPartial };
Verdict Decide(const Outcome& outcome, const Figures& figures);
std::string_view Name(Verdict verdict);

// What the scenario expects of its result and did not get; empty where it got all.
std::vector<std::string> Unmet(const Outcome& outcome, const Figures& figures);

std::string ResultJson(const Outcome& outcome, const Figures& figures);
std::string ReportHtml(const Outcome& outcome, const Figures& figures);
std::string Summary(const Outcome& outcome, const Figures& figures);

// All of them into the folder, and stories.txt where a rule was broken. Files are whole or not there.
void WriteAll(const std::string& folder, const Outcome& outcome, const Figures& figures);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_WRITE_H_
