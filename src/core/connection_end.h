// How the connections of clients end, whatever the reason: what is still owed for each command at that
// moment. Free of I/O; the client front end carries it out.
//
// What happens to a command that at that moment is
//  - unread, in the kernel: it is refused if it can be read in time, or if it is unread because the router
//    did not read the connection for a while. Otherwise it crosses the end: its client sees the connection
//    end, and sends it again elsewhere.
//  - read, but not begun: it is refused, in its order.
//  - forwarded: it is answered, within its time.
//  - answered, but not sent yet: its answer is sent.
//  - behind a value that is being sent: it is unread, because nothing is read there before the value is
//    complete. It is refused then; if the value is cut, nothing can be sent behind it.
//
// A client that has closed, or that reads nothing, is owed nothing. What follows a command that ends the
// framing (a malformed one, quit) is not a command.
#ifndef BRASSWOOD_CORE_CONNECTION_END_H_
#define BRASSWOOD_CORE_CONNECTION_END_H_

#include <algorithm>
#include <optional>

#include "base/clock.h"
#include "base/counters.h"
#include "config/limits.h"

namespace brasswood {

// What a client is owed when its connection ends for this reason.
struct EndObligations {
  // Commands that were read are answered before the sending side is shut.
  bool answers = true;
  // The unread input consists of commands, which stay unread until the sending side is shut: a command that
  // is read earlier has to be answered.
  bool input_is_commands = true;
};

inline EndObligations ObligationsAt(ClientEndReason reason) {
  switch (reason) {
    case ClientEndReason::kClosedByClient:
    case ClientEndReason::kClientStalled:
    case ClientEndReason::kNoMemory:  // nothing was read yet
      return {false, false};
    case ClientEndReason::kBadCommand:
    case ClientEndReason::kCommandTimeout:
    case ClientEndReason::kQuit:
      return {true, false};
    case ClientEndReason::kIdleTimeout:
    case ClientEndReason::kEvicted:
    case ClientEndReason::kValueTruncated:
    case ClientEndReason::kDraining:
    case ClientEndReason::kShutdown:
    case ClientEndReason::kCount:
      break;
  }
  return {true, true};
}

// What happens to the commands of a connection while the router drains or shuts down.
enum class Admission {
  kForward,  // they are served as before
  kRefuse,   // they are refused at once: the connection stays open only for answers that are owed
  kEnd,      // as kRefuse; the connection ends once what was read is answered, and the answers have left
};

// The state of a connection that the admission of its commands depends on.
struct ConnectionState {
  Time first_command_at{0};     // 0: it has sent none
  bool forwarded_open = false;  // the engine still has to answer a command
  bool input_waits = false;     // a command is unread in the kernel, or was read in part
  // The last time that the connection was not read, so that its input had to wait; 0: there was none.
  Time paused_at{0}, resumed_at{0};
};

// Whether the input may still wait because the router did not read the connection before. From
// Limits::held_back_refuse_time on this holds only if it stopped reading early, so that a client whose
// connection is paused again and again cannot keep it open.
inline bool MayHaveWaited(Time last_new_work, const ConnectionState& connection, Time now,
                          const Limits& limits) {
  const bool just_resumed = now < connection.resumed_at + limits.crossing_refuse_time;
  const bool first_pause = connection.paused_at < last_new_work + limits.crossing_refuse_time;
  return just_resumed && (first_pause || now < last_new_work + limits.held_back_refuse_time);
}

// The admission from `last_new_work` on.
inline Admission AdmitAfter(Time last_new_work, const ConnectionState& connection, Time now,
                            const Limits& limits) {
  const bool answers_due = connection.forwarded_open || connection.first_command_at == Time(0);
  const bool crossing = now < last_new_work + limits.crossing_refuse_time;
  const bool refuse_input =
      connection.input_waits && (crossing || MayHaveWaited(last_new_work, connection, now, limits));
  return answers_due || refuse_input ? Admission::kRefuse : Admission::kEnd;
}

// The drain of a router that its operators have asked for. Connections end as they become idle; one that
// always has a command open is refused further ones from last_new_work() on, so that it becomes idle too.
class Drain {
 public:
  explicit Drain(const Limits& limits) : limits_(limits) {}

  void Begin(Time at) { begun_ = at; }
  void End() { begun_.reset(); }
  bool active() const { return begun_.has_value(); }

  // A connection that is opened during the drain has the same time from its first command.
  Admission Admit(const ConnectionState& connection, Time now) const {
    if (!begun_ || connection.first_command_at == Time(0) || now < LastNewWork(connection))
      return Admission::kForward;
    return AdmitAfter(LastNewWork(connection), connection, now, limits_);
  }
  // The time by which a command that is forwarded now has to be answered. Call it only while active.
  Time AnswerBy(Time first_command_at) const {
    return std::max(*begun_, first_command_at) + limits_.drain_answer_time;
  }

 private:
  Time LastNewWork(const ConnectionState& connection) const {
    return std::max(*begun_, connection.first_command_at) + limits_.drain_accept_time;
  }

  const Limits& limits_;
  std::optional<Time> begun_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_CONNECTION_END_H_
