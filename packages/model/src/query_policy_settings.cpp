#include "model/query_policy_settings.h"

namespace jackdawrack {

QueryPolicySettings QueryPolicySettings::Read(
    const std::string& file,
    const IniSection& section,
    std::vector<IniProblem>& problems) {
  IniSectionReader reader(file, section, problems);
  QueryPolicySettings settings;
  settings.m_snapshot_memory = reader.Flag("snapshot_memory", true);
  settings.m_snapshot_restart = reader.Flag("snapshot_restart", true);
  settings.m_replan = reader.Flag("replan", true);
  settings.m_drain_requeue = reader.Flag("drain_requeue", true);
  settings.m_hedging = reader.Flag("hedging", true);
  settings.m_retry_budget = reader.Flag("retry_budget", true);
  settings.m_early_refusal = reader.Flag("early_refusal", false);
  settings.m_held_slots = reader.Flag("held_slots", true);
  settings.m_ejection = reader.Flag("ejection", true);
  settings.m_silent_abandon = reader.Flag("silent_abandon", true);
  settings.m_slow_ejection = reader.Flag("slow_ejection", true);
  settings.m_refusal_pause = reader.Flag("refusal_pause", true);
  reader.RefuseUnknownKeys();
  return settings;
}

}  // namespace jackdawrack
