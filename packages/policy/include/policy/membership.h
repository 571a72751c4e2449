#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "model/instance.h"
#include "policy/control_message.h"

namespace jackdawrack {

/// Time that a suspected instance has to contradict the suspicion.
inline constexpr Milliseconds kSuspicionTimeout{3000};

/// Merges the published list with what instances say of each other.
///
/// The list names the instances; notices mark those of them that are not live.
/// A domain's suspicions count in that domain only: what another domain sees of
/// an instance says nothing of the path from here.
class Membership final {
 public:
  Membership(InstanceId self, FailureDomain domain);

  /// Takes over a published list; marks of unlisted instances are dropped.
  void SetListed(const std::vector<Instance>& instances);

  /// Merges a notice heard from an instance of `from_domain`; true if it
  /// changes the state that is held of the instance.
  bool Merge(const MemberNotice& notice,
             const FailureDomain& from_domain,
             TimePoint now);

  /// Marks an instance whose probe stayed unanswered.
  void Suspect(const InstanceId& instance, TimePoint now);

  /// Gives every suspected instance its full time again, after this process
  /// did not run for a while.
  void RestartSuspicions(TimePoint now);

  /// Marks suspected instances unreachable once their time is over.
  void Tick(TimePoint now);

  /// Marks this instance as leaving, for good.
  void AnnounceLeaving();

  /// State of this instance, as told to others.
  [[nodiscard]] const MemberNotice& Self() const { return m_self; }

  /// What is held of an instance.
  [[nodiscard]] MemberNotice NoticeOf(const InstanceId& instance) const;

  /// Takes up to `limit` of the news told least often, for a receiver in
  /// `to_domain`; each is told a bounded number of times.
  [[nodiscard]] std::vector<MemberNotice> TakeNews(
      std::size_t limit,
      const FailureDomain& to_domain);

  /// The listed instances; those that are not live are marked leaving. Where a
  /// domain has no live one, those who announced their leaving stay live.
  [[nodiscard]] const std::vector<Instance>& Instances() const {
    return m_view;
  }

  /// Raised whenever `Instances` changes.
  [[nodiscard]] std::uint64_t ViewVersion() const { return m_view_version; }

  /// Raised whenever what is held of any instance changes.
  [[nodiscard]] std::uint64_t MarkVersion() const { return m_mark_version; }

 private:
  struct Mark {
    MemberNotice m_notice;
    TimePoint m_since{};
    std::uint32_t m_tellings_left = 0;
  };

  [[nodiscard]] bool IsListed(const InstanceId& instance) const;
  [[nodiscard]] bool MayTell(const Mark& mark,
                             const FailureDomain& to_domain) const;
  [[nodiscard]] std::uint32_t Tellings() const;
  // Lets whoever told an older notice hear the newer one.
  void TellAgainIfOlder(const MemberNotice& notice, const MemberNotice& held);
  bool MergeSelf(const MemberNotice& notice);
  void Set(const MemberNotice& notice, TimePoint now);
  void RebuildView();

  const FailureDomain m_domain;
  MemberNotice m_self;
  std::map<InstanceId, Instance> m_listed;
  std::map<InstanceId, Mark> m_marks;
  std::vector<Instance> m_view;
  std::uint64_t m_view_version = 0;
  std::uint64_t m_mark_version = 0;
};

}  // namespace jackdawrack
