// Atomic file writes: the content is written to a temporary file, synced and renamed into place, so that a
// reader never sees a partial file. These functions block for as long as the disk takes: call them on the
// disk thread (state/disk_thread.h).
#ifndef BRASSWOOD_STATE_ATOMIC_FILE_H_
#define BRASSWOOD_STATE_ATOMIC_FILE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace brasswood {

// Replaces the file's content. On failure returns false and sets `why`; the file is unchanged. The
// temporary file is path + "." + process id + ".new".
bool WriteFileAtomically(const std::string& path, std::string_view content, std::string& why);

// Reads a file of at most `max_bytes`. Returns nothing if there is no such file (`why` is empty), or if it
// cannot be read or is larger (`why` says which).
std::optional<std::string> ReadFile(const std::string& path, std::size_t max_bytes, std::string& why);

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_ATOMIC_FILE_H_
