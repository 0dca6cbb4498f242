// The back ends: attempts on kept connections, one at a time on each. CacheServerPool speaks memcache to
// the cache servers, OriginClient HTTP to the origin; the connections are kept and bounded alike.
#ifndef BRASSWOOD_NET_ATTEMPT_POOL_H_
#define BRASSWOOD_NET_ATTEMPT_POOL_H_

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/limits.h"
#include "core/engine.h"
#include "net/loop.h"
#include "protocol/parse.h"

namespace brasswood {

class AttemptPool;

// The connections to servers, over all pools of the process.
struct ConnBudget {
  std::size_t open = 0;
  std::vector<AttemptPool*> pools;
};

class AttemptPool : public Back {
 public:
  AttemptPool(Loop& loop, Engine& engine, const Limits& limits, Counters& counters, ConnBudget& budget);
  ~AttemptPool() override;

  void Start(AttemptId attempt, ServerId to, std::shared_ptr<const RequestContent> request, Time until,
             Time sent_by) override;
  void Probe(AttemptId probe, ServerId to, bool load) override;
  bool Abandon(AttemptId attempt) override;
  void CloseIdle(ServerId server) override;
  void Forget(ServerId server) override;
  // Closes idle connections of all pools until the budget is kept, where the limit has fallen.
  void Trim();

 protected:
  struct Errand {  // what a connection is on
    AttemptId attempt = 0;
    std::shared_ptr<const RequestContent> request;  // empty: a probe
    bool load = false;                              // of a probe: for the load report
    Time until{0};
    Time sent_by{0};
  };
  virtual std::string Write(const Errand& errand, const Server& server, Duration left) const = 0;
  // `input`: whether the server has closed its side, which ends some answers. `keep`: the connection may be
  // used again.
  virtual Parsed Parse(std::string_view in, const Errand& errand, InputEnd input, std::size_t& used,
                       AttemptEnd& end, bool& keep) const = 0;
  const Limits& limits() const { return limits_; }
  // The head of an answer to a read whose value may go on in pieces. kDone with `length`: the value's
  // length, `used` up to its first byte, `trailer` the bytes after it (a CRLF, or none), `end` what the
  // head says of the attempt; kDone without `length`: the answer is read whole by Parse. kMore, kBad as
  // Parse.
  virtual Parsed ParseHead(std::string_view in, const Errand& errand, std::size_t& used, AttemptEnd& end,
                           std::optional<std::uint64_t>& length, std::size_t& trailer,
                           bool& keep) const = 0;

 private:
  struct Connection;
  using Place = std::list<Connection>::iterator;
  struct Connection {
    AttemptPool* pool = nullptr;
    Place self;
    ServerId server = 0;
    std::string endpoint;  // where it leads; the server may have moved since
    BufferPtr buffer;
    bool up = false;
    bool written = false;  // the errand's bytes are in the buffer, or gone
    bool counted = false;  // its last byte has left, and the figures know
    // Of an answer that goes on in pieces: the value's bytes still to come, then the trailer's.
    bool streaming = false;
    std::uint64_t left = 0;
    std::size_t trailer = 0;
    bool keep = true;
    AttemptEnd head;  // what the answer's head said
    bool idle = false;
    Time rested{0};  // since when, if idle
    Errand errand;
    Deadlines::Id deadline;  // for coming up, for an answer begun, or for resting
    Deadlines::Id leaving;   // for the errand's last byte
  };

  void Begin(ServerId to, Errand errand);
  bool Connect(Connection& c, const Server& server);
  void WriteErrand(Connection& c);
  void OnRead(Connection& c);
  Parsed TakeAnswer(Connection& c, InputEnd input);
  void OnWritten(Connection& c);
  bool TryStream(Connection& c);
  void Stream(Connection& c);
  void Finish(Connection& c);
  void AwaitRoom(Connection& c);
  Connection* Rested(ServerId server);
  void AwaitRest(Connection& c, Duration wait);
  void OnEvent(Connection& c, short what);
  bool TakeLastAnswer(Connection& c, short what);
  void Rest(Connection& c);
  // Takes the connection away, and ends its errand with `result` if it has one.
  void Break(Connection& c, beechledge::Result result);
  void Drop(Connection& c);
  bool MakeRoom();
  bool DropIdle();
  static bool LeftWhole(const Connection& c);

  Loop& loop_;
  Engine& engine_;
  const Limits& limits_;
  Counters& counters_;
  ConnBudget& budget_;
  std::list<Connection> connections_;
  std::unordered_map<AttemptId, Place> busy_;
  std::unordered_map<ServerId, std::vector<Place>> idle_;  // the most recent one last
};

class CacheServerPool : public AttemptPool {
 public:
  using AttemptPool::AttemptPool;

 private:
  Parsed ParseHead(std::string_view in, const Errand& errand, std::size_t& used, AttemptEnd& end,
                   std::optional<std::uint64_t>& length, std::size_t& trailer, bool& keep) const override;
  std::string Write(const Errand& errand, const Server& server, Duration left) const override;
  Parsed Parse(std::string_view in, const Errand& errand, InputEnd input, std::size_t& used,
               AttemptEnd& end, bool& keep) const override;
};

class OriginClient : public AttemptPool {
 public:
  using AttemptPool::AttemptPool;

 private:
  Parsed ParseHead(std::string_view in, const Errand& errand, std::size_t& used, AttemptEnd& end,
                   std::optional<std::uint64_t>& length, std::size_t& trailer, bool& keep) const override;
  std::string Write(const Errand& errand, const Server& server, Duration left) const override;
  Parsed Parse(std::string_view in, const Errand& errand, InputEnd input, std::size_t& used,
               AttemptEnd& end, bool& keep) const override;
};

}  // namespace brasswood

#endif  // BRASSWOOD_NET_ATTEMPT_POOL_H_
