#include "policy/query_merge.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {

QueryMerge::QueryMerge(std::vector<KeyRange> wanted,
                       std::uint64_t index_version)
    : m_wanted(wanted), m_index_version(index_version) {
  JR_CHECK(!m_wanted.IsEmpty());
}

bool QueryMerge::Accept(const KeyRange& range,
                        std::uint64_t index_version,
                        std::vector<std::string> rows) {
  JR_CHECK(range.IsValid());

  // Drop rows of another version, of unwanted keys and of covered keys
  if (index_version != m_index_version || !m_wanted.Covers(range) ||
      !m_covered.CommonWith(range).empty()) {
    return false;
  }

  const std::uint64_t before = m_covered.Size();
  m_covered.Add(range);
  m_parts.push_back(Part{range, std::move(rows)});
  JR_CHECK(m_covered.Size() == before + range.Size());
  return true;
}

void QueryMerge::RecordMiss(const KeyRange& range, MissReason reason) {
  JR_CHECK(reason != MissReason::kNone);
  m_misses.push_back(MissingRange{range, reason});
}

void QueryMerge::Restart(std::uint64_t index_version) {
  JR_CHECK(index_version != m_index_version);
  m_index_version = index_version;
  m_covered = RangeSet();
  m_parts.clear();
  m_misses.clear();
}

bool QueryMerge::IsComplete() const {
  return m_covered.Size() == m_wanted.Size();
}

double QueryMerge::Coverage() const {
  return static_cast<double>(m_covered.Size()) /
         static_cast<double>(m_wanted.Size());
}

std::vector<KeyRange> QueryMerge::UncoveredRanges() const {
  std::vector<KeyRange> uncovered;
  for (const KeyRange& wanted : m_wanted.Ranges()) {
    for (const KeyRange& range : m_covered.MissingFrom(wanted)) {
      uncovered.push_back(range);
    }
  }
  return uncovered;
}

std::vector<MissingRange> QueryMerge::MissingRanges() const {
  std::vector<MissingRange> missing;
  for (const KeyRange& range : UncoveredRanges()) {
    // Split the uncovered range wherever a recorded range begins or ends
    std::uint64_t begin = range.m_begin;
    while (begin < range.m_end) {
      std::uint64_t end = range.m_end;
      for (const MissingRange& miss : m_misses) {
        if (miss.m_range.m_begin > begin) {
          end = std::min(end, miss.m_range.m_begin);
        }
        if (miss.m_range.m_end > begin) {
          end = std::min(end, miss.m_range.m_end);
        }
      }
      const KeyRange piece{begin, end};
      missing.push_back(MissingRange{piece, ReasonFor(piece)});
      begin = end;
    }
  }
  return missing;
}

MissReason QueryMerge::ReasonFor(const KeyRange& range) const {
  for (auto miss = m_misses.rbegin(); miss != m_misses.rend(); ++miss) {
    if (miss->m_range.m_begin <= range.m_begin &&
        miss->m_range.m_end >= range.m_end) {
      return miss->m_reason;
    }
  }
  return MissReason::kTimeout;
}

std::vector<std::string> QueryMerge::Rows() const {
  std::vector<const Part*> ordered;
  for (const Part& part : m_parts) {
    ordered.push_back(&part);
  }
  std::sort(ordered.begin(), ordered.end(), [](const Part* a, const Part* b) {
    return a->m_range < b->m_range;
  });
  std::vector<std::string> rows;
  for (const Part* part : ordered) {
    rows.insert(rows.end(), part->m_rows.begin(), part->m_rows.end());
  }
  return rows;
}

}  // namespace jackdawrack
