#include "testing/soak_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <vector>

#include "soak_texts.h"
#include "testing/gateway_fleet.h"

namespace jackdawrack {
namespace {

constexpr unsigned kStatusOk = 200;

/// A signature, "u-SERVICE-DOMAIN.ID".
struct Stamp {
  std::string m_service;
  std::string m_id;
};

std::optional<Stamp> ReadStamp(const std::string& text) {
  const std::size_t dot = text.find('.');
  const std::size_t domain = text.rfind('-', dot);
  if (!text.starts_with("u-") || dot == std::string::npos || domain < 2) {
    return std::nullopt;
  }
  return Stamp{text.substr(2, domain - 2), text.substr(dot + 1)};
}

std::optional<std::string> FindPartsFault(const HttpReply& reply,
                                          const std::string& id) {
  std::istringstream parts(reply.Header("X-Part-Stamps"));
  std::set<std::string> services;
  std::set<std::string> sets;
  std::vector<std::string> records;
  for (std::string part; std::getline(parts, part, ',');) {
    const auto stamp = ReadStamp(part.erase(0, part.find_first_not_of(' ')));
    if (!stamp || stamp->m_id != id) {
      return "a part is not signed for the request: " + part;
    }
    if (!services.insert(stamp->m_service).second) {
      return "two parts of " + stamp->m_service;
    }
    sets.insert(stamp->m_service.substr(0, stamp->m_service.find('-')));
    records.push_back(GatewayFleet::RecordOf(stamp->m_service));
  }
  if (sets.size() != 1) {
    return "parts of " + std::to_string(sets.size()) + " sets of shards";
  }
  std::sort(records.rbegin(), records.rend());
  for (const std::size_t top : kSoakTopRecords) {
    std::string body;
    for (std::size_t i = 0; i < std::min(top, records.size()); ++i) {
      body += records[i];
    }
    if (body == reply.m_body) {
      return std::nullopt;
    }
  }
  return "not the records of its parts: " + reply.m_body;
}

}  // namespace

bool IsNotRunPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::optional<std::string> FindSoakAnswerFault(const HttpReply& reply,
                                               const std::string& id,
                                               bool is_scattered) {
  const std::string echoed = reply.Header("X-Request-Id");
  if (!echoed.empty() && echoed != id) {
    return "the id of another request: " + echoed;
  }
  if (reply.m_status != kStatusOk) {
    return std::nullopt;
  }
  if (is_scattered) {
    return FindPartsFault(reply, id);
  }
  const auto stamp = ReadStamp(reply.Header("X-Server-Stamp"));
  if (!stamp || stamp->m_id != id) {
    return "not signed for the request: " + reply.Header("X-Server-Stamp");
  }
  if (reply.m_body != GatewayFleet::RecordOf(stamp->m_service)) {
    return "not the record of " + stamp->m_service + ": " + reply.m_body;
  }
  return std::nullopt;
}

}  // namespace jackdawrack
