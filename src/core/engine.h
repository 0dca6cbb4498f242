// The engine passes events to the decision module and executes the module's actions. It owns the tables of
// requests and attempts and guarantees what the module relies on: each Send gets exactly one Outcome, each
// request gets exactly one answer, and an aborted attempt is closed before anything else is sent for its
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
#include "core/interfaces.h"
#include "core/response.h"
#include "core/send_guard.h"
#include "core/slots.h"
#include "discovery/availability_record.h"
#include "discovery/server_directory.h"
#include "discovery/server_list.h"
#include "state/snapshot.h"

namespace brasswood {

class Engine {
 public:
  Engine(const beechledge::Settings& settings, std::uint64_t seed, const Limits& limits,
         std::function<Time()> now, Deadlines& deadlines, Counters& counters);

  // The front ends, back ends and discovery client must outlive the engine's last event.
  void Attach(BackEnd& cache_servers, BackEnd& origin, DiscoverySource& watch);

  // Called by front ends. AcceptRequest returns 0 if the table of requests is full. The request's answer
  // may be delivered before AcceptRequest returns.
  RequestId AcceptRequest(FrontEnd& front, std::uint64_t ticket, NewRequest request);
  void ClientGone(RequestId request);
  // Fails all open requests and aborts their attempts, because the process is about to exit. Returns the
  // number of requests failed.
  std::size_t FailAll();
  // Whether there is a request with this id whose answer is pending or that has an attempt in flight.
  bool HasRequest(const std::string& id) const { return request_ids_.contains(id); }

  // Called by back ends. An id that has already ended is ignored.
  void AttemptEnded(AttemptId attempt, AttemptResult end);
  // The attempt's answer is a large value that is streamed in chunks, to the client or into a buffer
  // (StreamMode). The module is notified of the first byte. Returns false if the value is not needed or
  // cannot be taken (the request has ended, another of its attempts is streaming a value, or the value must
  // be buffered and is too large for that): the back end then aborts the attempt.
  bool StreamStarted(AttemptId attempt, std::size_t length);
  // A chunk of the value. An empty chunk means that the client is still reading earlier chunks, so that the
  // pause does not count as the server being unresponsive.
  void StreamChunk(AttemptId attempt, std::string_view bytes);
  // How many bytes of this attempt's streamed value may be passed on now; 0: the back end pauses its
  // connection. Unlimited if no request needs them any more.
  std::size_t StreamRoom(AttemptId attempt) const;
  const Server* FindServer(ServerId id) const;
  // Whether the first byte of this attempt may be sent now on a connection to `endpoint`. The attempt was
  // approved when it was created, but a connection had to be established since. If it may not be sent, the
  // back end ends it as never sent, by calling AttemptHeldBack.
  SendVerdict EvaluateFirstByte(AttemptId id, const std::string& endpoint) const;
  void AttemptHeldBack(AttemptId id, SendVerdict why);
  // The attempt's last byte was sent.
  void AttemptSent(AttemptId id);

  // Called by the discovery client. The directory orders the updates (discovery/server_directory.h).
  // `old`: the list was saved so long ago that servers in it may have been replaced.
  void SetInitialList(const ServerList& known, bool old = false);
  void ListReceived(const ServerList& list, const ListOrigin& origin);
  // Entries of an answer that is incomplete, or not complete yet.
  void PartialListReceived(const ServerList& part, const ListOrigin& origin);
  // A call to discovery failed. It is only counted: discovery/list_refresher.h schedules the next call.
  void ListCallFailed();
  const ServerDirectory& directory() const { return directory_; }

  // Called for operators. A suspended server is reported to the module as draining, whatever discovery
  // says, until it is resumed. It is used again `Limits::resume_delay` after the resume, and counts as
  // started at that moment because operators restart it in the meantime. Suspension is a flag, not a count:
  // one resume undoes any number of suspends. Returns false if no server with that uid is known. With `any`
  // (used for state persisted by an earlier process) a uid that is not listed yet is accepted too.
  bool Suspend(const std::string& uid, bool any = false);
  bool Resume(const std::string& uid, bool any = false);
  const std::set<std::string>& suspended() const { return directory_.suspended(); }

  // The number of cache servers in the list (in service or terminating), and of those that are suspended by
  // an operator or avoided by the module.
  struct ServerCounts {
    std::size_t known = 0, skipped = 0;
  };
  ServerCounts CountServers() const;

  // The state to preserve over a restart. Does not fill in the router's name and the time.
  Snapshot ExportSnapshot(std::size_t max_keys) const;
  // Restores what an earlier process had learnt, for the servers that the list names with the same start
  // time. It is applied at once, or with the first list if there is none yet. `confidence`: how far it is
  // trusted, 0 to 1, which depends on its age.
  void RestoreSnapshot(Snapshot snapshot, double confidence);

  bool ready() const { return ready_; }
  // Whether this process has received a list from discovery.
  bool confirmed() const { return confirmed_; }
  std::size_t open_requests() const { return open_requests_; }

 private:
  struct Request {
    FrontEnd* front = nullptr;
    std::uint64_t ticket = 0;
    int request_class = -1;
    std::shared_ptr<const RequestContent> content;
    Time deadline{0};
    int attempts = 0;
    bool ended = false;
    Response response;
    std::vector<AttemptId> in_flight;
    std::vector<ServerId> tried_servers;
    Time repeat_by{Time::max()};  // a keyed request that may have run: repeats must be sent before this
    bool may_have_run = false;    // one of its attempts may have run, as far as is known
  };
  struct Attempt {
    RequestId request = 0;  // 0: a probe
    ServerId server = 0;
    int number = 0;  // its index among the request's attempts, from 0
    Time sent{0};
    Time until{0};          // an answer after this is useless, unless its value is being sent to the client
    Time send_deadline{0};  // its last byte must be sent before this
    Deadlines::Id deadline;
    bool sent_whole = false;  // its last byte was sent
  };

  void Queue(beechledge::Event event);
  void Push(beechledge::Event event);
  void Pump();
  void Execute(const beechledge::Send& a);
  void Execute(const beechledge::Refuse& a);
  void Execute(const beechledge::Fail& a);
  void Execute(const beechledge::Cancel& a);
  void Execute(const beechledge::SetTimer& a);
  void Execute(const beechledge::Subscribe& a);
  void Execute(const beechledge::FetchList&);
  void Execute(const beechledge::Probe& a);
  void Execute(const beechledge::CloseIdle& a);
  void Execute(const beechledge::SendToPeers&) {}  // routers exchange no messages
  void Execute(const beechledge::Log& a);

  SendVerdict EvaluateAttempt(const Request* request, ServerId server, int attempt) const;
  bool IsUnsafe(const Request& request) const;
  void HoldBack(const beechledge::Send& a, int attempt, bool complete, SendVerdict why);
  void MarkEnded(Request& request);
  void AbortAttempt(AttemptId id, beechledge::Result why);
  enum class AbortScope { kAll, kNotSent };
  void AbortOthers(RequestId id, AttemptId owner, AbortScope scope);
  void AnswerFromModule(RequestId id, const Answer& answer);
  void RestartStallTimer(const Request& request, Attempt& attempt, AttemptId id);
  void FailRequest(RequestId id);
  void FinishAttempt(AttemptId id, AttemptResult end);
  AttemptEffect ApplyEffect(Request& request, AttemptId id, AttemptResult& end);
  void AnswerRequest(Request& request, const Answer& answer);
  void RemoveIfDone(RequestId id);
  void ForgetRemovedServers();
  BackEnd& BackEndOf(ServerId id) { return *(directory_.At(id).origin ? origin_ : cache_servers_); }
  // Acts on the changes that the directory reports and passes them to the module.
  void Apply(const DirectoryUpdate& update, beechledge::ListKind kind, bool old = false);
  beechledge::ServerEntry EntryFor(ServerId id) const;
  void LogVerdict(const DirectoryUpdate& update, const ServerList& list, const ListOrigin& origin) const;
  void LogChange(ServerId id) const;
  // Applies the operators' state of the server (suspended, resumed).
  void ApplyOperatorState(const std::string& uid);
  void ReturnToService(const std::string& uid);
  void CountClass(int request_class, AnswerKind kind);
  void LogAvoidedServers();
  void ApplySnapshot();

  beechledge::Settings settings_;
  beechledge::Balancer balancer_;
  const Limits& limits_;
  std::function<Time()> now_;
  Deadlines& deadlines_;
  Counters& counters_;
  BackEnd* cache_servers_ = nullptr;
  BackEnd* origin_ = nullptr;
  DiscoverySource* watch_ = nullptr;

  Slots<Request> requests_;
  Slots<Attempt> attempts_;
  ServerDirectory directory_;
  AvailabilityRecord availability_record_;                        // used only by the run-time checks
  std::unordered_map<std::string, Deadlines::Id> resume_timers_;  // by uid: resumed, not used again yet
  std::unordered_set<std::string> request_ids_;                   // the ids of the requests in the table
  struct Queued {
    Time at;  // when the event happened
    beechledge::Event event;
  };
  std::deque<Queued> queue_;
  bool pumping_ = false;
  bool ready_ = false, confirmed_ = false;
  std::optional<Snapshot> pending_snapshot_;  // not applied yet
  double snapshot_confidence_ = 0;
  std::size_t open_requests_ = 0;  // requests whose answer is pending
};

}  // namespace brasswood

#endif  // BRASSWOOD_CORE_ENGINE_H_
