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
  std::condition_variable put, done;
  std::deque<std::pair<std::string, Work>> waiting;
  std::string now;  // the name of what is being done; empty: nothing
  SteadyClock::time_point since;
  std::vector<Call> back;
  bool stop = false, ended = false;

  void Run() {
    std::unique_lock held(lock);
    for (;;) {
      put.wait(held, [this] { return stop || !waiting.empty(); });
      if (waiting.empty()) break;
      Work work = std::move(waiting.front().second);
      now = std::move(waiting.front().first);
      waiting.pop_front();
      since = SteadyClock::now();
      held.unlock();
      Call call = work();
      work = nullptr;
      held.lock();
      now.clear();
      if (call && !stop) back.push_back(std::move(call));
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
    shared_->put.notify_all();
    ended = shared_->done.wait_for(held, kLast, [this] { return shared_->ended; });
  }
  // Guards against an exit that waits for a dead disk.
  if (ended) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void DiskThread::Put(const std::string& name, Work work) {
  const std::lock_guard held(shared_->lock);
  for (auto& [waits, old] : shared_->waiting) {
    if (waits != name) continue;
    old = std::move(work);
    return;
  }
  shared_->waiting.emplace_back(name, std::move(work));
  shared_->put.notify_all();
}

bool DiskThread::Has(const std::string& name) const {
  const std::lock_guard held(shared_->lock);
  if (shared_->now == name) return true;
  for (const auto& [waits, work] : shared_->waiting) {
    if (waits == name) return true;
  }
  return false;
}

std::chrono::nanoseconds DiskThread::Stuck() const {
  const std::lock_guard held(shared_->lock);
  if (shared_->now.empty()) return std::chrono::nanoseconds(0);
  return SteadyClock::now() - shared_->since;
}

void DiskThread::Deliver() {
  std::vector<Call> back;
  {
    const std::lock_guard held(shared_->lock);
    back.swap(shared_->back);
  }
  for (const Call& call : back) call();
}

bool DiskThread::Await(const std::function<bool()>& done, std::chrono::nanoseconds within) {
  const auto until = SteadyClock::now() + within;
  while (!done() && SteadyClock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    Deliver();
  }
  return done();
}

}  // namespace brasswood
