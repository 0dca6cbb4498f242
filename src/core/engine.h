// The engine: feeds the decision module with events and carries out its actions. It keeps the tables of
// requests and attempts and sees to what the module counts on: each Send gets exactly one Outcome, each
// request one answer, and an attempt that is given up is closed before anything else goes out for its
// request.
#ifndef BRASSWOOD_CORE_ENGINE_H_
#define BRASSWOOD_CORE_ENGINE_H_

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "base/counters.h"
#include "beechledge/balancer.h"
#include "config/limits.h"
#include "core/deadlines.h"
#include "core/ends.h"
#include "core/send_guard.h"
#include "core/slots.h"
#include "discovery/news_ledger.h"
#include "discovery/server_directory.h"
#include "discovery/server_list.h"
#include "state/snapshot.h"

namespace brasswood {

class Engine {
 public:
  Engine(const beechledge::Settings& settings, std::uint64_t seed, const Limits& limits,
         std::function<Time()> now, Deadlines& deadlines, Counters& counters);

  // The ends must outlive the engine's last event.
  void Attach(Back& cache_servers, Back& origin, Watch& watch);

  // From the front. Take returns 0 where no more requests can be held; the request's answer may come before
  // it returns.
  RequestId Take(Front& front, std::uint64_t ticket, NewRequest request);
  void ClientGone(RequestId request);
  // Fails all that is open, each attempt given up first: the process is about to end. Returns how many.
  std::size_t FailAll();
  // Is there a request of this id whose answer is owed or whose attempt is out?
  bool Holds(const std::string& id) const { return by_id_.contains(id); }

  // From the back ends. An id that has ended is passed over.
  void AttemptEnded(AttemptId attempt, AttemptEnd end);
  // An attempt's answer is a large value that goes on in pieces: its request is bound to this attempt from
  // now on, and the module is told of the first byte. False: nobody waits for it (the request has ended or
  // another of its attempts is passing one on), and the back end gives the attempt up.
  bool AttemptOpened(AttemptId attempt, std::size_t length);
  // A piece of it; empty: none, but its client is still taking the last ones (its server is not
  // silent).
  void AttemptPiece(AttemptId attempt, std::string_view bytes);
  // Bytes waiting for the client of this attempt's request; 0 where there is none.
  std::size_t Backlog(AttemptId attempt) const;
  const Server* FindServer(ServerId id) const;
  // May the first byte of this attempt leave now, on a connection that leads to `endpoint`? It was decided
  // when the attempt was made, and a connection had to come up since. The back end ends one that may not as
  // never sent, with HeldBack.
  SendVerdict JudgeFirstByte(AttemptId id, const std::string& endpoint) const;
  void HeldBack(AttemptId id, SendVerdict why);
  // The attempt's last byte has left.
  void AttemptLeft(AttemptId id);

  // From discovery, whose news the directory orders (discovery/server_directory.h).
  // `old`: it was held so long ago that servers in it may have been replaced.
  void Remember(const ServerList& known, bool old = false);
  void Told(const ServerList& list, const ListOrigin& origin);
  // Entries of an answer that is not whole, or not yet.
  void ToldInPart(const ServerList& part, const ListOrigin& origin);
  // A call to discovery came to nothing. Counted only: discovery/list_refresher.h sees to the next one.
  void ListRefused();
  const ServerDirectory& directory() const { return directory_; }

  // From operators. A suspended server is told to the module as draining, whatever discovery says, until
  // it is resumed; `Limits::put_back` later it is used again and counts as started at that moment, since
  // operators restart it meanwhile. A flag, not a count: one resume undoes any number of suspends. False:
  // no server of that uid is known, unless `any` (state kept from before this process) lets a uid that is
  // not listed yet be taken too.
  bool Suspend(const std::string& uid, bool any = false);
  bool Resume(const std::string& uid, bool any = false);
  const std::set<std::string>& suspended() const { return directory_.suspended(); }

  // Cache servers in the list (in service or terminating), and those of them avoided by hand or by the
  // module's choice.
  struct Census {
    std::size_t known = 0, skipped = 0;
  };
  Census Count() const;

  // What is worth keeping over a restart, but for whose it is and when.
  Snapshot Keep(std::size_t most_keys) const;
  // What an earlier process had learnt, taken up at once, or with the first list where there is none yet,
  // as far as the list names the same servers with the same starts. `faith`: how far it is believed, by
  // its age.
  void Recall(Snapshot kept, double faith);

  bool ready() const { return ready_; }
  // Has discovery told this process its list?
  bool confirmed() const { return confirmed_; }
  std::size_t open_requests() const { return open_requests_; }

 private:
  struct Request {
    Front* front = nullptr;
    std::uint64_t ticket = 0;
    int request_class = -1;
    std::shared_ptr<const RequestContent> content;
    Time deadline{0};
    int attempts = 0;
    bool ended = false;
    AttemptId streaming = 0;  // the attempt whose value goes on in pieces
    std::vector<AttemptId> out;
    std::vector<ServerId> asked;
    Time repeat_by{Time::max()};  // of a keyed one that may have run: its repeats have left by then
    bool may_have_run = false;    // one of its attempts, for all that is known
  };
  struct Attempt {
    RequestId request = 0;  // 0: a probe
    ServerId server = 0;
    int number = 0;  // among its request's, from 0
    Time sent{0};
    Time sent_by{0};  // its last byte has left by then
    Deadlines::Id deadline;
  };

  void Queue(beechledge::Event event);
  void Push(beechledge::Event event);
  void Pump();
  void Do(const beechledge::Send& a);
  void Do(const beechledge::Refuse& a);
  void Do(const beechledge::Fail& a);
  void Do(const beechledge::Cancel& a);
  void Do(const beechledge::SetTimer& a);
  void Do(const beechledge::Subscribe& a);
  void Do(const beechledge::FetchList&);
  void Do(const beechledge::Probe& a);
  void Do(const beechledge::CloseIdle& a);
  void Do(const beechledge::Tell&) {}  // routers share nothing
  void Do(const beechledge::Log& a);

  SendVerdict JudgeSending(const Request* request, ServerId server, int attempt) const;
  bool RunsOnceOnly(const Request& request) const;
  void HoldBack(const beechledge::Send& a, int attempt, bool complete, SendVerdict why);
  void End(Request& request);
  void GiveUp(AttemptId id, beechledge::Result why);
  void Stall(Attempt& attempt, AttemptId id);
  void Conclude(AttemptId id, AttemptEnd end);
  void AnswerRequest(Request& request, const Answer& answer);
  void Release(RequestId id);
  void Retire();
  Back& BackOf(ServerId id) { return *(directory_.At(id).origin ? origin_ : nodes_); }
  // Acts on what the directory says has changed, and hands it to the module.
  void Apply(const DirectoryUpdate& update, beechledge::ListKind kind, bool old = false);
  beechledge::ServerEntry EntryFor(ServerId id) const;
  void LogVerdict(const DirectoryUpdate& update, const ServerList& list, const ListOrigin& origin) const;
  void LogChange(ServerId id) const;
  // Acts on what operators have said of the server.
  void Reconsider(const std::string& uid);
  void PutBack(const std::string& uid);
  void CountClass(int request_class, AnswerKind kind);
  void LogBeliefs();
  void TakeUp();

  beechledge::Settings settings_;
  beechledge::Balancer balancer_;
  const Limits& limits_;
  std::function<Time()> now_;
  Deadlines& deadlines_;
  Counters& counters_;
  Back* nodes_ = nullptr;
  Back* origin_ = nullptr;
  Watch* watch_ = nullptr;

  Slots<Request> requests_;
  Slots<Attempt> attempts_;
  ServerDirectory directory_;
  NewsLedger ledger_;                                         // for the run-time checks alone
  std::unordered_map<std::string, Deadlines::Id> returning_;  // by uid: resumed, and not used again yet
  std::unordered_set<std::string> by_id_;                     // the ids of the requests in the table
  struct Queued {
    Time at;  // when it happened
    beechledge::Event event;
  };
  std::deque<Queued> queue_;
  bool pumping_ = false;
  bool ready_ = false, confirmed_ = false;
  std::optional<Snapshot> kept_;  // not taken up yet
  double faith_ = 0;
  std::size_t open_requests_ = 0;  // without their answer
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_ENGINE_H_
