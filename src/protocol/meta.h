// The meta commands of the memcache text protocol, both ways.
#ifndef BRASSWOOD_PROTOCOL_META_H_
#define BRASSWOOD_PROTOCOL_META_H_

#include <optional>
#include <string>
#include <string_view>

#include "config/limits.h"
#include "config/settings.h"
#include "core/ends.h"
#include "protocol/parse.h"

namespace brasswood {

// ---- From clients ----

enum class Verb { kRequest, kNoop, kQuit, kUnknown, kMalformed };

struct Command {
  Verb verb = Verb::kUnknown;
  RequestContent content;  // of a request
  std::string error;       // of a malformed command: what follows CLIENT_ERROR
};

// One command. kBad: framing is lost, and `command.error` says why.
Parsed ParseCommand(std::string_view in, const Limits& limits, std::size_t& used, Command& command);

// The engine's view of a request, from its labels. Empty, or what is wrong with them: such a request must
// not run.
std::string BuildRequest(RequestContent content, const Names& names, const Limits& limits,
                         NewRequest& request);

void AppendAnswer(std::string& out, std::string_view id, const Answer& answer, const Limits& limits);

// ---- To cache servers ----

// `left`: how long the router will wait, which takes the place of `d`.
std::string WriteAttempt(const RequestContent& request, Duration left);

// The answer to an attempt. kBad: it is spoilt, or not this attempt's.
Parsed ParseAttemptReply(std::string_view in, const RequestContent& request, const Limits& limits,
                         std::size_t& used, AttemptEnd& end);

// The head line alone of an attempt's answer. A VA head gives the value's `length` and `used` ends where
// the value begins; any other answer is left to ParseAttemptReply (`length` empty). kBad as
// ParseAttemptReply.
Parsed ParseAttemptHead(std::string_view in, const RequestContent& request, const Limits& limits,
                        std::size_t& used, AttemptEnd& end, std::optional<std::uint64_t>& length);

// The answer to `mn` or, with `load`, to `stats load`.
Parsed ParseProbeReply(std::string_view in, bool load, const Limits& limits, std::size_t& used,
                       AttemptEnd& end);

// A figure of a load report under its name; others are passed over.
void SetReportField(beechledge::LoadReport& report, std::string_view name, double value);

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_META_H_
