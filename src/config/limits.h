// All sizes, counts and times that bound the router, in one place. They are set once at the start, except
// for the shares of LimitsPerProcess, and passed to all parts.
#ifndef BRASSWOOD_CONFIG_LIMITS_H_
#define BRASSWOOD_CONFIG_LIMITS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/clock.h"

namespace brasswood {

struct Limits {
  // Maximum sizes, in bytes.

  // A value that is read whole before it is passed on, in either direction. Larger answers are streamed.
  std::size_t max_value = 64 * 1024;
  std::size_t max_streamed_value = 64 << 20;  // a streamed value
  // Bytes of a streamed value that wait for the client. Above this the server's connection is not read, so
  // that a slow client does not make the router hold the whole value.
  std::size_t stream_window = 256 * 1024;
  std::size_t max_line = 4096;            // a line of a command or an answer
  std::size_t max_key = 250;              // a key; memcached's own limit
  std::size_t max_http_head = 16 * 1024;  // status line and headers of an HTTP answer
  std::size_t max_list = 8 << 20;         // a server list
  std::size_t max_unsent = 1 << 20;       // answers that wait for one client; above this it is not read
  // Shared by the answers of all clients that wait for an earlier answer or that their client does not
  // read; core/answer_memory.h has the rules.
  std::size_t max_answer_memory = 28 << 20;
  // What a client sends after its last answer; it is read and dropped. Closing a socket with unread input
  // sends a reset, which could destroy the answer before the client has read it.
  std::size_t max_discarded = 80 << 20;

  // Maximum counts.

  std::size_t max_servers = 4096;       // entries of one server list
  std::size_t max_pipeline = 128;       // unanswered commands of one client
  std::size_t max_interim_answers = 8;  // interim (1xx) answers before the final HTTP answer
  std::size_t max_requests = 2048;      // open requests
  std::size_t max_clients = 480;        // client connections
  // Idle client connections. Above this the one that has been idle for longest is closed, so that clients
  // that open a connection for each command and keep the old ones cannot fill the table.
  std::size_t max_idle_clients = 40;
  // The same for connections that were used again after having been idle: closing them costs their clients
  // a new connection, so more of them are kept.
  std::size_t max_idle_reused_clients = 120;
  std::size_t max_server_connections = 480;  // connections to servers, including idle ones
  int max_attempts = 1;                      // attempts of one request
  std::size_t max_admin_connections =
      16;  // connections to the admin interface; the oldest is closed for a new one

  // Times.

  Duration connect_timeout{std::chrono::milliseconds(200)};  // to connect to a server
  // From sending the last byte of an attempt to its arrival at the server. A repeat must arrive within the
  // deduplication window of the first attempt, so it must be sent at least this long before its end.
  Duration transit_allowance{std::chrono::milliseconds(25)};
  Duration server_connection_idle_timeout{
      std::chrono::seconds(3)};  // an idle connection to a server is kept this long
  Duration probe_timeout{
      std::chrono::milliseconds(250)};  // for the answer to a probe; then the probe has failed
  // For a client's complete command, from its connection or from the command's first byte.
  Duration command_timeout{std::chrono::milliseconds(2500)};
  Duration client_idle_timeout{std::chrono::seconds(4)};  // a client connection may be idle this long
  // A client connection is idle for at least this long before a limit on idle connections closes it: the
  // next command often follows the answer at once.
  Duration min_client_idle{std::chrono::milliseconds(50)};
  // In a full table of clients, one may be evicted if it has sent no complete command for this long. A
  // newer one is about to send its command.
  Duration evict_silent_after{std::chrono::milliseconds(250)};
  Duration client_close_timeout{std::chrono::seconds(2)};  // for a client to close after its last answer
  // How often a client whose connection is not being read is checked for having closed it.
  Duration client_gone_check_interval{std::chrono::milliseconds(40)};
  // An answer whose first bytes have come must go on within this, or it counts as malformed.
  Duration answer_stall_timeout{std::chrono::milliseconds(500)};
  // A connection to a server is preferred for reuse once it has been idle for this long: a close, or bytes
  // sent in excess of an answer, mostly arrive within this time of the answer.
  Duration reuse_after{std::chrono::milliseconds(25)};
  // A removed server is forgotten after this, so that the tables do not grow where servers are replaced all
  // day.
  Duration forget_removed_after{std::chrono::seconds(15)};
  Duration stream_stall_timeout{
      std::chrono::seconds(2)};  // without a byte from the server of a streamed value
  Duration write_stall_timeout{std::chrono::seconds(10)};  // without a client reading; then it is closed
  Duration default_deadline{std::chrono::seconds(4)};      // deadline of a request that states none
  Duration max_deadline{std::chrono::seconds(60)};         // the longest deadline that a request may state

  // Calls to discovery. A change of the list counts as received 6 s after it happened, even if the router
  // missed it. discovery/list_refresher.h keeps these times plus the waits between calls within that bound.

  Duration watch_time{
      std::chrono::milliseconds(3000)};  // discovery may hold a watch (a long poll) this long
  // Each router's watch is shorter by a fixed part of this, so that they do not all call at the same
  // moment.
  Duration watch_spread{std::chrono::milliseconds(500)};
  // A watch without an answer this long after its end counts as unresponsive.
  Duration watch_grace{std::chrono::milliseconds(1000)};
  Duration discovery_connect_timeout{std::chrono::milliseconds(1000)};  // to connect to discovery
  // An answer of discovery whose first bytes have come must go on within this.
  Duration discovery_answer_timeout{std::chrono::milliseconds(1500)};

  // After the last moment for new work of a drain or a shutdown, commands that cross the end of their
  // connection are read and refused for this long. Later ones stay unread, so that it ends in any case.
  Duration crossing_refuse_time{std::chrono::milliseconds(500)};
  // The same for commands that the router kept unread because their client's answers had to leave first. It
  // lets the connections of a drain end within 4 s.
  Duration held_back_refuse_time{std::chrono::seconds(3)};

  // Drain by operators, who expect that 4 s after the call no connection is open that is still being used.

  Duration drain_accept_time{
      std::chrono::milliseconds(500)};  // new work is accepted this long on connections that are in use
  // Every command that is accepted during a drain is answered this long after the drain began.
  Duration drain_answer_time{std::chrono::milliseconds(3750)};

  // Shutdown.

  Duration shutdown_accept_time{
      std::chrono::milliseconds(500)};  // new work is accepted this long after SIGTERM
  // All requests are answered and the process has ended this long after SIGTERM.
  Duration shutdown_timeout{std::chrono::milliseconds(3500)};
  // When the arrival of a command is estimated, the process is assumed to have been stalled at most this
  // long.
  Duration max_assumed_stall{std::chrono::milliseconds(200)};
  // When the time for the shutdown is up, the process waits this long for its last answers to be sent.
  Duration shutdown_flush_time{std::chrono::milliseconds(50)};

  Duration max_retry_after{0};  // the longest time after which clients are told to retry; 0: never told

  // Admin interface and operator state.

  Duration admin_call_timeout{std::chrono::milliseconds(500)};  // for a complete call, from its connection
  Duration admin_close_timeout{std::chrono::seconds(1)};        // for the caller to read the answer
  // From the confirmation of a resume until the server is used, so that no request reaches the server
  // before the confirmation reaches the operator.
  Duration resume_delay{std::chrono::milliseconds(50)};
  // How long the start or a call waits for the disk. Then the start goes on without the stored state, and
  // the call is answered that its change is not stored.
  Duration state_disk_timeout{std::chrono::milliseconds(300)};
  // How often the shared operator state is read.
  Duration state_poll_interval{std::chrono::milliseconds(250)};
  // A process whose heartbeat file has not been renewed for this long counts as ended.
  std::chrono::milliseconds heartbeat_timeout{1000};

  // The most that one answer takes which is read whole before it is passed on: its line and its value.
  std::size_t AnswerSize() const { return max_line + max_value; }
};

// The share of `whole` for one of `processes` processes that serve the same router side by side, as the old
// and the new process do during a replacement. Guards against their holding more sockets together than one
// process may: connections to servers and to clients are divided, and requests are limited to what those
// connections can answer. The memory that all clients share is divided too; other sizes, and times, are
// not.
inline Limits LimitsPerProcess(const Limits& whole, std::size_t processes) {
  if (processes <= 1) return whole;
  Limits part = whole;
  const auto share = [&](std::size_t total, std::size_t min) { return std::max(min, total / processes); };
  part.max_server_connections = share(whole.max_server_connections, 4);
  part.max_clients = share(whole.max_clients, 4);
  part.max_idle_clients = std::min(whole.max_idle_clients, part.max_clients);
  part.max_idle_reused_clients = std::min(whole.max_idle_reused_clients, part.max_clients);
  part.max_requests = std::min(
      whole.max_requests,
      std::max<std::size_t>(1, std::min(part.max_server_connections, part.max_clients) * 95 / 100));
  part.max_answer_memory = whole.max_answer_memory / processes;
  part.max_pipeline = std::min(whole.max_pipeline, std::max<std::size_t>(4, part.max_requests / 4));
  return part;
}

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_LIMITS_H_
