#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawrack {

/// Labels of a metric, by name.
using MetricLabels = std::map<std::string, std::string>;

/// One line of the Prometheus text format.
struct MetricLine {
  std::string m_name;
  MetricLabels m_labels;
  double m_value = 0;

  friend bool operator==(const MetricLine&, const MetricLine&) = default;
};

/// What one instance's /metrics said at one moment.
class MetricsSnapshot final {
 public:
  /// Parses the Prometheus text format; nothing if a line is not of it.
  static std::optional<MetricsSnapshot> Parse(const std::string& text);

  /// Sum over the lines of this name that carry all of `labels`.
  [[nodiscard]] double Sum(const std::string& name,
                           const MetricLabels& labels) const;

  /// Observations of a histogram that are known not to exceed `bound`; those
  /// in the bucket that contains it are not among them.
  [[nodiscard]] double CountUpTo(const std::string& histogram,
                                 const MetricLabels& labels,
                                 double bound) const;

  /// All values of one label among the lines of this name.
  [[nodiscard]] std::set<std::string> LabelValues(
      const std::string& name,
      const std::string& label) const;

 private:
  std::vector<MetricLine> m_lines;
};

}  // namespace jackdawrack
