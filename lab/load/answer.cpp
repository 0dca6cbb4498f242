#include "lab/load/answer.h"

namespace brasswood::lab {
namespace {

constexpr std::size_t kMaxLine = 4096, kMaxValue = 64 * 1024;

// Reads the body of a value, "ID:SERIAL:vvvv".
bool ParseMark(std::string_view value, RequestId id, std::uint32_t& serial) {
  const std::string text = FormatId(id) + ":";
  if (!value.starts_with(text)) return false;
  value.remove_prefix(text.size());
  const std::size_t colon = value.find(':');
  const auto n = ParseUnsigned(value.substr(0, colon));
  if (colon == value.npos || !n) return false;
  serial = static_cast<std::uint32_t>(*n);
  return value.find_first_not_of('v', colon + 1) == value.npos;
}

}  // namespace

Parsed ParseClientAnswer(std::string_view in, RequestId id, std::size_t& used, ClientAnswer& answer) {
  answer = {};
  const std::size_t end = in.substr(0, kMaxLine).find("\r\n");
  if (end == in.npos) return in.size() >= kMaxLine ? Parsed::kBad : Parsed::kMore;
  std::string_view rest = in.substr(0, end);
  used = end + 2;
  const std::string_view head = NextWord(rest);
  if (head == "VA") {
    const auto length = ParseUnsigned(NextWord(rest));
    if (!length || *length > kMaxValue || rest != "O" + FormatId(id)) return Parsed::kBad;
    if (in.size() < used + *length + 2) return Parsed::kMore;
    if (in.substr(used + *length, 2) != "\r\n") return Parsed::kBad;
    if (!ParseMark(in.substr(used, *length), id, answer.serial)) return Parsed::kBad;
    used += *length + 2;
    answer.end = TryOutcome::kValue;
    return Parsed::kDone;
  }
  if (head == "HD") {
    const std::string_view opaque = NextWord(rest);
    const auto n = rest.starts_with("cr") ? ParseUnsigned(rest.substr(2)) : std::nullopt;
    if (opaque != "O" + FormatId(id) || !n) return Parsed::kBad;
    answer.serial = static_cast<std::uint32_t>(*n);
    answer.end = TryOutcome::kReceipt;
    return Parsed::kDone;
  }
  if (head == "SERVER_ERROR") {
    answer.end = NextWord(rest) == "busy" ? TryOutcome::kBusy : TryOutcome::kFailed;
    if (answer.end == TryOutcome::kBusy)
      answer.retry_after = std::chrono::milliseconds(ParseUnsigned(rest).value_or(0));
    return Parsed::kDone;
  }
  if (head == "CLIENT_ERROR" || head == "ERROR") {
    answer.end = TryOutcome::kError;
    return Parsed::kDone;
  }
  return Parsed::kBad;
}

}  // namespace brasswood::lab
