// Common definitions of the incremental parsers. Each parser is a pure function of the bytes read so far:
// it parses one complete message at their front, asks for more bytes, or reports that they are invalid.
// Callers bound how much they buffer by the limits that they pass to the parsers.
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
  kMore,  // not complete yet
  kDone,  // a complete message of `used` bytes
  kBad,   // not a valid message; where the next one begins is unknown
};

// Whether more bytes can arrive on the connection that a message is read from. A reset is neither of these:
// a message that it cut short is never complete.
enum class InputEnd {
  kOpen,
  kClosed,  // the sender has closed its side in an orderly way
};

// A non-negative integer that takes up all of `text`; empty for anything else.
inline std::optional<std::uint64_t> ParseUnsigned(std::string_view text, int base = 10) {
  std::uint64_t n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return n;
}

// A number received from another process, from 0 to 1e12. Guards against `nan`, `inf` and values too large
// to calculate with: from_chars accepts them all, and one of them in a load or a size makes every sum that
// includes it meaningless.
inline std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!(value >= 0 && value <= 1e12)) return std::nullopt;
  return value;
}

// Removes the first word of `text`, and the single space that ends it, and returns the word.
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

// HTTP field names are compared without regard to case; Trim removes the blanks around a field value.
inline bool EqualIgnoringCase(std::string_view a, std::string_view b) {
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
