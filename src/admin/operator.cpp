#include "admin/operator.h"

#include <chrono>
#include <utility>

#include "admin/figures.h"
#include "base/log.h"

namespace brasswood {

Operator::Operator(Engine& engine, const Counters& counters, const Names& names, FrontHooks front,
                   const Limits& limits, Deadlines& deadlines, std::function<Time()> now,
                   std::unique_ptr<StateFile> file, std::unique_ptr<HeartbeatFiles> marks)
    : engine_(engine),
      counters_(counters),
      names_(names),
      front_(std::move(front)),
      limits_(limits),
      deadlines_(deadlines),
      now_(std::move(now)),
      file_(std::move(file)),
      marks_(std::move(marks)) {
  if (file_) disk_ = std::make_unique<DiskThread>();
}

void Operator::Count(std::size_t alive) {
  if (alive == processes_) return;
  LogLine(Level::kInfo) << alive
                        << " processes of this router are alive: each takes its share of the limits";
  processes_ = alive;
  if (front_.share) front_.share(alive);
}

void Operator::Restore() {
  if (!disk_) return;
  AskDisk();
  // Nothing is served yet. Guards against a start that a dead disk holds up for good.
  if (disk_->Await([this] { return restored_; }, limits_.state_disk_timeout)) return;
  complained_ = true;
  LogLine(Level::kWarn) << "operator state not read yet: the disk does not answer";
}

void Operator::Follow() {
  if (disk_) deadlines_.Set(now_() + limits_.state_poll_interval, [this] { Look(); });
}

void Operator::AskDisk() {
  disk_->Put("look", [this, file = file_, marks = marks_]() -> DiskThread::Call {
    Seen seen;
    if (marks) seen.alive = marks->RenewAndCount();
    seen.state = file->Read(seen.why);
    return [this, seen] { Take(seen); };
  });
}

// Guards against two processes of one router that disagree: a call to the old one while the new one
// serves, or the other way round. What the file says wins; only changes are carried out.
void Operator::Take(const Seen& seen) {
  if (marks_) Count(seen.alive);
  const bool first = !std::exchange(restored_, true);
  // Guards against a ban lost to a full disk: while the file lacks what was said here last, its word does
  // not go before it.
  if (said_ != kept_) return;
  if (!seen.state) {
    if (!seen.why.empty() && seen.why != last_read_) {
      LogLine(Level::kWarn) << "operator state ignored: " << seen.why;
    }
    last_read_ = seen.why;
    return;
  }
  last_read_.clear();
  const std::set<std::string> now = engine_.suspended();
  for (const std::string& uid : seen.state->suspended) {
    if (!now.contains(uid)) engine_.Suspend(uid, true);
  }
  for (const std::string& uid : now) {
    if (!seen.state->suspended.contains(uid)) engine_.Resume(uid, true);
  }
  if (first && !seen.state->suspended.empty()) {
    LogLine(Level::kInfo) << "operator state taken over: " << seen.state->suspended.size() << " suspended";
  }
}

void Operator::Look() {
  deadlines_.Set(now_() + limits_.state_poll_interval, [this] { Look(); });
  disk_->Deliver();
  if (said_ != kept_ && !disk_->Has("save")) Save();
  if (!disk_->Has("look")) AskDisk();
  if (disk_->Stuck() > limits_.state_disk_timeout && !std::exchange(complained_, true)) {
    LogLine(Level::kWarn) << "operator state held in memory only: the disk does not answer";
  }
}

void Operator::Save() {
  disk_->Put(
      "save",
      [this, file = file_, said = said_, state = OperatorState{engine_.suspended()}]() -> DiskThread::Call {
        std::string why;
        const bool ok = file->Write(state, why);
        return [this, said, ok, why] { Kept(said, ok, why); };
      });
}

// Logged once when it begins to fail and once when it works again, however often it is tried between.
void Operator::Kept(std::uint64_t said, bool ok, const std::string& why) {
  unkept_ = why;
  if (ok) kept_ = said;
  if (ok && said == said_ && std::exchange(complained_, false)) {
    LogLine(Level::kInfo) << "operator state is stored again";
  }
  if (!ok && !std::exchange(complained_, true)) {
    LogLine(Level::kWarn)
        << "operator state held in memory only, tried again each "
        << std::chrono::duration_cast<std::chrono::milliseconds>(limits_.state_poll_interval).count()
        << " ms: " << why;
  }
}

void Operator::Say() {
  ++said_;
  unkept_.clear();
  if (disk_) {
    Save();
  } else {
    kept_ = said_;
  }
}

void Operator::WhenKept(std::function<void(const std::string& why)> then) {
  waiters_.push_back({said_, now_() + limits_.state_disk_timeout, std::move(then)});
  if (!std::exchange(polling_, true)) Poll();
}

// While a caller waits: has the disk answered?
void Operator::Poll() {
  deadlines_.Set(now_() + std::chrono::milliseconds(2), [this] {
    if (disk_) disk_->Deliver();
    std::vector<Waiter> waiters;
    waiters.swap(waiters_);
    for (Waiter& w : waiters) {
      if (!disk_ || kept_ >= w.said) {
        w.then({});
      } else if (!unkept_.empty()) {
        w.then(unkept_);
      } else if (now_() >= w.until) {
        w.then("the disk does not answer");
      } else {
        waiters_.push_back(std::move(w));
      }
    }
    polling_ = !waiters_.empty();
    if (polling_) Poll();
  });
}

bool Operator::Ready() const { return front_.ready(); }

std::string Operator::MetricsText() const {
  Metrics f;
  for (std::size_t i = 0; i < names_.classes.size(); ++i) {
    ClassMetrics c;
    c.name = names_.classes[i];
    if (i < counters_.by_class.size()) {
      c.passed = counters_.by_class[i].passed;
      c.dropped = counters_.by_class[i].dropped;
      c.bad_gateway = counters_.by_class[i].bad_gateway;
    }
    f.classes.push_back(std::move(c));
  }
  f.upstream_tries = counters_.upstream_tries;
  f.in_progress = engine_.open_requests();
  const Engine::Census census = engine_.Count();
  f.known_cache_servers = census.known;
  f.skipped_cache_servers = census.skipped;
  return FormatMetrics(f);
}

bool Operator::Suspend(const std::string& id) {
  if (!engine_.Suspend(id)) return false;
  Say();
  return true;
}

bool Operator::Resume(const std::string& id) {
  if (!engine_.Resume(id)) return false;
  Say();
  return true;
}

void Operator::Drain() {
  LogLine(Level::kInfo) << "drained by hand: clients are sent away";
  front_.send_away(true);
}

void Operator::Activate() {
  LogLine(Level::kInfo) << "active again by hand";
  front_.send_away(false);
}

}  // namespace brasswood
