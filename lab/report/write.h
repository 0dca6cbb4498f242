// The output files of a run: result.json for programs, report.html and a short summary for people.
#ifndef BRASSWOOD_LAB_REPORT_WRITE_H_
#define BRASSWOOD_LAB_REPORT_WRITE_H_

#include <string>

#include "lab/report/figures.h"

namespace brasswood::lab {

// The version of result.json. It is incremented when a field is removed or changes its meaning; docs/LAB.md
// documents the fields.
constexpr int kResultVersion = 1;

enum class Verdict { kPassed, kFailed, kVoid, kPartial };
Verdict DecideVerdict(const Outcome& outcome, const Figures& figures);
std::string_view VerdictName(Verdict verdict);

// The expectations of the scenario that the result does not meet, as messages.
std::vector<std::string> UnmetExpectations(const Outcome& outcome, const Figures& figures);

std::string ResultJson(const Outcome& outcome, const Figures& figures);
std::string ReportHtml(const Outcome& outcome, const Figures& figures);
std::string Summary(const Outcome& outcome, const Figures& figures);

// Writes all files into the folder, and stories.txt if a rule was violated. A file is either complete or
// absent.
void WriteAll(const std::string& folder, const Outcome& outcome, const Figures& figures);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_REPORT_WRITE_H_
