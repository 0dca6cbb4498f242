// The adapter between the bench's line protocol and the decision module: parses events, maps ids and writes
// actions. It makes no decisions.
#ifndef BEECHLEDGE_BENCHLINK_LINK_H_
#define BEECHLEDGE_BENCHLINK_LINK_H_

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beechledge::benchlink {

// Thrown for input that violates the protocol; what() is the message for standard error.
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Link {
 public:
  Link();
  ~Link();

  // Processes one line (without its line break). At the end of a batch the whole reply is appended to
  // `reply`. A line about each ignored event is appended to `notes`. Throws BadInput.
  void Feed(std::string_view line, std::string& reply, std::string& notes);

  // Number of requests tracked over all instances; for tests that it does not grow without bound.
  std::size_t open_requests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechledge::benchlink

#endif  // BEECHLEDGE_BENCHLINK_LINK_H_
