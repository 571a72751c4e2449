#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>

#include "exchange/change_log.h"
#include "exchange/update_message.h"
#include "net/http_server.h"

namespace jackdawrack {

/// The state of this instance from which an `UpdateRelay` answers.
struct UpdateRelaySources {
  /// Time since the store confirmed the published state.
  std::function<Duration()> m_view_age;
  /// The complete published state, or nothing if there is none.
  std::function<std::optional<PublishedSnapshot>()> m_make_snapshot;
  /// The store readers of the failure domain.
  std::function<std::vector<PeerEntry>()> m_readers;
};

/// Answers the polls of followers: at once if they are behind, otherwise with
/// the next change or after the requested wait.
class UpdateRelay final {
 public:
  /// Path under which followers poll.
  static constexpr const char* kTarget = "/updates";
  /// Longest time that a poll waits.
  static constexpr Milliseconds kMaxWait{5'000};
  /// Maximum number of polls that wait; further ones are answered at once.
  static constexpr std::size_t kMaxWaitingPolls = 1'000;

  /// `context` and `log` outlive the relay.
  UpdateRelay(boost::asio::io_context& context,
              const ChangeLog& log,
              UpdateRelaySources sources);

  /// Answers the poll now or later; status 400 if it is malformed.
  void HandlePoll(const HttpRequest& http_request,
                  const HttpServer::ReplyCallback& reply);

  /// Answers the waiting polls that are behind the log.
  void OnLogChanged();

  /// Answers all waiting polls; further ones are answered at once.
  void Stop();

  /// Number of polls that wait.
  [[nodiscard]] std::size_t WaitingPolls() const { return m_waiting.size(); }

 private:
  struct WaitingPoll {
    UpdateRequest m_request;
    TimePoint m_answer_at{};
    HttpServer::ReplyCallback m_reply;
  };

  void Answer(const WaitingPoll& poll);
  [[nodiscard]] UpdateReply MakeReply(const UpdateRequest& request) const;
  void AnswerDue();
  void ScheduleTimer();

  const ChangeLog& m_log;
  const UpdateRelaySources m_sources;
  boost::asio::steady_timer m_timer;
  std::list<WaitingPoll> m_waiting;
  bool m_is_stopped = false;
};

}  // namespace jackdawrack
