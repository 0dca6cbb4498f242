// Reads a TOML file with validation: every key has a type, a range and a default. All errors are reported
// together, each with its line and column; for an unknown key the closest known key is suggested.
#ifndef BRASSWOOD_LAB_BASE_TOML_READER_H_
#define BRASSWOOD_LAB_BASE_TOML_READER_H_

#include <toml++/toml.h>

#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace brasswood::lab {

// The errors of one file, in the order in which they were found. Shared by all readers of the file.
struct Problems {
  std::string file;
  std::vector<std::string> lines;  // "file:line:column: key: what is wrong"
};

// The Levenshtein distance between two words: the number of single-character edits (Levenshtein 1966).
std::size_t EditDistance(std::string_view a, std::string_view b);

// Reads one table of the file. Each accessor marks its key as known; Finish reports all keys that no
// accessor has asked for.
class TomlReader {
 public:
  // If `table` is null, every key has its default. `table` and `problems` must outlive the reader.
  TomlReader(const toml::table* table, std::string path, Problems& problems)
      : table_(table), path_(std::move(path)), problems_(problems) {}

  double Number(std::string_view key, double fallback, double min, double max);
  int Whole(std::string_view key, int fallback, int min, int max);
  bool Flag(std::string_view key, bool fallback);
  std::string Text(std::string_view key, std::string_view fallback);
  // Reads a string that must be one of `words` and returns its index in `words`.
  std::size_t Word(std::string_view key, std::string_view fallback,
                   const std::vector<std::string_view>& words);
  std::vector<double> Numbers(std::string_view key, std::vector<double> fallback, double min, double max);
  std::vector<std::string> Texts(std::string_view key, std::vector<std::string> fallback);

  // A reader for the table stored under the key; its error messages include the key in their path.
  TomlReader Table(std::string_view key);
  // Calls `each` for every table of the array of tables stored under the key.
  void EachTable(std::string_view key, const std::function<void(TomlReader&)>& each);

  bool Has(std::string_view key) const { return table_ != nullptr && table_->contains(key); }
  // Reports the unknown keys of the table.
  void Finish();
  // Reports an error that only the caller can detect, such as a contradiction between two keys.
  void Complain(std::string_view key, const std::string& what);

 private:
  const toml::node* Find(std::string_view key);
  std::string Path(std::string_view key) const;

  const toml::table* table_;
  std::string path_;
  Problems& problems_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_BASE_TOML_READER_H_
