#include "base/log.h"

#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>

namespace brasswood {
namespace {

std::ostream* g_output = &std::cerr;
Level g_min_level = Level::kInfo;

constexpr std::string_view kLevelNames[] = {"debug", "info", "warn", "error", "off"};

}  // namespace

std::optional<Level> ParseLevel(std::string_view name) {
  for (int i = 0; i < 5; ++i) {
    if (kLevelNames[i] == name) return static_cast<Level>(i);
  }
  return std::nullopt;
}

void SetLog(std::ostream& output, Level min_level) {
  g_output = &output;
  g_min_level = min_level;
}

bool IsLogged(Level level) { return level >= g_min_level && level != Level::kOff; }

LogLine::LogLine(Level level) {
  if (!IsLogged(level)) return;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%lld.%03d ", static_cast<long long>(ms / 1000),
                static_cast<int>(ms % 1000));
  text_.emplace();
  *text_ << stamp << kLevelNames[static_cast<int>(level)] << ' ';
}

LogLine::~LogLine() {
  if (!text_) return;
  *text_ << '\n';
  *g_output << text_->str() << std::flush;
}

}  // namespace brasswood
