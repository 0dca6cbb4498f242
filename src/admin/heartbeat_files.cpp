#include "admin/heartbeat_files.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <system_error>

namespace brasswood {

namespace fs = std::filesystem;

HeartbeatFiles::HeartbeatFiles(const std::string& directory, const std::string& name,
                               std::chrono::milliseconds timeout)
    : directory_(directory),
      prefix_("brasswood-" + (name.empty() ? std::string("router") : name) + ".live."),
      own_path_(directory + "/" + prefix_ + std::to_string(::getpid())),
      timeout_(timeout) {}

HeartbeatFiles::~HeartbeatFiles() {
  std::error_code ignored;
  fs::remove(own_path_, ignored);
}

std::size_t HeartbeatFiles::RenewAndCount() {
  std::error_code error;
  if (!fs::exists(own_path_, error)) {
    std::ofstream(own_path_, std::ios::trunc) << ::getpid() << '\n';
  } else {
    fs::last_write_time(own_path_, fs::file_time_type::clock::now(), error);
  }
  std::size_t alive = 1;
  const auto now = std::chrono::steady_clock::now();
  for (fs::directory_iterator it(directory_, error), end; !error && it != end; it.increment(error)) {
    const std::string file = it->path().filename().string();
    if (!file.starts_with(prefix_) || it->path().string() == own_path_) continue;
    std::error_code missing;
    const auto modified = fs::last_write_time(it->path(), missing);
    if (missing) continue;
    // A file that is seen for the first time and was not modified recently is most likely that of an ended
    // process. It is not counted; if its process is alive after all, the file soon changes and is counted.
    const auto age = fs::file_time_type::clock::now() - modified;
    const bool recent = age <= timeout_ && age >= -timeout_;
    const auto first_seen = recent ? now : now - 2 * timeout_;
    const auto [other, inserted] = others_.try_emplace(file, Observation{modified, first_seen});
    if (!inserted && other->second.modified != modified) other->second = {modified, now};
    const auto unchanged = now - other->second.first_seen;
    if (unchanged <= timeout_) {
      ++alive;
    } else if (unchanged > 10 * timeout_) {
      fs::remove(it->path(), missing);  // a process that was killed could not remove its file
      others_.erase(other);
    }
  }
  return alive;
}

}  // namespace brasswood
