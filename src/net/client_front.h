// The front for clients: memcache meta commands on kept connections. Commands may be pipelined; their
// requests begin at once, and the answers go out in the order of the commands.
#ifndef BRASSWOOD_NET_CLIENT_FRONT_H_
#define BRASSWOOD_NET_CLIENT_FRONT_H_

#include <event2/listener.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config/limits.h"
#include "config/settings.h"
#include "core/engine.h"
#include "core/shutdown.h"
#include "core/slots.h"
#include "net/loop.h"

namespace brasswood {

class ClientFront : public Front {
 public:
  // Listens from now on; throws where it cannot.
  ClientFront(Loop& loop, Engine& engine, const Limits& limits, const Names& names, Counters& counters,
              const std::string& address);
  ~ClientFront() override;

  void Deliver(std::uint64_t ticket, const Answer& answer) override;
  void Open(std::uint64_t ticket, std::size_t length) override;
  void Piece(std::uint64_t ticket, std::string_view bytes) override;
  bool Present(std::uint64_t ticket) const override;
  std::size_t Backlog(std::uint64_t ticket) const override;

  // Begins the shutdown (core/shutdown.h): each connection closes as it falls idle, the listener closes at
  // the last moment for new work, and `done` is called once nothing is left to answer, or its time is up.
  void Stop(std::function<void()> done);

  // Operators' drain: `mn` is answered as not ready, and each connection closes once it has fallen idle,
  // its answers out and nothing more sent; new ones are still taken and served alike. Off again: as before.
  void SendAway(bool on);
  // Does `mn` say yes? Not while sending away. (After SIGTERM it does for the half second that the
  // listener stays open, as before the door: the front moves on by the process's end.)
  bool Welcoming() const { return !sending_away_ && engine_.ready(); }
  // Is this process ready to serve? Not while sending away, nor once SIGTERM came.
  bool Ready() const { return Welcoming() && !shutdown_.begun(); }

  // The limits have changed (a replacement shares them): idle connections past the new ones make way.
  void Reshare();

  std::size_t clients() const { return clients_.size(); }
  std::uint16_t port() const;  // that it listens on

 private:
  struct RestQueue {  // clients with nothing open: the longest first
    std::list<std::uint64_t> ids;
    std::size_t most = 0;  // past it, and `brief`, they give way
    Deadlines::Id trim;
  };
  struct Pending {  // a command whose answer has not gone out
    RequestId request = 0;
    std::uint64_t ticket = 0;  // while its answer is owed by the engine; 0: it is not
    std::string id;
    bool answered = false;
    bool open = false;    // a value going on in pieces: what is in `text` may go out before the rest
    bool broken = false;  // such a value that cannot be finished
    std::string text;
  };
  struct Client {
    ClientFront* front = nullptr;
    std::uint64_t id = 0;
    BufferPtr buffer;
    std::deque<Pending> pending;
    std::uint64_t first = 0;  // the number of the front of `pending`
    std::size_t held = 0;     // bytes of answers in `pending` that wait for one before them
    Time active{0};           // when it last sent a command, or connected
    Time partial{0};          // since when it has been sending a command; 0: it is not
    bool used = false;        // has sent a command
    // Of one that may have waited in the queue of a paused listener: the earliest moment at which what its
    // first read finds can have come; 0: none.
    Time queued_since{0};
    bool closing = false;                  // its commands count no more, and it closes when all is answered
    ClientEnd why = ClientEnd::kByClient;  // of one that is closing
    bool shut = false;                     // all is answered, and it has been told that no more comes
    bool paused = false;                   // not read until it has taken some answers
    bool resumed = false;                  // what is read now waited behind its own answers
    bool woken = false;                    // a turn of Wake is due
    bool cut = false;  // a value was cut: nothing more goes out, and the rest is given up
    EventPtr discard;  // of one that is closing: reads on and throws away
    std::size_t discarded = 0;
    RestQueue* queue = nullptr;                // where it rests; null: it does not
    std::list<std::uint64_t>::iterator place;  // in it
    Deadlines::Id look;                        // of one that is not read: for its going
    bool returned = false;                     // has sent a command after a rest
    Time rested{0};                            // since when
    Deadlines::Id deadline;                    // for its next command, or for its own close
  };
  struct Ticket {  // where a request's answer goes
    std::uint64_t client = 0;
    std::uint64_t number = 0;
  };

  void Accept(evutil_socket_t fd);
  void MakeRoom();
  static bool Idle(const Client& s);
  void AcceptFailed();
  void Pause(Duration pause);
  void Resume();
  void Read(Client& s);
  void Begin(Client& s, RequestContent content);
  Time Arrived(const Client& s);
  void Reply(Client& s, std::string text);
  void Flush(Client& s);
  Pending* PendingOf(std::uint64_t ticket, Client*& s);
  bool Full(const Client& s) const;
  void Wake(std::uint64_t id);
  void WakeAll();
  void LookForEnd(Client& s);
  void Await(Client& s);
  void Rest(Client& s);
  void Rouse(Client& s);
  void Trim(RestQueue& queue);
  void Expire(std::uint64_t id);
  void Part(Client& s, ClientEnd why);
  void Closing(Client& s, ClientEnd why);
  void HangUp(Client& s);
  void Discard(Client& s);
  int WayRank(const Client& s, Time now) const;
  void Close(std::uint64_t id, ClientEnd why);
  void GiveUpPending(Client& s);
  void RefuseLate(Client& s, const std::string& request);
  bool TakeWaiting();
  void StopListening();
  void StopNow();
  void EndWhenQuiet(bool quiet_before);
  bool Quiet();

  Loop& loop_;
  Engine& engine_;
  const Limits& limits_;
  const Names& names_;
  Counters& counters_;
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
  bool listening_ = true;
  int accepts_failed_ = 0;     // in a row
  Time paused_since_{0};       // the queue was last known to be empty then; 0: it is
  Deadlines::Id queue_empty_;  // after a pause: nothing of it is left
  Slots<std::unique_ptr<Client>> clients_;
  Slots<Ticket> tickets_;
  RestQueue once_, again_;  // by whether they have returned from a rest before
  Shutdown shutdown_;
  bool listener_closed_ = false;
  bool sending_away_ = false;
  std::function<void()> stopped_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_NET_CLIENT_FRONT_H_
