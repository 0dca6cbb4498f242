// The adapter between the bench's wire and the decision module: it parses, maps ids and writes. It decides
// nothing.
#ifndef BEECHLEDGE_BENCHLINK_LINK_H_
#define BEECHLEDGE_BENCHLINK_LINK_H_

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beechledge::benchlink {

// Input that the wire does not allow; what() is the one plain message for standard error.
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Link {
 public:
  Link();
  ~Link();

  // Takes one line without its line break. When it ends a batch, the whole reply is appended to `reply`.
  // Notes about what was passed over are appended to `notes`, a line each. Throws BadInput.
  void Feed(std::string_view line, std::string& reply, std::string& notes);

  // How many request ids are held for all instances; for tests of growth.
  std::size_t open_requests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechledge::benchlink

#endif  // BEECHLEDGE_BENCHLINK_LINK_H_
