// Files that are whole or not there: written to a side file, synced, and renamed into place. For the disk's
// thread; each call may take as long as the disk does.
#ifndef BRASSWOOD_STATE_WHOLE_FILE_H_
#define BRASSWOOD_STATE_WHOLE_FILE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace brasswood {

// False: the file is as it was before, and `why` says why. The side file is path + "." + process id +
// ".new".
bool WriteWhole(const std::string& path, std::string_view content, std::string& why);

// At most `most` bytes. Nothing: there is no such file (`why` empty), or it cannot be read or is larger.
std::optional<std::string> ReadWhole(const std::string& path, std::size_t most, std::string& why);

}  // namespace brasswood

#endif  // BRASSWOOD_STATE_WHOLE_FILE_H_
