// What the door's calls do to this router: figures from the counters, bans laid on the engine, and the
// drain of the submitters' front. Operator state (the bans) is kept in the shared state file, so that a
// replacement process takes it over and the two processes of a replacement agree: each writes it at every
// change and reads it again at every `Limits::state_look`.
#ifndef BRASSWOOD_ADMIN_OPERATOR_H_
#define BRASSWOOD_ADMIN_OPERATOR_H_

#include <functional>
#include <memory>
#include <string>

#include "admin/calls.h"
#include "admin/live_marks.h"
#include "admin/state_file.h"
#include "base/counters.h"
#include "config/limits.h"
#include "config/settings.h"
#include "core/deadlines.h"
#include "core/engine.h"

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
           std::unique_ptr<StateFile> file, std::unique_ptr<LiveMarks> marks = nullptr);

  // Takes over what the file holds; before the first list, so that no claim goes to a banned machine.
  void Restore();
  // Reads the file again from now on, every `every`.
  void Follow(Deadlines& deadlines, std::function<Time()> now, Duration every);

  bool Ready() const override;
  std::string Figures() const override;
  bool Suspend(const std::string& id) override;
  bool Resume(const std::string& id) override;
  std::string Unkept() const override { return unkept_; }
  void Drain() override;
  void Activate() override;

 private:
  void Save();
  void Look();
  void Count();

  Engine& engine_;
  const Counters& counters_;
  const Names& names_;
  FrontHooks front_;
  std::unique_ptr<StateFile> file_;
  std::unique_ptr<LiveMarks> marks_;
  std::size_t processes_ = 1;
  std::string unkept_;     // why the last change is not in the file yet; empty: it is
  std::string last_read_;  // what was said of the file the last time: so it is said once
  Deadlines* deadlines_ = nullptr;
  std::function<Time()> now_;
  Duration every_{0};
};

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_OPERATOR_H_
