// Errors of system calls that a process depends on at its start, and a check for enough descriptors.
#ifndef BRASSWOOD_NET_STARTUP_H_
#define BRASSWOOD_NET_STARTUP_H_

#include <chrono>
#include <stdexcept>
#include <string>

namespace brasswood {

// A system call that the start depends on failed.
class StartError : public std::runtime_error {
 public:
  // `what`: the action that failed; `error`: the errno of the system call.
  StartError(const std::string& what, int error);
  // Whether the same call may succeed a moment later.
  bool transient() const { return transient_; }

 private:
  bool transient_;
};

// For how long a start that failed for a transient reason is retried, and the pause between two tries.
inline constexpr std::chrono::seconds kStartRetryLimit{8};
inline constexpr std::chrono::milliseconds kStartRetryPause{50};

// Throws StartError if the descriptors that an event loop needs are not available. libevent aborts the
// process when it cannot open one of them, so they are tried out beforehand.
void CheckDescriptorsAvailable();

}  // namespace brasswood

#endif  // BRASSWOOD_NET_STARTUP_H_
