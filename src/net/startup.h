// What a process needs from the system before it can serve, and what to make of its lack.
#ifndef BRASSWOOD_NET_STARTUP_H_
#define BRASSWOOD_NET_STARTUP_H_

#include <chrono>
#include <stdexcept>
#include <string>

namespace brasswood {

// The system refused a call that the start rests on.
class StartError : public std::runtime_error {
 public:
  // `what`: what could not be done; `error`: the call's errno.
  StartError(const std::string& what, int error);
  // May the same call succeed a moment later?
  bool passing() const { return passing_; }

 private:
  bool passing_;
};

// How long a start is tried again while what it lacks may come back, and how often.
inline constexpr std::chrono::seconds kStartPatience{8};
inline constexpr std::chrono::milliseconds kStartPause{50};

// Throws StartError where the few descriptors that a loop takes are not to be had. libevent ends the
// process where one of them is refused, so they are asked for first.
void ProbeDescriptors();

}  // namespace brasswood

#endif  // BRASSWOOD_NET_STARTUP_H_
