#include "upstream_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "routing/replica_availability.h"

namespace jackdawrack {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kStatusUnavailable = 503;

// Parses a number of seconds, which may have a fraction, rounded up; nothing if
// it is not one. A long time is cut to the longest pause.
std::optional<Milliseconds> ParseSeconds(std::string_view text) {
  const bool is_decimal =
      !text.empty() && std::isdigit(static_cast<unsigned char>(text[0])) != 0 &&
      text.find_first_not_of("0123456789.") == std::string_view::npos;
  double seconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (!is_decimal || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  constexpr std::chrono::duration<double> kLongest =
      ReplicaAvailability::kMaxPause;
  if (parsed.ec == std::errc::result_out_of_range ||
      seconds >= kLongest.count()) {
    return ReplicaAvailability::kMaxPause;
  }
  return Milliseconds(static_cast<Milliseconds::rep>(std::ceil(seconds * 1e3)));
}

}  // namespace

UpstreamNotice ReadNotice(const http::response_header<>& header,
                          const std::string& leaving_header) {
  UpstreamNotice notice;
  const auto [begin, end] = header.equal_range(leaving_header);
  notice.m_is_leaving = std::any_of(
      begin, end, [](const auto& field) { return field.value() == "1"; });
  if (header.result_int() == kStatusUnavailable &&
      header.count(http::field::retry_after) == 1) {
    const auto value = header[http::field::retry_after];
    notice.m_pause = ParseSeconds({value.data(), value.size()});
  }
  return notice;
}

}  // namespace jackdawrack
