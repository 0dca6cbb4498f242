// What ails a router's disk. The number stands in a small file that the laboratory and the router's process
// both map.
#ifndef BRASSWOOD_LAB_PRELOAD_DISK_MODE_H_
#define BRASSWOOD_LAB_PRELOAD_DISK_MODE_H_

namespace brasswood::lab {

enum class DiskMode : int {
  kSound,
  kFull,      // nothing new fits: ENOSPC
  kError,     // EIO on write, fsync and rename
  kStall,     // no call comes back
  kReadOnly,  // EROFS
  kShort      // writes are taken and half of them lost
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_PRELOAD_DISK_MODE_H_
