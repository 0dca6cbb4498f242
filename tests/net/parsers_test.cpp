// The parsers, as tables of cases. Each complete message is also parsed truncated at every byte: no prefix
// of it may be accepted as complete.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "protocol/discovery.h"
#include "protocol/http.h"
#include "protocol/labels.h"
#include "protocol/meta.h"

using namespace brasswood;
using namespace std::chrono_literals;
using beechledge::Note;
using beechledge::Result;

namespace {

Limits Small() {
  Limits l;
  l.max_line = 120;
  l.max_value = 40;
  l.max_http_head = 200;
  l.max_retry_after = 2s;
  return l;
}
const Limits kLimits = Small();
const RequestContent kRead{"id7", "k", "c=read,d=480", "", false};
const RequestContent kWrite{"id7", "k", "", "hello", true};

std::string Chunked(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
}
std::string Sized(const std::string& status, const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n" + more +
         "\r\n" + body;
}

}  // namespace

TEST_CASE("commands from clients") {
  struct Case {
    std::string in;
    Parsed parsed;
    Verb verb = Verb::kUnknown;
    std::string key = "", id = "", value = "";
  };
  const std::string long_key(251, 'k');
  const std::vector<Case> cases = {
      {"mg k v Oa1 Pc=read,d=480\r\n", Parsed::kDone, Verb::kRequest, "k", "a1", ""},
      {"ms k 5 Oa1 Pc=put\r\nhello\r\n", Parsed::kDone, Verb::kRequest, "k", "a1", "hello"},
      {"ms k 4 Oa1\r\n\r\n\r\n\r\n", Parsed::kDone, Verb::kRequest, "k", "a1", "\r\n\r\n"},
      {"ms k 0 Oa1\r\n\r\n", Parsed::kDone, Verb::kRequest, "k", "a1", ""},
      {"mn\r\n", Parsed::kDone, Verb::kNoop},
      {"quit\r\n", Parsed::kDone, Verb::kQuit},
      {"get k\r\n", Parsed::kDone, Verb::kUnknown},
      {"\r\n", Parsed::kDone, Verb::kUnknown},
      {"mg k v\r\n", Parsed::kDone, Verb::kMalformed},
      {"mg  Oa1\r\n", Parsed::kDone, Verb::kMalformed},
      {"mg k\tk v Oa1\r\n", Parsed::kDone, Verb::kMalformed},
      {"mg k v Oa1 P\x01\r\n", Parsed::kDone, Verb::kMalformed},
      {"mg k v Oa1 Ob2 Pc=read\r\n", Parsed::kDone, Verb::kMalformed},  // ambiguous
      {"mg k v Oa1 Pc=read Pc=put\r\n", Parsed::kDone, Verb::kMalformed},
      {"mg k v Oa1 Pc=read Oa1 Pc=read\r\n", Parsed::kDone, Verb::kRequest, "k", "a1", ""},
      {"ms k 2\r\nab\r\n", Parsed::kDone,
       Verb::kMalformed},  // the framing is intact: only this command fails
      {"ms k 41 Oa1\r\n", Parsed::kBad},
      {"ms k x Oa1\r\n", Parsed::kBad},
      {"ms k -1 Oa1\r\n", Parsed::kBad},
      {"ms k 99999999999999999999 Oa1\r\n", Parsed::kBad},
      {"ms k 2 Oa1\r\nabcd", Parsed::kBad},
      {std::string(123, 'x'), Parsed::kBad},
      {"mg k v Oa1 no end", Parsed::kMore},
      {"mg k v Oa1\n", Parsed::kMore},
  };
  for (const Case& c : cases) {
    INFO(c.in);
    std::size_t used = 0;
    Command command;
    REQUIRE(ParseCommand(c.in, kLimits, used, command) == c.parsed);
    if (c.parsed == Parsed::kBad) CHECK_FALSE(command.error.empty());
    if (c.parsed != Parsed::kDone) continue;
    CHECK(used == c.in.size());
    CHECK(command.verb == c.verb);
    if (c.verb == Verb::kRequest) {
      CHECK(command.content.key == c.key);
      CHECK(command.content.id == c.id);
      CHECK(command.content.value == c.value);
    }
    for (std::size_t n = 0; n < c.in.size(); ++n) {
      CHECK(ParseCommand(std::string_view(c.in).substr(0, n), kLimits, used, command) == Parsed::kMore);
    }
  }
  Limits wide;
  std::size_t used = 0;
  Command command;
  REQUIRE(ParseCommand("mg " + long_key + " v Oa\r\n", wide, used, command) == Parsed::kDone);
  CHECK(command.verb == Verb::kMalformed);
}

TEST_CASE("labels describe a request, unknown names are ignored, and invalid values are refused") {
  const SettingNames names{{"read", "put"}, {"acme", "zeta"}, {}, {}};
  struct Case {
    std::string labels;
    int request_class, tenant;
    Duration wait;
    bool repeat;
    std::string error = "";
  };
  for (const Case& c :
       std::vector<Case>{{"c=put,t=zeta,d=480,r=1", 1, 1, 480ms, true},
                         {"c=read,later=7,d=0", 0, 0, 0ms, false},
                         {"c=put,t=who", 1, 0, kLimits.default_deadline, false},
                         {"c=put,d=18446744073709551615", 1, 0, kLimits.max_deadline, false},
                         {"c=put,c=put,size=nan,x", 1, 0, kLimits.default_deadline, false},
                         {"", -1, 0, kLimits.default_deadline, false, "unknown class"},
                         {",,=,c", -1, 0, kLimits.default_deadline, false, "unknown class"},
                         {"c=what,d=5", -1, 0, 5ms, false, "unknown class"},
                         {"c=read,d=-5", 0, 0, 0ms, false, "bad deadline"},
                         {"c=read,d=soon", 0, 0, 0ms, false, "bad deadline"},
                         {"c=read,d=", 0, 0, 0ms, false, "bad deadline"},
                         {"c=read,d=5,d=6", 0, 0, 6ms, false, "labels that disagree"}}) {
    INFO(c.labels);
    NewRequest request;
    CHECK(BuildRequest({"i", "k", c.labels, "", false}, names, kLimits, request) == c.error);
    CHECK_FALSE(request.size_hint);
    CHECK(request.request_class == c.request_class);
    CHECK(request.tenant == c.tenant);
    CHECK(request.wait == c.wait);
    CHECK(request.repeat == c.repeat);
    CHECK(request.content->labels == c.labels);
  }
}

TEST_CASE("formatted messages") {
  CHECK(WriteAttempt(kRead, 123999us) == "mg k v Oid7 Pc=read,d=123\r\n");
  CHECK(WriteAttempt(kRead, 1us) == "mg k v Oid7 Pc=read,d=1\r\n");  // 0 could mean no limit
  CHECK(WriteAttempt(kWrite, 1s) == "ms k 5 Oid7\r\nhello\r\n");
  CHECK(WriteOriginAttempt("h:1", {"i", "a/b c", "t=x", "v", true}, 1s) ==
        "PUT /a%2Fb%20c HTTP/1.1\r\nHost: h:1\r\nX-Txn: i\r\nX-Labels: t=x\r\nContent-Length: 1\r\n\r\nv");
  for (const auto& [labels, sent_labels] : {std::pair{"c=read,d=4000", "c=read,d=123"},
                                            {"d=4000,c=read", "d=123,c=read"},
                                            {"d=4000,t=d,d=4000,late=4000", "d=123,t=d,d=123,late=4000"},
                                            {"c=read", "c=read"},
                                            {",,flag,c=read,", ",,flag,c=read,"}}) {
    CHECK(LabelsWithin(labels, 123999us) == sent_labels);
    CHECK(WriteAttempt({"i", "k", labels, "", false}, 123999us) ==
          std::string("mg k v Oi P") + sent_labels + "\r\n");
    CHECK(WriteOriginAttempt("h:1", {"i", "k", labels, "", false}, 123999us) ==
          std::string("GET /k HTTP/1.1\r\nHost: h:1\r\nX-Txn: i\r\nX-Labels: ") + sent_labels + "\r\n\r\n");
  }
  CHECK(ListPath(41, 4s) == "/api/targets?since=41&timeout_ms=4000");
  CHECK(ListPath(std::nullopt, 4s) == "/api/targets");
  std::string out;
  AppendAnswer(out, "i", {AnswerKind::kValue, "a\r\nb", {}}, kLimits);
  AppendAnswer(out, "i", {AnswerKind::kReceipt, "r9", {}}, kLimits);
  AppendAnswer(out, "i", {AnswerKind::kRefused, "", 150ms}, kLimits);
  AppendAnswer(out, "i", {AnswerKind::kRefused, "", 9s}, kLimits);
  AppendAnswer(out, "i", {AnswerKind::kRefused, "", 9s}, Limits());  // where no delay may be stated
  AppendAnswer(out, "i", {AnswerKind::kFailed, "", {}}, kLimits);
  CHECK(out ==
        "VA 4 Oi\r\na\r\nb\r\nHD Oi cr9\r\nSERVER_ERROR busy 150\r\nSERVER_ERROR busy 2000\r\n"
        "SERVER_ERROR busy\r\nSERVER_ERROR failed\r\n");
}

TEST_CASE("answers from cache servers") {
  struct Case {
    RequestContent request;
    std::string in;
    Parsed parsed;
    Result result = Result::kOk;
    std::string body = "";
    Note note = Note::kNone;
  };
  const std::vector<Case> cases = {
      {kRead, "VA 3 Oid7\r\nabc\r\n", Parsed::kDone, Result::kOk, "abc"},
      {kRead, "VA 0 Oid7 h1\r\n\r\n", Parsed::kDone, Result::kOk, "", Note::kHit},
      {kRead, "EN Oid7\r\n", Parsed::kDone, Result::kMiss},
      {kRead, "EN Oid7 h0 Z\r\n", Parsed::kDone, Result::kMiss, "", Note::kMissFetching},
      {kRead, "SERVER_ERROR busy\r\n", Parsed::kDone, Result::kRejected},
      {kRead, "SERVER_ERROR failed\r\n", Parsed::kDone, Result::kError},
      {kWrite, "HD Oid7 cr1\r\n", Parsed::kDone, Result::kOk, "r1"},
      {kRead, "VA 3 Oother\r\nabc\r\n", Parsed::kBad},  // the answer to another request
      {kRead, "VA 3\r\nabc\r\n", Parsed::kBad},
      {kRead, "VA 41 Oid7\r\n", Parsed::kBad},
      {kRead, "VA 2 Oid7\r\nabc\r\n", Parsed::kBad},
      {kRead, "HD Oid7 cr1\r\n", Parsed::kBad},
      {kWrite, "HD Oid7\r\n", Parsed::kBad},
      {kWrite, "VA 1 Oid7\r\nx\r\n", Parsed::kBad},
      {kRead, "CLIENT_ERROR no\r\n", Parsed::kBad},
      {kRead, std::string(200, 'V'), Parsed::kBad},
  };
  for (const Case& c : cases) {
    INFO(c.in);
    std::size_t used = 0;
    AttemptResult end;
    REQUIRE(ParseAttemptReply(c.in, c.request, kLimits, used, end) == c.parsed);
    if (c.parsed != Parsed::kDone) continue;
    CHECK(used == c.in.size());
    CHECK(end.result == c.result);
    CHECK(end.body == c.body);
    CHECK(end.note == c.note);
    for (std::size_t n = 0; n < c.in.size(); ++n) {
      CHECK(ParseAttemptReply(std::string_view(c.in).substr(0, n), c.request, kLimits, used, end) ==
            Parsed::kMore);
    }
  }
  std::size_t used = 0;
  AttemptResult end;
  CHECK(ParseProbeReply("MN\r\n", false, kLimits, used, end) == Parsed::kDone);
  CHECK(ParseProbeReply("ERROR\r\n", false, kLimits, used, end) == Parsed::kBad);
  CHECK(ParseProbeReply("STAT queue 3\r\n", true, kLimits, used, end) == Parsed::kMore);
  REQUIRE(ParseProbeReply("STAT queue 3\r\nSTAT new 1\r\nEND\r\n", true, kLimits, used, end) ==
          Parsed::kDone);
  CHECK(end.report->queue == 3);
  for (const char* odd :
       {"nan", "inf", "-1", "1e300", "3x", ""}) {  // invalidates the number, not the answer
    INFO(odd);
    REQUIRE(ParseProbeReply("STAT queue " + std::string(odd) + "\r\nSTAT util 0.5\r\nEND\r\n", true,
                            kLimits, used, end) == Parsed::kDone);
    CHECK_FALSE(end.report->queue);
    CHECK(end.report->util == 0.5);
  }
}

TEST_CASE("HTTP answers") {
  std::string many_interim;
  for (int i = 0; i < 20; ++i) many_interim += "HTTP/1.1 100 Continue\r\n\r\n";
  struct Case {
    std::string in;
    Parsed parsed;
    int status = 200;
    std::string body = "";
    bool keep = true;
    InputEnd end = InputEnd::kOpen;
  };
  const std::string no_length = "HTTP/1.1 200 OK\r\n\r\n";
  std::string one_byte_chunks, many_trailers;
  for (int i = 0; i < 40; ++i) one_byte_chunks += "1\r\nx\r\n";
  for (std::size_t i = 0; i < kLimits.max_http_head; ++i) many_trailers += "A: b\r\n";
  const std::vector<Case> cases = {
      {Sized("200 OK", "abc"), Parsed::kDone, 200, "abc"},
      {Sized("503 Busy", "", "x-turned-away: 1\r\n"), Parsed::kDone, 503},
      {Sized("200 OK", "abc", "Connection: Close\r\n"), Parsed::kDone, 200, "abc", false},
      {Chunked("3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"), Parsed::kDone, 200, "abcde"},
      {Chunked("0\r\nTrailer: x\r\n\r\n"), Parsed::kDone, 200, ""},
      {Chunked(one_byte_chunks + "0\r\n\r\n"), Parsed::kDone, 200, std::string(40, 'x')},
      // More framing than a value needs: it may never end, and would be kept until its attempt does.
      {Chunked("1\r\nx\r\n0\r\n" + many_trailers), Parsed::kBad},
      {Chunked("1;" + std::string(2 * kLimits.max_http_head, 'y') + "\r\nx\r\n"), Parsed::kBad},
      {Chunked("zz\r\n"), Parsed::kBad},
      {Chunked("3\r\nabcde\r\n"), Parsed::kBad},
      {Chunked("29\r\n"), Parsed::kBad},  // past the largest value
      {Chunked("ffffffffffffffff\r\n"), Parsed::kBad},
      {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
           Sized("200 OK", "abc"),
       Parsed::kDone, 200, "abc"},  // interim answers are skipped
      {"HTTP/1.1 101 Switching\r\n\r\n" + Sized("200 OK", "abc"), Parsed::kBad},
      {many_interim + Sized("200 OK", "abc"), Parsed::kBad},
      {no_length + "until the end", Parsed::kMore},
      {no_length + "until the end", Parsed::kDone, 200, "until the end", false, InputEnd::kClosed},
      {no_length, Parsed::kDone, 200, "", false, InputEnd::kClosed},
      {no_length + std::string(41, 'x'), Parsed::kBad},  // past the largest value
      {"HTTP/1.1 204 No Content\r\n\r\n", Parsed::kDone, 204},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc", Parsed::kBad, 200, "", true,
       InputEnd::kClosed},
      {"HTTP/1.1 200 OK\r\nConnection: a, close\r\nContent-Length: 2, 2\r\n\r\nab", Parsed::kDone, 200,
       "ab", false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\nab", Parsed::kBad},
      {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", Parsed::kBad},
      {"HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n", Parsed::kBad},
      {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", Parsed::kBad},
      {"SSH-2.0-x\r\n\r\n", Parsed::kBad},
      {std::string(300, 'H'), Parsed::kBad},
  };
  for (const Case& c : cases) {
    INFO(c.in);
    std::size_t used = 0;
    HttpAnswer answer;
    REQUIRE(ParseHttpAnswer(c.in, kLimits.max_value, kLimits, c.end, used, answer) == c.parsed);
    if (c.parsed != Parsed::kDone) continue;
    CHECK(used == c.in.size());
    CHECK(answer.status == c.status);
    CHECK(answer.body == c.body);
    CHECK(answer.keep_alive == c.keep);
    // A prefix is never accepted as complete, however its connection ends; only an answer without a stated
    // length ends with an orderly close.
    const InputEnd input_end = c.in.starts_with(no_length) ? InputEnd::kOpen : InputEnd::kClosed;
    for (std::size_t n = 0; n < c.in.size(); ++n) {
      const std::string_view part = std::string_view(c.in).substr(0, n);
      CHECK(ParseHttpAnswer(part, kLimits.max_value, kLimits, input_end, used, answer) == Parsed::kMore);
    }
  }
}

TEST_CASE("the origin's answers as outcomes") {
  const auto read = [](int status, bool away, const RequestContent& request, std::string body = "v") {
    return ReadOriginAnswer({status, true, away, "queue=2,x=1", std::move(body)}, request);
  };
  CHECK(read(200, false, kRead).result == Result::kOk);
  CHECK(read(200, false, kWrite, "receipt").body == "receipt");
  CHECK(read(200, false, kWrite, "two words").result == Result::kMalformed);
  CHECK(read(500, false, kRead).result == Result::kError);
  CHECK(read(503, true, kRead).result == Result::kRejected);
  CHECK(read(504, true, kRead).result == Result::kRejected);
  CHECK(read(503, false, kRead).result == Result::kError);  // it may have run
  CHECK(read(500, true, kRead).result == Result::kError);
  CHECK(read(200, false, kRead).report->queue == 2);
  const AttemptResult odd =
      ReadOriginAnswer({200, true, false, "queue=nan,util=0.5,eps=inf,x=", "v"}, kRead);
  CHECK(odd.result == Result::kOk);
  CHECK_FALSE(odd.report->queue);
  CHECK_FALSE(odd.report->eps);
  CHECK(odd.report->util == 0.5);
}

TEST_CASE("server lists are accepted whole or not at all") {
  const SettingNames names{{}, {}, {"a", "b"}, {"m1", "m2"}};
  const std::string good = R"({"uid":"s1","endpoint":"127.0.0.1:5","az":"b","model":"m2","pod_group":3,)"
                           R"("state":"in_service","capacity_hint":1.5,"boot_ms":2000,"later":[{}]})";
  const auto list = [](const std::string& targets) {
    return R"({"rev":41,"all":true,"more":1,"targets":[)" + targets + "]}";
  };
  std::string why;
  const auto read = ReadServerList(list(good), names, kLimits, why);
  REQUIRE(read);
  CHECK(read->version == 41);
  const ServerEntry& e = read->entries.at(0);
  CHECK(e.zone == 1);
  CHECK(e.kind == 1);
  CHECK(e.cell == 3);
  CHECK(e.scale == 1.5);
  CHECK(e.started == 2s);
  const std::string gone = R"({"uid":"s2","state":"terminated"})";
  CHECK(ReadServerList(list(good + "," + gone), names, kLimits, why));
  for (const std::string& bad :
       {std::string("{"), std::string("[]"), std::string(R"({"rev":1,"all":true})"),
        std::string(R"({"all":true,"targets":[]})"), std::string(R"({"rev":1,"all":1,"targets":[]})"),
        list("7"), list(good + "," + good), list(R"({"uid":"s1","endpoint":"x","state":"in_service"})"),
        list(R"({"uid":"s1","endpoint":"127.0.0.1:5","state":"dozing"})"),
        list(good + R"(,{"endpoint":"127.0.0.1:5","state":"in_service"})"), std::string(100000, '[')}) {
    INFO(bad.substr(0, 100));
    CHECK_FALSE(ReadServerList(bad, names, kLimits, why));
    CHECK_FALSE(why.empty());
  }
}

TEST_CASE("the complete entries of a truncated server list are read, wherever it is truncated") {
  const SettingNames names{{}, {}, {"a"}, {"m1"}};
  const std::string entry =
      R"({"uid":"s[1]\"}","endpoint":"127.0.0.1:5","state":"terminating","more":{"targets":[1]}})";
  const std::string gone = R"({"uid":"s2","state":"terminated"})";
  const std::string head = R"({ "more" : {"targets":[]}, "rev":41 , "all":false, "targets" : [)";
  const std::string whole = head + " " + entry + ",\n" + gone + "]}";
  ListReader incremental(names, kLimits);
  std::size_t entries = 0;
  for (std::size_t end = 0; end <= whole.size(); ++end) {
    INFO(whole.substr(0, end));
    const std::size_t first = head.size() + 1 + entry.size(), second = first + 2 + gone.size();
    const std::size_t complete = std::size_t{end >= first} + std::size_t{end >= second};
    ListReader at_once(names, kLimits);
    at_once.Feed(std::string_view(whole).substr(0, end));
    const auto part = at_once.TakeCompletedEntries();
    REQUIRE(part.has_value() == (complete > 0));
    if (part) CHECK(part->entries.size() == complete);
    incremental.Feed(std::string_view(whole).substr(0, end));
    if (const auto fresh = incremental.TakeCompletedEntries()) {
      CHECK(fresh->version == 41);
      CHECK_FALSE(fresh->is_whole);
      CHECK(fresh->entries.size() == 1);
      CHECK(fresh->entries[0].uid == (entries == 0 ? "s[1]\"}" : "s2"));
      entries += fresh->entries.size();
    }
    CHECK(entries == complete);
  }
  for (const std::string& bad :
       {std::string(R"({"targets":[)") + entry +
            R"(],"rev":41,"all":true})",                             // no version before the entries
        std::string(R"({"rev":-1,"all":true,"targets":[)") + entry,  // an invalid version
        std::string(R"({"rev":99999999999999999999,"all":true,"targets":[)") + entry,
        head + R"({"uid":"s1","state":"dozing"},)" + gone, head + "}}]", std::string("[[")}) {
    INFO(bad);
    ListReader reader(names, kLimits);
    reader.Feed(bad);
    CHECK_FALSE(reader.TakeCompletedEntries());
  }
}

TEST_CASE("an HTTP answer in any form is read as its bytes arrive, in pieces of any size") {
  const std::string status = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n";
  struct Form {
    std::string rest, body;  // "none": the head is incomplete
    Parsed open, closed;     // the result while the connection is open, and once it is closed
    std::size_t surplus = 0;
  };
  const Form forms[] = {
      {"Content-Length: 9\r\n\r\nabc", "abc", Parsed::kMore, Parsed::kMore},
      {"Content-Length: 3\r\n\r\nabcdef", "abc", Parsed::kDone, Parsed::kDone, 3},
      {"Content-Length: 0\r\n\r\n", "", Parsed::kDone, Parsed::kDone},
      {"\r\nabc", "abc", Parsed::kMore, Parsed::kDone},
      {"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n9\r\ndef", "abcdef", Parsed::kMore, Parsed::kMore},
      {"Transfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nX: y\r\n\r\nzz", "abc", Parsed::kDone,
       Parsed::kDone, 2},
      {"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", "abc", Parsed::kBad, Parsed::kBad},
      {"Content-Length: 9\r\n", "none", Parsed::kMore, Parsed::kMore},
      {"Content-Length: 101\r\n\r\nabc", "", Parsed::kBad, Parsed::kBad},
      {"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", "", Parsed::kBad, Parsed::kBad},
      {"\r\n" + std::string(101, 'x'), "", Parsed::kBad, Parsed::kBad},
  };
  for (const Form& form : forms) {
    const std::string text = status + form.rest;
    for (std::size_t piece = 1; piece <= text.size(); piece = piece < 8 ? piece + 1 : piece * 2) {
      INFO(text << " in pieces of " << piece);
      HttpAnswerReader reader(100, kLimits);
      Parsed got = Parsed::kMore;
      for (std::size_t at = 0; at < text.size(); at += piece) got = reader.Feed(text.substr(at, piece));
      CHECK(got == form.open);
      CHECK(reader.head_read() == (form.body != "none"));
      if (form.open != Parsed::kBad) CHECK(reader.surplus() == form.surplus);
      if (form.open != Parsed::kBad && reader.head_read()) CHECK(reader.answer().body == form.body);
      if (got == Parsed::kMore) got = reader.End();
      CHECK(got == form.closed);
    }
  }
}

TEST_CASE("the configuration") {
  const std::string good =
      R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","settings":{"classes":)"
      R"([{"name":"read","give_up":2500000000}],"allowed":{"conn_idle":5000000000,"max_attempts":3}},)"
      R"("limits":{"sockets":100,"memory_mb":64},"known":{"rev":4,"all":true,"targets":[]}})";
  const Config c = ReadConfig(good, "", "127.0.0.9:9", "");
  CHECK(c.listen == "127.0.0.9:9");  // the environment variable overrides the file
  CHECK(c.name == "n1");
  CHECK(c.seed == 255);
  CHECK(c.known.version == 4);
  CHECK(c.limits.server_connection_idle_timeout == 3s);
  std::string priced = good;  // if a handshake has a price, connections are kept idle for longer
  priced.replace(priced.find("\"allowed\""), 0, R"("fees":{"handshake":0.08},)");
  CHECK(ReadConfig(priced, "", "", "").limits.server_connection_idle_timeout == 4500ms);
  CHECK(c.limits.max_attempts == 3);
  CHECK(c.limits.answer_stall_timeout == 500ms);
  std::string quick = good;  // an answer that stops half-way must be detected well within the aim
  quick.replace(quick.find("\"give_up\""), 0, "\"aim\":400000000,");
  CHECK(ReadConfig(quick, "", "", "").limits.answer_stall_timeout == 50ms);
  CHECK(c.limits.max_clients + c.limits.max_server_connections < 90);
  CHECK(c.limits.max_requests * c.limits.max_value < 64u << 20);
  for (const auto& [memory, sockets] : {std::pair{32u, 256}, {192u, 1024}, {48u, 384}}) {
    std::string sized = good;  // what peers can make it buffer leaves a fifth of the memory to the program
    sized.replace(sized.find("100,\"memory_mb\":64"), 18,
                  std::to_string(sockets) + ",\"memory_mb\":" + std::to_string(memory));
    const Limits l = ReadConfig(sized, "", "", "").limits;
    const std::size_t worst = l.max_clients * (l.max_value + 2 * l.max_line + l.max_unsent) +
                              l.max_requests * l.max_value * 3 / 2;
    const std::size_t available = std::size_t{memory} * 1024 * 1024 * 4 / 5;
    CHECK(worst < available);
    // A connection whose next answer is unsent begins no request without a reservation: either nearly all
    // connections have an open request, or all have an unsent answer, and open requests have a reservation.
    const std::size_t commands = l.max_clients * (l.max_value + 2 * l.max_line);
    const std::size_t reservations = l.max_answer_memory / l.AnswerSize();
    CHECK(commands + l.max_requests * l.max_value * 3 / 2 +
              (l.max_clients - l.max_requests) * l.AnswerSize() + l.max_answer_memory <
          available);
    CHECK(commands + l.max_clients * l.AnswerSize() + l.max_answer_memory + reservations * l.max_value / 2 <
          available);
    CHECK(reservations > l.max_pipeline);                           // one client leaves room to others
    CHECK(l.max_clients >= static_cast<std::size_t>(sockets) / 3);  // enough for ordinary clients
    CHECK(l.max_pipeline <= l.max_requests / 4);
  }
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{{"127.0.0.1:2", "discovery.local:2"},
                                                        {"\"settings\"", "\"setting\""},
                                                        {"\"classes\"", "\"klasses\""},
                                                        {"\"sockets\":100", "\"sockets\":-1"},
                                                        {"\"targets\":[]", "\"targets\":[1]"},
                                                        {"}}", ""}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    INFO(bad);
    CHECK_THROWS_AS(ReadConfig(bad, "", "", ""), BadConfig);
  }
}
