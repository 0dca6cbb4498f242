// The front end for clients: memcache meta commands on persistent connections. Commands may be pipelined:
// each request starts at once, and the answers are sent in the order of the commands.
#ifndef BRASSWOOD_NET_CLIENT_FRONT_END_H_
#define BRASSWOOD_NET_CLIENT_FRONT_END_H_

#include <event2/listener.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "config/limits.h"
#include "config/settings.h"
#include "core/answer_memory.h"
#include "core/connection_end.h"
#include "core/engine.h"
#include "core/shutdown.h"
#include "core/slots.h"
#include "net/loop.h"

namespace brasswood {

class ClientFrontEnd : public FrontEnd {
 public:
  // Starts to listen on `address`; throws if that fails.
  ClientFrontEnd(Loop& loop, Engine& engine, const Limits& limits, const SettingNames& names,
                 Counters& counters, const std::string& address);
  ~ClientFrontEnd() override;

  void Deliver(std::uint64_t ticket, const Answer& answer) override;
  StreamMode StartStream(std::uint64_t ticket, std::size_t length) override;
  void DropStream(std::uint64_t ticket) override;
  void SendChunk(std::uint64_t ticket, std::string_view bytes) override;
  bool IsConnected(std::uint64_t ticket) const override;
  std::size_t StreamRoom(std::uint64_t ticket) override;

  // Begins the graceful shutdown (core/shutdown.h): each connection closes when it becomes idle, the
  // listener closes at the last moment for new work, and `done` is called once nothing is left to answer or
  // the time for the shutdown is up.
  void Stop(std::function<void()> done);

  // Drains the router for operators: `mn` is answered as not ready, and each connection closes once it is
  // idle, with all answers sent and no further command received; one that always has a command open is
  // refused further ones (core/connection_end.h). New connections are still accepted and served in the same
  // way. `on` false ends the drain.
  void SetDraining(bool on);
  // Whether `mn` is answered as ready: not while draining. After SIGTERM it still is, for the half second
  // in which the listener stays open; load balancers notice the end of the process instead.
  bool ReportsReady() const { return !drain_.active() && engine_.ready(); }
  // Whether this process is ready to serve: not while draining, and not after SIGTERM.
  bool Ready() const { return ReportsReady() && !shutdown_.begun(); }

  // Applies changed limits (a replacement process shares them): closes idle connections beyond them.
  void ApplyLimits();

  std::size_t clients() const { return clients_.size(); }
  const AnswerMemory& answer_memory() const { return answer_memory_; }
  std::uint16_t port() const;  // the port it listens on

 private:
  struct IdleQueue {  // clients without an open request, the longest idle first
    std::list<std::uint64_t> ids;
    std::size_t max_size = 0;  // beyond it, the longest idle are closed after Limits::min_client_idle
    Deadlines::Id eviction;
  };
  struct Pending {  // a command whose answer was not fully sent yet
    RequestId request = 0;
    std::uint64_t ticket = 0;  // set while the engine still has to answer; otherwise 0
    std::string id;
    bool answered = false;
    std::optional<StreamMode> stream;  // of a streamed value: whether `text` may be sent as it grows
    std::size_t missing = 0;           // of a streamed value: the bytes of it that have not arrived
    bool truncated = false;            // a value that was sent in part and cannot be completed
    std::size_t reserved = 0;          // bytes reserved for its answer while it is not answered
    std::string text;
    bool sends_stream() const { return stream == StreamMode::kSend; }
    bool buffers_stream() const { return stream == StreamMode::kBuffer; }
  };
  struct Client {
    explicit Client(AnswerMemory& memory) : answers(memory) {}
    ClientFrontEnd* front = nullptr;
    std::uint64_t id = 0;
    BufferPtr buffer;
    std::deque<Pending> pending;
    std::uint64_t first_number = 0;  // the sequence number of pending.front()
    AnswerAccount answers;           // the bytes in `pending` and in the output buffer
    Time last_active{0};             // when it last sent a command, or connected
    Time partial_since{0};           // when the command it is sending began; 0: it is not sending one
    Time first_command_at{0};        // when its first command was read; 0: it has sent none
    // Of a client that may have waited in the accept queue of a paused listener: the earliest time at which
    // the data of its first read can have arrived; otherwise 0.
    Time queued_since{0};
    Time read_paused_at{0}, read_resumed_at{0};  // the last time that it was not read; 0: there was none
    bool used() const { return first_command_at != Time(0); }
    bool closing = false;  // no further commands are read; it closes once everything is answered
    ClientEndReason close_reason = ClientEndReason::kClosedByClient;  // of a client that is closing
    bool write_shut = false;       // everything is answered and the sending side was shut
    bool read_paused = false;      // not read until some of its answers were sent
    bool awaits_room = false;      // in awaiting_room_
    bool read_resumed = false;     // data read now may have waited for the client's own answers
    bool advance_due = false;      // a call of Advance is scheduled
    bool value_truncated = false;  // nothing may be sent behind the part of a value that was sent
    bool reading_ended = false;    // of a client that is closing
    EventPtr discard;              // of a client that is closing: reads further input and discards it
    std::size_t discarded_bytes = 0;
    IdleQueue* idle_queue = nullptr;  // null unless idle
    std::list<std::uint64_t>::iterator idle_position;
    Deadlines::Id close_check;  // of a client that is not read: the next check whether it has closed
    bool reused = false;        // has sent a command after being idle
    Time idle_since{0};
    Deadlines::Id deadline;  // for its next command, or for closing its side
  };
  struct Ticket {  // the client and the command that a request's answer is for
    std::uint64_t client = 0;
    std::uint64_t number = 0;
  };

  void Accept(evutil_socket_t fd);
  void EvictIfFull();
  static bool IsIdle(const Client& client);
  void OnAcceptFailed();
  void PauseAccepting(Duration pause);
  void ResumeAccepting();
  void ReadCommands(Client& client);
  void StartRequest(Client& client, RequestContent content);
  Time ArrivalTime(const Client& client);
  void Reply(Client& client, std::string text);
  static void Write(bufferevent& to, std::string text);
  void Flush(Client& client);
  Pending* FindPending(std::uint64_t ticket, Client*& client);
  StreamMode ChooseStreamMode(const Client& client, const Pending& pending, std::size_t length) const;
  void ClearStream(Client& client, Pending& pending);
  static bool HasAnswersDue(const Client& client);
  bool IsFull(const Client& client) const;
  void PauseReading(Client& client);
  void ScheduleResume();
  void ResumeAwaitingRoom();
  void Advance(std::uint64_t id);
  void AdvanceAll();
  void ScheduleCloseCheck(Client& client);
  void SetTimeout(Client& client);
  void EnterIdleQueue(Client& client);
  void LeaveIdleQueue(Client& client);
  void EvictIdle(IdleQueue& queue);
  void OnTimeout(std::uint64_t id);
  void CloseGracefully(Client& client, ClientEndReason why);
  void MarkClosing(Client& client, ClientEndReason why);
  void LingeringClose(Client& client);
  void DiscardInput(Client& client);
  int EvictionRank(const Client& client, Time now) const;
  void Close(std::uint64_t id, ClientEndReason why);
  void CancelPending(Client& client, ClientEndReason why);
  Admission Admit(const Client& client) const;
  bool ShouldEnd(const Client& client) const;
  void StartDiscarding(Client& client);
  void RefuseRequest(Client& client, const std::string& request);
  bool AcceptQueued();
  void StopListening();
  void ForceStop();
  void StopWhenDone(bool done_before);
  bool IsDone();

  Loop& loop_;
  Engine& engine_;
  const Limits& limits_;
  const SettingNames& names_;
  Counters& counters_;
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
  bool listening_ = true;
  int accept_failures_ = 0;             // consecutive
  Time accept_queue_empty_at_{0};       // when the accept queue was last known to be empty; 0: it is empty
  Deadlines::Id accept_queue_drained_;  // after a pause: every connection that was queued is accepted
  AnswerMemory answer_memory_;
  // Clients that are not read because the shared memory for answers is used up, in the order in which they
  // go on. Some may have gone on already, as their own answers were sent.
  std::deque<std::uint64_t> awaiting_room_;
  bool resume_due_ = false;  // a call of ResumeAwaitingRoom is scheduled
  Slots<std::unique_ptr<Client>> clients_;
  Slots<Ticket> tickets_;
  IdleQueue idle_used_once_, idle_reused_;  // by Client::reused
  Shutdown shutdown_;
  bool listener_closed_ = false;
  Drain drain_;
  std::function<void()> on_stopped_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_NET_CLIENT_FRONT_END_H_
