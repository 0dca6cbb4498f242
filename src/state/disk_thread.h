// A thread for all that touches a disk, so that the loop never waits for one. Work is put in by name; of
// one name only the last that was put waits, so that a disk that stalls makes nothing grow. What a piece of
// work has to say comes back as a call for the loop, which the loop fetches when it likes: the thread never
// calls into it, and needs no descriptor to wake it.
//
// Put, Has, Stuck, Deliver and the destructor belong to one thread, the loop's.
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
  using Call = std::function<void()>;
  // Runs on the thread, and owns all that it touches: it may outlive whoever put it in. What it returns
  // (it may be empty) runs on the loop, in Deliver.
  using Work = std::function<Call()>;

  DiskThread();
  // Waits `kLast` for what was put in; a disk that does not answer by then is left to itself.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  void Put(const std::string& name, Work work);
  // Does work of that name wait, or is it being done?
  bool Has(const std::string& name) const;
  // For how long the present piece of work has been going on; 0: none is.
  std::chrono::nanoseconds Stuck() const;
  // Runs what has come back.
  void Deliver();
  // The same until `done` or `within` has passed; for a start, before anything is served. False: it is not
  // done.
  bool Await(const std::function<bool()>& done, std::chrono::nanoseconds within);

  static constexpr std::chrono::milliseconds kLast{200};

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_DISK_THREAD_H_
