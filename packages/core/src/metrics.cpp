#include "core/metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>

namespace jackdawrack {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBuckets = 120;
constexpr double kLeastMs = 0.1;
constexpr double kGreatestMs = 100'000;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Cell = histogram::accumulators::count<std::uint64_t, true>;
using Storage = histogram::dense_storage<Cell>;
using Cells = histogram::histogram<std::tuple<Axis>, Storage>;

Cells MakeCells() {
  return histogram::make_histogram_with(Storage(),
                                        Axis(kBuckets, kLeastMs, kGreatestMs));
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

}  // namespace

struct LatencyHistogram::Impl {
  Cells m_cells = MakeCells();
  std::atomic<std::uint64_t> m_count{0};
  std::atomic<std::uint64_t> m_sum_us{0};
};

LatencyHistogram::LatencyHistogram() : m_impl(std::make_unique<Impl>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration duration) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  m_impl->m_cells(static_cast<double>(us) / 1000.0);
  m_impl->m_count.fetch_add(1, std::memory_order_relaxed);
  m_impl->m_sum_us.fetch_add(static_cast<std::uint64_t>(us),
                             std::memory_order_relaxed);
}

double LatencyHistogram::QuantileMs(double quantile) const {
  const double wanted = quantile * static_cast<double>(Count());
  double seen = 0;
  for (auto&& cell :
       histogram::indexed(m_impl->m_cells, histogram::coverage::all)) {
    seen += static_cast<double>(cell->value());
    if (seen >= wanted && seen > 0) {
      return cell.bin().upper();
    }
  }
  return 0;
}

std::uint64_t LatencyHistogram::Count() const {
  return m_impl->m_count.load(std::memory_order_relaxed);
}

void LatencyHistogram::WriteText(const std::string& name,
                                 const std::string& labels,
                                 std::string& out) const {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  std::uint64_t seen = 0;
  for (auto&& cell :
       histogram::indexed(m_impl->m_cells, histogram::coverage::all)) {
    const std::uint64_t count = cell->value();
    if (count == 0) {
      continue;
    }
    seen += count;
    out += fmt::format("{}_bucket{{{}le=\"{:.4g}\"}} {}\n", name, prefix,
                       cell.bin().upper(), seen);
  }
  out += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, seen);
  out += fmt::format(
      "{}_sum{} {:.3f}\n", name, Braced(labels),
      static_cast<double>(m_impl->m_sum_us.load(std::memory_order_relaxed)) /
          1000.0);
  out += fmt::format("{}_count{} {}\n", name, Braced(labels), seen);
}

Counter& MetricsRegistry::CounterFor(const std::string& name,
                                     const std::string& labels) {
  const std::lock_guard lock(m_mutex);
  std::unique_ptr<Counter>& counter = m_counters[Key{name, labels}];
  if (counter == nullptr) {
    counter = std::make_unique<Counter>();
  }
  return *counter;
}

LatencyHistogram& MetricsRegistry::HistogramFor(const std::string& name,
                                                const std::string& labels) {
  const std::lock_guard lock(m_mutex);
  std::unique_ptr<LatencyHistogram>& found = m_histograms[Key{name, labels}];
  if (found == nullptr) {
    found = std::make_unique<LatencyHistogram>();
  }
  return *found;
}

void MetricsRegistry::Forget(const std::string& label) {
  const auto has_label = [&label](const auto& item) {
    const std::string& labels = item.first.m_labels;
    return labels == label || labels.starts_with(label + ",");
  };
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_counters, has_label);
  std::erase_if(m_histograms, has_label);
}

std::string MetricsRegistry::ToText() {
  const std::lock_guard lock(m_mutex);
  std::string out;
  std::string last;
  for (const auto& [key, counter] : m_counters) {
    if (key.m_name != last) {
      out += fmt::format("# TYPE {} counter\n", key.m_name);
      last = key.m_name;
    }
    out += fmt::format("{}{} {}\n", key.m_name, Braced(key.m_labels),
                       counter->Value());
  }
  for (const auto& [key, values] : m_histograms) {
    if (key.m_name != last) {
      out += fmt::format("# TYPE {} histogram\n", key.m_name);
      last = key.m_name;
    }
    values->WriteText(key.m_name, key.m_labels, out);
  }
  return out;
}

}  // namespace jackdawrack
