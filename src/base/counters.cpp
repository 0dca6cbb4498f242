#include "base/counters.h"

#include <iterator>

namespace brasswood {

const char* ResultName(std::size_t result) {
  static constexpr const char* kResultNames[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                                 "reset", "cancelled", "moot", "miss",    "spoilt"};
  return result < std::size(kResultNames) ? kResultNames[result] : "unknown";
}

std::ostream& operator<<(std::ostream& out, const Counters& c) {
  out << "counters: clients=" << c.clients << " requests_in=" << c.requests_in
      << " turned_away=" << c.turned_away << " bad_commands=" << c.bad_commands << " silent=" << c.silent
      << " made_way=" << c.made_way << " served=" << c.served << " refused=" << c.refused
      << " failed=" << c.failed << " gone=" << c.gone << " attempts_sent=" << c.attempts_sent;
  for (std::size_t i = 0; i < c.attempts_ended.size(); ++i) {
    out << " attempts_" << ResultName(i) << '=' << c.attempts_ended[i];
  }
  out << " connections=" << c.connections << " connections_reused=" << c.connections_reused
      << " probes=" << c.probes << " lists=" << c.lists << " lists_refused=" << c.lists_refused
      << " upstream_tries=" << c.upstream_tries << " refused_stopping=" << c.refused_stopping
      << " failed_stopping=" << c.failed_stopping;
  for (std::size_t i = 0; i < c.clients_ended.size(); ++i) {
    out << " clients_" << kClientEndReasonNames[i] << '=' << c.clients_ended[i];
  }
  for (std::size_t i = 1; i < c.sends_held_back.size(); ++i) {
    out << " held_back_" << kSendVerdictNames[i] << '=' << c.sends_held_back[i];
  }
  return out << c.invariants;
}

}  // namespace brasswood
