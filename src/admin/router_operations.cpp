#include "admin/router_operations.h"

#include <chrono>
#include <utility>

#include "admin/metrics.h"
#include "base/log.h"

namespace brasswood {

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
      heartbeats_(std::move(heartbeats)) {
  if (file_) disk_ = std::make_unique<DiskThread>();
}

void RouterOperations::SetProcessCount(std::size_t live_processes) {
  if (live_processes == process_count_) return;
  LogLine(Level::kInfo) << live_processes
                        << " processes of this router are alive: each takes its share of the limits";
  process_count_ = live_processes;
  if (front_.set_process_count) front_.set_process_count(live_processes);
}

void RouterOperations::Restore() {
  if (!disk_) return;
  ReadDisk();
  // Guards against a start that waits forever for a disk that does not answer. Nothing is served before.
  if (disk_->WaitUntil([this] { return restored_; }, limits_.state_disk_timeout)) return;
  disk_failure_logged_ = true;
  LogLine(Level::kWarn) << "operator state not read yet: the disk does not answer";
}

void RouterOperations::StartPolling() {
  if (disk_) deadlines_.Set(now_() + limits_.state_poll_interval, [this] { PollDisk(); });
}

void RouterOperations::ReadDisk() {
  disk_->Submit("look", [this, file = file_, heartbeats = heartbeats_]() -> DiskThread::Completion {
    DiskReading reading;
    if (heartbeats) reading.live_processes = heartbeats->RenewAndCount();
    reading.state = file->Read(reading.error);
    return [this, reading] { Apply(reading); };
  });
}

// Guards against two processes of one router that disagree because an operator called only one of them: the
// state in the file replaces the one in memory. Only the differences are applied to the engine.
void RouterOperations::Apply(const DiskReading& reading) {
  if (heartbeats_) SetProcessCount(reading.live_processes);
  const bool first = !std::exchange(restored_, true);
  // Guards against losing a suspension because the disk is full: while the latest change made here is not
  // stored, the file is out of date and is not applied.
  if (latest_change_ != stored_change_) return;
  if (!reading.state) {
    if (!reading.error.empty() && reading.error != logged_read_error_) {
      LogLine(Level::kWarn) << "operator state ignored: " << reading.error;
    }
    logged_read_error_ = reading.error;
    return;
  }
  logged_read_error_.clear();
  const std::set<std::string> now = engine_.suspended();
  for (const std::string& uid : reading.state->suspended) {
    if (!now.contains(uid)) engine_.Suspend(uid, true);
  }
  for (const std::string& uid : now) {
    if (!reading.state->suspended.contains(uid)) engine_.Resume(uid, true);
  }
  if (first && !reading.state->suspended.empty()) {
    LogLine(Level::kInfo) << "operator state restored: " << reading.state->suspended.size()
                          << " servers suspended";
  }
}

void RouterOperations::PollDisk() {
  deadlines_.Set(now_() + limits_.state_poll_interval, [this] { PollDisk(); });
  disk_->RunCompletions();
  if (latest_change_ != stored_change_ && !disk_->IsPending("save")) Save();
  if (!disk_->IsPending("look")) ReadDisk();
  if (disk_->RunningFor() > limits_.state_disk_timeout && !std::exchange(disk_failure_logged_, true)) {
    LogLine(Level::kWarn) << "operator state held in memory only: the disk does not answer";
  }
}

void RouterOperations::Save() {
  disk_->Submit("save",
                [this, file = file_, change = latest_change_,
                 state = OperatorState{engine_.suspended()}]() -> DiskThread::Completion {
                  std::string error;
                  const bool ok = file->Write(state, error);
                  return [this, change, ok, error] { Saved(change, ok, error); };
                });
}

// Logs once when saving begins to fail and once when it works again, however often it is tried in between.
void RouterOperations::Saved(std::uint64_t change, bool ok, const std::string& error) {
  save_error_ = error;
  if (ok) stored_change_ = change;
  if (ok && change == latest_change_ && std::exchange(disk_failure_logged_, false)) {
    LogLine(Level::kInfo) << "operator state is stored again";
  }
  if (!ok && !std::exchange(disk_failure_logged_, true)) {
    LogLine(Level::kWarn)
        << "operator state held in memory only, retried every "
        << std::chrono::duration_cast<std::chrono::milliseconds>(limits_.state_poll_interval).count()
        << " ms: " << error;
  }
}

void RouterOperations::StateChanged() {
  ++latest_change_;
  save_error_.clear();
  if (disk_) {
    Save();
  } else {
    stored_change_ = latest_change_;
  }
}

void RouterOperations::WhenStored(std::function<void(const std::string& error)> callback) {
  waiters_.push_back({latest_change_, now_() + limits_.state_disk_timeout, std::move(callback)});
  if (!std::exchange(checking_waiters_, true)) ScheduleWaiterCheck();
}

// While a caller waits, checks every 2 ms whether the disk thread has finished.
void RouterOperations::ScheduleWaiterCheck() {
  deadlines_.Set(now_() + std::chrono::milliseconds(2), [this] {
    if (disk_) disk_->RunCompletions();
    std::vector<Waiter> waiters;
    waiters.swap(waiters_);
    for (Waiter& waiter : waiters) {
      if (!disk_ || stored_change_ >= waiter.change) {
        waiter.callback({});
      } else if (!save_error_.empty()) {
        waiter.callback(save_error_);
      } else if (now_() >= waiter.deadline) {
        waiter.callback("the disk does not answer");
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
  StateChanged();
  return true;
}

bool RouterOperations::Resume(const std::string& id) {
  if (!engine_.Resume(id)) return false;
  StateChanged();
  return true;
}

void RouterOperations::Drain() {
  LogLine(Level::kInfo) << "drain requested by an operator: idle client connections are closed";
  front_.set_draining(true);
}

void RouterOperations::Activate() {
  LogLine(Level::kInfo) << "activation requested by an operator: client connections stay open again";
  front_.set_draining(false);
}

}  // namespace brasswood
