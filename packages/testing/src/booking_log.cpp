#include "testing/booking_log.h"

#include <fmt/format.h>

#include "net/json.h"

namespace jackdawrack {
namespace {

const char* ReplyName(BookingReply reply) {
  switch (reply) {
    case BookingReply::kRan:
      return "ran";
    case BookingReply::kNotRun:
      return "not_run";
    case BookingReply::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace

BookingReply ReadBookingReply(const HttpReply& reply) {
  const auto object = ParseJsonObject(reply.m_body);
  if (!object) {
    return BookingReply::kUnknown;
  }
  const std::string outcome = JsonText(*object, "outcome");
  if (outcome == "ran") {
    return BookingReply::kRan;
  }
  const bool is_refused =
      outcome == "not_run" || JsonText(*object, "executed") == "no";
  return is_refused ? BookingReply::kNotRun : BookingReply::kUnknown;
}

std::string BookingReason(const HttpReply& reply) {
  const auto object = ParseJsonObject(reply.m_body);
  if (!object) {
    return fmt::format("status {}", reply.m_status);
  }
  return JsonText(*object, "reason") + JsonText(*object, "error");
}

void BookingLog::Record(const std::string& idempotency_key,
                        BookingReply reply,
                        const std::string& reason) {
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[idempotency_key];
  entry.m_last = reply;
  entry.m_history += fmt::format(" {}:{}", ReplyName(reply), reason);
}

std::optional<std::string> BookingLog::FindFault(
    const ExecutionCounts& executions) const {
  const std::lock_guard lock(m_mutex);
  for (const auto& [key, count] : executions) {
    if (count > 1) {
      return fmt::format("at most once: {} executions of {}", count, key);
    }
  }
  for (const auto& [key, entry] : m_entries) {
    const auto found = executions.find(key);
    const bool was_run = found != executions.end() && found->second > 0;
    const bool is_false_refusal =
        entry.m_last == BookingReply::kNotRun && was_run;
    const bool is_false_success =
        entry.m_last == BookingReply::kRan && !was_run;
    if (is_false_refusal || is_false_success) {
      return fmt::format("true refusal: {} has {}run; the replies were{}", key,
                         was_run ? "" : "not ", entry.m_history);
    }
  }
  return std::nullopt;
}

std::size_t BookingLog::Count(BookingReply reply) const {
  const std::lock_guard lock(m_mutex);
  std::size_t count = 0;
  for (const auto& [key, entry] : m_entries) {
    count += entry.m_last == reply ? 1 : 0;
  }
  return count;
}

}  // namespace jackdawrack
