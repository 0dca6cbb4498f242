#include "state/disk_thread.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

namespace brasswood {

using SteadyClock = std::chrono::steady_clock;

struct DiskThread::Shared {
  std::mutex lock;
  std::condition_variable submitted, done;
  std::deque<std::pair<std::string, Work>> waiting;
  std::string running;  // the name of the work that is running; empty: none
  SteadyClock::time_point since;
  std::vector<Completion> completed;
  bool stop = false, ended = false;

  void Run() {
    std::unique_lock held(lock);
    for (;;) {
      submitted.wait(held, [this] { return stop || !waiting.empty(); });
      if (waiting.empty()) break;
      Work work = std::move(waiting.front().second);
      running = std::move(waiting.front().first);
      waiting.pop_front();
      since = SteadyClock::now();
      held.unlock();
      Completion call = work();
      work = nullptr;
      held.lock();
      running.clear();
      if (call && !stop) completed.push_back(std::move(call));
    }
    ended = true;
    done.notify_all();
  }
};

DiskThread::DiskThread() : shared_(std::make_shared<Shared>()) {
  thread_ = std::thread([shared = shared_] { shared->Run(); });
}

DiskThread::~DiskThread() {
  bool ended = false;
  {
    std::unique_lock held(shared_->lock);
    shared_->stop = true;
    shared_->submitted.notify_all();
    ended = shared_->done.wait_for(held, kShutdownWait, [this] { return shared_->ended; });
  }
  // Guards against an exit that waits for a disk that does not respond.
  if (ended) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void DiskThread::Submit(const std::string& name, Work work) {
  const std::lock_guard held(shared_->lock);
  for (auto& [waiting_name, old] : shared_->waiting) {
    if (waiting_name != name) continue;
    old = std::move(work);
    return;
  }
  shared_->waiting.emplace_back(name, std::move(work));
  shared_->submitted.notify_all();
}

bool DiskThread::IsPending(const std::string& name) const {
  const std::lock_guard held(shared_->lock);
  if (shared_->running == name) return true;
  for (const auto& [waiting_name, work] : shared_->waiting) {
    if (waiting_name == name) return true;
  }
  return false;
}

std::chrono::nanoseconds DiskThread::RunningFor() const {
  const std::lock_guard held(shared_->lock);
  if (shared_->running.empty()) return std::chrono::nanoseconds(0);
  return SteadyClock::now() - shared_->since;
}

void DiskThread::RunCompletions() {
  std::vector<Completion> completed;
  {
    const std::lock_guard held(shared_->lock);
    completed.swap(shared_->completed);
  }
  for (const Completion& call : completed) call();
}

bool DiskThread::WaitUntil(const std::function<bool()>& done, std::chrono::nanoseconds within) {
  const auto until = SteadyClock::now() + within;
  while (!done() && SteadyClock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    RunCompletions();
  }
  return done();
}

}  // namespace brasswood
