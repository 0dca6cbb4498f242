// The bench adapter: each kind of event, and each kind of invalid input.
#include "link.h"

#include <gtest/gtest.h>

namespace beechledge::benchlink {
namespace {

constexpr const char* kId = "5d3a91c4-d739-4ca5-ab77-619d81dd7827";

class LinkTest : public ::testing::Test {
 protected:
  std::string Batch(const std::string& clock, const std::vector<std::string>& lines) {
    std::string reply;
    link.Feed("{\"TICK\":{\"clock\":" + clock + "}}", reply, notes);
    for (const std::string& line : lines) link.Feed(line, reply, notes);
    EXPECT_TRUE(reply.empty());
    link.Feed("{\"EOB\":{}}", reply, notes);
    return reply;
  }
  std::string Attach(const std::string& who = "3", const std::string& members = "") {
    return Batch(
        "1000",
        {R"({"ATTACH":{"who":)" + who + R"(,"nonce64":9223372036854775808,"options":{"later":1,)" +
             R"("classes":[{"aim":250000000,"effect":"free","give_up":1000000000}],)" +
             R"("allowed":{"max_attempts":3}}}})",
         R"({"BACKENDS_CHANGED":{"who":)" + who + R"(,"how":"remembered","gen":1,"members":[)" +
             (members.empty() ? R"({"node":"n1","availability":"up","scale":1})" : members) + "]}}"});
  }
  std::string Ask(const std::string& id = kId) {
    return R"({"ASK":{"who":3,"req":")" + id + R"(","band":0,"item":"k","ttl":240000000}})";
  }
  std::string Result(const std::string& reason, const std::string& extra = "") {
    return std::string(R"({"RESULT":{"who":3,"req":")") + kId +
           R"(","node":"n1","seq_no":0,"duration":18500000,)" + R"("reason":)" + reason + extra + "}}";
  }
  std::string Refused(const std::string& line) {
    std::string reply;
    try {
      link.Feed(line, reply, notes);
    } catch (const BadInput& e) {
      EXPECT_TRUE(reply.empty());
      return e.what();
    }
    return "";
  }

  Link link;
  std::string notes;
};

TEST_F(LinkTest, AnEmptyBatchGetsAnEmptyReply) { EXPECT_EQ(Batch("1", {}), "{\"READY\":{}}\n"); }

TEST_F(LinkTest, ARequestIsRoutedAndItsTimerSet) {
  Attach();
  const std::string reply = Batch("2000", {Ask()});
  EXPECT_NE(reply.find(std::string(R"({"ROUTE":{"who":3,"req":")") + kId + R"(","node":"n1")"), reply.npos)
      << reply;
  EXPECT_NE(reply.find(R"("time":240002000)"), reply.npos) << reply;
}

TEST_F(LinkTest, ARequestIsErasedOnceEndedAndItsAttemptsHaveOutcomes) {
  Attach();
  Batch("2000", {Ask()});
  EXPECT_EQ(link.open_requests(), 1u);
  Batch("3000", {Result("10", R"(,"complete":true,"info":1,"metrics":{"eps":0.5,"queue":3})")});
  EXPECT_EQ(link.open_requests(), 0u);
  Batch("3500", {std::string(R"({"CLIENT_GONE":{"who":3,"req":")") + kId + "\"}}"});
}

TEST_F(LinkTest, AnOutcomeAfterTheEndIsAccepted) {
  Attach();
  Batch("2000", {Ask()});
  Batch("3000", {std::string(R"({"CLIENT_GONE":{"who":3,"req":")") + kId + "\"}}"});
  EXPECT_EQ(link.open_requests(), 1u);
  EXPECT_EQ(Batch("4000", {Result("40", R"(,"complete":true)")}), "{\"READY\":{}}\n");
  EXPECT_EQ(link.open_requests(), 0u);
}

TEST_F(LinkTest, AllOtherEventsAreAccepted) {
  Attach();
  Batch("2000", {R"({"FIRED":{"who":3,"ref":9223372036854775808}})",
                 R"({"PONG":{"who":3,"node":"n1","reason":10,"duration":5,"metrics":{"queue":1}}})",
                 std::string(R"({"HEAD_RECEIVED":{"who":3,"req":")") + kId +
                     R"(","seq_no":0,"node":"n1","duration":1}})",
                 R"({"NEIGHBOUR_SAYS":{"who":3,"src_peer":1,"raw":"hi"}})",
                 R"({"BACKENDS_CHANGED":{"who":3,"how":"refused","gen":0}})"});
  EXPECT_TRUE(notes.empty()) << notes;
}

TEST_F(LinkTest, KillAndAttachInOneBatch) {
  Attach();
  Batch("2000", {Ask()});
  const std::string reply =
      Batch("3000", {R"({"KILL":{"who":3}})", R"({"ATTACH":{"who":3,"nonce64":1,"options":{}}})",
                     R"({"BACKENDS_CHANGED":{"who":3,"how":"remembered","gen":1,"members":[]}})"});
  EXPECT_EQ(reply, "{\"READY\":{}}\n");
  EXPECT_EQ(link.open_requests(), 0u);
}

TEST_F(LinkTest, UnknownEventsAndInstancesAreIgnoredWithANote) {
  Attach();
  EXPECT_EQ(Batch("2000", {R"({"WEATHER":{"who":3}})", R"({"FIRED":{"who":8,"ref":1}})"}),
            "{\"READY\":{}}\n");
  EXPECT_NE(notes.find("WEATHER"), notes.npos);
  EXPECT_NE(notes.find("instance 8"), notes.npos);
}

TEST_F(LinkTest, InvalidInputIsReportedWithItsLine) {
  EXPECT_NE(Refused("{\"TICK\":").find("line 1: expected a JSON value"), std::string::npos);
  EXPECT_NE(Refused("[1]").find("line 2: expected an object"), std::string::npos);
  EXPECT_NE(Refused(R"({"FIRED":{"who":3,"ref":1}})").find("expected TICK before FIRED"),
            std::string::npos);
  EXPECT_NE(Refused(R"({"TICK":{"clock":"soon"}})").find("clock as an integer"), std::string::npos);
}

TEST_F(LinkTest, RequiredFieldsMustBePresentAndOfTheirType) {
  Attach();
  std::string reply;
  link.Feed(R"({"TICK":{"clock":5000}})", reply, notes);
  EXPECT_NE(Refused(R"({"ASK":{"who":3,"req":"x","band":0}})").find("ASK with ttl"), std::string::npos);
  EXPECT_NE(Refused(R"({"ASK":{"who":3,"req":7,"band":0,"ttl":5}})").find("ASK with req"),
            std::string::npos);
  EXPECT_NE(Refused(R"({"FIRED":{"who":3,"ref":-1}})").find("FIRED with ref"), std::string::npos);
  EXPECT_NE(Refused(R"({"RESULT":{"who":3,"req":"x","node":"n1","seq_no":0,"duration":1,"reason":11}})")
                .find("a known outcome"),
            std::string::npos);
  EXPECT_NE(Refused(R"({"BACKENDS_CHANGED":{"who":3,"how":"all","gen":1,"members":[{"node":"n1"}]}})")
                .find("availability"),
            std::string::npos);
  EXPECT_NE(Refused(std::string("{\"ASK\":{\"who\":3,\"req\":\"\xff\"}}")).find("JSON"), std::string::npos);
  EXPECT_NE(Refused(std::string(3000, '[')).find("JSON"), std::string::npos);
}

}  // namespace
}  // namespace beechledge::benchlink
