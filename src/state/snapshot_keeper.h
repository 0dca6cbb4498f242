// Persists a router's state: writes a snapshot every few seconds and at shutdown, on the disk thread and in
// two generations, and reads one at the start. Used only by installations with a local disk:
// $BRASSWOOD_STATE names the settings file, which says where. deploy/state.json is an example.
#ifndef BRASSWOOD_STATE_SNAPSHOT_KEEPER_H_
#define BRASSWOOD_STATE_SNAPSHOT_KEEPER_H_

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
  std::string folder;  // must exist
  Duration interval{std::chrono::seconds(5)};
  std::size_t max_keys = 8192;                      // stored at most, the most recently used ones
  Duration half_life{std::chrono::minutes(5)};      // half-life of the confidence in what was learnt
  Duration max_age{std::chrono::hours(1)};          // of an older snapshot only the suspensions are used
  Duration old_list_age{std::chrono::seconds(30)};  // servers of an older list may have been replaced
};

// Parses the text of the settings file. Throws std::runtime_error with a message of one line.
StateSettings ReadStateSettings(std::string_view json);
// Reads the file that $BRASSWOOD_STATE names. Returns nothing if the variable is not set.
std::optional<StateSettings> LoadStateSettings();

class SnapshotKeeper {
 public:
  // `router`: the router's name. The references must outlive this object.
  SnapshotKeeper(StateSettings settings, std::string router, Engine& engine, Deadlines& deadlines,
                 std::function<Time()> now);

  // Reads the newest valid snapshot of this router out of two generations, if there is one. Blocks for the
  // disk, half a second at most, and logs the result.
  std::optional<Snapshot> Load();
  const StateSettings& settings() const { return settings_; }
  // Writes a snapshot each `interval` from now on, once discovery has confirmed the list, so that a process
  // that knows less does not overwrite the earlier snapshot.
  void Start();
  // Writes a snapshot now.
  void Save();

 private:
  void Tick();
  std::string Path() const { return settings_.folder + "/" + router_ + ".state"; }

  const StateSettings settings_;
  const std::string router_;
  Engine& engine_;
  Deadlines& deadlines_;
  std::function<Time()> now_;
  bool failure_logged_ = false;
  DiskThread disk_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_SNAPSHOT_KEEPER_H_
