// The labels of a request: a list of names and values, "a=1,b=2".
#ifndef BRASSWOOD_PROTOCOL_LABELS_H_
#define BRASSWOOD_PROTOCOL_LABELS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace brasswood {

// Calls `each(name, value)` for each label, in their order.
template <class F>
void EachLabel(std::string_view labels, F each) {
  while (!labels.empty()) {
    const std::size_t comma = labels.find(',');
    const std::string_view label = labels.substr(0, comma);
    const std::size_t equals = label.find('=');
    each(label.substr(0, equals), equals == label.npos ? std::string_view() : label.substr(equals + 1));
    labels.remove_prefix(comma == labels.npos ? labels.size() : comma + 1);
  }
}

// The labels as sent with an attempt: unchanged, except that `d` states how long the router will still
// wait. Guards against work at a server or the origin for an answer that nobody waits for any more.
inline std::string LabelsWithin(std::string_view labels, Duration left) {
  const auto ms =
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
  std::string out;
  std::size_t from = 0;
  EachLabel(labels, [&](std::string_view name, std::string_view value) {
    if (name != "d" || value.empty()) return;
    const auto at = static_cast<std::size_t>(value.data() - labels.data());
    out.append(labels.substr(from, at - from)).append(std::to_string(ms));
    from = at + value.size();
  });
  return out.append(labels.substr(from));
}

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_LABELS_H_
