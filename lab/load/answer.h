// Parses a router's answer to one command as a client sees it: strictly, and with a parser that shares no
// code with the router's own.
#ifndef BRASSWOOD_LAB_LOAD_ANSWER_H_
#define BRASSWOOD_LAB_LOAD_ANSWER_H_

#include <string_view>

#include "lab/truth/truth.h"
#include "protocol/parse.h"

namespace brasswood::lab {

struct ClientAnswer {
  TryOutcome end = TryOutcome::kMalformed;
  Duration retry_after{0};
  std::uint32_t serial = 0;
};

// Parses one answer at the front of `in`. When it returns kBad, answer.end is kBad too. A value or receipt
// is also bad if it has another id or lacks the mark (id and serial number) that the emulated servers put
// into everything they make.
Parsed ParseClientAnswer(std::string_view in, RequestId id, std::size_t& used, ClientAnswer& answer);

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_LOAD_ANSWER_H_
