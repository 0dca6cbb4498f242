// Discovery's JSON and the paths of its calls.
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

// A server list, whole or not at all: with anything in it that cannot be right the result is empty and
// `why` says what. Unknown fields are passed over.
std::optional<ServerList> ReadServerList(const rapidjson::Value& in, const Names& names,
                                         const Limits& limits, std::string& why);
std::optional<ServerList> ReadServerList(std::string_view json, const Names& names, const Limits& limits,
                                         std::string& why);

// Walks over JSON text that grows, and knows how deep each place lies and what is inside strings.
class JsonWalk {
 public:
  // Takes one more character; false at the end of the text so far.
  bool Next(std::string_view text);
  std::size_t at() const { return at_; }  // behind the last character taken
  int depth() const { return depth_; }
  bool in_string() const { return in_string_; }
  char last() const { return last_; }
  // The string that the last character has ended.
  std::string_view LastString(std::string_view text) const {
    return text.substr(string_from_, at_ - 1 - string_from_);
  }

 private:
  std::size_t at_ = 0, string_from_ = 0;
  int depth_ = 0;
  char last_ = 0;
  bool in_string_ = false, escaped_ = false;
};

// Reads a list whose text grows: each entry as soon as it is whole, each character once. What it gives is
// no list: what it does not name may be listed all the same. It gives nothing where the version does not
// stand before the entries, and nothing more once anything that came is bad.
class ListReader {
 public:
  ListReader(const Names& names, const Limits& limits) : names_(names), limits_(limits) {}

  // `json`: the text so far, from its start.
  void Feed(std::string_view json);
  // The entries that have become whole since the last call, with the list's version and kind.
  std::optional<ServerList> TakeCompletedEntries();

 private:
  enum class State { kBeforeEntries, kEntries, kEnded };
  static constexpr int kEntriesDepth = 2;  // the list's object, and the array in it

  void WalkToEntries(std::string_view json);
  void TakeEntry(std::string_view json);

  const Names& names_;
  const Limits& limits_;
  JsonWalk walk_;
  State state_ = State::kBeforeEntries;
  bool named_ = false;  // the last name or value at the top was that of the entries
  std::size_t entry_from_ = 0, entries_ = 0;
  std::optional<ServerList> list_;
};

// The whole list, or, with a version to go on from, a watch that may wait.
std::string ListPath(std::optional<std::int64_t> since, Duration wait);

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_DISCOVERY_H_
