#include "config_events.h"

#include "core/event.h"

namespace jackdawrack {
namespace {

bool IsContract(const std::string& name) {
  return name.starts_with("contracts/");
}

EventId RefusalEvent(const std::string& name) {
  if (IsContract(name)) {
    return EventId::kContractRefused;
  }
  return name == kInstanceListName ? EventId::kInstanceListRefused
                                   : EventId::kMapRefused;
}

EventId AppliedEvent(const std::string& name) {
  if (IsContract(name)) {
    return EventId::kContractApplied;
  }
  return name == kInstanceListName ? EventId::kInstanceListApplied
                                   : EventId::kMapApplied;
}

}  // namespace

void LogConfigMerge(const ConfigMergeReport& report) {
  const PublishedValue& value = report.m_value;
  if (report.m_is_conflict) {
    LogEvent(EventId::kContractConflict, "name={}", value.m_name);
  }
  if (report.m_result == ConfigMergeResult::kRefused) {
    LogEvent(RefusalEvent(value.m_name), "{}", JoinProblems(report.m_problems));
  }
  if (report.m_result == ConfigMergeResult::kApplied) {
    LogEvent(AppliedEvent(value.m_name), "name={} revision={} generation={}",
             value.m_name, value.m_revision, value.m_generation);
  }
}

}  // namespace jackdawrack
