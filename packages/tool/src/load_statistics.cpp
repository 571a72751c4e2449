#include "tool/load_statistics.h"

#include <boost/histogram.hpp>

namespace jackdawrack {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBuckets = 1000;
constexpr double kLeastMs = 0.05;
constexpr double kGreatestMs = 100'000;
constexpr double kMsPerSecond = 1000;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto MakeCells() {
  return histogram::make_histogram(Axis(kBuckets, kLeastMs, kGreatestMs));
}

}  // namespace

struct LoadStatistics::Cells {
  decltype(MakeCells()) m_histogram = MakeCells();
};

double LoadCounts::CoverageShare() const {
  const std::uint64_t answered = m_complete + m_partial;
  return answered == 0 ? 0 : m_coverage_sum / static_cast<double>(answered);
}

LoadStatistics::LoadStatistics() : m_cells(std::make_unique<Cells>()) {}

LoadStatistics::~LoadStatistics() = default;

LoadStatistics::LoadStatistics(LoadStatistics&&) noexcept = default;

LoadStatistics& LoadStatistics::operator=(LoadStatistics&&) noexcept = default;

void LoadStatistics::Record(const LoadReply& reply, Duration latency) {
  ++m_counts.m_sent;
  switch (reply.m_outcome) {
    case LoadOutcome::kComplete:
      ++m_counts.m_complete;
      break;
    case LoadOutcome::kPartial:
      ++m_counts.m_partial;
      break;
    case LoadOutcome::kRefused:
      ++m_counts.m_refused;
      return;
    case LoadOutcome::kFailed:
      ++m_counts.m_failed;
      return;
  }
  m_counts.m_coverage_sum += reply.m_coverage;
  const std::chrono::duration<double> seconds = latency;
  m_cells->m_histogram(seconds.count() * kMsPerSecond);
}

LoadLatency LoadStatistics::Latency() const {
  return LoadLatency{QuantileMs(0.5), QuantileMs(0.99), QuantileMs(0.999)};
}

double LoadStatistics::QuantileMs(double quantile) const {
  const double wanted =
      quantile * static_cast<double>(m_counts.m_complete + m_counts.m_partial);
  double seen = 0;
  for (auto&& cell :
       histogram::indexed(m_cells->m_histogram, histogram::coverage::all)) {
    seen += static_cast<double>(*cell);
    if (seen >= wanted && seen > 0) {
      return cell.bin().upper();
    }
  }
  return 0;
}

}  // namespace jackdawrack
