#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "core/boot_clock.h"
#include "core/event.h"
#include "core/exception_log.h"
#include "core/random.h"
#include "routing/published_state.h"

namespace jackdawrack {

/// Timing of the calls to the store.
struct StoreWatcherSettings {
  /// Longest duration of a watch call. A response that is lost on a connection
  /// that stays open is noticed only after this time.
  Milliseconds m_watch_timeout{4'000};
  /// Longest duration of a watch call while the store is unreachable; short,
  /// since only a response shows that the store is back.
  Milliseconds m_outage_watch_timeout{100};
  /// Delay after a response with changes, so that changes in quick succession
  /// are read with a single call.
  Milliseconds m_batch_delay{400};
  /// Delay after the first failed call, doubled after each further failure up
  /// to `m_max_retry_delay`.
  Milliseconds m_min_retry_delay{100};
  Milliseconds m_max_retry_delay{1'000};

  friend bool operator==(const StoreWatcherSettings&,
                         const StoreWatcherSettings&) = default;
};

/// Changes that a `StoreWatcher` has applied to the published state.
struct AppliedChanges {
  const PublishedChanges& m_changes;
  /// Revision of the state before the changes.
  std::uint64_t m_from_revision = 0;
  /// True if the changes are a complete listing.
  bool m_is_listing = false;
};

/// Keeps a `PublishedState` in sync with a store: lists the store once, then
/// watches it for changes. Lists it again when the store no longer has the
/// history after the last revision, or when there is too much of it for one
/// reply.
///
/// `Source` provides `List(handler)` and `Watch(revision, wait, handler)`, each
/// of which calls its handler with a `StoreResult<PublishedChanges>`.
template <typename Source>
class StoreWatcher final {
 public:
  /// `context`, `source` and `state` must outlive the watcher.
  StoreWatcher(boost::asio::io_context& context,
               Source& source,
               PublishedState& state,
               StoreWatcherSettings settings)
      : m_source(source),
        m_state(state),
        m_settings(settings),
        m_timer(context) {}

  /// Sets the listener that is called after each response of the store, and
  /// after changes of another source were applied.
  void OnApplied(std::function<void(const AppliedChanges&)> listener) {
    m_listener = std::move(listener);
  }

  /// Sets the timing of further calls.
  void SetTiming(const StoreWatcherSettings& settings) {
    m_settings = settings;
    m_retry_delay = std::min(m_retry_delay, m_settings.m_max_retry_delay);
  }

  /// Starts to call the store, or continues after `Stop`.
  void Start() {
    m_is_active = true;
    if (!m_is_call_scheduled) {
      CallStore();
    }
  }

  /// Sends no further calls; the response to a call in progress is applied.
  void Stop() { m_is_active = false; }

  /// Revision up to which the published state is complete; 0 if nothing has
  /// been read.
  [[nodiscard]] std::uint64_t Revision() const { return m_revision; }

  /// True while calls to the store fail, and while neither a listing nor a
  /// snapshot has been applied.
  [[nodiscard]] bool IsStoreLost() const {
    return m_is_store_lost || m_revision == 0;
  }

  /// Time of the last successful call; `TimePoint{}` if there was none.
  [[nodiscard]] TimePoint LastResponseAt() const { return m_last_response_at; }

  /// Applies a snapshot of a peer in place of a listing; ignored unless
  /// `revision` is greater than `Revision()`.
  void ApplySnapshot(const std::vector<PublishedChange>& listing,
                     std::uint64_t revision) {
    if (revision <= m_revision) {
      return;
    }
    const PublishedChanges changes{listing, revision};
    const std::uint64_t from_revision = m_revision;
    ApplyOf("snapshot", from_revision, [&] {
      m_revision = revision;
      m_needs_listing = false;
      m_state.ApplyListing(listing, BootClock().Now());
      Notify({changes, from_revision, true});
    });
  }

  /// Applies the changes after `Revision()` that another source has read;
  /// ignored unless they lead to a greater revision.
  void ApplyChanges(const PublishedChanges& changes) {
    if (m_revision == 0 || changes.m_revision <= m_revision) {
      return;
    }
    const std::uint64_t from_revision = m_revision;
    ApplyOf("relayed changes", from_revision, [&] {
      m_revision = changes.m_revision;
      m_state.Apply(changes.m_changes, BootClock().Now());
      Notify({changes, from_revision, false});
    });
  }

 private:
  // Applies what another source has read. After an exception some of it may be
  // missing, so that it is asked for again.
  template <typename Work>
  void ApplyOf(const char* source, std::uint64_t from_revision, Work work) {
    try {
      work();
    } catch (...) {
      LogException(source, std::current_exception());
      m_revision = from_revision;
      m_needs_listing = true;
    }
  }

  void CallStore() {
    m_is_call_scheduled = m_is_active;
    if (!m_is_active) {
      return;
    }
    auto handler = [this](StoreResult<PublishedChanges> result) {
      OnResult(std::move(result));
    };
    m_is_listing = m_needs_listing;
    try {
      SendCall(std::move(handler));
    } catch (...) {
      LogException("store call", std::current_exception());
      OnFailure(MakeError(StoreErrc::kUnreachable, "not sent"));
    }
  }

  template <typename Handler>
  void SendCall(Handler handler) {
    if (m_is_listing) {
      m_source.List(std::move(handler));
    } else {
      m_source.Watch(m_revision,
                     m_is_store_lost ? m_settings.m_outage_watch_timeout
                                     : m_settings.m_watch_timeout,
                     std::move(handler));
    }
  }

  void OnResult(StoreResult<PublishedChanges> result) {
    if (!result) {
      OnFailure(result.error());
      return;
    }
    try {
      OnChanges(result.assume_value());
    } catch (...) {
      // Some of the changes may be missing
      LogException("published changes", std::current_exception());
      m_needs_listing = true;
      OnFailure(MakeError(StoreErrc::kMalformedReply, "not applied"));
    }
  }

  void OnChanges(const PublishedChanges& changes) {
    const TimePoint now = BootClock().Now();
    if (m_is_store_lost) {
      m_is_store_lost = false;
      m_state.RecordStoreOutage(now);
      LogEvent(EventId::kStoreReached, "revision={}", changes.m_revision);
    }
    m_last_response_at = now;
    m_retry_delay = m_settings.m_min_retry_delay;
    if (changes.m_revision >= m_revision) {
      const AppliedChanges applied{changes, m_revision, m_is_listing};
      m_revision = changes.m_revision;
      Apply(changes, now);
      Notify(applied);
    }
    CallStoreAfter(changes.m_changes.empty() ? Milliseconds(0)
                                             : m_settings.m_batch_delay);
  }

  // Not called for responses that are older than an applied peer snapshot.
  void Apply(const PublishedChanges& changes, TimePoint now) {
    if (m_is_listing) {
      m_state.ApplyListing(changes.m_changes, now);
      m_needs_listing = false;
    } else {
      m_state.Apply(changes.m_changes, now);
    }
  }

  void OnFailure(const LayerError<StoreErrc>& error) {
    // Listings are retried like other calls
    if (error.m_code == StoreErrc::kHistoryGone && !m_is_listing) {
      LogEvent(EventId::kStoreHistoryGone, "revision={}", m_revision);
      m_revision = 0;
      ListNow();
      return;
    }
    if (error.m_code == StoreErrc::kReplyTooLarge && !m_is_listing) {
      LogEvent(EventId::kStoreReplyTooLarge, "revision={}", m_revision);
      ListNow();
      return;
    }
    if (!m_is_store_lost) {
      m_is_store_lost = true;
      LogEvent(EventId::kStoreLost, "reason=\"{}\" revision={}",
               error.m_message, m_revision);
    }
    const auto jitter = Milliseconds(
        RandomBelow(static_cast<std::uint64_t>(m_retry_delay.count() / 2 + 1)));
    CallStoreAfter(m_retry_delay + jitter);
    m_retry_delay = std::min(m_retry_delay * 2, m_settings.m_max_retry_delay);
  }

  void ListNow() {
    m_needs_listing = true;
    CallStoreAfter(Milliseconds(0));
  }

  void Notify(const AppliedChanges& applied) const {
    if (m_listener) {
      m_listener(applied);
    }
  }

  void CallStoreAfter(Milliseconds delay) {
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        CallStore();
      }
    });
  }

  Source& m_source;
  PublishedState& m_state;
  StoreWatcherSettings m_settings;
  boost::asio::steady_timer m_timer;
  std::uint64_t m_revision = 0;
  bool m_needs_listing = true;
  bool m_is_listing = false;
  bool m_is_store_lost = false;
  bool m_is_active = false;
  /// True while a call is in progress or a timer will make the next one.
  bool m_is_call_scheduled = false;
  std::function<void(const AppliedChanges&)> m_listener;
  TimePoint m_last_response_at{};
  Milliseconds m_retry_delay = m_settings.m_min_retry_delay;
};

}  // namespace jackdawrack
