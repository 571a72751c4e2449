#include "tool/burn_tracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/check.h"

namespace jackdawrack {
namespace {

/// The short window is this part of the samples.
constexpr std::size_t kShortWindowDivisor = 5;

BurnCounts SumOfLast(const std::vector<BurnCounts>& samples,
                     std::size_t count) {
  BurnCounts sum;
  const std::size_t first = samples.size() - std::min(count, samples.size());
  for (std::size_t i = first; i < samples.size(); ++i) {
    sum.Add(samples[i]);
  }
  return sum;
}

}  // namespace

BurnTracker::BurnTracker(BurnObjectives objectives, double interval_s)
    : m_objectives(std::move(objectives)), m_interval_s(interval_s) {}

void BurnTracker::BeginSample() {
  ++m_samples;
  for (auto& [customer, history] : m_customers) {
    history.m_added.resize(m_samples - 1);
  }
}

void BurnTracker::Add(const std::string& at, const MetricsSnapshot& metrics) {
  JR_CHECK(m_samples > 0);
  const bool was_read = std::exchange(m_instances[at], true);
  for (const BurnSource& source : {kContractBurn, kRouteBurn}) {
    const std::string count = std::string(source.m_latency) + "_count";
    for (const std::string& name : metrics.LabelValues(count, source.m_label)) {
      const Customer customer(name);
      AddCounts(at, was_read, customer,
                BurnCounts::Read(source, metrics, customer,
                                 m_objectives.For(customer)));
    }
  }
}

void BurnTracker::AddCounts(const std::string& at,
                            bool was_read,
                            const Customer& customer,
                            const BurnCounts& counts) {
  History& history = m_customers[customer];
  history.m_added.resize(m_samples - 1);

  // What an instance had before its first sample is not of this run
  const auto last = history.m_last.find(at);
  if (!was_read) {
    history.m_before.Add(counts);
  } else if (last != history.m_last.end()) {
    history.m_added.back().Add(counts.Since(last->second));
  } else {
    history.m_added.back().Add(counts);
  }
  history.m_last[at] = counts;
}

void BurnTracker::NotRead(const std::string& at, const std::string& problem) {
  m_instances.emplace(at, false);
  m_unread.push_back(UnreadInstance{at, m_samples, problem});
}

BurnReport BurnTracker::Report() const {
  BurnReport report;
  report.m_instances = m_instances.size();
  report.m_samples = m_samples;
  report.m_interval_s = m_interval_s;
  report.m_unread = m_unread;
  for (const auto& [customer, history] : m_customers) {
    report.m_customers.push_back(BurnOf(customer, history));
  }
  return report;
}

CustomerBurn BurnTracker::BurnOf(const Customer& customer,
                                 const History& history) const {
  CustomerBurn burn;
  burn.m_customer = customer;
  burn.m_objective = m_objectives.For(customer);
  burn.m_samples = history.m_added;

  // The windows, from the shortest to the longest
  const std::size_t count = history.m_added.size();
  const auto add_window = [&](std::size_t samples) {
    burn.m_windows.push_back(
        BurnWindow{fmt::format("last {:.0f} s",
                               static_cast<double>(samples) * m_interval_s),
                   SumOfLast(history.m_added, samples)});
  };
  if (count > 0) {
    add_window(1);
  }
  if (count >= 2 * kShortWindowDivisor) {
    add_window(count / kShortWindowDivisor);
  }
  if (count > 1) {
    add_window(count);
  }
  BurnCounts whole = history.m_before;
  whole.Add(SumOfLast(history.m_added, count));
  burn.m_windows.push_back(BurnWindow{"since start", whole});
  return burn;
}

}  // namespace jackdawrack
