// Which processes of this router are alive now: each one keeps a mark under the shared $TMPDIR,
// `brasswood-NAME.live.PID`, and renews its time at every beat. A mark that is not seen to change for
// `Limits::heartbeat_timeout` is of a process that has gone, however it ended; its time itself says
// nothing, as the wall clock may have stepped since. Used during a replacement, when an old and a new
// process of one router run side by side and share its limits; routers never learn of each other this way,
// as each has its own name.
#ifndef BRASSWOOD_ADMIN_LIVE_MARKS_H_
#define BRASSWOOD_ADMIN_LIVE_MARKS_H_

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <map>
#include <string>

namespace brasswood {

class LiveMarks {
 public:
  // `stale`: a mark that has not changed for this long counts no more.
  LiveMarks(const std::string& directory, const std::string& name, std::chrono::milliseconds stale);
  ~LiveMarks();  // the own mark goes
  LiveMarks(const LiveMarks&) = delete;
  LiveMarks& operator=(const LiveMarks&) = delete;

  // Renews the own mark, and says how many processes of this router are alive, this one among them.
  std::size_t Beat();

 private:
  struct Seen {  // of another process's mark
    std::filesystem::file_time_type renewed;
    std::chrono::steady_clock::time_point at;  // when this time was first seen
  };

  std::string directory_, prefix_, own_;
  std::map<std::string, Seen> seen_;  // by file name
  std::chrono::milliseconds stale_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_LIVE_MARKS_H_
