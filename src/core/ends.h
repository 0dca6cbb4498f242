// What the engine shares with its front ends (where requests come from) and back ends (what carries
// attempts). Neither side's protocol shows here: a second front needs only to fill RequestContent and to
// word an Answer.
#ifndef BRASSWOOD_CORE_ENDS_H_
#define BRASSWOOD_CORE_ENDS_H_

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

// What a request asks for, as its client put it. Nothing in it changes on its way to a server.
struct RequestContent {
  std::string id;
  std::string key;
  std::string labels;  // names and values, "a=1,b=2"
  std::string value;   // of a write
  bool write = false;
};

struct NewRequest {
  std::shared_ptr<const RequestContent> content;
  int request_class = -1;
  int tenant = 0;
  Duration wait{0};  // from its arrival until its client gives up
  Time arrived{0};   // its last byte, as far as that is known; 0: now
  std::optional<double> size_hint;
  bool repeat = false;
};

enum class AnswerKind { kValue, kReceipt, kRefused, kFailed };

struct Answer {
  AnswerKind kind = AnswerKind::kFailed;
  std::string body;         // the value or receipt
  Duration retry_after{0};  // of a refusal; 0: none stated
};

// A front end: told each request's one answer, by the ticket it gave. It must not call the engine back from
// inside any of these: the engine is at work on its tables then.
//
// A large value is passed on as it comes: Open with its length, then Piece after piece, then Deliver. A
// kValue ends it (its body is empty: all of it came in pieces); any other answer after Open means the value
// cannot be finished, and the front must let its client tell that it is not whole (close the connection
// once what came is out), never word a second answer for it.
class Front {
 public:
  virtual ~Front() = default;
  virtual void Deliver(std::uint64_t ticket, const Answer& answer) = 0;
  virtual void Open(std::uint64_t ticket, std::size_t length) = 0;
  virtual void Piece(std::uint64_t ticket, std::string_view bytes) = 0;
  // Is this ticket's client still there, as far as its connection tells?
  virtual bool Present(std::uint64_t ticket) const = 0;
  // Bytes of answers that wait to go out to this ticket's client: what a piece adds to.
  virtual std::size_t Backlog(std::uint64_t ticket) const = 0;
};

// How an attempt went: the reply in the module's terms, and its value or receipt.
struct AttemptEnd {
  beechledge::Result result = beechledge::Result::kError;
  beechledge::Note note = beechledge::Note::kNone;
  std::optional<beechledge::LoadReport> report;
  std::string body;
  bool streamed = false;  // of a kOk: its value went on in pieces, and the body is empty
};

// A back end: carries attempts and probes to servers and reports each one's end to the engine exactly
// once, unless it was abandoned.
class Back {
 public:
  virtual ~Back() = default;
  // `until`: an answer is of use until then. `sent_by`: its last byte leaves before that moment, or it ends
  // as never sent. Before its first byte the back end asks Engine::JudgeFirstByte, as much may have changed
  // by then.
  virtual void Start(AttemptId attempt, ServerId to, std::shared_ptr<const RequestContent> request,
                     Time until, Time sent_by) = 0;
  virtual void Probe(AttemptId probe, ServerId to, bool load) = 0;
  // Closes the attempt's connection at once and tells whether all of the attempt had left. Nothing more is
  // reported for it.
  virtual bool Abandon(AttemptId attempt) = 0;
  virtual void CloseIdle(ServerId server) = 0;
  // The server is gone and nothing refers to it: its id may come to name another one.
  virtual void Forget(ServerId server) = 0;
};

// Discovery, as the engine asks for it.
class Watch {
 public:
  virtual ~Watch() = default;
  virtual void Follow(bool on) = 0;
  virtual void FetchAll() = 0;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_ENDS_H_
