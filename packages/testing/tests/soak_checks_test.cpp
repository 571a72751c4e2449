#include "testing/soak_checks.h"

#include <catch2/catch.hpp>

#include "testing/gateway_fleet.h"

namespace jackdawrack {
namespace {

HttpReply MakeReply(const std::string& field,
                    const std::string& stamps,
                    const std::string& body) {
  HttpReply reply;
  reply.m_headers = {{field, stamps}};
  reply.m_body = body;
  return reply;
}

TEST_CASE("a soak tells a wrong answer of one service from a right one") {
  const std::string record = GatewayFleet::RecordOf("single");
  const auto is_right = [](const std::string& stamp, const std::string& body) {
    return !FindSoakAnswerFault(MakeReply("X-Server-Stamp", stamp, body), "c1",
                                false);
  };
  REQUIRE(is_right("u-single-east.c1", record));
  REQUIRE_FALSE(is_right("u-single-east.c2", record));
  REQUIRE_FALSE(is_right("u-second-east.c1", record));
  REQUIRE_FALSE(is_right("u-single-east.c1", record.substr(1)));
  REQUIRE_FALSE(is_right("", record));
  HttpReply foreign = MakeReply("X-Request-Id", "c2", "");
  foreign.m_status = 502;
  REQUIRE(FindSoakAnswerFault(foreign, "c1", false));
}

TEST_CASE("a soak tells a wrong scattered answer from a right one") {
  const std::string first = GatewayFleet::RecordOf("shard-0");
  const std::string second = GatewayFleet::RecordOf("shard-1");
  const auto is_right = [](const std::string& stamps, const std::string& body) {
    return !FindSoakAnswerFault(MakeReply("X-Part-Stamps", stamps, body), "c1",
                                true);
  };
  const std::string stamps = "u-shard-0-east.c1, u-shard-1-west.c1";
  REQUIRE(is_right(stamps, second + first));
  REQUIRE(is_right(stamps, second));
  REQUIRE_FALSE(is_right(stamps, first));
  REQUIRE_FALSE(is_right(stamps, first + second));
  REQUIRE_FALSE(is_right("u-shard-0-east.c1, u-shard-0-west.c1", first));
  REQUIRE_FALSE(is_right("u-shard-0-east.c1, u-shard-1-west.c2", second));
  REQUIRE_FALSE(is_right("u-next-0-east.c1, u-shard-1-west.c1", second));
  REQUIRE_FALSE(is_right("u-shard-0-east.c1, ", first));
  REQUIRE_FALSE(is_right("", ""));
}

}  // namespace
}  // namespace jackdawrack
