#include "admin/live_marks.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <system_error>

namespace brasswood {

namespace fs = std::filesystem;

LiveMarks::LiveMarks(const std::string& directory, const std::string& name, std::chrono::milliseconds stale)
    : directory_(directory),
      prefix_("brasswood-" + (name.empty() ? std::string("router") : name) + ".live."),
      own_(directory + "/" + prefix_ + std::to_string(::getpid())),
      stale_(stale) {}

LiveMarks::~LiveMarks() {
  std::error_code ignored;
  fs::remove(own_, ignored);
}

std::size_t LiveMarks::Beat() {
  std::error_code error;
  if (!fs::exists(own_, error)) {
    std::ofstream(own_, std::ios::trunc) << ::getpid() << '\n';
  } else {
    fs::last_write_time(own_, fs::file_time_type::clock::now(), error);
  }
  std::size_t alive = 1;
  const auto now = std::chrono::steady_clock::now();
  for (fs::directory_iterator it(directory_, error), end; !error && it != end; it.increment(error)) {
    const std::string file = it->path().filename().string();
    if (!file.starts_with(prefix_) || it->path().string() == own_) continue;
    std::error_code gone;
    const auto renewed = fs::last_write_time(it->path(), gone);
    if (gone) continue;
    // A mark seen for the first time that was not renewed just now is most likely a dead process's; a
    // living one changes it within a beat.
    const auto age = fs::file_time_type::clock::now() - renewed;
    const bool recent = age <= stale_ && age >= -stale_;
    const auto since = recent ? now : now - 2 * stale_;
    const auto [mark, fresh] = seen_.try_emplace(file, Seen{renewed, since});
    if (!fresh && mark->second.renewed != renewed) mark->second = {renewed, now};
    const auto unchanged = now - mark->second.at;
    if (unchanged <= stale_) {
      ++alive;
    } else if (unchanged > 10 * stale_) {
      fs::remove(it->path(), gone);  // of a process long gone: killed, it could not take it away itself
      seen_.erase(mark);
    }
  }
  return alive;
}

}  // namespace brasswood
