// The log: lines written to an ostream. Lines below the minimum level are dropped without being formatted.
//
//   LogLine(Level::kWarn) << "server list refused: " << why;
#ifndef BRASSWOOD_BASE_LOG_H_
#define BRASSWOOD_BASE_LOG_H_

#include <optional>
#include <ostream>
#include <sstream>
#include <string_view>

namespace brasswood {

enum class Level { kDebug, kInfo, kWarn, kError, kOff };

// The level called `name` ("debug", "info", "warn", "error", "off"), if there is one.
std::optional<Level> ParseLevel(std::string_view name);

// Sets where lines are written and the lowest level that is written. The defaults are std::cerr and kInfo.
void SetLog(std::ostream& output, Level min_level);

// Whether lines of this level are written.
bool IsLogged(Level level);

// One line of the log, written when the object is destroyed.
class LogLine {
 public:
  explicit LogLine(Level level);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  template <class T>
  LogLine& operator<<(const T& value) {
    if (text_) *text_ << value;
    return *this;
  }

 private:
  std::optional<std::ostringstream> text_;  // empty if the line is not written
};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_LOG_H_
