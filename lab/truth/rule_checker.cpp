#include "lab/truth/rule_checker.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <unordered_map>

namespace brasswood::lab {
namespace {

// Added to every time limit, for the socket handling that the platform's rules allow.
constexpr Duration kSocketSlack = std::chrono::milliseconds(50);
// A request sent later than this after SIGTERM to its router must have its answer before the router is
// killed: the kill excuses only requests that were sent earlier.
constexpr Duration kShutdownGrace = std::chrono::milliseconds(700);
// An attempt must not begin later than this after its client left, as nobody waits for its result.
constexpr Duration kMaxStartAfterLeave = std::chrono::milliseconds(100);
// A router counts as notified of a change by elapsed time alone only while at most this share of the calls
// to discovery fail, and while discovery serves one call of every router within kMaxQueueDelay.
constexpr double kMaxFailedCallShare = 0.5;
constexpr Duration kMaxQueueDelay = std::chrono::seconds(1);
// From this many complete answers without a stated length on, at least half must be passed on.
constexpr std::size_t kMinAnswersWithoutLength = 10;

struct RequestHistory {
  const TryRecord* last_try = nullptr;         // the last try under its id
  std::vector<const AttemptRecord*> attempts;  // in the order in which they were received completely
};

bool Served(TryOutcome end) { return end == TryOutcome::kValue || end == TryOutcome::kReceipt; }

// Whether the attempt may have had an effect, as far as its router could tell.
bool MayHaveRun(const AttemptRecord& attempt) {
  return attempt.outcome != AttemptOutcome::kTurnedAway && attempt.outcome != AttemptOutcome::kMiss;
}

class RuleChecker {
 public:
  explicit RuleChecker(const RunRecord& truth)
      : truth_(truth), slack_(kSocketSlack + truth.world.max_lag + truth.load.late_max) {
    for (const TryRecord& client_try : truth.load.tries) requests_[client_try.id].last_try = &client_try;
    for (const AttemptRecord& attempt : truth.world.attempts)
      requests_[attempt.request].attempts.push_back(&attempt);
  }

  std::vector<Violation> Check() {
    for (const TryRecord& client_try : truth_.load.tries) CheckAnswer(client_try, requests_[client_try.id]);
    for (const TryRecord& client_try : truth_.load.tries)
      CheckAttemptsAfterLeaving(client_try, requests_[client_try.id]);
    CheckAnswersWithoutLength();
    for (const auto& [id, history] : requests_) CheckAttempts(id, history);
    CheckDrains();
    CheckOverload();
    std::sort(breaches_.begin(), breaches_.end(), [](const Violation& a, const Violation& b) {
      return std::pair(a.at, a.request) < std::pair(b.at, b.request);
    });
    return std::move(breaches_);
  }

 private:
  void Add(Rule rule, RequestId id, int server, Time at, std::string what) {
    breaches_.push_back({rule, id, server, at, std::move(what)});
  }

  // Whether an injected fault took the try's router down while the try was open.
  bool RouterWasDown(const TryRecord& client_try, Time until) const {
    return std::any_of(truth_.outages.begin(), truth_.outages.end(), [&](const RouterOutage& a) {
      const bool late = a.term_sent != Time(0) && client_try.sent > a.term_sent + kShutdownGrace &&
                        client_try.sent < a.from;
      return !late && a.router == client_try.router && client_try.sent <= a.until && until >= a.from;
    });
  }

  // For how long the router's process was suspended within that time.
  Duration SuspendedFor(int router, Time from, Time until) const {
    Duration all{0};
    for (const RouterPause& h : truth_.pauses) {
      if (h.router != router) continue;
      all += std::max(Duration(0), std::min(until, h.until) - std::max(from, h.from));
    }
    return all;
  }

  void CheckAttemptsAfterLeaving(const TryRecord& client_try, const RequestHistory& history) {
    if (client_try.outcome != TryOutcome::kLeft) return;
    for (const AttemptRecord* attempt : history.attempts) {
      const Duration delay = attempt->first_byte_at - client_try.ended;
      if (delay <= kMaxStartAfterLeave + slack_ +
                       SuspendedFor(client_try.router, client_try.ended, attempt->first_byte_at))
        continue;
      Add(Rule::kAnswer, client_try.id, attempt->server, attempt->first_byte_at,
          "an attempt began " + FormatMs(delay) + " after its client left");
    }
  }

  void CheckAnswersWithoutLength() {
    std::size_t complete = 0, passed = 0;
    for (const TryRecord& client_try : truth_.load.tries) {
      for (const AttemptRecord* attempt : requests_[client_try.id].attempts) {
        const Time due = client_try.sent + client_try.timeout;
        if (!attempt->no_length || client_try.outcome == TryOutcome::kLeft ||
            attempt->ended_at > std::min(due, client_try.ended) || RouterWasDown(client_try, due))
          continue;
        ++complete;
        passed += Served(client_try.outcome) && attempt->serial == client_try.serial;
      }
    }
    if (complete < kMinAnswersWithoutLength || 2 * passed >= complete) return;
    Add(Rule::kAnswer, 0, kOrigin, truth_.start,
        "of " + std::to_string(complete) + " complete answers without a stated length only " +
            std::to_string(passed) + " were passed on");
  }

  void CheckAnswer(const TryRecord& client_try, const RequestHistory& history) {
    // Never sent, cut off by the end of an interrupted run, or given up by its client.
    if (client_try.sent == Time(0) || client_try.ended == Time(0) ||
        client_try.outcome == TryOutcome::kLeft)
      return;
    const Time due = client_try.sent + client_try.timeout + truth_.scenario.rules.answer_slack + slack_ +
                     SuspendedFor(client_try.router, client_try.sent, client_try.ended);
    if (RouterWasDown(client_try, client_try.ended)) return;
    switch (client_try.outcome) {
      case TryOutcome::kOpen:
        return Add(Rule::kAnswer, client_try.id, -1, due, "no answer until its client gave up");
      case TryOutcome::kClosed:
        // A router may close an idle connection, so a request that it had not sent on is not lost: its
        // client sends it again. It is lost when that was already the second connection, when the
        // connection was new, or when an attempt had been sent.
        if (client_try.resent || !client_try.on_reused_connection ||
            std::any_of(
                history.attempts.begin(), history.attempts.end(),
                [&](const AttemptRecord* attempt) { return attempt->received_at <= client_try.ended; })) {
          Add(Rule::kAnswer, client_try.id, -1, client_try.ended,
              "the connection was closed without an answer");
        }
        return;
      case TryOutcome::kMalformed:
        return Add(Rule::kAnswer, client_try.id, -1, client_try.ended,
                   "the answer is malformed or belongs to another request");
      case TryOutcome::kError:
        return Add(Rule::kAnswer, client_try.id, -1, client_try.ended,
                   "a valid command was answered with a client error");
      case TryOutcome::kUnreachable:
        return;
      default:
        break;
    }
    if (client_try.ended > due) {
      Add(Rule::kAnswer, client_try.id, -1, client_try.ended,
          "answered " + FormatMs(client_try.ended - client_try.sent) +
              " after it was sent; its deadline is " + FormatMs(client_try.timeout));
    }
    if (Served(client_try.outcome)) {
      const bool made =
          std::any_of(history.attempts.begin(), history.attempts.end(), [&](const AttemptRecord* attempt) {
            return attempt->serial == client_try.serial && (attempt->outcome == AttemptOutcome::kHit ||
                                                            attempt->outcome == AttemptOutcome::kServed);
          });
      if (!made)
        Add(Rule::kAnswer, client_try.id, -1, client_try.ended,
            "no server made this value or receipt for the request");
    }
  }

  void CheckAttempts(RequestId id, const RequestHistory& history) {
    if (history.last_try == nullptr) {
      for (const AttemptRecord* attempt : history.attempts) {
        Add(Rule::kOnce, id, attempt->server, attempt->received_at,
            "an attempt without a client's request");
      }
      return;
    }
    const ClassPlan& plan =
        truth_.scenario.classes[truth_.load.requests[history.last_try->request_index].request_class];
    // A request that its client sent again is a new request to the router that receives it.
    const auto resent_attempts = std::count_if(
        history.attempts.begin(), history.attempts.end(), [&history](const AttemptRecord* attempt) {
          return history.last_try->resent && attempt->received_at >= history.last_try->sent;
        });
    const auto attempts =
        std::max<std::ptrdiff_t>(resent_attempts, std::ssize(history.attempts) - resent_attempts);
    if (attempts > truth_.scenario.rules.max_attempts) {
      Add(Rule::kOnce, id, history.attempts.back()->server, history.attempts.back()->received_at,
          std::to_string(attempts) + " attempts");
    }
    Time first_run{0};
    for (std::size_t i = 0; i < history.attempts.size(); ++i) {
      const AttemptRecord& attempt = *history.attempts[i];
      // When its connection closes and the client sends the request again, the repeat is the client's.
      const bool by_client = history.last_try->resent && attempt.received_at >= history.last_try->sent;
      if (by_client && i > 0 && history.attempts[i - 1]->received_at < history.last_try->sent)
        first_run = Time(0);
      for (std::size_t j = 0; j < i; ++j) {
        const AttemptRecord& earlier = *history.attempts[j];
        if (by_client && earlier.received_at < history.last_try->sent) continue;
        if (earlier.ended_at == Time(0) || earlier.ended_at > attempt.received_at) {
          Add(Rule::kOnce, id, attempt.server, attempt.received_at,
              "a second attempt while the one at " + Uid(earlier.server) + " was open");
        }
      }
      if (plan.repeats != Repeats::kFree && first_run != Time(0)) {
        if (plan.repeats == Repeats::kNever) {
          Add(Rule::kOnce, id, attempt.server, attempt.received_at,
              "a write that may have run was sent again");
        } else if (attempt.received_at > first_run + plan.window + slack_ +
                                             SuspendedFor(attempt.router, first_run, attempt.received_at)) {
          Add(Rule::kOnce, id, attempt.server, attempt.received_at,
              "a keyed write was sent again after its window");
        }
      }
      if (first_run == Time(0) && MayHaveRun(attempt)) first_run = attempt.received_at;
    }
    if (plan.repeats == Repeats::kNever && first_run != Time(0) &&
        history.last_try->outcome == TryOutcome::kBusy) {
      Add(Rule::kOnce, id, -1, history.last_try->ended, "refused as not run, although it may have run");
    }
  }

  // Whether the router can be expected to have received a list in that time: it was up throughout, with one
  // configuration, and no fault of discovery made most calls fail.
  bool CouldReceiveList(int router, Time from, Time until) const {
    const auto within = [&](Time at) { return at > from && at < until; };
    for (const RouterOutage& a : truth_.outages) {
      if (a.router == router && a.from < until && a.until > from) return false;
    }
    for (const ReloadRecord& r : truth_.reloads) {
      if (r.router == router && within(r.at)) return false;
    }
    return std::none_of(truth_.scenario.faults.begin(), truth_.scenario.faults.end(),
                        [&](const FaultPlan& f) {
                          const Time begun = truth_.start + f.at;
                          return BlocksDiscovery(f) && begun < until && begun + f.length > from;
                        });
  }

  bool BlocksDiscovery(const FaultPlan& f) const {
    switch (f.kind) {
      case FaultKind::kDiscovery:
      case FaultKind::kListSlow:
      case FaultKind::kListLate:
      case FaultKind::kListPieces:
      case FaultKind::kListLag:
        return true;
      case FaultKind::kListQueue: {
        const auto& s = truth_.scenario;
        const auto routers = s.routers.per_hall * static_cast<std::int64_t>(s.halls.size());
        return f.delay * routers > kMaxQueueDelay;
      }
      case FaultKind::kListHalf:
      case FaultKind::kListReset:
      case FaultKind::kListDeaf:
      case FaultKind::kListBusy:
      case FaultKind::kListOld:
        return f.share > kMaxFailedCallShare;
      default:
        return false;
    }
  }

  void CheckDrains() {
    std::map<std::pair<int, int>, Time> notices;
    for (const RemovalNotice& notice : truth_.world.removal_notices) {
      if (notice.assumed && !CouldReceiveList(notice.router, notice.at - kNoticeAssumedAfter, notice.at))
        continue;
      const auto [it, first] = notices.emplace(std::pair(notice.router, notice.server), notice.at);
      if (!first) it->second = std::min(it->second, notice.at);
    }
    for (const AttemptRecord& attempt : truth_.world.attempts) {
      const auto it = notices.find({attempt.router, attempt.server});
      if (it == notices.end()) continue;
      const Duration delay = attempt.first_byte_at - it->second;
      if (delay > truth_.scenario.rules.drain_grace + slack_ +
                      SuspendedFor(attempt.router, it->second, attempt.first_byte_at)) {
        Add(Rule::kDrain, attempt.request, attempt.server, attempt.first_byte_at,
            "sent to " + Uid(attempt.server) + " " + FormatMs(delay) +
                " after its router was notified that it leaves service");
      }
    }
  }

  void CheckOverload() {
    double max_work_s = 0;
    for (const ClassPlan& c : truth_.scenario.classes) max_work_s = std::max(max_work_s, c.work_ms / 1000);
    const RulePlan& rules = truth_.scenario.rules;
    std::vector<OverloadMeter> meters(truth_.world.servers.size(),
                                      OverloadMeter(rules.fall_multiple, rules.fall, 4 * max_work_s));
    std::vector<bool> overloaded(meters.size());
    std::vector<Time> counted_start(meters.size());  // the start of the process that each meter counts for
    for (const AttemptRecord& attempt : truth_.world.attempts) {
      const auto n = static_cast<std::size_t>(attempt.server);
      const ServerRecord& server = truth_.world.servers[n];
      if (attempt.server == kOrigin || overloaded[n]) continue;
      const Capacity then = server.CapacityAt(attempt.received_at);
      if (!then.IsCold(attempt.received_at)) continue;
      if (then.started != counted_start[n]) {
        meters[n] = OverloadMeter(rules.fall_multiple, rules.fall, 4 * max_work_s);
        counted_start[n] = then.started;
      }
      const double full = meters[n].Add(attempt.received_at, attempt.work_s, then.At(attempt.received_at));
      if (full <= 1) continue;
      overloaded[n] = true;
      Add(Rule::kColdOverload, attempt.request, attempt.server, attempt.received_at,
          Uid(attempt.server) + ", " + FormatMs(attempt.received_at - then.started) +
              " after its start, was sent more than " + std::to_string(rules.fall_multiple).substr(0, 4) +
              " times its capacity");
    }
    for (const Time fell : truth_.world.origin_overloads) {
      double all = 0, cold = 0;
      for (const AttemptRecord& attempt : truth_.world.attempts) {
        if (attempt.server != kOrigin || attempt.received_at > fell ||
            attempt.received_at <= fell - truth_.scenario.origin.fall)
          continue;
        all += attempt.work_s;
        cold += attempt.after_cold_miss ? attempt.work_s : 0;
      }
      if (cold > 0.3 * all) {
        Add(Rule::kColdOverload, 0, kOrigin, fell,
            "the origin was overloaded, with a large share of the load from misses at cold cache servers");
      }
    }
  }

  std::string Uid(int server) const { return truth_.world.servers[static_cast<std::size_t>(server)].uid; }

  const RunRecord& truth_;
  Duration slack_;
  std::unordered_map<RequestId, RequestHistory> requests_;
  std::vector<Violation> breaches_;
};

}  // namespace

std::vector<Violation> CheckRules(const RunRecord& truth) { return RuleChecker(truth).Check(); }

std::string DescribeViolation(const RunRecord& truth, const Violation& violation) {
  std::ostringstream out;
  const auto at = [&](Time t) { return FormatMs(t - truth.start); };
  out << "rule '" << kRuleNames[static_cast<std::size_t>(violation.rule)] << "' violated at "
      << at(violation.at) << ": " << violation.what << "\n";
  if (violation.request == 0) return out.str();
  const std::string id = FormatId(violation.request);
  out << "request " << id << "\n";
  Time from = violation.at, until = violation.at;
  for (const TryRecord& client_try : truth.load.tries) {
    if (client_try.id != violation.request) continue;
    const ClientRequest& client_request = truth.load.requests[client_try.request_index];
    out << "  client: " << truth.scenario.classes[client_request.request_class].name << ", scheduled for "
        << at(client_request.at) << ", try " << int{client_try.number} + 1 << ", sent "
        << at(client_try.sent) << " to router " << client_try.router << " with a deadline of "
        << FormatMs(client_try.timeout) << (client_try.resent ? " (sent again)" : "") << "; "
        << kTryOutcomeNames[static_cast<std::size_t>(client_try.outcome)] << " at " << at(client_try.ended)
        << "\n";
    from = std::min(from, client_try.sent);
    until = std::max(until, client_try.ended);
  }
  for (const AttemptRecord& attempt : truth.world.attempts) {
    if (attempt.request != violation.request) continue;
    out << "  " << truth.world.servers[static_cast<std::size_t>(attempt.server)].uid << ": from router "
        << attempt.router << ", first byte " << at(attempt.first_byte_at) << ", complete "
        << at(attempt.received_at) << "; "
        << kAttemptOutcomeNames[static_cast<std::size_t>(attempt.outcome)];
    if (attempt.ended_at != Time(0)) out << " at " << at(attempt.ended_at);
    out << (attempt.applied ? "; applied" : "") << "\n";
  }
  for (std::size_t r = 0; r < truth.router_logs.size(); ++r) {
    std::ifstream log(truth.router_logs[r]);
    int lines = 0;
    for (std::string line; std::getline(log, line) && lines < 20;) {
      const double stamp = std::strtod(line.c_str(), nullptr) * 1e9;
      const bool during = stamp >= static_cast<double>((from - std::chrono::milliseconds(200)).count()) &&
                          stamp <= static_cast<double>((until + std::chrono::milliseconds(50)).count());
      if (!during && line.find(id) == line.npos) continue;
      out << "  router " << r << ": " << line << "\n";
      ++lines;
    }
  }
  return out.str();
}

}  // namespace brasswood::lab
