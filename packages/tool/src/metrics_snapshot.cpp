#include "tool/metrics_snapshot.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace jackdawrack {
namespace {

bool Carries(const MetricLine& line, const MetricLabels& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const auto& label) {
    const auto found = line.m_labels.find(label.first);
    return found != line.m_labels.end() && found->second == label.second;
  });
}

// Reads `name="value",...`.
std::optional<MetricLabels> ParseLabels(const std::string& text) {
  MetricLabels labels;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t equals = text.find("=\"", at);
    if (equals == std::string::npos) {
      return std::nullopt;
    }
    const std::size_t end = text.find('"', equals + 2);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    labels[text.substr(at, equals - at)] =
        text.substr(equals + 2, end - equals - 2);
    at = end + 1;
    if (at < text.size() && text[at] == ',') {
      ++at;
    }
  }
  return labels;
}

std::optional<double> ParseValue(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || end != text.c_str() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Reads `name{labels} value` or `name value`.
std::optional<MetricLine> ParseLine(const std::string& text) {
  const std::size_t space = text.rfind(' ');
  if (space == std::string::npos) {
    return std::nullopt;
  }
  const std::optional<double> value = ParseValue(text.substr(space + 1));
  if (!value) {
    return std::nullopt;
  }
  MetricLine line;
  line.m_value = *value;
  const std::string head = text.substr(0, space);
  const std::size_t brace = head.find('{');
  line.m_name = head.substr(0, brace);
  if (brace == std::string::npos) {
    return line;
  }
  if (head.back() != '}') {
    return std::nullopt;
  }
  auto labels = ParseLabels(head.substr(brace + 1, head.size() - brace - 2));
  if (!labels) {
    return std::nullopt;
  }
  line.m_labels = std::move(*labels);
  return line;
}

}  // namespace

std::optional<MetricsSnapshot> MetricsSnapshot::Parse(const std::string& text) {
  MetricsSnapshot snapshot;
  std::istringstream stream(text);
  for (std::string row; std::getline(stream, row);) {
    if (row.empty() || row[0] == '#') {
      continue;
    }
    auto line = ParseLine(row);
    if (!line) {
      return std::nullopt;
    }
    snapshot.m_lines.push_back(std::move(*line));
  }
  return snapshot;
}

double MetricsSnapshot::Sum(const std::string& name,
                            const MetricLabels& labels) const {
  double sum = 0;
  for (const MetricLine& line : m_lines) {
    if (line.m_name == name && Carries(line, labels)) {
      sum += line.m_value;
    }
  }
  return sum;
}

double MetricsSnapshot::CountUpTo(const std::string& histogram,
                                  const MetricLabels& labels,
                                  double bound) const {
  // The buckets are cumulative, and empty ones are left out
  const std::string name = histogram + "_bucket";
  double count = 0;
  for (const MetricLine& line : m_lines) {
    if (line.m_name != name || !Carries(line, labels)) {
      continue;
    }
    const auto upper = line.m_labels.find("le");
    const auto limit =
        upper == line.m_labels.end() ? std::nullopt : ParseValue(upper->second);
    if (limit && *limit <= bound) {
      count = std::max(count, line.m_value);
    }
  }
  return count;
}

std::set<std::string> MetricsSnapshot::LabelValues(
    const std::string& name,
    const std::string& label) const {
  std::set<std::string> values;
  for (const MetricLine& line : m_lines) {
    const auto found = line.m_labels.find(label);
    if (line.m_name == name && found != line.m_labels.end()) {
      values.insert(found->second);
    }
  }
  return values;
}

}  // namespace jackdawrack
