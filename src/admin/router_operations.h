// Executes the calls of the admin interface: metrics from the counters, suspension of servers in the
// engine, and draining of the client front. The operator state is stored in a file that the processes of
// this router share, so that a replacement process takes it over and the two processes of a replacement
// agree: each merges every change into the file, and merges the file into what it knows every
// `Limits::state_poll_interval`. The order of two changes follows from their versions
// (admin/operator_state.h), not from who writes or reads last. All disk access runs on a thread of its own,
// so that a disk that is full, broken or stalled delays nothing else.
#ifndef BRASSWOOD_ADMIN_ROUTER_OPERATIONS_H_
#define BRASSWOOD_ADMIN_ROUTER_OPERATIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admin/calls.h"
#include "admin/heartbeat_files.h"
#include "admin/operator_state_file.h"
#include "base/counters.h"
#include "config/limits.h"
#include "config/settings.h"
#include "core/deadlines.h"
#include "core/engine.h"
#include "state/disk_thread.h"

namespace brasswood {

// How the admin interface reaches the client front.
struct ClientFrontHooks {
  std::function<bool()> ready;                         // whether the process is ready to serve
  std::function<void(bool)> set_draining;              // starts or ends draining
  std::function<void(std::size_t)> set_process_count;  // the number of live processes of this router
};

class RouterOperations : public Operations {
 public:
  // `file` may be null: then the operator state is not stored. All references must outlive this object.
  RouterOperations(Engine& engine, const Counters& counters, const SettingNames& names,
                   ClientFrontHooks front, const Limits& limits, Deadlines& deadlines,
                   std::function<Time()> now, std::unique_ptr<OperatorStateFile> file,
                   std::unique_ptr<HeartbeatFiles> heartbeats = nullptr);

  // Applies the stored state, and `suspended`, which a snapshot of an earlier process names: operators' own
  // changes are newer. Call it before the first server list is applied, so that no attempt goes to a
  // suspended server. Waits for the disk for at most `Limits::state_disk_timeout`.
  void Restore(const std::set<std::string>& suspended);
  // Reads the operator state file now and every `Limits::state_poll_interval` from now on, so that a change
  // made at another process is applied here, too. Call it once the client front exists. Does nothing if
  // there is no file.
  void StartPolling();

  bool Ready() const override;
  std::string MetricsText() const override;
  bool Suspend(const std::string& id) override;
  bool Resume(const std::string& id) override;
  void WhenStored(std::function<void(const std::string& error)> callback) override;
  void Drain() override;
  void Activate() override;

 private:
  // What the disk thread read at one time.
  struct DiskReading {
    std::size_t live_processes = 1;
    std::optional<OperatorState> state;
    std::string error;  // why there is no state; empty if there is no file
  };
  // The result of storing the state up to a change.
  struct SaveResult {
    std::uint64_t change = 0;
    std::size_t live_processes = 1;  // counted after the file was written
    bool stored = false;
    std::string error;
    OperatorState merged;  // with what the file held
  };
  void StateChanged();  // the state has to be stored
  void Save();
  void Saved(const SaveResult& result);
  void PollDisk();
  void ReadDisk();  // starts a DiskReading
  void Apply(const DiskReading& reading);
  void EndStaleDrain(const DiskReading& reading);
  void StoreIfMissing(const DiskReading& reading);
  void ApplyState();
  void ApplyDrain();
  void SetDrained(bool drained);
  ChangeOrigin ThisChange() const { return {writer_, now_()}; }
  void SetProcessCount(std::size_t live_processes);
  void ScheduleWaiterCheck();

  Engine& engine_;
  const Counters& counters_;
  const SettingNames& names_;
  ClientFrontHooks front_;
  const Limits& limits_;
  Deadlines& deadlines_;
  std::function<Time()> now_;
  // Shared with the disk thread, which may outlive this object while a call to the disk is stuck.
  std::shared_ptr<OperatorStateFile> file_;
  std::shared_ptr<HeartbeatFiles> heartbeats_;
  OperatorState state_;
  const std::string writer_;    // this process, in the versions of its changes
  bool drain_applied_ = false;  // whether the client front was told to drain
  bool polling_ = false;
  std::size_t process_count_ = 1;
  // Numbers of changes of the state: the latest one, the latest one that is stored, and the latest one that
  // could not be stored.
  std::uint64_t latest_change_ = 0, stored_change_ = 0, failed_change_ = 0;
  std::string save_error_;            // why storing failed_change_ failed
  bool disk_failure_logged_ = false;  // so that a failure or a stall of the disk is logged once
  std::string logged_read_error_;     // so that an error in reading the file is logged once
  struct Waiter {                     // a caller that waits until a change is stored
    std::uint64_t change;
    Time deadline;  // for the disk
    std::optional<Time> stored_at;
    std::function<void(const std::string& error)> callback;
  };
  std::optional<std::string> ResultFor(Waiter& waiter);
  std::vector<Waiter> waiters_;
  bool restored_ = false, checking_waiters_ = false;
  std::unique_ptr<DiskThread>
      disk_;  // last member, so that its thread ends before the others are destroyed
};

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_ROUTER_OPERATIONS_H_
