// The answers of a client connection: in the order of its commands, streamed values in chunks, each byte on
// its account (core/answer_memory.h).
#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "net/client_front_end.h"
#include "protocol/meta.h"

namespace brasswood {

void ClientFrontEnd::Reply(Client& client, std::string text) {
  client.answers.AddHeld(text.size());
  Pending pending;
  pending.answered = true;
  pending.text = std::move(text);
  client.pending.push_back(std::move(pending));
  Flush(client);
}

ClientFrontEnd::Pending* ClientFrontEnd::FindPending(std::uint64_t ticket, Client*& client) {
  const Ticket* to = tickets_.Find(ticket);
  if (to == nullptr) return nullptr;
  auto* found = clients_.Find(to->client);
  if (found == nullptr) return nullptr;
  client = found->get();
  if (to->number < client->first_number || to->number - client->first_number >= client->pending.size())
    return nullptr;  // cancelled
  return &client->pending[to->number - client->first_number];
}

void ClientFrontEnd::Deliver(std::uint64_t ticket, const Answer& answer) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  tickets_.Remove(ticket);
  if (pending == nullptr) return;
  counters_.invariants.Expect(!pending->answered, Invariant::kAnsweredOnce, pending->id);
  pending->ticket = 0;
  const bool completes = pending->stream && pending->missing == 0 && answer.streamed;
  const bool of_another = pending->sends_stream() && answer.kind == AnswerKind::kValue && !completes;
  counters_.invariants.Expect(!of_another, Invariant::kAnsweredOnce, pending->id);
  // Only the front command's value may have been sent in part.
  const bool sent_in_part = pending->sends_stream() && pending == &client->pending.front();
  if (pending->stream && !completes && !sent_in_part) ClearStream(*client, *pending);
  client->answers.Release(std::exchange(pending->reserved, 0));
  const std::size_t before = pending->text.size();
  if (completes) {
    pending->text.append("\r\n");
  } else if (sent_in_part) {
    pending->truncated = true;
  } else {
    AppendAnswer(pending->text, pending->id, answer, limits_);
  }
  pending->answered = true;
  pending->request = 0;
  std::string().swap(pending->id);  // it may be long, and is not on the account
  client->answers.AddHeld(pending->text.size() - before);
  Flush(*client);
}

// Guards against commands that are read, and perhaps take effect, behind a value that is cut: the
// connection ends where the value stops, and their answers could not be sent. So a value is sent as it
// comes only if no command was received behind it, and no further command is read until it is complete. A
// value with commands behind it is buffered: it is sent once it is complete, or fails without having been
// begun.
StreamMode ClientFrontEnd::ChooseStreamMode(const Client& client, const Pending& pending,
                                            std::size_t length) const {
  const bool last = &pending == &client.pending.back() &&
                    evbuffer_get_length(bufferevent_get_input(client.buffer.get())) == 0 &&
                    !HasUnreadInput(bufferevent_getfd(client.buffer.get()));
  if (last) return StreamMode::kSend;
  return length + limits_.max_line <= limits_.max_answer_memory ? StreamMode::kBuffer : StreamMode::kRefuse;
}

StreamMode ClientFrontEnd::StartStream(std::uint64_t ticket, std::size_t length) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  if (pending == nullptr || pending->stream || pending->answered) return StreamMode::kRefuse;
  const StreamMode mode = ChooseStreamMode(*client, *pending, length);
  if (mode == StreamMode::kRefuse) return mode;
  pending->stream = mode;
  pending->missing = length;
  if (mode == StreamMode::kSend) {
    client->answers.Release(std::exchange(pending->reserved, 0));  // from here on, StreamRoom bounds it
    if (!client->closing) PauseReading(*client);
  }
  const std::size_t before = pending->text.size();
  // Guards against an allocation that doubles with each chunk of a value that has to wait.
  if (mode == StreamMode::kSend && pending != &client->pending.front())
    pending->text.reserve(limits_.max_line + std::min(length, limits_.stream_window));
  pending->text.append("VA ")
      .append(std::to_string(length))
      .append(" O")
      .append(pending->id)
      .append("\r\n");
  client->answers.AddHeld(pending->text.size() - before);
  Flush(*client);
  return mode;
}

// Drops what was buffered of a value. Its memory is returned, but for a reservation of an ordinary answer.
void ClientFrontEnd::ClearStream(Client& client, Pending& pending) {
  client.answers.RemoveHeld(pending.text.size());
  client.answers.Release(std::exchange(pending.reserved, 0));
  client.answers.StopAwaiting();
  std::string().swap(pending.text);
  pending.stream.reset();
  pending.missing = 0;
  if (&pending == &client.pending.front()) return;
  pending.reserved = limits_.AnswerSize();
  client.answers.Reserve(pending.reserved);
}

void ClientFrontEnd::DropStream(std::uint64_t ticket) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  if (pending != nullptr && pending->buffers_stream() && !pending->answered) ClearStream(*client, *pending);
}

void ClientFrontEnd::SendChunk(std::uint64_t ticket, std::string_view bytes) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  if (pending == nullptr || !pending->stream || pending->answered) return;
  pending->text.append(bytes);
  pending->missing -= std::min(pending->missing, bytes.size());
  const std::size_t reserved = std::min(pending->reserved, bytes.size());
  pending->reserved -= reserved;
  client->answers.Release(reserved);
  client->answers.AddHeld(bytes.size());
  Flush(*client);
}

bool ClientFrontEnd::IsConnected(std::uint64_t ticket) const {
  const Ticket* to = tickets_.Find(ticket);
  const auto* found = to == nullptr ? nullptr : clients_.Find(to->client);
  return found != nullptr && !PeerClosed(bufferevent_getfd((*found)->buffer.get()));
}

std::size_t ClientFrontEnd::StreamRoom(std::uint64_t ticket) {
  Client* client = nullptr;
  Pending* pending = FindPending(ticket, client);
  if (pending == nullptr) return limits_.stream_window;  // nobody waits for it: what is sent is dropped
  const bool next = pending == &client->pending.front();
  if (!pending->buffers_stream()) return client->answers.StreamRoom(next);
  // The whole value is reserved before any of it is buffered, so that a buffered value can be completed
  // whatever the others hold.
  if (pending->reserved < pending->missing) {
    if (!client->answers.TryReserve(pending->missing - pending->reserved, next)) return 0;
    pending->reserved = pending->missing;
    pending->text.reserve(limits_.max_line + pending->missing);
  }
  return pending->missing;
}

// Appends `text` to the output. Guards against a long answer that is in memory twice, in the text and in
// the buffer: the buffer takes it over. A short one is copied, which costs less.
void ClientFrontEnd::Write(bufferevent& to, std::string text) {
  constexpr std::size_t kMaxCopied = 4096;
  evbuffer* out = bufferevent_get_output(&to);
  if (text.size() <= kMaxCopied) {
    evbuffer_add(out, text.data(), text.size());
    return;
  }
  auto owned = std::make_unique<std::string>(std::move(text));
  const auto free_text = [](const void*, std::size_t, void* p) { delete static_cast<std::string*>(p); };
  if (evbuffer_add_reference(out, owned->data(), owned->size(), free_text, owned.get()) == 0)
    owned.release();
}

// Sends the answers that are available, as far as the order of the commands allows. What follows from an
// answer (reading further, closing) is scheduled as a separate call of Advance, because the engine may be
// the caller here and must not be re-entered.
void ClientFrontEnd::Flush(Client& client) {
  const std::uint64_t first_number = client.first_number;
  while (!client.value_truncated && !client.pending.empty() &&
         (client.pending.front().answered || client.pending.front().sends_stream())) {
    Pending& front = client.pending.front();
    client.answers.RemoveHeld(front.text.size());
    Write(*client.buffer, std::exchange(front.text, {}));
    if (!front.answered) break;  // the rest of its value has not arrived
    const bool truncated = front.truncated;
    client.pending.pop_front();
    ++client.first_number;
    // Guards against a truncated value that is read as complete, or with the next answer as its rest: the
    // client sees the connection end where the value stops.
    if (truncated) {
      client.value_truncated = true;
      MarkClosing(client, ClientEndReason::kValueTruncated);
    }
  }
  const bool sent = client.first_number != first_number;
  if (((client.read_paused && sent) || client.closing || shutdown_.begun() || drain_.active()) &&
      !client.advance_due) {
    client.advance_due = true;
    loop_.deadlines().Set(loop_.Now(), [this, id = client.id] { Advance(id); });
  }
}

}  // namespace brasswood
