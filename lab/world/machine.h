// What cache servers and the origin have in common: attempts begun, worked on by cores, answered in order,
// called off when their connection goes; and the record of each in the truth.
#ifndef BRASSWOOD_LAB_WORLD_MACHINE_H_
#define BRASSWOOD_LAB_WORLD_MACHINE_H_

#include <string>
#include <unordered_map>

#include "lab/base/plan.h"
#include "lab/truth/push_meter.h"
#include "lab/truth/truth.h"
#include "lab/world/server.h"
#include "lab/world/station.h"

namespace brasswood::lab {

class World;

// What ails a machine's answers.
struct Ailment {
  bool hang = false;
  double speed = 1;                         // of its own
  double reset = 0, half = 0, garbage = 0;  // shares of its answers
  double no_length = 0;                     // likewise, of the origin's
};

class Machine : public Server {
 public:
  Machine(World& world, int number, int cores, double core_speed, int waiting);

  Ailment& ailment() { return ailment_; }
  int number() const { return number_; }
  // So many of its cores are its own from now on; at least one.
  void SetCores(int cores);
  // Looks whether the router has closed the connection of this attempt, and books that as its end.
  void NoticeClose(std::uint64_t peer);

 protected:
  struct Attempt {  // one that is being worked on, or waits
    std::uint64_t peer = 0;
    std::size_t record = 0;
    double work_s = 0;
    std::string key;
    Deadlines::Id deadline;
  };
  MachineRecord& record();
  // Enters an attempt that has come whole into the truth.
  std::size_t Enter(Peer& peer, RequestId id, double work_s, bool write);
  // Takes it to a core, now or later; false where the waiting room is full.
  bool Work(Peer& peer, std::size_t record, double work_s, std::string key);
  void Conclude(Peer& peer, std::size_t record, Fate fate, std::string text);
  // The attempt has been worked on: word its answer.
  virtual void Worked(Peer& peer, const Attempt& attempt) = 0;
  void OnGone(Peer& peer, bool reset) override;
  // A share of the value that a machine makes for an attempt: no other one's is equal to it.
  std::string MakeValue(RequestId id, std::uint32_t serial, std::size_t size) const;

  World& world_;
  Ailment ailment_;
  Rng rng_;

 private:
  void Begin(Station::Token token);
  void Done(Station::Token token);

  int number_;
  double core_speed_;
  Station station_;
  Slots<Attempt> attempts_;
  std::unordered_map<std::size_t, Station::Token> by_record_;
};

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_WORLD_MACHINE_H_
