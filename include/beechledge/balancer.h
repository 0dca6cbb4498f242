// The interface of beechledge: what a proxy tells the decision module, and what the module asks of it.
//
// One Balancer belongs to one proxy process. The host feeds it events in order of arrival, each with the
// time it happened, and carries out the actions that the call appended, in their order. Nothing here knows
// a wire, a socket or a thread; one Balancer is used from one thread at a time.
//
// The host maps its own ids to the small numbers used here. A RequestId is never reused while the request
// is open or an attempt for it is out. A ServerId stays with its server until the server is removed and no
// open request has an attempt at it; then it may be given to another, which the entry's name tells.
// Misuse (an unknown id, a clock that steps back, a duplicate id) is passed over and breaks nothing else.
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
using Time = std::chrono::nanoseconds;  // since an epoch of the host's choosing; never steps back
using RequestId = std::uint64_t;
using ServerId = std::uint32_t;  // dense: the host counts up from 0, and gives gone servers' again

// ---- Settings: stated once, at the start ----

enum class Effect {
  kSafe,
  kKeyed,
  kUnsafe
};                                        // repeat freely; within group and window; only if it never ran
enum class Group { kAll, kZone, kCell };  // which servers drop repeats of a keyed request

struct RequestClass {
  Duration aim{0};       // an answer within this earns the full worth
  Duration deadline{0};  // what a client waits in all
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
  double quota_per_s = 0;  // over all balancers; 0: none stated
};

enum class Origin { kThrough, kAside };  // servers fetch what they lack; or the balancer asks the origin
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
  bool list_must_be_asked = false;
  // Asked of an agent beside this balancer, which has what is pushed to it: nothing is spared by waiting.
  bool list_agent = false;
  Origin origin = Origin::kThrough;
  int origin_kind = -1;
  double origin_fall_multiple = 0;
  Duration origin_fall{0};
  ReportSource reports = ReportSource::kNone;
  Weights weights = Weights::kNone;
  bool retry_marked = false;
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
    double cold_from = 0.1;
    Duration ramp{std::chrono::seconds(30)};
    double fall_multiple = 2;
    Duration fall{std::chrono::seconds(1)};
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
  std::string name;  // the same text at every balancer; it is hashed, never read
  int zone = 0;
  int kind = 0;
  int cell = 0;
  Availability availability = Availability::kUp;
  double scale = 1;
  Time started{0};  // 0: long ago
};

enum class ListKind { kChanges, kAll, kRemembered, kRefused };

struct ServerList {
  ListKind kind = ListKind::kAll;
  std::vector<ServerEntry> entries;
  bool old = false;  // of a remembered one: servers in it may have been replaced since
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
  kFull,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kMoot,
  kMiss,
  kSpoilt  // an answer that cannot be read: it has run, and the server is at work
};
// Does it prove that the attempt had no effect?
inline bool NeverRan(Result r) {
  return r == Result::kFull || r == Result::kConnectFailed || r == Result::kMoot || r == Result::kMiss;
}
enum class Note { kNone, kHit, kMiss, kMissFetching };

struct LoadReport {  // a value that the site does not report is absent
  std::optional<double> inflight, queue, util, latency_ms, qps, eps, x0, x1;
};

struct Outcome {
  RequestId id = 0;
  ServerId server = 0;
  int attempt = 0;
  bool complete = false;  // the request has ended, now or before
  Duration latency{0};
  Result result = Result::kOk;
  Note note = Note::kNone;
  std::optional<LoadReport> report;
};

struct FirstByte {  // a streamed answer has begun
  RequestId id = 0;
  ServerId server = 0;
  int attempt = 0;
  Duration latency{0};
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

struct Send {  // one attempt; attempts of a request count 0, 1, 2 ... in the order of their sends
  RequestId id;
  ServerId server;
  Duration timeout;  // 0: until the client gives up
};
struct Refuse {  // final: nothing ran, a new try does no harm
  RequestId id;
  Duration retry_after;
};
struct Fail {  // final: no promise
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
struct Tell {
  int to;  // -1: every peer
  std::string bytes;
};
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, Refuse, Fail, Cancel, SetTimer, Subscribe, FetchList, Probe, CloseIdle, Tell, Log>;
using Actions = std::vector<Action>;

// ---- The module ----

struct Kept;

class Balancer {
 public:
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Takes one event that happened at `now` and appends what is to be done about it to `out`.
  void Handle(Time now, const Event& event, Actions& out);

  // What it has learnt of the servers that are up now, at most so many keys; and the same taken up again,
  // of a list that names them: evidence counts for `faith` of what it did (0 to 1), and only beside what is
  // known.
  Kept Keep(Time now, std::size_t most_keys) const;
  void Recall(Time now, const Kept& kept, double faith);

  // For figures, and it decides nothing: the servers listed as up, other than the origin's kind, that the
  // module avoids now by its own choice (ejected after failures, or in a hall that has fallen silent).
  std::size_t Avoided() const;
  bool Avoids(ServerId id) const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace beechledge

#endif  // BEECHLEDGE_BALANCER_H_
