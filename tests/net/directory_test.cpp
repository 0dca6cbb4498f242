// The server directory and the availability record: updates are ordered by version, not by arrival.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "discovery/availability_record.h"
#include "discovery/server_directory.h"

using namespace brasswood;
using namespace std::chrono_literals;
using beechledge::Availability;

namespace {

ServerEntry Entry(const std::string& uid, Availability availability = Availability::kUp, Time started = 0s,
                  const std::string& endpoint = "127.0.0.1:1") {
  return {uid, endpoint, 0, 0, 0, availability, 1, started};
}

ServerList Whole(std::int64_t version, std::vector<ServerEntry> entries) {
  return {version, true, std::move(entries)};
}

ServerList Changes(std::int64_t version, std::vector<ServerEntry> entries) {
  return {version, false, std::move(entries)};
}

ListOrigin Requested(Time begun, Time arrived, std::optional<std::int64_t> since = std::nullopt) {
  ListOrigin origin;
  origin.since = since;
  origin.requested_at = begun;
  origin.received_at = origin.notified_at = arrived;
  return origin;
}

// A directory that holds version 1: s1 and s2 in service.
struct Directory : ServerDirectory {
  Directory() : ServerDirectory(-1) { SetInitialList(Whole(1, {Entry("s1"), Entry("s2")}), 1s); }
  const Server& Get(const std::string& uid) const { return At(Find(uid).value()); }
  bool IsServing(const std::string& uid) const { return Get(uid).availability == Availability::kUp; }
};

constexpr Availability kUp = Availability::kUp, kDraining = Availability::kDraining,
                       kRemoved = Availability::kRemoved;

}  // namespace

TEST_CASE("a list requested before a newer update arrived undoes nothing of that update") {
  Directory directory;
  directory.Merge(Changes(2, {Entry("s1", kDraining), Entry("s2", kUp, 50s, "127.0.0.1:7"), Entry("s3")}),
                  Requested(10s, 20s, 1));
  const auto late = directory.Merge(Whole(1, {Entry("s1"), Entry("s2"), Entry("s4")}), Requested(19s, 22s));
  CHECK(late.verdict == ListVerdict::kOlder);
  CHECK(late.named.empty());
  CHECK_FALSE(directory.IsServing("s1"));
  CHECK(directory.Get("s1").out_since == 20s);
  CHECK(directory.Get("s2").started == 50s);
  CHECK(directory.Get("s2").endpoint == "127.0.0.1:7");
  CHECK(directory.IsServing("s3"));
  CHECK_FALSE(directory.Find("s4"));
  CHECK(directory.held() == 2);
  // A newer update that puts the server in service is applied at once.
  CHECK(directory.Merge(Changes(3, {Entry("s1")}), Requested(20s, 24s, 2)).verdict ==
        ListVerdict::kApplied);
  CHECK(directory.IsServing("s1"));
}

TEST_CASE("the lists of one history lead to the same state in any order, also repeated or in parts") {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&](int n) { return static_cast<int>(random() % static_cast<std::uint32_t>(n)); };
    // The true state at each version, and the lists that contain it.
    std::map<std::string, ServerEntry> truth = {{"s1", Entry("s1")}, {"s2", Entry("s2")}};
    std::vector<ServerList> lists;
    std::int64_t version = 1;
    std::map<std::string, ServerEntry> changed;  // since version 1
    for (int step = 0; step < 8; ++step) {
      ++version;
      const std::string uid = "s" + std::to_string(1 + draw(4));
      const Availability state = draw(3) == 0 ? kDraining : draw(4) == 0 ? kRemoved : kUp;
      changed[uid] = Entry(uid, state, Time(std::chrono::seconds(draw(3) * version)));
      truth[uid] = changed[uid];
      if (state == kRemoved) truth.erase(uid);
      std::vector<ServerEntry> all, since;
      for (const auto& [name, entry] : truth) all.push_back(entry);
      for (const auto& [name, entry] : changed) since.push_back(entry);
      lists.push_back(draw(2) == 0 ? Whole(version, all) : Changes(version, since));
    }
    lists.push_back(lists[static_cast<std::size_t>(draw(8))]);
    const ServerList last = lists[7];
    std::shuffle(lists.begin(), lists.end(), random);
    Directory directory;
    Time now = 10s;
    for (const ServerList& list : lists) {
      now += 1s;
      // Every list was requested before any arrived, so any of them may be late.
      if (draw(3) == 0)
        directory.MergePart(list, Requested(2s, now, list.is_whole ? std::nullopt : std::optional(1)));
      directory.Merge(list, Requested(2s, now, list.is_whole ? std::nullopt : std::optional(1)));
    }
    CHECK(directory.held() == version);
    for (int n = 1; n <= 4; ++n) {
      const std::string uid = "s" + std::to_string(n);
      const auto id = directory.Find(uid);
      const bool there = truth.contains(uid);
      REQUIRE((id && directory.At(*id).availability != kRemoved) == there);
      if (!there) continue;
      CHECK(directory.At(*id).availability == truth[uid].availability);
      CHECK(directory.At(*id).started == truth[uid].started);
    }
  }
}

TEST_CASE("the grace period of a drain runs once, from its first notification") {
  Directory directory;
  const auto since = [&] { return directory.Get("s1").out_since; };
  directory.MergePart(Changes(2, {Entry("s1", kDraining)}), Requested(10s, 20s, 1));
  CHECK(since() == 20s);
  directory.Merge(Changes(2, {Entry("s1", kDraining)}),
                  Requested(10s, 21s, 1));  // in part, then completely
  directory.Merge(Changes(3, {Entry("s1", kDraining, 0s, "127.0.0.1:9")}),
                  Requested(21s, 22s, 2));  // it moves
  directory.Suspend("s1");
  directory.ApplyOperatorState("s1", 23s);
  directory.Resume("s1");
  directory.ReturnToService("s1", 24s);
  directory.ApplyOperatorState("s1", 24s);
  directory.Merge(Changes(4, {Entry("s1", kRemoved)}), Requested(24s, 25s, 3));
  directory.Merge(Whole(5, {Entry("s2")}), Requested(25s, 26s));  // removed by its absence too
  CHECK(since() == 20s);
  CHECK_FALSE(directory.Serving(*directory.Find("s1"), 21s + 1ms, 1s));
  directory.Merge(Whole(6, {Entry("s1"), Entry("s2")}), Requested(26s, 27s));
  CHECK(directory.IsServing("s1"));
  directory.Merge(Whole(7, {Entry("s1", kDraining), Entry("s2")}), Requested(27s, 28s));
  CHECK(since() == 28s);  // another drain
}

TEST_CASE("of changes without their base and of parts only drains and removals are applied") {
  Directory directory;
  const ServerList changes =
      Changes(9, {Entry("s1", kDraining), Entry("s2", kUp, 50s, "127.0.0.1:7"), Entry("s3")});
  const bool partial = GENERATE(true, false);
  const auto update = partial ? directory.MergePart(changes, Requested(10s, 11s, 1))
                              : directory.Merge(changes, Requested(10s, 11s, 8));
  CHECK(update.verdict == (partial ? ListVerdict::kPartApplied : ListVerdict::kNoBase));
  CHECK(directory.held() == 1);
  CHECK_FALSE(directory.IsServing("s1"));
  CHECK(directory.Get("s2").started == 0s);
  CHECK_FALSE(directory.Find("s3"));
  // A whole list of an intermediate version does not contain the drain yet.
  directory.Merge(Whole(5, {Entry("s1"), Entry("s2")}), Requested(10s, 12s));
  CHECK_FALSE(directory.IsServing("s1"));
  directory.Merge(Whole(9, {Entry("s1", kDraining), Entry("s2")}), Requested(12s, 13s));
  CHECK(directory.MergePart(Changes(8, {Entry("s2", kDraining)}), Requested(12s, 13s, 1)).verdict ==
        ListVerdict::kNotNewer);
  CHECK(directory.IsServing("s2"));
}

TEST_CASE(
    "a source that lags undoes nothing, and servers it reports draining are out of service until a newer "
    "update") {
  Directory directory;
  directory.Merge(Whole(5, {Entry("s1"), Entry("s2"), Entry("s3", kDraining)}), Requested(10s, 11s));
  const auto lagging =
      directory.Merge(Whole(4, {Entry("s1", kDraining), Entry("s2"), Entry("s3")}), Requested(12s, 13s));
  CHECK(lagging.verdict == ListVerdict::kDoubted);
  CHECK(directory.held() == 5);
  CHECK_FALSE(directory.IsServing("s3"));
  CHECK(directory.Get("s3").out_since == 11s);
  CHECK_FALSE(directory.IsServing("s1"));
  CHECK(directory.IsServing("s2"));
  // The last server stays in service, whatever the older list contains.
  directory.Merge(Whole(4, {Entry("s1", kDraining), Entry("s2", kDraining)}), Requested(13s, 14s));
  CHECK(directory.IsServing("s2"));
  directory.Merge(Changes(5, {}), Requested(14s, 15s, 5));
  CHECK(directory.IsServing("s1"));
  CHECK_FALSE(directory.in_doubt());
}

TEST_CASE("the lower versions of a restarted discovery are applied once no other list arrives for 6 s") {
  Directory directory;
  directory.Merge(Whole(50, {Entry("s1", kUp, 9s), Entry("s2"), Entry("s3")}), Requested(10s, 11s));
  const auto ask = [&](int version, std::vector<ServerEntry> entries, Time begun) {
    return directory.Merge(Whole(version, std::move(entries)), Requested(begun, begun + 100ms)).verdict;
  };
  CHECK(ask(2, {Entry("s1"), Entry("s2")}, 20s) == ListVerdict::kDoubted);
  // Its drains are applied meanwhile, and so are removals of servers that it has named.
  CHECK(ask(3, {Entry("s1", kDraining), Entry("s2")}, 21s) == ListVerdict::kDoubted);
  CHECK_FALSE(directory.IsServing("s1"));
  CHECK(directory.IsServing("s3"));
  CHECK(ask(3, {Entry("s1", kDraining), Entry("s2")}, 25s) == ListVerdict::kDoubted);
  CHECK(ask(4, {}, 26s) == ListVerdict::kDoubted);  // no server left in service
  CHECK(ask(4, {Entry("s1", kDraining), Entry("s2"), Entry("s4")}, 26s) == ListVerdict::kRestartApplied);
  CHECK(directory.held() == 4);
  CHECK(directory.Get("s1").out_since == 21s + 100ms);
  CHECK(directory.Get("s1").started == 9s);
  CHECK(directory.Get("s3").availability == kRemoved);
  CHECK(directory.IsServing("s4"));
  // A list that was requested before the restart has unrelated versions.
  CHECK(ask(60, {Entry("s1"), Entry("s3")}, 22s) == ListVerdict::kOlder);
  CHECK(ask(5, {Entry("s1"), Entry("s2")}, 27s) == ListVerdict::kApplied);
  CHECK(directory.IsServing("s1"));
}

TEST_CASE("an answer that is not older ends the doubt and resets the evidence of a restart") {
  Directory directory;
  directory.Merge(Whole(50, {Entry("s1"), Entry("s2")}), Requested(10s, 11s));
  for (Time begun = 20s; begun < 60s; begun += 2s) {
    CHECK(directory.Merge(Whole(2, {Entry("s1")}), Requested(begun, begun + 1s)).verdict ==
          ListVerdict::kDoubted);
    if (begun % 4s == 0s) directory.Merge(Changes(50, {}), Requested(begun, begun + 1s, 50));
  }
  CHECK(directory.held() == 50);
}

TEST_CASE(
    "discovery overrides a configured list of its version, and of two lists of one version the safer state "
    "holds") {
  Directory directory;
  directory.Merge(Whole(1, {Entry("s1", kUp, 5s, "127.0.0.1:9")}), Requested(1s, 2s));
  CHECK(directory.Get("s1").endpoint == "127.0.0.1:9");
  CHECK(directory.Get("s2").availability == kRemoved);
  // Two different lists of one version: the safer state is used, whichever arrives first.
  directory.Merge(Whole(1, {Entry("s1", kDraining, 5s), Entry("s2")}), Requested(2s, 3s));
  directory.Merge(Whole(1, {Entry("s1", kUp, 5s), Entry("s2")}), Requested(3s, 4s));
  CHECK_FALSE(directory.IsServing("s1"));
}

TEST_CASE("an older list does not bring back a forgotten server, and its id is reused") {
  Directory directory;
  directory.Merge(Whole(2, {Entry("s2")}), Requested(1s, 2s));
  const ServerId id = *directory.Find("s1");
  REQUIRE(directory.RemovedBefore(id, 2s));
  directory.Forget(id);
  directory.Merge(Whole(1, {Entry("s1"), Entry("s2")}), Requested(1s, 30s));
  CHECK_FALSE(directory.Find("s1"));
  directory.Merge(Whole(3, {Entry("s2", kUp, 40s), Entry("s5")}), Requested(30s, 41s));
  CHECK(directory.Find("s5") == id);
  CHECK(directory.Get("s2").start_count == 2);
}

TEST_CASE("the availability record orders drains by version, whatever the order of arrival") {
  AvailabilityRecord record;
  record.RecordList(Whole(1, {Entry("s1"), Entry("s2")}), 1s);
  record.RecordPart(Changes(3, {Entry("s1", kDraining), Entry("s2")}), 10s);
  CHECK(record.MaySend("s1", 10s + 900ms, 1s));
  CHECK_FALSE(record.MaySend("s1", 11s, 1s));
  record.RecordList(Whole(2, {Entry("s1"), Entry("s2")}), 12s);
  CHECK_FALSE(record.MaySend("s1", 12s, 1s));
  record.RecordList(Whole(4, {Entry("s2")}), 13s);  // removed: the same drain
  CHECK_FALSE(record.MaySend("s1", 13s, 1s));
  record.RecordList(Changes(5, {Entry("s1")}), 14s);
  CHECK(record.MaySend("s1", 20s, 1s));
  CHECK(record.MaySend("never listed", 20s, 1s));
}
