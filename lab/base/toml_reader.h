// Reading a TOML file against what is known of it: every key has a type, a range and a default, and all
// that is wrong is told at once, each with its line and column and, for an unknown key, the nearest known
// one.
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

// The problems of one file, in the order found. Shared by all readers of the file.
struct Problems {
  std::string file;
  std::vector<std::string> lines;  // "file:line:column: key: what is wrong"
};

// How many single-character edits lie between two words (Levenshtein 1966).
std::size_t EditDistance(std::string_view a, std::string_view b);

// One table of the file. Each Get names a key it knows; Finish complains of the keys that nobody asked for.
class TomlReader {
 public:
  // `table` may be null: then every key has its default. It and `problems` must outlive the reader.
  TomlReader(const toml::table* table, std::string path, Problems& problems)
      : table_(table), path_(std::move(path)), problems_(problems) {}

  double Number(std::string_view key, double fallback, double least, double most);
  int Whole(std::string_view key, int fallback, int least, int most);
  bool Flag(std::string_view key, bool fallback);
  std::string Text(std::string_view key, std::string_view fallback);
  // One of `words`; the result is its place.
  std::size_t Word(std::string_view key, std::string_view fallback,
                   const std::vector<std::string_view>& words);
  std::vector<double> Numbers(std::string_view key, std::vector<double> fallback, double least,
                              double most);
  std::vector<std::string> Texts(std::string_view key, std::vector<std::string> fallback);

  // The table of that key, whose path it then says.
  TomlReader Table(std::string_view key);
  // Calls `each` for the tables of an array of tables.
  void EachTable(std::string_view key, const std::function<void(TomlReader&)>& each);

  bool Has(std::string_view key) const { return table_ != nullptr && table_->contains(key); }
  void Finish();
  // Something wrong with this key that only its reader can tell.
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
