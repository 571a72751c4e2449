#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "routing/published_change.h"

namespace jackdawrack {

/// The recent changes to the published state, by store revision. Peers that are
/// a few revisions behind get these instead of the complete state.
class ChangeLog final {
 public:
  /// Maximum number of changes kept; the oldest are dropped.
  static constexpr std::size_t kMaxChanges = 512;

  /// Discards all changes; the state is complete up to `revision`.
  void Restart(std::uint64_t revision);

  /// Adds the changes that lead from `from_revision`, up to which the log is
  /// complete, to `changes.m_revision`.
  void Append(const PublishedChanges& changes, std::uint64_t from_revision);

  /// Returns all changes after `revision`, in order, or nothing if some of them
  /// have been dropped. May include changes up to `revision` as well; applying
  /// them again in this order has no effect.
  [[nodiscard]] std::optional<PublishedChanges> ChangesAfter(
      std::uint64_t revision) const;

  /// Revision up to which the log is complete.
  [[nodiscard]] std::uint64_t Revision() const { return m_revision; }

 private:
  struct Entry {
    /// Revision of the batch that the change was part of.
    std::uint64_t m_revision = 0;
    PublishedChange m_change;
  };

  void DropOldest();

  std::deque<Entry> m_entries;
  /// Changes up to this revision are not in the log.
  std::uint64_t m_base_revision = 0;
  std::uint64_t m_revision = 0;
};

}  // namespace jackdawrack
