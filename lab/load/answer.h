// A router's answer to one command, as a client reads it: strictly, and by a reader that shares nothing
// with the router's own.
#ifndef BRASSWOOD_LAB_LOAD_ANSWER_H_
#define BRASSWOOD_LAB_LOAD_ANSWER_H_

#include <string_view>

#include "lab/truth/truth.h"
#include "protocol/parse.h"

namespace brasswood::lab {

struct ClientAnswer {
  TryEnd end = TryEnd::kBad;
  Duration busy_for{0};
  std::uint32_t serial = 0;
};

// kBad comes with end kBad. A value or receipt of another id, or without the mark that the emulator's
// machines set into all they make, is bad too.
Parsed ParseClientAnswer(std::string_view in, RequestId id, std::size_t& used, ClientAnswer& answer);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_LOAD_ANSWER_H_
