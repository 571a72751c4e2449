#pragma once

#include "core/metrics.h"

namespace jackdawrack {

/// Counters shared by the pools of all upstreams.
struct UpstreamCounters {
  explicit UpstreamCounters(MetricsRegistry& metrics)
      : m_early_refusals(
            metrics.CounterFor("jackdawrack_upstream_early_refusals")),
        m_slot_waits(metrics.CounterFor("jackdawrack_upstream_slot_waits")),
        m_held_slots(metrics.CounterFor("jackdawrack_upstream_held_slots")),
        m_ejections(metrics.CounterFor("jackdawrack_upstream_ejections")),
        m_requeued(metrics.CounterFor("jackdawrack_upstream_requeued")),
        m_late_replies(metrics.CounterFor("jackdawrack_upstream_late_replies")),
        m_abandoned(
            metrics.CounterFor("jackdawrack_upstream_abandoned_connections")),
        m_probes(metrics.CounterFor("jackdawrack_upstream_probes")),
        m_cancels(metrics.CounterFor("jackdawrack_upstream_cancellations")) {}

  /// Refused at once because the deadline could not be met.
  Counter& m_early_refusals;
  /// Requests that had to wait for a slot.
  Counter& m_slot_waits;
  /// Slots kept for a request that timed out and may still run.
  Counter& m_held_slots;
  Counter& m_ejections;
  /// Waiting requests taken back from an upstream that is leaving or lost.
  Counter& m_requeued;
  /// Replies that came after the deadline and were dropped.
  Counter& m_late_replies;
  /// Connections closed because their reply was late and a newer one came.
  Counter& m_abandoned;
  Counter& m_probes;
  Counter& m_cancels;
};

}  // namespace jackdawrack
