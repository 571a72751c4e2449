#include "upstream/http_upstream_adapter.h"

#include <sstream>

#include "net/json.h"

namespace jackdawrack {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;

UpstreamReport ReadReport(const HttpReply& reply) {
  UpstreamReport report;
  report.m_is_draining = reply.Header("X-Upstream-State") == "draining";
  std::istringstream versions(reply.Header("X-Index-Versions"));
  for (std::uint64_t version = 0; versions >> version;) {
    report.m_index_versions.push_back(version);
  }
  return report;
}

std::vector<KeyRange> ReadRanges(const json::object& object) {
  std::vector<KeyRange> ranges;
  const json::value* list = object.if_contains("ranges");
  if (list == nullptr || !list->is_array()) {
    return ranges;
  }
  for (const json::value& item : list->as_array()) {
    if (!item.is_array() || item.as_array().size() != 2) {
      return {};
    }
    boost::system::error_code error;
    KeyRange range;
    range.m_begin = item.as_array()[0].to_number<std::uint64_t>(error);
    range.m_end = item.as_array()[1].to_number<std::uint64_t>(error);
    if (error || !range.IsValid()) {
      return {};
    }
    ranges.push_back(range);
  }
  return ranges;
}

bool ReadRows(const json::object& object, std::vector<std::string>& rows) {
  const json::value* list = object.if_contains("rows");
  if (list == nullptr || !list->is_array()) {
    return false;
  }
  for (const json::value& item : list->as_array()) {
    if (!item.is_string()) {
      return false;
    }
    rows.emplace_back(item.as_string());
  }
  return true;
}

}  // namespace

HttpRequest HttpUpstreamAdapter::Encode(const UpstreamQuery& query) {
  json::array ranges;
  for (const KeyRange& range : query.m_ranges) {
    ranges.push_back(json::array{range.m_begin, range.m_end});
  }
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/query";
  request.m_body = json::serialize(json::object{
      {"call", query.m_call},
      {"collection", query.m_collection.Text()},
      {"version", query.m_index_version},
      {"ranges", std::move(ranges)},
      {"body", query.m_body},
      {"deadline_ms", query.m_remaining_ms},
  });
  return request;
}

HttpRequest HttpUpstreamAdapter::Encode(const UpstreamExecute& execute) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/execute";
  request.m_body = json::serialize(json::object{
      {"key", execute.m_idempotency_key},
      {"collection", execute.m_collection.Text()},
      {"kind", execute.m_kind},
      {"shard_key", execute.m_shard_key},
      {"body", execute.m_body},
      {"not_after_ms", execute.m_not_after_ms},
  });
  return request;
}

HttpRequest HttpUpstreamAdapter::EncodeCancel(const std::string& call) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/cancel";
  request.m_body = json::serialize(json::object{{"call", call}});
  return request;
}

HttpRequest HttpUpstreamAdapter::EncodeProbe() {
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = "/v1/state";
  return request;
}

UpstreamReport HttpUpstreamAdapter::DecodeProbe(const HttpReply& reply) {
  return ReadReport(reply);
}

UpstreamQueryReply HttpUpstreamAdapter::DecodeQuery(const HttpReply& reply) {
  UpstreamQueryReply decoded;
  decoded.m_report = ReadReport(reply);
  if (reply.m_status == kConflict) {
    decoded.m_status = UpstreamQueryStatus::kWrongVersion;
    return decoded;
  }
  if (reply.m_status == kMisdirected) {
    decoded.m_status = UpstreamQueryStatus::kRangesNotServed;
    return decoded;
  }
  if (reply.m_status == kUnavailable) {
    decoded.m_status = UpstreamQueryStatus::kRefused;
    return decoded;
  }
  const auto object = ParseJsonObject(reply.m_body);
  if (reply.m_status != kOk || !object || !ReadRows(*object, decoded.m_rows)) {
    return decoded;
  }
  decoded.m_index_version = JsonNumber(*object, "version");
  decoded.m_ranges = ReadRanges(*object);
  decoded.m_status = UpstreamQueryStatus::kOk;
  return decoded;
}

UpstreamExecuteReply HttpUpstreamAdapter::DecodeExecute(
    const HttpReply& reply) {
  UpstreamExecuteReply decoded;
  decoded.m_report = ReadReport(reply);
  const auto object = ParseJsonObject(reply.m_body);
  if (!object) {
    return decoded;
  }

  // Accept a refusal only if it states explicitly that nothing was executed
  const std::string executed = JsonText(*object, "executed");
  if (reply.m_status == kOk && executed == "yes") {
    decoded.m_status = UpstreamExecuteStatus::kRan;
    decoded.m_result = JsonText(*object, "result");
  } else if ((reply.m_status == kUnavailable || reply.m_status == kGone) &&
             executed == "no") {
    decoded.m_status = UpstreamExecuteStatus::kNotRun;
  }
  return decoded;
}

}  // namespace jackdawrack
