#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jackdawrack {

/// One value of the configuration service, with the revision it was read at.
struct PublishedValue {
  /// "contracts/CUSTOMER", "map/COLLECTION" or "instances".
  std::string m_name;
  /// The service's own count of changes when the value was written.
  std::uint64_t m_revision = 0;
  std::string m_text;
  /// How often the service's count was seen to go back; ranks before the
  /// revision, so that an instance list written after a restore counts as new.
  std::uint64_t m_generation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_name, m_revision, m_text, m_generation);
  }

  friend auto operator<=>(const PublishedValue&,
                          const PublishedValue&) = default;
  friend bool operator==(const PublishedValue&,
                         const PublishedValue&) = default;
};

}  // namespace jackdawrack
