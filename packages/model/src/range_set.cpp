#include "model/range_set.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

RangeSet::RangeSet(const std::vector<KeyRange>& ranges) {
  for (const KeyRange& range : ranges) {
    Add(range);
  }
}

void RangeSet::Add(const KeyRange& range) {
  JR_CHECK(range.IsValid());

  // Find the run of ranges that overlap or touch the new one
  const auto first =
      std::lower_bound(m_ranges.begin(), m_ranges.end(), range.m_begin,
                       [](const KeyRange& candidate, std::uint64_t begin) {
                         return candidate.m_end < begin;
                       });
  auto last = first;
  KeyRange joined = range;
  while (last != m_ranges.end() && last->m_begin <= range.m_end) {
    joined.m_begin = std::min(joined.m_begin, last->m_begin);
    joined.m_end = std::max(joined.m_end, last->m_end);
    ++last;
  }

  // Replace the run by one range
  m_ranges.insert(m_ranges.erase(first, last), joined);
}

void RangeSet::Remove(const KeyRange& range) {
  JR_CHECK(range.IsValid());
  std::vector<KeyRange> kept;
  for (const KeyRange& candidate : m_ranges) {
    const KeyRange left{candidate.m_begin,
                        std::min(candidate.m_end, range.m_begin)};
    const KeyRange right{std::max(candidate.m_begin, range.m_end),
                         candidate.m_end};
    if (left.IsValid()) {
      kept.push_back(left);
    }
    if (right.IsValid()) {
      kept.push_back(right);
    }
  }
  m_ranges = std::move(kept);
}

std::vector<KeyRange> RangeSet::CommonWith(const KeyRange& range) const {
  std::vector<KeyRange> common;
  for (const KeyRange& candidate : m_ranges) {
    const KeyRange part = Intersect(candidate, range);
    if (part.IsValid()) {
      common.push_back(part);
    }
  }
  return common;
}

std::vector<KeyRange> RangeSet::MissingFrom(const KeyRange& range) const {
  std::vector<KeyRange> missing;
  std::uint64_t at = range.m_begin;
  for (const KeyRange& part : CommonWith(range)) {
    if (at < part.m_begin) {
      missing.push_back(KeyRange{at, part.m_begin});
    }
    at = part.m_end;
  }
  if (at < range.m_end) {
    missing.push_back(KeyRange{at, range.m_end});
  }
  return missing;
}

bool RangeSet::Covers(const KeyRange& range) const {
  return MissingFrom(range).empty();
}

std::uint64_t RangeSet::Size() const {
  std::uint64_t size = 0;
  for (const KeyRange& range : m_ranges) {
    size += range.Size();
  }
  return size;
}

}  // namespace jackdawrack
