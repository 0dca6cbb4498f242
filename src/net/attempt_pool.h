// The back ends: pools of persistent connections that carry attempts and probes, one at a time on each
// connection. CacheServerPool speaks memcache to the cache servers, OriginClient HTTP to the origin; both
// reuse and bound their connections in the same way.
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

// The number of connections to servers that are open, over all pools of the process.
struct ConnectionBudget {
  std::size_t open = 0;
  std::vector<AttemptPool*> pools;
};

class AttemptPool : public BackEnd {
 public:
  AttemptPool(Loop& loop, Engine& engine, const Limits& limits, Counters& counters,
              ConnectionBudget& budget);
  ~AttemptPool() override;

  void Start(AttemptId attempt, ServerId to, std::shared_ptr<const RequestContent> request, Time until,
             Time send_deadline) override;
  void Probe(AttemptId probe, ServerId to, bool load) override;
  bool Abandon(AttemptId attempt) override;
  void CloseIdle(ServerId server) override;
  void Forget(ServerId server) override;
  // Closes idle connections of all pools until the number of open ones is within a limit that was lowered.
  void CloseExcessIdle();

 protected:
  struct Operation {  // the attempt or probe that a connection carries
    AttemptId attempt = 0;
    std::shared_ptr<const RequestContent> request;  // empty for a probe
    bool load = false;                              // of a probe: whether it asks for a load report
    Time until{0};
    Time send_deadline{0};
  };
  // The bytes to send. `left`: the time until which an answer is of use, as a duration from now.
  virtual std::string Format(const Operation& operation, const Server& server, Duration left) const = 0;
  // Parses a whole answer. `input`: whether the server has closed its side, which ends some answers.
  // `keep`: whether the connection may be reused.
  virtual Parsed Parse(std::string_view in, const Operation& operation, InputEnd input, std::size_t& used,
                       AttemptResult& end, bool& keep) const = 0;
  const Limits& limits() const { return limits_; }
  // Parses the head of an answer to a read whose value may be streamed. kDone with `length`: the value has
  // that length and begins after `used` bytes, `trailer` is the number of bytes that follow it (a CRLF, or
  // none), and `end` holds what the head states about the attempt. kDone without `length`: the answer is to
  // be read whole by Parse. kMore and kBad as for Parse.
  virtual Parsed ParseHead(std::string_view in, const Operation& operation, std::size_t& used,
                           AttemptResult& end, std::optional<std::uint64_t>& length, std::size_t& trailer,
                           bool& keep) const = 0;

 private:
  struct Connection;
  using ConnectionIt = std::list<Connection>::iterator;
  struct Connection {
    AttemptPool* pool = nullptr;
    ConnectionIt self;
    ServerId server = 0;
    std::string endpoint;  // the address it is connected to; the server may have moved since
    BufferPtr buffer;
    bool connected = false;
    bool written = false;        // the operation's bytes are in the output buffer, or were sent
    bool sent_reported = false;  // the engine was told that the last byte was sent
    // Of an answer that is streamed: the value bytes and the trailer bytes still to be received.
    bool streaming = false;
    std::uint64_t value_left = 0;
    std::size_t trailer = 0;
    bool keep = true;            // whether the connection may be reused after it
    AttemptResult streamed_end;  // what the answer's head stated
    bool idle = false;
    Time idle_since{0};
    Operation operation;
    Deadlines::Id deadline;       // to connect, for the rest of an answer, or to close when idle
    Deadlines::Id send_deadline;  // for the operation's last byte to be sent
  };

  void StartOperation(ServerId to, Operation operation);
  bool Connect(Connection& connection, const Server& server);
  void WriteOperation(Connection& connection);
  void OnRead(Connection& connection);
  Parsed HandleAnswer(Connection& connection, InputEnd input);
  void OnWritten(Connection& connection);
  bool TryStartStreaming(Connection& connection);
  void StreamValue(Connection& connection);
  void FinishStreaming(Connection& connection);
  void PauseForBackpressure(Connection& connection);
  Connection* TakeIdle(ServerId server);
  void SetAnswerDeadline(Connection& connection, Duration wait);
  void OnEvent(Connection& connection, short what);
  bool HandleLastAnswer(Connection& connection, short what);
  void Release(Connection& connection, bool reusable);
  void MakeIdle(Connection& connection);
  // Closes the connection and ends its operation, if it has one, with `result`.
  void CloseWithResult(Connection& connection, beechledge::Result result);
  void CloseConnection(Connection& connection);
  bool EnsureCapacity();
  bool CloseOneIdle();
  static bool FullySent(const Connection& connection);

  Loop& loop_;
  Engine& engine_;
  const Limits& limits_;
  Counters& counters_;
  ConnectionBudget& budget_;
  std::list<Connection> connections_;
  std::unordered_map<AttemptId, ConnectionIt> busy_;
  std::unordered_map<ServerId, std::vector<ConnectionIt>> idle_;  // the most recently used one last
};

class CacheServerPool : public AttemptPool {
 public:
  using AttemptPool::AttemptPool;

 private:
  Parsed ParseHead(std::string_view in, const Operation& operation, std::size_t& used, AttemptResult& end,
                   std::optional<std::uint64_t>& length, std::size_t& trailer, bool& keep) const override;
  std::string Format(const Operation& operation, const Server& server, Duration left) const override;
  Parsed Parse(std::string_view in, const Operation& operation, InputEnd input, std::size_t& used,
               AttemptResult& end, bool& keep) const override;
};

class OriginClient : public AttemptPool {
 public:
  using AttemptPool::AttemptPool;

 private:
  Parsed ParseHead(std::string_view in, const Operation& operation, std::size_t& used, AttemptResult& end,
                   std::optional<std::uint64_t>& length, std::size_t& trailer, bool& keep) const override;
  std::string Format(const Operation& operation, const Server& server, Duration left) const override;
  Parsed Parse(std::string_view in, const Operation& operation, InputEnd input, std::size_t& used,
               AttemptResult& end, bool& keep) const override;
};

}  // namespace brasswood

#endif  // BRASSWOOD_NET_ATTEMPT_POOL_H_
