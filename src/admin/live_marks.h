// Which processes of this router are alive now: each one keeps a mark under the shared $TMPDIR,
// `brasswood-NAME.live.PID`, and renews its time at every beat. A mark not renewed for `Limits::stale` is a
// process that has gone, however it ended. Used during a replacement, when an old and a new process of one
// router run side by side and share its limits; routers never learn of each other this way, as each has its
// own name.
#ifndef BRASSWOOD_ADMIN_LIVE_MARKS_H_
#define BRASSWOOD_ADMIN_LIVE_MARKS_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace brasswood {

class LiveMarks {
 public:
  // `stale`: a mark older than this counts no more.
  LiveMarks(const std::string& directory, const std::string& name, std::chrono::milliseconds stale);
  ~LiveMarks();  // the own mark goes
  LiveMarks(const LiveMarks&) = delete;
  LiveMarks& operator=(const LiveMarks&) = delete;

  // Renews the own mark, and says how many processes of this router are alive, this one among them.
  std::size_t Beat();

 private:
  std::string directory_, prefix_, own_;
  std::chrono::milliseconds stale_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_ADMIN_LIVE_MARKS_H_
