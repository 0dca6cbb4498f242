// The fault to inject into a router's disk. The laboratory writes its number to a small file that it and
// the router's process both map.
#ifndef BRASSWOOD_LAB_PRELOAD_DISK_MODE_H_
#define BRASSWOOD_LAB_PRELOAD_DISK_MODE_H_

namespace brasswood::lab {

enum class DiskMode : int {
  kHealthy,
  kFull,      // no space left: ENOSPC
  kError,     // EIO on write, fsync and rename
  kStall,     // calls block
  kReadOnly,  // EROFS
  kShort      // writes report success, but half of the bytes are lost
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_PRELOAD_DISK_MODE_H_
