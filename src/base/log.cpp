#include "base/log.h"

#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>

namespace brasswood {
namespace {

std::ostream* g_to = &std::cerr;
Level g_from = Level::kInfo;

constexpr std::string_view kNames[] = {"debug", "info", "warn", "error", "off"};

}  // namespace

std::optional<Level> ParseLevel(std::string_view name) {
  for (int i = 0; i < 5; ++i) {
    if (kNames[i] == name) return static_cast<Level>(i);
  }
  return std::nullopt;
}

void SetLog(std::ostream& to, Level from) {
  g_to = &to;
  g_from = from;
}

bool Logs(Level level) { return level >= g_from && level != Level::kOff; }

LogLine::LogLine(Level level) {
  if (!Logs(level)) return;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%lld.%03d ", static_cast<long long>(ms / 1000),
                static_cast<int>(ms % 1000));
  text_.emplace();
  *text_ << stamp << kNames[static_cast<int>(level)] << ' ';
}

LogLine::~LogLine() {
  if (!text_) return;
  *text_ << '\n';
  *g_to << text_->str() << std::flush;
}

}  // namespace brasswood
