#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "fault_plan.h"
#include "frame_shuffler.h"
#include "proxy_pump.h"

namespace jackdawrack {

/// One connection through a link of the proxy.
class ProxyConnection final
    : public std::enable_shared_from_this<ProxyConnection> {
 public:
  ProxyConnection(boost::asio::ip::tcp::socket caller,
                  std::shared_ptr<const ProxyLink> link,
                  FaultPlan& plan);

  /// Connects to the target, or does what the rules in force say.
  void Start();

  /// Applies rules that were just replaced.
  void ApplyRules();

  /// Swallows every byte from now on if the connection matches.
  void SilenceIf(const ProxyMatch& match);

  [[nodiscard]] bool IsClosed() const { return m_is_closed; }

 private:
  void OnConnected(const boost::system::error_code& error);
  void StartPumps();
  void Silence();
  void OnEnd();
  void Reset();

  boost::asio::ip::tcp::socket m_caller;
  boost::asio::ip::tcp::socket m_target;
  const std::shared_ptr<const ProxyLink> m_link;
  FaultPlan& m_plan;
  std::string m_source;
  FrameShuffler m_shuffler;
  std::shared_ptr<ProxyPump> m_requests;
  std::shared_ptr<ProxyPump> m_replies;
  boost::asio::steady_timer m_keepalive_timer;
  bool m_is_silent = false;
  bool m_is_closed = false;
};

}  // namespace jackdawrack
