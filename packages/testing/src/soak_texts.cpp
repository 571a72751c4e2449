#include "soak_texts.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <map>
#include <vector>

namespace jackdawrack {
namespace {

using Random = std::mt19937_64;

template <typename Item, std::size_t kSize>
const Item& Pick(Random& random, const Item (&items)[kSize]) {
  return items[random() % kSize];
}

constexpr const char* kOddValues[] = {"null",
                                      "true",
                                      "-1",
                                      "0",
                                      "1.5",
                                      "1e400",
                                      "4294967295",
                                      "4294967296",
                                      "9223372036854775807",
                                      "18446744073709551615",
                                      "99999999999999999999999",
                                      "\"\"",
                                      "\"text\"",
                                      "[]",
                                      "{}",
                                      "[[1]]",
                                      "\"\\u0000\"",
                                      "\"a\\r\\nb: c\""};

constexpr const char* kOddAddresses[] = {
    "nowhere",        "127.0.0.1",  "127.0.0.1:0",        "127.0.0.1:99999",
    "127.0.0.1:80 ",  "0.0.0.0:80", "127.255.255.255:80", "localhost:80",
    "127.0.0.256:80", "127.1:80",   "[::1]:80",           "::1:80",
    "dead:80",        "...:80"};

constexpr const char* kServices[] = {"single",  "single", "second", "shard-0",
                                     "shard-3", "next-1", "next-4", "unknown"};

// Bytes that are no JSON object.
std::string DrawBytes(Random& random) {
  static const std::string kTexts[] = {"",
                                       "{",
                                       "[]",
                                       "7",
                                       "null",
                                       "{\"service\":}",
                                       "{\"a\":1}}",
                                       std::string("\0\xff\xfe", 3),
                                       std::string(4'000, '['),
                                       std::string(60'000, 'x'),
                                       "\xc3\x28",
                                       "{\"service\":\"\xff\"}"};
  return Pick(random, kTexts);
}

// A sound record but for its address or some fields, if at all.
std::string DrawFields(Random& random, const std::string& usable_address) {
  std::map<std::string, std::string> fields{
      {"service", fmt::format("\"{}\"", Pick(random, kServices))},
      {"address", fmt::format("\"{}\"", usable_address)},
      {"zone", "\"east\""},
      {"version", "\"v\""},
      {"maxConcurrency", "4"},
      {"state", "\"ready\""},
      {"coldMs", "0"},
      {"sequence", std::to_string(random() % 100)},
      {"born", std::to_string(random() % 5'000)}};
  if (random() % 2 == 0) {
    fields["address"] = fmt::format("\"{}\"", Pick(random, kOddAddresses));
  }
  for (std::uint64_t left = random() % 2 * (random() % 3); left > 0; --left) {
    auto field = fields.begin();
    std::advance(field, random() % fields.size());
    if (random() % 3 == 0) {
      fields.erase(field);
    } else {
      field->second = Pick(random, kOddValues);
    }
  }
  std::vector<std::string> members;
  for (const auto& [name, value] : fields) {
    members.push_back(fmt::format("\"{}\":{}", name, value));
  }
  return fmt::format("{{{}}}", fmt::join(members, ","));
}

std::string DrawTarget(Random& random) {
  static constexpr const char* kWeights[] = {"0", "1", "3", "0.0001", "1e300"};
  if (random() % 2 == 0) {
    return R"("service":"single")";
  }
  return fmt::format(
      R"("trafficSplit":[{{"service":"single","weight":{}}},)"
      R"({{"service":"second","weight":{}}},{{"service":"ghost","weight":{}}}])",
      Pick(random, kWeights), Pick(random, kWeights), random() % 2);
}

std::string DrawGather(Random& random) {
  static constexpr const char* kMinShares[] = {"0", "0.5", "0.75", "1", "1.5"};
  const std::string set = Pick(random, kSoakShardSets);
  std::vector<std::string> shards;
  for (std::size_t i = 0; i < kSoakShards - random() % 3; ++i) {
    shards.push_back(fmt::format("\"{}-{}\"", set, i));
  }
  return fmt::format(R"("gather":[{}],"topK":{},"minVersion":{})",
                     fmt::join(shards, ","), Pick(random, kSoakTopRecords),
                     Pick(random, kMinShares));
}

std::string DrawRoute(Random& random,
                      const char* name,
                      const char* type,
                      const std::string& target) {
  static constexpr const char* kTimeouts[] = {
      "0", "1", "20", "300", "1500", "1500", "1500", "100000", "1000000000"};
  static constexpr const char* kAttempts[] = {"0", "1", "2",
                                              "2", "9", "4294967295"};
  return fmt::format(
      R"({{"name":"{0}","host":"app.test","prefix":"/{0}/","type":"{1}",)"
      R"("timeoutMs":{2},"targetLatencyMs":{3},"maxAttempts":{4},)"
      R"("priority":{5},{6}}})",
      name, type, Pick(random, kTimeouts), Pick(random, kTimeouts),
      Pick(random, kAttempts), random() % 4, target);
}

}  // namespace

std::string OddKey(std::uint64_t number) {
  static const std::string kIds[kOddKeys] = {
      "",          "i-7b9582b5", "odd",      "a b",
      "x\r\ny: z", "a/b/c",      "\xc3\xa9", std::string(190, 'l')};
  return "servers/" + kIds[number % kOddKeys];
}

OddRecord DrawOddRecord(Random& random,
                        const std::string& key,
                        const std::string& usable_address) {
  switch (random() % 5) {
    case 0: {
      static const std::string kEncoded[] = {"",    "=",   "====",   "!!!!",
                                             "abc", "e30", "e30=\n", "e 30"};
      return {key, Pick(random, kEncoded), true};
    }
    case 1:
      return {key, DrawBytes(random)};
    default:
      return {key, DrawFields(random, usable_address)};
  }
}

std::string DrawConfig(Random& random, std::uint64_t version) {
  static constexpr const char* kCounts[] = {"0",  "1",  "2",
                                            "60", "60", "4294967295"};
  static constexpr const char* kHeaderBytes[] = {"512", "4096", "4294967295"};
  static constexpr const char* kBodyBytes[] = {"64", "65536",
                                               "18446744073709551615"};
  static constexpr const char* kIdleMs[] = {"2000", "3000", "1000000000"};
  std::vector<std::string> services;
  for (const char* name : {"single", "second", "ghost", "shard-0", "next-1"}) {
    if (random() % 3 != 0) {
      services.push_back(fmt::format(
          R"({{"name":"{}","healthPath":"/h","maxConnections":{}}})", name,
          Pick(random, kCounts)));
    }
  }
  return fmt::format(
      R"({{"version":{},"routes":[{},{},{}],"services":[{}],)"
      R"("limits":{{"maxHeaderBytes":{},"maxBodyBytes":{},)"
      R"("headerTimeoutMs":{},"idleTimeoutMs":{}}}}})",
      version, DrawRoute(random, "q", "safe", DrawGather(random)),
      DrawRoute(random, "one", "safe", DrawTarget(random)),
      DrawRoute(random, "book", "unsafe", DrawTarget(random)),
      fmt::join(services, ","), Pick(random, kHeaderBytes),
      Pick(random, kBodyBytes), Pick(random, kIdleMs), Pick(random, kIdleMs));
}

RawAnswer DrawRawAnswer(Random& random) {
  static const std::string kOk = "HTTP/1.1 200 OK\r\n";
  static const std::string kHead =
      kOk + "X-Request-Id: {id}\r\nX-Server-Stamp: s.{id}\r\n";
  static const std::string kChunked =
      kHead + "Transfer-Encoding: chunked\r\n\r\n";
  static const std::string kFill(8 << 10, 'x');
  static const struct {
    std::string m_bytes;
    std::string m_repeated;
  } kAnswers[] = {
      {"no answer at all\r\n\r\n", ""},
      {std::string("\0\xff\r\n\r\n", 6), ""},
      {"HTTP/1.1 99999 X\r\n\r\n", ""},
      {kOk + "Content-Length: -1\r\n\r\n", ""},
      {kOk + "Content-Length: 99999999999999999999\r\n\r\n", ""},
      {"HTTP/1.1 204 -\r\nX-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nextra",
       ""},
      {kHead, ""},
      {kHead + "Content-Length: 17\r\n\r\n0123456789", ""},
      {kChunked + "zz\r\n", ""},
      {kChunked + "10\r\n0123", ""},
      {kChunked, "2000\r\n" + kFill + "\r\n"},
      {"", "HTTP/1.1 103 Early\r\nX-Fill: 1\r\n\r\n"},
      {kOk, "X-Fill: " + kFill + "\r\n"},
      {kHead + "\r\n", "x"},
  };
  static constexpr RawEnd kEnds[] = {RawEnd::kOpen, RawEnd::kClose,
                                     RawEnd::kReset};
  const auto& answer = Pick(random, kAnswers);
  return {answer.m_bytes, answer.m_repeated, Milliseconds(5),
          Pick(random, kEnds)};
}

}  // namespace jackdawrack
