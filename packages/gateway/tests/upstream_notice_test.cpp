#include "upstream_notice.h"

#include <catch2/catch.hpp>

#include "routing/replica_availability.h"

namespace jackdawrack {
namespace {

namespace http = boost::beast::http;

const std::string kLeaving = "Server-Leaving";

UpstreamNotice NoticeOf(unsigned status, const char* retry_after) {
  http::response_header<> header;
  header.result(status);
  header.insert(http::field::retry_after, retry_after);
  return ReadNotice(header, kLeaving);
}

TEST_CASE("a response of any status can say that the upstream leaves") {
  for (const unsigned status : {200U, 404U, 421U, 429U, 500U, 503U}) {
    http::response_header<> header;
    header.result(status);
    REQUIRE_FALSE(ReadNotice(header, kLeaving).m_is_leaving);
    header.insert("server-leaving", "1");
    REQUIRE(ReadNotice(header, kLeaving).m_is_leaving);
    header.set("Server-Leaving", "0");
    REQUIRE_FALSE(ReadNotice(header, kLeaving).m_is_leaving);
  }
}

TEST_CASE("only a refusal with status 503 asks for a pause") {
  REQUIRE(NoticeOf(503, "2").m_pause == Milliseconds(2'000));
  REQUIRE(NoticeOf(503, "0.25").m_pause == Milliseconds(250));
  REQUIRE(NoticeOf(503, "0").m_pause == Milliseconds(0));
  REQUIRE_FALSE(NoticeOf(200, "2").m_pause);
  REQUIRE_FALSE(NoticeOf(429, "2").m_pause);
}

TEST_CASE("a pause of no number is ignored, and a long one is bounded") {
  for (const char* value :
       {"", "-1", "soon", "1s", "1,5", "0x10", "1e3", "1.2.3", ".", "+2", "nan",
        "inf", " 2 2", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    INFO(value);
    REQUIRE_FALSE(NoticeOf(503, value).m_pause);
  }
  const std::string digits(400, '9');
  for (const char* value : {"86400", "99999999999999999999", digits.c_str()}) {
    INFO(value);
    REQUIRE(NoticeOf(503, value).m_pause == ReplicaAvailability::kMaxPause);
  }

  http::response_header<> twice;
  twice.result(503);
  twice.insert(http::field::retry_after, "1");
  twice.insert(http::field::retry_after, "2");
  REQUIRE_FALSE(ReadNotice(twice, kLeaving).m_pause);
}

}  // namespace
}  // namespace jackdawrack
