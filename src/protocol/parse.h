// What the incremental parsers share. Each is a pure function of the bytes read so far: it takes one whole
// message from their front, asks for more, or finds them bad. Callers bound how much they gather by the
// limits that the parsers are given.
#ifndef BRASSWOOD_PROTOCOL_PARSE_H_
#define BRASSWOOD_PROTOCOL_PARSE_H_

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace brasswood {

enum class Parsed {
  kMore,  // not whole yet
  kDone,  // a message; `used` bytes of the input were its
  kBad,   // not a message, and where the next one begins is not known
};

// Whether more bytes can come on the connection that a message is read from. A reset is neither: what it
// cut short is never a message.
enum class InputEnd {
  kOpen,
  kClosed,  // the sender has closed its side in order
};

inline std::optional<std::uint64_t> WholeNumber(std::string_view text, int base = 10) {
  std::uint64_t n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return n;
}

// A figure from outside. Guards against `nan`, `inf` and what is too large to reckon with: from_chars takes
// them all, and one of them in a load or a size spoils every sum that it enters.
inline std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!(value >= 0 && value <= 1e12)) return std::nullopt;
  return value;
}

// Cuts the first word off `text`, which a single space ends.
inline std::string_view NextWord(std::string_view& text) {
  const std::size_t end = text.find(' ');
  const std::string_view word = text.substr(0, end);
  text.remove_prefix(end == text.npos ? text.size() : end + 1);
  return word;
}

// Printable ASCII without spaces, at least one character.
inline bool IsWord(std::string_view text) {
  for (const char c : text) {
    if (c <= ' ' || c >= 0x7f) return false;
  }
  return !text.empty();
}

// Of HTTP's fields: names that differ in case alone are the same; blanks round a value are no part of it.
inline bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

inline std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_PARSE_H_
