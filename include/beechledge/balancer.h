// The interface of beechledge: the events that a proxy passes to the decision module, and the actions that
// the module returns.
//
// One Balancer belongs to one proxy process. The host passes it events in order of arrival, each with the
// time it happened, and executes the actions that the call appended, in order. The module performs no I/O
// and starts no threads; a Balancer must be used from one thread at a time.
//
// The host maps its own ids to the small numbers used here. A RequestId is not reused while the request is
// open or one of its attempts is outstanding. A ServerId stays with its server until the server is removed
// and no open request has an attempt at it. It may then be assigned to another server; the module detects
// this by the entry's name. Invalid input (an unknown id, a clock that steps back, a duplicate id) is
// ignored and affects nothing else.
#ifndef BEECHLEDGE_BALANCER_H_
#define BEECHLEDGE_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace beechledge {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since an epoch that the host chooses; monotonic
using RequestId = std::uint64_t;
using ServerId = std::uint32_t;  // dense: counts up from 0; ids of removed servers are reused

// ---- Settings: passed once, at construction ----

// Whether a request may be repeated after an attempt that may have run.
enum class Effect {
  kSafe,   // always
  kKeyed,  // only within its deduplication group and window
  kUnsafe  // never
};
enum class Group { kAll, kZone, kCell };  // the servers that deduplicate repeats of a keyed request

struct RequestClass {
  Duration aim{0};       // an answer within this time earns the full worth
  Duration deadline{0};  // the total time a client waits
  double aim_stretch = 0;
  double worth = 1;
  double late_worth = 0;
  Effect effect = Effect::kUnsafe;
  Group group = Group::kAll;
  Duration window{0};
  bool stream = false;
};

struct Tenant {
  double share = 1;
  double quota_per_s = 0;  // summed over all balancers; 0: none
};

// How a missing key is fetched: by the cache server itself (read-through), or by the balancer's own request
// to the origin (cache-aside).
enum class Origin { kReadThrough, kCacheAside };
enum class ReportSource { kNone, kAnswers, kProbe };
enum class Weights { kNone, kNominal, kRough, kLive };

struct Settings {
  int balancers = 1;
  int me = 0;
  int zone = 0;
  int zones = 1;
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  double over_share_worth = 1;
  bool worth_by_work = false;
  bool list_by_request = false;
  // The list comes from a local agent that already has it by push, so its calls need not be spread out.
  bool local_list_agent = false;
  Origin origin = Origin::kReadThrough;
  int origin_kind = -1;
  double origin_overload_multiple = 0;
  Duration origin_overload_window{0};
  ReportSource reports = ReportSource::kNone;
  Weights weights = Weights::kNone;
  bool mark_retries = false;
  struct {
    bool cancel = false;
    bool probes = false;
    bool peers = false;
    bool parallel_tries = false;
    bool retry_after = false;
    int max_attempts = 1;
    int max_open = 20000;
    Duration max_retry_after{0};
    Duration connect_timeout{0};
  } allowed;
  struct {
    Duration answer_slack{0};
    Duration ask_within{std::chrono::seconds(10)};
    Duration drain_grace{0};
    double cold_start_share = 0.1;
    Duration ramp{std::chrono::seconds(30)};
    double overload_multiple = 2;
    Duration overload_window{std::chrono::seconds(1)};
  } rules;
  struct {
    double cross_zone = 0, waste = 0, origin = 0, probe = 0, late_fail = 0, handshake = 0;
  } prices;
  Duration tick{0};
};

// ---- Events: host to module ----

enum class Availability { kUp, kDraining, kRemoved };

struct ServerEntry {
  ServerId id = 0;
  std::string name;  // the same at every balancer; only its hash is used
  int zone = 0;
  int kind = 0;
  int cell = 0;
  Availability availability = Availability::kUp;
  double scale = 1;
  Time started{0};  // its last start; 0: long ago, so it is warm
};

enum class ListKind { kChanges, kAll, kPersisted, kRefused };

struct ServerList {
  ListKind kind = ListKind::kAll;
  std::vector<ServerEntry> entries;
  bool stale = false;  // for kPersisted: servers in it may have been replaced since
};

struct NewRequest {
  RequestId id = 0;
  int request_class = 0;
  int tenant = 0;
  std::optional<std::string> key;
  Duration ttl{0};
  std::optional<Duration> work_hint;
  std::optional<double> size_hint;
  bool repeat = false;
  bool write = false;
};

struct ClientGone {
  RequestId id = 0;
};

struct TimerFired {
  std::uint64_t token = 0;
};

enum class Result {
  kOk,
  kError,
  kRejected,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kObsolete,
  kMiss,
  kMalformed  // an unreadable answer: the request has run, and the server is working
};
// Whether this result proves that the attempt did not run.
inline bool DidNotRun(Result r) {
  return r == Result::kRejected || r == Result::kConnectFailed || r == Result::kObsolete ||
         r == Result::kMiss;
}
enum class Note { kNone, kHit, kMiss, kMissFetching };

struct LoadReport {  // a value that the server does not report is absent
  std::optional<double> inflight, queue, util, latency_ms, qps, eps, x0, x1;
};

struct Outcome {
  RequestId id = 0;
  ServerId server = 0;
  int attempt = 0;
  bool complete = false;  // the request has ended, with this outcome or earlier
  Duration latency{0};
  Result result = Result::kOk;
  Note note = Note::kNone;
  std::optional<LoadReport> report;
};

struct FirstByte {  // the first byte of a streamed answer has arrived
  RequestId id = 0;
  ServerId server = 0;
  int attempt = 0;
  Duration latency{0};
  // Whether the client receives the answer as it arrives, so that no other attempt can serve the request
  // any more. False: it is buffered first, and the request may be retried if the attempt fails.
  bool committed = true;
};

struct ProbeResult {
  ServerId server = 0;
  Result result = Result::kOk;
  Duration latency{0};
  std::optional<LoadReport> report;
};

struct PeerMessage {
  int from = 0;
  std::string bytes;
};

using Event = std::variant<ServerList, NewRequest, ClientGone, TimerFired, Outcome, FirstByte, ProbeResult,
                           PeerMessage>;

// ---- Actions: module to host ----

struct Send {  // starts an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of sending
  RequestId id;
  ServerId server;
  Duration timeout;  // 0: none but the client's own
};
struct Refuse {  // final: the client may safely retry, since nothing ran or a repeat has no effect
  RequestId id;
  Duration retry_after;
};
struct Fail {  // final: an attempt may have run, so a retry may repeat its effect
  RequestId id;
};
struct Cancel {
  RequestId id;
  int attempt;
};
struct SetTimer {
  std::uint64_t token;
  Time at;
};
struct Subscribe {
  bool on;
};
struct FetchList {};
struct Probe {
  ServerId server;
};
struct CloseIdle {
  ServerId server;
};
struct SendToPeers {
  int to;  // -1: all peers
  std::string bytes;
};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Subscribe, FetchList, Probe, CloseIdle,
                            SendToPeers, Log>;
using Actions = std::vector<Action>;

// ---- The module ----

struct LearnedState;

class Balancer {
 public:
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Processes one event that happened at `now` and appends the resulting actions to `out`.
  void Handle(Time now, const Event& event, Actions& out);

  // ExportState exports what was learned about the servers that are up, with the holders of at most
  // `max_keys` keys. RestoreState restores it, after a list that names the servers: `confidence` (0 to 1)
  // scales the weight of the restored evidence, which is added to what is already known.
  LearnedState ExportState(Time now, std::size_t max_keys) const;
  void RestoreState(Time now, const LearnedState& state, double confidence);

  // For metrics only: the servers listed as up, other than those of the origin's kind, that the module
  // avoids now by its own decision (ejected after failures, or in an unresponsive zone).
  std::size_t AvoidedCount() const;
  bool IsAvoided(ServerId id) const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_BALANCER_H_
