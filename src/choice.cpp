// Every decision of beechledge. Its types, events and actions are in include/beechledge/balancer.h.
//
// Read from top to bottom: tuning constants; servers (load, health, cold budget); the key table; the LARD
// choice; the gate that every send passes; attempts and answers; the server list.
#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <random>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "beechledge/balancer.h"
#include "sight/paces.h"
#include "sight/smoothed.h"
#include "sight/times.h"

namespace beechledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Tuning constants. The paper's own, then ours. None is fitted to a deployment. ----

constexpr double kLIdle = 30;  // the paper's L_idle, L_overload and MissCost, on the paper's scale
constexpr double kLOverload = 130;
constexpr double kMissCost = 50;
constexpr double kMeanLoad = 30;           // where a server of mean load stands on that scale: at L_idle
constexpr Duration kLoadTau = seconds(1);  // smoothing of in-flight counts: several answers, one trouble
constexpr Duration kRateTau = seconds(5);  // smoothing of this instance's own rate
constexpr Duration kQuietSpell = seconds(10);  // a set with more holders than it needs loses one after this
constexpr Duration kReportLife = seconds(3);   // a report older than this counts for nothing
constexpr std::size_t kKeyTableSize = 1 << 16;  // keys remembered; the least recently used goes first
// Of the cold budget: room for misses, skew, chance and unequal machines. The larger part goes to a server
// whose own answers, at least kColdLooks of them, show that it is at ease with the smaller.
constexpr double kColdMargin = 0.4, kColdMarginAtEase = 0.75;
constexpr double kColdLooks = 10, kColdAtEase = 0.3;  // the logarithm of its time over the fleet's
constexpr double kHealthStep = 0.2;                   // weight of one outcome in a server's failure share
constexpr double kEjectShare = 0.5;           // ejected from this failure share on, if well above its peers
constexpr int kEjectStreak = 3;               // or after so many failures without a success
constexpr double kEjectCap = 0.4;             // at most this share of the listed servers is ejected
constexpr Duration kEjectFirst = seconds(1);  // first ejection; doubles up to kEjectMost
constexpr Duration kEjectMost = seconds(8);
// A load above the mean counts as far as so many sends of the last seconds can tell it from chance.
constexpr double kLoadEvidence = 8, kChanceLoad = 6;  // and past so much of the scale
// A key moves to a server that stands so much before its holders in its order, if they are slower by so
// much (of the logarithm of the times).
constexpr double kMoveGain = 0.15, kMoveSlower = 0.1;
constexpr double kLooks = 1;  // an ejection outlasts so many looks at the server, four times that at most
constexpr double kPaceStep = 0.04;                  // weight of one answer in its hall's pace
constexpr double kHomeSlow = 1.5, kHomeEven = 1.2;  // times the other hall's pace: keys cross, or come home
constexpr double kHomeShareStep = 0.05;             // so large a share of the keys
constexpr Duration kHomeStep = milliseconds(500);   // at a time
constexpr std::uint64_t kHomeSalt = 0x5851f42d4c957f2dULL;
constexpr int kHallLost =
    4;  // servers of one hall that failed in a row, with no answer from it between them
constexpr Duration kHallTrial = seconds(1);  // how often a lost hall is tried
// No server is silent and no attempt overdue before this share of an aim, and no server later than the time
// beside it for want of evidence: longer than a pause of a sound server, short enough for another attempt.
constexpr double kPatienceShare = 0.25;
constexpr Duration kSilentLeast = milliseconds(400);
constexpr int kSilentFrom =
    3;  // requests out from which on silence tells of the server, not of one request
constexpr Duration kWatchStep = milliseconds(25);  // how often silence and overdue attempts are looked for
constexpr double kPatience = 3;      // a fetch is overdue after this many times the slowest usual answer
constexpr double kAgainGains = 0.4;  // an attempt is overdue once another is likelier in time by this much
constexpr double kRetryBudget =
    0.2;  // further attempts per request, on average; a burst of kRetryBurst at most
constexpr double kRetryBurst = 10;
// Admission by what is served: how many requests are let in for each one answered in the last seconds, and
// how many more, so that a few say nothing.
constexpr double kThrottle = 2, kThrottleFree = 10;
constexpr Duration kThrottleTau = seconds(3);
constexpr Duration kBorneTau = seconds(20);
constexpr double kFetchStart =
    16;  // fetches this instance may have out before it has learnt the origin's pace
constexpr double kFetchBad = 0.25;  // share of fetches failed or late from which on the limit falls
constexpr double kFetchSlow = 3;    // a fetch this many times longer than unhurried ones counts as late
constexpr double kFetchCut = 0.8;   // how far it falls at a time
constexpr Duration kCrowdedSpell =
    seconds(5);  // after a refused connection idle ones at that server are given back this long
constexpr Duration kHoldStep = milliseconds(25);  // how often held requests are tried again

// A stable hash: equal at every balancer, on every machine (FNV-1a, then a finisher).
std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// Random or hashed bits as a number in [0, 1).
double Unit(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }
std::uint64_t StableHash(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return Mix(h);
}
std::uint64_t PairHash(std::uint64_t key, std::uint64_t server) {
  return Mix(key ^ (server * 0x9e3779b97f4a7c15ULL));
}

struct Server {
  bool known = false;   // has been listed, under this name
  bool listed = false;  // in the list now, draining or not
  std::uint64_t hash = 0;
  int zone = 0, kind = 0, cell = 0;
  Availability availability = Availability::kRemoved;
  Time started{0}, stated{0};  // its last start; as the list has it, be it in the future
  std::uint32_t life = 0;      // counts restarts: what it held before is gone

  int inflight = 0;
  Time heard{0};      // when it last answered anything, or was given work while it had none
  Time answered{-1};  // when it last answered anything
  Smoothed load;      // of own in-flight
  LoadReport report;
  Time report_at{-1};

  Smoothed sends;  // decaying over kRateTau: how much evidence its load is
  double failure_share = 0;
  int failure_streak = 0;
  int ejections = 0;
  Time ejected_until{0};
  bool ejected = false;
  int trials = 0;  // half-open: attempts out on trial

  double cold_tokens = 0;
  Time cold_at{0};
  double part = 1;  // scratch of Choose: what it is to carry, 1 for a warm server of mean capacity
  std::uint32_t silent_in = 0;  // the spell of its hall's silence that it has been counted in
  Time crowded_until{0};        // it refused a connection: idle ones are given back
};

struct Hall {
  int silent = 0;           // servers that have failed since its last answer
  std::uint32_t spell = 1;  // counts its answers after silence
  Time try_at{0};           // of a lost one: when the next request may try it
};
constexpr int kHalls = 16;

struct Holder {
  ServerId server;
  std::uint32_t life;
  bool confirmed = false;  // it has answered for this key
};

struct Attempt {
  ServerId server;
  Time sent;
  bool fetch = false;  // a miss is likely: the origin will be asked
  bool out = true;
  bool may_have_run = true;
  bool overdue = false;  // taken back for taking too long
  // It ended by something on its way, a spoilt answer or a broken or silent connection, while its server
  // was at work for others.
  bool astray = false;
};

struct Request {
  RequestId id = 0;
  int request_class = 0;
  bool keyed_item = false;
  bool write = false;
  std::uint64_t key = 0;
  Time arrived{0}, deadline{0};
  std::vector<Attempt> attempts;
  int out = 0;
  bool ended = false;
  bool streaming = false;
  bool held = false;
  bool awaits_fetch = false;  // held for want of room for its fetch
  bool missed = false;        // aside: a server has said that it lacks the key

  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  // Has this server failed it? Guards against leaving a key's holder, and fetching what it holds, for one
  // attempt that went astray; a second one counts.
  bool Tried(ServerId s) const {
    int astray = 0;
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& a) { return a.server == s && (!a.astray || ++astray > 1); });
  }
};

bool NeverRan(Result r) {
  return r == Result::kFull || r == Result::kConnectFailed || r == Result::kMoot || r == Result::kMiss;
}

// The key table: which servers are thought to hold a key. Bounded; the least recently used key goes first.
class KeyTable {
 public:
  struct Entry {
    std::uint64_t key;
    std::vector<Holder> holders;
    Time busy_at{0};  // when more holders than one were last needed
    Time fetch_until{
        -1};  // single-flight: a fetch of this key is out until its outcome, or this at the latest
  };
  Entry* Find(std::uint64_t key) {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &*it->second;
  }
  Entry& Touch(std::uint64_t key, Time now) {
    const auto it = index_.find(key);
    if (it != index_.end()) {
      order_.splice(order_.begin(), order_, it->second);
      return order_.front();
    }
    if (index_.size() >= kKeyTableSize) {
      index_.erase(order_.back().key);
      order_.pop_back();
    }
    order_.push_front({key, {}, now, Time(-1)});
    index_.emplace(key, order_.begin());
    return order_.front();
  }

 private:
  std::list<Entry> order_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

enum class TimerKind { kDeadline, kHedge, kHeld, kAsk, kWatch };

}  // namespace

class Balancer::Core {
 public:
  Core(const Settings& settings, std::uint64_t seed) : set_(settings), random_(seed) {
    set_.balancers = std::max(1, set_.balancers);
    set_.allowed.max_attempts = std::max(1, set_.allowed.max_attempts);
    set_.rules.cold_from = std::clamp(set_.rules.cold_from, 0.0, 1.0);
    set_.rules.ramp = std::max(set_.rules.ramp, Duration(1));
    // Guards against a fleet that started together and asks again together: refusals spread as first calls
    // do.
    backoff_ = std::max<Duration>(seconds(1), Spread());
    for (const RequestClass& c : set_.classes) longest_aim_ = std::max(longest_aim_, c.aim);
  }

  void Handle(Time now, const Event& event, Actions& out) {
    now_ = std::max(now_, now);  // a clock that steps back stands still
    if (began_ == Time(0)) began_ = now_;
    out_ = &out;
    std::visit([this](const auto& e) { On(e); }, event);
    out_ = nullptr;
  }
  std::size_t Avoided() const {
    return static_cast<std::size_t>(std::count_if(up_.begin(), up_.end(), [&](ServerId id) {
      return servers_[id].kind != set_.origin_kind && !Healthy(servers_[id]);
    }));
  }

 private:
  // ---- Load: the smoothed own in-flight, and a share of what the server reports ----

  double RawLoad(const Server& s) const {
    const bool fresh = s.report_at >= Time(0) && now_ - s.report_at < kReportLife;
    if (fresh && s.report.inflight) return *s.report.inflight / set_.balancers;
    double own = s.load.value;
    if (s.inflight != 0 || own > 1e-6) own = s.load.Read(now_, kLoadTau, s.inflight);
    if (fresh && s.report.queue) own += std::max(0.0, *s.report.queue) / set_.balancers;
    return own;
  }

  void TakeReport(Server& s, const LoadReport& report) {
    s.report = report;
    s.report_at = now_;
  }

  void CountInflight(Server& s, int change) {
    s.load.Hold(now_, kLoadTau, s.inflight);
    if (s.inflight == 0) s.heard = now_;
    s.inflight = std::max(0, s.inflight + change);
  }

  // ---- Cold servers: a budget of sends from the start on, kept by this instance alone ----

  bool Cold(const Server& s) const { return s.started > Time(0) && now_ - s.started < set_.rules.ramp; }

  // How often this instance is answered by one warm server, a second. In a large fleet each balancer meets
  // a server seldom: what it knows of one comes from few looks.
  // What a young instance has not had the time to see is allowed for, from its first second on: it would
  // take itself for one that sends nothing, and cold servers and health with it.
  double LookRate() const {
    const Duration age = std::max<Duration>(seconds(1), now_ - began_);
    const double seen = Seconds(kRateTau) * (1 - std::exp(-Seconds(age) / Seconds(kRateTau)));
    return served_.Read(now_, kRateTau) / seen / std::max(1, warm_);
  }

  // What a warm one is seen to bear. Guards against cold servers left idle just as warm ones drown: those
  // then answer few, and a budget in proportion to that would fall with them.
  double BorneRate() const { return std::max(LookRate(), borne_.Read(now_, kBorneTau, LookRate())); }

  // This instance's share of what a cold server bears is in proportion to what it sends a warm one: summed
  // over all instances that is the load that warm servers are seen to bear, and less than their capacity.
  double ColdShare(const Server& s) const {
    const double age = std::clamp(Seconds(now_ - s.started) / Seconds(set_.rules.ramp), 0.0, 1.0);
    return set_.rules.cold_from + (1 - set_.rules.cold_from) * age;
  }
  // What a cold server may be sent, of what a warm one is.
  double ColdBudget(const Server& s) const { return kColdMargin * set_.rules.fall_multiple * ColdShare(s); }
  void FillCold(Server& s) const {
    const double share = ColdShare(s);
    // Guards against warm servers that drown beside cold ones at ease: what is sent to one in excess shows
    // as slow answers long before it falls.
    const ServerId id = static_cast<ServerId>(&s - servers_.data());
    const bool own = paces_.Looks(id, now_) >= kColdLooks;
    const bool at_ease =
        own ? paces_.Slower(id, now_) < kColdAtEase
            : paces_.ColdLooks(now_) >= kColdLooks && paces_.ColdSlower(now_) < kColdAtEase;
    const double margin = at_ease ? kColdMarginAtEase : kColdMargin;
    const double rate = margin * set_.rules.fall_multiple * share * BorneRate();
    const double most = std::max(1.0, rate * Seconds(set_.rules.fall) / (at_ease ? 4 : 2));
    s.cold_tokens = std::min(most, s.cold_tokens + rate * Seconds(now_ - s.cold_at));
    s.cold_at = now_;
  }
  bool ColdRoom(Server& s) const {
    if (!Cold(s)) return true;
    FillCold(s);
    return s.cold_tokens >= 1;
  }

  // ---- Health: outcomes against those of the peers ----

  // An attempt that went astray counts in the share but not in a streak: the server works, and a few of
  // them by chance must not take it out. (Resets on all servers alike once filled kEjectCap, and a server
  // that hung stayed in.)
  void Judge(Server& s, bool failed, bool hard, bool astray = false) {
    // A second's looks make the evidence: where they are one or none, one failure is all that there will
    // be, and waiting for three costs as many requests at each balancer of the fleet.
    const double looks = LookRate() * Seconds(kEjectFirst);
    const int streak = std::clamp(1 + static_cast<int>(looks), 1, kEjectStreak);
    s.failure_share += (looks < 1 && !astray ? 0.5 : kHealthStep) * ((failed ? 1 : 0) - s.failure_share);
    fleet_failure_ += kHealthStep / 10 * ((failed ? 1 : 0) - fleet_failure_);
    if (!astray) s.failure_streak = failed ? s.failure_streak + 1 : 0;
    if (s.ejected && now_ >= s.ejected_until) {
      if (!failed) {  // half-open, and it answered
        s.ejected = false;
        s.failure_share = 0;
        return;
      }
      Eject(s);
      return;
    }
    if (!failed) {
      if (s.failure_share < 0.05) s.ejections = 0;
      return;
    }
    const bool worse_than_peers = s.failure_share > 2 * fleet_failure_ + 0.1;
    if (!s.ejected && worse_than_peers &&
        (s.failure_share > kEjectShare || (!astray && s.failure_streak >= streak) ||
         (hard && s.failure_streak >= 2))) {
      Eject(s);
    }
  }
  void Eject(Server& s) {
    if (!s.ejected) {
      int ejected = 0, listed = 0;
      for (const Server& o : servers_) {
        listed += o.availability == Availability::kUp;
        ejected += o.availability == Availability::kUp && o.ejected;
      }
      if (ejected + 1 > kEjectCap * listed) return;
    }
    s.ejected = true;
    // Shorter than the time between two looks, a spell would change nothing.
    const double look = kLooks / std::max(LookRate(), 0.25);
    const double spell = std::max(Seconds(kEjectFirst), look) * std::exp2(std::min(s.ejections, 6));
    const double most = std::max(Seconds(kEjectMost), 4 * look);
    s.ejected_until = now_ + FromSeconds(std::min(spell, most) * (1 + 0.2 * Uniform()));
    ++s.ejections;
  }
  // The least patience that an aim leaves. (A fixed time was longer than the whole aim where all is quick.)
  static Duration PatienceFrom(Duration aim) {
    return aim > Duration(0) ? FromSeconds(kPatienceShare * Seconds(aim)) : kSilentLeast;
  }
  // Guards against servers that take requests and answer none. Their requests would be found out only as
  // the clients give up, far too late for another try. A busy server that has said nothing for several
  // times a usual answer is ejected at once, and what it was to answer goes elsewhere where a repeat is
  // harmless and the retry budget has room. A merely loaded server still answers something, and where all
  // are slow the measure grows with them.
  void FindSilent() {
    if (!times_.Known() || !set_.allowed.cancel) return;
    const Duration most = std::max<Duration>(PatienceFrom(longest_aim_), 2 * times_.Quantile(0.95));
    for (ServerId id : up_) {
      Server& s = servers_[id];
      const bool trial = s.ejected && s.trials > 0;
      if (s.inflight < (trial ? 1 : kSilentFrom) || now_ - s.heard < most || IsOrigin(s)) continue;
      if (s.ejected && !trial) continue;  // known already
      s.heard = now_;
      Eject(s);
      if (s.ejected) TakeBack(id);
    }
  }
  // What the retry budget still bears beside what this very event takes back already. Guards against taking
  // back more than can be asked again: the rest would be refused, though an answer might have come.
  double RetryRoom() const {
    return retry_tokens_ -
           static_cast<double>(std::count_if(out_->begin(), out_->end(), [](const Action& a) {
             return std::holds_alternative<Cancel>(a);
           }));
  }
  // Cancels what is out at a server, the newest first: their clients wait longest.
  void TakeBack(ServerId id) {
    std::vector<Request*> there;
    for (auto& [key, r] : requests_) {
      if (r.ended || r.streaming || r.out != 1 || ClassOf(r).effect != Effect::kSafe) continue;
      if (r.attempts.back().out && r.attempts.back().server == id) there.push_back(&r);
    }
    std::sort(there.begin(), there.end(), [](const Request* a, const Request* b) {
      return a->arrived != b->arrived ? a->arrived > b->arrived : a->id > b->id;
    });
    double room = RetryRoom();
    for (Request* r : there) {
      if ((room -= 1) < 0) break;
      r->attempts.back().overdue = true;
      out_->emplace_back(Cancel{r->id, static_cast<int>(r->attempts.size()) - 1});
    }
  }
  // Guards against attempts that nothing will ever answer, or not in time, while another one would be: the
  // server is slow or hangs, or the connection has fallen silent. A safe request, or a keyed one within its
  // rules, is taken back once, as soon as another attempt is clearly likelier to be in time than this one,
  // by what answers take here and by how second attempts have fared; and while the retry budget lasts. In a
  // tier that is merely slow neither is likelier, and nothing is sent twice. The origin goes on with what
  // it was sent: it gets longer than answers ever take, and keeps all while it is strained.
  void FindOverdue() {
    if (!times_.Known() || !set_.allowed.cancel) return;
    const Duration slowest = FromSeconds(kPatience * Seconds(times_.Quantile(0.99)));
    double room = RetryRoom();
    for (auto& [key, r] : requests_) {
      if (r.ended || r.streaming || r.out != 1 || !r.attempts.back().out) continue;
      Attempt& a = r.attempts.back();
      const Server& s = servers_[a.server];
      const RequestClass& c = ClassOf(r);
      const Time last = LastUse(r);
      const Duration out = now_ - a.sent;
      if (out < PatienceFrom(c.aim)) continue;
      if (std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& o) { return o.overdue; }))
        continue;
      if (static_cast<int>(r.attempts.size()) >= set_.allowed.max_attempts) continue;
      // A miss may come between, and a fetch after it: half as much again as one answer takes.
      const double again = again_helps_ * times_.Chance(Duration(0), 2 * (last - now_) / 3);
      if (IsOrigin(s)) {
        if (out < slowest || fetch_bad_ > kFetchBad || again < 0.5) continue;
      } else {
        const double stay = HallLost(s) ? 0 : (1 - s.failure_share) * times_.Chance(out, last - now_);
        if (again < stay + kAgainGains) continue;
      }
      const bool keyed =
          c.effect == Effect::kKeyed && c.group == Group::kAll && now_ - a.sent < c.window / 2;
      if (c.effect != Effect::kSafe && !keyed) continue;
      if ((room -= 1) < 0) break;
      a.overdue = true;
      a.astray = s.answered > a.sent;
      out_->emplace_back(Cancel{r.id, static_cast<int>(r.attempts.size()) - 1});
    }
  }
  // Until when an answer is worth anything.
  Time LastUse(const Request& r) const {
    const Duration aim = ClassOf(r).aim;
    return aim > Duration(0) ? std::min(r.deadline, r.arrived + aim) : r.deadline;
  }

  // ---- Halls: a whole one that falls silent is told from a server in trouble ----

  static std::size_t HallOf(const Server& s) {
    return static_cast<std::size_t>(std::clamp(s.zone, 0, kHalls - 1));
  }
  bool HallLost(const Server& s) const { return !IsOrigin(s) && halls_[HallOf(s)].silent >= kHallLost; }
  // Guards against learning server by server, at each balancer, what the first few have told: that nothing
  // answers in the hall. Any answer from there, or a server that starts there, ends it.
  void HearHall(Server& s, bool answered) {
    if (IsOrigin(s)) return;
    Hall& hall = halls_[HallOf(s)];
    if (answered) {
      if (hall.silent > 0) ++hall.spell;
      hall.silent = 0;
    } else if (s.silent_in != hall.spell) {
      s.silent_in = hall.spell;
      if (++hall.silent != kHallLost) return;
      hall.try_at = now_ + kHallTrial;
      for (ServerId id : up_) {  // what is open there leads nowhere
        if (servers_[id].zone == s.zone && !IsOrigin(servers_[id])) out_->push_back(CloseIdle{id});
      }
    }
  }
  bool Healthy(const Server& s) const {
    if (HallLost(s)) return now_ >= halls_[HallOf(s)].try_at;
    return !s.ejected || (now_ >= s.ejected_until && s.trials == 0);
  }

  // ---- The LARD choice ----

  bool IsOrigin(const Server& s) const {
    return set_.origin == Origin::kAside && set_.origin_kind >= 0 && s.kind == set_.origin_kind;
  }

  static double CostBalancing(double load) {
    if (load < kLIdle) return 0;
    return load > kLOverload ? INFINITY : load - kLIdle;
  }
  static double CostLocality(bool mapped) { return mapped ? 1 : kMissCost; }
  static double CostReplacement(double load, bool mapped) {
    return load < kLIdle || mapped ? 0 : kMissCost;
  }

  // The key's holder at this server in its present life, if the server is mapped.
  static const Holder* FindHolder(const KeyTable::Entry* entry, ServerId id, const Server& s) {
    if (entry == nullptr) return nullptr;
    const auto h = std::find_if(entry->holders.begin(), entry->holders.end(),
                                [&](const Holder& o) { return o.server == id && o.life == s.life; });
    return h == entry->holders.end() ? nullptr : &*h;
  }

  // On large fleets the scan is a sample, as the design leaves open: for a new key the servers of the own
  // hall come first, where crossing has a price and servers are met so seldom that their loads, as seen
  // from here, settle nothing. Each hall then keeps its own copies, fewer connections serve as many claims,
  // and a key's home is still the same at every balancer of a hall. Where the own hall carries more than
  // its part of the traffic, whole keys cross, as many as keep its answers from being slower than the
  // other's.
  bool StaysHome(std::uint64_t key) const {
    if (set_.prices.cross_zone <= 0 || LookRate() >= 1) return false;
    return Unit(Mix(key ^ kHomeSalt)) < home_share_;
  }
  // One answer's part in that: `took` is how long a cache server's answer took, or was waited for in vain.
  void LearnPace(const Server& s, Duration took) {
    if (IsOrigin(s)) return;
    double& pace = s.zone == set_.zone ? home_pace_ : away_pace_;
    pace += kPaceStep * (std::log(std::max(1e-4, Seconds(took))) - pace);
    if (now_ - home_share_at_ < kHomeStep) return;
    home_share_at_ = now_;
    const double slower = std::exp(home_pace_ - away_pace_);
    if (slower > kHomeSlow) home_share_ = std::max(0.0, home_share_ - kHomeShareStep);
    if (slower < kHomeEven) home_share_ = std::min(1.0, home_share_ + kHomeShareStep);
  }

  // A key's order of the servers: the shared hash, weighed by what each is to carry, so that each comes
  // first for its part of the keys, and a part that changes moves just the keys that differ (weighted
  // rendezvous hashing). Least first; with equal parts it is the order of the hash, highest first.
  static double Order(std::uint64_t key, const Server& s) {
    return -std::log(Unit(PairHash(key, s.hash)) + 0x1.0p-54) / s.part;
  }

  // Where the key's order has moved its place away from its holders (a server carries more, or a holder
  // less) and they answer more slowly than the first in it, that one counts as mapped: the sum of costs
  // then decides between them as between holders. -1: nothing moves. Under modest load keys stay where they
  // are. Guards against servers that idle beside full ones for want of keys of their own; and against
  // moving while the origin has no room for the fetch that it costs.
  int Home(const Request& r, const KeyTable::Entry* entry, bool sampled) const {
    if (entry == nullptr || entry->holders.empty() || r.write || !FetchRoom(entry) ||
        fetch_bad_ > kFetchBad / 2) {
      return -1;
    }
    int home = -1, holder = -1;
    double first = 0, held = 0;
    for (ServerId id : up_) {
      const Server& s = servers_[id];
      if (loads_[id] < 0 || r.Tried(id) || (sampled && s.zone != set_.zone)) continue;
      const double order = orders_[id];
      if (FindHolder(entry, id, s) != nullptr && (holder < 0 || order < held)) {
        holder = static_cast<int>(id);
        held = order;
      }
      if (home >= 0 && order >= first) continue;
      home = static_cast<int>(id);
      first = order;
    }
    if (holder < 0 || home == holder || first * (1 + kMoveGain) >= held) return -1;
    const double slower = paces_.Slower(static_cast<ServerId>(holder), now_) -
                          paces_.Slower(static_cast<ServerId>(home), now_);
    return slower > kMoveSlower ? home : -1;
  }

  // One request more or less at one instance of hundreds is chance: a load above the mean counts in
  // proportion to its evidence.
  double Weighed(const Server& s, double load) const {
    if (load <= kLIdle) return load;
    const double looks = s.sends.Read(now_, kRateTau);
    const double chance = kLoadEvidence / (looks + kLoadEvidence);
    return kMeanLoad + (load - kMeanLoad) * (1 - chance) - kChanceLoad * chance;
  }

  // The server of the least summed cost among those ready, ties to the highest hash; -1: none is ready.
  // Where every sum is infinite (all overloaded) the order among them is that of the loads.
  int Choose(const Request& r, bool spare_ejected) {
    KeyTable::Entry* entry = r.keyed_item ? &keys_.Touch(r.key, now_) : nullptr;
    loads_.assign(servers_.size(), -1);
    orders_.resize(servers_.size());
    double sum = 0, parts = 0;
    int ready = 0, warm = 0;
    for (ServerId id : up_) {
      Server& s = servers_[id];
      if (IsOrigin(s)) continue;
      warm += !Cold(s);
      const double raw = RawLoad(s);
      sum += raw;
      s.part = paces_.Weight(id) * (Cold(s) ? std::min(1.0, ColdBudget(s)) : 1);
      parts += s.part;
      ++ready;
      if (!(spare_ejected || Healthy(s)) || !Allowed(r, id) || !ColdRoom(s)) continue;
      loads_[id] = raw;
      orders_[id] = Order(r.key, s);
    }
    if (ready == 0) return -1;
    warm_ = std::max(warm, 1);
    // One request's own mark on the smoothed count is part of the unit, so that one or two cross no
    // threshold.
    const double mark = typical_ / Seconds(kLoadTau);
    // And a server with one request is not loaded, however idle the others are.
    const double least = 1.0 / set_.balancers;
    const bool sampled = StaysHome(r.key);
    const int home = Home(r, entry, sampled);
    int best = -1;
    double best_cost = 0, best_load = 0;
    bool holder_busy = false, best_away = false;
    double best_order = 0;
    for (ServerId id : up_) {
      if (loads_[id] < 0) continue;
      const Server& s = servers_[id];
      const double load = Weighed(s, kMeanLoad * loads_[id] / std::max(sum / parts * s.part + mark, least));
      const bool mapped = FindHolder(entry, id, s) != nullptr || static_cast<int>(id) == home;
      holder_busy |= mapped && load >= kLIdle;
      const bool again = r.Tried(id);  // a server that failed this request comes after all others
      const double cost =
          CostBalancing(load) + CostLocality(mapped) + CostReplacement(load, mapped) + (again ? 1e6 : 0);
      const bool away = sampled && s.zone != set_.zone;
      const double order = orders_[id];
      const double tie_load = std::isinf(cost) ? load : 0;
      const bool better =
          best < 0 || std::tie(cost, tie_load, away) < std::tie(best_cost, best_load, best_away) ||
          (cost == best_cost && tie_load == best_load && away == best_away && order < best_order);
      if (!better) continue;
      best = static_cast<int>(id);
      best_cost = cost;
      best_load = tie_load;
      best_away = away;
      best_order = order;
    }
    holder_busy_ = holder_busy;
    return best;
  }

  // The winner joins the key's set; a set at rest for a quiet spell loses its last holder in hash order.
  void Join(KeyTable::Entry& entry, ServerId id) {
    std::erase_if(entry.holders, [&](const Holder& h) {
      const Server& s = servers_[h.server];
      return !s.listed || s.life != h.life;
    });
    if (holder_busy_) entry.busy_at = now_;
    if (FindHolder(&entry, id, servers_[id]) == nullptr) {
      entry.holders.push_back({id, servers_[id].life});
      entry.busy_at = now_;
    } else if (entry.holders.size() > 1 && now_ - entry.busy_at > kQuietSpell) {
      const auto last = std::min_element(entry.holders.begin(), entry.holders.end(), [&](auto& a, auto& b) {
        return PairHash(entry.key, servers_[a.server].hash) < PairHash(entry.key, servers_[b.server].hash);
      });
      entry.holders.erase(last);
      entry.busy_at = now_;
    }
  }

  // ---- The gate: every send passes here, and each of the rules is kept here ----

  const RequestClass& ClassOf(const Request& r) const {
    static const RequestClass unknown{};  // unsafe, without worth
    const auto i = static_cast<std::size_t>(r.request_class);
    return r.request_class >= 0 && i < set_.classes.size() ? set_.classes[i] : unknown;
  }

  // May this request go to this server now? (Cold budget apart.)
  bool Allowed(const Request& r, ServerId id) const {
    const Server& s = servers_[id];
    if (r.ended || r.streaming || now_ >= r.deadline) return false;      // answered, or too late
    if (!s.listed || s.availability != Availability::kUp) return false;  // drains are kept
    if (static_cast<int>(r.attempts.size()) >= set_.allowed.max_attempts) return false;
    if (r.out > 0 && !set_.allowed.parallel_tries) return false;
    const RequestClass& c = ClassOf(r);
    if (c.effect == Effect::kSafe) return true;
    for (const Attempt& a : r.attempts) {  // no effect twice
      if (!a.may_have_run) continue;
      if (c.effect == Effect::kUnsafe) return false;
      const Server& first = servers_[a.server];
      if (c.group == Group::kZone && first.zone != s.zone) return false;
      if (c.group == Group::kCell && first.cell != s.cell) return false;
      if (now_ - a.sent >= c.window) return false;
    }
    return true;
  }

  bool TrySend(Request& r, ServerId id, bool fetch) {
    Server& s = servers_[id];
    if (!Allowed(r, id) || !ColdRoom(s)) return false;
    if (Cold(s)) s.cold_tokens -= 1;
    if (s.ejected) ++s.trials;
    if (HallLost(s)) halls_[HallOf(s)].try_at = now_ + kHallTrial;
    CountInflight(s, +1);
    s.sends.Add(now_, kRateTau, 1);
    r.attempts.push_back({id, now_, fetch});
    fetches_out_ += fetch;
    ++r.out;
    out_->push_back(Send{r.id, id, Duration(0)});
    return true;
  }

  bool MayRefuse(const Request& r) const {
    const RequestClass& c = ClassOf(r);
    if (c.effect == Effect::kSafe || !r.MayHaveRun()) return true;
    return c.effect == Effect::kKeyed && c.group == Group::kAll;
  }

  // Guards against a fleet that answers nobody because it is asked by everybody again and again: once fewer
  // than one request in kThrottle of the last seconds was served, only so many are let in as would be at
  // that rate, by chance (adaptive throttling, Site Reliability Engineering, chapter 21). The others are
  // told at once when to come back. Not writes: they are few, and worth more than a try.
  bool Throttled(const Request& r) {
    if (r.write || ClassOf(r).effect != Effect::kSafe) return false;
    const double asked = ended_.Read(now_, kThrottleTau);  // what is still out may yet be answered
    const double kept = kThrottle * answered_.Read(now_, kThrottleTau) + kThrottleFree;
    return asked > kept && Uniform() < (asked - kept) / asked;
  }

  // When a refused client should come back. One whose aim has passed can earn nothing more with this
  // request: its next try had better wait as long as clients will. Else about the time in which what is
  // held now gets its turn, spread a little, lest all come back at once.
  Duration ComeBack(const Request& r) {
    if (!set_.allowed.retry_after) return Duration(0);
    const Duration most = set_.allowed.max_retry_after;
    const Duration aim = ClassOf(r).aim;
    if (aim > Duration(0) && now_ - r.arrived >= aim) return most;
    const double turns = 1 + static_cast<double>(held_.size());
    return std::min(most, FromSeconds(typical_ * turns * (0.8 + 0.4 * Uniform())));
  }

  // How long a request may be held. Guards against the late refusal of what was never tried: from half of
  // its time on that costs its client more than a refusal at once.
  Duration MostHeld(const Request& r) const {
    const Duration half = (r.deadline - r.arrived) / 2 - 2 * kHoldStep;
    const Duration aim = ClassOf(r).aim > Duration(0) ? ClassOf(r).aim : r.deadline - r.arrived;
    return r.attempts.empty() ? std::min(aim, half) : aim;
  }

  void Finish(Request& r) {
    if (!std::exchange(r.ended, true)) ended_.Add(now_, kThrottleTau, 1);
  }

  // The one place that ends requests.
  void End(Request& r) {
    if (r.ended) return;
    Finish(r);
    if (MayRefuse(r)) {
      out_->push_back(Refuse{r.id, ComeBack(r)});
    } else {
      out_->push_back(Fail{r.id});
    }
  }

  // ---- Attempts ----

  void Dispatch(Request& r) {
    if (set_.origin == Origin::kAside && (r.write || r.missed || up_.size() == origins_)) {
      if (AskOrigin(r)) return;
    } else {
      int best = Choose(r, false);
      if (best < 0) best = Choose(r, true);
      if (best >= 0 && SendTo(r, static_cast<ServerId>(best))) return;
    }
    if (r.out == 0) Hold(r);
  }

  // The origin is scarce. A fetch waits while another of its key is out (single-flight), and while as many
  // are out as the origin is seen to bear: fetches that fail or come late would only keep it from those
  // that matter.
  bool FetchRoom(const KeyTable::Entry* entry) const {
    return fetches_out_ < fetch_limit_ && (entry == nullptr || now_ >= entry->fetch_until);
  }

  // May a request held for its fetch go on: has its key come meanwhile, or is there room?
  bool FetchDue(const Request& r) {
    const KeyTable::Entry* entry = keys_.Find(r.key);
    if (FetchRoom(entry)) return true;
    return entry != nullptr && std::any_of(entry->holders.begin(), entry->holders.end(),
                                           [](const Holder& h) { return h.confirmed; });
  }

  bool SendTo(Request& r, ServerId id) {
    KeyTable::Entry* entry = r.keyed_item && !r.write ? &keys_.Touch(r.key, now_) : nullptr;
    const Holder* holder = FindHolder(entry, id, servers_[id]);
    const bool kept = holder != nullptr && holder->confirmed;
    const bool fetch = set_.origin == Origin::kThrough && entry != nullptr && !kept;
    r.awaits_fetch = fetch && !FetchRoom(entry);
    if (r.awaits_fetch) return false;
    if (!TrySend(r, id, fetch)) return false;
    if (fetch) entry->fetch_until = now_ + FromSeconds(2 * fetch_time_);
    if (entry != nullptr) Join(*entry, id);
    if (r.attempts.size() == 1 && set_.allowed.parallel_tries && ClassOf(r).effect == Effect::kSafe &&
        times_.Known()) {
      SetRequestTimer(TimerKind::kHedge, r.id, now_ + times_.Quantile(0.95) * 5 / 4);
    }
    return true;
  }

  bool AskOrigin(Request& r) {
    if (!r.write && !FetchRoom(nullptr)) return false;
    for (ServerId id : up_) {
      if (IsOrigin(servers_[id]) && TrySend(r, id, !r.write)) return true;
    }
    return false;
  }

  // Nothing is ready for it now: wait for a server, as long as its client does.
  void Hold(Request& r) {
    if (static_cast<int>(r.attempts.size()) >= set_.allowed.max_attempts ||
        (ClassOf(r).effect != Effect::kSafe && r.MayHaveRun())) {
      End(r);
      return;
    }
    r.held = true;
    held_.push_back(r.id);
    if (!held_timer_) SetRequestTimer(TimerKind::kHeld, 0, now_ + kHoldStep);
    held_timer_ = true;
  }
  void ReleaseHeld() {
    std::vector<RequestId> held;
    held.swap(held_);
    // The newest first: where not all can be served, these are still worth something.
    for (auto id = held.rbegin(); id != held.rend(); ++id) {
      const auto it = requests_.find(*id);
      if (it == requests_.end()) continue;
      Request& r = it->second;
      if (r.ended || !r.held) continue;
      r.held = false;
      if (now_ - r.arrived >= MostHeld(r) && MayRefuse(r)) {
        End(r);
      } else if (r.awaits_fetch && !FetchDue(r)) {
        Hold(r);
      } else {
        Dispatch(r);
      }
      Forget(it);
    }
    std::reverse(held_.begin(), held_.end());
  }

  void SetRequestTimer(TimerKind kind, RequestId id, Time at) {
    timers_.emplace(++last_token_, std::pair(kind, id));
    out_->push_back(SetTimer{last_token_, at});
  }

  void Forget(std::unordered_map<RequestId, Request>::iterator it) {
    if (it->second.ended && it->second.out == 0) requests_.erase(it);
  }

  void On(const NewRequest& e) {
    const auto [it, fresh] = requests_.try_emplace(e.id);
    if (!fresh) return;  // a duplicate id: the host's mistake
    Request& r = it->second;
    r.id = e.id;
    r.request_class = e.request_class;
    r.write = e.write;
    r.keyed_item = e.key.has_value();
    r.key = e.key ? StableHash(*e.key) : random_();
    r.arrived = now_;
    r.deadline = now_ + std::clamp(e.ttl, Duration(0), Duration(seconds(86400)));
    retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryBudget);
    SetRequestTimer(TimerKind::kDeadline, r.id, r.deadline);
    paces_.Step(now_);
    borne_.Hold(now_, kBorneTau, LookRate());
    if (!watching_) SetRequestTimer(TimerKind::kWatch, 0, now_ + kWatchStep);
    watching_ = true;
    if (Throttled(r)) {
      End(r);
    } else {
      Dispatch(r);
    }
    Forget(it);
  }

  void On(const ClientGone& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    Finish(it->second);
    Forget(it);
  }

  void On(const Outcome& e) {
    if (e.server >= servers_.size()) return;
    Server& s = servers_[e.server];
    if (e.report) TakeReport(s, *e.report);
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    const auto i = static_cast<std::size_t>(e.attempt);
    if (e.attempt < 0 || i >= r.attempts.size() || !r.attempts[i].out) return;
    Attempt& a = r.attempts[i];
    if (e.result != Result::kTimeout && e.result != Result::kCancelled) s.heard = s.answered = now_;
    a.out = false;
    a.may_have_run = !NeverRan(e.result);
    a.astray |= e.result == Result::kSpoilt || e.result == Result::kReset;
    --r.out;
    CountInflight(s, -1);
    if (s.trials > 0) --s.trials;
    // A server takes few connections; where it refuses one, an idle one is better given back to the other
    // balancers, and where it is gone, an idle one leads nowhere. Says nothing of other servers: guards
    // against one lost server costing a handshake with every claim at all others, at every balancer.
    if (e.result == Result::kConnectFailed) s.crowded_until = now_ + kCrowdedSpell;
    if (s.inflight == 0 && now_ < s.crowded_until) out_->push_back(CloseIdle{e.server});
    if (e.complete) Finish(r);
    const bool answered = e.result != Result::kTimeout && e.result != Result::kConnectFailed;
    if (e.result != Result::kMoot && (e.result != Result::kCancelled || a.overdue)) {
      HearHall(s, answered && !a.overdue);
    }
    Learn(s, r, a, e);
    LearnFetch(r, a, e);
    LearnAgain(r, a, e.result);
    if (!r.ended && !r.streaming) Continue(r, e.result);
    Forget(it);
  }

  // A fetch that fails or takes far longer than unhurried ones says that the origin is strained; the limit
  // follows.
  void LearnFetch(const Request& r, const Attempt& a, const Outcome& e) {
    KeyTable::Entry* entry = r.keyed_item ? keys_.Find(r.key) : nullptr;
    if (entry != nullptr && !NeverRan(e.result) && e.result != Result::kCancelled) {
      // A write voids the kept copies; an error says that the copy is gone and could not be fetched again.
      const bool ok = e.result == Result::kOk, ran = ok || e.result == Result::kSpoilt;
      for (Holder& h : entry->holders) {
        const bool here = h.server == a.server && h.life == servers_[a.server].life;
        if (r.write && ran) {
          h.confirmed = false;
        } else if (here && !r.write && e.result != Result::kSpoilt) {
          h.confirmed = ok;
        }
      }
    }
    if (!a.fetch) return;
    --fetches_out_;
    if (entry != nullptr) entry->fetch_until = Time(-1);
    const double took = Seconds(now_ - a.sent);
    if (e.result == Result::kOk) fetch_time_ += 0.05 * (took - fetch_time_);
    if (e.result == Result::kCancelled || NeverRan(e.result)) return;
    if (e.result == Result::kOk && e.note == Note::kHit)
      return;  // it was kept after all: not a word from the origin
    const Duration aim = ClassOf(r).aim;
    const double most = aim > Duration(0) ? Seconds(aim) : INFINITY;
    const bool answered =
        e.result == Result::kOk || e.result == Result::kSpoilt;  // the origin did its work
    const bool bad = !answered || took > std::min(kFetchSlow * fetch_base_, most);
    // Guards against a yardstick that grows with the queue it is to find: with the fetches near their
    // limit, longer ones tell of that limit rather than of the origin, and hardly count.
    const bool busy = fetches_out_ + 1 > fetch_limit_ / 2;
    const double rate = took < fetch_base_ ? 0.02 : busy ? 0.0005 : 0.01;
    if (e.result == Result::kOk) fetch_base_ += rate * (took - fetch_base_);
    fetch_bad_ += 0.1 * ((bad ? 1 : 0) - fetch_bad_);
    if (bad && fetch_bad_ > kFetchBad) {
      if (Seconds(now_ - fetch_cut_at_) > fetch_time_) {
        fetch_limit_ = std::max(1.0, fetch_limit_ * kFetchCut);
        fetch_cut_at_ = now_;
      }
    } else if (!bad && busy) {
      fetch_limit_ += 1 / fetch_limit_;
    }
  }

  // Does another attempt help what was taken back? One that went astray is answered as quickly as any
  // other; a heavy request, or one in an overloaded tier, is as slow again, and was better left where it
  // was.
  void LearnAgain(const Request& r, const Attempt& a, Result result) {
    if (&a != &r.attempts.back() || result == Result::kMiss || result == Result::kCancelled) return;
    if (std::none_of(r.attempts.begin(), r.attempts.end() - 1,
                     [](const Attempt& o) { return o.overdue; })) {
      return;
    }
    const bool helped = result == Result::kOk && now_ <= LastUse(r);
    again_helps_ += 0.1 * ((helped ? 1 : 0) - again_helps_);
  }

  void Learn(Server& s, const Request& r, const Attempt& a, const Outcome& e) {
    if (e.result == Result::kTimeout || (e.result == Result::kCancelled && a.overdue)) {
      times_.AddGivenUp(now_ - a.sent);
      if (!HallLost(s)) LearnPace(s, 2 * (now_ - a.sent));
    }
    // In a lost hall no failure is the server's own: it is to be well again as soon as its hall is.
    if (HallLost(s)) return;
    switch (e.result) {
      case Result::kOk:
        served_.Add(now_, kRateTau, 1);
        answered_.Add(now_, kThrottleTau, 1);
        times_.Add(now_ - a.sent);
        LearnPace(s, now_ - a.sent);
        if (!a.fetch && !r.write && !IsOrigin(s)) paces_.Answered(e.server, now_, now_ - a.sent, Cold(s));
        typical_ += 0.02 * (Seconds(now_ - a.sent) - typical_);
        // Where looks are few, load shows only how slow an answer was: one too late to be worth anything is
        // a failure, unless it was late to begin with.
        Judge(s, LookRate() < 1 && now_ > LastUse(r) && now_ - a.sent > times_.Quantile(0.95), false);
        break;
      case Result::kMiss:
        paces_.Missed(e.server, now_, now_ - a.sent, Cold(s));
        Judge(s, false, false);
        break;
      case Result::kError:
      case Result::kTimeout:
        Judge(s, true, false);
        break;
      case Result::kSpoilt:
      case Result::kReset:
        Judge(s, true, false, true);
        break;
      case Result::kConnectFailed:
        Judge(s, true, true);
        break;
      case Result::kFull:  // overload is not ill health; what was turned away counts as load, or it would
                           // draw keys
        s.load.value += typical_ / Seconds(kLoadTau);
        break;
      case Result::kCancelled:
        if (a.overdue && !a.astray) Judge(s, true, false);  // it has answered nobody since
        break;
      case Result::kMoot:
        break;
    }
  }

  // An attempt has ended without ending its request.
  void Continue(Request& r, Result result) {
    if (result == Result::kMiss) {
      r.missed = true;
      Dispatch(r);
      return;
    }
    if (r.out > 0) return;  // another attempt may still answer
    const bool free_to_repeat =
        r.attempts.size() == 1 && (result == Result::kConnectFailed || result == Result::kReset);
    if (now_ < r.deadline && (free_to_repeat || retry_tokens_ >= 1)) {
      if (!free_to_repeat) retry_tokens_ -= 1;
      Dispatch(r);
      if (r.out > 0 || r.held) return;
    }
    End(r);
  }

  void On(const FirstByte& e) {
    const auto it = requests_.find(e.id);
    if (it != requests_.end()) it->second.streaming = true;
  }

  void On(const ProbeResult& e) {
    if (e.server < servers_.size() && e.report) TakeReport(servers_[e.server], *e.report);
  }

  void On(const PeerMessage&) {}

  void On(const TimerFired& e) {
    const auto timer = timers_.find(e.token);
    if (timer == timers_.end()) return;
    const auto [kind, id] = timer->second;
    timers_.erase(timer);
    if (kind == TimerKind::kHeld) {
      held_timer_ = false;
      return ReleaseHeld();
    }
    if (kind == TimerKind::kAsk) return Ask();
    if (kind == TimerKind::kWatch) {
      FindSilent();
      FindOverdue();
      watching_ = !requests_.empty();
      if (watching_) SetRequestTimer(TimerKind::kWatch, 0, now_ + kWatchStep);
      return;
    }
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.ended || it->second.streaming) return;
    Request& r = it->second;
    if (kind == TimerKind::kDeadline) {
      End(r);
    } else if (kind == TimerKind::kHedge && r.out == 1 && retry_tokens_ >= 1) {
      const int best = Choose(r, false);
      if (best >= 0 && !r.Tried(static_cast<ServerId>(best)) && SendTo(r, static_cast<ServerId>(best))) {
        retry_tokens_ -= 1;
      }
    }
    Forget(it);
  }

  // ---- The server list ----

  void On(const ServerList& e) {
    const bool first = !attached_;
    attached_ = true;
    if (e.kind == ListKind::kRefused) {
      asked_ = false;
      AskLater(backoff_);
      backoff_ = std::min(backoff_ * 2, set_.rules.ask_within / 2);
    } else {
      if (e.kind == ListKind::kAll || e.kind == ListKind::kRemembered) {
        for (Server& s : servers_) s.listed = false;
      }
      for (const ServerEntry& entry : e.entries) Take(entry);
      for (ServerId id = 0; id < servers_.size(); ++id) {
        if (servers_[id].listed) continue;
        servers_[id].availability = Availability::kRemoved;
        paces_.Remove(id);  // else the mean of the sizes would go on counting it
      }
      Recount();
      if (e.kind != ListKind::kRemembered) backoff_ = std::max<Duration>(seconds(1), Spread());
    }
    // Calls of a whole fleet at its start are spread, more widely the more balancers there are.
    if (first && set_.list_must_be_asked) {
      AskLater(Spread());
    }
  }

  void Take(const ServerEntry& entry) {
    if (entry.id >= servers_.size()) servers_.resize(entry.id + 1);
    Server& s = servers_[entry.id];
    const std::uint64_t hash = StableHash(entry.name);
    if (s.hash != 0 && s.hash != hash) {      // another server under the id of one that is gone
      const std::uint32_t life = s.life + 1;  // the keys that the old one held are not its own
      s = {};
      s.life = life;
    }
    s.hash = hash;
    s.listed = entry.availability != Availability::kRemoved;
    s.zone = entry.zone;
    s.kind = entry.kind;
    s.cell = entry.cell;
    s.availability = entry.availability;
    if (s.stated != entry.started || !s.known) {
      paces_.Place(entry.id, s.kind, s.zone, StatedSize(entry));
    } else {
      paces_.Resize(entry.id, StatedSize(entry));
    }
    s.known = true;
    if (s.stated != entry.started) {
      s.stated = entry.started;
      // Guards against a start that lies ahead, by a clock that is wrong: it would stay cold until then.
      s.started = std::min(entry.started, now_);
      ++s.life;
      s.ejected = false;
      s.failure_share = 0;
      s.failure_streak = 0;
      s.crowded_until = Time(0);
      HearHall(s, true);
      s.cold_tokens = Uniform();  // a random start spreads the first sends of many instances over time
      s.cold_at = now_;
    }
  }
  // Sizes that vary with the load of the moment say nothing that lasts.
  double StatedSize(const ServerEntry& entry) const {
    return set_.weights == Weights::kNominal || set_.weights == Weights::kRough ? entry.scale : 0;
  }

  void Recount() {
    up_.clear();
    origins_ = 0;
    for (ServerId id = 0; id < servers_.size(); ++id) {
      if (servers_[id].availability != Availability::kUp) continue;
      up_.push_back(id);
      origins_ += IsOrigin(servers_[id]);
    }
    if (!held_.empty()) ReleaseHeld();
  }

  Duration Spread() const {
    return std::min<Duration>(milliseconds(50) * set_.balancers, set_.rules.ask_within / 3);
  }
  void AskLater(Duration within) {
    SetRequestTimer(TimerKind::kAsk, 0, now_ + FromSeconds(Seconds(within) * Uniform()));
  }
  void Ask() {
    if (asked_) return;
    asked_ = true;
    out_->push_back(Subscribe{true});
  }

  double Uniform() { return Unit(random_()); }

  Settings set_;
  std::mt19937_64 random_;
  Time now_{0}, began_{0};
  Actions* out_ = nullptr;

  std::vector<Server> servers_;         // by ServerId
  std::vector<ServerId> up_;            // those listed as up
  std::vector<double> loads_, orders_;  // scratch of Choose; an order counts where a load is set
  std::array<Hall, kHalls> halls_;      // by zone
  Duration longest_aim_{0};
  int warm_ = 1;
  std::size_t origins_ = 0;
  double fleet_failure_ = 0;
  bool holder_busy_ = false;  // of the last choice: a holder stood at L_idle or above

  Paces paces_;
  KeyTable keys_;
  std::unordered_map<RequestId, Request> requests_;
  std::vector<RequestId> held_;
  bool held_timer_ = false, watching_ = false;
  std::unordered_map<std::uint64_t, std::pair<TimerKind, RequestId>> timers_;
  std::uint64_t last_token_ = 0;
  Times times_;
  double typical_ = 0.05;  // seconds of a usual answer
  double retry_tokens_ = kRetryBurst;
  double home_share_ = 1;                   // of the new keys that stay in the own hall
  double home_pace_ = -2, away_pace_ = -2;  // mean logarithm of the seconds to an answer
  Time home_share_at_{0};
  double again_helps_ = 0.9;  // share of overdue attempts whose next one was answered in time
  Smoothed borne_{0, Time(0)}, ended_, answered_;
  Smoothed served_;  // answers, decaying: its value over kRateTau is the rate
  int fetches_out_ = 0;
  double fetch_limit_ = kFetchStart;
  double fetch_bad_ = 0;
  double fetch_base_ = 0.1;  // seconds of an unhurried fetch: follows quick ones faster than slow ones
  double fetch_time_ = 0.1;  // seconds of a usual fetch
  Time fetch_cut_at_{0};

  bool attached_ = false, asked_ = false;
  Duration backoff_{0};
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : core_(std::make_unique<Core>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;
void Balancer::Handle(Time now, const Event& event, Actions& out) { core_->Handle(now, event, out); }
std::size_t Balancer::Avoided() const { return core_->Avoided(); }

}  // namespace beechledge
