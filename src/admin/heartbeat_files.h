// Counts the live processes of this router by heartbeat files: each process keeps a file in the shared
// $TMPDIR, `brasswood-NAME.live.PID`, and renews its modification time regularly. A process whose file has
// not been seen to change for `Limits::heartbeat_timeout` counts as ended, however it ended. The
// modification time itself is not compared with the current time for that, as the wall clock may have
// stepped since. Used during a replacement, when the old and the new process of one router run side by side
// and share its limits. Other routers are not counted, as they have other names.
#ifndef BRASSWOOD_ADMIN_HEARTBEAT_FILES_H_
#define BRASSWOOD_ADMIN_HEARTBEAT_FILES_H_

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <map>
#include <string>

namespace brasswood {

class HeartbeatFiles {
 public:
  // `name`: the router's. `timeout`: a process whose file has not changed for this long is not counted.
  HeartbeatFiles(const std::string& directory, const std::string& name, std::chrono::milliseconds timeout);
  ~HeartbeatFiles();  // removes this process's file
  HeartbeatFiles(const HeartbeatFiles&) = delete;
  HeartbeatFiles& operator=(const HeartbeatFiles&) = delete;

  // Renews this process's file and returns the number of live processes of this router, including this one.
  std::size_t RenewAndCount();

 private:
  struct Observation {  // of another process's file
    std::filesystem::file_time_type modified;
    std::chrono::steady_clock::time_point first_seen;  // when this modification time was first seen
  };

  std::string directory_, prefix_, own_path_;
  std::map<std::string, Observation> others_;  // by file name
  std::chrono::milliseconds timeout_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_HEARTBEAT_FILES_H_
