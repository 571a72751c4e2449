#include <catch2/catch.hpp>
#include <random>

#include "caller_codec.h"

namespace jackdawrack {
namespace {

constexpr std::uint32_t kFuzzSeed = 407;
constexpr int kFuzzRounds = 20'000;

/// Fragments that are likely to reach unusual paths of the decoder.
const std::vector<std::string> kUnusualFragments = {
    "null", "true", "-1",      "1e400",       "18446744073709551616",
    "[]",   "{}",   "\"\"",    "[[0,1]]",     "\"\\ud800\"",
    "[[",   "}}",   "\\u0000", "\"ranges\":", "[[0,18446744073709551615]]"};

std::string Mutate(const std::string& valid_body, std::mt19937& random) {
  std::string text = valid_body;
  for (std::uint32_t changes = 1 + random() % 4; changes > 0; --changes) {
    const std::size_t at = random() % (text.size() + 1);
    switch (random() % 4) {
      case 0:
        text.insert(at, kUnusualFragments[random() % kUnusualFragments.size()]);
        break;
      case 1:
        text.erase(at, random() % 8);
        break;
      case 2:
        text.insert(at, 1, static_cast<char>(random()));
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

HttpRequest MakeRequest(std::string body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_headers.push_back(
      {"Idempotency-Key", "01890a5d-ac96-774b-bcce-b302099a8057"});
  request.m_body = std::move(body);
  return request;
}

// Requires the properties that every accepted query has.
void RequireValid(const CallerQuery& query) {
  REQUIRE(!query.m_customer.IsEmpty());
  REQUIRE(!query.m_kind.empty());
  REQUIRE(!query.m_ranges.empty());
  std::uint64_t last_end = 0;
  for (const KeyRange& range : query.m_ranges) {
    REQUIRE(range.IsValid());
    REQUIRE(range.m_begin >= last_end);
    REQUIRE(range.m_end <= kKeySpaceEnd);
    last_end = range.m_end;
  }
}

TEST_CASE("mutated query bodies are refused or decode to valid queries") {
  INFO("seed " << kFuzzSeed);
  std::mt19937 random(kFuzzSeed);
  const std::string valid_body =
      R"({"customer":"acme","kind":"look","body":"b","ranges":[[0,9],[7,20]]})";
  int decoded = 0;
  for (int round = 0; round < kFuzzRounds; ++round) {
    const auto query = DecodeCallerQuery(
        MakeRequest(Mutate(valid_body, random)), EntrySettings());
    if (query) {
      ++decoded;
      RequireValid(query.assume_value());
    }
  }
  REQUIRE(decoded > 0);
}

TEST_CASE("mutated request bodies are refused or decode to valid requests") {
  INFO("seed " << kFuzzSeed);
  std::mt19937 random(kFuzzSeed);
  const std::string valid_body =
      R"({"customer":"acme","kind":"book","key":"lens-1","body":"b"})";
  int decoded = 0;
  for (int round = 0; round < kFuzzRounds; ++round) {
    const auto request = DecodeCallerRequest(
        MakeRequest(Mutate(valid_body, random)), EntrySettings());
    if (request) {
      ++decoded;
      REQUIRE(!request.assume_value().m_key.empty());
      REQUIRE(!request.assume_value().m_kind.empty());
    }
  }
  REQUIRE(decoded > 0);
}

TEST_CASE(
    "query bodies with excessive nesting or too many ranges are refused") {
  constexpr std::size_t kDepth = 200'000;
  REQUIRE(!DecodeCallerQuery(MakeRequest(std::string(kDepth, '[')),
                             EntrySettings()));
  std::string many = R"({"customer":"a","kind":"b","ranges":[[0,1])";
  for (std::size_t i = 0; i < EntrySettings().m_max_ranges; ++i) {
    many += ",[0,1]";
  }
  REQUIRE(!DecodeCallerQuery(MakeRequest(many + "]}"), EntrySettings()));
}

}  // namespace
}  // namespace jackdawrack
