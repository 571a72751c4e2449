#include "testing/answer_check.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

#include "model/key_range.h"
#include "net/json.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

constexpr double kCoverageTolerance = 1e-6;

struct Row {
  KeyRange m_range;
  std::uint64_t m_version = 0;
  std::string m_body;
};

// Reads a number followed by `end`; moves `text` behind it.
std::optional<std::uint64_t> TakeNumber(std::string_view& text, char end) {
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, number);
  if (parsed.ec != std::errc() || parsed.ptr == last || *parsed.ptr != end) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
  return number;
}

std::optional<Row> ParseRow(std::string_view text) {
  const auto begin = TakeNumber(text, '-');
  const auto end = begin ? TakeNumber(text, '@') : std::nullopt;
  const auto version = end ? TakeNumber(text, ':') : std::nullopt;
  if (!version) {
    return std::nullopt;
  }
  return Row{KeyRange{*begin, *end}, *version, std::string(text)};
}

std::optional<std::string> FindTilingFault(std::vector<KeyRange> ranges) {
  std::sort(ranges.begin(), ranges.end());
  std::uint64_t expected = 0;
  for (const KeyRange& range : ranges) {
    if (range.m_begin != expected) {
      return fmt::format("{} at {}, expected {}",
                         range.m_begin > expected ? "hole" : "overlap",
                         range.m_begin, expected);
    }
    expected = range.m_end;
  }
  if (expected != kKeySpaceEnd) {
    return fmt::format("the ranges end at {}", expected);
  }
  return std::nullopt;
}

std::optional<json::object> ParseAnswer(const HttpReply& reply) {
  auto answer = ParseJsonObject(reply.m_body);
  if (!answer || !answer->contains("rows")) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace

std::optional<std::string> FindAnswerFault(const HttpReply& reply,
                                           const std::string& nonce) {
  const auto answer = ParseAnswer(reply);
  if (!answer) {
    return std::nullopt;
  }

  // Check each row
  const std::uint64_t version = JsonNumber(*answer, "index_version");
  std::vector<KeyRange> ranges;
  std::uint64_t covered = 0;
  for (const json::value& item : answer->at("rows").as_array()) {
    const auto row = ParseRow(std::string_view(item.as_string()));
    if (!row) {
      return "a row of another form: " + json::serialize(item);
    }
    if (row->m_version != version) {
      return fmt::format("snapshot: a row of version {} in an answer of {}",
                         row->m_version, version);
    }
    if (row->m_body != nonce) {
      return fmt::format("own answer: a row of '{}' in the answer to '{}'",
                         row->m_body, nonce);
    }
    covered += row->m_range.m_end - row->m_range.m_begin;
    ranges.push_back(row->m_range);
  }

  // Check that rows and missing ranges tile the key space
  const json::array& missing = answer->at("missing").as_array();
  for (const json::value& item : missing) {
    ranges.push_back(KeyRange{JsonNumber(item.as_object(), "begin"),
                              JsonNumber(item.as_object(), "end")});
  }
  if (const auto fault = FindTilingFault(ranges)) {
    return "coverage: " + *fault;
  }

  // Check what the answer says of itself
  const double share =
      static_cast<double>(covered) / static_cast<double>(kKeySpaceEnd);
  const double claimed = answer->at("coverage").to_number<double>();
  if (std::abs(share - claimed) > kCoverageTolerance) {
    return fmt::format("coverage: claimed {} delivered {}", claimed, share);
  }
  if ((JsonText(*answer, "outcome") == "complete") != missing.empty()) {
    return "coverage: the outcome is " + JsonText(*answer, "outcome");
  }
  return std::nullopt;
}

bool IsCompleteAnswer(const HttpReply& reply) {
  const auto answer = ParseAnswer(reply);
  return answer && JsonText(*answer, "outcome") == "complete";
}

}  // namespace jackdawrack
