// The JSON of discovery's server lists, and the paths of the calls to it.
#ifndef BRASSWOOD_PROTOCOL_DISCOVERY_H_
#define BRASSWOOD_PROTOCOL_DISCOVERY_H_

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <string_view>

#include "config/limits.h"
#include "config/settings.h"
#include "discovery/server_list.h"

namespace brasswood {

// Reads a complete server list. If anything in it is invalid, the result is empty and `why` states the
// reason. Unknown fields are ignored.
std::optional<ServerList> ReadServerList(const rapidjson::Value& in, const SettingNames& names,
                                         const Limits& limits, std::string& why);
std::optional<ServerList> ReadServerList(std::string_view json, const SettingNames& names,
                                         const Limits& limits, std::string& why);

// Scans JSON text as it arrives, one character at a time, and keeps track of the nesting depth and of
// whether the current position is inside a string.
class JsonScanner {
 public:
  // Scans one more character; false at the end of the text received so far.
  bool Next(std::string_view text);
  std::size_t at() const { return at_; }  // the position after the last character scanned
  int depth() const { return depth_; }
  bool in_string() const { return in_string_; }
  char last() const { return last_; }
  // The string that the last character scanned has ended.
  std::string_view LastString(std::string_view text) const {
    return text.substr(string_start_, at_ - 1 - string_start_);
  }

 private:
  std::size_t at_ = 0, string_start_ = 0;
  int depth_ = 0;
  char last_ = 0;
  bool in_string_ = false, escaped_ = false;
};

// Reads a server list as its text arrives: each entry as soon as it is complete, each character once. The
// result is not a whole list: a server that it does not contain may still be listed later in the text.
// There is no result if the version does not precede the entries, and no further one after anything
// invalid.
class ListReader {
 public:
  ListReader(const SettingNames& names, const Limits& limits) : names_(names), limits_(limits) {}

  // `json`: all text received so far, from its start.
  void Feed(std::string_view json);
  // The entries completed since the last call, with the list's version and whether it is a whole list.
  std::optional<ServerList> TakeCompletedEntries();

 private:
  enum class State { kBeforeEntries, kEntries, kEnded };
  static constexpr int kEntriesDepth = 2;  // inside the list's object and the array in it

  void SkipToEntries(std::string_view json);
  void ReadCompletedEntry(std::string_view json);

  const SettingNames& names_;
  const Limits& limits_;
  JsonScanner scanner_;
  State state_ = State::kBeforeEntries;
  bool at_targets_ = false;  // the last string at the top level was "targets"
  std::size_t entry_start_ = 0, entries_ = 0;
  std::optional<ServerList> list_;
};

// The path of a call for the whole list or, with `since`, of a watch for changes after that version, which
// discovery may hold for `wait`.
std::string ListPath(std::optional<std::int64_t> since, Duration wait);

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_DISCOVERY_H_
