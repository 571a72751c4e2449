#include "testing/answer_check.h"

#include <catch2/catch.hpp>

#include "model/key_range.h"
#include "net/json.h"
#include "testing/booking_log.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

constexpr std::uint64_t kHalf = kKeySpaceEnd / 2;

HttpReply MakeAnswer(json::array rows, json::array missing, double coverage) {
  const bool is_complete = missing.empty();
  HttpReply reply;
  reply.m_body = json::serialize(
      json::object{{"outcome", is_complete ? "complete" : "partial"},
                   {"index_version", 7},
                   {"coverage", coverage},
                   {"missing", std::move(missing)},
                   {"rows", std::move(rows)}});
  return reply;
}

std::string MakeRow(std::uint64_t begin,
                    std::uint64_t end,
                    int version,
                    const std::string& body) {
  return std::to_string(begin) + "-" + std::to_string(end) + "@" +
         std::to_string(version) + ":" + body;
}

TEST_CASE("the check of answers passes honest ones") {
  const std::string first = MakeRow(0, kHalf, 7, "n");
  const std::string second = MakeRow(kHalf, kKeySpaceEnd, 7, "n");
  REQUIRE(!FindAnswerFault(MakeAnswer({first, second}, {}, 1.0), "n"));
  const json::object hole{{"begin", kHalf}, {"end", kKeySpaceEnd}};
  REQUIRE(!FindAnswerFault(MakeAnswer({first}, {hole}, 0.5), "n"));
}

TEST_CASE("the check of answers finds every broken promise") {
  const std::string first = MakeRow(0, kHalf, 7, "n");
  const auto fault = [&](const std::string& second) {
    return FindAnswerFault(MakeAnswer({first, second}, {}, 1.0), "n")
        .value_or("");
  };
  REQUIRE(fault(MakeRow(kHalf, kKeySpaceEnd, 6, "n")).starts_with("snapshot"));
  REQUIRE(fault(MakeRow(kHalf, kKeySpaceEnd, 7, "m")).starts_with("own"));
  REQUIRE(fault(MakeRow(kHalf + 1, kKeySpaceEnd, 7, "n"))
              .starts_with("coverage: hole"));
  REQUIRE(fault(MakeRow(kHalf - 1, kKeySpaceEnd, 7, "n"))
              .starts_with("coverage: overlap"));
  REQUIRE(FindAnswerFault(MakeAnswer({first}, {}, 0.5), "n")
              .value_or("")
              .starts_with("coverage"));
}

TEST_CASE("the log of bookings finds a second run and a false refusal") {
  BookingLog log;
  log.Record("a", BookingReply::kRan);
  log.Record("b", BookingReply::kNotRun);
  log.Record("c", BookingReply::kUnknown);
  REQUIRE(!log.FindFault({{"a", 1}, {"c", 1}}));
  REQUIRE(log.FindFault({{"a", 2}}));
  REQUIRE(log.FindFault({{"a", 1}, {"b", 1}}));
  REQUIRE(log.FindFault({{"a", 1}, {"c", 2}}));
  REQUIRE(log.FindFault({}));
}

}  // namespace
}  // namespace jackdawrack
