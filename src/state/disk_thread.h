// A thread for all disk operations, so that the event loop never waits for a disk. Work is submitted under
// a name. A newer piece of work replaces a waiting one with the same name, so that the queue does not grow
// while the disk stalls. Each piece of work returns a completion callback, which the loop runs when it
// calls RunCompletions: the thread never calls into the loop, and needs no descriptor to wake it.
//
// All functions, including the destructor, must be called from one thread: the loop's.
#ifndef BRASSWOOD_STATE_DISK_THREAD_H_
#define BRASSWOOD_STATE_DISK_THREAD_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace brasswood {

class DiskThread {
 public:
  using Completion = std::function<void()>;
  // Runs on the disk thread. It must own everything that it accesses, because it may outlive the code that
  // submitted it. The callback that it returns (may be empty) runs on the loop's thread, in RunCompletions.
  using Work = std::function<Completion()>;

  DiskThread();
  // Waits at most kShutdownWait for the submitted work. If the disk has not responded by then, the thread
  // is detached.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  void Submit(const std::string& name, Work work);
  // Whether work with that name is waiting or running.
  bool IsPending(const std::string& name) const;
  // How long the current piece of work has been running; 0: none is.
  std::chrono::nanoseconds RunningFor() const;
  // Runs the callbacks of work that has completed.
  void RunCompletions();
  // Blocks and runs callbacks until `done` returns true or `within` has passed. For use at the start,
  // before requests are served. Returns the last result of `done`.
  bool WaitUntil(const std::function<bool()>& done, std::chrono::nanoseconds within);

  static constexpr std::chrono::milliseconds kShutdownWait{200};

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_DISK_THREAD_H_
