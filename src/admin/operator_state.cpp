#include "admin/operator_state.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>
#include <vector>

namespace brasswood {
namespace {

constexpr std::string_view kHeader = "brasswood operator state 2";
constexpr std::string_view kFormerHeader = "brasswood operator state 1";
constexpr std::string_view kEnd = "end";
// Half of the range: a damaged file cannot use up the versions of the changes to come.
constexpr std::uint64_t kMaxVersionNumber = std::numeric_limits<std::uint64_t>::max() / 2;

bool MergeFlag(OperatorFlag& into, const OperatorFlag& other) {
  const bool newer = other.version > into.version;
  if (newer) into = other;
  return newer;
}

std::string EncodeVersion(const ChangeVersion& version) {
  // A change without a writer has version 0; the format has a word for each field.
  return std::to_string(version.number) + ' ' + (version.writer.empty() ? "-" : version.writer);
}

std::vector<std::string_view> SplitWords(std::string_view line) {
  std::vector<std::string_view> words;
  while (!line.empty()) {
    const std::size_t end = std::min(line.find(' '), line.size());
    words.push_back(line.substr(0, end));
    line.remove_prefix(std::min(end + 1, line.size()));
  }
  return words;
}

bool IsWord(std::string_view word) {
  return !word.empty() && std::all_of(word.begin(), word.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// Parses `on|off VERSION WRITER`, where `on` and `off` are the names of the flag's values.
std::optional<OperatorFlag> DecodeFlag(std::string_view value, std::string_view version,
                                       std::string_view writer, std::string_view on, std::string_view off) {
  OperatorFlag flag;
  if ((value != on && value != off) || !IsWord(writer)) return std::nullopt;
  flag.set = value == on;
  const auto [end, error] =
      std::from_chars(version.data(), version.data() + version.size(), flag.version.number);
  if (error != std::errc() || end != version.data() + version.size()) return std::nullopt;
  if (flag.version.number > kMaxVersionNumber) return std::nullopt;
  if (writer != "-") flag.version.writer = writer;
  return flag;
}

}  // namespace

void OperatorState::SetSuspended(const std::string& uid, bool suspended, const ChangeOrigin& origin) {
  suspended_[uid] = {suspended, NextVersion(origin)};
  Prune();
}

void OperatorState::SetDrained(bool drained, const ChangeOrigin& origin) {
  drained_ = {drained, NextVersion(origin)};
}

void OperatorState::AdoptSuspended(const std::string& uid) {
  suspended_.try_emplace(uid, OperatorFlag{true, {}});
}

void OperatorState::Merge(const OperatorState& other) {
  for (const auto& [uid, flag] : other.suspended_) {
    const auto [mine, added] = suspended_.try_emplace(uid, flag);
    if (!added) MergeFlag(mine->second, flag);
  }
  MergeFlag(drained_, other.drained_);
  Prune();
}

bool OperatorState::Includes(const OperatorState& other) const {
  OperatorState merged = *this;
  merged.Merge(other);
  return merged == *this;
}

ChangeVersion OperatorState::NextVersion(const ChangeOrigin& origin) const {
  std::uint64_t highest = drained_.version.number;
  for (const auto& [uid, flag] : suspended_) highest = std::max(highest, flag.version.number);
  const auto at = static_cast<std::uint64_t>(std::max(origin.at, Time(0)).count());
  return {std::max(highest + 1, at), origin.writer};
}

void OperatorState::Prune() {
  while (suspended_.size() > kMaxServers) {
    auto oldest = suspended_.end();
    for (auto it = suspended_.begin(); it != suspended_.end(); ++it) {
      if (it->second.set) continue;
      if (oldest == suspended_.end() || it->second.version < oldest->second.version) oldest = it;
    }
    if (oldest == suspended_.end()) return;  // all are suspended
    suspended_.erase(oldest);
  }
}

std::string Encode(const OperatorState& state) {
  std::string out(kHeader);
  out += '\n';
  for (const auto& [uid, flag] : state.suspended()) {
    out.append("server ").append(uid).append(flag.set ? " suspended " : " resumed ");
    out.append(EncodeVersion(flag.version)).append("\n");
  }
  if (state.drained() != OperatorFlag{}) {
    out.append("router ").append(state.drained().set ? "drained " : "active ");
    out.append(EncodeVersion(state.drained().version)).append("\n");
  }
  // Guards against a file that a crash cut short while it was being written: without this line it is
  // invalid.
  out.append(kEnd).append("\n");
  return out;
}

std::optional<OperatorState> Decode(std::string_view text) {
  OperatorState state;
  bool first_line = true, former = false, ended = false;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == text.npos || ended) return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (std::exchange(first_line, false)) {
      former = line == kFormerHeader;
      if (!former && line != kHeader) return std::nullopt;
      continue;
    }
    ended = line == kEnd;
    if (ended) continue;
    const std::vector<std::string_view> words = SplitWords(line);
    if (former) {
      if (words.size() != 2 || words[0] != "suspended" || !IsWord(words[1])) return std::nullopt;
      state.AdoptSuspended(std::string(words[1]));
    } else if (words.size() == 5 && words[0] == "server" && IsWord(words[1])) {
      const auto flag = DecodeFlag(words[2], words[3], words[4], "suspended", "resumed");
      if (!flag) return std::nullopt;
      state.suspended_[std::string(words[1])] = *flag;
    } else if (words.size() == 4 && words[0] == "router") {
      const auto flag = DecodeFlag(words[1], words[2], words[3], "drained", "active");
      if (!flag) return std::nullopt;
      state.drained_ = *flag;
    } else {
      return std::nullopt;
    }
  }
  if (!ended) return std::nullopt;
  return state;
}

}  // namespace brasswood
