#pragma once

#include <vector>

#include "standin/fault_rule.h"

namespace jackdawrack {

/// Steers the fault proxy of a test fleet. Every method returns after the
/// proxy has applied the change, and throws if it does not answer.
class ProxyControl final {
 public:
  explicit ProxyControl(Endpoint control) : m_control(std::move(control)) {}

  /// Adds links; waits for a proxy that was only just started.
  void AddLinks(const std::vector<ProxyLink>& links);

  /// Adds rules to those in force.
  void Add(const std::vector<FaultRule>& rules);

  /// Removes every rule; silent connections stay silent.
  void Heal();

  /// Turns the open connections that match silent for good.
  void Silence(const ProxyMatch& match);

 private:
  void Post(const std::string& target, const std::string& body) const;

  const Endpoint m_control;
  std::vector<FaultRule> m_rules;
};

}  // namespace jackdawrack
