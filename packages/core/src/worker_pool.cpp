#include "core/worker_pool.h"

#include "core/check.h"
#include "core/run_context.h"

namespace jackdawrack {

WorkerPool::WorkerPool(std::size_t threads)
    : m_thread_count(threads),
      m_context(static_cast<int>(threads)),
      m_guard(boost::asio::make_work_guard(m_context)) {
  JR_CHECK(threads > 0);
}

WorkerPool::~WorkerPool() {
  Stop();
}

void WorkerPool::Start() {
  JR_CHECK(m_threads.empty());
  for (std::size_t i = 0; i < m_thread_count; ++i) {
    m_threads.emplace_back([this] { RunContext(m_context); });
  }
}

void WorkerPool::Stop() {
  m_guard.reset();
  m_context.stop();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

}  // namespace jackdawrack
