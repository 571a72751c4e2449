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
        m_requeued_requests(
            metrics.CounterFor("jackdawrack_upstream_requeued")),
        m_late_replies(metrics.CounterFor("jackdawrack_upstream_late_replies")),
        m_abandoned_connections(
            metrics.CounterFor("jackdawrack_upstream_abandoned_connections")),
        m_probes(metrics.CounterFor("jackdawrack_upstream_probes")),
        m_cancellations(
            metrics.CounterFor("jackdawrack_upstream_cancellations")) {}

  /// Requests refused on arrival because their deadline could not be met.
  Counter& m_early_refusals;
  /// Requests that were queued because no slot was free.
  Counter& m_slot_waits;
  /// Slots kept occupied after a request timed out or its connection broke,
  /// because the upstream may still be executing it.
  Counter& m_held_slots;
  /// Upstreams marked unreachable after repeated connection failures.
  Counter& m_ejections;
  /// Queued requests that failed back to the caller, unsent, because the
  /// upstream is draining or unreachable.
  Counter& m_requeued_requests;
  /// Replies that arrived after their deadline and were dropped.
  Counter& m_late_replies;
  /// Connections closed because their reply was overdue although a request
  /// sent later had been answered.
  Counter& m_abandoned_connections;
  /// Health probes sent.
  Counter& m_probes;
  /// Cancellations sent for running requests.
  Counter& m_cancellations;
};

}  // namespace jackdawrack
