// Every size, count and time that bounds the router, in one place: filled at the start and handed down.
#ifndef BRASSWOOD_CONFIG_LIMITS_H_
#define BRASSWOOD_CONFIG_LIMITS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/clock.h"

namespace brasswood {

struct Limits {
  // Sizes of what is read, in bytes.
  std::size_t value =
      64 * 1024;  // a value, either way, taken whole; a larger answer is passed on in pieces
  std::size_t stream_most = 64 << 20;      // a value passed on in pieces
  std::size_t stream_window = 256 * 1024;  // of such a value, waiting for its client; past it, not read
  std::size_t line = 4096;                 // a command or answer line
  std::size_t key = 250;                   // memcache's own bound
  std::size_t http_head = 16 * 1024;       // status line and headers of an HTTP answer
  std::size_t list = 8 << 20;              // a server list
  std::size_t unsent = 1 << 20;            // answers waiting for one client; past it, it is not read
  std::size_t discard = 80 << 20;          // read from a client after its last answer, and thrown away

  // Counts.
  std::size_t servers = 4096;       // in one list
  std::size_t pipeline = 128;       // commands of one client without their answer
  std::size_t interim = 8;          // interim answers (1xx) before an answer
  std::size_t requests = 2048;      // open at once
  std::size_t clients = 480;        // connections held
  std::size_t resting = 40;         // clients with nothing open, past `brief`; the others give way
  std::size_t resting_again = 120;  // the same, of those that have returned from a rest before
  std::size_t attempt_conns = 480;  // connections to servers, idle ones included
  int max_attempts = 1;             // attempts of one request
  std::size_t door_callers = 16;    // connections to the operators' door; the oldest makes way

  // Times.
  Duration connect{std::chrono::milliseconds(200)};
  Duration transit{std::chrono::milliseconds(25)};  // from an attempt's last byte leaving to its arrival
  Duration idle{std::chrono::seconds(3)};           // a kept connection rests this long at most
  Duration probe{std::chrono::milliseconds(250)};   // a probe is answered within this, or failed
  Duration speak{std::chrono::milliseconds(2500)};  // a client's command is whole within this
  Duration rest{std::chrono::seconds(4)};           // a client with nothing open is kept this long
  Duration brief{std::chrono::milliseconds(50)};   // a client that was answered may rest this long at least
  Duration hurry{std::chrono::milliseconds(250)};  // in a full table, a silent one goes after this
  Duration hang_up{std::chrono::seconds(2)};       // after its last answer a client closes within this
  Duration gone_look{std::chrono::milliseconds(40)};  // one that is not read is looked at for its close
  Duration answer{std::chrono::milliseconds(500)};    // an answer begun goes on within this, or is spoilt
  Duration settle{
      std::chrono::milliseconds(25)};         // what spoils a resting connection mostly comes this soon
  Duration forget{std::chrono::seconds(15)};  // a server gone for this long is forgotten
  Duration stream_stall{std::chrono::seconds(2)};   // a value in pieces whose server says nothing this long
  Duration write_stall{std::chrono::seconds(10)};   // a client that takes nothing for this long goes
  Duration default_wait{std::chrono::seconds(4)};   // of a request that states none
  Duration longest_wait{std::chrono::seconds(60)};  // of any request
  // A call to discovery. What a router misses counts as told 6 s after it happened; how these add up with
  // the waits between calls is seen to in discovery/list_refresher.h.
  Duration watch{std::chrono::milliseconds(3000)};        // discovery may hold a watch this long,
  Duration watch_spread{std::chrono::milliseconds(500)};  // and up to this much less, by router
  Duration call_grace{std::chrono::milliseconds(1000)};   // and this long beyond it: then it is silent
  Duration call_up{std::chrono::milliseconds(1000)};      // a connection comes up within this
  Duration call_answer{std::chrono::milliseconds(1500)};  // an answer that has begun goes on within this
  Duration linger{std::chrono::milliseconds(500)};        // after SIGTERM, new work is taken this long,
  Duration stop_within{
      std::chrono::milliseconds(3500)};                 // and all is answered and the process ends by then
  Duration held_up{std::chrono::milliseconds(200)};     // a process may have stood still for so long
  Duration last_words{std::chrono::milliseconds(50)};   // then, for answers on their way
  Duration max_retry_after{0};                          // 0: clients are not told when to come back
  Duration door_call{std::chrono::milliseconds(500)};   // a door call is whole this soon after its accept
  Duration door_linger{std::chrono::seconds(1)};        // and its caller takes the answer within this
  Duration put_back{std::chrono::milliseconds(50)};     // from the yes to a resume until its server is used
  Duration state_told{std::chrono::milliseconds(300)};  // a call waits so long to say whether it is stored
  Duration state_look{std::chrono::milliseconds(250)};  // how often the shared operator state is read
  std::chrono::milliseconds live_stale{1000};           // a process mark not renewed this long: it has gone
};

// The part of `whole` that one of `processes` processes of one router may hold, where they share one
// router's limits on descriptors (a replacement: the old process and the new one side by side). Guards
// against the two together holding more sockets than one may: each takes its share of connections to
// servers and of clients, and of requests no more than those let it answer. Times and sizes stay.
inline Limits Shared(const Limits& whole, std::size_t processes) {
  if (processes <= 1) return whole;
  Limits part = whole;
  const auto share = [&](std::size_t n, std::size_t least) { return std::max(least, n / processes); };
  part.attempt_conns = share(whole.attempt_conns, 4);
  part.clients = share(whole.clients, 4);
  part.resting = std::min(whole.resting, part.clients);
  part.resting_again = std::min(whole.resting_again, part.clients);
  part.requests = std::min(whole.requests,
                           std::max<std::size_t>(1, std::min(part.attempt_conns, part.clients) * 95 / 100));
  part.pipeline = std::min(whole.pipeline, std::max<std::size_t>(4, part.requests / 4));
  return part;
}

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_LIMITS_H_
