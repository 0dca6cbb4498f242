// When a router's state is kept, and where: a snapshot every few seconds and at the end, written by the
// disk's thread, two generations; and the one read at the start. Only for installations that have a disk of
// their own: $BRASSWOOD_STATE names a file that says where. deploy/state.json is the example.
#ifndef BRASSWOOD_STATE_KEEPER_H_
#define BRASSWOOD_STATE_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/deadlines.h"
#include "core/engine.h"
#include "state/disk_thread.h"
#include "state/snapshot.h"

namespace brasswood {

struct StateSettings {
  std::string folder;  // must be there
  Duration every{std::chrono::seconds(5)};
  std::size_t keys = 8192;                 // the most recently used ones
  Duration half{std::chrono::minutes(5)};  // what was learnt so long ago counts half
  Duration most{std::chrono::hours(1)};    // and past this not at all
  Duration old{std::chrono::seconds(30)};  // a list older than this is tried carefully
};

// From the file's text; throws std::runtime_error with one plain line.
StateSettings ReadStateSettings(std::string_view json);
// From the file that $BRASSWOOD_STATE names; nothing where it is not set.
std::optional<StateSettings> LoadStateSettings();

class Keeper {
 public:
  // `router`: its name. References outlive the keeper.
  Keeper(StateSettings settings, std::string router, Engine& engine, Deadlines& deadlines,
         std::function<Time()> now);

  // What an earlier process left, if it is this router's and sound: the newest of two generations. Waits
  // for the disk, half a second at most. One log line says what became of it.
  std::optional<Snapshot> Read();
  const StateSettings& settings() const { return settings_; }
  // Takes a snapshot each `every` from now on, once discovery has confirmed the list: what was kept before
  // is not overwritten by a process that knows less.
  void Begin();
  // And one more, now.
  void Take();

 private:
  void Tick();
  std::string Path() const { return settings_.folder + "/" + router_ + ".state"; }

  const StateSettings settings_;
  const std::string router_;
  Engine& engine_;
  Deadlines& deadlines_;
  std::function<Time()> now_;
  bool complained_ = false;
  DiskThread disk_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_KEEPER_H_
