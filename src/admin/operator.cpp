#include "admin/operator.h"

#include <utility>

#include "admin/figures.h"
#include "base/log.h"

namespace brasswood {

Operator::Operator(Engine& engine, const Counters& counters, const Names& names, FrontHooks front,
                   std::unique_ptr<StateFile> file, std::unique_ptr<LiveMarks> marks)
    : engine_(engine),
      counters_(counters),
      names_(names),
      front_(std::move(front)),
      file_(std::move(file)),
      marks_(std::move(marks)) {}

void Operator::Count() {
  if (!marks_) return;
  const std::size_t alive = marks_->Beat();
  if (alive == processes_) return;
  LogLine(Level::kInfo) << alive
                        << " processes of this router are alive: each takes its share of the limits";
  processes_ = alive;
  if (front_.share) front_.share(alive);
}

void Operator::Restore() {
  Count();
  if (!file_) return;
  std::string why;
  const auto state = file_->Read(why);
  if (!state) {
    if (!why.empty()) LogLine(Level::kWarn) << "operator state ignored: " << why;
    last_read_ = why;
    return;
  }
  for (const std::string& uid : state->suspended) engine_.Suspend(uid, true);
  if (!state->suspended.empty()) {
    LogLine(Level::kInfo) << "operator state taken over: " << state->suspended.size() << " suspended";
  }
}

void Operator::Follow(Deadlines& deadlines, std::function<Time()> now, Duration every) {
  if (!file_) return;
  deadlines_ = &deadlines;
  now_ = std::move(now);
  every_ = every;
  deadlines_->Set(now_() + every_, [this] { Look(); });
}

// Guards against two processes of one router that disagree: a call to the old one while the new one
// serves, or the other way round. What the file says wins; only changes are carried out.
void Operator::Look() {
  deadlines_->Set(now_() + every_, [this] { Look(); });
  Count();
  // Guards against a ban lost to a full disk: while the file lacks what was said here last, its word does
  // not go before it.
  if (!unkept_.empty()) Save();
  if (!unkept_.empty()) return;
  std::string why;
  const auto state = file_->Read(why);
  if (!state) {
    if (!why.empty() && why != last_read_) LogLine(Level::kWarn) << "operator state ignored: " << why;
    last_read_ = why;
    return;
  }
  last_read_.clear();
  const std::set<std::string> now = engine_.suspended();
  for (const std::string& uid : state->suspended) {
    if (!now.contains(uid)) engine_.Suspend(uid, true);
  }
  for (const std::string& uid : now) {
    if (!state->suspended.contains(uid)) engine_.Resume(uid, true);
  }
}

// Logged once when it begins to fail and once when it works again, however often it is tried between.
void Operator::Save() {
  if (!file_) return;
  std::string why;
  if (file_->Write({engine_.suspended()}, why)) {
    if (!unkept_.empty()) LogLine(Level::kInfo) << "operator state is stored again";
    unkept_.clear();
    return;
  }
  if (unkept_.empty()) {
    LogLine(Level::kWarn) << "operator state held in memory only, tried again each "
                          << std::chrono::duration_cast<std::chrono::milliseconds>(every_).count()
                          << " ms: " << why;
  }
  unkept_ = why;
}

bool Operator::Ready() const { return front_.ready(); }

std::string Operator::Figures() const {
  brasswood::Figures f;
  for (std::size_t i = 0; i < names_.classes.size(); ++i) {
    ClassFigures c;
    c.name = names_.classes[i];
    if (i < counters_.by_class.size()) {
      c.passed = counters_.by_class[i].passed;
      c.dropped = counters_.by_class[i].dropped;
      c.bad_gateway = counters_.by_class[i].bad_gateway;
    }
    f.classes.push_back(std::move(c));
  }
  f.upstream_tries = counters_.upstream_tries;
  f.in_progress = engine_.open_jobs();
  const Engine::Census census = engine_.Count();
  f.known_cache_servers = census.known;
  f.skipped_cache_servers = census.skipped;
  return Render(f);
}

bool Operator::Suspend(const std::string& id) {
  if (!engine_.Suspend(id)) return false;
  Save();
  return true;
}

bool Operator::Resume(const std::string& id) {
  if (!engine_.Resume(id)) return false;
  Save();
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
