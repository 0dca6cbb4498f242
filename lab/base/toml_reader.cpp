#include "lab/base/toml_reader.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace brasswood::lab {
namespace {

std::string FormatNumber(double v) {
  std::ostringstream out;
  out << v;
  return out.str();
}

std::string RangeError(double min, double max) {
  return "must lie between " + FormatNumber(min) + " and " + FormatNumber(max);
}

}  // namespace

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t swap = diagonal + (a[i] != b[j]);
      diagonal = row[j + 1];
      row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, swap});
    }
  }
  return row.back();
}

std::string TomlReader::Path(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void TomlReader::Complain(std::string_view key, const std::string& what) {
  const toml::node* at = table_ == nullptr ? nullptr : table_->get(key);
  if (at == nullptr) at = table_;
  // With `base`, a key may come from another file: report the file and line that it was read from.
  const bool has_source_path = at != nullptr && at->source().path != nullptr && !at->source().path->empty();
  std::string line = (has_source_path ? *at->source().path : problems_.file) + ":";
  if (at != nullptr && at->source().begin.line != 0) {
    line += std::to_string(at->source().begin.line) + ":" + std::to_string(at->source().begin.column) + ":";
  }
  problems_.lines.push_back(line + " " + Path(key) + ": " + what);
}

const toml::node* TomlReader::Find(std::string_view key) {
  known_.emplace(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

double TomlReader::Number(std::string_view key, double fallback, double min, double max) {
  const toml::node* at = Find(key);
  if (at == nullptr) return fallback;
  const auto v = at->is_number() ? at->value<double>() : std::nullopt;
  if (!v) {
    Complain(key, "must be a number");
  } else if (!(*v >= min && *v <= max)) {
    Complain(key, RangeError(min, max));
  } else {
    return *v;
  }
  return fallback;
}

int TomlReader::Whole(std::string_view key, int fallback, int min, int max) {
  const toml::node* at = Find(key);
  if (at != nullptr && !at->is_integer()) {
    Complain(key, "must be a whole number");
    return fallback;
  }
  return static_cast<int>(Number(key, fallback, min, max));
}

bool TomlReader::Flag(std::string_view key, bool fallback) {
  const toml::node* at = Find(key);
  if (at == nullptr) return fallback;
  if (!at->is_boolean()) Complain(key, "must be true or false");
  return at->value<bool>().value_or(fallback);
}

std::string TomlReader::Text(std::string_view key, std::string_view fallback) {
  const toml::node* at = Find(key);
  if (at == nullptr) return std::string(fallback);
  if (!at->is_string()) Complain(key, "must be a string");
  return at->value<std::string>().value_or(std::string(fallback));
}

std::size_t TomlReader::Word(std::string_view key, std::string_view fallback,
                             const std::vector<std::string_view>& words) {
  const std::string given = Text(key, fallback);
  const auto it = std::find(words.begin(), words.end(), given);
  if (it != words.end()) return static_cast<std::size_t>(it - words.begin());
  std::string all;
  for (const auto w : words) all += (all.empty() ? "" : ", ") + std::string(w);
  Complain(key, "is '" + given + "' and must be one of " + all);
  return 0;
}

std::vector<double> TomlReader::Numbers(std::string_view key, std::vector<double> fallback, double min,
                                        double max) {
  const toml::node* at = Find(key);
  if (at == nullptr) return fallback;
  std::vector<double> out;
  if (const toml::array* array = at->as_array()) {
    for (const toml::node& item : *array) {
      const auto v = item.is_number() ? item.value<double>() : std::nullopt;
      if (!v || !(*v >= min && *v <= max)) {
        Complain(key, "each " + RangeError(min, max));
        return fallback;
      }
      out.push_back(*v);
    }
    return out;
  }
  Complain(key, "must be a list of numbers");
  return fallback;
}

std::vector<std::string> TomlReader::Texts(std::string_view key, std::vector<std::string> fallback) {
  const toml::node* at = Find(key);
  if (at == nullptr) return fallback;
  std::vector<std::string> out;
  if (const toml::array* array = at->as_array()) {
    for (const toml::node& item : *array) {
      if (!item.is_string()) {
        Complain(key, "must be a list of strings");
        return fallback;
      }
      out.push_back(*item.value<std::string>());
    }
    return out;
  }
  Complain(key, "must be a list of strings");
  return fallback;
}

TomlReader TomlReader::Table(std::string_view key) {
  const toml::node* at = Find(key);
  if (at != nullptr && !at->is_table()) Complain(key, "must be a table");
  return {at == nullptr ? nullptr : at->as_table(), Path(key), problems_};
}

void TomlReader::EachTable(std::string_view key, const std::function<void(TomlReader&)>& each) {
  const toml::node* at = Find(key);
  if (at == nullptr) return;
  const toml::array* array = at->as_array();
  if (array == nullptr || !(array->empty() || array->is_array_of_tables())) {
    return Complain(key, "must be an array of tables, written [[" + Path(key) + "]]");
  }
  std::size_t n = 0;
  for (const toml::node& item : *array) {
    TomlReader reader(item.as_table(), Path(key) + "[" + std::to_string(n++) + "]", problems_);
    each(reader);
    reader.Finish();
  }
}

void TomlReader::Finish() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    if (known_.contains(key.str())) continue;
    std::string what = "is not known here";
    const auto nearest = std::min_element(known_.begin(), known_.end(), [&](const auto& a, const auto& b) {
      return EditDistance(a, key.str()) < EditDistance(b, key.str());
    });
    if (nearest != known_.end() && EditDistance(*nearest, key.str()) <= 1 + key.str().size() / 3) {
      what += "; did you mean '" + *nearest + "'?";
    }
    Complain(key.str(), what);
  }
}

}  // namespace brasswood::lab
