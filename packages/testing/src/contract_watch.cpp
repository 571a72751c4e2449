#include "testing/contract_watch.h"

#include <fmt/format.h>

namespace jackdawrack {
namespace {

constexpr Milliseconds kPause{5};
constexpr Milliseconds kShortCall{200};

}  // namespace

ContractWatch::ContractWatch(TestFleet& fleet)
    : m_fleet(fleet), m_thread([this] { Run(); }) {}

ContractWatch::~ContractWatch() {
  Stop();
}

void ContractWatch::Stop() {
  m_is_stopped = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

std::string ContractWatch::FirstFault() const {
  const std::lock_guard lock(m_mutex);
  return m_first_fault;
}

void ContractWatch::Run() {
  while (!m_is_stopped) {
    for (const std::string& instance : m_fleet.InstanceNames()) {
      Check(instance);
    }
    std::this_thread::sleep_for(kPause);
  }
}

void ContractWatch::Check(const std::string& instance) {
  const bool is_ready =
      m_fleet.Operator(instance, "/readyz", kShortCall).m_status == 200;
  const std::uint64_t version = m_fleet.ContractVersion(instance, kShortCall);
  if (!is_ready || version == 0) {
    return;
  }
  std::uint64_t& greatest = m_greatest[instance];
  if (version < greatest) {
    const std::lock_guard lock(m_mutex);
    if (m_first_fault.empty()) {
      m_first_fault =
          fmt::format("contract: {} has version {} after version {}", instance,
                      version, greatest);
    }
  }
  greatest = std::max(greatest, version);
}

}  // namespace jackdawrack
