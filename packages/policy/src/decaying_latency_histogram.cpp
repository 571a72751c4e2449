#include "policy/decaying_latency_histogram.h"

#include <boost/histogram.hpp>

namespace jackdawrack {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBucketCount = 180;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 100'000;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage = histogram::dense_storage<double>;
using Buckets = histogram::histogram<std::tuple<Axis>, Storage>;
using FloatMs = std::chrono::duration<double, std::milli>;

Buckets MakeBuckets() {
  return histogram::make_histogram_with(Storage(),
                                        Axis(kBucketCount, kMinMs, kMaxMs));
}

}  // namespace

struct DecayingLatencyHistogram::Impl {
  Milliseconds m_half_life;
  Buckets m_buckets = MakeBuckets();
  double m_count = 0;
  TimePoint m_next_decay{};
};

DecayingLatencyHistogram::DecayingLatencyHistogram(Milliseconds half_life)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_half_life = half_life;
}

DecayingLatencyHistogram::~DecayingLatencyHistogram() = default;
DecayingLatencyHistogram::DecayingLatencyHistogram(
    DecayingLatencyHistogram&&) noexcept = default;
DecayingLatencyHistogram& DecayingLatencyHistogram::operator=(
    DecayingLatencyHistogram&&) noexcept = default;

void DecayingLatencyHistogram::Record(Duration latency, TimePoint now) {
  if (now >= m_impl->m_next_decay) {
    m_impl->m_buckets *= 0.5;
    m_impl->m_count *= 0.5;
    m_impl->m_next_decay = now + m_impl->m_half_life;
  }
  m_impl->m_buckets(FloatMs(latency).count());
  m_impl->m_count += 1;
}

std::optional<Duration> DecayingLatencyHistogram::Quantile(
    double quantile,
    double min_count) const {
  if (m_impl->m_count < min_count) {
    return std::nullopt;
  }
  const double wanted = quantile * m_impl->m_count;
  double counted = 0;
  for (auto&& bucket :
       histogram::indexed(m_impl->m_buckets, histogram::coverage::all)) {
    counted += *bucket;
    if (counted >= wanted && counted > 0) {
      const double upper = std::min(bucket.bin().upper(), kMaxMs);
      return std::chrono::duration_cast<Duration>(FloatMs(upper));
    }
  }
  return std::nullopt;
}

}  // namespace jackdawrack
