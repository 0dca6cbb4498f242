// The log: lines on an ostream, those below the chosen level dropped before they are put together.
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

// The level of that name ("debug", "info", "warn", "error", "off").
std::optional<Level> ParseLevel(std::string_view name);

// Where lines go and from which level on. The defaults are std::cerr and kInfo.
void SetLog(std::ostream& to, Level from);

// Is a line of this level written at all?
bool Logs(Level level);

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
  std::optional<std::ostringstream> text_;  // absent below the level
};

}  // namespace brasswood

#endif  // BRASSWOOD_BASE_LOG_H_
