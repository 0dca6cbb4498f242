// The commands of a client connection: how they are read, when reading pauses, and how requests begin.
#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"
#include "net/client_front_end.h"
#include "protocol/meta.h"

namespace brasswood {

bool ClientFrontEnd::HasAnswersDue(const Client& client) {
  return !client.pending.empty() || client.answers.bytes().unsent != 0;
}

// Whether no more commands of this client are read for now: a value is being sent to it as it comes (see
// ChooseStreamMode), too many are unanswered, too many answer bytes are unsent, or no memory is left for an
// answer that would have to wait. A client without any answer due is never full.
bool ClientFrontEnd::IsFull(const Client& client) const {
  const bool streaming = !client.pending.empty() && client.pending.back().sends_stream();
  return streaming || client.pending.size() >= limits_.max_pipeline ||
         (HasAnswersDue(client) && !answer_memory_.HasRoom()) ||
         client.answers.bytes().held + client.answers.bytes().unsent >= limits_.max_unsent;
}

void ClientFrontEnd::ReadCommands(Client& client) {
  const std::uint64_t id = client.id;
  // Guards against work for a client that has already closed: its remaining commands are not read, however
  // many there are.
  if (PeerClosed(bufferevent_getfd(client.buffer.get())))
    return Close(id, ClientEndReason::kClosedByClient);
  while (!client.closing) {
    const bool input = evbuffer_get_length(bufferevent_get_input(client.buffer.get())) != 0;
    if (input && IsFull(client)) return PauseReading(client);
    std::size_t used = 0;
    Command command;
    const Parsed got = ParseCommand(ContiguousInput(client.buffer.get()), limits_, used, command);
    if (got == Parsed::kMore) {
      const bool begun = evbuffer_get_length(bufferevent_get_input(client.buffer.get())) != 0;
      client.queued_since = Time(0);
      if (client.read_resumed) client.read_resumed = HasUnreadInput(bufferevent_getfd(client.buffer.get()));
      if (!begun) client.partial_since = Time(0);
      if (begun && client.partial_since == Time(0)) client.partial_since = loop_.Now();
      if (begun) LeaveIdleQueue(client);  // a client that is sending a command, however slowly, is not idle
      break;
    }
    client.partial_since = Time(0);
    if (got == Parsed::kBad) {
      ++counters_.bad_commands;
      MarkClosing(client, ClientEndReason::kBadCommand);
      Reply(client, "CLIENT_ERROR " + command.error + "\r\n");
      break;
    }
    evbuffer_drain(bufferevent_get_input(client.buffer.get()), used);
    client.last_active = loop_.Now();
    if (!client.used()) client.first_command_at = client.last_active;
    client.reused = client.reused || client.idle_queue != nullptr;
    LeaveIdleQueue(client);
    switch (command.verb) {
      case Verb::kRequest:
        StartRequest(client, std::move(command.content));
        break;
      case Verb::kNoop:
        Reply(client, ReportsReady() ? "MN\r\n" : "SERVER_ERROR not ready\r\n");
        break;
      case Verb::kQuit:
        MarkClosing(client, ClientEndReason::kQuit);
        break;
      case Verb::kUnknown:
        ++counters_.bad_commands;
        Reply(client, "ERROR\r\n");
        break;
      case Verb::kMalformed:
        ++counters_.bad_commands;
        Reply(client, "CLIENT_ERROR " + command.error + "\r\n");
        break;
    }
  }
  Advance(id);
}

// Guards against commands that are begun although nothing can hold their answers: they stay in the kernel,
// and TCP flow control holds their client back.
void ClientFrontEnd::PauseReading(Client& client) {
  if (!client.read_paused) client.read_paused_at = loop_.Now();
  client.read_paused = true;
  bufferevent_disable(client.buffer.get(), EV_READ);
  SetTimeout(client);  // it is not idle any more
  ScheduleCloseCheck(client);
  if (answer_memory_.HasRoom() || client.awaits_room) return;
  client.awaits_room = true;
  awaiting_room_.push_back(client.id);
}

// The caller may be changing a client's answers, so that reading goes on in a call of its own.
void ClientFrontEnd::ScheduleResume() {
  if (resume_due_ || awaiting_room_.empty()) return;
  resume_due_ = true;
  loop_.deadlines().Set(loop_.Now(), [this] { ResumeAwaitingRoom(); });
}

// Resumes the clients that wait for memory, in order, as long as there is room. Each of them also goes on
// when its own answers are sent, so that none depends on this.
void ClientFrontEnd::ResumeAwaitingRoom() {
  resume_due_ = false;
  while (!awaiting_room_.empty() && answer_memory_.HasRoom()) {
    Client& client = **clients_.Find(awaiting_room_.front());
    awaiting_room_.pop_front();
    client.awaits_room = false;
    if (client.read_paused) Advance(client.id);
  }
}

// The time at which the data being read arrived. Guards against answers that are sent after their client
// has given up, because its command waited in the accept queue of a paused listener or while the process
// was stopped. The times of the loop's polls bound the arrival; where they cannot, the kernel's time of the
// last received byte does. Time spent waiting for earlier answers of the same connection does not count.
Time ClientFrontEnd::ArrivalTime(const Client& client) {
  const Time now = loop_.Now();
  const bool queued = client.queued_since != Time(0);
  const auto unread = TimeSinceLastByte(bufferevent_getfd(client.buffer.get()));
  if (queued) return unread ? std::max(client.queued_since, now - *unread) : client.queued_since;
  const Time arrived = loop_.EarliestArrival();
  if (!unread || client.read_resumed) return arrived;
  return std::min(arrived, now - std::min(*unread, limits_.max_assumed_stall));
}

void ClientFrontEnd::StartRequest(Client& client, RequestContent content) {
  NewRequest request;
  std::string error = BuildRequest(std::move(content), names_, limits_, request);
  request.arrived = ArrivalTime(client);
  // Guards against two open requests with the same id: servers' answers are matched by it, and the first
  // request, possibly of another client, must not be affected.
  if (error.empty() && engine_.HasRequest(request.content->id)) error = "this id is in use";
  if (!error.empty()) {
    ++counters_.bad_commands;
    return Reply(client, "CLIENT_ERROR " + error + "\r\n");
  }
  if (Admit(client) != Admission::kForward) return RefuseRequest(client, request.content->id);
  if (drain_.active()) {
    const Time by = drain_.AnswerBy(client.first_command_at);
    request.wait = std::min(request.wait, std::max(Duration(0), by - request.arrived));
  }
  Pending pending;
  pending.id = request.content->id;
  if (HasAnswersDue(client)) {
    pending.reserved = request.content->write ? limits_.max_line : limits_.AnswerSize();
    client.answers.Reserve(pending.reserved);
  }
  const std::uint64_t number = client.first_number + client.pending.size();
  client.pending.push_back(std::move(pending));
  const std::uint64_t ticket = tickets_.Add({client.id, number});
  client.pending.back().ticket = ticket;
  const bool late =
      shutdown_.begun() && loop_.Now() > shutdown_.last_new_work() + Invariants::kMaxSendDelay;
  counters_.invariants.Expect(!late, Invariant::kNoNewWorkAfterDeadline, client.pending.back().id);
  const RequestId id = engine_.AcceptRequest(*this, ticket, std::move(request));
  if (id == 0) return Deliver(ticket, {AnswerKind::kRefused, {}, limits_.max_retry_after / 4});
  if (tickets_.Find(ticket) != nullptr) client.pending[number - client.first_number].request = id;
}

// Refuses a request read after the last moment for new work. Guards against starting work in a process that
// is about to be killed, and against connections that a drain does not end because they are always in use.
void ClientFrontEnd::RefuseRequest(Client& client, const std::string& request) {
  ++counters_.refused_stopping;
  LogLine(Level::kDebug) << "request " << request << " refused: the router drains or shuts down";
  std::string text;
  AppendAnswer(text, request, {AnswerKind::kRefused, {}, {}}, limits_);
  Reply(client, std::move(text));
}

}  // namespace brasswood
