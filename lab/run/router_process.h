// A router process under test: starts it with its own configuration, checks readiness, kills and stops it,
// and samples its resource usage from /proc.
#ifndef BRASSWOOD_LAB_RUN_ROUTER_PROCESS_H_
#define BRASSWOOD_LAB_RUN_ROUTER_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "lab/base/scenario.h"
#include "lab/preload/call_mode.h"

namespace brasswood::lab {

// Resource usage of one router.
struct Usage {
  double cpu_s = 0, memory_mb = 0;
  int descriptors = 0;
};

class RouterProcess {
 public:
  // `command`: the program and its arguments. router-N.json and router-N.log are written to `folder`.
  RouterProcess(const Scenario& scenario, int number, std::vector<std::string> command, std::string folder);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  const std::string& listen() const { return listen_; }
  std::string log() const { return folder_ + "/router-" + std::to_string(number_) + ".log"; }

  // Starts the process, also after it was killed. `known` is the initial server list in discovery's format.
  // Throws std::runtime_error if the program cannot be started.
  void Start(const std::string& discovery, const std::string& known);
  // Whether it answers `mn` with MN within `timeout`.
  bool Ready(Duration timeout) const;
  void Kill();   // sends SIGKILL and waits for the process to end
  void Pause();  // SIGSTOP: unresponsive, as on a machine that has disappeared, until Resume or Kill
  void Resume();
  // Sets how many of a thousand of its socket calls fail, and the error of its wall clock. No effect unless
  // the scenario has faults of kind calls or clock.
  void SetCallFailures(std::uint32_t per_mille);
  void SetClockOffset(Duration offset);
  void Terminate();  // sends SIGTERM
  // Writes a new configuration with this discovery address and sends SIGHUP.
  void Reload(const std::string& discovery);
  bool Running() const { return pid_ > 0; }
  // Sets up the state folder for the next start. `other_state_file` is another router's file, for kOthers;
  // kOld uses the copy made earlier by SaveStateForLater.
  void PrepareState(KeptAs kept, const std::string& other_state_file);
  void SaveStateForLater();
  std::string state_file() const { return state_folder() + "/n" + std::to_string(number_) + ".state"; }
  // Sets how its disk fails from now on. No effect unless the scenario has faults of kind disk.
  void SetDiskMode(DiskMode mode);
  // Waits at most `timeout` for the process to end; returns its exit code, or nothing.
  std::optional<int> Wait(Duration timeout);
  // The exit code if the process has ended (negative: the number of the signal that ended it).
  std::optional<int> PollExitCode();
  // The current usage; nothing if the process is not running.
  std::optional<Usage> SampleUsage() const;
  // CPU time of all processes of this router that have ended.
  double cpu_s() const { return cpu_s_; }

 private:
  std::string state_folder() const { return folder_ + "/state-" + std::to_string(number_); }
  std::string WriteConfiguration(const std::string& discovery, const std::string& known) const;
  std::optional<int> Reap(int flags);

  const Scenario& scenario_;
  int number_;
  std::vector<std::string> command_;
  std::string folder_, listen_;
  int reserved_ = -1;              // socket that reserves the port
  int* disk_mode_ = nullptr;       // shared memory: how its disk fails
  CallMode* call_mode_ = nullptr;  // shared memory: failing calls and clock offset
  std::string known_;              // the server list of its last start
  pid_t pid_ = -1;
  int starts_ = 0;
  double cpu_s_ = 0;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_ROUTER_PROCESS_H_
