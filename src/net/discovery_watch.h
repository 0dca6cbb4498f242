// The watch on discovery: one call at a time on a kept connection, the next one begun as soon as an answer
// is in, so that the watch goes on.
#ifndef BRASSWOOD_NET_DISCOVERY_WATCH_H_
#define BRASSWOOD_NET_DISCOVERY_WATCH_H_

#include <functional>
#include <optional>
#include <string>

#include "config/limits.h"
#include "config/settings.h"
#include "core/engine.h"
#include "net/loop.h"
#include "protocol/http.h"

namespace brasswood {

class DiscoveryWatch : public Watch {
 public:
  // `known`: the version of the list held at the start, if any. `phase`: 0 to 1, differs from router to
  // router: the watches of a fleet that fall silent together are not opened anew together.
  DiscoveryWatch(Loop& loop, Engine& engine, const Limits& limits, const Names& names, std::string address,
                 std::int64_t known, double phase = 0);

  // The first call is answered at once, whether or not there is news: who has kept state wants to know
  // whether it still holds, and a watch says nothing until something changes. One call more.
  void AskFirst() { ask_first_ = true; }

  void Follow(bool on) override;
  void FetchAll() override;

  // Goes on at this address: the whole list at once, then the watch. Nothing is changed where it already
  // watches there.
  void MoveTo(const std::string& address);

 private:
  bool Waits() const;
  Duration Wait() const;
  void Call();
  void Connect();
  void After(Duration wait, std::function<void()> then);
  void Await(Duration most, const char* what);
  void AwaitAnswer();
  void OnRead();
  Parsed TakeAnswer(InputEnd input);
  void TakeList(HttpAnswer answer, std::size_t used, InputEnd input);
  void Silent();
  void Lost(const char* why);
  void CallAgainSoon();
  void Refuse(const std::string& why);

  Loop& loop_;
  Engine& engine_;
  const Limits& limits_;
  const Names& names_;
  std::string address_;
  std::optional<std::int64_t> rev_;
  bool following_ = false;
  bool fetch_ = false;    // the whole list is asked for once
  bool calling_ = false;  // a call is out
  bool begun_ = false;    // its answer has begun to come
  bool ask_first_ = false;
  int lacks_ = 0;      // calls in a row for which this router had no connection to make
  bool anew_ = false;  // it opens a watch that fell silent
  const double phase_;
  BufferPtr buffer_;
  Deadlines::Id deadline_;
};

}  // namespace brasswood

#endif  // BRASSWOOD_NET_DISCOVERY_WATCH_H_
