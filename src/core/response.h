// The answer of one request: which attempt provides it. Free of I/O; owned by the request.
//
// The first attempt whose bytes go to the client owns the answer from then on. Only its end completes or
// truncates the answer: the other attempts are aborted, no further one is sent, and whatever becomes of an
// attempt that was still on its way means nothing to the client. While a value is only buffered nobody owns
// the answer: any attempt that succeeds may answer.
#ifndef BRASSWOOD_CORE_RESPONSE_H_
#define BRASSWOOD_CORE_RESPONSE_H_

#include "core/interfaces.h"

namespace brasswood {

// What the end of an attempt means for its request's client.
enum class AttemptEffect {
  kNone,         // nothing: the request waits for another attempt, or for the module's decision
  kAnswers,      // the client gets this attempt's answer
  kTruncates,    // the value that the client has begun to receive cannot be completed
  kDropsBuffer,  // the value received so far is dropped, and the client has seen nothing of it
};

class Response {
 public:
  // The attempt whose value is being streamed, to the client or into a buffer; 0: none.
  AttemptId source() const { return source_; }
  // Whether the client may have received a part of the value, so that its source owns the answer.
  bool committed() const { return committed_; }
  bool OwnedByOther(AttemptId attempt) const { return committed_ && attempt != source_; }

  void Start(AttemptId attempt, StreamMode mode) {
    source_ = attempt;
    committed_ = mode == StreamMode::kSend;
  }
  void DropBuffer() { source_ = 0; }

  AttemptEffect EffectOf(AttemptId attempt, bool ok) const {
    if (OwnedByOther(attempt)) return AttemptEffect::kNone;
    if (ok) return AttemptEffect::kAnswers;
    if (attempt != source_) return AttemptEffect::kNone;
    return committed_ ? AttemptEffect::kTruncates : AttemptEffect::kDropsBuffer;
  }

 private:
  AttemptId source_ = 0;
  bool committed_ = false;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_RESPONSE_H_
