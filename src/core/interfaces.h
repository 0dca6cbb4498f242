// The interfaces between the engine, its front ends (which receive requests) and its back ends (which send
// attempts to servers). They are independent of the protocols: another front end only has to fill in
// RequestContent and to encode an Answer.
#ifndef BRASSWOOD_CORE_INTERFACES_H_
#define BRASSWOOD_CORE_INTERFACES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "beechledge/balancer.h"
#include "discovery/server_directory.h"

namespace brasswood {

using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

// The content of a request as its client sent it. It is passed to a server unchanged.
struct RequestContent {
  std::string id;
  std::string key;
  std::string labels;  // names and values: "a=1,b=2"
  std::string value;   // the value to write; empty for a read
  bool write = false;
};

struct NewRequest {
  std::shared_ptr<const RequestContent> content;
  int request_class = -1;
  int tenant = 0;
  Duration wait{0};  // from its arrival until its client gives up
  Time arrived{0};   // when its last byte arrived, if known; 0: now
  std::optional<double> size_hint;
  bool repeat = false;
};

enum class AnswerKind { kValue, kReceipt, kRefused, kFailed };

struct Answer {
  AnswerKind kind = AnswerKind::kFailed;
  std::string body;         // the value or receipt
  Duration retry_after{0};  // set for a refusal; 0: not stated
  bool streamed = false;    // of a value: it completes the one that was streamed, and the body is empty
};

// A large value is streamed: StartStream with its length, then SendChunk for each chunk, then Deliver.
// Deliver with a streamed kValue completes it. The front end chooses the mode of the stream:
//  - kSend: the chunks go to the client as they come, behind the answers before it. Any other answer then
//    means that the value cannot be completed. If a part of it was sent, the front end must make that
//    visible to its client, by closing the connection once the chunks received so far are sent, and must
//    not send a second answer. Otherwise it drops them and sends the other answer.
//  - kBuffer: nothing goes to the client before the value is complete, because the answers behind it could
//    not be sent if it were cut. Any other answer replaces the chunks. DropStream drops them, and the
//    request waits for another answer, which may be streamed too.
//  - kRefuse: the value is too large to be buffered, so that the request must be failed.
enum class StreamMode { kSend, kBuffer, kRefuse };

// A front end. It receives exactly one answer for each request, identified by the ticket that it passed to
// the engine. It must not call the engine from inside these functions, because the engine is modifying its
// tables at that point.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  virtual void Deliver(std::uint64_t ticket, const Answer& answer) = 0;
  virtual StreamMode StartStream(std::uint64_t ticket, std::size_t length) = 0;
  virtual void DropStream(std::uint64_t ticket) = 0;
  virtual void SendChunk(std::uint64_t ticket, std::string_view bytes) = 0;
  // Whether this ticket's client is still connected, as far as its connection shows.
  virtual bool IsConnected(std::uint64_t ticket) const = 0;
  // How many bytes of this ticket's streamed value may be sent in chunks now. 0: its source pauses.
  virtual std::size_t StreamRoom(std::uint64_t ticket) = 0;
};

// The result of an attempt: the reply in the decision module's terms, and its value or receipt.
struct AttemptResult {
  beechledge::Result result = beechledge::Result::kError;
  beechledge::Note note = beechledge::Note::kNone;
  std::optional<beechledge::LoadReport> report;
  std::string body;
  bool streamed = false;  // of a kOk: the value was passed on in chunks, and the body is empty
};

// A back end: sends attempts and probes to servers and reports the result of each to the engine exactly
// once, unless it was abandoned.
class BackEnd {
 public:
  virtual ~BackEnd() = default;
  // `until`: an answer after this is useless. `send_deadline`: if its last byte cannot be sent before this,
  // the attempt ends as never sent. Before the first byte the back end asks Engine::EvaluateFirstByte,
  // because the state may have changed by then.
  virtual void Start(AttemptId attempt, ServerId to, std::shared_ptr<const RequestContent> request,
                     Time until, Time send_deadline) = 0;
  virtual void Probe(AttemptId probe, ServerId to, bool load) = 0;
  // Closes the attempt's connection at once and returns whether the whole attempt had been sent. Nothing
  // more is reported for it.
  virtual bool Abandon(AttemptId attempt) = 0;
  virtual void CloseIdle(ServerId server) = 0;
  // The server was removed and nothing refers to it any more: its id may be reused for another server.
  virtual void Forget(ServerId server) = 0;
};

// The discovery client, as the engine uses it.
class DiscoverySource {
 public:
  virtual ~DiscoverySource() = default;
  virtual void SetWatching(bool on) = 0;
  virtual void RequestWholeList() = 0;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_INTERFACES_H_
