// What the door's calls do to this router: figures from the counters, bans laid on the engine, and the
// drain of the clients' front. Operator state (the bans) is kept in the shared state file, so that a
// replacement process takes it over and the two processes of a replacement agree: each writes it at every
// change and reads it again at every `Limits::state_poll_interval`. All that touches the disk is done on a
// thread of its own: a disk that is full, broken or stalled holds nobody up.
#ifndef BRASSWOOD_ADMIN_OPERATOR_H_
#define BRASSWOOD_ADMIN_OPERATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/calls.h"
#include "admin/live_marks.h"
#include "admin/state_file.h"
#include "base/counters.h"
#include "config/limits.h"
#include "config/settings.h"
#include "core/deadlines.h"
#include "core/engine.h"
#include "state/disk_thread.h"

namespace brasswood {

struct FrontHooks {
  std::function<bool()> ready;             // is the process ready to serve?
  std::function<void(bool)> send_away;     // the drain on or off
  std::function<void(std::size_t)> share;  // this many processes of the router are alive now
};

class Operator : public Operations {
 public:
  // `file` may be null: then nothing is kept beyond this process. All references outlive the operator.
  Operator(Engine& engine, const Counters& counters, const Names& names, FrontHooks front,
           const Limits& limits, Deadlines& deadlines, std::function<Time()> now,
           std::unique_ptr<StateFile> file, std::unique_ptr<HeartbeatFiles> marks = nullptr);

  // Takes over what the file holds; before the first list, so that no attempt goes to a banned server.
  // Waits for the disk, `Limits::state_disk_timeout` at most.
  void Restore();
  // Reads the file again from now on, every `Limits::state_poll_interval`.
  void Follow();

  bool Ready() const override;
  std::string MetricsText() const override;
  bool Suspend(const std::string& id) override;
  bool Resume(const std::string& id) override;
  void WhenKept(std::function<void(const std::string& why)> then) override;
  void Drain() override;
  void Activate() override;

 private:
  // What the disk's thread found at one look.
  struct Seen {
    std::size_t alive = 1;
    std::optional<OperatorState> state;
    std::string why;
  };
  void Say();
  void Save();
  void Kept(std::uint64_t said, bool ok, const std::string& why);
  void Look();
  void AskDisk();
  void Take(const Seen& seen);
  void Count(std::size_t alive);
  void Poll();

  Engine& engine_;
  const Counters& counters_;
  const Names& names_;
  FrontHooks front_;
  const Limits& limits_;
  Deadlines& deadlines_;
  std::function<Time()> now_;
  // Shared with the disk's thread, which may outlive this by what it is stuck in.
  std::shared_ptr<StateFile> file_;
  std::shared_ptr<HeartbeatFiles> marks_;
  std::size_t processes_ = 1;
  std::uint64_t said_ = 0, kept_ = 0;  // the changes said, and the last of them that is stored
  std::string unkept_;                 // why the last try to store failed; empty: it did not
  bool complained_ = false;            // it has been logged that the disk fails or does not answer
  std::string last_read_;              // what was said of the file the last time: so it is said once
  struct Waiter {
    std::uint64_t said;
    Time until;
    std::function<void(const std::string& why)> then;
  };
  std::vector<Waiter> waiters_;
  bool restored_ = false, polling_ = false;
  std::unique_ptr<DiskThread> disk_;  // last: its thread ends before the rest goes
};

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_OPERATOR_H_
