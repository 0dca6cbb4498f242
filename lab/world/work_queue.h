// The cores of a server and the bounded first-in-first-out queue of requests that wait for one. It has no
// notion of time and does no I/O: its owner says when a request begins and ends.
#ifndef BRASSWOOD_LAB_WORLD_WORK_QUEUE_H_
#define BRASSWOOD_LAB_WORLD_WORK_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

namespace brasswood::lab {

class WorkQueue {
 public:
  using Token = std::uint64_t;
  enum class Admission { kStarted, kQueued, kFull };

  WorkQueue(int cores, int waiting)
      : cores_(static_cast<std::size_t>(cores)), queue_limit_(static_cast<std::size_t>(waiting)) {}

  Admission Submit(Token token) {
    if (running_.size() < cores_) {
      running_.insert(token);
      return Admission::kStarted;
    }
    if (waiting_.size() >= queue_limit_) return Admission::kFull;
    waiting_.push_back(token);
    return Admission::kQueued;
  }
  // The request is finished or cancelled. Returns the queued request that starts in its place, if any.
  std::optional<Token> Finish(Token token) {
    if (running_.erase(token) == 0) {
      const auto it = std::find(waiting_.begin(), waiting_.end(), token);
      if (it != waiting_.end()) waiting_.erase(it);
      return std::nullopt;
    }
    return StartNext();
  }
  // Changes the number of cores. Running requests go on; queued ones start as cores become free.
  void SetCores(int cores) { cores_ = static_cast<std::size_t>(cores); }
  // Starts the next queued request, if there is one and a core is free for it, and returns it.
  std::optional<Token> StartNext() {
    if (waiting_.empty() || running_.size() >= cores_) return std::nullopt;
    const Token next = waiting_.front();
    waiting_.pop_front();
    running_.insert(next);
    return next;
  }
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  std::size_t cores_, queue_limit_;
  std::unordered_set<Token> running_;
  std::deque<Token> waiting_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_WORK_QUEUE_H_
