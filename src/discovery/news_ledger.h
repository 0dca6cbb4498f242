// What discovery's answers have told of drains, removals and returns, for the run-time checks: kept apart
// from the server directory, which it checks, and fed with the answers as they were received. Free of I/O.
#ifndef BRASSWOOD_DISCOVERY_NEWS_LEDGER_H_
#define BRASSWOOD_DISCOVERY_NEWS_LEDGER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "discovery/server_list.h"

namespace brasswood {

class NewsLedger {
 public:
  // A list whose word holds: a whole one, or changes from a version that is held.
  void Note(const ServerList& list, Time arrived) {
    for (const ServerEntry& entry : list.entries) NoteEntry(entry, list.rev, arrived);
    if (!list.all) return;
    std::set<std::string> named;
    for (const ServerEntry& entry : list.entries) named.insert(entry.uid);
    for (auto& [uid, word] : words_) {
      if (!named.contains(uid)) NoteWord(word, true, list.rev, arrived);
    }
    std::erase_if(words_, [arrived](const auto& word) {
      return word.second.out_since && arrived - *word.second.out_since > kRemembered;
    });
  }
  // Entries of an answer that is not whole: a return counts only once all of it is there.
  void NotePart(const ServerList& part, Time arrived) {
    for (const ServerEntry& entry : part.entries) {
      if (entry.availability != beechledge::Availability::kUp) NoteEntry(entry, part.rev, arrived);
    }
  }
  // Discovery's versions begin anew.
  void Restart() { words_.clear(); }

  // May a request go to the server, by the newest version's word of it? A server of which nothing was told
  // is one of the configured list.
  bool MaySend(const std::string& uid, Time now, Duration grace) const {
    const auto word = words_.find(uid);
    return word == words_.end() || !word->second.out_since || now - *word->second.out_since < grace;
  }

 private:
  static constexpr Duration kRemembered = std::chrono::seconds(60);
  struct Word {
    std::int64_t version = -1;
    std::optional<Time> out_since;  // since the first word of its drain or removal
  };

  void NoteEntry(const ServerEntry& entry, std::int64_t version, Time arrived) {
    NoteWord(words_[entry.uid], entry.availability != beechledge::Availability::kUp, version, arrived);
  }
  static void NoteWord(Word& word, bool out, std::int64_t version, Time arrived) {
    if (version < word.version) return;
    const bool newer = version > word.version;
    word.version = version;
    if (out) {
      word.out_since = std::min(word.out_since.value_or(arrived), arrived);
    } else if (newer) {
      word.out_since.reset();
    }
  }

  std::map<std::string, Word> words_;  // by uid
};

}  // namespace brasswood

#endif  // BRASSWOOD_DISCOVERY_NEWS_LEDGER_H_
