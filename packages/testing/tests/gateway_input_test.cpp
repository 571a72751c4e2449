#include <catch2/catch.hpp>
#include <csignal>

#include "testing/gateway_fleet.h"
#include "testing/raw_caller.h"

namespace jackdawrack {
namespace {

struct BadInput {
  std::string m_name;
  std::string m_bytes;
  unsigned m_status;
};

const std::string kStart = "GET /one/x HTTP/1.1\r\nHost: app.test\r\n";

std::vector<BadInput> BadInputs() {
  return {
      {"no HTTP", "hello\r\n\r\n", 400},
      {"two lengths",
       "POST /one/x HTTP/1.1\r\nHost: app.test\r\nContent-Length: 3\r\n"
       "Content-Length: 4\r\n\r\nabcd",
       400},
      {"length and chunks",
       "POST /one/x HTTP/1.1\r\nHost: app.test\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"a coding that is not chunks",
       "POST /one/x HTTP/1.1\r\nHost: app.test\r\n"
       "Transfer-Encoding: gzip\r\n\r\n",
       400},
      {"a folded field", kStart + "X-Request-Id: a\r\n X-Other: b\r\n\r\n",
       400},
      {"a bare line feed", "GET /one/x HTTP/1.1\nHost: app.test\n\n", 400},
      {"no host", "GET /one/x HTTP/1.1\r\nX-Request-Id: a\r\n\r\n", 400},
      {"two hosts", kStart + "Host: other\r\nX-Request-Id: a\r\n\r\n", 400},
      {"no request id", kStart + "\r\n", 400},
      {"a large header",
       kStart + "X-Large: " + std::string(8'000, 'a') + "\r\n\r\n", 431},
      {"a large body",
       "POST /one/x HTTP/1.1\r\nHost: app.test\r\nX-Request-Id: a\r\n"
       "Content-Length: 70000\r\n\r\n" +
           std::string(70'000, 'a'),
       413},
  };
}

TEST_CASE("what is no acceptable request is refused at once") {
  GatewayFleet fleet({.m_name = "gw-input"});
  fleet.Start();
  for (const BadInput& input : BadInputs()) {
    INFO(input.m_name);
    RawCaller caller(fleet.CallerPort());
    caller.Send(input.m_bytes);
    const auto reply = caller.Read();
    REQUIRE(reply);
    REQUIRE(reply->m_status == input.m_status);
    REQUIRE(reply->Header("Connection") == "close");
    REQUIRE_FALSE(caller.Read());
  }
  REQUIRE(fleet.Replica("single", "east").Seen().empty());
}

TEST_CASE("a body in chunks and pipelined requests are served in order") {
  GatewayFleet fleet({.m_name = "gw-chunks"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  caller.Send(
      "POST /book/x HTTP/1.1\r\nHost: app.test\r\nX-Request-Id: c1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
      RawCaller::MakeRequest("GET", "/one/x", "c2", "", 2'000));
  REQUIRE(caller.Read()->Header("X-Server-Stamp") == "u-single-east.c1");
  REQUIRE(caller.Read()->Header("X-Server-Stamp") == "u-single-east.c2");
  REQUIRE(fleet.Replica("single", "east").Seen()[0].m_body == "abcde");
}

TEST_CASE("a slow header and an idle connection are ended") {
  GatewayFleet fleet({.m_name = "gw-slow"});
  fleet.Start();
  RawCaller slow(fleet.CallerPort());
  RawCaller idle(fleet.CallerPort());
  slow.Send("GET /one/x HT");
  const TimePoint began = SteadyClock().Now();
  REQUIRE_FALSE(slow.Read());
  REQUIRE(SteadyClock().Now() - began < Milliseconds(1'500));
  REQUIRE_FALSE(idle.Read());
  REQUIRE(SteadyClock().Now() - began > Milliseconds(2'500));
}

TEST_CASE("a host or path without a route is answered 404") {
  GatewayFleet fleet({.m_name = "gw-404"});
  fleet.Start();
  RawCaller caller(fleet.CallerPort());
  REQUIRE(caller.Call("GET", "/none/x", "n1")->m_status == 404);
  REQUIRE(caller.Call("GET", "/one", "n2")->m_status == 404);
}

TEST_CASE("metrics and log lines tell what a request did") {
  GatewayFleet fleet({.m_name = "gw-observed"});
  fleet.Start();
  for (const char* domain : {"east", "west"}) {
    fleet.Replica("single", domain).SetMode(ReplicaMode::kReset);
  }
  RawCaller caller(fleet.CallerPort());
  REQUIRE(caller.Call("POST", "/book/x", "watched", "body")->m_status == 502);
  std::this_thread::sleep_for(Milliseconds(300));
  const std::string log = fleet.LogText(0);
  REQUIRE(log.find("4006 RequestFailed request=watched route=book version=1 "
                   "status=502") != std::string::npos);
  REQUIRE(log.find("4007 RequestSent request=watched service=single "
                   "upstream=u-single-east birth=1000 reason=first") !=
          std::string::npos);
  const std::string metrics = fleet.Metrics(0);
  REQUIRE(metrics.find(
              R"(jackdawrack_requests_total{route="book",status="502"} 1)") !=
          std::string::npos);
}

}  // namespace
}  // namespace jackdawrack
