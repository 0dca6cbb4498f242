// The record of one run, as the emulated servers and the clients observed it; nothing in it is reported by
// the routers themselves. The world and the load each write their half on their own thread; the halves are
// combined once both threads have stopped. Times are Unix time; the clocks of the two threads agree to
// within a few microseconds.
#ifndef BRASSWOOD_LAB_TRUTH_TRUTH_H_
#define BRASSWOOD_LAB_TRUTH_TRUTH_H_

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "lab/base/scenario.h"
#include "lab/truth/overload_meter.h"

namespace brasswood::lab {

// A request's id on the wire is this number in 16 hexadecimal digits. 0 means that the id on the wire had
// another form.
using RequestId = std::uint64_t;

inline std::string FormatId(RequestId id) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  return text;
}
inline RequestId ParseId(std::string_view text) {
  if (text.size() != 16) return 0;
  char* end = nullptr;
  const std::string copy(text);
  const RequestId id = std::strtoull(copy.c_str(), &end, 16);
  return end == copy.c_str() + 16 ? id : 0;
}

// Formats a duration, for example as "12.34 ms".
inline std::string FormatMs(Duration d) {
  std::ostringstream out;
  out << static_cast<double>(d.count() / 10000) / 100 << " ms";
  return out.str();
}

constexpr int kOrigin = 0;  // index of the origin in WorldRecord::servers

// A cache server or the origin.
struct ServerRecord {
  std::string uid, kind;
  int hall = 0;
  Capacity capacity;
  std::vector<Time> restarts;  // times of its restarts, in order; capacity.started is the latest
  Time stopped_at{0};          // when its process ended; 0: it runs at the end
  bool overloaded = false;     // a cache server (while cold) or the origin stopped serving because of it
  // The capacity as it was at that moment. Guards against applying a later restart to work that was
  // received before it.
  Capacity CapacityAt(Time at) const {
    Capacity then = capacity;
    if (restarts.empty() || at >= capacity.started) return then;
    then.started = first_started;
    for (const Time start : restarts) {
      if (start <= at) then.started = start;
    }
    return then;
  }
  Time first_started{0};  // start time before any restart
};

// How an attempt ended whose command or request was received completely by a server.
enum class AttemptOutcome : std::uint8_t {
  kOpen,            // not ended yet
  kHit,             // served from the cache server's store
  kMiss,            // answered EN: no effect
  kServed,          // answered by the origin: a value, or a receipt of a write
  kTurnedAway,      // rejected with an answer that says it did not run
  kFailed,          // answered with an error that leaves open whether it ran
  kNeverAnswered,   // accepted and never answered
  kClosedByRouter,  // the router closed the connection before the answer
  kReset,           // the server reset the connection
  kMalformed        // answered with garbage or with half of an answer
};
inline constexpr std::string_view kAttemptOutcomeNames[] = {
    "open", "hit", "miss", "served", "turned away", "failed", "swallowed", "cut", "reset", "spoilt"};

struct AttemptRecord {
  RequestId request = 0;
  int server = 0, router = 0;
  Time first_byte_at{0}, received_at{0};  // when the server read its first and its last byte
  Time ended_at{0};  // when its answer was written or its connection was found closed; 0: neither happened
  AttemptOutcome outcome = AttemptOutcome::kOpen;
  bool write = false;
  bool applied = false;    // a write that took effect
  bool no_length = false;  // its answer was complete but stated no length, and ended with an orderly close
  bool after_cold_miss = false;  // a fetch for a request that had missed at a cold cache server
  float work_s = 0;              // work it cost the server, in seconds of a core of speed 1
  std::uint32_t serial = 0;      // unique number, contained in the value or receipt made for it
};

// A router was notified that a server is no longer in service; `at` is when all of the entry was written.
struct RemovalNotice {
  int router = 0, server = 0;
  Time at{0};
  bool assumed = false;  // nothing was written; the change has been in discovery for kNoticeAssumedAfter
};
// By then a router counts as notified, whether or not discovery's answer reached it.
constexpr Duration kNoticeAssumedAfter = std::chrono::seconds(6);

// A connection between a router and a cache server was accepted (`up`) or ended.
struct LinkRecord {
  int server = 0, router = 0;
  Time at{0};
  bool up = true;
};

// Discovery answered a router's call for the list, or refused it (503) because of its call rate limit.
struct ListRecord {
  int router = 0;
  Time at{0};
  bool refused = false;
};

struct WorldRecord {
  std::vector<ServerRecord> servers;    // the origin first
  std::vector<AttemptRecord> attempts;  // in the order in which they were received completely
  std::vector<RemovalNotice> removal_notices;
  std::vector<LinkRecord> links;       // connections to cache servers, in order of time
  std::vector<ListRecord> lists;       // answers of discovery, in order of time
  std::vector<Time> origin_overloads;  // when the origin stopped because it was overloaded
  Duration max_lag{0};                 // maximum lateness of the world's event loop
  Duration cpu{0};                     // CPU time of the world's thread
  std::uint64_t late_ticks = 0;        // how often its event loop was late by more than 20 ms
};

// How one try of a client ended.
enum class TryOutcome : std::uint8_t {
  kOpen,         // no answer while its client waited
  kValue,        // served: a value
  kReceipt,      // served: the receipt of a write
  kBusy,         // refused with `SERVER_ERROR busy`: it did not run
  kFailed,       // SERVER_ERROR of another kind
  kError,        // CLIENT_ERROR or ERROR
  kMalformed,    // the answer was malformed or belonged to another request
  kClosed,       // the router closed the connection instead of answering
  kUnreachable,  // no connection was established; nothing was sent
  kLeft,         // its client closed the connection before the answer
};
inline constexpr std::string_view kTryOutcomeNames[] = {
    "open", "value", "receipt", "busy", "failed", "error", "unreadable", "closed", "unreachable", "left"};

struct TryRecord {
  RequestId id = 0;
  std::uint32_t request_index = 0;  // index of its ClientRequest in LoadRecord::requests
  std::int16_t router = -1;
  std::uint8_t number = 0;  // 0: the first try
  TryOutcome outcome = TryOutcome::kOpen;
  bool resent = false;  // sent again on a new connection, because the reused one closed before an answer
  bool on_reused_connection = false;  // sent on a connection that had been used before
  Time sent{0};                       // when its last byte was handed to the kernel; 0: never
  Time ended{0};
  Duration timeout{0};       // the deadline that it states, counted from `sent`
  Duration retry_after{0};   // retry delay that a refusal states; 0: none
  std::uint32_t serial = 0;  // number in the value or receipt
};

// One request as a client wants it served, over all its tries.
struct ClientRequest {
  Time at{0};  // when the schedule says to send it: latencies count from here
  std::uint8_t request_class = 0, tenant = 0, hall = 0;
  bool done = false, served = false;
  Time ended{0};
};

struct LoadRecord {
  std::vector<ClientRequest> requests;
  std::vector<TryRecord> tries;
  Duration late_p999{0}, late_max{0};  // how far sending was behind the schedule
  Duration cpu{0};                     // CPU time of the load's thread
  std::uint64_t connections = 0;       // opened
  std::uint64_t sent_on_closing = 0;   // commands sent on a connection that was just being closed
  std::uint64_t flood_connections = 0;
};

// A time in which a router's process was down because of an injected fault.
struct RouterOutage {
  int router = 0;
  Time from{0}, until{0};
  Time launched{0};   // when it was started again
  Time term_sent{0};  // when SIGTERM was sent, some time before it was killed; 0: no SIGTERM
};

// A time in which a router's process was suspended by an injected fault.
struct RouterPause {
  int router = 0;
  Time from{0}, until{0};
};

// A router received a new configuration.
struct ReloadRecord {
  int router = 0;
  Time at{0};
};

struct RunRecord {
  Scenario scenario;
  Time start{0};  // when the load began
  WorldRecord world;
  LoadRecord load;
  std::vector<RouterOutage> outages;
  std::vector<RouterPause> pauses;
  std::vector<ReloadRecord> reloads;
  std::vector<std::string> router_logs;  // file names, by router
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_TRUTH_TRUTH_H_
