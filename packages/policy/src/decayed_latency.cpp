#include "policy/decayed_latency.h"

#include <boost/histogram.hpp>

namespace jackdawrack {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBuckets = 180;
constexpr double kLeastMs = 0.1;
constexpr double kGreatestMs = 100'000;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage = histogram::dense_storage<double>;
using Cells = histogram::histogram<std::tuple<Axis>, Storage>;
using FloatMs = std::chrono::duration<double, std::milli>;

Cells MakeCells() {
  return histogram::make_histogram_with(Storage(),
                                        Axis(kBuckets, kLeastMs, kGreatestMs));
}

}  // namespace

struct DecayedLatency::Impl {
  Milliseconds m_half_life;
  Cells m_cells = MakeCells();
  double m_count = 0;
  TimePoint m_next_decay{};
};

DecayedLatency::DecayedLatency(Milliseconds half_life)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_half_life = half_life;
}

DecayedLatency::~DecayedLatency() = default;
DecayedLatency::DecayedLatency(DecayedLatency&&) noexcept = default;
DecayedLatency& DecayedLatency::operator=(DecayedLatency&&) noexcept = default;

void DecayedLatency::Record(Duration latency, TimePoint now) {
  if (now >= m_impl->m_next_decay) {
    m_impl->m_cells *= 0.5;
    m_impl->m_count *= 0.5;
    m_impl->m_next_decay = now + m_impl->m_half_life;
  }
  m_impl->m_cells(FloatMs(latency).count());
  m_impl->m_count += 1;
}

std::optional<Duration> DecayedLatency::Quantile(double quantile,
                                                 double least_count) const {
  if (m_impl->m_count < least_count) {
    return std::nullopt;
  }
  const double wanted = quantile * m_impl->m_count;
  double seen = 0;
  for (auto&& cell :
       histogram::indexed(m_impl->m_cells, histogram::coverage::all)) {
    seen += *cell;
    if (seen >= wanted && seen > 0) {
      const double upper = std::min(cell.bin().upper(), kGreatestMs);
      return std::chrono::duration_cast<Duration>(FloatMs(upper));
    }
  }
  return std::nullopt;
}

}  // namespace jackdawrack
