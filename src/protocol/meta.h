// The meta commands of the memcache text protocol, as a server for clients and as a client of cache
// servers.
#ifndef BRASSWOOD_PROTOCOL_META_H_
#define BRASSWOOD_PROTOCOL_META_H_

#include <optional>
#include <string>
#include <string_view>

#include "config/limits.h"
#include "config/settings.h"
#include "core/interfaces.h"
#include "protocol/parse.h"

namespace brasswood {

// ---- From clients ----

enum class Verb { kRequest, kNoop, kQuit, kUnknown, kMalformed };

struct Command {
  Verb verb = Verb::kUnknown;
  RequestContent content;  // of a request
  std::string error;       // of a malformed command: the text after CLIENT_ERROR
};

// Parses one command. kBad: the framing is lost, and `command.error` states the reason.
Parsed ParseCommand(std::string_view in, const Limits& limits, std::size_t& used, Command& command);

// Fills `request` from a request's content and labels. Returns an empty string, or what is wrong with the
// labels; such a request must not be executed.
std::string BuildRequest(RequestContent content, const SettingNames& names, const Limits& limits,
                         NewRequest& request);

// Formats the answer to a client's request.
void AppendAnswer(std::string& out, std::string_view id, const Answer& answer, const Limits& limits);

// ---- To cache servers ----

// Formats the command for an attempt, which is one sending of a client's request to a cache server.
// `left`: how long the router will still wait for the answer. The label `d`, if the client sent it, states
// that time in ms (at least 1) instead of the client's value, so that no server works for an answer that
// nobody waits for any more.
std::string WriteAttempt(const RequestContent& request, Duration left);

// Parses the answer to an attempt. kBad: it is malformed, or does not belong to this attempt.
Parsed ParseAttemptReply(std::string_view in, const RequestContent& request, const Limits& limits,
                         std::size_t& used, AttemptResult& end);

// Parses only the head line of the answer to an attempt. For a VA line, `length` is the length of the value
// and `used` ends where the value begins; any other answer is left to ParseAttemptReply (`length` is
// empty). kBad as for ParseAttemptReply.
Parsed ParseAttemptHead(std::string_view in, const RequestContent& request, const Limits& limits,
                        std::size_t& used, AttemptResult& end, std::optional<std::uint64_t>& length);

// Parses the answer to `mn` or, with `load`, to `stats load`.
Parsed ParseProbeReply(std::string_view in, bool load, const Limits& limits, std::size_t& used,
                       AttemptResult& end);

// Sets the field `name` of a load report; unknown names are ignored.
void SetReportField(beechledge::LoadReport& report, std::string_view name, double value);

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_META_H_
