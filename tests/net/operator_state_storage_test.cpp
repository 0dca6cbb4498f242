// The operator state on a disk that is full, stalled or holds half a file, and the parts that store it.
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "admin_router.h"
#include "state/atomic_file.h"
#include "state/disk_thread.h"

using namespace brasswood;
using namespace brasswood::testing;

TEST_CASE("a suspension that cannot be stored takes effect, its answer says so, and it is stored later") {
  AdminRouter r;
  // Now the file exists, without s1.
  REQUIRE(Status(Post(r.process.admin_address, "/v1/cache-servers/s0/suspend")) == 200);
  // The temporary file cannot be written where a directory has its name.
  const std::string temporary =
      r.directory + "/brasswood-n1.operator." + std::to_string(r.process.pid) + ".new";
  std::filesystem::create_directories(temporary + "/in-the-way");
  const std::string answer = Post(r.process.admin_address, "/v1/cache-servers/s1/suspend");
  CHECK(Status(answer) == 200);
  CHECK(answer.find("held in memory only, not stored") != std::string::npos);
  // The file, which is read every 250 ms, does not undo it.
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  CHECK(Get(r.process.admin_address, "/v1/metrics").find("router.skipped_cache_servers:2|g\n") !=
        std::string::npos);
  std::filesystem::remove_all(temporary);
  // It is retried until the disk takes it, however long a write takes there.
  CHECK_FALSE(r.process.err.ReadUntil("\n", "operator state is stored again").empty());
  Process second = r.StartProcess();
  CHECK(Get(second.admin_address, "/v1/metrics").find("router.skipped_cache_servers:2|g\n") !=
        std::string::npos);
  // The answer of a call says when it is stored; a write that takes longer than 300 ms is only in memory.
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTimeoutMs);
  while (Post(r.process.admin_address, "/v1/cache-servers/s1/resume").find("not stored") !=
         std::string::npos)
    REQUIRE(std::chrono::steady_clock::now() < give_up);
}

// The file is replaced by a pipe without a writer: opening it for reading blocks, as on a disk that does
// not answer.
TEST_CASE(
    "a stalled disk delays no call, no request and no exit, and the suspension is stored once it works") {
  AdminRouter r;
  REQUIRE(Status(Post(r.process.admin_address, "/v1/cache-servers/s0/suspend")) == 200);
  const std::string file = r.directory + "/brasswood-n1.operator";
  REQUIRE(::unlink(file.c_str()) == 0);
  REQUIRE(::mkfifo(file.c_str(), 0600) == 0);
  // The next read is stuck.
  while (r.process.err.ReadUntil("\n").find("the disk does not answer") == std::string::npos) {
  }
  const std::string answer = Post(r.process.admin_address, "/v1/cache-servers/s0/resume");
  CHECK(Status(answer) == 200);
  CHECK(answer.find("not stored: the disk does not answer") != std::string::npos);
  CHECK(Status(Post(r.process.admin_address, "/v1/cache-servers/s0/suspend")) == 200);
  CHECK(Get(r.process.admin_address, "/v1/metrics").find("router.skipped_cache_servers:1|g\n") !=
        std::string::npos);
  Fd client = r.Connect(r.process);
  client.Write(ReadCommand("k", "a1"));
  Fd attempt = r.nodes[FirstConnected({&r.nodes[0], &r.nodes[1]})].Accept();
  CHECK(attempt.ReadLine().starts_with("mg k v Oa1"));
  attempt.Write("VA 1 Oa1\r\nx\r\n");
  CHECK(client.ReadLine() == "VA 1 Oa1\r\n");
  SECTION("the exit does not wait for the disk") {
    REQUIRE(::kill(r.process.pid, SIGTERM) == 0);
    CHECK(r.process.Wait() == 0);
  }
  SECTION("the latest change is stored when the disk answers again") {
    Fd back(::open(file.c_str(), O_WRONLY | O_CLOEXEC));
    back.Close();
    while (r.process.err.ReadUntil("\n").find("operator state is stored again") == std::string::npos) {
    }
    Process second = r.StartProcess();
    CHECK(Get(second.admin_address, "/v1/metrics").find("router.skipped_cache_servers:1|g\n") !=
          std::string::npos);
  }
}

// Guards against a drain that is taken for one of an earlier process, because the state is read late.
TEST_CASE("a drain that is called before the stored state could be read holds once it is read") {
  char path[] = "/tmp/brasswood-door-XXXXXX";
  REQUIRE(::mkdtemp(path) != nullptr);
  const std::string file = std::string(path) + "/brasswood-n1.operator";
  REQUIRE(::mkfifo(file.c_str(), 0600) == 0);  // its reader is stuck until there is a writer
  AdminRouter r(path);
  REQUIRE(Status(Post(r.process.admin_address, "/v1/router/drain")) == 200);
  Fd writer(::open(file.c_str(), O_WRONLY | O_CLOEXEC));
  writer.Close();
  CHECK_FALSE(r.process.err.ReadUntil("\n", "operator state ignored").empty());
  std::this_thread::sleep_for(std::chrono::milliseconds(700));  // it is stored and read again
  CHECK(Status(Get(r.process.admin_address, "/v1/readyz")) == 503);
}

TEST_CASE("the disk thread runs only the latest waiting work of a name, and delivers results on request") {
  DiskThread disk;
  std::mutex disk_busy;
  std::vector<int> done, delivered;
  disk_busy.lock();
  disk.Submit("a", [&]() -> DiskThread::Completion {
    const std::lock_guard wait(disk_busy);
    return [&] { delivered.push_back(0); };
  });
  while (disk.RunningFor().count() == 0) std::this_thread::yield();
  for (int i = 1; i <= 1000; ++i) {
    disk.Submit("b", [&, i]() -> DiskThread::Completion {
      done.push_back(i);
      return [&, i] { delivered.push_back(i); };
    });
  }
  CHECK(disk.IsPending("a"));
  CHECK(disk.IsPending("b"));
  disk.RunCompletions();
  CHECK(delivered.empty());
  disk_busy.unlock();
  while (disk.IsPending("b")) std::this_thread::yield();
  disk.RunCompletions();
  CHECK(done == std::vector<int>{1000});
  CHECK(delivered == std::vector<int>{0, 1000});
}

TEST_CASE("a file is written completely or stays as it was") {
  AdminRouter r;  // for its directory
  const std::string path = r.directory + "/kept";
  std::string why;
  CHECK_FALSE(ReadFile(path, 10, why));
  CHECK(why.empty());
  REQUIRE(WriteFileAtomically(path, "one", why));
  CHECK(ReadFile(path, 10, why) == "one");
  CHECK_FALSE(ReadFile(path, 2, why));
  CHECK(why.find("too large") != std::string::npos);
  std::filesystem::create_directories(path + "." + std::to_string(::getpid()) + ".new/in-the-way");
  CHECK_FALSE(WriteFileAtomically(path, "two", why));
  CHECK_FALSE(why.empty());
  CHECK(ReadFile(path, 10, why) == "one");
}

TEST_CASE("an incomplete state file is ignored, and the router starts") {
  char path[] = "/tmp/brasswood-door-XXXXXX";
  REQUIRE(::mkdtemp(path) != nullptr);
  std::ofstream(std::string(path) + "/brasswood-n1.operator")
      << "brasswood operator state 1\nsuspended s0\n";
  AdminRouter r(path);
  REQUIRE_FALSE(r.process.admin_address.empty());
  CHECK(Get(r.process.admin_address, "/v1/metrics").find("router.skipped_cache_servers:0|g\n") !=
        std::string::npos);
}
