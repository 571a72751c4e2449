#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ini.h"
#include "model/ids.h"

namespace jackdawrack {

/// One kind of request that a customer may send.
struct RequestKind {
  std::string m_name;
  CollectionName m_collection;
  /// True for queries; a request of another kind runs at most once.
  bool m_idempotent = true;

  friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

/// Every limit that holds for one customer.
class Contract final {
 public:
  /// Parses the contract's INI text; on any problem it is refused whole.
  static Contract Parse(const std::string& file,
                        const std::string& text,
                        std::vector<IniProblem>& problems);

  [[nodiscard]] const Customer& Name() const { return m_customer; }
  /// Raised by the operators with every change; the greater one is in force.
  [[nodiscard]] std::uint64_t Version() const { return m_version; }
  /// Time that a request may take, in milliseconds.
  [[nodiscard]] std::uint32_t DeadlineMs() const { return m_deadline_ms; }
  /// Requests a second over the whole fleet.
  [[nodiscard]] std::uint32_t RatePerSecond() const {
    return m_rate_per_second;
  }
  /// Requests running at once over the whole fleet.
  [[nodiscard]] std::uint32_t Concurrency() const { return m_concurrency; }
  /// Share of the key space below which a query counts as failed.
  [[nodiscard]] double MinimumCoverage() const { return m_minimum_coverage; }
  /// Hedges allowed as a share of primary requests.
  [[nodiscard]] double HedgeShare() const { return m_hedge_share; }
  /// Retries allowed as a share of primary requests.
  [[nodiscard]] double RetryShare() const { return m_retry_share; }
  /// The kind of this name, or null.
  [[nodiscard]] const RequestKind* FindKind(const std::string& name) const;
  [[nodiscard]] const std::vector<RequestKind>& Kinds() const {
    return m_kinds;
  }
  /// The published text, from which peers parse the same contract.
  [[nodiscard]] const std::string& Text() const { return m_text; }

  friend bool operator==(const Contract&, const Contract&) = default;

 private:
  Customer m_customer;
  std::uint64_t m_version = 0;
  std::uint32_t m_deadline_ms = 0;
  std::uint32_t m_rate_per_second = 0;
  std::uint32_t m_concurrency = 0;
  double m_minimum_coverage = 1.0;
  double m_hedge_share = 0;
  double m_retry_share = 0;
  std::vector<RequestKind> m_kinds;
  std::string m_text;
};

}  // namespace jackdawrack
