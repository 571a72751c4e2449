#include "caller_codec.h"

#include <fmt/format.h>

#include "model/range_set.h"
#include "net/json.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

constexpr unsigned kGatewayTimeout = 504;
constexpr std::size_t kUuidTextBytes = 36;

EntryError BadRequest(std::string message) {
  return MakeError(EntryErrc::kBadRequest, std::move(message));
}

EntryResult<std::vector<KeyRange>> DecodeRanges(const json::object& object,
                                                std::size_t max_ranges) {
  const json::value* list = object.if_contains("ranges");
  if (list == nullptr) {
    return std::vector<KeyRange>{kWholeKeySpace};
  }
  if (!list->is_array() || list->as_array().empty() ||
      list->as_array().size() > max_ranges) {
    return BadRequest(fmt::format(
        "ranges: accepted are 1 to {} pairs of begin and end", max_ranges));
  }
  RangeSet ranges;
  for (const json::value& item : list->as_array()) {
    KeyRange range;
    boost::system::error_code error;
    if (item.is_array() && item.as_array().size() == 2) {
      range.m_begin = item.as_array()[0].to_number<std::uint64_t>(error);
      if (!error) {
        range.m_end = item.as_array()[1].to_number<std::uint64_t>(error);
      }
    }
    if (error || !range.IsValid()) {
      return BadRequest(
          fmt::format("ranges: accepted are pairs with 0 <= begin < end <= {}",
                      kKeySpaceEnd));
    }
    ranges.Add(range);
  }
  return ranges.Ranges();
}

// True for a version 7 UUID written as 8-4-4-4-12 hexadecimal digits.
bool IsUuidV7(const std::string& text) {
  if (text.size() != kUuidTextBytes || text[14] != '7') {
    return false;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (is_dash ? text[i] != '-'
                : std::isxdigit(static_cast<unsigned char>(text[i])) == 0) {
      return false;
    }
  }
  return true;
}

std::string HttpBody(const json::object& object) {
  return json::serialize(object);
}

}  // namespace

EntryResult<CallerQuery> DecodeCallerQuery(const HttpRequest& request,
                                           const EntrySettings& settings) {
  const auto object = ParseJsonObject(request.m_body);
  if (!object) {
    return BadRequest("the body has to be a JSON object");
  }
  CallerQuery query;
  query.m_customer = Customer(JsonText(*object, "customer"));
  query.m_kind = JsonText(*object, "kind");
  query.m_body = JsonText(*object, "body");
  if (query.m_customer.IsEmpty() || query.m_kind.empty()) {
    return BadRequest("customer and kind have to be texts");
  }
  auto ranges = DecodeRanges(*object, settings.m_max_ranges);
  if (!ranges) {
    return ranges.error();
  }
  query.m_ranges = std::move(ranges).assume_value();
  return query;
}

EntryResult<CallerRequest> DecodeCallerRequest(const HttpRequest& request,
                                               const EntrySettings& settings) {
  const auto object = ParseJsonObject(request.m_body);
  if (!object) {
    return BadRequest("the body has to be a JSON object");
  }
  CallerRequest decoded;
  decoded.m_customer = Customer(JsonText(*object, "customer"));
  decoded.m_kind = JsonText(*object, "kind");
  decoded.m_key = JsonText(*object, "key");
  decoded.m_body = JsonText(*object, "body");
  decoded.m_idempotency_key = request.Header("Idempotency-Key");
  if (decoded.m_customer.IsEmpty() || decoded.m_kind.empty() ||
      decoded.m_key.empty()) {
    return BadRequest("customer, kind and key have to be texts");
  }
  if (decoded.m_idempotency_key.size() > settings.m_max_idempotency_key_bytes ||
      !IsUuidV7(decoded.m_idempotency_key)) {
    return BadRequest("header Idempotency-Key has to be a UUID of version 7");
  }
  return decoded;
}

HttpReply EncodeQueryAnswer(const QueryAnswer& answer) {
  json::array missing;
  for (const MissingRange& range : answer.m_missing) {
    missing.push_back(
        json::object{{"begin", range.m_range.m_begin},
                     {"end", range.m_range.m_end},
                     {"reason", std::string(MissReasonName(range.m_reason))}});
  }
  json::array rows;
  for (const std::string& row : answer.m_rows) {
    rows.push_back(json::string(row));
  }
  const bool is_complete = answer.m_missing.empty();
  HttpReply reply;
  reply.m_status = answer.m_is_sufficient ? 200 : kGatewayTimeout;
  reply.m_body = HttpBody(json::object{
      {"request", answer.m_request.ToText()},
      {"outcome", is_complete ? "complete" : "partial"},
      {"index_version", answer.m_index_version},
      {"map_revision", answer.m_map_revision},
      {"coverage", answer.m_coverage},
      {"missing", std::move(missing)},
      {"rows", std::move(rows)},
  });
  return reply;
}

HttpReply EncodeRunAnswer(const RunAnswer& answer) {
  HttpReply reply;
  reply.m_status = answer.m_outcome == Outcome::kRan ? 200 : 503;
  reply.m_body = HttpBody(json::object{
      {"request", answer.m_call.m_request.ToText()},
      {"outcome", std::string(OutcomeName(answer.m_outcome))},
      {"reason", answer.m_reason},
      {"result", answer.m_result},
  });
  return reply;
}

bool IsResend(const HttpRequest& request) {
  return request.Header("Idempotency-Resend") == "true";
}

HttpReply EncodeError(const EntryError& error, bool is_resend) {
  HttpReply reply;
  reply.m_status = EntryErrorStatus(error.m_code);
  reply.m_body = HttpBody(json::object{
      {"error", EntryErrorName(error.m_code)},
      {"message", error.m_message},
      {"executed", is_resend ? "unknown" : "no"},
  });
  return reply;
}

}  // namespace jackdawrack
