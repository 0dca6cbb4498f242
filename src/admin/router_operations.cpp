#include "admin/router_operations.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "admin/metrics.h"
#include "base/log.h"

namespace brasswood {
namespace {

// When the loop looks for what the disk thread has read: a healthy disk takes less.
constexpr std::chrono::milliseconds kReadTime(10);

// Unlike the process id alone, no other process has this name, in whatever container it runs.
std::string NameOfWriter(Time now) {
  return std::to_string(::getpid()) + "." + std::to_string(now.count());
}

}  // namespace

RouterOperations::RouterOperations(Engine& engine, const Counters& counters, const SettingNames& names,
                                   ClientFrontHooks front, const Limits& limits, Deadlines& deadlines,
                                   std::function<Time()> now, std::unique_ptr<OperatorStateFile> file,
                                   std::unique_ptr<HeartbeatFiles> heartbeats)
    : engine_(engine),
      counters_(counters),
      names_(names),
      front_(std::move(front)),
      limits_(limits),
      deadlines_(deadlines),
      now_(std::move(now)),
      file_(std::move(file)),
      heartbeats_(std::move(heartbeats)),
      writer_(NameOfWriter(now_())) {
  if (file_) disk_ = std::make_unique<DiskThread>();
}

void RouterOperations::SetProcessCount(std::size_t live_processes) {
  if (live_processes == process_count_) return;
  LogLine(Level::kInfo) << live_processes
                        << " processes of this router are alive: each takes its share of the limits";
  process_count_ = live_processes;
  if (front_.set_process_count) front_.set_process_count(live_processes);
}

void RouterOperations::Restore(const std::set<std::string>& suspended) {
  for (const std::string& uid : suspended) state_.AdoptSuspended(uid);
  ApplyState();
  if (!disk_) return;
  ReadDisk();
  // Guards against a start that waits forever for a disk that does not answer. Nothing is served before.
  if (disk_->WaitUntil([this] { return restored_; }, limits_.state_disk_timeout)) return;
  disk_failure_logged_ = true;
  LogLine(Level::kWarn) << "operator state not read yet: the disk does not answer";
}

void RouterOperations::StartPolling() {
  polling_ = true;
  ApplyDrain();
  if (disk_) PollDisk();
}

void RouterOperations::ReadDisk() {
  disk_->Submit("look", [this, file = file_, heartbeats = heartbeats_]() -> DiskThread::Completion {
    DiskReading reading;
    if (heartbeats) reading.live_processes = heartbeats->RenewAndCount();
    reading.state = file->Read(reading.error);
    return [this, reading] { Apply(reading); };
  });
}

// Guards against two processes of one router that disagree because an operator called only one of them. Of
// each entry the newer change counts, wherever it was made.
void RouterOperations::Apply(const DiskReading& reading) {
  if (heartbeats_) SetProcessCount(reading.live_processes);
  const bool first = !std::exchange(restored_, true);
  if (!reading.state && !reading.error.empty() && reading.error != logged_read_error_)
    LogLine(Level::kWarn) << "operator state ignored: " << reading.error;
  logged_read_error_ = reading.error;
  if (reading.state) state_.Merge(*reading.state);
  if (first) EndStaleDrain(reading);
  ApplyState();
  StoreIfMissing(reading);
  if (first && reading.state && !engine_.suspended().empty()) {
    LogLine(Level::kInfo) << "operator state restored: " << engine_.suspended().size()
                          << " servers suspended";
  }
}

// A drain is taken over from a process that still runs, and one that was called here is not stale, however
// late the disk is read for the first time. Guards against a router that never becomes ready because it was
// drained before it ended.
void RouterOperations::EndStaleDrain(const DiskReading& reading) {
  const OperatorFlag& drained = state_.drained();
  if (!drained.set || drained.version.writer == writer_ || reading.live_processes > 1) return;
  LogLine(Level::kInfo) << "the router was drained before it ended; it starts active";
  state_.SetDrained(false, ThisChange());
  StateChanged();
}

// Guards against a change that is lost in the file: another process may have replaced it from a state
// without the change (one without versions, or on a file system without locks), or the file was removed.
void RouterOperations::StoreIfMissing(const DiskReading& reading) {
  if (latest_change_ != stored_change_) return;  // it is being stored, or retried
  const OperatorState stored = reading.state.value_or(OperatorState());
  if (!stored.Includes(state_)) StateChanged();
}

// Applies the differences to the engine and to the client front.
void RouterOperations::ApplyState() {
  const std::set<std::string> now = engine_.suspended();
  for (const auto& [uid, flag] : state_.suspended()) {
    if (flag.set == now.contains(uid)) continue;
    if (flag.set) {
      engine_.Suspend(uid, true);
    } else {
      engine_.Resume(uid, true);
    }
  }
  ApplyDrain();
}

void RouterOperations::ApplyDrain() {
  if (!polling_ || state_.drained().set == drain_applied_) return;  // no client front yet, or no change
  drain_applied_ = state_.drained().set;
  front_.set_draining(drain_applied_);
}

void RouterOperations::PollDisk() {
  deadlines_.Set(now_() + limits_.state_poll_interval, [this] { PollDisk(); });
  disk_->RunCompletions();
  if (latest_change_ != stored_change_ && !disk_->IsPending("save")) Save();
  if (!disk_->IsPending("look")) ReadDisk();
  deadlines_.Set(now_() + kReadTime, [this] { disk_->RunCompletions(); });
  if (disk_->RunningFor() > limits_.state_disk_timeout && !std::exchange(disk_failure_logged_, true)) {
    LogLine(Level::kWarn) << "operator state held in memory only: the disk does not answer";
  }
}

// The processes are counted after the file was written. Guards against a change that is confirmed before a
// process that has just started knows of it: that one renews its heartbeat before it reads the file, so
// either it has read the change, or it is counted here.
void RouterOperations::Save() {
  disk_->Submit("save",
                [this, file = file_, heartbeats = heartbeats_, change = latest_change_,
                 state = state_]() -> DiskThread::Completion {
                  SaveResult result{change, 1, false, {}, state};
                  result.stored = file->MergeAndWrite(result.merged, result.error);
                  if (heartbeats) result.live_processes = heartbeats->RenewAndCount();
                  return [this, result] { Saved(result); };
                });
}

// Logs once when saving begins to fail and once when it works again, however often it is tried in between.
void RouterOperations::Saved(const SaveResult& result) {
  if (heartbeats_) SetProcessCount(result.live_processes);
  state_.Merge(result.merged);
  ApplyState();
  if (result.stored) {
    stored_change_ = result.change;
    if (result.change == latest_change_ && std::exchange(disk_failure_logged_, false))
      LogLine(Level::kInfo) << "operator state is stored again";
    return;
  }
  failed_change_ = result.change;
  save_error_ = result.error;
  if (!std::exchange(disk_failure_logged_, true)) {
    LogLine(Level::kWarn)
        << "operator state held in memory only, retried every "
        << std::chrono::duration_cast<std::chrono::milliseconds>(limits_.state_poll_interval).count()
        << " ms: " << result.error;
  }
}

void RouterOperations::StateChanged() {
  ++latest_change_;
  if (disk_) {
    Save();
  } else {
    stored_change_ = latest_change_;
  }
}

void RouterOperations::WhenStored(std::function<void(const std::string& error)> callback) {
  waiters_.push_back({latest_change_, now_() + limits_.state_disk_timeout, {}, std::move(callback)});
  if (!std::exchange(checking_waiters_, true)) ScheduleWaiterCheck();
}

// What the caller is told: an empty text or why its change is not stored; nothing as long as it waits.
// While another process of this router runs, the answer waits until that one has read the change too.
std::optional<std::string> RouterOperations::ResultFor(Waiter& waiter) {
  if (!disk_ || stored_change_ >= waiter.change) {
    if (!waiter.stored_at) waiter.stored_at = now_();
    const Duration to_others =
        process_count_ > 1 ? limits_.state_poll_interval + 3 * kReadTime : Duration(0);
    if (now_() < *waiter.stored_at + to_others) return std::nullopt;
    return std::string();
  }
  if (failed_change_ >= waiter.change) return save_error_;
  if (now_() >= waiter.deadline) return "the disk does not answer";
  return std::nullopt;
}

// While a caller waits, checks every 2 ms whether the disk thread has finished.
void RouterOperations::ScheduleWaiterCheck() {
  deadlines_.Set(now_() + std::chrono::milliseconds(2), [this] {
    if (disk_) disk_->RunCompletions();
    std::vector<Waiter> waiters;
    waiters.swap(waiters_);
    for (Waiter& waiter : waiters) {
      if (const auto result = ResultFor(waiter)) {
        waiter.callback(*result);
      } else {
        waiters_.push_back(std::move(waiter));
      }
    }
    checking_waiters_ = !waiters_.empty();
    if (checking_waiters_) ScheduleWaiterCheck();
  });
}

bool RouterOperations::Ready() const { return front_.ready(); }

std::string RouterOperations::MetricsText() const {
  Metrics metrics;
  for (std::size_t i = 0; i < names_.classes.size(); ++i) {
    ClassMetrics class_metrics;
    class_metrics.name = names_.classes[i];
    if (i < counters_.by_class.size()) {
      class_metrics.passed = counters_.by_class[i].passed;
      class_metrics.dropped = counters_.by_class[i].dropped;
      class_metrics.bad_gateway = counters_.by_class[i].bad_gateway;
    }
    metrics.classes.push_back(std::move(class_metrics));
  }
  metrics.upstream_tries = counters_.upstream_tries;
  metrics.in_progress = engine_.open_requests();
  const Engine::ServerCounts census = engine_.CountServers();
  metrics.known_cache_servers = census.known;
  metrics.skipped_cache_servers = census.skipped;
  return FormatMetrics(metrics);
}

bool RouterOperations::Suspend(const std::string& id) {
  if (!engine_.Suspend(id)) return false;
  state_.SetSuspended(id, true, ThisChange());
  StateChanged();
  return true;
}

bool RouterOperations::Resume(const std::string& id) {
  if (!engine_.Resume(id)) return false;
  state_.SetSuspended(id, false, ThisChange());
  StateChanged();
  return true;
}

void RouterOperations::Drain() {
  LogLine(Level::kInfo) << "drain requested by an operator: idle client connections are closed";
  SetDrained(true);
}

void RouterOperations::Activate() {
  LogLine(Level::kInfo) << "activation requested by an operator: client connections stay open again";
  SetDrained(false);
}

void RouterOperations::SetDrained(bool drained) {
  state_.SetDrained(drained, ThisChange());
  ApplyDrain();
  StateChanged();
}

}  // namespace brasswood
