// Counts of the connections, requests, attempts and answers of this process. Printed on SIGUSR1 and at
// exit.
#ifndef BRASSWOOD_BASE_COUNTERS_H_
#define BRASSWOOD_BASE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <vector>

#include "base/invariants.h"
#include "base/send_verdict.h"

namespace brasswood {

// Why a client's connection ended, as seen by the router.
enum class ClientEndReason : std::size_t {
  kClosedByClient,  // the client closed it, or the connection failed
  kIdleTimeout,     // idle for too long
  kEvicted,         // evicted in favour of another client
  kCommandTimeout,  // no complete command arrived in time
  kBadCommand,      // a malformed command: where the next one begins is not known
  kQuit,            // the client sent `quit`
  kValueTruncated,  // the rest of a value that was being sent is missing
  kClientStalled,   // the client did not read its answers, or did not close, in time
  kDraining,        // operators are draining the router
  kShutdown,        // the router is shutting down
  kNoMemory,        // no buffer could be allocated for it
  kCount,
};
inline constexpr std::array<const char*, static_cast<std::size_t>(ClientEndReason::kCount)>
    kClientEndReasonNames = {"by_client", "rested",        "made_way",  "silent",   "bad_command", "quit",
                             "value_cut", "takes_nothing", "sent_away", "stopping", "no_memory"};

struct Counters {
  std::uint64_t clients = 0;                          // client connections accepted
  std::uint64_t requests_in = 0;                      // commands accepted as requests
  std::uint64_t turned_away = 0;                      // requests refused at the limit on open requests
  std::uint64_t bad_commands = 0;                     // commands answered CLIENT_ERROR or ERROR
  std::uint64_t silent = 0;                           // clients closed without a complete command in time
  std::uint64_t made_way = 0;                         // clients evicted in favour of others
  std::uint64_t refused_stopping = 0;                 // requests read too late in a shutdown
  std::uint64_t failed_stopping = 0;                  // requests open when a shutdown's time was up
  std::uint64_t served = 0, refused = 0, failed = 0;  // requests by their answer
  std::uint64_t gone = 0;                             // requests whose client closed before its answer
  std::uint64_t attempts_sent = 0;                    // attempts handed to a connection pool
  std::array<std::uint64_t, 10> attempts_ended{};     // by beechledge::Result
  std::uint64_t connections = 0;                      // connections opened to servers
  std::uint64_t connections_reused = 0;
  std::uint64_t probes = 0;
  std::uint64_t lists = 0, lists_refused = 0;  // answers of discovery
  std::uint64_t upstream_tries = 0;  // attempts whose last byte was sent, to a cache server or the origin
  struct ByClass {
    std::uint64_t passed = 0, dropped = 0, bad_gateway = 0;  // served, refused, failed
  };
  std::vector<ByClass> by_class;  // by the module's class index
  std::array<std::uint64_t, static_cast<std::size_t>(ClientEndReason::kCount)> clients_ended{};
  // Attempts that core/send_guard.h did not allow to be sent, by reason.
  std::array<std::uint64_t, static_cast<std::size_t>(SendVerdict::kCount)> sends_held_back{};
  Invariants invariants;
};

// The name of a beechledge::Result, given by its number, in the counters and the log.
const char* ResultName(std::size_t result);

std::ostream& operator<<(std::ostream& out, const Counters& c);

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_COUNTERS_H_
