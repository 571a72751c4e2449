#pragma once

#include <string>
#include <vector>

#include "tool/burn_counts.h"

namespace jackdawrack {

/// Counts of one customer over one window of time.
struct BurnWindow {
  std::string m_name;
  BurnCounts m_counts;

  friend bool operator==(const BurnWindow&, const BurnWindow&) = default;
};

/// The burn of one customer's objectives.
struct CustomerBurn {
  Customer m_customer;
  BurnObjective m_objective;
  /// The shortest window first; the last one is since the instances started.
  std::vector<BurnWindow> m_windows;
  /// What each sample added, the earliest first.
  std::vector<BurnCounts> m_samples;

  friend bool operator==(const CustomerBurn&, const CustomerBurn&) = default;
};

/// An instance that one sample could not read.
struct UnreadInstance {
  std::string m_at;
  std::size_t m_sample = 0;
  std::string m_problem;

  friend bool operator==(const UnreadInstance&,
                         const UnreadInstance&) = default;
};

/// What the burn command found.
struct BurnReport {
  std::vector<CustomerBurn> m_customers;
  std::vector<UnreadInstance> m_unread;
  std::size_t m_instances = 0;
  std::size_t m_samples = 0;
  double m_interval_s = 0;

  /// Tables for a person.
  [[nodiscard]] std::string ToText() const;

  /// One HTML page with SVG plots, without scripts or outside resources.
  [[nodiscard]] std::string ToHtml() const;

  friend bool operator==(const BurnReport&, const BurnReport&) = default;
};

}  // namespace jackdawrack
