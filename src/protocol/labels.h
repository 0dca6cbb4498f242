// The list of names and values that a request carries: "a=1,b=2".
#ifndef BRASSWOOD_PROTOCOL_LABELS_H_
#define BRASSWOOD_PROTOCOL_LABELS_H_

#include <string_view>

namespace brasswood {

// Calls `each(name, value)` for each of them, in their order.
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

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_LABELS_H_
