#pragma once

#include <map>
#include <string>
#include <vector>

#include "tool/burn_report.h"

namespace jackdawrack {

/// Turns samples of the instances' metrics into a burn report. Differences are
/// taken instance by instance, so that one restart does not hide the others.
class BurnTracker final {
 public:
  BurnTracker(BurnObjectives objectives, double interval_s);

  /// Begins the next sample; the first one counts since the instances' start.
  void BeginSample();

  /// Takes one instance's metrics into the sample.
  void Add(const std::string& at, const MetricsSnapshot& metrics);

  /// Notes that an instance could not be read.
  void NotRead(const std::string& at, const std::string& problem);

  [[nodiscard]] BurnReport Report() const;

 private:
  struct History {
    /// Counts since the instances started, as of the first sample.
    BurnCounts m_before;
    /// What each later sample added.
    std::vector<BurnCounts> m_added;
    std::map<std::string, BurnCounts> m_last;
  };

  void AddCounts(const std::string& at,
                 bool was_read,
                 const Customer& customer,
                 const BurnCounts& counts);
  [[nodiscard]] CustomerBurn BurnOf(const Customer& customer,
                                    const History& history) const;

  const BurnObjectives m_objectives;
  const double m_interval_s;
  std::size_t m_samples = 0;
  std::map<Customer, History> m_customers;
  std::map<std::string, bool> m_instances;
  std::vector<UnreadInstance> m_unread;
};

}  // namespace jackdawrack
